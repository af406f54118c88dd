"""Access to the decision where urgent tasks start, and what gives way."""

from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import placement_plan
from oleanderwood import placement_policy
from oleanderwood import preemption
from oleanderwood import task_row
from oleanderwood import worker_choice
from oleanderwood import worker_room

URGENT_START_S = 3.8
"""Time within which urgent work starts."""

START_RESERVE_S = 1.8
"""Part of it that is kept for the calls and for one refusal."""


def place(
    plan: placement_plan.Plan,
    startable: list[task_row.TaskRow],
    policy: placement_policy.Policy,
) -> None:
    """Start the urgent tasks, longest waiting first."""
    rows = [row for row in startable if placement_plan.is_urgent(plan, row)]
    rows.sort(key=lambda row: (row.waiting_since_s, row.task))
    for row in rows:
        job = plan.jobs[row.job]
        size = demands.size(plan.given.demand, job)
        if placement_plan.allowed(plan, job, size):
            _place_one_urgent(plan, row, job, size, policy)


def _place_one_urgent(
    plan: placement_plan.Plan,
    row: task_row.TaskRow,
    job: configuration.Job,
    size: demands.Size,
    policy: placement_policy.Policy,
) -> None:
    rooms = [
        room
        for room in worker_choice.rooms_for(plan, row, job)
        if room.worker.vm not in plan.probing
    ]
    needed = (size.cores, size.memory_gib, job.accelerators)
    fitting = [room for room in rooms if worker_room.fits(room, *needed)]
    if fitting:
        room = worker_choice.choose(plan, fitting, row, policy)
        placement_plan.start(plan, row, room, size)
        return
    if not policy.preempts:
        return
    expected = [room for room in rooms if worker_room.will_fit(room, *needed)]
    if expected:
        room = min(expected, key=lambda room: room.ready_at_s)
    else:
        room = _make_room(plan, rooms, row, job, size)
    if room is None:
        return
    if room.ready_at_s <= plan.given.now_s:
        placement_plan.start(plan, row, room, size)
    else:
        _hurry(plan, row, room)
        placement_plan.claim(plan, row, room, size)


def _make_room(
    plan: placement_plan.Plan,
    rooms: list[worker_room.Room],
    row: task_row.TaskRow,
    job: configuration.Job,
    size: demands.Size,
) -> worker_room.Room | None:
    victims = preemption.cheapest(
        plan, rooms, job, size, _patience_s(plan, row)
    )
    if victims is None:
        return None
    preemption.decide(plan, victims)
    return victims.room


def _patience_s(plan: placement_plan.Plan, row: task_row.TaskRow) -> float:
    waited_s = plan.given.now_s - row.waiting_since_s
    return URGENT_START_S - START_RESERVE_S - waited_s


def _hurry(
    plan: placement_plan.Plan,
    row: task_row.TaskRow,
    room: worker_room.Room,
) -> None:
    """Stop copies whose checkpoint takes too long for an urgent task."""
    if room.ready_at_s <= plan.given.now_s + _patience_s(plan, row):
        return
    for other in plan.live[room.worker.vm]:
        if other.phase is task_row.Phase.ENDING and not other.stopping:
            placement_plan.end(plan, other, True, 'room for urgent work')
