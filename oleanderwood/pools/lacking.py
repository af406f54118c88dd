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


def fits_nowhere(
    group: ledgers.Group, pool: collections.abc.Iterable[workers_.Worker]
) -> bool:
    """Say whether a step could start on no worker of a pool, were all idle."""
    rooms = [_idle(worker) for worker in pool if not worker.entry.draining]
    if group.step.gang:
        members = [task for task in group.tasks if not task.done]
        return not placing.place_all(group, members, rooms)
    return not any(placing.fits(room, group) for room in rooms)


def could_help(
    step: model.Step,
    labels: collections.abc.Collection[str],
    capacity: model.Resources,
) -> bool:
    """Say whether a machine could run a task of a step."""
    needs = step.needs
    return (
        (not step.label or step.label in labels)
        and needs.cpu_millicores <= capacity.cpu_millicores
        and needs.memory_mb <= capacity.memory_mb
        and needs.gpus <= capacity.gpus
    )


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
