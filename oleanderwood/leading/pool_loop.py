"""The leader's list of machines, and moves of machines between pools."""

import collections

import curio

from oleanderwood.capacity import backlog
from oleanderwood.capacity import demand
from oleanderwood.capacity import draining
from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.leading import closing
from oleanderwood.leading import drains
from oleanderwood.leading import lacks
from oleanderwood.leading import load_control
from oleanderwood.leading import machine_handover
from oleanderwood.leading import relocating
from oleanderwood.leading import relocations
from oleanderwood.leading import schedule
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling
from oleanderwood.platform import machines as machine_calls
from oleanderwood.policy import model as policies
from oleanderwood.pools import advised
from oleanderwood.pools import incarnations
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shares
from oleanderwood.pools import shortage
from oleanderwood.pools import slowness
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

LIST_LAG_S = 1.0
"""Longest time by which a worker's entry may precede the worker's appearance
in the machine list."""

SHORTAGE_LOG_INTERVAL_S = 1.0
"""Interval between two log lines on pools that lack machines, and between two
on the grants of pools."""

INVALID_PAUSE_S = 60.0
"""Time for which a machine is not moved after the platform rejected its move
as invalid."""

MAX_CONCURRENT_MOVES = 12
"""Moves in flight at the same time, fewer than the connections to the
platform's interface: a burst of demand needs a hundred moves at once, and one
that waits for a connection would be sent long after it was announced."""

ORDERED_STATES = (fleet.State.MOVING, fleet.State.MAINTAINED)
"""States of machines that were ordered down; other machines that go down have
crashed."""

MAX_LIST_AGE_S = 1.0
"""Age of the machine list beyond which no decisions are based on it."""


async def read_machines(leader: states.Leader) -> None:
    """Read the machine list, and mark workers that it proves to be gone."""
    sent_s = clock.now_s()
    leader.fleet.machines_asked_s = sent_s
    try:
        machines = await machine_calls.read_all(leader.machine_calls)
    except errors.CallFailed as error:
        # The list becomes stale, and a stale list is not used.
        event_log.emit('fleet', 'not-read', why=error.reason)
        return
    leader.fleet.machines_read_s = sent_s
    leader.fleet.machines = {machine.machine: machine for machine in machines}
    await _drop_unlisted_workers(leader, sent_s)
    for progress in leader.fleet.waves.values():
        rolling.remove_returned(
            progress,
            leader.fleet.machines,
            sent_s,
            leader.server.settings.maintenance_s,
        )


async def _drop_unlisted_workers(leader: states.Leader, sent_s: float) -> None:
    """Mark the workers that the machine list proves to be gone.

    A machine listed with another worker, or as not up, is proof. The list is
    read in pages, and a machine may be missed between two of them, so a
    machine that is not listed at all has to be missing twice.
    """
    machines = leader.fleet.machines
    live_executors = {
        machine.worker
        for machine in machines.values()
        if machine.state is fleet.State.UP
    }
    missing = set()
    for worker in list(leader.workers.values()):
        name = worker.entry.worker
        silent_since_s = worker.silent_since_s
        executor = incarnations.executor_of(name)
        if (
            worker.first_contact_s > sent_s - LIST_LAG_S
            or executor in live_executors
        ):
            continue
        if silent_since_s is not None and silent_since_s > sent_s:
            continue
        if leader.last_report_s.get(name, 0.0) > sent_s:
            # It answered a call sent after the list was requested.
            continue
        missing.add(name)
        listed = worker.entry.machine in machines
        if listed or name in leader.fleet.missing_workers:
            machine = machines.get(worker.entry.machine)
            planned = machine is not None and machine.state in ORDERED_STATES
            await worker_loop.mark_gone(
                leader, worker, 'its machine is down', planned
            )
    leader.fleet.missing_workers = missing


async def balance(leader: states.Leader) -> None:
    """Move machines between pools ahead of the pools' demand."""
    now_s = clock.now_s()
    settings = leader.server.settings
    configuration = leader.server.configuration
    if (
        now_s - leader.fleet.machines_read_s > MAX_LIST_AGE_S
        or configuration is None
    ):
        _record_grants(leader, {})
        await drains.set_reclaimed(leader, [])
        return
    leader.fleet.arrival_history.pools = frozenset(
        queue.service for queue in configuration.queues
    )
    for pool in configuration.services:
        demand.update_burst_state(leader.fleet.arrival_history, pool, now_s)
    is_shared = load_control.switches(leader).balancing
    views, standby = _pool_views(leader, now_s)
    if is_shared:
        _record_late_runs(leader, views, now_s)
    decision = rebalancing.decide(
        views,
        standby,
        leader.fleet.arrival_history,
        settings.move_s,
        now_s,
        leader.policy.policy.weights,
        _sharing(leader) if is_shared else None,
    )
    moves = decision.moves[: machine_handover.allowance(leader)]
    leader.fleet.needs = decision.needs
    _record_grants(leader, decision.grants)
    _log_contention(leader, views, decision, now_s)
    _log_shortage(leader, views, decision, now_s)
    lacks.log_changes(leader, views)
    await drains.follow(leader, views, decision, now_s, keeps=is_shared)
    if not moves:
        return
    names = [move.machine for move in moves]
    if not await machine_handover.announce(leader, names):
        return
    leader.fleet.orders_left -= len(moves)
    await _send_moves(leader, moves)
    await read_machines(leader)


def _sharing(leader: states.Leader) -> rebalancing.Sharing:
    settings = leader.server.settings
    rules = draining.measured_rules(
        settings.task_stop_ms, settings.task_restore_ms
    )
    return rebalancing.Sharing(leader.fleet.grants, rules)


def _record_grants(
    leader: states.Leader, grants: dict[ids.ServiceId, int]
) -> None:
    """Record the machines that each pool gets; empty: as many as it needs."""
    if grants or leader.fleet.grants:
        server_metrics.GRANTED_MACHINES.clear()
    for service, count in grants.items():
        server_metrics.GRANTED_MACHINES.labels(service).set(count)
    leader.fleet.grants = grants


def _log_contention(
    leader: states.Leader,
    views: list[rebalancing.PoolView],
    decision: rebalancing.Decision,
    now_s: float,
) -> None:
    """Log what pools ask for and get while machines don't suffice."""
    logged_s = leader.fleet.contention_logged_s
    if not decision.grants or now_s - logged_s < SHORTAGE_LOG_INTERVAL_S:
        return
    leader.fleet.contention_logged_s = now_s
    rows = {
        view.service: {
            'has': len(view.members),
            'asked': decision.asked[view.service],
            'granted': decision.grants[view.service],
        }
        for view in views
    }
    event_log.emit('fleet', 'contended', pools=rows)


def _log_shortage(
    leader: states.Leader,
    views: list[rebalancing.PoolView],
    decision: rebalancing.Decision,
    now_s: float,
) -> None:
    """Log the pools that have fewer machines than needed, once a second.

    What a pool asks for counts, even if its grant is less: callers wait for
    these machines.
    """
    needs, asked = decision.needs, decision.asked
    if now_s - leader.fleet.shortage_logged_s < SHORTAGE_LOG_INTERVAL_S:
        return
    rows = {
        view.service: {
            'has': len(view.members),
            'needs': max(needs[view.service].now, asked.get(view.service, 0)),
            'soon': max(needs[view.service].soon, asked.get(view.service, 0)),
            'idle': sum(
                member.worker is not None and not member.worker.runs
                for member in view.members
            ),
            'fixed': sum(member.fixed for member in view.members),
        }
        for view in views
    }
    if any(row['has'] < row['soon'] for row in rows.values()):
        leader.fleet.shortage_logged_s = now_s
        event_log.emit('fleet', 'short', pools=rows)


def _pool_views(
    leader: states.Leader, now_s: float
) -> tuple[
    list[rebalancing.PoolView], dict[ids.ServiceId, list[rebalancing.Member]]
]:
    """Return the pools with their demand, and the standby pools' machines."""
    configuration = leader.server.configuration
    views = {
        service: rebalancing.PoolView(service, [])
        for service in configuration.services
        if service not in configuration.standby
    }
    standby: dict[ids.ServiceId, list[rebalancing.Member]] = {
        service: [] for service in configuration.standby
    }
    fixed = _fixed_machines(leader, now_s)
    for machine in leader.fleet.machines.values():
        if machine.state is fleet.State.DOWN:
            continue
        member = _member(leader, machine, machine.machine in fixed)
        service = ids.ServiceId(machine.pool)
        if service in views:
            views[service].members.append(member)
        elif machine.state is fleet.State.UP and service in standby:
            standby[service].append(member)
    _record_demand(leader, views, now_s)
    for service in relocations.pools_without_capacity(leader, now_s):
        if service in views:
            views[service].lacks_suitable_machine = True
    min_up = policies.min_up(leader.policy.policy)
    _record_first_sizes(leader, views)
    for service, view in views.items():
        view.min_up = min_up.get(service, 0)
    return list(views.values()), standby


def _record_first_sizes(
    leader: states.Leader, views: dict[ids.ServiceId, rebalancing.PoolView]
) -> None:
    """Record how many machines each pool has before the first move.

    Machines enter the list one after another, so the largest count is kept.
    Later leaders read the sizes from the announcements; without these, each
    pool counts as having an equal part of the fleet.
    """
    sizes = leader.fleet.first_sizes
    machines = leader.fleet.machines
    for service, view in views.items():
        if not leader.fleet.announced:
            sizes[service] = max(sizes.get(service, 0), len(view.members))
        view.first_size = sizes.get(service) or len(machines) // (
            len(views) + 1
        )
        cores = [member.cores for member in view.members]
        if cores:
            mean_cores = sum(cores) / len(cores)
            leader.fleet.arrival_history.pool_cores[service] = (
                view.first_size * mean_cores
            )


def _fixed_machines(leader: states.Leader, now_s: float) -> set[str]:
    """Return the machines that must not move.

    Their move was refused or left unanswered, an earlier leader ordered them
    a moment ago, or a wave is about to take them.
    """
    fixed = {
        name
        for name, until_s in leader.fleet.move_retry_after_s.items()
        if until_s > now_s
    }
    fixed.update(
        name
        for name in leader.fleet.order_after_s
        if not machine_handover.may_order(leader, name)
    )
    for progress in leader.fleet.waves.values():
        if not progress.completed:
            fixed.update(progress.down)
            fixed.update(progress.closed)
    return fixed


def _member(
    leader: states.Leader, machine: fleet.Machine, fixed: bool
) -> rebalancing.Member:
    worker = None
    if machine.state is fleet.State.UP:
        worker = states.latest_incarnation(leader, machine.worker)
    cpu = machine.capacity.cpu_millicores
    shrunk = 0
    if worker is not None and worker.listed and not worker.provisional:
        shrunk = max(0, cpu - worker.entry.capacity.cpu_millicores)
    return rebalancing.Member(
        machine.machine,
        float(cpu) / 1000,
        worker,
        fixed,
        tuple(machine.labels),
        float(shrunk) / 1000,
    )


def _record_demand(
    leader: states.Leader,
    views: dict[ids.ServiceId, rebalancing.PoolView],
    now_s: float,
) -> None:
    """Add each pool's running and waiting work, and what it lacks."""
    known = states.known_queues(leader)
    for worker in leader.workers.values():
        view = views.get(worker.entry.service)
        if view is None:
            continue
        for task in worker.runs.values():
            _add_cores(view, task.group, 1)
            _record_priority(view, task.group, known)
    for service, groups in relocating.starved_by_pool(leader, now_s).items():
        if service in views:
            for group in groups:
                if group.step.label:
                    refused = advised.refused_machines(group, now_s)
                    lacks.record(views[service], group.step.label, refused)
                else:
                    views[service].lacks_suitable_machine = True
    quotas = schedule.quotas_of(
        leader, schedule.pools_with_unknown_runs(leader), now_s
    )
    wall_ms = clock.wall_ms()
    idle_capacity: dict[ids.ServiceId, list[placing.FreeCapacity]] = {}
    machines = leader.fleet.machines.values()
    known_lacks: lacks.Lacks = {}
    for group in leader.ledger.open_groups:
        if not group.waiting or not ledgers.is_ready(group, wall_ms):
            continue
        queue = urgency.queue_of(group.entry, known)
        view = views.get(queue.service)
        if view is None:
            continue
        allowed = quotas_.claim(quotas, group)
        if not allowed:
            # More machines would not help: its team's quota or its tenant's
            # limit is used up.
            continue
        fits_nowhere = lacks.record_lack(
            view,
            group,
            machines,
            lambda view=view: _idle_capacity(idle_capacity, view),
            known_lacks,
            now_s,
        )
        if fits_nowhere and group.step.label:
            # No number of machines without the label would do.
            continue
        if urgency.is_too_late(group.entry, queue, leader.lengths, now_s):
            # Its pool gets a machine on which it can run, but no more than
            # that.
            continue
        if group.step.is_long_running:
            _add_cores(view, group, allowed)
            if (
                not view.lacks_suitable_machine
                and not group.step.uses_leftover
            ):
                workers = [row.worker for row in view.members if row.worker]
                view.lacks_suitable_machine = not placing.has_free_capacity(
                    group, workers, now_s
                )
        elif not group.step.uses_leftover:
            row = _waiting_tasks(group, allowed, queue, leader.lengths, now_s)
            view.waiting.append(row)
            _record_priority(view, group, known)


def _record_late_runs(
    leader: states.Leader,
    views: list[rebalancing.PoolView],
    now_s: float,
) -> None:
    """Add up each pool's running tasks that end too late for their callers."""
    known = states.known_queues(leader)
    by_service = {view.service: view for view in views}
    left_s: dict[ledgers.Group, float] = {}
    for worker in leader.workers.values():
        view = by_service.get(worker.entry.service)
        if view is None:
            continue
        for task in worker.runs.values():
            group = task.group
            if group.step.is_long_running or group.step.uses_leftover:
                continue
            if group not in left_s:
                queue = urgency.queue_of(group.entry, known)
                left_s[group] = urgency.time_left_s(
                    group, queue, leader.lengths, now_s
                )
            if slowness.left_s(task, now_s) > left_s[group]:
                view.late_cores += group.step.needs.cpu_millicores / 1000


def _idle_capacity(
    found: dict[ids.ServiceId, list[placing.FreeCapacity]],
    view: rebalancing.PoolView,
) -> list[placing.FreeCapacity]:
    """Return the free capacity of a pool's workers if all were idle.

    :param found: capacities by pool, filled in
    """
    if view.service not in found:
        found[view.service] = shortage.idle_capacity(
            row.worker for row in view.members if row.worker
        )
    return found[view.service]


def _record_priority(
    view: rebalancing.PoolView,
    group: ledgers.Group,
    known: dict[str, queues.Queue],
) -> None:
    if not group.step.is_long_running:
        queue = urgency.queue_of(group.entry, known)
        view.priority = min(view.priority, queue.priority)


def _waiting_tasks(
    group: ledgers.Group,
    tasks: int,
    queue: queues.Queue,
    known: lengths.Lengths,
    now_s: float,
) -> backlog.WaitingTasks:
    """Return the work that waits in a step, and the time left for it.

    :param tasks: number of waiting tasks that may run
    """
    length_s = lengths.of_job(known, group.entry)[group.number]
    cores = tasks * group.step.needs.cpu_millicores / 1000
    left_s = urgency.time_left_s(group, queue, known, now_s)
    worth = backlog.Worth.ASSURED
    if group.entry.over_rate:
        worth = backlog.Worth.EXCESS
    elif left_s < length_s:
        worth = backlog.Worth.LATE
    return backlog.WaitingTasks(cores, length_s, left_s, worth)


def _add_cores(
    view: rebalancing.PoolView, group: ledgers.Group, tasks: int
) -> None:
    if group.step.uses_leftover:
        return
    cores = tasks * group.step.needs.cpu_millicores / 1000
    view.busy_cores += cores
    if group.step.is_long_running:
        view.long_running_cores += cores


async def _send_moves(
    leader: states.Leader, moves: list[rebalancing.Move]
) -> None:
    """Send announced moves, a limited number at a time.

    Those that would be sent too late are dropped and decided again.
    """
    unsent = collections.deque(moves)
    send_until_s = clock.now_s() + machine_handover.SEND_WINDOW_MS / 1000

    async def send() -> None:
        while unsent and clock.now_s() < send_until_s:
            await _send_move(leader, unsent.popleft())

    async with curio.TaskGroup() as group:
        for _ in range(min(MAX_CONCURRENT_MOVES, len(moves))):
            await group.spawn(send)
    if unsent:
        event_log.emit('fleet', 'moves-late', count=len(unsent))


async def _send_move(leader: states.Leader, move: rebalancing.Move) -> None:
    if not states.holds_lease(leader):
        return
    machine = leader.fleet.machines[move.machine]
    worker = states.latest_incarnation(leader, machine.worker)
    if worker is not None:
        if worker.runs:
            return
        closing.close_for_move(leader, worker, machine_calls.TIMEOUT_S)
    try:
        outcome = await machine_calls.move(
            leader.machine_calls, move.machine, move.target, leader.term
        )
    except errors.CallFailed as error:
        server_metrics.MACHINE_ORDERS.labels('move', error.verdict.value).inc()
        event_log.emit(
            'fleet', 'move-doubtful', machine=move.machine, why=error.reason
        )
        outcome = None
    else:
        server_metrics.MACHINE_ORDERS.labels('move', outcome.value).inc()
        event_log.emit(
            'fleet',
            'moved',
            machine=move.machine,
            source=move.source,
            target=move.target,
            why=move.why,
            outcome=outcome.value,
        )
    finally:
        machine_handover.record_order(leader, move.machine)
    if outcome is not machine_calls.Outcome.DONE:
        pause_s = rolling.CYCLE_SLACK_S
        if outcome is machine_calls.Outcome.INVALID:
            pause_s = INVALID_PAUSE_S
        leader.fleet.move_retry_after_s[move.machine] = clock.now_s() + pause_s
    if worker is not None:
        _update_closing(leader, worker, outcome)


def _update_closing(
    leader: states.Leader,
    worker: workers_.Worker,
    outcome: machine_calls.Outcome | None,
) -> None:
    """Close or open a worker by how its machine's move was answered.

    :param outcome: None if there was no answer
    """
    if outcome is None:
        # The move may have been carried out; the next list shows it.
        closing.close_for_move(leader, worker, rolling.CYCLE_SLACK_S)
    elif outcome is machine_calls.Outcome.DONE:
        # It stays up if an earlier order had moved it there already.
        move_s = leader.server.settings.move_s
        closing.close_for_move(leader, worker, move_s + rolling.CYCLE_SLACK_S)
    else:
        closing.reopen_after_move(leader, worker)


def record_job_arrival(
    leader: states.Leader, entry: ledgers.Entry, at_s: float
) -> None:
    """Record that a job has arrived, and its demand in its pool."""
    _record_rate(leader, entry, at_s)
    work = entry.job.work
    millicore_ms = sum(
        step.tasks * step.needs.cpu_millicores * step.guess_ms
        for step in work.steps
        if not step.is_long_running
    )
    if millicore_ms:
        known = states.known_queues(leader)
        queue = urgency.queue_of(entry, known)
        factor = lengths.correction_factor(leader.lengths, queue.name)
        demand.record_arrival(
            leader.fleet.arrival_history,
            queue.service,
            at_s,
            millicore_ms * factor / 1e6,
            entry.over_rate,
        )


def _record_rate(
    leader: states.Leader, entry: ledgers.Entry, at_s: float
) -> None:
    """Record whether a tenant submits jobs beyond its assured rate."""
    tenant = states.known_tenants(leader).get(entry.job.tenant)
    if tenant is None:
        return
    arrivals_s = leader.arrivals_s.setdefault(tenant.name, collections.deque())
    entry.over_rate = shares.is_beyond(arrivals_s, tenant.weight, at_s)
