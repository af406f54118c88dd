"""What the leader knows, as operators are told it. Pure."""

import collections

from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import ranges
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling
from oleanderwood.operators import messages
from oleanderwood.policy import model as policies
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_


def status(leader: states.Leader) -> messages.StatusReply:
    """Tell of the whole."""
    server = leader.server
    configuration = server.configuration
    now_s = clock.now_s()
    jobs = collections.Counter(
        entry.state.value for entry in leader.ledger.entries.values()
    )
    return messages.StatusReply(
        server.settings.name,
        leader.term,
        configuration.version if configuration else 0,
        leader.policy.number,
        tuple(sorted(row.name for row in server.roles.servers.values())),
        dict(jobs),
        tuple(_pools(leader)),
        tuple(
            messages.WaveRow(
                number,
                len(progress.wave.machines),
                len(progress.begun),
                len(progress.down),
                progress.completed,
                progress.waits,
                round(rolling.time_left_s(progress, now_s), 1),
            )
            for number, progress in sorted(leader.fleet.waves.items())
        ),
    )


def _pools(leader: states.Leader):
    configuration = leader.server.configuration
    if configuration is None:
        return
    waiting = _waiting_tasks(leader)
    promised = policies.min_up(leader.policy.policy)
    for service in configuration.services:
        machines = [
            machine
            for machine in leader.fleet.machines.values()
            if machine.pool == service
        ]
        busy = sum(
            workers_.used_resources(worker).cpu_millicores
            for worker in leader.workers.values()
            if worker.entry.service == service
        )
        up = [row for row in machines if row.state is fleet.State.UP]
        yield messages.PoolRow(
            service,
            service in configuration.standby,
            len(machines),
            len(up),
            promised.get(service, 0),
            busy / 1000,
            sum(row.capacity.cpu_millicores for row in up) / 1000,
            waiting[service],
        )


def _waiting_tasks(leader: states.Leader) -> collections.Counter:
    known = states.known_queues(leader)
    wall_ms = clock.wall_ms()
    waiting: collections.Counter = collections.Counter()
    for group in leader.ledger.open_groups:
        if group.waiting and ledgers.is_ready(group, wall_ms):
            service = urgency.queue_of(group.entry, known).service
            waiting[service] += len(group.waiting)
    return waiting


def tenants(leader: states.Leader) -> messages.TenantsReply:
    """Tell what each tenant has running, and what it waits for."""
    limits = leader.server.limits
    weights = states.tenant_weights(leader)
    quotas = quotas_.make(
        leader.policy.policy, leader.workers.values(), leader.ledger, limits
    )
    waiting: dict[ids.TenantId, dict[ids.JobId, bool]] = {}
    wall_ms = clock.wall_ms()
    for group in leader.ledger.open_groups:
        if group.waiting and ledgers.is_ready(group, wall_ms):
            entry = group.entry
            jobs = waiting.setdefault(entry.job.tenant, {})
            jobs[entry.job.job] = entry.over_rate
    return messages.TenantsReply(
        tuple(
            _tenant(name, quotas, weights.get(name, 0.0), waiting)
            for name in sorted(limits)
        )
    )


def _tenant(
    name: ids.TenantId,
    quotas: quotas_.Quotas,
    weight: float,
    waiting: dict[ids.TenantId, dict[ids.JobId, bool]],
) -> messages.TenantRow:
    used, limit = quotas.used[name], quotas.limits[name]
    jobs = waiting.get(name, {})
    return messages.TenantRow(
        name,
        weight,
        used.cpu_millicores / 1000,
        limit.cpu_millicores / 1000,
        used.memory_mb,
        limit.memory_mb,
        used.gpus,
        limit.gpus,
        quotas_.at_limit(quotas, name),
        len(jobs),
        sum(jobs.values()),
    )


def job(leader: states.Leader, name: ids.JobId) -> messages.JobReply | None:
    """Tell of one job; None if the leader doesn't know it."""
    entry = leader.ledger.entries.get(name)
    if entry is None:
        return None
    queue = urgency.queue_of(entry, states.known_queues(leader))
    return messages.JobReply(
        name,
        queue.name,
        queue.service,
        ledgers.shown_state(entry).value,
        round(clock.now_s() - entry.arrived_s, 3),
        entry.cause,
        tuple(_step(group) for group in entry.groups.values()),
        model.occurrences(entry.job) * len(entry.job.work.steps),
        ranges.count(entry.done_groups),
    )


def _step(group: ledgers.Group) -> messages.StepRow:
    return messages.StepRow(
        group.occurrence,
        group.number,
        len(group.tasks),
        sum(task.done for task in group.tasks),
        {
            task.name: task.run.worker
            for task in group.tasks
            if task.run is not None
        },
        len(group.waiting),
        sum(len(task.failed_attempts) for task in group.tasks),
        {
            task.name: task.crash_count
            for task in group.tasks
            if task.crash_count
        },
        tuple(
            task.name
            for task in group.suspects.values()
            if isolation.is_kept_apart(task)
        ),
    )
