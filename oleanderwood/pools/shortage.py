"""Finds steps that fit on none of their pool's workers, even idle ones. Pure.

Designed for a pool that has given machines away. Those that are left are of
another kind than the step requires, too few for a gang, or not allowed by the
platform's advice. However long the step waits, no suitable capacity is freed;
another machine might be suitable.
"""

import collections.abc

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import advised
from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_


def has_placement_constraint(group: ledgers.Group) -> bool:
    """Return whether a step needs more than free capacity on some worker."""
    step = group.step
    is_advised = group.tickets is not None or bool(group.refused_until_s)
    return step.gang or bool(step.label) or is_advised


def idle_capacity(
    pool: collections.abc.Iterable[workers_.Worker],
) -> list[placing.FreeCapacity]:
    """Return the free resources of a pool's workers as if all were idle."""
    return [
        _idle_capacity(worker) for worker in pool if not worker.entry.draining
    ]


def fits_nowhere(
    group: ledgers.Group,
    candidates: list[placing.FreeCapacity],
    unsuitable: frozenset[str] = frozenset(),
) -> bool:
    """Return whether no worker could start a step, even if all were idle.

    :param unsuitable: machines that can't run the step
    """
    allowed = (
        row
        for row in candidates
        if advised.may_run(group, row.worker, unsuitable)
    )
    if group.step.gang:
        members = [task for task in group.tasks if not task.done]
        return not placing.could_place_all(group, members, list(allowed))
    return not any(
        placing.has_capacity(candidate, group) for candidate in allowed
    )


def could_hold(
    step: model.Step,
    labels: collections.abc.Collection[str],
    capacity: model.Resources,
) -> int:
    """Return how many tasks of a step an idle machine could hold."""
    if step.label and step.label not in labels:
        return 0
    limits = [
        available // needed
        for available, needed in (
            (capacity.cpu_millicores, step.needs.cpu_millicores),
            (capacity.memory_mb, step.needs.memory_mb),
            (capacity.gpus, step.needs.gpus),
        )
        if needed
    ]
    if step.max_per_worker:
        limits.append(step.max_per_worker)
    return min(limits, default=step.tasks)


def _idle_capacity(worker: workers_.Worker) -> placing.FreeCapacity:
    """Return what is free once all but the long-running tasks have ended."""
    cpu = memory = gpus = long_running_count = 0
    for task in worker.runs.values():
        step = task.group.step
        if step.is_long_running:
            long_running_count += 1
            cpu += step.needs.cpu_millicores
            memory += step.needs.memory_mb
            gpus += step.needs.gpus
    capacity = worker.entry.capacity
    return placing.FreeCapacity(
        worker,
        capacity.cpu_millicores - cpu,
        capacity.memory_mb - memory,
        capacity.gpus - gpus,
        reports.rack(worker.entry),
        False,
        0,
        long_running_count,
    )
