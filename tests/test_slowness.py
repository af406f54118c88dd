"""Tests of workers that are slow compared with their pool."""

from emulator import day
from emulator import troubles
from oleanderwood.pools import placing
from oleanderwood.pools import slowness
from tests import utils_jobs as build


def _factor(entry):
    return 1.0


def _running(worker, percents, now_s=2.0, guess_ms=1000.0):
    """Start runs a second before ``now_s``, with the given progress."""
    step = build.step(guess_ms=guess_ms)
    ledger = build.ledger_with(build.job(*[step] * len(percents)))
    for number, percent in enumerate(percents):
        task = build.task(ledger, number)
        run = build.start(ledger, task, worker, now_s - 1.0)
        run.percent = percent
        run.last_progress_s = now_s
    return ledger


def _measured_speed(percents):
    worker = build.worker()
    _running(worker, percents)
    speed = slowness.Speed()
    slowness.measure(speed, worker, _factor, 2.0)
    return speed


def test_too_few_steps_give_no_ratio():
    assert _measured_speed([10.0] * 3).ratio is None


def test_many_tasks_of_one_step_count_as_one():
    worker = build.worker()
    ledger = build.ledger_with(build.job(build.step(8)))
    for index in range(8):
        run = build.start(ledger, build.task(ledger, 0, index), worker, 1.0)
        run.percent = 10.0
        run.last_progress_s = 2.0
    speed = slowness.Speed()
    slowness.measure(speed, worker, _factor, 2.0)
    assert speed.ratio is None


def test_worker_is_slow_only_relative_to_its_pool():
    healthy = _measured_speed([95.0] * 6)
    slow = _measured_speed([15.0] * 6)
    slowness.judge(slow, [healthy.ratio] * 3)
    assert slow.slow
    slowness.judge(slow, [slow.ratio] * 3)
    assert not slow.slow
    slowness.judge(healthy, [healthy.ratio, healthy.ratio, slow.ratio])
    assert not healthy.slow


def test_wrong_estimates_make_no_worker_slow():
    healthy = _measured_speed([95.0] * 6)
    mixed = _measured_speed([20.0, 30.0, 60.0, 80.0, 95.0, 99.0])
    slowness.judge(mixed, [healthy.ratio] * 3)
    assert not mixed.slow


def test_tasks_that_ended_long_ago_do_not_count():
    worker = build.worker()
    ledger = build.ledger_with(build.job(*[build.step()] * 6))
    speed = slowness.Speed()
    for number in range(6):
        task = build.task(ledger, number)
        slowness.record_end(speed, task, 7.0, 1.0, 1.0)
    slowness.measure(speed, worker, _factor, 2.0)
    assert speed.ratio is not None
    slowness.measure(speed, worker, _factor, 9.0)
    assert speed.ratio is None


def test_run_is_restarted_only_if_that_is_sooner():
    worker = build.worker()
    ledger = _running(worker, [15.0, 90.0])
    found = slowness.runs_to_restart(worker, _factor, 2.0)
    assert found == [build.task(ledger, 0)]


def test_restart_has_to_save_what_a_stop_and_a_restore_take():
    """Guards tasks whose stop takes longer than their run still would."""
    least_s = slowness.min_gain_s(900.0, 600.0)
    assert 1.6 < least_s < 1.8
    worker = build.worker()
    _running(worker, [40.0])
    # At 40% after 1 s, 1.5 s are left, and a run elsewhere takes 0.6 s.
    assert slowness.runs_to_restart(worker, lambda entry: 0.6, 2.0)
    assert not slowness.runs_to_restart(
        worker, lambda entry: 0.6, 2.0, least_s
    )


def test_slow_worker_gets_only_long_running_tasks():
    ledger = build.ledger_with(build.job())
    worker = build.worker()
    worker.slow = True
    candidate = placing.free_capacity([worker], 1.0)[0]
    assert not placing.fits(candidate, build.task(ledger).group)
    long_running = build.ledger_with(
        build.job(build.step(is_long_running=True))
    )
    assert placing.fits(candidate, build.task(long_running).group)


def test_jobs_move_from_slow_workers_and_end_in_time():
    slow = troubles.Trouble(troubles.Kind.EXECUTORS_SLOW, 3.0, 12.0)
    waits_s = []
    for seed in (3, 4, 5):
        result = day.play(
            day.Plan(seed, length_s=16.0, jobs_per_s=5.0, troubles=(slow,))
        )
        assert not result.breaches and not result.unfinished
        waits_s += result.waits_s
    waits_s.sort()
    # 4.9 s with relocation, 9.2 s without: a task of 1 s takes 7 s there.
    assert waits_s[len(waits_s) * 19 // 20] < 7.0
