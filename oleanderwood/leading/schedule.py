"""The leader's passes over waiting tasks, workers and leases."""

import math

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import losses as losses_
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shares
from oleanderwood.pools import workers as workers_

PASS_GAP_S = 0.01
"""Least time between two passes: events come in bursts."""

PASS_SHARE = 0.25
"""Part of the leader's time that passes take at most; the rest is for the
workers' answers, which are late otherwise."""

LONGEST_WAIT_S = 0.2
"""A pass is made at least this often: due times and pauses end unnoticed."""

ON_THE_WAY_S = 0.5
"""Time from a decision until its order has arrived."""

LIMIT_TOLD_S = 1.0
"""Time between two log lines on work that waits for a tenant's limit."""

MOST_JOBS_TOLD = 20
"""Jobs that such a line names."""

STARTS_A_PASS = 200
"""Starts decided at once for a pool."""


async def place_always(leader: states.Leader) -> None:
    """Make passes until cancelled."""
    all_placed_s = -math.inf
    while True:
        await leader.due.wait(LONGEST_WAIT_S)
        began_s = clock.now_s()
        await check_leases(leader)
        pools = leader.due.take()
        if began_s - all_placed_s >= LONGEST_WAIT_S:
            pools = None
        if pools is None:
            all_placed_s = began_s
        if states.may_act(leader):
            await place(leader, pools)
        took_s = clock.now_s() - began_s
        await curio.sleep(max(PASS_GAP_S, took_s * (1 / PASS_SHARE - 1)))


async def check_leases(leader: states.Leader) -> None:
    """Give up the runs of silent workers whose leases have ended.

    Only while nobody else can have led and renewed them: a former leader that
    is confirmed without the store started runs again that its successor held.
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
            losses = losses_.note(leader, worker)
            tasks = workers_.lost(leader.ledger, worker, now_s)
            for task in tasks:
                task.given_up = True
            event_log.emit(
                'worker',
                'lease-over',
                worker=worker.entry.worker,
                tasks=[task.name for task in tasks],
                **losses_.told(losses),
            )
            await leader.unkept.set()
            await worker_loop.stop_ended_jobs(leader)
        if not worker.listed:
            await worker_loop.lost(leader, worker, 'silent and unlisted')


def unresolved(leader: states.Leader) -> set[ids.ServiceId]:
    """Give the pools with a worker that may run what we don't know of.

    It was in use under an earlier term, hasn't told under this one of all
    that runs and has ended there, and a lease of that time may not have
    ended. What an earlier leader may have started, by the term under which
    it was accepted, isn't started again in such a pool.
    """
    return {
        worker.entry.service
        for worker in leader.workers.values()
        if not worker.heard and _may_hold(leader, worker)
    }


def _may_hold(leader: states.Leader, worker: workers_.Worker) -> bool:
    """Say whether a worker may have a run or an end that we don't know.

    One that answers keeps its ends until they are acknowledged. Without our
    mark in the store, a later leader may have renewed its lease.
    """
    answers = worker.fenced and worker.silent_since_s is None
    return (
        answers
        or clock.now_s() <= worker.lease_end_s
        or not states.holds_lease(leader)
    )


def _held_back(
    leader: states.Leader,
    entry: ledgers.Entry,
    blocked: set[ids.ServiceId],
    now_s: float,
) -> bool:
    """Say whether a worker that we can't ask may run tasks of a job.

    The operator may have given its queue another pool since; so it is the
    pools that count in which leaders may have started its tasks.
    """
    if not entry.inherited:
        return False
    until_s = leader.rosters_unread_until_s
    if now_s <= until_s or (until_s > 0 and not states.holds_lease(leader)):
        return True
    return bool(blocked) and not blocked.isdisjoint(ledgers.kept_pools(entry))


async def place(
    leader: states.Leader, only: set[ids.ServiceId] | None = None
) -> None:
    """Decide starts, and order them.

    :param only: pools that something has changed in; None: all of them
    """
    now_s = clock.now_s()
    known = states.known_queues(leader)
    blocked = unresolved(leader)
    quotas = quotas_of(leader, blocked, now_s)
    ready = placing.by_service(
        leader.ledger,
        known,
        leader.lengths,
        clock.wall_ms(),
        now_s,
        only,
        _in_turn(leader, quotas),
    )
    pools: dict[ids.ServiceId, list[workers_.Worker]] = {}
    for worker in leader.workers.values():
        if worker.rostered and worker.entry.service in ready:
            pools.setdefault(worker.entry.service, []).append(worker)
    if _entries_are_old(leader, now_s):
        ready = _guarded_only(leader, ready)
    for service, groups in ready.items():
        groups = [
            row
            for row in groups
            if not _held_back(leader, row.entry, blocked, now_s)
        ]
        for task in placing.parted(groups, now_s):
            await worker_loop.stop_run(leader, task)
        pool = pools.get(service, [])
        groups = await _startable(leader, groups, service, pool, quotas)
        decided = placing.decide(groups, pool, now_s, STARTS_A_PASS, quotas)
        await _order(leader, decided, now_s)
    _tell_limits(leader, ready, quotas, now_s)


def _in_turn(leader: states.Leader, quotas: quotas_.Quotas) -> placing.InTurn:
    """Make the order of groups of the same urgency, by tenants' shares."""
    weights = states.weights(leader)
    if not weights:
        return list
    whole = model.total(
        worker.entry.capacity for worker in leader.workers.values()
    )
    return lambda groups: shares.in_turn(groups, quotas, weights, whole)


def _tell_limits(
    leader: states.Leader,
    ready: dict[ids.ServiceId, list[ledgers.Group]],
    quotas: quotas_.Quotas,
    now_s: float,
) -> None:
    """Say now and then whose jobs wait for their tenant's limit."""
    if not quotas.limits:
        return
    held: dict[ids.TenantId, dict[ids.JobId, None]] = {}
    for groups in ready.values():
        for group in groups:
            job = group.entry.job
            if group.waiting and not quotas_.allows(quotas, group):
                held.setdefault(job.tenant, {})[job.job] = None
    for tenant, jobs in held.items():
        told_s = leader.limits_told_s.get(tenant, -math.inf)
        if now_s - told_s < LIMIT_TOLD_S or tenant not in quotas.limits:
            continue
        leader.limits_told_s[tenant] = now_s
        event_log.emit(
            'tenant',
            'at-limit',
            tenant=tenant,
            jobs=list(jobs)[:MOST_JOBS_TOLD],
            waiting=len(jobs),
            running=msgspec.structs.asdict(_as_resources(quotas.used[tenant])),
            limit=msgspec.structs.asdict(quotas.limits[tenant]),
        )


def _as_resources(used: quotas_.Used) -> model.Resources:
    return model.Resources(used.cpu_millicores, used.memory_mb, used.gpus)


def quotas_of(
    leader: states.Leader, blocked: set[ids.ServiceId], now_s: float
) -> quotas_.Quotas:
    """Give what teams and tenants may still start.

    :param blocked: pools with workers that may run what we don't know of
    """
    limits = leader.server.limits
    unseen = quotas_.Unseen()
    if limits and (blocked or leader.rosters_unread_until_s > 0):
        unseen = quotas_.Unseen(
            [
                group
                for group in leader.ledger.open_groups
                if _held_back(leader, group.entry, blocked, now_s)
            ],
            _unheard_capacity(leader, now_s),
        )
    return quotas_.make(
        leader.policy.policy,
        leader.workers.values(),
        leader.ledger,
        limits,
        unseen,
    )


def _unheard_capacity(
    leader: states.Leader, now_s: float
) -> model.Resources | None:
    """Give what workers can hold that may run what we don't know of.

    None if not all of them are known.
    """
    if now_s <= leader.rosters_unread_until_s:
        return None
    return model.total(
        worker.entry.capacity
        for worker in leader.workers.values()
        if not worker.heard and _may_hold(leader, worker)
    )


def _entries_are_old(leader: states.Leader, now_s: float) -> bool:
    """Say whether rooms may have shrunk for so long that it counts.

    An entry is written once a heartbeat, and a room that has shrunk counts a
    contact later; so what was heard has to be as young as that. While the
    store was away none was written.
    """
    settings = leader.server.settings
    age_s = now_s - leader.entries_heard_s
    back_s = now_s - leader.server.back_s
    return (
        age_s > settings.contact_ms / 1000 - ON_THE_WAY_S
        or back_s < settings.heartbeat_ms / 1000 + ON_THE_WAY_S
    )


def _guarded_only(
    leader: states.Leader,
    ready: dict[ids.ServiceId, list[ledgers.Group]],
) -> dict[ids.ServiceId, list[ledgers.Group]]:
    """Give what waits in pools whose workers refuse what doesn't fit."""
    configuration = leader.server.configuration
    guarded = configuration.guarded if configuration else frozenset()
    return {name: rows for name, rows in ready.items() if name in guarded}


async def _startable(
    leader: states.Leader,
    groups: list[ledgers.Group],
    service: ids.ServiceId,
    pool: list[workers_.Worker],
    quotas: quotas_.Quotas,
) -> list[ledgers.Group]:
    """Give the groups whose jobs may be started in a pool by now.

    Of the others, whose queue was given this pool since, only those are
    written that there is room for: 200 that wait took 15 writes at once.
    """
    kept = [row for row in groups if ledgers.may_start_in(row.entry, service)]
    if len(kept) == len(groups):
        return groups
    trial = placing.decide(
        groups, pool, clock.now_s(), STARTS_A_PASS, quotas_.copy(quotas)
    )
    # In order, so that the same day goes the same way again.
    for entry in dict.fromkeys(row.task.group.entry for row in trial):
        if not ledgers.may_start_in(entry, service):
            ledgers.open_pool(leader.ledger, entry, service)
            await leader.unkept.set()
    return kept


async def _order(
    leader: states.Leader, decided: list[placing.Placement], now_s: float
) -> None:
    gangs: dict[ledgers.Group, int] = {}
    orders = []
    # All begin before any order is passed on: a gang's members go on from
    # the same saved work.
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
        run = ledgers.begin(leader.ledger, task, name, now_s, attempt)
        worker.runs[task.name] = task
        orders.append((name, states.StartOrder(task, run)))
    for name, order in orders:
        await leader.orders[name].put(order)
