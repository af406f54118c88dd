"""Access to the decision which copies end: cancelled, leaving, no room."""

from oleanderwood import demand as demands
from oleanderwood import fleet
from oleanderwood import placement_plan
from oleanderwood import preemption
from oleanderwood import task_row
from oleanderwood import worker_room

MAX_CHECKPOINT_S = 30.0
"""Time after which a checkpoint that was ordered becomes a stop."""


def decide(plan: placement_plan.Plan) -> None:
    """End what is cancelled, what has to leave and what has no room."""
    for row in plan.unwanted:
        _end_unwanted(plan, row)
    for vm, room in plan.rooms.items():
        if room.worker.state is not fleet.VmState.SERVING:
            _leave(plan, plan.live[vm])
    for rooms in plan.open_rooms.values():
        for room in rooms:
            if room.expected_memory_gib < 0:
                _relieve(plan, room)


def _end_unwanted(plan: placement_plan.Plan, row: task_row.TaskRow) -> None:
    if row.phase is not task_row.Phase.ENDING:
        placement_plan.end(plan, row, True, 'cancelled')
        return
    ordered_s = plan.given.now_s - row.ending_at_s
    if row.cancelled and not row.stopping:
        placement_plan.end(plan, row, True, 'cancelled')
    elif ordered_s >= task_row.REPEAT_END_S:
        stop = row.stopping or ordered_s >= MAX_CHECKPOINT_S
        placement_plan.end(plan, row, stop, 'still not ended')


def _leave(plan: placement_plan.Plan, rows: list[task_row.TaskRow]) -> None:
    for row in rows:
        if row.task not in plan.ending and not row.cancelled:
            placement_plan.end(plan, row, False, 'worker leaves')


def _relieve(plan: placement_plan.Plan, room: worker_room.Room) -> None:
    """Checkpoint copies of a worker whose memory was measured as short.

    What is planned has a margin above what was measured; only when the
    latter is too much is a move worth its price.
    """
    excess_gib = _measured_gib(plan, room) - room.worker.memory_gib
    rows = [
        row
        for row in plan.live[room.worker.vm]
        if row.task not in plan.ending
        and not placement_plan.is_urgent(plan, row)
    ]
    rows.sort(key=lambda row: preemption.weight(plan, row))
    for row in rows:
        if excess_gib <= 0:
            return
        excess_gib -= placement_plan.held(plan, row).memory_gib
        placement_plan.end(plan, row, False, 'worker short of memory')


def _measured_gib(plan: placement_plan.Plan, room: worker_room.Room) -> float:
    total_gib = 0.0
    for row in plan.live[room.worker.vm]:
        if row.task in plan.ending:
            continue
        one = demands.measured(plan.given.demand, row.job, row.task, row.epoch)
        total_gib += one.memory_gib if one else row.memory_gib
    return total_gib
