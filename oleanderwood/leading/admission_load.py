"""Measures the load of pools in which work waits, from the leader's state."""

import collections.abc

from oleanderwood.admission import controller as controllers
from oleanderwood.admission import gate as gates
from oleanderwood.admission import load as loads_
from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_
from oleanderwood.tenants import access

Groups = dict[ids.ServiceId, list[ledgers.Group]]

ARRIVED_PART = 0.8
"""Part of the machines that a pool is to have from which it no longer awaits
any. The last ones are often late, as their tasks have to end."""


def measure(
    leader: states.Leader,
    limited: collections.abc.Collection[ids.ServiceId],
    now_s: float,
) -> dict[ids.ServiceId, loads_.PoolLoad]:
    """Return the load of pools in which tasks wait, and of limited pools.

    There is one pass over the open groups; the workers are looked at only if
    tasks wait.
    """
    groups, waiting = _open_groups(leader)
    if not waiting and not limited:
        return {}
    workers: dict[ids.ServiceId, list[workers_.Worker]] = {
        pool: [] for pool in (*waiting, *limited)
    }
    for worker in leader.workers.values():
        if worker.entry.service in workers:
            workers[worker.entry.service].append(worker)
    found = {}
    for pool, rows in workers.items():
        is_limited = pool in limited
        is_waiting = _is_full(waiting.get(pool, []), rows, is_limited, now_s)
        if is_waiting or is_limited:
            found[pool] = _pool_load(
                leader, pool, groups.get(pool, []), rows, is_waiting, now_s
            )
    return found


def _open_groups(leader: states.Leader) -> tuple[Groups, Groups]:
    """Return the groups with waiting tasks by pool, and those that are ready.

    Groups are left out that more workers would not help, as their tenant's
    limit is used up, and occurrences that are not due.
    """
    known = states.known_queues(leader)
    wall_ms = clock.wall_ms()
    groups: Groups = {}
    ready: Groups = {}
    for group in leader.ledger.open_groups:
        job = group.entry.job
        if job.work.repeats and wall_ms < model.due_ms(job, group.occurrence):
            continue
        step = group.step
        if step.uses_leftover or step.is_long_running:
            continue
        if not group.waiting or _is_at_limit(leader, group):
            continue
        pool = urgency.queue_of(group.entry, known).service
        groups.setdefault(pool, []).append(group)
        if ledgers.is_ready(group, wall_ms):
            ready.setdefault(pool, []).append(group)
    return groups, ready


def _is_at_limit(leader: states.Leader, group: ledgers.Group) -> bool:
    """Return whether a further task would exceed its tenant's limit."""
    tenant = group.entry.job.tenant
    limit = leader.server.limits.get(tenant)
    running = leader.ledger.running.get(tenant)
    if limit is None or running is None:
        return False
    needs = group.step.needs
    return any(
        maximum and used + more > maximum
        for maximum, used, more in (
            (
                limit.cpu_millicores,
                running.cpu_millicores,
                needs.cpu_millicores,
            ),
            (limit.memory_mb, running.memory_mb, needs.memory_mb),
            (limit.gpus, running.gpus, needs.gpus),
        )
    )


def _is_full(
    ready: list[ledgers.Group],
    workers: list[workers_.Worker],
    is_limited: bool,
    now_s: float,
) -> bool:
    """Return whether a pool's ready tasks leave no room for others.

    They need more cores than are free, and some fit on no worker: a large task
    that waits beside free cores for small ones does not make a pool full.
    Steps that only some workers may run say nothing about the pool. Equal
    needs are looked at once.

    A limited pool is full as long as its ready tasks need all free cores.
    Machines that have just arrived have room until the next scheduling pass;
    opened to all callers each time, a pool accepted twice what it could do.
    """
    rows = {
        group.step.needs: group
        for group in ready
        if not group.step.label
        and not group.step.max_per_worker
        and not group.suspects
        and group.tickets is None
    }
    if not rows:
        return False
    free = placing.free_capacity(workers, now_s)
    needed = sum(len(group.waiting) * _cores(group) for group in ready)
    if needed <= sum(row.cpu_millicores for row in free) / 1000:
        return False
    return is_limited or any(
        not any(placing.has_capacity(candidate, group) for candidate in free)
        for group in rows.values()
    )


def _pool_load(
    leader: states.Leader,
    pool: ids.ServiceId,
    groups: list[ledgers.Group],
    workers: list[workers_.Worker],
    is_waiting: bool,
    now_s: float,
) -> loads_.PoolLoad:
    work = _accepted_work(leader, groups, now_s)
    cores = _add_running(leader, workers, work, now_s)
    return loads_.PoolLoad(
        cores=cores,
        later_cores=_later_cores(leader, pool, workers, cores),
        later_s=leader.server.settings.move_s,
        horizon_s=loads_.horizon_s(work.objectives_s),
        accepted_core_s=sum(work.by_tenant.values()),
        assured_core_s=work.assured_core_s,
        by_tenant=work.by_tenant,
        is_waiting=is_waiting,
        awaits_machines=_awaits_machines(leader, pool, len(workers)),
    )


class _Work:
    """Accepted work of a pool, added up.

    :ivar objectives_s: objectives of the jobs with waiting tasks
    :ivar assured_core_s: waiting work within its tenants' rates
    :ivar by_tenant: all of it, in core-seconds
    """

    def __init__(self) -> None:
        self.objectives_s: list[float] = []
        self.assured_core_s = 0.0
        self.by_tenant: dict[ids.TenantId, float] = {}


def _accepted_work(
    leader: states.Leader, groups: list[ledgers.Group], now_s: float
) -> _Work:
    """Add up the waiting work of jobs that are not too late."""
    work = _Work()
    known = states.known_queues(leader)
    entry = None
    is_of_use = False
    for group in groups:
        if group.entry is not entry:
            entry = group.entry
            is_of_use = _note_objective(leader, work, entry, known, now_s)
        if not is_of_use:
            continue
        length_s = lengths.of_job(leader.lengths, entry)[group.number]
        core_s = len(group.waiting) * _cores(group) * length_s
        tenant = entry.job.tenant
        work.by_tenant[tenant] = work.by_tenant.get(tenant, 0.0) + core_s
        if not entry.over_rate:
            work.assured_core_s += core_s
    return work


def _note_objective(
    leader: states.Leader,
    work: _Work,
    entry: ledgers.Entry,
    known: dict[str, queues.Queue],
    now_s: float,
) -> bool:
    """Record a waiting job's objective; return whether it is still of use."""
    queue = urgency.queue_of(entry, known)
    objective_s = urgency.objective_s(entry, queue, leader.lengths)
    if now_s - entry.arrived_s > urgency.LATE_FACTOR * objective_s:
        return False
    work.objectives_s.append(objective_s)
    return True


def _add_running(
    leader: states.Leader,
    workers: list[workers_.Worker],
    work: _Work,
    now_s: float,
) -> float:
    """Add the remaining work of running tasks; return the usable cores.

    A worker that accepts no tasks counts neither with its cores nor with its
    work, which ends without a part of the others.
    """
    cores = 0.0
    for worker in workers:
        if not workers_.accepts(worker, now_s) or worker.slow:
            continue
        cores += worker.entry.capacity.cpu_millicores / 1000
        for task in worker.runs.values():
            group = task.group
            if group.step.is_long_running:
                cores -= _cores(group)
            elif not group.step.uses_leftover:
                tenant = group.entry.job.tenant
                left_s = _left_s(leader, task, now_s)
                work.by_tenant[tenant] = (
                    work.by_tenant.get(tenant, 0.0) + _cores(group) * left_s
                )
    return max(0.0, cores)


def _left_s(leader: states.Leader, task: ledgers.Task, now_s: float) -> float:
    """Return the expected remaining time of a running task."""
    length_s = lengths.of_job(leader.lengths, task.group.entry)[
        task.group.number
    ]
    ran_s = now_s - task.run.begun_s if task.run is not None else 0.0
    return max(0.0, length_s - ran_s)


def _cores(group: ledgers.Group) -> float:
    return group.step.needs.cpu_millicores / 1000


def _awaits_machines(
    leader: states.Leader, pool: ids.ServiceId, machines: int
) -> bool:
    """Return whether a pool is about to get many machines."""
    need = leader.fleet.needs.get(pool)
    wanted = leader.fleet.grants.get(pool)
    if wanted is None:
        wanted = need.now if need is not None else 0
    return machines < ARRIVED_PART * wanted


def _later_cores(
    leader: states.Leader,
    pool: ids.ServiceId,
    workers: list[workers_.Worker],
    cores: float,
) -> float:
    """Return the cores that a pool has once machines have been moved.

    Where pools are granted machines, these count. Without a grant, the pool
    keeps the machines that it has.
    """
    granted = leader.fleet.grants.get(pool)
    if granted is None or not leader.fleet.machines:
        return cores
    millicores = [
        machine.capacity.cpu_millicores
        for machine in leader.fleet.machines.values()
        if machine.state is not fleet.State.DOWN
    ]
    if not millicores:
        return cores
    mean_cores = sum(millicores) / len(millicores) / 1000
    return max(0.0, cores + (granted - len(workers)) * mean_cores)


def arrivals(
    leader: states.Leader,
    pools: collections.abc.Container[ids.ServiceId],
    now_s: float,
) -> list[loads_.Arrival]:
    """Return the jobs that arrived in the last second, in all pools.

    Jobs of this leader's term are in the ledger in the order of arrival.

    :param pools: those for whose jobs the work is told
    """
    known = states.known_queues(leader)
    found = []
    for entry in reversed(leader.ledger.entries.values()):
        if now_s - entry.arrived_s > controllers.ARRIVAL_WINDOW_S:
            break
        job = entry.job
        queue = urgency.queue_of(entry, known)
        tenant = job.tenant
        if queue.public or gates.is_exempt(job.work):
            tenant = access.NO_TENANT
        core_s = 0.0
        if queue.service in pools:
            core_s = _work_core_s(leader, entry)
        found.append(
            controllers.arrival(
                leader.admission,
                queue.service,
                tenant,
                job.job,
                core_s,
                entry.arrived_s,
                now_s,
            )
        )
    return found


def _work_core_s(leader: states.Leader, entry: ledgers.Entry) -> float:
    """Return the expected work of one occurrence of a job."""
    expected_s = lengths.of_job(leader.lengths, entry)
    return sum(
        step.tasks * step.needs.cpu_millicores / 1000 * length_s
        for step, length_s in zip(
            entry.job.work.steps, expected_s, strict=True
        )
        if not step.is_long_running and not step.uses_leftover
    )
