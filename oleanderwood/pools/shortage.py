"""Steps that fit on none of their pool's workers, even idle ones. Pure.

Load it answers: a pool has given its machines away, and those that are left
are of another kind than a step asks for, too few for a gang, or none that the
platform's advice allows. However long the step waits, nothing gets free that
it could use; another machine might do.
"""

import collections.abc

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_


def is_particular(group: ledgers.Group) -> bool:
    """Say whether a step asks for more than room on some worker."""
    step = group.step
    return step.gang or bool(step.label) or group.tickets is not None


def idle_rooms(
    pool: collections.abc.Iterable[workers_.Worker],
) -> list[placing.Room]:
    """Give the room of a pool's workers, were all idle."""
    return [_idle(worker) for worker in pool if not worker.entry.draining]


def fits_nowhere(group: ledgers.Group, rooms: list[placing.Room]) -> bool:
    """Say whether a step could start on no worker of a pool, were all idle."""
    if group.step.gang:
        members = [task for task in group.tasks if not task.done]
        return not placing.could_place_all(group, members, rooms)
    return not any(placing.fits(room, group) for room in rooms)


def could_hold(
    step: model.Step,
    labels: collections.abc.Collection[str],
    capacity: model.Resources,
) -> int:
    """Give how many tasks of a step a machine could hold, were it idle."""
    if step.label and step.label not in labels:
        return 0
    most = [
        has // asked
        for has, asked in (
            (capacity.cpu_millicores, step.needs.cpu_millicores),
            (capacity.memory_mb, step.needs.memory_mb),
            (capacity.gpus, step.needs.gpus),
        )
        if asked
    ]
    if step.max_per_worker:
        most.append(step.max_per_worker)
    return min(most, default=step.tasks)


def _idle(worker: workers_.Worker) -> placing.Room:
    """Give the room of a worker without all tasks that will end."""
    cpu = memory = gpus = lasting = 0
    for task in worker.runs.values():
        step = task.group.step
        if step.lasting:
            lasting += 1
            cpu += step.needs.cpu_millicores
            memory += step.needs.memory_mb
            gpus += step.needs.gpus
    capacity = worker.entry.capacity
    return placing.Room(
        worker,
        capacity.cpu_millicores - cpu,
        capacity.memory_mb - memory,
        capacity.gpus - gpus,
        reports.rack(worker.entry),
        False,
        0,
        lasting,
    )
