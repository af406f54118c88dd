"""How much teams and tenants may have running at once. Pure.

Load it answers: one team's or tenant's flood of jobs must not take the room
that others' jobs need; who stays below its limit never notices.

A team's quota is the operators' own division of their cores among queues; a
tenant's limit is the platform's word on a customer. A task counts against
both, and starts only where both leave room.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.policy import model as policies
from oleanderwood.pools import workers as workers_
from oleanderwood.tenants import model as tenants_

STARTING = (ledgers.RunPhase.ORDERED, ledgers.RunPhase.DOUBTFUL)

ALONE_PART = 0.5
"""Part of its limit up to which a tenant may start a task that goes beyond."""

Limits = collections.abc.Mapping[ids.TenantId, tenants_.Limit]


@dataclasses.dataclass(slots=True)
class Used:
    """What a tenant may have running at the moment.

    :ivar starting: tasks that were decided just now, or may be running unheard
        of; others whose start may yet arrive are among the workers' runs
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0
    starting: int = 0


@dataclasses.dataclass
class Quotas:
    """What is left to teams and tenants while starts are decided.

    :ivar team_of: by queue; queues of no team have no quota
    """

    team_of: dict[str, ids.TeamId] = dataclasses.field(default_factory=dict)
    left_millicores: dict[ids.TeamId, float] = dataclasses.field(
        default_factory=dict
    )
    limits: Limits = dataclasses.field(default_factory=dict)
    used: dict[ids.TenantId, Used] = dataclasses.field(default_factory=dict)
    workers: collections.abc.Collection[workers_.Worker] = ()


@dataclasses.dataclass(frozen=True)
class Unseen:
    """What an earlier leader may have left running that wasn't heard of yet.

    :ivar groups: steps whose waiting tasks may be running already
    :ivar most: what all of that can take at most; None: not known
    """

    groups: collections.abc.Collection[ledgers.Group] = ()
    most: model.Resources | None = None


def make(
    policy: policies.Policy,
    workers: collections.abc.Collection[workers_.Worker],
    ledger: ledgers.Ledger,
    limits: Limits,
    unseen: Unseen = Unseen(),
) -> Quotas:
    """Give what is left of each quota and limit beside what may run."""
    quotas = Quotas(limits=limits, workers=workers)
    if policy.teams:
        _take_teams(quotas, policy)
    if limits:
        for name in limits:
            running = ledger.running.get(name, ledgers.Running())
            quotas.used[name] = Used(
                running.cpu_millicores, running.memory_mb, running.gpus
            )
        for worker in workers:
            for group in worker.foreign:
                _use(quotas, group, starting=False)
        _take_unseen(quotas, unseen)
    return quotas


def _take_teams(quotas: Quotas, policy: policies.Policy) -> None:
    for team in policy.teams:
        quotas.left_millicores[team.name] = team.max_cores * 1000
        quotas.team_of.update(dict.fromkeys(team.queues, team.name))
    for worker in quotas.workers:
        for task in worker.runs.values():
            _take_of_team(quotas, task.group)


def _take_unseen(quotas: Quotas, unseen: Unseen) -> None:
    """Count what may run unheard of against its tenants' limits.

    It lies on workers that haven't told of all yet, so it is no more than
    these can hold.
    """
    asked: dict[ids.TenantId, Used] = {}
    for group in unseen.groups:
        used = quotas.used.get(group.entry.job.tenant)
        if used is None:
            continue
        needs = group.step.needs
        waiting = len(group.waiting)
        used.starting += waiting
        row = asked.setdefault(group.entry.job.tenant, Used())
        row.memory_mb += waiting * needs.memory_mb
        row.gpus += waiting * needs.gpus
        if group.step.uses_leftover:
            # Its processor time is beyond any worker's capacity.
            used.cpu_millicores += waiting * needs.cpu_millicores
        else:
            row.cpu_millicores += waiting * needs.cpu_millicores
    for tenant, row in asked.items():
        used = quotas.used[tenant]
        most = unseen.most or model.Resources(
            row.cpu_millicores, row.memory_mb, row.gpus
        )
        used.cpu_millicores += min(row.cpu_millicores, most.cpu_millicores)
        used.memory_mb += min(row.memory_mb, most.memory_mb)
        used.gpus += min(row.gpus, most.gpus)


def copy(quotas: Quotas) -> Quotas:
    """Give quotas to decide by for a trial."""
    return Quotas(
        quotas.team_of,
        dict(quotas.left_millicores),
        quotas.limits,
        {
            name: dataclasses.replace(used)
            for name, used in quotas.used.items()
        },
        quotas.workers,
    )


def allows(quotas: Quotas, group: ledgers.Group, tasks: int = 1) -> bool:
    """Say whether some more tasks of a group may start together.

    A task that needs more than the rest of its tenant's limit waits; but one
    that needs more than half of the limit would wait for good beside small
    ones, so with little running it may go beyond. Starts that are under way
    arrive in any order, so nothing else may be starting then.
    """
    team = _team(quotas, group)
    needs = group.step.needs
    if team is not None:
        if quotas.left_millicores[team] < tasks * needs.cpu_millicores:
            return False
    tenant = group.entry.job.tenant
    used = quotas.used.get(tenant)
    if used is None:
        return True
    limit = quotas.limits[tenant]
    if _within(used, needs, limit, tasks, 1.0):
        return True
    return (
        tasks == 1
        and _within(used, needs, limit, 0, ALONE_PART)
        and not _is_starting(quotas, tenant)
    )


def _is_starting(quotas: Quotas, tenant: ids.TenantId) -> bool:
    """Say whether a start of a tenant's may yet arrive at its worker."""
    return quotas.used[tenant].starting > 0 or any(
        task.run.phase in STARTING
        for worker in quotas.workers
        for task in worker.runs.values()
        if task.group.entry.job.tenant == tenant and task.run is not None
    )


def _within(
    used: Used,
    needs: model.Resources,
    limit: tenants_.Limit,
    tasks: int,
    part: float,
) -> bool:
    """Say whether what runs and some tasks more stay within part of a limit.

    What a task doesn't need says nothing against it.
    """
    rows = (
        (limit.cpu_millicores, used.cpu_millicores, needs.cpu_millicores),
        (limit.memory_mb, used.memory_mb, needs.memory_mb),
        (limit.gpus, used.gpus, needs.gpus),
    )
    return all(
        not most or not each or has + tasks * each <= most * part
        for most, has, each in rows
    )


def at_limit(quotas: Quotas, tenant: ids.TenantId) -> bool:
    """Say whether a tenant has reached its limit of some resource."""
    used = quotas.used.get(tenant)
    if used is None:
        return False
    limit = quotas.limits[tenant]
    return any(
        most and has >= most
        for most, has in (
            (limit.cpu_millicores, used.cpu_millicores),
            (limit.memory_mb, used.memory_mb),
            (limit.gpus, used.gpus),
        )
    )


def take(quotas: Quotas, group: ledgers.Group) -> None:
    """Note a task that starts."""
    _take_of_team(quotas, group)
    _use(quotas, group, starting=True)


def _take_of_team(quotas: Quotas, group: ledgers.Group) -> None:
    team = _team(quotas, group)
    if team is not None:
        needs = group.step.needs
        quotas.left_millicores[team] -= needs.cpu_millicores


def _use(quotas: Quotas, group: ledgers.Group, starting: bool) -> None:
    used = quotas.used.get(group.entry.job.tenant)
    if used is not None:
        needs = group.step.needs
        used.cpu_millicores += needs.cpu_millicores
        used.memory_mb += needs.memory_mb
        used.gpus += needs.gpus
        used.starting += starting


def claim(quotas: Quotas, group: ledgers.Group) -> int:
    """Take what the waiting tasks of a group may start; gives how many.

    What may not run yet asks for no machines.
    """
    waiting = len(group.waiting)
    if not quotas.used and not quotas.team_of:
        return waiting
    if group.step.gang:
        if not allows(quotas, group, waiting):
            return 0
        for _ in range(waiting):
            take(quotas, group)
        return waiting
    claimed = 0
    while claimed < waiting and allows(quotas, group):
        take(quotas, group)
        claimed += 1
    return claimed


def exceeds(step: model.Step, limit: tenants_.Limit) -> bool:
    """Say whether a step can never run within a tenant's limit.

    Only a gang can't: of others one task at a time always may.
    """
    if not step.gang:
        return False
    return not _within(Used(), step.needs, limit, step.tasks, 1.0)


def _team(quotas: Quotas, group: ledgers.Group) -> ids.TeamId | None:
    """Give the team whose quota a task counts against; None if none does."""
    if group.step.lasting or group.step.uses_leftover:
        return None
    return quotas.team_of.get(group.entry.job.queue.name)
