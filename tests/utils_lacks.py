"""Passes of the decision on moves, played without a leader.

A pass reads what the pools have and lack as the leader's loop does, applies
the moves, starts what may start and asks for advice. Machines need two passes
to their new pool, where a new worker comes up idle.
"""

import dataclasses
import types

from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import advising
from oleanderwood.leading import lacks
from oleanderwood.leading import pool_loop
from oleanderwood.maintenance import fleet
from oleanderwood.pools import advised
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import shortage
from oleanderwood.pools import urgency
from tests import utils_jobs as build

PASS_S = 0.5
"""Longer than the loop's interval, as a day is played in fewer passes."""

MOVE_PASSES = 2
RUN_PASSES = 2
"""Time of a task, and of its report."""

MOVE_S = MOVE_PASSES * PASS_S
START_S = 100.0
TICKETS_S = 3.0
STANDBY = ids.ServiceId('standby')
LENGTHS = lengths.Lengths()


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine at the start.

    :ivar pool: number of its pool; None: standby
    """

    pool: int | None
    label: str = 'a'
    memory_mb: int = 1000


@dataclasses.dataclass(frozen=True)
class Step:
    """A step that waits from the start.

    :ivar pool: number of its pool
    :ivar refused: numbers of the machines that the advice refuses
    :ivar objective_ms: time in which its job should end
    """

    pool: int
    label: str = 'a'
    memory_mb: int = 100
    tasks: int = 1
    gang: bool = False
    refused: frozenset[int] = frozenset()
    objective_ms: float = 600.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a day begins with.

    :ivar first_sizes: machines that each pool keeps for its first burst
    :ivar has_bursts: the pools have bursts, and have had none yet
    :ivar has_advice: starts need advice
    """

    machines: tuple[Machine, ...]
    steps: tuple[Step, ...]
    first_sizes: tuple[int, ...] = (0, 0)
    min_up: tuple[int, ...] = (0, 0)
    has_bursts: bool = True
    has_advice: bool = False


@dataclasses.dataclass
class Day:
    """The state of a day.

    :ivar fleet: stands in for the leader, of which the loop's functions that
        are called here read only the list of machines
    :ivar workers: by machine; None: on its way, or off
    :ivar arrivals: pass at which each machine on its way arrives
    :ivar ends: running tasks, with the pass at which each ends
    :ivar asked: steps about which the advice is being asked
    """

    plan: Plan
    services: list[ids.ServiceId]
    fleet: types.SimpleNamespace
    groups: list[ledgers.Group]
    ledger: ledgers.Ledger
    history: demand.ArrivalHistory
    number: int = 0
    workers: dict = dataclasses.field(default_factory=dict)
    arrivals: dict = dataclasses.field(default_factory=dict)
    ends: list = dataclasses.field(default_factory=list)
    asked: list = dataclasses.field(default_factory=list)


def begin(plan: Plan) -> Day:
    """Return a day before its first pass."""
    services = [
        ids.ServiceId(f'pool{number}')
        for number in range(len(plan.first_sizes))
    ]
    machines = {}
    for number, row in enumerate(plan.machines):
        pool = STANDBY if row.pool is None else services[row.pool]
        machines[f'm{number}'] = fleet.Machine(
            f'm{number}',
            pool,
            fleet.State.UP,
            labels=(row.label,),
            capacity=model.Resources(8000, row.memory_mb),
        )
    ledger = ledgers.Ledger(term=1)
    groups = [
        _add_step(plan, services, ledger, number)
        for number in range(len(plan.steps))
    ]
    history = demand.ArrivalHistory()
    if plan.has_bursts:
        history.pools = frozenset(services)
    state = types.SimpleNamespace(machines=machines)
    day = Day(
        plan,
        services,
        types.SimpleNamespace(fleet=state),
        groups,
        ledger,
        history,
    )
    for name in machines:
        _start_worker(day, name, START_S - 10.0)
    return day


def _add_step(plan, services, ledger, number) -> ledgers.Group:
    row = plan.steps[number]
    service = services[row.pool]
    queue = build.queue(
        name=f'q{number}',
        service=service,
        needs_advice=plan.has_advice,
        objective_ms=row.objective_ms,
    )
    step = build.step(
        row.tasks, mem=row.memory_mb, label=row.label, gang=row.gang
    )
    job = model.Job(
        ids.JobId(f'{number:016x}'), queue, model.Work('text', (step,))
    )
    return ledgers.add(ledger, job, START_S).groups[0, 0]


def now_s(day: Day) -> float:
    """Return the time of the present pass."""
    return START_S + day.number * PASS_S


def machines(day: Day) -> dict[str, fleet.Machine]:
    """Return the machines by name."""
    return day.fleet.fleet.machines


def _start_worker(day: Day, name: str, idle_since_s: float) -> None:
    machine = machines(day)[name]
    day.workers[name] = None
    if machine.pool == STANDBY:
        return
    worker = build.worker(
        f'{name}.{day.number}',
        service=machine.pool,
        machine=name,
        labels=machine.labels,
        capacity=machine.capacity,
    )
    worker.idle_since_s = idle_since_s
    day.workers[name] = worker


def members(day: Day, service: str) -> list[str]:
    """Return the machines of a pool, with those on their way to it."""
    return [
        row.machine for row in machines(day).values() if row.pool == service
    ]


def play_pass(day: Day) -> tuple[list, rebalancing.Decision]:
    """Play a pass; return what the decision was about, and it."""
    day.number += 1
    _arrive(day)
    _end_tasks(day)
    _answer(day)
    _start_tasks(day)
    _ask(day)
    views, standby = _views(day)
    decision = rebalancing.decide(
        views, standby, day.history, MOVE_S, now_s(day)
    )
    for move in decision.moves:
        _move(day, move)
    return views, decision


def _arrive(day: Day) -> None:
    for name, number in list(day.arrivals.items()):
        if number <= day.number:
            del day.arrivals[name]
            _start_worker(day, name, now_s(day))


def _end_tasks(day: Day) -> None:
    for row in list(day.ends):
        number, task, worker = row
        if number <= day.number:
            day.ends.remove(row)
            del worker.runs[task.name]
            ledgers.mark_done(day.ledger, task, now_s(day))
            ledgers.end_run(day.ledger, task, now_s(day))
            worker.idle_since_s = now_s(day)


def _present(day: Day, group: ledgers.Group) -> list:
    service = group.entry.job.queue.service
    rows = [day.workers[name] for name in members(day, service)]
    return [row for row in rows if row is not None]


def _start_tasks(day: Day) -> None:
    for group in day.groups:
        if not group.waiting or advised.awaits_advice(group, {}, now_s(day)):
            continue
        pool = _present(day, group)
        for row in placing.decide([group], pool, now_s(day), 99):
            build.start(day.ledger, row.task, row.worker, now_s(day))
            end = day.number + RUN_PASSES, row.task, row.worker
            day.ends.append(end)


def _ask(day: Day) -> None:
    """Ask for advice as the leader does; the answer comes with a pass."""
    if not day.plan.has_advice:
        return
    for group in day.groups:
        workers = _present(day, group)
        names = {row.entry.worker for row in workers}
        service = group.entry.job.queue.service
        if not group.waiting or not (
            advised.lacks_advice(group, names, now_s(day))
            or advised.has_new_matching_worker(group, workers, service)
        ):
            continue
        group.asked, group.tickets = frozenset(names), None
        group.advised_until_s = now_s(day) + advising.RETRY_S
        if names:
            rows = [(row.entry.machine, row.entry.worker) for row in workers]
            day.asked.append((group, rows))


def _answer(day: Day) -> None:
    for group, rows in day.asked:
        refused = day.plan.steps[day.groups.index(group)].refused
        group.tickets = {
            worker: 'ticket'
            for machine, worker in rows
            if int(machine[1:]) not in refused
        }
        advised.record_refusals(group, rows, now_s(day))
        if group.tickets:
            group.advised_until_s = now_s(day) + TICKETS_S
    day.asked.clear()


def _views(day: Day) -> tuple[list, dict]:
    rows = {service: [] for service in (*day.services, STANDBY)}
    for name, machine in machines(day).items():
        if machine.pool == STANDBY and name in day.arrivals:
            continue
        member = rebalancing.Member(
            name, 8.0, day.workers[name], labels=machine.labels
        )
        rows[machine.pool].append(member)
    standby = {STANDBY: rows.pop(STANDBY)}
    views = {
        service: rebalancing.PoolView(
            service,
            rows[service],
            first_size=day.plan.first_sizes[number],
            min_up=day.plan.min_up[number],
        )
        for number, service in enumerate(day.services)
    }
    for view in views.values():
        for member in view.members:
            for task in member.worker.runs.values() if member.worker else ():
                pool_loop._add_cores(view, task.group, 1)
    known_lacks: lacks.Lacks = {}
    for group in day.groups:
        if group.waiting:
            view = views[group.entry.job.queue.service]
            _record_demand(day, view, group, known_lacks)
    return list(views.values()), standby


def _record_demand(day, view, group, known_lacks) -> None:
    fits_nowhere = lacks.record_lack(
        view,
        group,
        machines(day).values(),
        lambda: shortage.idle_capacity(
            row.worker for row in view.members if row.worker
        ),
        known_lacks,
        now_s(day),
    )
    if fits_nowhere and group.step.label:
        return
    queue = group.entry.job.queue
    if not urgency.is_too_late(group.entry, queue, LENGTHS, now_s(day)):
        waiting = len(group.waiting)
        row = pool_loop._waiting_tasks(
            group, waiting, queue, LENGTHS, now_s(day)
        )
        view.waiting.append(row)


def _move(day: Day, move: rebalancing.Move) -> None:
    machine = machines(day)[move.machine]
    worker = day.workers[move.machine]
    assert machine.pool == move.source != move.target
    assert worker is None or not worker.runs
    machines(day)[move.machine] = _in_pool(machine, move.target)
    day.workers[move.machine] = None
    day.arrivals[move.machine] = day.number + MOVE_PASSES


def _in_pool(machine: fleet.Machine, pool: str) -> fleet.Machine:
    """Return a machine in another pool."""
    return fleet.Machine(
        machine.machine,
        pool,
        machine.state,
        labels=machine.labels,
        capacity=machine.capacity,
    )
