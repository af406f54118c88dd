"""How much of the pools each team may take at once. Pure.

Load it answers: one team's flood of jobs must not take the room that other
teams' jobs need; a team that stays below its quota never notices.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.policy import model as policies
from oleanderwood.pools import workers as workers_


@dataclasses.dataclass
class Quotas:
    """What is left to teams while starts are decided.

    :ivar team_of: by queue; queues of no team have no quota
    """

    team_of: dict[str, ids.TeamId] = dataclasses.field(default_factory=dict)
    left_millicores: dict[ids.TeamId, float] = dataclasses.field(
        default_factory=dict
    )


def make(
    policy: policies.Policy,
    workers: collections.abc.Iterable[workers_.Worker],
) -> Quotas:
    """Give what is left of each team's quota beside what runs."""
    quotas = Quotas()
    if not policy.teams:
        return quotas
    for team in policy.teams:
        quotas.left_millicores[team.name] = team.max_cores * 1000
        quotas.team_of.update(dict.fromkeys(team.queues, team.name))
    for worker in workers:
        for task in worker.runs.values():
            take(quotas, task.group)
    return quotas


def copy(quotas: Quotas) -> Quotas:
    """Give quotas to decide by for a trial."""
    return Quotas(quotas.team_of, dict(quotas.left_millicores))


def allows(quotas: Quotas, group: ledgers.Group, tasks: int = 1) -> bool:
    """Say whether some more tasks of a group may start together."""
    team = _team(quotas, group)
    needed = tasks * group.step.needs.cpu_millicores
    return team is None or quotas.left_millicores[team] >= needed


def take(quotas: Quotas, group: ledgers.Group) -> None:
    """Note a task that runs or starts."""
    team = _team(quotas, group)
    if team is not None:
        needed = group.step.needs.cpu_millicores
        quotas.left_millicores[team] -= needed


def _team(quotas: Quotas, group: ledgers.Group) -> ids.TeamId | None:
    """Give the team whose quota a task counts against; None if none does."""
    if group.step.lasting or group.step.uses_leftover:
        return None
    return quotas.team_of.get(group.entry.job.queue.name)
