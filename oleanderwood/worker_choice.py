"""Access to the choice of the worker that a task starts on."""

from oleanderwood import configuration
from oleanderwood import placement_plan
from oleanderwood import placement_policy
from oleanderwood import task_row
from oleanderwood import worker_room


def rooms_for(
    plan: placement_plan.Plan,
    row: task_row.TaskRow,
    job: configuration.Job,
) -> list[worker_room.Room]:
    """List the pool's rooms; where the task just failed comes only last."""
    rooms = plan.open_rooms.get(job.pool, [])
    if not row.failures and not row.refusals:
        return rooms
    others = [room for room in rooms if room.worker.vm != row.worker]
    return others or rooms


def choose(
    plan: placement_plan.Plan,
    fitting: list[worker_room.Room],
    row: task_row.TaskRow,
    policy: placement_policy.Policy,
) -> worker_room.Room:
    """Choose one of the rooms that a task fits in, by spread and policy."""
    if len(fitting) > 1:
        fitting = _least_used_domains(plan, fitting, row)
    return policy.choose(fitting, plan.given.rng)


def _least_used_domains(
    plan: placement_plan.Plan,
    fitting: list[worker_room.Room],
    row: task_row.TaskRow,
) -> list[worker_room.Room]:
    """Keep the rooms whose failure domain has fewest of the job's tasks."""
    if not fitting[0].domain:
        return fitting
    counts: dict[str, int] = {}
    for room in plan.open_rooms[fitting[0].worker.pool]:
        here = room.job_tasks.get(row.job, 0)
        counts[room.domain] = counts.get(room.domain, 0) + here
    least = min([counts[room.domain] for room in fitting])
    return [room for room in fitting if counts[room.domain] == least]
