"""Access to the jobs that can never run, with the reason and the remedy."""

import collections
import collections.abc

from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import worker_room


def never_run(
    jobs: collections.abc.Iterable[configuration.Job],
    teams: collections.abc.Iterable[configuration.Team],
    workers: collections.abc.Iterable[worker_room.Worker],
    demand: demands.Demand,
) -> list[actions.NeverRuns]:
    """Find the jobs that no task of can start as things are.

    VMs that are away for maintenance count: they come back. Broken ones
    don't.
    """
    team_by_name = {team.name: team for team in teams}
    by_pool = _shapes(workers)
    found = []
    for job in jobs:
        size = demands.size(demand, job)
        fault = _team_fault(job, size, team_by_name.get(job.team))
        if fault is None:
            fault = _pool_fault(job, size, by_pool.get(job.pool, set()))
        if fault is not None:
            found.append(actions.NeverRuns(ids.JobId(job.name), *fault))
    return found


Fault = tuple[str, str]
"""A reason and a remedy."""

Shape = tuple[float, float, int]
"""Cores, memory in GiB and accelerators of a worker."""


def _shapes(
    workers: collections.abc.Iterable[worker_room.Worker],
) -> dict[str, set[Shape]]:
    by_pool = collections.defaultdict(set)
    for worker in workers:
        if worker.state is not fleet.VmState.BROKEN:
            by_pool[worker.pool].add(
                (worker.cores, worker.memory_gib, worker.accelerators)
            )
    return by_pool


def _team_fault(
    job: configuration.Job,
    size: demands.Size,
    team: configuration.Team | None,
) -> Fault | None:
    if team is None:
        return f'there is no team {job.team}', 'add the team to the file'
    limits = (
        ('tasks', 1, team.max_tasks, 'max_tasks'),
        ('cores', size.cores, team.max_cores, 'max_cores'),
        ('GiB', size.memory_gib, team.max_memory_gib, 'max_memory_gib'),
    )
    for unit, needed, allowed, field in limits:
        if needed > allowed:
            return (
                f'one task needs {needed:g} {unit} and the quota of team '
                f'{team.name} is {allowed:g}',
                f'raise {field} of team {team.name} to {needed:g} or make '
                'the tasks smaller',
            )
    return None


def _pool_fault(
    job: configuration.Job, size: demands.Size, shapes: set[Shape]
) -> Fault | None:
    if not shapes:
        return (
            f'pool {job.pool} has no VM that works',
            'add VMs to the pool or name another one',
        )
    needed = (size.cores, size.memory_gib, job.accelerators)
    if any(_within(needed, shape) for shape in shapes):
        return None
    largest = max(shapes)
    return (
        f'one task needs {_text(needed)} and no VM of pool {job.pool} has '
        f'that; the largest has {_text(largest)}',
        f'make the tasks smaller or give pool {job.pool} a VM with '
        f'{_text(needed)}',
    )


def _within(needed: Shape, shape: Shape) -> bool:
    return all(one <= other for one, other in zip(needed, shape, strict=True))


def _text(shape: Shape) -> str:
    cores, memory_gib, accelerators = shape
    text = f'{cores:g} cores and {memory_gib:g} GiB'
    return f'{text} and {accelerators} accelerators' if accelerators else text
