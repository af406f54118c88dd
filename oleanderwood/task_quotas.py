"""Access to the quotas of teams and to their fair shares."""

import dataclasses

from oleanderwood import configuration


@dataclasses.dataclass
class Usage:
    """What a team's tasks hold."""

    tasks: int = 0
    cores: float = 0.0
    memory_gib: float = 0.0


def add(usage: Usage, cores: float, memory_gib: float) -> None:
    """Count one more task."""
    usage.tasks += 1
    usage.cores += cores
    usage.memory_gib += memory_gib


def allows(
    team: configuration.Team,
    usage: Usage,
    cores: float,
    memory_gib: float,
    kept_share: float = 0.0,
) -> bool:
    """Say whether one more task of this size is within the quotas.

    :param kept_share: share of each quota that is kept for urgent work; a
        task that is larger than the rest may run as the team's only one
    """
    limit = 1.0 if usage.tasks == 0 else 1.0 - kept_share
    return (
        usage.tasks + 1 <= team.max_tasks * limit
        and usage.cores + cores <= team.max_cores * limit
        and usage.memory_gib + memory_gib <= team.max_memory_gib * limit
    )


def quota_share(team: configuration.Team, usage: Usage) -> float:
    """Give the largest of the shares of its quotas that a team holds."""
    return max(
        _share(usage.tasks, team.max_tasks),
        _share(usage.cores, team.max_cores),
        _share(usage.memory_gib, team.max_memory_gib),
    )


def _share(part: float, whole: float) -> float:
    if whole <= 0:
        return 0.0 if part <= 0 else 1.0
    return part / whole
