"""Choose the machines of a wave that go down next.

Two machines in five may be due within 25 s, several at a time, while their
pools are at peak load. Machines without work go first. Others are closed to
new tasks ahead of time, so that they are empty when they are due.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.maintenance import disruption_budget
from oleanderwood.maintenance import fleet
from oleanderwood.pools import workers as workers_

CYCLE_SLACK_S = 0.7
"""Time between a machine's return and the next order, in addition to the
maintenance itself: the worker's entry passes through the store, and a planning
pass has to follow."""

CLOSED_AHEAD = 1
"""Machines closed to new tasks beyond those that go down next; each costs
capacity."""

MAX_CLOSED_S = 6.0
"""Longest time for which a machine is closed to new tasks ahead of its
maintenance. Tasks that can run nowhere else wait meanwhile."""

HAS_WORK = 'it has work'
"""Why a machine doesn't go down now: the one reason that ends sooner if it
gets no new tasks."""

MAX_HELD_UP_S = 10.0
"""Longest time that an order without an answer is expected to be held up on
its way to a machine that is down, which refuses orders. A machine that is lost
for good would otherwise hold up the others of its wave."""

HURRY_FACTOR = 1.25
"""A wave hurries once the time left is less than this many times the time that
its remaining machines need."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that operators and demand set on maintenance.

    :ivar min_up: machines that each pool keeps up, by its name
    :ivar needed: machines that each pool needs for its work, those that it
        lacks because none of its own suits aside; a wave in a hurry ignores
        them
    :ivar hold: no machine goes down
    :ivar quiet: only a wave in a hurry proceeds
    """

    min_up: dict[ids.ServiceId, int] = dataclasses.field(default_factory=dict)
    needed: dict[ids.ServiceId, int] = dataclasses.field(default_factory=dict)
    hold: bool = False
    quiet: bool = False


@dataclasses.dataclass(frozen=True)
class MaintenanceOrder:
    """An order to maintain a machine.

    :ivar before: the machine's worker at the time, '' if it was off or an
        earlier leader sent the order
    :ivar taken: the platform confirmed the order; until then it is in doubt,
        and may be carried out at any time
    """

    before: str
    at_s: float
    taken: bool = False


@dataclasses.dataclass
class Progress:
    """Progress of a wave.

    :ivar begun: machines whose maintenance has begun
    :ivar down: machines that were, or may have been, ordered down and aren't
        known to be back
    :ivar closed: machines that accept no new tasks, as they go down next
    :ivar closed_since_s: since when each of them is closed, also of those that
        were closed for too long
    :ivar refused_until_s: until when a machine isn't ordered again, as its
        last order was refused or got no answer
    :ivar waits: why a machine doesn't go down now
    :ivar status_written: the last status in the store
    :ivar is_late_logged: whether it was logged that its time is over
    """

    wave: fleet.Wave
    first_seen_s: float
    begun: set[str] = dataclasses.field(default_factory=set)
    down: dict[str, MaintenanceOrder] = dataclasses.field(default_factory=dict)
    closed: set[str] = dataclasses.field(default_factory=set)
    closed_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    refused_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    waits: dict[str, str] = dataclasses.field(default_factory=dict)
    completed: bool = False
    status_written: str = ''
    is_late_logged: bool = False


@dataclasses.dataclass
class Decision:
    """The result of a planning pass over a wave.

    :ivar close: machines that need to accept no new tasks, as they go down
        next
    :ivar waits: why other machines don't go down now
    :ivar relocate: a long-running task to start elsewhere
    """

    order: list[str] = dataclasses.field(default_factory=list)
    close: set[str] = dataclasses.field(default_factory=set)
    waits: dict[str, str] = dataclasses.field(default_factory=dict)
    relocate: ledgers.Task | None = None
    completed: bool = False


def remove_returned(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    read_s: float,
    maintenance_s: float,
) -> None:
    """Remove machines from ``progress.down`` that are back, or gone for good.

    A machine that was off had no worker whose replacement would show its
    return; it counts as back if it is up after the time that maintenance
    takes. If it is listed as down then, it has crashed since.

    :param read_s: when the list of machines was requested
    """
    for name, ordered in list(progress.down.items()):
        if not ordered.taken:
            continue
        machine = machines.get(name)
        if machine is None:
            del progress.down[name]
            continue
        is_up = machine.state is fleet.State.UP
        if not is_up and machine.state is not fleet.State.DOWN:
            continue
        late = read_s - ordered.at_s > maintenance_s + CYCLE_SLACK_S
        if late or (is_up and machine.worker != ordered.before):
            del progress.down[name]


def decide(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    workers: collections.abc.Mapping[str, workers_.Worker],
    maintenance_s: float,
    now_s: float,
    bounds: Bounds = Bounds(),
) -> Decision:
    """Choose machines that go down now, and machines to close to new tasks.

    A machine whose order is in doubt counts as down until the platform has
    answered for it. Its order is repeated before any other is sent, which
    takes no further slot: maintenance is idempotent within its wave. There may
    be more in doubt than may go down, if that number was lowered meanwhile.

    :param workers: by machine
    """
    pending = [
        name
        for name in progress.wave.machines
        if name in machines and name not in progress.begun
    ]
    decision = Decision()
    if not pending:
        decision.completed = machines.keys().isdisjoint(progress.down)
        return decision
    in_doubt = progress.down.keys() & pending
    hurry = _must_hurry(progress, len(pending), maintenance_s, now_s)
    held = bounds.hold or (bounds.quiet and not hurry)
    spare = _spare_machines(progress, machines, bounds, hurry)
    slots = _slots(progress, machines, in_doubt, now_s)
    ready = [
        name
        for name in pending
        if machines[name].state is fleet.State.UP
        and progress.refused_until_s.get(name, 0.0) <= now_s
    ]
    ready.sort(
        key=lambda name: (
            name not in in_doubt,
            _order_key(workers.get(name), now_s),
        )
    )
    for name in pending:
        if name not in ready:
            _add_unready(decision, machines[name], name in in_doubt)
    for name in ready:
        worker = workers.get(name)
        repeated = name in in_doubt
        if not _claim_spare(spare, machines[name], repeated):
            decision.waits[name] = 'its pool has no machine to spare'
            continue
        ends_work = hurry or (repeated and _was_closed(progress, name, now_s))
        reason = _blocking_reason(worker, ends_work, now_s)
        if held:
            reason = 'operators hold maintenance'
        is_due_next = reason in ('', HAS_WORK)
        if slots[repeated] <= 0:
            reason = 'others are down'
        if not reason:
            decision.order.append(name)
            slots[repeated] -= 1
            continue
        decision.waits[name] = reason
        most_closed = progress.wave.most_at_once + CLOSED_AHEAD
        if is_due_next and len(decision.close) < most_closed:
            decision.close.add(name)
        if decision.relocate is None and worker is not None:
            decision.relocate = _task_to_relocate(worker, now_s)
    decision.close.update(decision.order)
    return decision


def _slots(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    in_doubt: collections.abc.Set[str],
    now_s: float,
) -> dict[bool, int]:
    """Return how many machines may be ordered, by whether that is repeated."""
    down = _down(progress, machines, now_s)
    most = progress.wave.most_at_once
    return {False: most - len(down), True: most - len(down - in_doubt)}


def _add_unready(
    decision: Decision, machine: fleet.Machine, in_doubt: bool
) -> None:
    """Add a machine for which no order can be sent now."""
    decision.waits[machine.machine] = machine.state.value
    if in_doubt and machine.state is fleet.State.UP:
        decision.waits[machine.machine] = 'its order got no answer'
        decision.close.add(machine.machine)


def _claim_spare(
    spare: dict[ids.ServiceId, int], machine: fleet.Machine, repeated: bool
) -> bool:
    """Return whether a machine's pool can spare it, and count it as spared.

    One whose order is repeated is missing from its pool already.
    """
    pool = ids.ServiceId(machine.pool)
    if pool not in spare:
        return True
    if repeated:
        return spare[pool] >= 0
    spare[pool] -= 1
    return spare[pool] >= 0


def update_closed(
    progress: Progress, wanted: collections.abc.Set[str], now_s: float
) -> None:
    """Close machines to new tasks, each for at most ``MAX_CLOSED_S``.

    One that was closed for longer is open until it need not be closed.
    """
    progress.closed_since_s = {
        name: progress.closed_since_s.get(name, now_s) for name in wanted
    }
    progress.closed = {
        name
        for name, since_s in progress.closed_since_s.items()
        if now_s - since_s <= MAX_CLOSED_S
    }


def is_late(progress: Progress, now_s: float) -> bool:
    """Return whether the time of a wave is over before the wave is."""
    return not progress.completed and time_left_s(progress, now_s) < 0.0


def time_left_s(progress: Progress, now_s: float) -> float:
    """Return the time left for a wave; it is negative once that is over."""
    return progress.first_seen_s + progress.wave.time_s - now_s


def _spare_machines(
    progress: Progress,
    machines: dict[str, fleet.Machine],
    bounds: Bounds,
    hurry: bool,
) -> dict[ids.ServiceId, int]:
    """Return how many machines may go down, for each pool with a limit."""
    required = dict(bounds.min_up)
    if not hurry:
        for pool, needed in bounds.needed.items():
            required[pool] = max(needed, required.get(pool, 0))
    spare = {pool: -minimum for pool, minimum in required.items()}
    for name, machine in machines.items():
        pool = ids.ServiceId(machine.pool)
        up = machine.state is fleet.State.UP and name not in progress.down
        if pool in spare and up:
            spare[pool] += 1
    return spare


def _down(
    progress: Progress, machines: dict[str, fleet.Machine], now_s: float
) -> set[str]:
    """Return the wave's machines that are, or may be, down for maintenance."""
    listed = {
        name
        for name in progress.wave.machines
        if name in machines and machines[name].state is fleet.State.MAINTAINED
    }
    ordered = {
        name
        for name, order in progress.down.items()
        if name in machines and not _is_void(order, machines[name], now_s)
    }
    return listed | ordered


def _is_void(
    order: MaintenanceOrder, machine: fleet.Machine, now_s: float
) -> bool:
    """Return whether an order in doubt is not expected to take effect."""
    return (
        not order.taken
        and machine.state is fleet.State.DOWN
        and now_s - order.at_s > MAX_HELD_UP_S
    )


def _was_closed(progress: Progress, name: str, now_s: float) -> bool:
    """Return whether a machine was closed for as long as it may be.

    One whose order is in doubt holds up others, and its work may end anyway.
    """
    since_s = progress.closed_since_s.get(name, now_s)
    return now_s - since_s > MAX_CLOSED_S


def _blocking_reason(
    worker: workers_.Worker | None, ends_work: bool, now_s: float
) -> str:
    """Return why a machine can't go down now; '' if it can.

    :param ends_work: other tasks than long-running ones don't keep it up
    """
    if worker is None:
        return ''
    if not worker.fenced or worker.silent_since_s is not None:
        # Its runs are not known yet, or no longer known.
        return 'its worker does not answer'
    if not disruption_budget.may_interrupt_all(worker, now_s):
        return 'its long-running tasks are needed'
    if _batch_task_count(worker) and not ends_work:
        return HAS_WORK
    return ''


def _task_to_relocate(
    worker: workers_.Worker, now_s: float
) -> ledgers.Task | None:
    """Return a task that must leave before its worker can ever go down.

    There is one if more tasks of a step run there than may be unavailable at
    the same time.
    """
    tasks_by_step: dict[ledgers.Group, list[ledgers.Task]] = {}
    for task in worker.runs.values():
        if task.group.step.is_long_running:
            tasks_by_step.setdefault(task.group, []).append(task)
    for group, tasks in tasks_by_step.items():
        allowed = max(1, group.step.max_unavailable)
        if (
            len(tasks) > allowed
            and disruption_budget.remaining_budget(group, now_s) > 0
        ):
            return tasks[0]
    return None


def _batch_task_count(worker: workers_.Worker) -> int:
    return sum(
        not task.group.step.is_long_running for task in worker.runs.values()
    )


def _long_running_task_count(worker: workers_.Worker | None) -> int:
    if worker is None:
        return 0
    return sum(
        task.group.step.is_long_running for task in worker.runs.values()
    )


def _order_key(worker: workers_.Worker | None, now_s: float):
    """Return the sort key of a machine.

    Those that others wait for come first, then the cheapest.

    Machines with long-running tasks of one step go one after another, each
    once the tasks of the previous one work elsewhere. So they start first, and
    idle machines go beside them. When they were last, the 20 or so of a wave
    of 122 started 3 s after it and ended up to 6 s after its deadline.
    """
    if worker is None:
        return (0, 1, 0)
    batch = sum(
        task.group.step.needs.cpu_millicores
        for task in worker.runs.values()
        if not task.group.step.is_long_running
    )
    may_go = disruption_budget.may_interrupt_all(worker, now_s)
    return (not may_go, not _long_running_task_count(worker), batch)


def _must_hurry(
    progress: Progress, pending: int, maintenance_s: float, now_s: float
) -> bool:
    rounds = -(-pending // max(1, progress.wave.most_at_once))
    needed_s = rounds * (maintenance_s + CYCLE_SLACK_S)
    left_s = time_left_s(progress, now_s)
    return left_s < HURRY_FACTOR * needed_s
