"""Access to the decision where tasks start."""

import collections
import collections.abc
import random

from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import task_quotas
from oleanderwood import task_table
from oleanderwood import worker_room

_RANK = {
    configuration.Priority.URGENT: 0,
    configuration.Priority.NORMAL: 1,
    configuration.Priority.BULK: 2,
}


def place(
    jobs: collections.abc.Sequence[configuration.Job],
    teams: collections.abc.Sequence[configuration.Team],
    workers: collections.abc.Sequence[worker_room.Worker],
    tasks: collections.abc.Mapping[str, task_table.TaskRow],
    demand: demands.Demand,
    now_s: float,
    rng: random.Random,
) -> list[actions.Action]:
    """Decide the next starts, and the ends of copies that make room.

    Pure: the same arguments give the same actions. Call it with rows that
    :func:`task_table.reconcile` has brought up to date with the jobs.

    :param tasks: ``task_table.Table.rows``
    """
    job_by_id = {ids.JobId(job.name): job for job in jobs}
    team_by_id = {team.name: team for team in teams}
    rooms = {worker.vm: worker_room.empty(worker) for worker in workers}
    used = collections.defaultdict(task_quotas.Usage)
    waiting = []
    for row in tasks.values():
        job = job_by_id.get(row.job)
        if row.phase in task_table.LIVE:
            _count(row, job, rooms, used, demand)
        elif row.phase is task_table.Phase.WAITING and job is not None:
            if row.not_before_s <= now_s and not row.cancelled:
                waiting.append(row)
    decided: list[actions.Action] = _moves(tasks, rooms)
    waiting.sort(key=lambda row: _RANK[job_by_id[row.job].priority])
    by_pool = collections.defaultdict(list)
    for room in rooms.values():
        if room.worker.state is fleet.VmState.SERVING:
            by_pool[room.worker.pool].append(room)
    for row in waiting:
        job = job_by_id[row.job]
        team = team_by_id.get(job.team)
        size = demands.size(demand, job)
        if team is None or not task_quotas.allows(
            team, used[job.team], size.cores, size.memory_gib
        ):
            continue
        fitting = [
            room
            for room in by_pool[job.pool]
            if worker_room.fits(
                room, size.cores, size.memory_gib, job.accelerators
            )
        ]
        if not fitting:
            continue
        room = min(fitting, key=lambda room: room.memory_gib)
        worker_room.take(
            room, row.job, size.cores, size.memory_gib, job.accelerators
        )
        task_quotas.add(used[job.team], size.cores, size.memory_gib)
        decided.append(_start(row, job, room, size))
    return decided


def _count(row, job, rooms, used, demand) -> None:
    given = demands.Size(row.cores, row.memory_gib)
    if job is not None and not row.cancelled:
        task_quotas.add(used[job.team], given.cores, given.memory_gib)
    room = rooms.get(row.worker)
    if room is None:
        return
    held = demands.held(demand, row.job, row.task, row.epoch, given)
    if row.phase is task_table.Phase.ENDING:
        worker_room.take_for_now(
            room, held.cores, held.memory_gib, row.accelerators
        )
    else:
        worker_room.take(
            room, row.job, held.cores, held.memory_gib, row.accelerators
        )


def _moves(tasks, rooms) -> list[actions.Action]:
    decided = []
    for row in tasks.values():
        if row.phase not in task_table.LIVE:
            continue
        if row.phase is task_table.Phase.ENDING:
            continue
        room = rooms.get(row.worker)
        if row.cancelled:
            decided.append(
                actions.StopTask(row.task, row.worker, row.epoch, 'cancelled')
            )
        elif room is not None and (
            room.worker.state is not fleet.VmState.SERVING
        ):
            decided.append(
                actions.CheckpointTask(
                    row.task, row.worker, row.epoch, 'worker leaves'
                )
            )
    return decided


def _start(row, job, room, size) -> actions.StartTask:
    return actions.StartTask(
        row.task,
        row.job,
        room.worker.vm,
        ids.Epoch(row.epoch + 1),
        size.cores,
        size.memory_gib,
        job.accelerators,
    )
