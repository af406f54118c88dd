"""Access to the decision where tasks start, and which copies give way."""

import collections
import collections.abc
import random

from oleanderwood import blame as blames
from oleanderwood import configuration
from oleanderwood import copy_ends
from oleanderwood import demand as demands
from oleanderwood import feasibility
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import placement_plan
from oleanderwood import placement_policy
from oleanderwood import task_row
from oleanderwood import urgent_placement
from oleanderwood import worker_choice
from oleanderwood import worker_room


GIB_PER_CORE = 4.0
"""What a core counts as in GiB where sizes are compared."""


MAX_STARTS = 1000
"""Starts decided at once, but for urgent ones; the rest come next time.

Each start is a write to the store, which takes several hundred a second.
"""


def place(
    jobs: collections.abc.Sequence[configuration.Job],
    teams: collections.abc.Sequence[configuration.Team],
    workers: collections.abc.Sequence[worker_room.Worker],
    tasks: collections.abc.Mapping[str, task_row.TaskRow],
    demand: demands.Demand,
    now_s: float,
    rng: random.Random,
    *,
    pools: collections.abc.Sequence[configuration.Pool] = (),
    blame: blames.Blame | None = None,
    policy: placement_policy.Policy = placement_policy.DEFAULT,
) -> list[actions.Action]:
    """Decide the next starts, and the ends of copies that make room.

    Pure: the same arguments give the same actions. Call it with rows that
    :func:`oleanderwood.task_table.reconcile` brought up to date.

    :param tasks: ``task_table.Table.rows``
    :param pools: say which failure domain the tasks are spread over
    :param blame: which workers and jobs fail; None if nothing is known
    """
    plan = placement_plan.make(
        placement_plan.Input(
            jobs,
            teams,
            pools,
            workers,
            tasks,
            demand,
            blame or blames.Blame(),
            now_s,
            rng,
        )
    )
    _tell(plan)
    copy_ends.decide(plan)
    startable = _startable(plan)
    urgent_placement.place(plan, startable, policy)
    _place_others(plan, startable, policy)
    return plan.decided


def _tell(plan: placement_plan.Plan) -> None:
    """Tell of jobs that never run, of held jobs and of bad workers."""
    given = plan.given
    waiting = {row.job for row in plan.waiting}
    told = feasibility.never_run(
        [plan.jobs[job] for job in sorted(waiting)],
        given.teams,
        given.workers,
        given.demand,
    )
    plan.decided += told
    never = {action.job for action in told}
    plan.waiting = [row for row in plan.waiting if row.job not in never]
    for vm in given.blame.aside:
        if vm in plan.rooms:
            plan.decided.append(
                actions.SetAside(vm, 'fails the tasks that run elsewhere')
            )
    for job, penalty in given.blame.held.items():
        if job in plan.jobs and given.now_s < penalty.until_s:
            reason = 'its tasks fail on workers that run others'
            plan.decided.append(actions.HoldBack(job, reason, penalty.until_s))


def _startable(plan: placement_plan.Plan) -> list[task_row.TaskRow]:
    now_s = plan.given.now_s
    blame = plan.given.blame
    return [
        row
        for row in plan.waiting
        if (row.not_before_s <= now_s or _only_refused(plan, row))
        and blames.held_until_s(blame, row.job) <= now_s
    ]


def _only_refused(plan: placement_plan.Plan, row: task_row.TaskRow) -> bool:
    return row.failures == 0 and placement_plan.is_urgent(plan, row)


def _place_others(
    plan: placement_plan.Plan,
    startable: list[task_row.TaskRow],
    policy: placement_policy.Policy,
) -> None:
    by_pool = collections.defaultdict(list)
    for row in startable:
        if not placement_plan.is_urgent(plan, row):
            by_pool[plan.jobs[row.job].pool].append(row)
    for pool in sorted(by_pool):
        if plan.starts >= MAX_STARTS:
            return
        if plan.open_rooms.get(pool):
            _place_in_pool(plan, pool, by_pool[pool], policy)


def _place_in_pool(
    plan: placement_plan.Plan,
    pool: str,
    rows: list[task_row.TaskRow],
    policy: placement_policy.Policy,
) -> None:
    """Start tasks, next of the team that the policy puts first."""
    queues = _queues(plan, rows)
    while queues:
        queue = min(queues, key=lambda one: policy.order(plan, pool, one))
        row = queue.rows.pop()
        if not _place_one(plan, pool, row, policy):
            queue.rows = [one for one in queue.rows if one.job != row.job]
        if not queue.rows:
            queues.remove(queue)


def _queues(
    plan: placement_plan.Plan, rows: list[task_row.TaskRow]
) -> list[placement_plan.Queue]:
    bulk = {
        row.job
        for row in rows
        if plan.jobs[row.job].priority is configuration.Priority.BULK
    }
    sizes = {job: _size_share(plan, job) for job in {r.job for r in rows}}
    rows.sort(
        key=lambda row: (
            row.job not in bulk,
            -row.waiting_since_s,
            sizes[row.job],
            row.task,
        )
    )
    by_team = collections.defaultdict(list)
    for row in rows:
        by_team[plan.jobs[row.job].team].append(row)
    return [
        placement_plan.Queue(team, by_team[team]) for team in sorted(by_team)
    ]


def _size_share(plan: placement_plan.Plan, job: ids.JobId) -> float:
    """Give the size of a job's tasks, to start larger ones first."""
    size = demands.size(plan.given.demand, plan.jobs[job])
    return max(size.cores * GIB_PER_CORE, size.memory_gib)


def _place_one(
    plan: placement_plan.Plan,
    pool: str,
    row: task_row.TaskRow,
    policy: placement_policy.Policy,
) -> bool:
    job = plan.jobs[row.job]
    size = demands.size(plan.given.demand, job)
    if not placement_plan.allowed(plan, job, size, policy.quota_kept_share):
        return False
    fitting = [
        room
        for room in worker_choice.rooms_for(plan, row, job)
        if worker_room.fits(
            room, size.cores, size.memory_gib, job.accelerators
        )
        and _probe_free(plan, room)
        and policy.leaves_reserve(plan, pool, room, size)
    ]
    if not fitting:
        return False
    room = worker_choice.choose(plan, fitting, row, policy)
    placement_plan.start(plan, row, room, size)
    return True


def _probe_free(plan: placement_plan.Plan, room: worker_room.Room) -> bool:
    return room.worker.vm not in plan.probing or not room.job_tasks
