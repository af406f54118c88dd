"""Tests of how workers' speeds are measured, classed and weighed."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.pools import placing
from oleanderwood.pools import slowness
from oleanderwood.pools import worker_speed
from tests import utils_jobs as build

NORMAL, SLOWER, MUCH_SLOWER = worker_speed.SpeedClass
OTHERS = {f'o{number}': slowness.Measurement(0.0, 8.0) for number in range(5)}


def _class(factor, steps):
    row = slowness.Measurement(math.log(factor), steps)
    found = worker_speed.classify({**OTHERS, 'w1': row})
    assert not OTHERS.keys() & found.keys()
    return found.get('w1', NORMAL)


@pytest.mark.parametrize(
    ('factor', 'steps', 'expected'),
    [
        (1.05, 100.0, NORMAL),
        (1.3, 100.0, NORMAL),
        (1.5, 100.0, SLOWER),
        (2.0, 100.0, MUCH_SLOWER),
        (2.4, 1.0, NORMAL),
        (5.0, 4.0, MUCH_SLOWER),
    ],
)
def test_class_depends_on_factor_and_on_steps(factor, steps, expected):
    """Guards against reordering by a few percent or by one bad estimate."""
    assert _class(factor, steps) is expected


def test_small_pool_has_no_classes():
    """Guards against a median of two workers, which blames either."""
    rows = {
        'w1': slowness.Measurement(0.0, 9.0),
        'w2': slowness.Measurement(2.0, 9.0),
    }
    assert not worker_speed.classify(rows)


MEASURED = strategies.dictionaries(
    strategies.sampled_from([f'w{number}' for number in range(12)]),
    strategies.builds(
        slowness.Measurement,
        strategies.integers(-24, 24).map(lambda eighths: eighths / 8),
        strategies.integers(1, 40).map(float),
    ),
)


@hypothesis.given(MEASURED, strategies.integers(-16, 16))
def test_classes_do_not_change_with_a_common_factor(measured, eighths):
    """Guards against classing a whole pool as slow, as estimates are biased.

    Ratios are multiples of an eighth, so that sums are exact.
    """
    moved = {
        name: slowness.Measurement(row.ratio + eighths / 8, row.steps)
        for name, row in measured.items()
    }
    assert worker_speed.classify(moved) == worker_speed.classify(measured)


@hypothesis.given(MEASURED)
def test_at_most_half_of_a_pool_is_slower(measured):
    """Guards against a pool without a normal worker."""
    assert len(worker_speed.classify(measured)) <= len(measured) / 2


def _half_done(worker, siblings_end):
    """Start a step whose siblings end elsewhere after a second.

    Its task on the worker reaches 50% in that time too, and then crawls.
    """
    ledger = build.ledger_with(build.job(build.step(3)))
    task = build.task(ledger)
    run = build.start(ledger, task, worker, 0.0)
    run.percent, run.last_progress_s = 50.0, 0.5
    times = worker_speed.StepTimes()
    for number in range(siblings_end):
        worker_speed.record_end(times, task.group, f'o{number}', 1.0, 1.0)
    return run, times


def _measure(worker, times, now_s, expected_s=3.0):
    return worker_speed.measure(
        slowness.Speed(), worker, times, lambda group: expected_s, now_s
    )


def test_worker_that_turns_slow_halfway_is_noticed_before_the_run_ends():
    """Guards against new tasks for a worker whose runs still crawl.

    The caller's estimate is three times too long and hides that.
    """
    worker = build.worker()
    run, times = _half_done(worker, siblings_end=2)
    early = _measure(worker, times, 1.0)
    assert not worker_speed.classify({**OTHERS, 'w1': early})
    run.percent, run.last_progress_s = 55.0, 1.4
    found = _measure(worker, times, 2.6)
    assert worker_speed.classify({**OTHERS, 'w1': found})['w1'] >= SLOWER


def test_run_is_not_judged_by_siblings_on_its_own_worker():
    """Guards against comparing a worker with itself."""
    worker = build.worker()
    run, times = _half_done(worker, siblings_end=0)
    for _ in range(3):
        (task,) = worker.runs.values()
        worker_speed.record_end(times, task.group, 'w1', 0.2, 1.0)
    run.percent, run.last_progress_s = 55.0, 1.4
    assert _measure(worker, times, 1.5).steps == 1.0


def test_run_without_progress_tells_nothing_until_it_is_overdue():
    """Guards against young runs that make a slow worker look fast."""
    worker = build.worker()
    run, times = _half_done(worker, siblings_end=0)
    run.percent = 0.0
    assert _measure(worker, times, 2.9) is None
    assert _measure(worker, times, 6.0).ratio == pytest.approx(math.log(2))


def test_many_tasks_of_one_step_count_as_one():
    """Guards against one bad estimate that counts for each of its tasks."""
    ledger = build.ledger_with(build.job(build.step(8)))
    speed = slowness.Speed()
    for index in range(8):
        task = build.task(ledger, 0, index)
        slowness.record_end(speed, task, 5.0, 1.0, 1.0)
    found = worker_speed.measure(
        speed, build.worker(), worker_speed.StepTimes(), lambda _: 1.0, 2.0
    )
    assert found == slowness.Measurement(pytest.approx(math.log(5)), 1.0)


def test_times_of_old_tasks_are_dropped():
    """Guards against memory that grows with every step."""
    ledger = build.ledger_with(build.job(build.step(2), build.step(2)))
    times = worker_speed.StepTimes()
    for number, at_s in ((0, 1.0), (1, 9.0)):
        group = build.task(ledger, number).group
        worker_speed.record_end(times, group, 'w1', 1.0, at_s)
    assert list(times.by_step) == [group] and len(times.ended) == 1


def _pool():
    """Build workers of which the second is slower and the third much."""
    pool = [build.worker(f'w{number}') for number in range(1, 5)]
    classes = {'w2': SLOWER, 'w3': MUCH_SLOWER}
    return pool, classes


def _placed(ledger, pool, classes, is_long=False, packs=True):
    groups = list(ledger.open_groups)
    speeds = worker_speed.Speeds(
        classes, frozenset(groups if is_long else ()), packs
    )
    decided = placing.decide(groups, pool, 5.0, 100, speeds=speeds)
    return [row.worker.entry.worker for row in decided]


def _busy(pool, count):
    """Let something run on the first workers of a pool."""
    step = build.step(count, cpu=1000)
    ledger = build.ledger_with(build.job(step, name='f' * 16))
    for index, worker in enumerate(pool[:count]):
        build.start(ledger, build.task(ledger, 0, index, 'f' * 16), worker)


def test_normal_workers_go_first_and_slow_ones_are_used():
    """Guards against idle workers while tasks wait."""
    pool, classes = _pool()
    ledger = build.ledger_with(build.job(build.step(4, cpu=8000)))
    found = _placed(ledger, pool, classes, packs=False)
    assert found == ['w1', 'w4', 'w2', 'w3']


@pytest.mark.parametrize(
    ('is_long', 'packs', 'expected'),
    [
        (False, True, ['w1', 'w2', 'w4']),
        (False, False, ['w1', 'w4', 'w2']),
        (True, True, ['w1', 'w4', 'w2']),
    ],
)
def test_only_short_runs_spare_an_empty_machine(is_long, packs, expected):
    """Guards against long runs on a slower worker beside an empty one."""
    pool, classes = _pool()
    _busy(pool, 3)
    ledger = build.ledger_with(build.job(build.step(3, cpu=7000)))
    assert _placed(ledger, pool, classes, is_long, packs) == expected


def test_restarted_task_avoids_slower_workers():
    """Guards against a second loss of the same task's time."""
    pool, classes = _pool()
    _busy(pool, 3)
    ledger = build.ledger_with(build.job(build.step(2, cpu=7000)))
    for index in range(2):
        build.task(ledger, 0, index).last_ended_attempt = 1
    assert _placed(ledger, pool, classes) == ['w1', 'w4']


def test_short_tasks_get_a_much_slower_worker_first():
    """Guards against a long task that takes a slow worker's last place."""
    long = build.job(build.step(1, cpu=8000), name='1' * 16)
    short = build.job(build.step(1, cpu=8000), name='2' * 16)
    ledger = build.ledger_with(long, short)
    groups = list(ledger.open_groups)
    pool = [build.worker('w1'), build.worker('w2')]
    _busy(pool, 1)
    speeds = worker_speed.Speeds({'w2': MUCH_SLOWER}, frozenset(groups[:1]))
    decided = placing.decide(groups, pool, 5.0, 9, speeds=speeds)
    assert [row.task.group for row in decided] == [groups[1]]
    alone = placing.decide(groups[:1], pool, 5.0, 9, speeds=speeds)
    assert [row.worker.entry.worker for row in alone] == ['w2']


def test_step_stays_near_its_data_on_a_slower_worker():
    """Guards against tasks that read their data from another rack."""
    pool = [build.worker('w1'), build.worker('w2', labels=('a', 'r2'))]
    step = build.step(near_rack='r2')
    ledger = build.ledger_with(build.job(step))
    for is_long in (False, True):
        found = _placed(ledger, pool, {'w2': MUCH_SLOWER}, is_long)
        assert found == ['w2']


def test_long_running_task_is_placed_as_if_all_were_alike():
    """Guards against machines that are opened because of some seconds."""
    pool, classes = _pool()
    serving = build.ledger_with(
        build.job(build.step(is_long_running=True), name='e' * 16)
    )
    build.start(serving, build.task(serving, name='e' * 16), pool[2])
    ledger = build.ledger_with(build.job(build.step(is_long_running=True)))
    assert _placed(ledger, pool, classes) == ['w3']


STEPS = strategies.lists(
    strategies.builds(
        build.step,
        strategies.integers(1, 6),
        cpu=strategies.integers(100, 9000),
        is_long_running=strategies.booleans(),
        uses_leftover=strategies.booleans(),
        gang=strategies.booleans(),
        label=strategies.sampled_from(['', 'a', 'b']),
        near_rack=strategies.sampled_from(['', 'r1', 'r2']),
        max_per_worker=strategies.integers(0, 2),
    ),
    min_size=1,
    max_size=8,
)
CLASSES = strategies.lists(
    strategies.sampled_from(list(worker_speed.SpeedClass)),
    min_size=1,
    max_size=6,
)


def _decide(steps, classes, packs, is_spread):
    """Place steps on workers of the given classes, every second step long."""
    ledger = build.ledger_with(
        *[
            build.job(step, name=f'{number:016x}')
            for number, step in enumerate(steps)
        ]
    )
    groups = list(ledger.open_groups)
    pool = [
        build.worker(f'w{number}', labels=('a', f'r{number % 3}'))
        for number in range(len(classes))
    ]
    slower = {f'w{number}': row for number, row in enumerate(classes) if row}
    speeds = worker_speed.Speeds(slower, frozenset(groups[::2]), packs)
    return pool, placing.decide(
        groups, pool, 1.0, 100, speeds=speeds, is_spread=is_spread
    )


@hypothesis.given(STEPS, CLASSES, strategies.booleans(), strategies.booleans())
def test_no_task_is_placed_where_it_does_not_fit(
    steps, classes, packs, is_spread
):
    """Guards against a preference that overrides a limit."""
    pool, decided = _decide(steps, classes, packs, is_spread)
    by_name = {
        row.worker.entry.worker: row
        for row in placing.free_capacity(pool, 1.0)
    }
    assert len({row.task.name for row in decided}) == len(decided)
    for row in decided:
        candidate = by_name[row.worker.entry.worker]
        assert placing.fits(candidate, row.task.group)
        placing._add_task(candidate, row.task.group)


@hypothesis.given(STEPS, strategies.integers(1, 6), strategies.booleans())
def test_pool_of_equal_workers_that_gives_machines_away_is_placed_as_before(
    steps, count, packs
):
    """Guards against a change where nothing is uneven."""
    classes = [NORMAL] * count
    _pool_, decided = _decide(steps, classes, packs, False)
    names = [(row.task.name, row.worker.entry.worker) for row in decided]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placing, '_set_unevenness', lambda *rest: None)
        _pool_, plain = _decide(steps, classes, packs, False)
    assert names == [(row.task.name, row.worker.entry.worker) for row in plain]
