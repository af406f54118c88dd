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
    team: configuration.Team, usage: Usage, cores: float, memory_gib: float
) -> bool:
    """Say whether one more task of this size is within the quotas."""
    return (
        usage.tasks + 1 <= team.max_tasks
        and usage.cores + cores <= team.max_cores
        and usage.memory_gib + memory_gib <= team.max_memory_gib
    )


def dominant_share(
    usage: Usage, total_cores: float, total_memory_gib: float
) -> float:
    """Give the larger of a team's shares of cores and memory."""
    return max(
        usage.cores / total_cores if total_cores else 0.0,
        usage.memory_gib / total_memory_gib if total_memory_gib else 0.0,
    )
