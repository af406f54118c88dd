"""The leader's scheduling passes over waiting tasks, workers and leases."""

import dataclasses
import math

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import load_control
from oleanderwood.leading import losses as losses_
from oleanderwood.leading import slow_workers
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.pools import burst_order
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import reports
from oleanderwood.pools import shares
from oleanderwood.pools import spreading
from oleanderwood.pools import waiting_order
from oleanderwood.pools import worker_speed
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics
from oleanderwood.tenants import usage as usage_
from oleanderwood import turns

MIN_PASS_GAP_S = 0.01
"""Shortest pause between two passes: events come in bursts, and one pass
handles them together."""

PASS_SHARE = 0.25
"""Largest fraction of the leader's time that passes take. The rest is left for
workers' answers, which would otherwise be read late."""

MAX_PASS_INTERVAL_S = 0.2
"""Longest time between two passes: due times and pauses end without an
event."""

ORDER_DELIVERY_S = 0.5
"""Time from a decision until its order has reached the worker."""

LIMIT_LOG_INTERVAL_S = 1.0
"""Interval between two log lines on work that waits for a tenant's limit."""

BURST_LOG_INTERVAL_S = 1.0
"""Interval between two log lines on one pool that has more work than it can
serve."""

MAX_JOBS_LOGGED = 20
"""Largest number of jobs named in such a line."""

UNEVENNESS_LOG_INTERVAL_S = 1.0
"""Interval between two log lines on the slower workers of a pool."""

MAX_STARTS_PER_PASS = 200
"""Largest number of starts decided for a pool in one pass."""


@dataclasses.dataclass(frozen=True)
class Unevenness:
    """How a pool's workers differ, as far as placement weighs it.

    :ivar speeds: None where all workers are treated alike
    :ivar is_spread: a job's tasks are spread over racks
    """

    speeds: worker_speed.Speeds | None = None
    is_spread: bool = False


EVEN = Unevenness()


async def place_always(leader: states.Leader) -> None:
    """Run scheduling passes until cancelled."""
    all_placed_s = -math.inf
    while True:
        await leader.placement_due.wait(MAX_PASS_INTERVAL_S)
        began_s = clock.now_s()
        await check_leases(leader)
        pools = leader.placement_due.take()
        if began_s - all_placed_s >= MAX_PASS_INTERVAL_S:
            pools = None
        if pools is None:
            all_placed_s = began_s
        if states.may_act(leader):
            await place(leader, pools)
        took_s = clock.now_s() - began_s
        turns.record('pass', took_s)
        await curio.sleep(max(MIN_PASS_GAP_S, took_s * (1 / PASS_SHARE - 1)))


async def check_leases(leader: states.Leader) -> None:
    """Mark the runs of silent workers whose leases have ended as lost.

    Do so only while no other server can have led and renewed those leases: a
    previous leader that other servers confirmed without the store started runs
    again that its successor kept alive.
    """
    if not states.holds_lease(leader):
        return
    now_s = clock.now_s()
    for worker in list(leader.workers.values()):
        if worker.fenced and worker.silent_since_s is None:
            continue
        if now_s <= worker.lease_end_s:
            continue
        if worker.runs:
            losses = losses_.record(leader, worker)
            tasks = workers_.end_all_runs(leader.ledger, worker, now_s)
            for task in tasks:
                task.presumed_over = True
            event_log.emit(
                'worker',
                'lease-over',
                worker=worker.entry.worker,
                tasks=[task.name for task in tasks],
                **losses_.log_fields(losses),
            )
            await leader.progress_changed.set()
            await worker_loop.stop_ended_jobs(leader)
        if not worker.listed:
            await worker_loop.mark_gone(leader, worker, 'silent and unlisted')


def pools_with_unknown_runs(leader: states.Leader) -> set[ids.ServiceId]:
    """Return the pools with a worker that may have runs unknown to the leader.

    Such a worker was used under an earlier term, has not yet reported all its
    runs and ends under this one, and may still hold a lease of that time.
    Tasks that an earlier leader may have started, judged by the term under
    which their job was accepted, are not started again in such a pool.
    """
    return {
        worker.entry.service
        for worker in leader.workers.values()
        if not worker.has_reported and _may_have_unknown_runs(leader, worker)
    }


def _may_have_unknown_runs(
    leader: states.Leader, worker: workers_.Worker
) -> bool:
    """Return whether a worker may have a run or an end that is not known.

    A worker that answers keeps its ends until they are acknowledged. Unless
    the leader's lease is in force, a later leader may have renewed the
    worker's lease.
    """
    is_answering = worker.fenced and worker.silent_since_s is None
    return (
        is_answering
        or clock.now_s() <= worker.lease_end_s
        or not states.holds_lease(leader)
    )


def _may_run_unseen(
    leader: states.Leader,
    entry: ledgers.Entry,
    blocked: set[ids.ServiceId],
    now_s: float,
) -> bool:
    """Return whether an unreachable worker may be running tasks of a job.

    The operator may have moved the job's queue to another pool since, so
    every pool counts in which leaders may have started its tasks.
    """
    if not entry.inherited:
        return False
    until_s = leader.worker_lists_unread_until_s
    if now_s <= until_s or (until_s > 0 and not states.holds_lease(leader)):
        return True
    return bool(blocked) and not blocked.isdisjoint(
        ledgers.stored_pools(entry)
    )


async def place(
    leader: states.Leader, only: set[ids.ServiceId] | None = None
) -> None:
    """Decide which tasks start, and queue the orders to start them.

    :param only: pools in which something has changed; None: all pools
    """
    now_s = clock.now_s()
    known = states.known_queues(leader)
    blocked = pools_with_unknown_runs(leader)
    quotas = quotas_of(leader, blocked, now_s)
    is_placement_on = load_control.switches(leader).placement
    pools: dict[ids.ServiceId, list[workers_.Worker]] = {}
    for worker in leader.workers.values():
        if worker.is_in_stored_list:
            pools.setdefault(worker.entry.service, []).append(worker)
    ordering = _ordering(leader, pools, now_s)
    ready = waiting_order.ready_by_pool(
        leader.ledger,
        known,
        leader.lengths,
        clock.wall_ms(),
        now_s,
        only,
        _share_order(leader, quotas, ordering),
        ordering,
    )
    if _entries_are_stale(leader, now_s):
        ready = _guarded_only(leader, ready)
    for service, groups in ready.items():
        groups = [
            row
            for row in groups
            if not _may_run_unseen(leader, row.entry, blocked, now_s)
        ]
        for task in placing.incomplete_gang_members(groups, now_s):
            await worker_loop.stop_run(leader, task)
        pool = pools.get(service, [])
        uneven = EVEN
        if is_placement_on:
            uneven = unevenness(leader, service, pool, groups)
            _log_unevenness(leader, service, uneven, now_s)
        groups = await _startable(
            leader, groups, service, pool, quotas, uneven
        )
        decided = placing.decide(
            groups,
            pool,
            now_s,
            MAX_STARTS_PER_PASS,
            quotas,
            uneven.speeds,
            uneven.is_spread,
        )
        _count_starts(decided, uneven)
        await _enqueue_starts(leader, decided, now_s)
    _log_limits(leader, ready, quotas, now_s)
    if ordering is not None:
        _log_bursts(leader, ordering, now_s)


def _ordering(
    leader: states.Leader,
    pools: dict[ids.ServiceId, list[workers_.Worker]],
    now_s: float,
) -> burst_order.Ordering | None:
    """Return what orders the work of a burst; None if that is not in force.

    Tenants' use is measured in each pass, as passes are the only starts.
    """
    if not load_control.switches(leader).ordering:
        leader.usage = usage_.Usage()
        return None
    half_life_s = leader.policy.policy.load.usage_half_life_s
    running_cores = burst_order.running_cores(leader.ledger)
    usage_.advance(leader.usage, running_cores, half_life_s, now_s)
    return burst_order.Ordering(
        pools, leader.usage, states.tenant_weights(leader)
    )


def _log_bursts(
    leader: states.Leader, ordering: burst_order.Ordering, now_s: float
) -> None:
    """Log which pools can't serve all that waits, at limited intervals."""
    for service, burst in ordering.bursts.items():
        server_metrics.BURST_PASSES.labels(pool=service).inc()
        logged_s = leader.bursts_logged_s.get(service, -math.inf)
        if now_s - logged_s < BURST_LOG_INTERVAL_S:
            continue
        leader.bursts_logged_s[service] = now_s
        event_log.emit(
            'pool',
            'burst-ordered',
            pool=service,
            cores=round(burst.cores, 1),
            jobs=burst.waiting,
            in_time=len(burst.chosen),
        )


def unevenness(
    leader: states.Leader,
    service: ids.ServiceId,
    pool: list[workers_.Worker],
    groups: list[ledgers.Group],
) -> Unevenness:
    """Return how a pool's workers differ, for the placement of groups.

    A pool whose need is not known yet is packed, as it may give machines away.
    """
    need = leader.fleet.needs.get(service)
    needed = need.now if need is not None else None
    racks = (reports.rack(worker.entry) for worker in pool)
    return Unevenness(
        slow_workers.speeds(
            leader, pool, groups, needed is None or len(pool) > needed
        ),
        spreading.applies(racks, len(pool), needed),
    )


def _log_unevenness(
    leader: states.Leader,
    service: ids.ServiceId,
    uneven: Unevenness,
    now_s: float,
) -> None:
    """Log the slower workers of a pool, at limited intervals."""
    logged_s = leader.unevenness_logged_s.get(service, -math.inf)
    if not uneven.speeds.classes or (
        now_s - logged_s < UNEVENNESS_LOG_INTERVAL_S
    ):
        return
    leader.unevenness_logged_s[service] = now_s
    event_log.emit(
        'placement',
        'uneven',
        service=service,
        classes={
            name: int(speed_class)
            for name, speed_class in uneven.speeds.classes.items()
        },
        is_spread=uneven.is_spread,
        packs=uneven.speeds.packs,
    )


def _count_starts(
    decided: list[placing.Placement], uneven: Unevenness
) -> None:
    """Count the starts on slower workers."""
    if uneven.speeds is None:
        return
    for row in decided:
        speed_class = uneven.speeds.classes.get(row.worker.entry.worker)
        if speed_class is not None:
            server_metrics.SLOWER_STARTS.labels(str(int(speed_class))).inc()


def _share_order(
    leader: states.Leader,
    quotas: quotas_.Quotas,
    ordering: burst_order.Ordering | None,
) -> waiting_order.TenantOrder:
    """Return the ordering of equally urgent groups, by tenants' shares."""
    weights = states.tenant_weights(leader)
    if not weights:
        return list
    whole = model.total(
        worker.entry.capacity for worker in leader.workers.values()
    )
    recent = ordering.usage if ordering is not None else None
    return lambda groups: shares.order_by_share(
        groups, quotas, weights, whole, recent
    )


def _log_limits(
    leader: states.Leader,
    ready: dict[ids.ServiceId, list[ledgers.Group]],
    quotas: quotas_.Quotas,
    now_s: float,
) -> None:
    """Log which tenants' jobs wait for their limit, at limited intervals."""
    if not quotas.limits:
        return
    waiting: dict[ids.TenantId, dict[ids.JobId, None]] = {}
    for groups in ready.values():
        for group in groups:
            job = group.entry.job
            if group.waiting and not quotas_.allows(quotas, group):
                waiting.setdefault(job.tenant, {})[job.job] = None
    for tenant, jobs in waiting.items():
        logged_s = leader.limits_logged_s.get(tenant, -math.inf)
        if (
            now_s - logged_s < LIMIT_LOG_INTERVAL_S
            or tenant not in quotas.limits
        ):
            continue
        leader.limits_logged_s[tenant] = now_s
        event_log.emit(
            'tenant',
            'at-limit',
            tenant=tenant,
            jobs=list(jobs)[:MAX_JOBS_LOGGED],
            waiting=len(jobs),
            running=msgspec.structs.asdict(_as_resources(quotas.used[tenant])),
            limit=msgspec.structs.asdict(quotas.limits[tenant]),
        )


def _as_resources(used: quotas_.Usage) -> model.Resources:
    return model.Resources(used.cpu_millicores, used.memory_mb, used.gpus)


def quotas_of(
    leader: states.Leader, blocked: set[ids.ServiceId], now_s: float
) -> quotas_.Quotas:
    """Return what teams and tenants may still start.

    :param blocked: pools with workers that may have runs unknown to the leader
    """
    limits = leader.server.limits
    unseen = quotas_.Unseen()
    if limits and (blocked or leader.worker_lists_unread_until_s > 0):
        unseen = quotas_.Unseen(
            [
                group
                for group in leader.ledger.open_groups
                if _may_run_unseen(leader, group.entry, blocked, now_s)
            ],
            _unreported_capacity(leader, now_s),
        )
    return quotas_.make(
        leader.policy.policy,
        leader.workers.values(),
        leader.ledger,
        limits,
        unseen,
    )


def _unreported_capacity(
    leader: states.Leader, now_s: float
) -> model.Resources | None:
    """Return the capacity of workers that may have unknown runs.

    None if some of these workers may be unknown themselves.
    """
    if now_s <= leader.worker_lists_unread_until_s:
        return None
    return model.total(
        worker.entry.capacity
        for worker in leader.workers.values()
        if not worker.has_reported and _may_have_unknown_runs(leader, worker)
    )


def _entries_are_stale(leader: states.Leader, now_s: float) -> bool:
    """Return whether free capacity may have been out of date for too long.

    An entry is written once per heartbeat, and a capacity that has shrunk
    takes effect one contact interval later, so the entries must be newer than
    one such interval. No entry was written while the store was unavailable.
    """
    settings = leader.server.settings
    age_s = now_s - leader.entries_confirmed_s
    back_s = now_s - leader.server.store_back_since_s
    return (
        age_s > settings.contact_ms / 1000 - ORDER_DELIVERY_S
        or back_s < settings.heartbeat_ms / 1000 + ORDER_DELIVERY_S
    )


def _guarded_only(
    leader: states.Leader,
    ready: dict[ids.ServiceId, list[ledgers.Group]],
) -> dict[ids.ServiceId, list[ledgers.Group]]:
    """Return the groups of pools whose workers refuse what does not fit."""
    configuration = leader.server.configuration
    guarded = configuration.guarded if configuration else frozenset()
    return {name: rows for name, rows in ready.items() if name in guarded}


async def _startable(
    leader: states.Leader,
    groups: list[ledgers.Group],
    service: ids.ServiceId,
    pool: list[workers_.Worker],
    quotas: quotas_.Quotas,
    uneven: Unevenness = EVEN,
) -> list[ledgers.Group]:
    """Return the groups whose jobs may already be started in a pool.

    The queues of the others were moved to this pool later. Of these, only
    those that fit are recorded in the store as startable here: recording all
    of 200 waiting jobs took 15 writes at once.
    """
    startable = [
        row for row in groups if ledgers.may_start_in(row.entry, service)
    ]
    if len(startable) == len(groups):
        return groups
    trial = placing.decide(
        groups,
        pool,
        clock.now_s(),
        MAX_STARTS_PER_PASS,
        quotas_.copy(quotas),
        uneven.speeds,
        uneven.is_spread,
    )
    # Ordered, so that a simulated day is reproducible.
    for entry in dict.fromkeys(row.task.group.entry for row in trial):
        if not ledgers.may_start_in(entry, service):
            ledgers.open_pool(leader.ledger, entry, service)
            await leader.progress_changed.set()
    return startable


async def _enqueue_starts(
    leader: states.Leader, decided: list[placing.Placement], now_s: float
) -> None:
    gangs: dict[ledgers.Group, int] = {}
    orders = []
    # All runs begin before any order is queued: the members of a gang have to
    # resume from the same checkpoint.
    for placement in decided:
        task = placement.task
        attempt = None
        if task.group.step.gang:
            if task.group not in gangs:
                gangs[task.group] = max(
                    ledgers.next_attempt(leader.ledger, member)
                    for member in task.group.tasks
                )
            attempt = gangs[task.group]
        worker = placement.worker
        name = worker.entry.worker
        run = ledgers.begin_run(leader.ledger, task, name, now_s, attempt)
        worker.runs[task.name] = task
        orders.append((name, states.StartOrder(task, run)))
    for name, order in orders:
        await leader.orders[name].put(order)
