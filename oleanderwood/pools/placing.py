"""Decides which waiting task starts on which worker. Pure.

Designed for bursts: each queue submits five times its mean load in a burst,
more than its pool can hold, and almost nothing between bursts.
"""

import collections.abc
import dataclasses

from oleanderwood.jobs import crash_backoff
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import reports
from oleanderwood.pools import spreading
from oleanderwood.pools import worker_speed
from oleanderwood.pools import workers as workers_


MAX_LONG_RUNNING_PER_WORKER = 3
"""Long-running tasks of one step that are packed onto one worker while others
have free capacity. Packing more frees whole machines for other pools; packing
fewer speeds up maintenance, which has to move them off the machine one at a
time."""


RESERVED_WORKERS_DIVISOR = 2
"""While other steps wait, at most one in this many workers of a pool, but at
least one, is reserved for tasks suspected of crashing their worker."""


INCOMPLETE_GANG_S = 0.4
"""Time in seconds after which the running members of a gang that lacks a
member are stopped. When a member of a complete gang ends, the others end on
their own, and the workers report that within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A decision to start one task on one worker."""

    task: ledgers.Task
    worker: workers_.Worker


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """Free resources of a worker while starts are decided.

    :ivar suspect: the worker seems to fail or stall all that it runs
    :ivar batch_count: tasks on the worker that are not long-running
    :ivar has_latency_tasks: a task on the worker has a latency target
    :ivar leftover_demand_millicores: CPU requested by the tasks that use
        leftover capacity
    :ivar task_counts: number of tasks on the worker, by step
    :ivar rejected_needs: smallest request that the worker recently rejected
        for lack of resources
    :ivar reserved: reserved for a task suspected of crashing its worker
    :ivar unsettled_s: time until every task on the worker has run long enough
        not to be suspected of a crash
    :ivar speeds: speeds of the pool's workers; None: all are treated alike
    :ivar speed_class: how much slower than its pool the worker is
    :ivar racks: tasks of each job by rack, shared by the pool's workers; None:
        tasks are not spread
    """

    worker: workers_.Worker
    cpu_millicores: int
    memory_mb: int
    gpus: int
    rack: str
    suspect: bool
    batch_count: int = 0
    long_running_count: int = 0
    has_latency_tasks: bool = False
    leftover_demand_millicores: int = 0
    rejected_needs: model.Resources | None = None
    reserved: bool = False
    unsettled_s: float = 0.0
    speeds: worker_speed.Speeds | None = None
    speed_class: worker_speed.SpeedClass = worker_speed.SpeedClass.NORMAL
    racks: spreading.RackCounts | None = None
    task_counts: dict[ledgers.Group, int] = dataclasses.field(
        default_factory=dict
    )


def free_capacity(
    pool: list[workers_.Worker], now_s: float
) -> list[FreeCapacity]:
    """Return the free resources of the workers that accept tasks."""
    found = []
    for worker in pool:
        if not workers_.accepts(worker, now_s):
            continue
        capacity = worker.entry.capacity
        candidate = FreeCapacity(
            worker,
            capacity.cpu_millicores,
            capacity.memory_mb,
            capacity.gpus,
            reports.rack(worker.entry),
            workers_.is_suspect(worker),
        )
        candidate.rejected_needs = workers_.recent_rejection(worker, now_s)
        for task in worker.runs.values():
            _add_task(candidate, task.group)
            candidate.has_latency_tasks = (
                candidate.has_latency_tasks
                or task.group.step.latency_target_ms > 0
            )
            if task.group.suspects and isolation.is_on_probation(task):
                candidate.reserved = True
        for group in worker.unmanaged:
            _subtract_needs(candidate, group)
        found.append(candidate)
    return found


def _record_unsettled(free: list[FreeCapacity], now_s: float) -> None:
    """Set for how long the tasks on each worker may still crash it."""
    for candidate in free:
        for task in candidate.worker.runs.values():
            if not task.run.proven:
                left_s = crashes_.SETTLED_S - (now_s - task.run.begun_s)
                candidate.unsettled_s = max(candidate.unsettled_s, left_s)


def decide(
    groups: list[ledgers.Group],
    pool: list[workers_.Worker],
    now_s: float,
    max_starts: int,
    quotas: quotas_.Quotas | None = None,
    speeds: worker_speed.Speeds | None = None,
    is_spread: bool = False,
) -> list[Placement]:
    """Decide which tasks to start, taking the groups in their order.

    :param max_starts: maximal number of starts to decide
    :param quotas: what teams and tenants may still start; they are
        charged for each start
    :param speeds: speeds of the pool's workers; None: all are treated alike
    :param is_spread: a job's tasks are spread over racks
    """
    free = free_capacity(pool, now_s)
    if speeds is not None and not speeds.classes:
        speeds = None
    if is_spread:
        # In most pools no waiting step is spread, and all runs are counted.
        is_spread = not all(
            spreading.keeps_together(group.step) for group in groups
        )
    _set_unevenness(free, pool, speeds, is_spread)
    if any(group.suspects for group in groups):
        _record_unsettled(free, now_s)
    quotas = quotas or quotas_.Quotas()
    unmet = Unmet()
    max_reserved = _max_reserved(groups, free)
    decided: list[Placement] = []
    faster = _faster(free)
    unmet_by_faster = Unmet()
    held_back: list[ledgers.Group] = []

    def place(group, candidates, known_unmet):
        if _is_unmet(known_unmet, group):
            return []
        left = max_starts - len(decided)
        return _place_tasks(
            group, candidates, now_s, left, quotas, known_unmet, max_reserved
        )

    for group in groups:
        if not free or len(decided) >= max_starts:
            break
        if _is_unmet(unmet, group):
            continue
        if group.step.gang:
            decided += _place_gang(group, free, now_s, quotas)
        elif faster and _leaves_slow(group, speeds, faster):
            placed = place(group, faster, unmet_by_faster)
            if not placed:
                held_back.append(group)
            decided += placed
        else:
            decided += place(group, free, unmet)
    for group in held_back:
        decided += place(group, free, unmet)
    return decided


def _set_unevenness(
    free: list[FreeCapacity],
    pool: list[workers_.Worker],
    speeds: worker_speed.Speeds | None,
    is_spread: bool,
) -> None:
    """Set the workers' speeds, and the tasks of each job by rack."""
    racks = spreading.RackCounts() if is_spread else None
    if racks is not None:
        for worker in pool:
            rack = reports.rack(worker.entry)
            for task in worker.runs.values():
                spreading.add(racks, task.group, rack)
    for candidate in free:
        candidate.speeds = speeds
        candidate.racks = racks
        if speeds is not None:
            candidate.speed_class = speeds.classes.get(
                candidate.worker.entry.worker, worker_speed.SpeedClass.NORMAL
            )


def _faster(free: list[FreeCapacity]) -> list[FreeCapacity]:
    """Return the healthy workers that are not much slower.

    None of them if no worker is much slower.
    """
    much_slower = worker_speed.SpeedClass.MUCH_SLOWER
    if all(row.speed_class is not much_slower for row in free):
        return []
    return [
        row
        for row in free
        if row.speed_class is not much_slower and not row.suspect
    ]


def _leaves_slow(
    group: ledgers.Group,
    speeds: worker_speed.Speeds | None,
    faster: list[FreeCapacity],
) -> bool:
    """Return whether a step leaves much slower workers to the others at first.

    Long runs gain most by waiting for a faster worker. Steps that few workers
    may run, or none of the faster ones can hold, do not wait, as short runs
    that go first in every pass would starve them. A step that gets a faster
    worker for some of its tasks waits for the next pass with the others.
    """
    step = group.step
    bound = step.label or step.max_per_worker or group.tickets is not None
    if speeds is None or bound or step.near_rack or step.uses_leftover:
        return False
    if step.is_long_running or group not in speeds.long_groups:
        return False
    if group.suspects or any(row.failed_on for row in group.waiting.values()):
        return False
    return any(
        model.needs_at_least(candidate.worker.entry.capacity, step.needs)
        for candidate in faster
    )


def _max_reserved(
    groups: list[ledgers.Group], free: list[FreeCapacity]
) -> int:
    """Return how many workers may be reserved for suspected tasks.

    The rest would be idle if all waiting steps have such tasks.
    """
    if all(group.suspects for group in groups):
        return len(free)
    return max(1, len(free) // RESERVED_WORKERS_DIVISOR)


@dataclasses.dataclass
class Unmet:
    """Requests that fit on no worker of a pool while starts are decided.

    Free capacity only shrinks during a pass, so a request that is at least as
    large need not be checked again: in a burst larger than the pool, most
    steps wait.

    :ivar long_running_needs: requests of long-running tasks, which may start
        on slow workers too
    :ivar batch_needs: requests of other tasks
    """

    long_running_needs: list[model.Resources] = dataclasses.field(
        default_factory=list
    )
    batch_needs: list[model.Resources] = dataclasses.field(
        default_factory=list
    )


def _record_unmet(unmet: Unmet, group: ledgers.Group) -> None:
    """Record that no further task of a group fits on any worker.

    A step that is restricted to some workers implies nothing about the others
    and is not recorded.
    """
    step = group.step
    bound = step.label or step.max_per_worker or group.tickets is not None
    if bound or step.uses_leftover:
        return
    rows = (
        unmet.long_running_needs if step.is_long_running else unmet.batch_needs
    )
    rows.append(step.needs)


def _is_unmet(unmet: Unmet, group: ledgers.Group) -> bool:
    """Return whether it is known that a group's tasks fit on no worker."""
    step = group.step
    if step.uses_leftover:
        return False
    rows = unmet.long_running_needs
    if not step.is_long_running:
        rows = rows + unmet.batch_needs
    return any(model.needs_at_least(step.needs, row) for row in rows)


def _place_tasks(
    group: ledgers.Group,
    free: list[FreeCapacity],
    now_s: float,
    max_starts: int,
    quotas: quotas_.Quotas,
    unmet: Unmet,
    max_reserved: int,
) -> list[Placement]:
    placed: list[Placement] = []
    for task in isolation.startable(group, now_s):
        if len(placed) >= max_starts or not quotas_.allows(quotas, group):
            break
        if _must_wait(task, now_s) or isolation.awaits_storage(task, now_s):
            continue
        best = _best_candidate(group, task, free)
        if best is None:
            _record_unmet(unmet, group)
            break
        if task.index in group.suspects:
            apart = isolation.is_kept_apart(task)
            is_isolated = _reserve(best, free, max_reserved, apart)
            if not is_isolated and not isolation.is_overdue(task, now_s):
                break
        _add_task(best, group)
        best.unsettled_s = crashes_.SETTLED_S
        quotas_.charge(quotas, group)
        placed.append(Placement(task, best.worker))
    return placed


def _must_wait(task: ledgers.Task, now_s: float) -> bool:
    return task.not_before_s > now_s or crash_backoff.is_in_backoff(
        task, now_s
    )


def _reserve(
    candidate: FreeCapacity,
    free: list[FreeCapacity],
    max_reserved: int,
    apart: bool = False,
) -> bool:
    """Reserve a worker for a suspected task; return whether it may start now.

    Nothing else is started on the worker until its other tasks have run long
    enough not to be suspected.

    :param apart: the task is known to crash workers, so it waits until the
        worker's other tasks have ended
    """
    if sum(other.reserved for other in free) >= max_reserved:
        return False
    candidate.reserved = True
    if apart and (candidate.batch_count or candidate.long_running_count):
        return False
    return candidate.unsettled_s <= 0.0


def _reserve_for_gang(
    group: ledgers.Group, placed: list[Placement], free: list[FreeCapacity]
) -> list[Placement]:
    """Reserve the workers of a suspected gang.

    :return: the placements, or none until the workers' other tasks have run
        long enough not to be suspected
    """
    used = {id(row.worker) for row in placed}
    chosen = [candidate for candidate in free if id(candidate.worker) in used]
    for candidate in chosen:
        candidate.reserved = True
    if all(candidate.unsettled_s <= 0.0 for candidate in chosen):
        return placed
    by_worker = {id(candidate.worker): candidate for candidate in chosen}
    for row in placed:
        _release(by_worker[id(row.worker)], group)
    return []


def _best_candidate(
    group: ledgers.Group, task: ledgers.Task, free: list[FreeCapacity]
) -> FreeCapacity | None:
    fitting = [candidate for candidate in free if fits(candidate, group)]
    if not fitting:
        return None
    return min(
        fitting, key=lambda candidate: _preference(candidate, group, task)
    )


def _preference(
    candidate: FreeCapacity, group: ledgers.Group, task: ledgers.Task
):
    """Return a worker's sort key: healthy first, near the data, then fullest.

    Where a pool's workers are uneven, normal ones go before slower ones, and
    racks with few tasks of the job before fullness.

    Workers are packed so that whole machines stay free to move to other
    pools. Long-running tasks are placed together, but not all on one worker.
    """
    if _is_isolated(group, task):
        # A crash then has one explanation and costs few runs.
        apart = isolation.is_kept_apart(task)
        return (
            candidate.suspect,
            apart and candidate.long_running_count + candidate.batch_count,
            candidate.unsettled_s,
            candidate.long_running_count,
            candidate.batch_count,
        )
    step = group.step
    near = not step.near_rack or candidate.rack == step.near_rack
    is_long_running = step.is_long_running
    return (
        candidate.suspect,
        candidate.worker.entry.worker == task.failed_on,
        not near,
        _speed_preference(candidate, task),
        is_long_running and candidate.worker.maintenance_due,
        is_long_running
        and candidate.task_counts.get(group, 0) >= MAX_LONG_RUNNING_PER_WORKER,
        step.uses_leftover and candidate.has_latency_tasks,
        is_long_running and not candidate.long_running_count,
        _leftover_shortfall(candidate, group),
        _rack_preference(candidate, task),
        candidate.cpu_millicores,
    )


def _is_isolated(group: ledgers.Group, task: ledgers.Task) -> bool:
    """Return whether a task is placed where a crash costs few other runs.

    So is the rest of a step with suspected tasks, unless it is long-running.
    """
    if group.step.is_long_running and not group.step.gang:
        return task.index in group.suspects
    return bool(group.suspects)


def _speed_preference(candidate: FreeCapacity, task: ledgers.Task) -> int:
    if candidate.speeds is None:
        return 0
    is_unused = not (candidate.batch_count or candidate.long_running_count)
    return worker_speed.preference(
        candidate.speeds, candidate.speed_class, task, is_unused
    )


def _rack_preference(candidate: FreeCapacity, task: ledgers.Task) -> int:
    if candidate.racks is None:
        return 0
    return spreading.preference(
        candidate.racks,
        task.group,
        candidate.rack,
        candidate.long_running_count > 0,
    )


def _leftover_shortfall(candidate: FreeCapacity, group: ledgers.Group) -> int:
    """Return the CPU that leftover tasks would lack after adding one more."""
    if not group.step.uses_leftover:
        return 0
    asked = candidate.leftover_demand_millicores + _leftover_demand(group)
    return max(0, asked - candidate.cpu_millicores)


def _leftover_demand(group: ledgers.Group) -> int:
    step = group.step
    return step.needs.cpu_millicores if step.uses_leftover else 0


def fits(candidate: FreeCapacity, group: ledgers.Group) -> bool:
    """Return whether one more task of a group may start on a worker."""
    if group.tickets is not None:
        if candidate.worker.entry.worker not in group.tickets:
            return False
    return has_capacity(candidate, group)


def has_capacity(candidate: FreeCapacity, group: ledgers.Group) -> bool:
    """Return whether one more task of a group fits, if it may run there."""
    if candidate.reserved:
        return False
    step = group.step
    needs = step.needs
    if (
        not step.uses_leftover
        and needs.cpu_millicores > candidate.cpu_millicores
    ):
        return False
    if needs.memory_mb > candidate.memory_mb or needs.gpus > candidate.gpus:
        return False
    if candidate.rejected_needs is not None and model.needs_at_least(
        needs, candidate.rejected_needs
    ):
        return False
    if step.label and step.label not in candidate.worker.entry.labels:
        return False
    limit = step.max_per_worker
    if limit and candidate.task_counts.get(group, 0) >= limit:
        return False
    if candidate.worker.slow and not step.is_long_running:
        return False
    return not (candidate.suspect and candidate.batch_count > 0)


def has_free_capacity(
    group: ledgers.Group, pool: list[workers_.Worker], now_s: float
) -> bool:
    """Return whether one more task of a group may start on some worker."""
    return any(
        fits(candidate, group) for candidate in free_capacity(pool, now_s)
    )


def _add_task(candidate: FreeCapacity, group: ledgers.Group) -> None:
    _subtract_needs(candidate, group)
    candidate.leftover_demand_millicores += _leftover_demand(group)
    candidate.batch_count += not group.step.is_long_running
    candidate.long_running_count += group.step.is_long_running
    if candidate.racks is not None:
        spreading.add(candidate.racks, group, candidate.rack)


def _subtract_needs(candidate: FreeCapacity, group: ledgers.Group) -> None:
    """Subtract the resources of a task, which may be an unmanaged run."""
    needs = group.step.needs
    if not group.step.uses_leftover:
        candidate.cpu_millicores -= needs.cpu_millicores
    candidate.memory_mb -= needs.memory_mb
    candidate.gpus -= needs.gpus
    candidate.task_counts[group] = candidate.task_counts.get(group, 0) + 1


def _release(candidate: FreeCapacity, group: ledgers.Group) -> None:
    needs = group.step.needs
    if not group.step.uses_leftover:
        candidate.cpu_millicores += needs.cpu_millicores
    candidate.memory_mb += needs.memory_mb
    candidate.gpus += needs.gpus
    candidate.task_counts[group] -= 1
    candidate.leftover_demand_millicores -= _leftover_demand(group)
    candidate.batch_count -= not group.step.is_long_running
    candidate.long_running_count -= group.step.is_long_running
    if candidate.racks is not None:
        spreading.add(candidate.racks, group, candidate.rack, -1)


def _place_gang(
    group: ledgers.Group,
    free: list[FreeCapacity],
    now_s: float,
    quotas: quotas_.Quotas,
) -> list[Placement]:
    """Place all tasks of a gang or none."""
    members = [task for task in group.tasks if not task.done]
    if any(task.run is not None for task in members):
        return []
    if any(isolation.awaits_storage(task, now_s) for task in members):
        return []
    if not quotas_.allows(quotas, group, len(members)):
        return []
    if any(_must_wait(task, now_s) for task in members):
        return []
    overdue = any(isolation.is_overdue(task, now_s) for task in members)
    without_latency_tasks = free
    if group.step.uses_leftover:
        # Next to latency-sensitive tasks, such a gang would be starved.
        without_latency_tasks = [
            candidate for candidate in free if not candidate.has_latency_tasks
        ]
    choices = [
        *candidates_by_rack(group, without_latency_tasks),
        *candidates_by_rack(group, free),
        without_latency_tasks,
        free,
    ]
    for choice in choices:
        placed = place_all(group, members, choice)
        if placed and group.suspects and not overdue:
            placed = _reserve_for_gang(group, placed, free)
        for row in placed:
            quotas_.charge(quotas, row.task.group)
        if placed:
            return placed
    return []


def candidates_by_rack(
    group: ledgers.Group, free: list[FreeCapacity]
) -> list[list[FreeCapacity]]:
    """Return the workers of each rack, preferred rack first.

    Empty for a gang that need not stay in one rack.
    """
    if not group.step.one_rack:
        return []
    # In the order of the workers; that of a set differs between processes.
    racks = dict.fromkeys(candidate.rack for candidate in free)
    near = group.step.near_rack
    return [
        [candidate for candidate in free if candidate.rack == rack]
        for rack in sorted(racks, key=lambda name: name != near)
    ]


def incomplete_gang_members(
    groups: collections.abc.Iterable[ledgers.Group], now_s: float
) -> list[ledgers.Task]:
    """Return the running members of gangs that are incomplete.

    All members of a gang are started at once, so a gang that lacks a member
    cannot become complete again.
    """
    found: list[ledgers.Task] = []
    for group in groups:
        if not group.step.gang or not group.waiting:
            continue
        waiting = group.waiting.values()
        if (
            now_s - max(task.not_serving_since_s for task in waiting)
            >= INCOMPLETE_GANG_S
        ):
            found += [task for task in group.tasks if task.run is not None]
    return found


def place_all(
    group: ledgers.Group, members: list[ledgers.Task], free: list[FreeCapacity]
) -> list[Placement]:
    """Place all of the given tasks or none, and subtract their resources."""
    taken: list[FreeCapacity] = []
    placed: list[Placement] = []
    for task in members:
        best = _best_candidate(group, task, free)
        if best is None:
            for candidate in taken:
                _release(candidate, group)
            return []
        _add_task(best, group)
        taken.append(best)
        placed.append(Placement(task, best.worker))
    return placed


def could_place_all(
    group: ledgers.Group, members: list[ledgers.Task], free: list[FreeCapacity]
) -> bool:
    """Return whether all of the given tasks fit; subtracts no resources."""
    placed = place_all(group, members, free)
    by_worker = {id(candidate.worker): candidate for candidate in free}
    for row in placed:
        _release(by_worker[id(row.worker)], group)
    return bool(placed)
