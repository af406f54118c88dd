"""Tests of attributing crashes of workers to tasks, and of isolating these."""

import types

import curio
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from emulator import fleet as fleets
from oleanderwood import clock
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import losses as losses_
from oleanderwood.pools import blame
from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build
from tests import utils_leading
from tests import utils_restarts as restarts
from tests import utils_takeover as takeovers

Crash = crashes_.Crash
EARLY_MS = 10
LATE_MS = 400


def _crash(attempt, age_ms, isolated=False, doubt_ms=0, in_unrest=False):
    return Crash(attempt, age_ms, doubt_ms, isolated, in_unrest)


def _in_unrest(*crashes):
    """Return crashes that came while workers crashed for other causes."""
    return [
        msgspec.structs.replace(crash, in_unrest=True) for crash in crashes
    ]


CONCLUSIVE = {
    'twice at once, the second isolated': [
        _crash(1, EARLY_MS),
        _crash(2, EARLY_MS, True),
    ],
    'three times at the same age': [
        _crash(1, LATE_MS),
        _crash(2, LATE_MS + 20),
        _crash(3, LATE_MS - 10, True),
    ],
    'in silence, twice isolated': [
        _crash(1, 900, doubt_ms=900),
        _crash(2, 1700, doubt_ms=1700),
        _crash(3, 800, True, doubt_ms=800),
        _crash(4, 1500, True, doubt_ms=1500),
    ],
    'one unreported crash': [
        Crash(crashes_.UNREPORTED),
        _crash(2, 900, doubt_ms=900),
        _crash(3, 800, True, doubt_ms=800),
        _crash(4, 1500, True, doubt_ms=1500),
    ],
    'twice isolated at unlike ages, the second not in unrest': [
        _crash(1, 699),
        _crash(2, 552),
        *_in_unrest(_crash(3, 1302, True)),
        _crash(4, 430, True),
    ],
    'in unrest, isolated after two at the same age': _in_unrest(
        _crash(1, LATE_MS),
        _crash(2, LATE_MS),
        _crash(3, 500, True, doubt_ms=250),
    ),
    'in unrest, three times isolated at unlike ages': _in_unrest(
        _crash(1, 699),
        _crash(2, 552),
        _crash(3, 1302, True),
        _crash(4, 430, True),
        _crash(5, 90, True),
    ),
    'at the same age, the second isolated, after any other': [
        _crash(1, -1),
        _crash(2, LATE_MS),
        _crash(3, LATE_MS, True),
    ],
    'in unrest, three times at the same age': _in_unrest(
        _crash(1, LATE_MS),
        _crash(2, LATE_MS + 20),
        _crash(3, LATE_MS - 10, True),
    ),
}

INCONCLUSIVE = {
    'one crash': [_crash(1, EARLY_MS, True)],
    'twice at once beside others': [_crash(1, EARLY_MS), _crash(2, EARLY_MS)],
    'at once, then late where nothing else was': [
        _crash(1, EARLY_MS),
        _crash(2, LATE_MS, True),
    ],
    'twice at once, at unlike ages': [
        _crash(1, 3),
        _crash(2, 42, True),
    ],
    'three of about the same age, two of them beside others': [
        _crash(1, 357),
        _crash(2, 421),
        _crash(3, 269, True),
    ],
    'beside others all the time': [
        _crash(1, 900),
        _crash(2, LATE_MS),
        _crash(3, 200),
        _crash(4, 1500),
    ],
    'three unlike ones, the last isolated': [
        _crash(1, 900),
        _crash(2, LATE_MS),
        _crash(3, 100, True),
    ],
    # Lab seeds 91156, 91263 and 93413: restarts for other causes.
    'in unrest, twice isolated at unlike ages': [
        _crash(1, 699, doubt_ms=699),
        *_in_unrest(
            _crash(2, -1),
            _crash(3, 1302, True, doubt_ms=1302),
            _crash(4, 430, True),
        ),
    ],
    'in unrest, twice isolated at unlike ages that are all sharp': [
        _crash(1, -1),
        *_in_unrest(_crash(2, 698), _crash(3, 72, True), _crash(4, 911, True)),
    ],
    'two of a similar age beside an unreported one': [
        Crash(crashes_.UNREPORTED),
        _crash(1, 600),
        _crash(2, 574, True),
    ],
    'only an unreported crash': [Crash(crashes_.UNREPORTED)],
}


@pytest.mark.parametrize('name', CONCLUSIVE)
def test_task_is_given_up(name):
    assert crashes_.is_conclusive(CONCLUSIVE[name])
    assert not crashes_.is_conclusive(CONCLUSIVE[name][:-1])


@pytest.mark.parametrize('name', INCONCLUSIVE)
def test_task_is_not_given_up(name):
    assert not crashes_.is_conclusive(INCONCLUSIVE[name])


def test_no_task_is_started_a_third_time_after_three_crashes():
    """Two more, isolated ones suffice even if no age is known."""
    beside = [_crash(attempt, -1) for attempt in (1, 2, 3)]
    isolated = [_crash(attempt, -1, True) for attempt in (4, 5)]
    assert crashes_.is_conclusive([*beside, *isolated])


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(-1, 3000),
            strategies.sampled_from((0, 900)),
            strategies.booleans(),
        ),
        min_size=5,
        max_size=5,
    )
)
def test_nor_after_crashes_at_any_ages_and_in_unrest(drawn):
    """The platform allows two starts after three crashes."""
    rows = [
        _crash(number, age_ms, number > 3, doubt_ms, in_unrest)
        for number, (age_ms, doubt_ms, in_unrest) in enumerate(drawn, 1)
    ]
    assert crashes_.is_conclusive(rows)


def _worker_that_crashes(count, ages_s, crashed_s=10.0):
    """Build a ledger, its tasks, and a worker that crashes under them."""
    ledger = build.ledger_with(build.job(build.step(count)))
    tasks = [build.task(ledger, index=index) for index in range(count)]
    worker = build.worker()
    for task, age_s in zip(tasks, ages_s, strict=True):
        run = build.start(ledger, task, worker, crashed_s - age_s)
        run.sent, run.sent_s = True, crashed_s - age_s
    worker.silent_since_s = worker.silent_after_s = crashed_s
    return ledger, tasks, worker


def _crash_worker(ledger, worker, common=False, now_s=10.2):
    losses = workers_.record_losses(worker, now_s)
    suspected = blame.attribute(ledger, losses, common, now_s)
    workers_.end_all_runs(ledger, worker, now_s)
    return suspected


def test_run_started_just_before_the_crash_is_suspected_alone():
    ledger, tasks, worker = _worker_that_crashes(3, (0.01, 0.5, 2.0))
    assert _crash_worker(ledger, worker) == [tasks[0]]
    assert [len(task.crashes) for task in tasks] == [1, 1, 1]


def _departures(*moments_s):
    """Return departures of workers that went down at known times."""
    return [blame.Departure(at_s, at_s, False) for at_s in moments_s]


def test_no_task_is_suspected_if_workers_crash_together():
    ledger, tasks, worker = _worker_that_crashes(2, (0.01, 0.5))
    crashed_s = worker.silent_since_s
    (departure,) = _departures(crashed_s)
    assert blame.has_common_cause(
        departure, _departures(crashed_s - 0.05, crashed_s + 0.02, 1.0)
    )
    assert not blame.has_common_cause(
        departure, _departures(crashed_s - 0.05, 1.0)
    )
    assert not _crash_worker(ledger, worker, common=True)


@pytest.mark.parametrize(
    ('ages_s', 'explained'),
    [((), False), ((0.5, 2.0), False), ((0.02, 2.0), True)],
)
def test_crash_is_explained_by_a_run_started_just_before(ages_s, explained):
    _ledger, _tasks, worker = _worker_that_crashes(len(ages_s), ages_s)
    losses = workers_.record_losses(worker, 10.2)
    assert blame.is_explained(losses) == explained


def test_crash_is_explained_by_a_run_on_probation():
    ledger, tasks, worker = _worker_that_crashes(1, (0.5,))
    isolation.record_crash(ledger, tasks[0], _crash(1, EARLY_MS), 1.0)
    tasks[0].run.attempt = 2
    assert blame.is_explained(workers_.record_losses(worker, 10.2))


@pytest.mark.parametrize(
    ('unexplained', 'workers', 'in_unrest'),
    [(1, 2, False), (2, 10, True), (2, 11, False), (20, 100, True)],
)
def test_workers_are_in_unrest_if_many_crash_unexplained(
    unexplained, workers, in_unrest
):
    assert blame.are_in_unrest(unexplained, workers) == in_unrest


def _crash_of_two_jobs(ages_s, crashed_s=10.0):
    """Let a worker crash under a task of each of two jobs."""
    names = ('a' * 16, 'b' * 16)
    ledger = build.ledger_with(*(build.job(name=name) for name in names))
    tasks = [build.task(ledger, name=name) for name in names]
    worker = build.worker()
    for task, age_s in zip(tasks, ages_s, strict=True):
        run = build.start(ledger, task, worker, crashed_s - age_s)
        run.sent, run.sent_s = True, crashed_s - age_s
    worker.silent_since_s = worker.silent_after_s = crashed_s
    _crash_worker(ledger, worker)
    return ledger, tasks


def _crash_on_trial(ledger, task, age_s, crashed_s=20.0):
    worker = build.worker('w2')
    run = build.start(ledger, task, worker, crashed_s - age_s)
    run.sent, run.sent_s = True, crashed_s - age_s
    worker.silent_since_s = worker.silent_after_s = crashed_s
    _crash_worker(ledger, worker, now_s=crashed_s + 0.2)


def test_task_is_cleared_of_a_crash_that_another_has_caused():
    """Else it is tried alone though its crash is explained."""
    ledger, tasks = _crash_of_two_jobs((0.01, 0.02))
    assert tasks[1].group.suspects
    _crash_on_trial(ledger, tasks[0], 0.01)
    assert tasks[0].group.entry.state is model.State.FAILED
    assert not tasks[1].crashes and not tasks[1].group.suspects
    stored = record.progress_of(tasks[1].group.entry)
    assert not any(row.crashes for row in stored.groups)


def test_task_is_not_cleared_of_a_crash_at_an_age_unlike_the_culprits():
    """Another task may have caused that one."""
    ledger, tasks = _crash_of_two_jobs((0.7, 0.02))
    for crashed_s in (15.0, 20.0):
        _crash_on_trial(ledger, tasks[0], 0.01, crashed_s)
    assert tasks[0].group.entry.state is model.State.FAILED
    assert tasks[1].crashes and tasks[1].group.suspects


def test_task_with_other_crashes_is_not_cleared_of_an_explained_one():
    """Else tasks that crash workers side by side clear each other."""
    ledger, tasks = _crash_of_two_jobs((0.01, 0.02))
    isolation.record_crash(ledger, tasks[1], _crash(9, 700), 12.0)
    _crash_on_trial(ledger, tasks[0], 0.01)
    assert tasks[0].group.entry.state is model.State.FAILED
    assert len(tasks[1].crashes) == 2 and tasks[1].group.suspects


def test_task_on_trial_is_not_cleared_of_an_explained_crash():
    """Else the crash of its own worker doesn't count as isolated."""
    ledger, tasks = _crash_of_two_jobs((0.01, 0.02))
    build.start(ledger, tasks[1], build.worker('w3'), 19.9)
    _crash_on_trial(ledger, tasks[0], 0.01)
    assert tasks[0].group.entry.state is model.State.FAILED
    assert isolation.is_on_probation(tasks[1])


def _trials_that_crash(ages_s):
    """Build a leader whose workers crash at once, each under a tried task.

    Each task has crashed a worker before, at its start.
    """
    ledger = build.ledger_with(build.job(build.step(len(ages_s))))
    crashed_s = clock.now_s()
    leader = types.SimpleNamespace(
        ledger=ledger,
        workers={},
        recently_gone={},
        server=types.SimpleNamespace(store_contact_s=crashed_s),
    )
    for index, age_s in enumerate(ages_s):
        task = build.task(ledger, index=index)
        isolation.record_crash(ledger, task, _crash(1, EARLY_MS), 1.0)
        worker = build.worker(f'w{index}')
        run = build.start(ledger, task, worker, crashed_s - age_s)
        run.attempt, run.sent, run.sent_s = 2, True, crashed_s - age_s
        worker.silent_since_s = worker.silent_after_s = crashed_s
        leader.workers[worker.entry.worker] = worker
    return leader


def test_trials_that_crash_at_the_same_time_are_no_common_cause():
    """Else each crash counts for nothing, and costs one worker more."""
    leader = _trials_that_crash((0.01, 0.02, 0.03))
    worker = leader.workers.pop('w0')
    (loss,) = losses_.record(leader, worker)
    assert loss.task.crashes[2].isolated
    assert loss.task.group.entry.state is model.State.FAILED


def test_tried_tasks_are_not_blamed_if_workers_crash_together():
    """At an age at which none of them crashed before, as power is lost."""
    leader = _trials_that_crash((0.2, 0.23, 0.26))
    for name in list(leader.workers):
        worker = leader.workers.pop(name)
        (loss,) = losses_.record(leader, worker)
        assert not loss.task.crashes[2].isolated
        assert loss.task.crashes[2].age_ms == -1


@pytest.mark.parametrize(('begun_s', 'isolated'), [(0.02, True), (5.0, False)])
def test_trial_counts_beside_workers_that_a_young_run_may_have_crashed(
    begun_s, isolated
):
    """Else trials count for nothing while many tasks crash workers."""
    leader = _trials_that_crash((0.01,))
    (tried,) = leader.workers.values()
    crashed_s = tried.silent_since_s
    ledger = build.ledger_with(build.job(build.step(2)))
    for index in range(2):
        worker = build.worker(f'beside{index}')
        task = build.task(ledger, index=index)
        run = build.start(ledger, task, worker, crashed_s - begun_s)
        run.sent, run.sent_s = True, crashed_s - begun_s
        worker.silent_since_s = worker.silent_after_s = crashed_s
        leader.workers[worker.entry.worker] = worker
    (loss,) = losses_.record(leader, tried)
    assert loss.task.crashes[2].isolated == isolated


def _gone_silently(name, after_s, since_s):
    """Build a worker that went down between two times, as calls time out."""
    worker = build.worker(name)
    worker.silent_after_s, worker.silent_since_s = after_s, since_s
    return worker


@pytest.mark.parametrize(
    ('after_s', 'since_s', 'fenced', 'isolated'),
    [
        (-0.3, 0.4, True, False),
        (-0.3, 0.0, True, False),
        (0.15, 0.4, True, True),
        (-0.6, -0.15, True, True),
        (-0.3, 0.4, False, True),
    ],
)
def test_trial_proves_little_beside_workers_that_may_have_gone_with_it(
    after_s, since_s, fenced, isolated
):
    """Else an innocent job is failed where a restart is seen as a timeout.

    Two workers go with the one on which a task is tried. The connection of
    one is reset, and calls to the other time out. Nothing is known of a time
    at which a worker went that has not answered this leader.
    """
    leader = _trials_that_crash((0.3,))
    (tried,) = leader.workers.values()
    crashed_s = tried.silent_since_s
    silent = _gone_silently('w2', crashed_s + after_s, crashed_s + since_s)
    silent.fenced = fenced
    for worker in (_gone_silently('w1', crashed_s, crashed_s), silent):
        leader.workers[worker.entry.worker] = worker
    (loss,) = losses_.record(leader, tried)
    assert loss.task.crashes[2].isolated == isolated


@pytest.mark.parametrize('age_s', [0.1, 0.3])
def test_worker_that_its_own_run_may_have_crashed_hides_no_trial(age_s):
    """Else tasks that crash workers side by side are started too often."""
    leader = _trials_that_crash((0.3,))
    (tried,) = leader.workers.values()
    crashed_s = tried.silent_since_s
    ledger = build.ledger_with(build.job(build.step(2)))
    for index in range(2):
        worker = _gone_silently(
            f'beside{index}', crashed_s - 0.3, crashed_s + 0.2
        )
        run = build.start(
            ledger, build.task(ledger, index=index), worker, crashed_s
        )
        run.sent, run.sent_s = True, worker.silent_since_s - age_s
        leader.workers[worker.entry.worker] = worker
    (loss,) = losses_.record(leader, tried)
    assert loss.task.crashes[2].isolated


@pytest.mark.parametrize(('age_s', 'isolated'), [(0.3, False), (0.05, True)])
def test_trial_counts_less_once_others_are_found_gone_with_it(age_s, isolated):
    """Workers that fail together are found one after another.

    An early crash goes on counting: tasks that crash workers side by side
    would be started too often.
    """
    leader = _trials_that_crash((age_s,))
    (tried,) = leader.workers.values()
    crashed_s = tried.silent_since_s
    (loss,) = losses_.record(leader, leader.workers.pop('w0'))
    task = loss.task
    assert task.crashes[2].isolated
    for name in ('w1', 'w2'):
        other = _gone_silently(name, crashed_s - 0.3, crashed_s + 0.4)
        losses_.record(leader, other)
    workers_.end_all_runs(leader.ledger, tried, clock.now_s())
    again = _gone_silently('w3', crashed_s + 2.0, crashed_s + 2.0)
    run = build.start(leader.ledger, task, again, crashed_s + 1.8)
    run.attempt, run.sent, run.sent_s = 3, True, crashed_s + 1.8
    losses_.record(leader, again)
    assert task.crashes[2].isolated == isolated
    assert task.crashes[3].isolated


def test_incarnations_of_one_executor_count_once_in_a_common_cause():
    leader = _trials_that_crash((0.3,))
    (tried,) = leader.workers.values()
    crashed_s = tried.silent_since_s
    for name in ('w1/1', 'w1/2'):
        worker = _gone_silently(name, crashed_s - 0.3, crashed_s + 0.4)
        leader.workers[worker.entry.worker] = worker
    (loss,) = losses_.record(leader, tried)
    assert loss.task.crashes[2].isolated


@pytest.mark.parametrize('closed', [True, False])
def test_workers_whose_machines_are_ordered_down_are_no_common_cause(closed):
    """Else a trial counts for nothing while machines are moved."""
    leader = _trials_that_crash((0.01,))
    (tried,) = leader.workers.values()
    for index in range(2):
        worker = build.worker(f'moved{index}')
        worker.silent_since_s = worker.silent_after_s = tried.silent_since_s
        worker.closed = closed
        leader.workers[worker.entry.worker] = worker
    (loss,) = losses_.record(leader, tried)
    assert loss.task.crashes[2].isolated == closed


def test_age_in_a_common_crash_counts_once_a_crash_comes_at_that_age():
    together = [crashes_.Crash(1, -1, common_age_ms=12)]
    together.append(crashes_.Crash(2, -1, common_age_ms=13))
    assert crashes_.points_of(together) == 2
    trial = crashes_.Crash(3, 12, isolated=True)
    assert crashes_.is_conclusive([*together, trial])
    other = crashes_.Crash(3, 200, isolated=True)
    assert not crashes_.is_conclusive([*together, other])


def test_run_on_probation_is_blamed_alone_beside_settled_ones():
    ledger, tasks, worker = _worker_that_crashes(3, (0.02, 1.5, 3.0))
    isolation.record_crash(ledger, tasks[0], _crash(1, EARLY_MS), 1.0)
    tasks[0].run.attempt = 2
    assert _crash_worker(ledger, worker) == [tasks[0]]
    assert tasks[0].crashes[2].isolated
    assert not tasks[1].crashes and not tasks[2].crashes
    assert tasks[0].group.entry.state is model.State.FAILED
    assert tasks[0].name in tasks[0].group.entry.cause


def test_run_on_probation_shares_the_blame_with_a_young_one():
    ledger, tasks, worker = _worker_that_crashes(2, (0.02, 0.5))
    isolation.record_crash(ledger, tasks[0], _crash(1, EARLY_MS), 1.0)
    tasks[0].run.attempt = 2
    _crash_worker(ledger, worker)
    assert not tasks[0].crashes[2].isolated
    assert tasks[1].crashes
    assert not ledgers.is_final(tasks[0].group.entry)


@pytest.mark.parametrize(
    ('phase', 'seen', 'age_s', 'doubt_s', 'isolated'),
    [
        (ledgers.RunPhase.UNCONFIRMED, False, 0.077, 0.0, False),
        (ledgers.RunPhase.ORDERED, False, 0.077, 0.0, False),
        (ledgers.RunPhase.UNCONFIRMED, False, 0.02, 0.0, True),
        (ledgers.RunPhase.UNCONFIRMED, False, 0.3, 0.3, True),
        (ledgers.RunPhase.UNCONFIRMED, True, 0.077, 0.0, True),
        (ledgers.RunPhase.RUNNING, False, 0.077, 0.0, True),
        (ledgers.RunPhase.STOPPING, False, 0.077, 0.0, True),
    ],
)
def test_order_without_an_answer_is_no_isolated_crash(
    phase, seen, age_s, doubt_s, isolated
):
    # Else a task is given up for a worker that never started it.
    ledger, tasks, worker = _worker_that_crashes(1, (age_s,))
    isolation.record_crash(ledger, tasks[0], _crash(1, EARLY_MS), 1.0)
    tasks[0].run.attempt = 2
    tasks[0].run.phase, tasks[0].run.seen = phase, seen
    worker.silent_after_s -= doubt_s
    _crash_worker(ledger, worker)
    assert tasks[0].crashes[2].isolated == isolated


def test_long_running_task_at_work_is_never_blamed():
    step = build.step(is_long_running=True)
    ledger = build.ledger_with(build.job(step))
    task, worker = build.task(ledger), build.worker()
    for crash in range(20):
        run = build.start(ledger, task, worker, 10.0 * crash)
        run.sent, run.sent_s = True, 10.0 * crash
        run.serving_since_s = 10.0 * crash + 1.0
        worker.silent_since_s = worker.silent_after_s = 10.0 * crash + 5.0
        _crash_worker(ledger, worker, now_s=10.0 * crash + 5.0)
    assert not task.crashes


def test_reported_run_clears_the_crash_of_its_task():
    """The worker had not crashed; its connection had been cut."""
    ledger, tasks, worker = _worker_that_crashes(1, (0.01,))
    attempt = tasks[0].run.attempt
    assert _crash_worker(ledger, worker) == tasks
    report = build.report(ended=[(1, tasks[0].name, attempt, _LAPSED)])
    build.take(ledger, worker, report, 20.0, 20.0)
    assert not tasks[0].crashes and not tasks[0].group.suspects


_LAPSED = workers_.reports.How.LAPSED


def _suspected(count, suspects):
    """Build a ledger with one step, and suspect some of its tasks."""
    ledger = build.ledger_with(build.job(build.step(count)))
    tasks = [build.task(ledger, index=index) for index in range(count)]
    for index in suspects:
        isolation.record_crash(ledger, tasks[index], _crash(1, EARLY_MS), 1.0)
    entry = tasks[0].group.entry
    entry.stored_crash_revision = entry.crash_revision
    return ledger, tasks, entry


def test_suspected_task_waits_until_its_crash_is_stored():
    _ledger, tasks, entry = _suspected(1, [0])
    assert isolation.startable(tasks[0].group) == tasks
    entry.crash_revision += 1
    assert not isolation.startable(tasks[0].group)


def test_one_of_a_step_is_tried_first_then_two_then_the_rest():
    ledger, tasks, _entry = _suspected(5, [1, 2, 3])
    group, worker = tasks[0].group, build.worker()
    assert isolation.startable(group) == [tasks[1]]
    build.start(ledger, tasks[1], worker)
    assert not isolation.startable(group)
    assert isolation.update_probation(tasks[1], crashes_.MIN_PROBATION_S)
    assert isolation.startable(group) == [tasks[2], tasks[3]]
    for task in tasks[2:4]:
        build.start(ledger, task, worker)
        assert not isolation.update_probation(task, 0.1)
        task.run.proven = True
    assert isolation.startable(group) == [tasks[0], tasks[4]]


def _place(tasks, pool, now_s=10.0):
    group = tasks[0].group
    decided = placing.decide([group], pool, now_s, 100)
    return [(row.task, row.worker.entry.worker) for row in decided]


def test_suspected_task_starts_where_nothing_is_young():
    ledger, tasks, _entry = _suspected(1, [0])
    other = build.job(build.step(2), name='b' * 16)
    ledgers.add(ledger, other, 0.0)
    settled, young = (build.worker(name) for name in ('w1', 'w2'))
    first, second = (
        build.task(ledger, index=index, name='b' * 16) for index in (0, 1)
    )
    build.start(ledger, first, settled, 5.0)
    build.start(ledger, second, young, 9.9)
    assert _place(tasks, [young, settled]) == [(tasks[0], 'w1')]
    # If all workers have young runs, one is reserved until these settle.
    assert not _place(tasks, [young])
    third = build.job(build.step(1), name='c' * 16)
    ledgers.add(ledger, third, 0.0)
    group = build.task(ledger, name='c' * 16).group
    assert not placing.decide([tasks[0].group, group], [young], 10.0, 9)
    assert _place(tasks, [young], 11.0) == [(tasks[0], 'w2')]


def test_task_waits_until_its_crash_is_stored_or_the_store_is_away():
    """Else a leader that is killed takes one crash after another along."""
    ledger = build.ledger_with(build.job())
    task = build.task(ledger)
    isolation.record_crash(ledger, task, _crash(1, 700), 1.0)
    entry = task.group.entry
    entry.crash_storage_due_s = 2.0
    pool = [build.worker()]
    assert not task.group.suspects
    assert not _place([task], pool, now_s=1.9)
    assert _place([task], pool, now_s=2.1)
    entry.stored_crash_revision = entry.crash_revision
    assert _place([task], pool, now_s=1.9)


def _decide_beside_suspected(count, others):
    """Return what starts where several jobs have a suspected task each.

    :param others: names of jobs without suspected tasks
    """
    ledger = ledgers.Ledger(1)
    groups = []
    for name in [*'abcdefgh'[:count], *others]:
        job = build.job(build.step(1, cpu=8000), name=name * 16)
        ledgers.add(ledger, job, 0.0)
        task = build.task(ledger, name=name * 16)
        groups.append(task.group)
        if name not in others:
            isolation.record_crash(ledger, task, _crash(1, EARLY_MS), 1.0)
            entry = task.group.entry
            entry.stored_crash_revision = entry.crash_revision
    pool = [build.worker(f'w{number}') for number in range(count)]
    decided = placing.decide(groups, pool, 10.0, 100)
    return [row.task.name[0] for row in decided]


def test_no_worker_is_idle_while_only_suspected_tasks_wait():
    """Else those wait for one another beside idle workers."""
    assert _decide_beside_suspected(4, '') == list('abcd')


def test_suspected_tasks_leave_half_of_a_pool_to_others():
    assert _decide_beside_suspected(4, 'xyz') == list('abxy')


def test_nothing_starts_beside_a_run_on_probation():
    ledger, tasks, _entry = _suspected(1, [0])
    worker = build.worker()
    run = build.start(ledger, tasks[0], worker, 9.0)
    ledgers.add(ledger, build.job(build.step(1), name='b' * 16), 0.0)
    other = [build.task(ledger, name='b' * 16)]
    assert not _place(other, [worker])
    run.proven = True
    assert _place(other, [worker]) == [(other[0], 'w1')]


def test_crashes_and_the_next_start_survive_a_change_of_leader():
    ledger, tasks, entry = _suspected(2, [0])
    tasks[1].crashes[1] = _crash(1, LATE_MS)
    progress = record.progress_of(entry)
    later = build.ledger_with(entry.job, term=2, inherited=True)
    found = later.entries[entry.job.job]
    record.restore(later, found, progress, 20.0)
    task = build.task(later)
    assert set(task.crashes) == {crashes_.UNREPORTED, 1}
    assert task.index in task.group.suspects
    assert ledgers.next_attempt(later, task) == 1001
    # A report lists the run, so the leader lost no crash.
    report = build.report(running=[(task.name, 2)])
    build.take(later, build.worker(), report, 20.0, 20.0)
    assert set(task.crashes) == {1}


def _inherited_with_a_crash():
    """Build a task with a crash and a start that an earlier leader stored."""
    job = build.job(build.step(1))
    ledger = build.ledger_with(job, term=3, inherited=True)
    task = build.task(ledger)
    task.crashes[1] = _crash(1, LATE_MS)
    task.crashes[crashes_.UNREPORTED] = Crash(crashes_.UNREPORTED)
    isolation.update_suspects(task)
    return ledger, task


@pytest.mark.parametrize('ends', [False, True])
def test_later_run_does_not_disprove_an_unreported_crash(ends):
    """A report of this leader's own run tells nothing of an earlier one.

    Otherwise the crash that no leader heard of is dropped, and with it the
    isolation of a run that may be about to crash its worker too.
    """
    ledger, task = _inherited_with_a_crash()
    worker = build.worker()
    run = build.start(ledger, task, worker)
    assert isolation.is_on_probation(task)
    name = (task.name, run.attempt)
    report = build.report(running=[name])
    if ends:
        report = build.report(ended=[(1, *name, reports.How.FAILED)])
    build.take(ledger, worker, report, run.begun_s + 0.1)
    assert set(task.crashes) == {crashes_.UNREPORTED, 1}
    assert ends or isolation.is_on_probation(task)


@pytest.mark.parametrize('attempt', [2, 1001, 2000])
def test_earlier_leaders_run_disproves_an_unreported_crash(attempt):
    """Even if its report arrives after a crash under a later run."""
    ledger, task = _inherited_with_a_crash()
    task.crashes[2001] = _crash(2001, LATE_MS)
    report = build.report(running=[(task.name, attempt)])
    build.take(ledger, build.worker(), report)
    assert set(task.crashes) == {1, 2001}


def test_progress_of_an_earlier_version_is_read_and_ours_by_it():
    step = '[0,0,"1",{},{}]'
    old = f'{{"state":"running","groups":[{step}],"more_pools":[]}}'
    read = record.msgspec.json.decode(old.encode(), type=record.Progress)
    assert read.groups[0].crashes == {}

    class Earlier(record.msgspec.Struct, array_like=True):
        occurrence: int
        step: int
        done: str = '0'

    new = record.GroupProgress(0, 1, '3', crashes={0: [_crash(1, EARLY_MS)]})
    encoded = record.msgspec.json.encode(new)
    earlier = record.msgspec.json.decode(encoded, type=Earlier)
    assert earlier.done == '3'


def test_unrest_is_stored_and_older_servers_ignore_it():
    class Earlier(msgspec.Struct, array_like=True):
        attempt: int
        age_ms: int = -1
        doubt_ms: int = 0
        isolated: bool = False

    (crash,) = _in_unrest(_crash(3, LATE_MS, True))
    encoded = msgspec.json.encode(crash)
    assert msgspec.json.decode(encoded, type=Crash) == crash
    assert msgspec.json.decode(encoded, type=Earlier).isolated
    old = msgspec.json.encode(Earlier(3, LATE_MS, 0, True))
    assert msgspec.json.decode(old, type=Crash) == _crash(3, LATE_MS, True)


def test_age_in_a_common_crash_is_stored_and_older_servers_ignore_it():
    class Earlier(msgspec.Struct, array_like=True):
        attempt: int
        age_ms: int = -1
        doubt_ms: int = 0
        isolated: bool = False
        in_unrest: bool = False

    crash = Crash(3, common_age_ms=EARLY_MS)
    encoded = msgspec.json.encode(crash)
    assert msgspec.json.decode(encoded, type=Crash) == crash
    assert msgspec.json.decode(encoded, type=Earlier).age_ms == -1
    old = msgspec.json.encode(Earlier(3))
    assert msgspec.json.decode(old, type=Crash) == Crash(3)


def test_crashes_under_the_members_of_a_gang_count_together():
    ledger = build.ledger_with(build.job(build.step(2, gang=True)))
    tasks = [build.task(ledger, index=index) for index in (0, 1)]
    isolation.record_crash(ledger, tasks[0], _crash(1, EARLY_MS), 1.0)
    assert set(tasks[0].group.suspects) == {0, 1}
    entry = tasks[0].group.entry
    isolation.record_crash(ledger, tasks[1], _crash(2, EARLY_MS, True), 2.0)
    # So far, each member has only one crash of its own.
    assert not ledgers.is_final(entry)
    isolation.record_crash(ledger, tasks[1], _crash(3, EARLY_MS, True), 3.0)
    assert entry.state is model.State.FAILED


@pytest.mark.parametrize('others', [0, 2])
def test_workers_that_crash_at_the_same_time_suspect_no_task(
    others, monkeypatch
):
    """The leader detects their crashes one after another."""
    events = utils_leading.record_events(monkeypatch)

    async def scenario(scene):
        step = takeovers.step(3, 16000, 3000)
        await takeovers.submit_job(scene, takeovers.leader(scene), step)
        await curio.sleep(0.03)
        machines = list(scene.fleet.machines.values())[: others + 1]
        for machine in machines:
            await curio.spawn(
                fleets.crash, scene.fleet, machine, 2.0, True, daemon=True
            )

    takeovers.play(scenario)
    suspected = [event for event in events if event[1] == 'suspected']
    assert bool(suspected) == (others == 0)


def test_ended_incarnation_that_is_registered_again_keeps_its_time(
    monkeypatch,
):
    """Three executors fail at once, and one entry is written late.

    The first to be back was judged by the time at which its late entry was
    read, so that for the others only two had failed at once.
    """
    events = utils_leading.record_events(monkeypatch)

    async def scenario(scene):
        step = takeovers.step(3, 16000, 3000)
        await takeovers.submit_job(scene, takeovers.leader(scene), step)
        await curio.sleep(0.03)
        machines = list(scene.fleet.machines.values())[:3]
        for machine, away_s in zip(machines, (0.05, 1.0, 1.0), strict=True):
            await curio.spawn(
                restarts.restart,
                scene,
                machine.address,
                away_s,
                away_s < 1.0,
                True,
                daemon=True,
            )
        await curio.sleep(3.0)

    restarts.play(scenario)
    restarted = [event for event in events if event[1] == 'restarted']
    assert len(restarted) > 3
    assert not [event for event in events if event[1] == 'suspected']
