"""Limits what teams and tenants may have running at once. Pure.

Designed for a flood of jobs from one team or tenant, which must not use up the
capacity that others need; whoever stays below its limit is not affected.

A team's quota is the operators' own division of their cores among queues; a
tenant's limit is set by the platform for a customer. A task counts against
both and starts only if both allow it.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.policy import model as policies
from oleanderwood.pools import workers as workers_
from oleanderwood.tenants import model as tenants_

STARTING = (ledgers.RunPhase.ORDERED, ledgers.RunPhase.UNCONFIRMED)

OVERSHOOT_BELOW_PART = 0.5
"""A tenant that uses at most this part of its limit may start a task that
exceeds the limit."""

Limits = collections.abc.Mapping[ids.TenantId, tenants_.Limit]


@dataclasses.dataclass(slots=True)
class Usage:
    """Resources that a tenant may have in use now.

    :ivar starting: tasks whose start was just decided, or that may run without
        having been reported; other starts in flight are among the runs of the
        workers
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0
    starting: int = 0


@dataclasses.dataclass
class Quotas:
    """What teams and tenants may still start while starts are decided.

    :ivar team_of: by queue; queues of no team have no quota
    :ivar left_millicores: unused quota, by team
    :ivar used: resources in use, by tenant that has a limit
    """

    team_of: dict[str, ids.TeamId] = dataclasses.field(default_factory=dict)
    left_millicores: dict[ids.TeamId, float] = dataclasses.field(
        default_factory=dict
    )
    limits: Limits = dataclasses.field(default_factory=dict)
    used: dict[ids.TenantId, Usage] = dataclasses.field(default_factory=dict)
    workers: collections.abc.Collection[workers_.Worker] = ()


@dataclasses.dataclass(frozen=True)
class Unseen:
    """Runs that an earlier leader may have left and no worker has reported.

    :ivar groups: steps whose waiting tasks may be running already
    :ivar max_resources: upper bound of their resources; None: unknown
    """

    groups: collections.abc.Collection[ledgers.Group] = ()
    max_resources: model.Resources | None = None


def make(
    policy: policies.Policy,
    workers: collections.abc.Collection[workers_.Worker],
    ledger: ledgers.Ledger,
    limits: Limits,
    unseen: Unseen = Unseen(),
) -> Quotas:
    """Return what is left of each quota and limit."""
    quotas = Quotas(limits=limits, workers=workers)
    if policy.teams:
        _charge_teams(quotas, policy)
    if limits:
        for name in limits:
            running = ledger.running.get(name, ledgers.Running())
            quotas.used[name] = Usage(
                running.cpu_millicores, running.memory_mb, running.gpus
            )
        for worker in workers:
            for group in worker.unmanaged:
                _charge_tenant(quotas, group, starting=False)
        _charge_unseen(quotas, unseen)
    return quotas


def _charge_teams(quotas: Quotas, policy: policies.Policy) -> None:
    for team in policy.teams:
        quotas.left_millicores[team.name] = team.max_cores * 1000
        quotas.team_of.update(dict.fromkeys(team.queues, team.name))
    for worker in quotas.workers:
        for task in worker.runs.values():
            _charge_team(quotas, task.group)


def _charge_unseen(quotas: Quotas, unseen: Unseen) -> None:
    """Charge runs that may exist without a report to their tenants' limits.

    They are on workers that have not reported everything yet, so they use no
    more than these workers hold.
    """
    asked: dict[ids.TenantId, Usage] = {}
    for group in unseen.groups:
        used = quotas.used.get(group.entry.job.tenant)
        if used is None:
            continue
        needs = group.step.needs
        waiting = len(group.waiting)
        used.starting += waiting
        row = asked.setdefault(group.entry.job.tenant, Usage())
        row.memory_mb += waiting * needs.memory_mb
        row.gpus += waiting * needs.gpus
        if group.step.uses_leftover:
            # Leftover CPU is not bounded by the workers' capacity.
            used.cpu_millicores += waiting * needs.cpu_millicores
        else:
            row.cpu_millicores += waiting * needs.cpu_millicores
    for tenant, row in asked.items():
        used = quotas.used[tenant]
        bound = unseen.max_resources or model.Resources(
            row.cpu_millicores, row.memory_mb, row.gpus
        )
        used.cpu_millicores += min(row.cpu_millicores, bound.cpu_millicores)
        used.memory_mb += min(row.memory_mb, bound.memory_mb)
        used.gpus += min(row.gpus, bound.gpus)


def copy(quotas: Quotas) -> Quotas:
    """Return a copy of the quotas for a trial decision."""
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
    """Return whether the given number of tasks of a group may start together.

    A task that needs more than the rest of its tenant's limit waits. A task
    that needs more than half of the limit would wait forever while small ones
    keep running, so it may exceed the limit when little is running. Starts in
    flight arrive in any order, so nothing else may be starting then.
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
        and _within(used, needs, limit, 0, OVERSHOOT_BELOW_PART)
        and not _is_starting(quotas, tenant)
    )


def _is_starting(quotas: Quotas, tenant: ids.TenantId) -> bool:
    """Return whether a start of a tenant may still reach its worker."""
    return quotas.used[tenant].starting > 0 or any(
        task.run.phase in STARTING
        for worker in quotas.workers
        for task in worker.runs.values()
        if task.group.entry.job.tenant == tenant and task.run is not None
    )


def _within(
    used: Usage,
    needs: model.Resources,
    limit: tenants_.Limit,
    tasks: int,
    part: float,
) -> bool:
    """Return whether the usage plus some tasks stays within part of a limit.

    Resources that the task does not need are not checked.
    """
    rows = (
        (limit.cpu_millicores, used.cpu_millicores, needs.cpu_millicores),
        (limit.memory_mb, used.memory_mb, needs.memory_mb),
        (limit.gpus, used.gpus, needs.gpus),
    )
    return all(
        not maximum
        or not needed
        or used_amount + tasks * needed <= maximum * part
        for maximum, used_amount, needed in rows
    )


def at_limit(quotas: Quotas, tenant: ids.TenantId) -> bool:
    """Return whether a tenant has reached its limit of some resource."""
    used = quotas.used.get(tenant)
    if used is None:
        return False
    limit = quotas.limits[tenant]
    return any(
        maximum and used_amount >= maximum
        for maximum, used_amount in (
            (limit.cpu_millicores, used.cpu_millicores),
            (limit.memory_mb, used.memory_mb),
            (limit.gpus, used.gpus),
        )
    )


def charge(quotas: Quotas, group: ledgers.Group) -> None:
    """Charge a task that starts."""
    _charge_team(quotas, group)
    _charge_tenant(quotas, group, starting=True)


def _charge_team(quotas: Quotas, group: ledgers.Group) -> None:
    team = _team(quotas, group)
    if team is not None:
        needs = group.step.needs
        quotas.left_millicores[team] -= needs.cpu_millicores


def _charge_tenant(
    quotas: Quotas, group: ledgers.Group, starting: bool
) -> None:
    used = quotas.used.get(group.entry.job.tenant)
    if used is not None:
        needs = group.step.needs
        used.cpu_millicores += needs.cpu_millicores
        used.memory_mb += needs.memory_mb
        used.gpus += needs.gpus
        used.starting += starting


def claim(quotas: Quotas, group: ledgers.Group) -> int:
    """Charge as many waiting tasks of a group as may start; return the count.

    Tasks that may not run yet require no machines.
    """
    waiting = len(group.waiting)
    if not quotas.used and not quotas.team_of:
        return waiting
    if group.step.gang:
        if not allows(quotas, group, waiting):
            return 0
        for _ in range(waiting):
            charge(quotas, group)
        return waiting
    claimed = 0
    while claimed < waiting and allows(quotas, group):
        charge(quotas, group)
        claimed += 1
    return claimed


def exceeds(step: model.Step, limit: tenants_.Limit) -> bool:
    """Return whether a step can never run within a tenant's limit.

    This holds for gangs only: other tasks may always run one at a time.
    """
    if not step.gang:
        return False
    return not _within(Usage(), step.needs, limit, step.tasks, 1.0)


def _team(quotas: Quotas, group: ledgers.Group) -> ids.TeamId | None:
    """Return the team whose quota a task counts against, if any."""
    if group.step.is_long_running or group.step.uses_leftover:
        return None
    return quotas.team_of.get(group.entry.job.queue.name)
