"""Access to the choice of copies that make room for urgent work.

Throttling harms least, then checkpointing, then stopping; bulk work gives
way before normal work, and urgent work never does.
"""

import dataclasses

from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import placement_plan
from oleanderwood import task_row
from oleanderwood import worker_room

THROTTLE_HARM = 1.0
CHECKPOINT_HARM = 10.0
STOP_HARM = 100.0
NORMAL_HARM_FACTOR = 3.0

_EPSILON = 1e-9


@dataclasses.dataclass
class Victims:
    """Copies of one worker that would make room, and the harm done."""

    room: worker_room.Room
    harm: float = 0.0
    throttle: list[task_row.TaskRow] = dataclasses.field(default_factory=list)
    checkpoint: list[task_row.TaskRow] = dataclasses.field(
        default_factory=list
    )
    stop: list[task_row.TaskRow] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Lack:
    """What is still lacking on a worker."""

    cores: float
    memory_gib: float
    accelerators: int


def cheapest(
    plan: placement_plan.Plan,
    rooms: list[worker_room.Room],
    job: configuration.Job,
    size: demands.Size,
    patience_s: float,
) -> Victims | None:
    """Find the worker where room is made with the least harm.

    :param patience_s: time that a checkpoint may take; a copy that needs
        longer would have to be stopped
    :returns: None if no worker can make room
    """
    found = [
        victims
        for room in rooms
        if (victims := on_worker(plan, room, job, size, patience_s))
    ]
    if not found:
        return None
    return min(
        found, key=lambda victims: (victims.harm, victims.room.worker.vm)
    )


def on_worker(
    plan: placement_plan.Plan,
    room: worker_room.Room,
    job: configuration.Job,
    size: demands.Size,
    patience_s: float,
) -> Victims | None:
    """Choose the copies of one worker that would make room."""
    lack = _Lack(
        size.cores - room.expected_cores,
        size.memory_gib - room.expected_memory_gib,
        job.accelerators - room.expected_accelerators,
    )
    victims = Victims(room)
    candidates = _candidates(plan, room)
    _end_for_memory(plan, lack, candidates, victims, patience_s)
    if lack.memory_gib > _EPSILON or lack.accelerators > 0:
        return None
    kept = [row for row in candidates if not _chosen(victims, row)]
    if lack.cores > _EPSILON:
        _throttle_for_cores(plan, lack, kept, victims)
    return victims if lack.cores <= _EPSILON else None


def decide(plan: placement_plan.Plan, victims: Victims) -> None:
    """Decide to throttle, checkpoint and stop the copies chosen."""
    for row in victims.throttle:
        placement_plan.throttle(plan, row)
    for row in victims.checkpoint:
        placement_plan.end(plan, row, False, 'room for urgent work')
    for row in victims.stop:
        placement_plan.end(plan, row, True, 'room for urgent work')


def _candidates(
    plan: placement_plan.Plan, room: worker_room.Room
) -> list[task_row.TaskRow]:
    rows = [
        row
        for row in plan.live[room.worker.vm]
        if row.task not in plan.ending
        and not placement_plan.is_urgent(plan, row)
    ]
    return sorted(
        rows,
        key=lambda row: (
            weight(plan, row),
            placement_plan.held(plan, row).memory_gib,
        ),
    )


def weight(plan: placement_plan.Plan, row: task_row.TaskRow) -> float:
    """Give how much more it harms to disturb this copy than bulk work."""
    job = plan.jobs.get(row.job)
    if job is None or job.priority is configuration.Priority.BULK:
        return 1.0
    return NORMAL_HARM_FACTOR


def _end_for_memory(
    plan: placement_plan.Plan,
    lack: _Lack,
    candidates: list[task_row.TaskRow],
    victims: Victims,
    patience_s: float,
) -> None:
    """End copies until memory and accelerators suffice.

    One copy that suffices alone goes before several smaller ones.
    """
    if lack.memory_gib <= _EPSILON and lack.accelerators <= 0:
        return
    for row in candidates:
        if _suffices(plan, lack, row):
            _end(plan, lack, row, victims, patience_s)
            return
    for row in reversed(candidates):
        if lack.memory_gib <= _EPSILON and lack.accelerators <= 0:
            return
        helps = lack.memory_gib > _EPSILON or row.accelerators
        if helps:
            _end(plan, lack, row, victims, patience_s)


def _suffices(
    plan: placement_plan.Plan, lack: _Lack, row: task_row.TaskRow
) -> bool:
    size = placement_plan.held(plan, row)
    return (
        size.memory_gib >= lack.memory_gib - _EPSILON
        and row.accelerators >= lack.accelerators
    )


def _end(
    plan: placement_plan.Plan,
    lack: _Lack,
    row: task_row.TaskRow,
    victims: Victims,
    patience_s: float,
) -> None:
    size = placement_plan.held(plan, row)
    lack.cores -= size.cores
    lack.memory_gib -= size.memory_gib
    lack.accelerators -= row.accelerators
    if placement_plan.end_s(size.memory_gib, False) <= patience_s:
        victims.checkpoint.append(row)
        victims.harm += CHECKPOINT_HARM * weight(plan, row)
    else:
        victims.stop.append(row)
        victims.harm += STOP_HARM * weight(plan, row)


def _throttle_for_cores(
    plan: placement_plan.Plan,
    lack: _Lack,
    candidates: list[task_row.TaskRow],
    victims: Victims,
) -> None:
    for row in candidates:
        if lack.cores <= _EPSILON:
            return
        if row.throttled:
            continue
        size = placement_plan.held(plan, row)
        given = demands.Size(row.cores, row.memory_gib)
        less = placement_plan.throttled_size(size, given)
        if size.cores <= less.cores:
            continue
        lack.cores -= size.cores - less.cores
        victims.throttle.append(row)
        victims.harm += THROTTLE_HARM * weight(plan, row)


def _chosen(victims: Victims, row: task_row.TaskRow) -> bool:
    return row in victims.checkpoint or row in victims.stop
