"""Tests of paces, stalled runs and steps that wait for advice."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import advised
from oleanderwood.pools import lengths
from oleanderwood.pools import pacing
from oleanderwood.pools import placing
from oleanderwood.pools import stalls
from oleanderwood.pools import waiting_order
from tests import utils_jobs as build


def _next_to_latency_task(latency_ms, percent=100):
    """Build a worker with a latency-sensitive and a leftover task."""
    latency_step = build.step(is_long_running=True, latency_target_ms=100.0)
    leftover = build.step(uses_leftover=True)
    ledger = build.ledger_with(build.job(latency_step, leftover))
    worker = build.worker()
    run = build.start(ledger, build.task(ledger, 0), worker)
    run.latency_or_cpu = latency_ms
    build.start(ledger, build.task(ledger, 1), worker).pace_percent = percent
    return worker


def _paces(worker):
    return [pace.percent for pace in pacing.decide(worker)]


def test_pace_falls_before_the_target_is_reached():
    assert _paces(_next_to_latency_task(85.0)) == [50]
    assert _paces(_next_to_latency_task(85.0, percent=15)) == [0]
    assert _paces(_next_to_latency_task(96.0)) == [0]


def test_pace_rises_again_in_steps():
    assert _paces(_next_to_latency_task(40.0, percent=0)) == [20]
    assert _paces(_next_to_latency_task(40.0, percent=100)) == []
    assert _paces(_next_to_latency_task(70.0, percent=50)) == []


def test_no_pace_without_latency_targets():
    ledger = build.ledger_with(build.job(build.step(uses_leftover=True)))
    worker = build.worker()
    build.start(ledger, build.task(ledger), worker)
    assert _paces(worker) == []


def test_leftover_task_prefers_a_worker_without_latency_targets():
    busy = _next_to_latency_task(10.0)
    ledger = build.ledger_with(build.job(build.step(uses_leftover=True)))
    ready = waiting_order.ready_by_pool(
        ledger, {'q': build.queue()}, lengths.Lengths(), 0.0, 1.0
    )
    pool = [busy, build.worker('w2')]
    decided = placing.decide(ready[build.POOL], pool, 1.0, 10)
    assert decided[0].worker is pool[1]


def _run_since(moved_on_s, **fields):
    ledger = build.ledger_with(build.job(build.step(**fields)))
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    run.last_progress_s = moved_on_s
    return worker, run


def test_run_without_progress_has_stalled():
    worker, _run = _run_since(10.0)
    assert not stalls.stalled_tasks(worker, 12.5)
    assert len(stalls.stalled_tasks(worker, 13.5)) == 1


def test_long_task_may_make_no_progress_for_longer():
    worker, _run = _run_since(10.0, guess_ms=20_000.0)
    assert not stalls.stalled_tasks(worker, 19.0)
    assert stalls.stalled_tasks(worker, 21.0)


def test_paced_task_has_not_stalled():
    worker, run = _run_since(10.0)
    run.pace_percent = 0
    assert not stalls.stalled_tasks(worker, 30.0)


def test_long_running_task_at_work_never_stalls():
    worker, run = _run_since(10.0, is_long_running=True)
    assert stalls.stalled_tasks(worker, 17.0)
    run.serving_since_s = 11.0
    assert not stalls.stalled_tasks(worker, 99.0)


def _advised_setup():
    ledger = build.ledger_with(build.job(build.step(2)))
    queues = {'q': build.queue(needs_advice=True)}
    return ledger, queues, ledger.entries[build.JOB].groups[0, 0]


def test_step_waits_for_advice_and_starts_on_an_advised_worker():
    ledger, queues, group = _advised_setup()
    assert not waiting_order.ready_by_pool(
        ledger, queues, lengths.Lengths(), 0.0, 1.0
    )
    group.tickets = {'w2': 'ticket'}
    group.advised_until_s = 5.0
    ready = waiting_order.ready_by_pool(
        ledger, queues, lengths.Lengths(), 0.0, 1.0
    )
    pool = [build.worker('w1'), build.worker('w2')]
    decided = placing.decide(ready[build.POOL], pool, 1.0, 10)
    assert {row.worker.entry.worker for row in decided} == {'w2'}


def test_expired_advice_is_not_used():
    ledger, queues, group = _advised_setup()
    group.tickets = {'w1': 'ticket'}
    group.advised_until_s = 0.5
    assert not waiting_order.ready_by_pool(
        ledger, queues, lengths.Lengths(), 0.0, 1.0
    )
    assert group.waiting and not ledgers.is_final(group.entry)


def test_advice_is_requested_again_when_no_advised_worker_is_left():
    # Guards against a step that waits for its tickets to expire, which takes
    # seconds, although its only advised worker is gone.
    _ledger, _queues, group = _advised_setup()
    assert advised.lacks_advice(group, {'w1'}, 1.0)
    group.tickets = {'w1': 'ticket'}
    group.advised_until_s = 5.0
    assert not advised.lacks_advice(group, {'w1', 'w2'}, 1.0)
    assert advised.lacks_advice(group, {'w2'}, 1.0)
    assert advised.lacks_advice(group, {'w1'}, 5.0)
    group.tickets = {}
    assert not advised.lacks_advice(group, {'w2'}, 1.0)


def _leftover_run(percent):
    """Build a worker that runs only a task that uses leftover capacity."""
    ledger = build.ledger_with(build.job(build.step(uses_leftover=True)))
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    run.pace_percent = percent
    return ledger, worker, run


def test_pace_is_restored_once_no_latency_task_is_left():
    # Guards against a leftover task that stays at a pace of 0 after the
    # latency-sensitive task was cancelled or relocated; at that pace it is
    # never taken for stalled.
    _ledger, worker, _run = _leftover_run(0)
    assert _paces(worker) == [100]


def test_unknown_pace_of_an_adopted_run_is_set_again():
    # A new leader does not know the pace of an adopted run. It assumed 100
    # percent, and so never raised a pace of 0.
    ledger, worker, _run = _leftover_run(0)
    task = build.task(ledger)
    ledgers.end_run(ledger, task, 2.0)
    run = ledgers.adopt(ledger, task, 'w1', 1, 3.0)
    assert _paces(worker) == [100]
    run.pace_percent = 100
    assert _paces(worker) == []


def test_stopped_run_resumes_at_a_moderate_latency():
    # Guards against a pace of 0 that is never raised while the latency stays
    # between the two bounds: the task that was stopped has no part in it.
    assert _paces(_next_to_latency_task(70.0, percent=0)) == [
        pacing.MIN_PERCENT
    ]
    assert _paces(_next_to_latency_task(82.0, percent=0)) == []


def test_leftover_tasks_spread_over_idle_workers():
    # Guards against all tasks going to the fullest worker, where they got a
    # tenth of the CPU that they requested, while other workers were idle.
    step = build.step(4, cpu=4000, uses_leftover=True)
    ledger = build.ledger_with(build.job(step))
    ready = waiting_order.ready_by_pool(
        ledger, {'q': build.queue()}, lengths.Lengths(), 0.0, 1.0
    )
    pool = [build.worker('w1'), build.worker('w2')]
    decided = placing.decide(ready[build.POOL], pool, 1.0, 10)
    names = [row.worker.entry.worker for row in decided]
    assert sorted(names) == ['w1', 'w1', 'w2', 'w2']
