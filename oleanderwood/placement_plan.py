"""Access to the state of one placement decision while it is made."""

import collections
import collections.abc
import dataclasses
import random

from oleanderwood import blame as blames
from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import task_quotas
from oleanderwood import task_row
from oleanderwood import worker_room

THROTTLED_CORES_SHARE = 0.25
"""Cores that a throttled copy still uses, as a share."""

URGENT = configuration.Priority.URGENT


@dataclasses.dataclass(frozen=True)
class Input:
    """What a decision is made from; nothing of it is changed."""

    jobs: collections.abc.Sequence[configuration.Job]
    teams: collections.abc.Sequence[configuration.Team]
    pools: collections.abc.Sequence[configuration.Pool]
    workers: collections.abc.Sequence[worker_room.Worker]
    tasks: collections.abc.Mapping[str, task_row.TaskRow]
    demand: demands.Demand
    blame: blames.Blame
    now_s: float
    rng: random.Random


@dataclasses.dataclass
class Plan:
    """A decision in the making.

    :ivar open_rooms: by pool, the rooms that may get tasks
    :ivar probing: workers that may get one task at a time, not urgent
    :ivar live: by worker, the copies that may run there
    :ivar urgent: the jobs that are urgent
    :ivar unwanted: the copies that are cancelled or whose end was ordered
    :ivar ending: the copies whose end is ordered, now or before
    :ivar held: what copies hold, as far as it was asked for
    :ivar starts: how many of the actions are starts
    :ivar decided: the actions so far
    """

    given: Input
    jobs: dict[ids.JobId, configuration.Job]
    teams: dict[str, configuration.Team]
    survives: dict[str, configuration.Survives]
    rooms: dict[ids.VmId, worker_room.Room]
    open_rooms: dict[str, list[worker_room.Room]]
    probing: set[ids.VmId]
    used: dict[str, task_quotas.Usage] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(task_quotas.Usage)
    )
    live: dict[ids.VmId, list[task_row.TaskRow]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    waiting: list[task_row.TaskRow] = dataclasses.field(default_factory=list)
    urgent: set[ids.JobId] = dataclasses.field(default_factory=set)
    unwanted: list[task_row.TaskRow] = dataclasses.field(default_factory=list)
    ending: set[str] = dataclasses.field(default_factory=set)
    held: dict[str, demands.Size] = dataclasses.field(default_factory=dict)
    starts: int = 0
    decided: list[actions.Action] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Queue:
    """A team's waiting tasks in one pool, first one last."""

    team: str
    rows: list[task_row.TaskRow]


def make(given: Input) -> Plan:
    """Count what all copies hold, and list what waits."""
    rooms = {one.vm: worker_room.empty(one) for one in given.workers}
    plan = Plan(
        given,
        {ids.JobId(job.name): job for job in given.jobs},
        {team.name: team for team in given.teams},
        {pool.name: pool.survives for pool in given.pools},
        rooms,
        {},
        set(),
    )
    plan.urgent = {
        ids.JobId(job.name) for job in given.jobs if job.priority is URGENT
    }
    _open_rooms(plan)
    for row in given.tasks.values():
        if row.phase in task_row.LIVE:
            _count(plan, row)
        elif row.phase is task_row.Phase.WAITING and not row.cancelled:
            if row.job in plan.jobs:
                plan.waiting.append(row)
    return plan


def _open_rooms(plan: Plan) -> None:
    by_pool = collections.defaultdict(list)
    given = plan.given
    for vm, room in plan.rooms.items():
        if room.worker.state is not fleet.VmState.SERVING:
            continue
        standing = blames.standing(given.blame, vm, given.now_s)
        if standing is blames.Standing.ASIDE:
            continue
        if standing is blames.Standing.PROBING:
            plan.probing.add(vm)
        pool = room.worker.pool
        survives = plan.survives.get(pool, configuration.Survives.NOTHING)
        room.domain = worker_room.domain(room.worker, survives)
        by_pool[pool].append(room)
    plan.open_rooms = by_pool


def _count(plan: Plan, row: task_row.TaskRow) -> None:
    job = plan.jobs.get(row.job)
    if row.cancelled or row.phase is task_row.Phase.ENDING:
        plan.unwanted.append(row)
    if job is not None and not row.cancelled:
        task_quotas.add(plan.used[job.team], row.cores, row.memory_gib)
    room = plan.rooms.get(row.worker)
    if room is None:
        return
    plan.live[row.worker].append(row)
    size = _held(plan, row)
    worker_room.take(
        room, row.job, size.cores, size.memory_gib, row.accelerators
    )
    if row.phase is task_row.Phase.ENDING:
        plan.ending.add(row.task)
        worker_room.give(room, size.cores, size.memory_gib, row.accelerators)
        ready_at_s = row.ending_at_s + end_s(size.memory_gib, row.stopping)
        room.ready_at_s = max(room.ready_at_s, ready_at_s)


def _held(plan: Plan, row: task_row.TaskRow) -> demands.Size:
    demand = plan.given.demand
    given = demands.Size(row.cores, row.memory_gib)
    one = demands.measured(demand, row.job, row.task, row.epoch)
    size = demands.held(demand, one, given) if one else given
    return throttled_size(size, given) if row.throttled else size


def held(plan: Plan, row: task_row.TaskRow) -> demands.Size:
    """Give what a copy holds, after throttling decided so far."""
    size = plan.held.get(row.task)
    if size is None:
        size = plan.held[row.task] = _held(plan, row)
    return size


def throttled_size(size: demands.Size, given: demands.Size) -> demands.Size:
    """Give what a copy holds once it is throttled."""
    most = given.cores * THROTTLED_CORES_SHARE
    return demands.Size(min(size.cores, most), size.memory_gib)


STOP_S = 0.3
CHECKPOINT_S = 0.5
CHECKPOINT_S_PER_GIB = 0.05


def end_s(memory_gib: float, stop: bool) -> float:
    """Give the time after which an ordered end should be through."""
    if stop:
        return STOP_S
    return CHECKPOINT_S + memory_gib * CHECKPOINT_S_PER_GIB


def start(
    plan: Plan,
    row: task_row.TaskRow,
    room: worker_room.Room,
    size: demands.Size,
) -> None:
    """Decide a start, and count it."""
    job = plan.jobs[row.job]
    claim(plan, row, room, size)
    plan.starts += 1
    plan.decided.append(
        actions.StartTask(
            row.task,
            row.job,
            room.worker.vm,
            ids.Epoch(row.epoch + 1),
            size.cores,
            size.memory_gib,
            job.accelerators,
        )
    )


def claim(
    plan: Plan,
    row: task_row.TaskRow,
    room: worker_room.Room,
    size: demands.Size,
) -> None:
    """Count a task that starts now or as soon as its room is free."""
    job = plan.jobs[row.job]
    task_quotas.add(plan.used[job.team], size.cores, size.memory_gib)
    worker_room.take(
        room, row.job, size.cores, size.memory_gib, job.accelerators
    )


def throttle(plan: Plan, row: task_row.TaskRow) -> None:
    """Decide to throttle a copy; its cores are free at once."""
    room = plan.rooms[row.worker]
    size = held(plan, row)
    less = throttled_size(size, demands.Size(row.cores, row.memory_gib))
    plan.held[row.task] = less
    room.free_cores += size.cores - less.cores
    room.expected_cores += size.cores - less.cores
    plan.decided.append(actions.ThrottleTask(row.task, row.worker, row.epoch))


def end(plan: Plan, row: task_row.TaskRow, stop: bool, reason: str) -> None:
    """Decide to checkpoint or stop a copy."""
    kind = actions.StopTask if stop else actions.CheckpointTask
    plan.decided.append(kind(row.task, row.worker, row.epoch, reason))
    room = plan.rooms.get(row.worker)
    if room is None or row.task in plan.ending:
        return
    plan.ending.add(row.task)
    size = held(plan, row)
    worker_room.give(room, size.cores, size.memory_gib, row.accelerators)
    ready_at_s = plan.given.now_s + end_s(size.memory_gib, stop)
    room.ready_at_s = max(room.ready_at_s, ready_at_s)


def is_urgent(plan: Plan, row: task_row.TaskRow) -> bool:
    """Say whether a row's job is urgent."""
    return row.job in plan.urgent


def allowed(
    plan: Plan,
    job: configuration.Job,
    size: demands.Size,
    kept_share: float = 0.0,
) -> bool:
    """Say whether the job's team may start one more task of this size.

    :param kept_share: share of the quotas that is kept for urgent work
    """
    team = plan.teams.get(job.team)
    return team is not None and task_quotas.allows(
        team, plan.used[job.team], size.cores, size.memory_gib, kept_share
    )
