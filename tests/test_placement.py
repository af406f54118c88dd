"""Tests of placement: quotas, room, progress, stability, fairness, urgency."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood import blame
from oleanderwood import configuration
from oleanderwood import copy_ends
from oleanderwood import demand
from oleanderwood import feasibility
from oleanderwood import fleet
from oleanderwood import placement
from oleanderwood import placement_actions as actions
from oleanderwood import placement_plan
from oleanderwood import placement_policy
from oleanderwood import platform_api
from oleanderwood import preemption
from oleanderwood import task_quotas
from oleanderwood import task_row
from oleanderwood import task_table
from oleanderwood import worker_choice
from oleanderwood import worker_room
from tests import utils_placement as utils

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150
)
SEEDS = strategies.integers(0, 2**32)
RUNS_PER_DEFECT = 300


def _case(seed):
    """Make jobs, teams and workers at random, small enough to be tight."""
    rng = random.Random(seed)
    workers = [
        utils.make_worker(
            index,
            rack=f'r{index // 2}',
            cores=rng.choice([4.0, 8.0]),
            memory_gib=rng.choice([16.0, 32.0]),
        )
        for index in range(rng.randint(1, 5))
    ]
    teams = [
        utils.make_team(
            f't{index}',
            max_tasks=rng.randint(1, 8),
            max_cores=rng.uniform(1, 20),
            max_memory_gib=rng.uniform(2, 80),
        )
        for index in range(3)
    ]
    jobs = [
        utils.make_job(
            f'j{index}',
            team=f't{rng.randrange(3)}',
            tasks=rng.randint(1, 4),
            cores=rng.uniform(0.2, 6),
            memory_gib=rng.uniform(0.5, 24),
            priority=rng.choice(list(configuration.Priority)),
        )
        for index in range(rng.randint(1, 8))
    ]
    return rng, jobs, teams, workers


def _rounds(seed, count=6):
    """Decide several times while copies end; give state after each."""
    rng, jobs, teams, workers = _case(seed)
    table = utils.make_table(jobs)
    known = demand.Demand()
    now_s = 0.0
    for _ in range(count):
        before = dict(table.rows)
        decided = utils.place(
            jobs, workers, table, teams=teams, demand=known, now_s=now_s
        )
        utils.carry_out(table, decided, now_s)
        yield jobs, teams, workers, table, known, before, decided, now_s
        now_s += 30.0
        _end_some(table, rng, now_s)
        _learn(table, known, rng)


def _end_some(table, rng, now_s):
    for row in list(table.rows.values()):
        if row.phase is task_row.Phase.RUNNING and rng.random() < 0.3:
            done = platform_api.TaskState.DONE
            table.rows[row.task] = task_row.seen_ended(row, done, now_s)


def _learn(table, known, rng):
    entries = tuple(
        utils.make_entry(row, used_memory_gib=row.memory_gib * 0.8)
        for row in table.rows.values()
        if row.phase is task_row.Phase.RUNNING
    )
    demand.observe(known, platform_api.UsageReport(0.0, entries))


def _check_quotas(seed):
    for jobs, teams, _, table, *_ in _rounds(seed):
        team_of = {job.name: job.team for job in jobs}
        for team in teams:
            held = [
                row
                for row in table.rows.values()
                if row.phase in task_row.LIVE and team_of[row.job] == team.name
            ]
            cores = sum(row.cores for row in held)
            memory_gib = sum(row.memory_gib for row in held)
            assert len(held) <= team.max_tasks
            assert cores <= team.max_cores + 1e-6
            assert memory_gib <= team.max_memory_gib + 1e-6


def _check_room(seed):
    for _, _, workers, table, known, *_ in _rounds(seed):
        for worker in workers:
            cores, memory_gib = _held(table, known, worker)
            assert cores <= worker.cores + 1e-6
            assert memory_gib <= worker.memory_gib + 1e-6


def _held(table, known, worker):
    """Add up what the copies on a worker hold, by learned demand."""
    cores = memory_gib = 0.0
    for row in table.rows.values():
        if row.phase not in task_row.LIVE or row.worker != worker.vm:
            continue
        given = demand.Size(row.cores, row.memory_gib)
        one = demand.measured(known, row.job, row.task, row.epoch)
        size = demand.held(known, one, given)
        share = 0.25 if row.throttled else 1.0
        cores += min(size.cores, row.cores * share)
        memory_gib += size.memory_gib
    return cores, memory_gib


def _check_stable(seed):
    for jobs, teams, workers, table, known, _, _, now_s in _rounds(seed):
        again = utils.place(
            jobs, workers, table, teams=teams, demand=known, now_s=now_s
        )
        moved = [one for one in again if hasattr(one, 'task')]
        ends = [one for one in moved if not isinstance(one, actions.StartTask)]
        assert ends == []


def _check_progress(seed):
    """All that can run at all has run in the end, one after the other."""
    _, jobs, teams, workers = _case(seed)
    table = utils.make_table(jobs)
    never = set()
    for step in range(80):
        now_s = step * 30.0
        decided = utils.place(jobs, workers, table, teams=teams, now_s=now_s)
        never |= {
            one.job for one in decided if isinstance(one, actions.NeverRuns)
        }
        utils.carry_out(table, decided, now_s)
        for row in list(table.rows.values()):
            if row.phase is task_row.Phase.RUNNING:
                done = platform_api.TaskState.DONE
                ended = task_row.seen_ended(row, done, now_s)
                table.rows[row.task] = ended
    for job in jobs:
        can_run = _can_run(job, teams, workers)
        assert can_run != (job.name in never)
        for index in range(job.tasks):
            row = table.rows[task_table.task_id(job.name, index)]
            assert can_run == (row.phase is task_row.Phase.ENDED)


def _can_run(job, teams, workers):
    (team,) = [team for team in teams if team.name == job.team]
    within = job.cores <= team.max_cores
    within = within and job.memory_gib <= team.max_memory_gib
    return within and any(
        job.cores <= worker.cores and job.memory_gib <= worker.memory_gib
        for worker in workers
    )


@SETTINGS
@hypothesis.given(seed=SEEDS)
def test_quotas_are_never_exceeded(seed):
    _check_quotas(seed)


@SETTINGS
@hypothesis.given(seed=SEEDS)
def test_workers_are_never_overfilled(seed):
    _check_room(seed)


@SETTINGS
@hypothesis.given(seed=SEEDS)
def test_no_moves_without_a_change_of_input(seed):
    _check_stable(seed)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(seed=SEEDS)
def test_what_can_run_runs(seed):
    _check_progress(seed)


def _leave_full_workers(plan):
    for room in plan.rooms.values():
        for row in plan.live[room.worker.vm][:1]:
            placement_plan.end(plan, row, False, 'balance')


def _tells_nothing(jobs, teams, workers, known):
    return []


def _keeps_always(team, usage, cores, memory_gib, kept_share=0.0):
    limit = 1.0 - kept_share
    return (
        usage.tasks + 1 <= team.max_tasks * limit
        and usage.cores + cores <= team.max_cores * limit
        and usage.memory_gib + memory_gib <= team.max_memory_gib * limit
    )


@pytest.mark.parametrize(
    ('check', 'module', 'name', 'defect'),
    [
        (_check_quotas, task_quotas, 'allows', lambda *args: True),
        (_check_quotas, task_quotas, 'add', lambda *args: None),
        (_check_room, worker_room, 'fits', lambda *args: True),
        (_check_room, worker_room, 'take', lambda *args: None),
        (_check_stable, copy_ends, 'decide', _leave_full_workers),
        (_check_progress, feasibility, 'never_run', _tells_nothing),
        (_check_progress, feasibility, '_within', lambda *args: False),
        (_check_progress, task_quotas, 'allows', _keeps_always),
    ],
)
def test_defect_is_found(monkeypatch, check, module, name, defect):
    monkeypatch.setattr(module, name, defect)
    with pytest.raises(AssertionError):
        for seed in range(RUNS_PER_DEFECT):
            check(seed)


def _check_fair(seed, order=placement_policy.by_quota_share):
    """Teams of equal quotas and tasks get equal parts, in any sequence."""
    rng = random.Random(seed)
    count = rng.randint(2, 4)
    jobs = [
        utils.make_job(f'j{index}', team=f't{index}', tasks=30)
        for index in range(count)
    ]
    table = utils.make_table([])
    for index in rng.sample(range(count), count):
        rows = utils.make_table([jobs[index]], rng.uniform(0, 9)).rows
        table.rows.update(rows)
    decided = utils.place(
        jobs,
        [utils.make_worker(index) for index in range(rng.randint(1, 4))],
        table,
        teams=[utils.make_team(f't{index}') for index in range(count)],
        policy=placement_policy.Policy(
            placement_policy.fullest, order, placement_policy.no_reserve
        ),
        now_s=10.0,
    )
    started = collections.Counter(one.job for one in decided)
    parts = [started[job.name] for job in jobs]
    assert max(parts) - min(parts) <= 1


@SETTINGS
@hypothesis.given(seed=SEEDS)
def test_teams_share_a_pool_fairly(seed):
    _check_fair(seed)


def test_order_by_arrival_is_found_unfair():
    with pytest.raises(AssertionError):
        for seed in range(RUNS_PER_DEFECT):
            _check_fair(seed, placement_policy.by_arrival)


def test_tasks_are_spread_over_racks():
    job = utils.make_job(tasks=4, cores=0.5)
    workers = [
        utils.make_worker(index, rack=f'r{index // 2}') for index in range(4)
    ]
    table = utils.make_table([job])
    decided = utils.place([job], workers, table)
    racks = collections.Counter(int(one.worker[1:]) // 2 for one in decided)
    assert racks == {0: 2, 1: 2}


def test_spread_counts_copies_that_run(monkeypatch):
    job = utils.make_job(tasks=2)
    workers = [utils.make_worker(index) for index in range(2)]
    table = utils.make_table([job])
    utils.run(table, 'j:0', 'w0')
    (start,) = utils.place([job], workers, table)
    assert start.worker == 'w1'
    monkeypatch.setattr(
        worker_choice,
        '_least_used_domains',
        lambda plan, fitting, row: fitting,
    )
    (start,) = utils.place([job], workers, table)
    assert start.worker == 'w0'


def _full_worker(cores=2.0, memory_gib=8.0):
    """Make a worker that four copies of a bulk job fill."""
    job = utils.make_job(
        tasks=4,
        cores=cores,
        memory_gib=memory_gib,
        priority=configuration.Priority.BULK,
    )
    urgent = utils.make_urgent_job(cores=1.0, memory_gib=1.0)
    table = utils.make_table([job, urgent])
    for index in range(4):
        utils.run(table, f'j:{index}', 'w0', cores, memory_gib)
    return [job, urgent], table


def _kinds(decided):
    return [type(one).__name__ for one in decided]


def _note(table, decided, now_s=0.0):
    """Note actions whose orders take a while."""
    for action in decided:
        task_table.note(table, action, 'o', now_s)


def test_throttles_where_cores_are_lacking():
    jobs, table = _full_worker(memory_gib=2.0)
    decided = utils.place(jobs, [utils.make_worker()], table)
    assert _kinds(decided) == ['ThrottleTask', 'StartTask']


def test_checkpoints_where_memory_is_lacking_then_starts():
    jobs, table = _full_worker(cores=1.0)
    workers = [utils.make_worker()]
    decided = utils.place(jobs, workers, table)
    assert _kinds(decided) == ['CheckpointTask']
    _note(table, decided)
    assert utils.place(jobs, workers, table, now_s=0.5) == []
    decided = utils.place(jobs, workers, table, now_s=1.0)
    assert _kinds(decided) == ['StartTask']


def test_stops_where_a_checkpoint_takes_too_long():
    jobs, table = _full_worker(cores=1.0, memory_gib=64.0)
    workers = [utils.make_worker(memory_gib=256.0)]
    decided = utils.place(jobs, workers, table)
    assert _kinds(decided) == ['StopTask']


def test_urgent_work_never_gives_way():
    urgent = utils.make_urgent_job(tasks=2, cores=8.0, memory_gib=32.0)
    table = utils.make_table([urgent])
    utils.run(table, 'u:0', 'w0', 8.0, 32.0)
    assert utils.place([urgent], [utils.make_worker()], table) == []


def test_bulk_gives_way_before_normal():
    jobs, table = _full_worker(cores=1.0)
    normal = utils.make_job('n', cores=1.0, memory_gib=8.0)
    table.rows.update(utils.make_table([normal]).rows)
    utils.run(table, 'n:0', 'w1', 1.0, 32.0)
    workers = [utils.make_worker(index) for index in range(2)]
    (end,) = utils.place(jobs + [normal], workers, table)
    assert end.worker == 'w0'


def test_preempts_no_more_than_needed():
    jobs, table = _full_worker(cores=1.0)
    plan = placement_plan.make(
        placement_plan.Input(
            jobs,
            [utils.make_team()],
            [],
            [utils.make_worker()],
            table.rows,
            demand.Demand(),
            blame.Blame(),
            0.0,
            random.Random(1),
        )
    )
    rooms = list(plan.rooms.values())
    size = demand.Size(1.0, 10.0)
    found = preemption.cheapest(plan, rooms, jobs[1], size, 3.0)
    assert len(found.checkpoint) == 2


def test_keeps_room_for_urgent_work():
    job = utils.make_job(tasks=40, cores=0.1, memory_gib=1.0)
    table = utils.make_table([job])
    decided = utils.place([job], [utils.make_worker()], table)
    assert len(decided) == 30


def test_leaving_worker_is_emptied_by_checkpoints():
    job = utils.make_job(tasks=2)
    table = utils.make_table([job])
    utils.run(table, 'j:0', 'w0')
    workers = [
        utils.make_worker(0, state=fleet.VmState.DRAINING),
        utils.make_worker(1),
    ]
    decided = utils.place([job], workers, table)
    assert _kinds(decided) == ['CheckpointTask', 'StartTask']
    assert decided[1].worker == 'w1'


def test_cancelled_tasks_free_their_quota_at_once():
    old = utils.make_job('old', tasks=3)
    table = utils.make_table([old])
    for index in range(3):
        utils.run(table, f'old:{index}', 'w0')
    new = utils.make_job('new', tasks=3)
    task_table.reconcile(table, [new], 1.0)
    team = utils.make_team(max_tasks=5)
    decided = utils.place([new], [utils.make_worker()], table, teams=[team])
    assert _kinds(decided) == ['StopTask'] * 3 + ['StartTask'] * 3


def test_memory_measured_as_short_is_relieved_once():
    job = utils.make_job(tasks=3, memory_gib=8.0)
    table = utils.make_table([job])
    known = demand.Demand()
    entries = []
    for index in range(3):
        row = utils.run(table, f'j:{index}', 'w0', 1.0, 8.0)
        entries.append(utils.make_entry(row, used_memory_gib=12.0))
    demand.observe(known, platform_api.UsageReport(0.0, tuple(entries)))
    decided = utils.place([job], [utils.make_worker()], table, demand=known)
    assert _kinds(decided) == ['CheckpointTask']


def test_order_to_end_is_repeated_and_becomes_a_stop():
    job = utils.make_job()
    table = utils.make_table([job])
    row = utils.run(table)
    table.rows['j:0'] = task_row.ending(row, False, 0.0)
    workers = [utils.make_worker()]
    assert utils.place([job], workers, table, now_s=1.0) == []
    (again,) = utils.place([job], workers, table, now_s=6.0)
    assert isinstance(again, actions.CheckpointTask)
    (stop,) = utils.place([job], workers, table, now_s=40.0)
    assert isinstance(stop, actions.StopTask)


def test_task_is_not_retried_where_it_failed():
    job = utils.make_job()
    table = utils.make_table([job])
    row = utils.run(table)
    failed = platform_api.TaskState.FAILED
    table.rows['j:0'] = task_row.seen_ended(row, failed, 0.0)
    workers = [utils.make_worker(index) for index in range(2)]
    assert utils.place([job], workers, table, now_s=1.0) == []
    (start,) = utils.place([job], workers, table, now_s=5.0)
    assert start.worker == 'w1'


def test_bounded_starts_go_on_next_time(monkeypatch):
    monkeypatch.setattr(placement, 'MAX_STARTS', 1)
    jobs = [
        utils.make_job('a', tasks=2),
        utils.make_job('b', pool='q', tasks=2),
    ]
    workers = [utils.make_worker(0), utils.make_worker(1, pool='q')]
    table = utils.make_table(jobs)
    decided = utils.place(jobs, workers, table)
    assert {one.job for one in decided} == {'a'}
    utils.carry_out(table, decided)
    decided = utils.place(jobs, workers, table)
    assert {one.job for one in decided} == {'b'}


def test_same_input_same_actions():
    job = utils.make_job(tasks=9)
    workers = [utils.make_worker(index) for index in range(3)]
    decisions = [
        utils.place([job], workers, utils.make_table([job])) for _ in range(2)
    ]
    assert decisions[0] == decisions[1]
