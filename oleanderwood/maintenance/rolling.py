"""Which machine of a wave goes down next. Pure.

Load it answers: two machines in five are due within 25 s, some at once,
while their pools carry peaks. Machines without work go first; others are
closed to new tasks ahead, so that they are empty when their turn comes.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.maintenance import disruption_budget
from oleanderwood.maintenance import fleet
from oleanderwood.pools import workers as workers_

CYCLE_SLACK_S = 0.7
"""Time between a machine's return and the next one's order, beside the
maintenance itself: the entry's way through the store and our own pass."""

CLOSED_AHEAD = 1
"""Machines closed beyond those whose turn it is; each costs room."""

HURRY_FACTOR = 1.25
"""The rest of a wave is hurried once the time left is less than this many
times what it takes."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What operators allow of maintenance now.

    :ivar min_up: machines that each pool keeps up, by its name
    :ivar needed: machines that each pool needs for its work; a wave that is
        in a hurry goes below
    :ivar hold: nothing goes down
    :ivar quiet: only a wave that is in a hurry goes on
    """

    min_up: dict[ids.ServiceId, int] = dataclasses.field(default_factory=dict)
    needed: dict[ids.ServiceId, int] = dataclasses.field(default_factory=dict)
    hold: bool = False
    quiet: bool = False


@dataclasses.dataclass(frozen=True)
class Ordered:
    """An order for maintenance.

    :ivar before: the worker that the machine had, '' if it was off
    :ivar taken: the platform answered that it is done
    """

    before: str
    at_s: float
    taken: bool = False


@dataclasses.dataclass
class Progress:
    """How far a wave is.

    :ivar begun: machines whose maintenance has begun
    :ivar down: machines that were ordered down and aren't known to be back
    :ivar closed: machines that go down next
    """

    wave: fleet.Wave
    seen_s: float
    begun: set[str] = dataclasses.field(default_factory=set)
    down: dict[str, Ordered] = dataclasses.field(default_factory=dict)
    closed: set[str] = dataclasses.field(default_factory=set)
    refused_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    waits: dict[str, str] = dataclasses.field(default_factory=dict)
    completed: bool = False
    status_written: str = ''


@dataclasses.dataclass
class Decision:
    """What a pass over a wave comes to.

    :ivar waits: why other machines don't go down now
    :ivar relocate: a long-running task that is to start elsewhere
    """

    order: list[str] = dataclasses.field(default_factory=list)
    close: set[str] = dataclasses.field(default_factory=set)
    waits: dict[str, str] = dataclasses.field(default_factory=dict)
    relocate: ledgers.Task | None = None
    completed: bool = False


def note_returns(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    read_s: float,
    maintenance_s: float,
) -> None:
    """Note which machines are back, or gone for good.

    One that was off has no worker that would tell its lives apart; it is
    back once it is up after the time that maintenance takes.

    :param read_s: when the list of machines was asked for
    """
    for name, ordered in list(progress.down.items()):
        machine = machines.get(name)
        if machine is None:
            del progress.down[name]
            continue
        if machine.state is not fleet.State.UP or not ordered.taken:
            continue
        late = read_s - ordered.at_s > maintenance_s + CYCLE_SLACK_S
        if machine.worker != ordered.before or late:
            del progress.down[name]


def decide(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    workers: collections.abc.Mapping[str, workers_.Worker],
    maintenance_s: float,
    now_s: float,
    bounds: Bounds = Bounds(),
    perhaps_down: collections.abc.Set[str] = frozenset(),
) -> Decision:
    """Decide what goes down now, and what is closed to new tasks.

    :param workers: by machine
    :param perhaps_down: machines that an earlier leader may have ordered down
    """
    wave = progress.wave
    left = [
        name
        for name in wave.machines
        if name in machines and name not in progress.begun
    ]
    decision = Decision()
    if not left:
        decision.completed = not progress.down
        return decision
    down = _down(progress, machines) | perhaps_down.intersection(left)
    slots = wave.most_at_once - len(down)
    ready = [
        name
        for name in left
        if machines[name].state is fleet.State.UP
        and progress.refused_until_s.get(name, 0.0) <= now_s
    ]
    ready.sort(key=lambda name: _cost(workers.get(name), now_s))
    hurry = _hurried(progress, len(left), maintenance_s, now_s)
    for name in left:
        if name not in ready:
            decision.waits[name] = machines[name].state.value
    spare = _spare_machines(progress, machines, bounds, hurry)
    for name in ready:
        worker = workers.get(name)
        pool = ids.ServiceId(machines[name].pool)
        blocked = _blocked(worker, hurry, now_s)
        if spare.get(pool, 1) <= 0:
            decision.waits[name] = 'its pool has no machine to spare'
            continue
        if bounds.hold or (bounds.quiet and not hurry):
            blocked = 'operators hold maintenance'
        if len(decision.order) >= slots:
            blocked = 'others are down'
        if not blocked:
            decision.order.append(name)
            if pool in spare:
                spare[pool] -= 1
            continue
        decision.waits[name] = blocked
        if pool in spare:
            spare[pool] -= 1
        if len(decision.close) < wave.most_at_once + CLOSED_AHEAD:
            if worker is None or hurry:
                decision.close.add(name)
            elif disruption_budget.may_end_all(worker, now_s):
                decision.close.add(name)
        if decision.relocate is None and worker is not None:
            decision.relocate = _crowded(worker, now_s)
    decision.close.update(decision.order)
    return decision


def _spare_machines(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    bounds: Bounds,
    hurry: bool,
) -> dict[ids.ServiceId, int]:
    """Give how many machines may go down, by pool with a bound."""
    kept = dict(bounds.min_up)
    if not hurry:
        for pool, needed in bounds.needed.items():
            kept[pool] = max(needed, kept.get(pool, 0))
    spare = {pool: -least for pool, least in kept.items()}
    for name, machine in machines.items():
        pool = ids.ServiceId(machine.pool)
        up = machine.state is fleet.State.UP and name not in progress.down
        if pool in spare and up:
            spare[pool] += 1
    return spare


def _down(progress: Progress, machines: dict[str, fleet.Machine]) -> set[str]:
    """Give the wave's machines that are, or may be, down for maintenance."""
    listed = {
        name
        for name in progress.wave.machines
        if name in machines and machines[name].state is fleet.State.MAINTAINED
    }
    return listed | set(progress.down)


def _blocked(worker: workers_.Worker | None, hurry: bool, now_s: float) -> str:
    """Say why a machine can't go down now; '' if it can."""
    if worker is None:
        return ''
    if not worker.fenced or worker.silent_since_s is not None:
        # What it runs isn't known, or not any more.
        return 'its worker does not answer'
    if not disruption_budget.may_end_all(worker, now_s):
        return 'its long-running tasks are needed'
    if _batch(worker) and not hurry:
        return 'it has work'
    return ''


def _crowded(worker: workers_.Worker, now_s: float) -> ledgers.Task | None:
    """Give a task that must leave before its worker ever can go down.

    More tasks of one step are there than may be away at once.
    """
    here: dict[ledgers.Group, list[ledgers.Task]] = {}
    for task in worker.runs.values():
        if task.group.step.lasting:
            here.setdefault(task.group, []).append(task)
    for group, tasks in here.items():
        allowed = max(1, group.step.most_away)
        if len(tasks) > allowed and disruption_budget.spares(group, now_s) > 0:
            return tasks[0]
    return None


def _batch(worker: workers_.Worker) -> int:
    return sum(not task.group.step.lasting for task in worker.runs.values())


def _lasting(worker: workers_.Worker | None) -> int:
    if worker is None:
        return 0
    return sum(task.group.step.lasting for task in worker.runs.values())


def _cost(worker: workers_.Worker | None, now_s: float):
    """Order machines: those that the others wait for, then the cheapest.

    Machines with long-running tasks of one step go one after another, each
    once the tasks of the one before are at work elsewhere, so they begin while
    idle ones go beside them. Last in line, the 20 or so of a wave of 122 began
    3 s after it and ended up to 6 s after its time.
    """
    if worker is None:
        return (0, 1, 0)
    batch = sum(
        task.group.step.needs.cpu_millicores
        for task in worker.runs.values()
        if not task.group.step.lasting
    )
    may_go = disruption_budget.may_end_all(worker, now_s)
    return (not may_go, not _lasting(worker), batch)


def _hurried(
    progress: Progress, left: int, maintenance_s: float, now_s: float
) -> bool:
    rounds = -(-left // max(1, progress.wave.most_at_once))
    needed_s = rounds * (maintenance_s + CYCLE_SLACK_S)
    left_s = progress.seen_s + progress.wave.time_s - now_s
    return left_s < HURRY_FACTOR * needed_s
