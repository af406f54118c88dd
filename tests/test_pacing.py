"""Tests of paces, stalled runs, and steps that wait for advice."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import lengths
from oleanderwood.pools import pacing
from oleanderwood.pools import placing
from oleanderwood.pools import stalls
from tests import utils_jobs as build


def _beside(latency_ms, percent=100):
    """Build a worker with a serving task and one that uses leftovers."""
    serving = build.step(lasting=True, latency_target_ms=100.0)
    using = build.step(uses_leftover=True)
    ledger = build.ledger_with(build.job(serving, using))
    worker = build.worker()
    run = build.start(ledger, build.task(ledger, 0), worker)
    run.latency_or_cpu = latency_ms
    build.start(ledger, build.task(ledger, 1), worker).pace_percent = percent
    return worker


def _paces(worker):
    return [pace.percent for pace in pacing.decide(worker)]


def test_pace_falls_before_the_target_is_reached():
    assert _paces(_beside(85.0)) == [50]
    assert _paces(_beside(85.0, percent=15)) == [0]
    assert _paces(_beside(96.0)) == [0]


def test_pace_rises_again_in_steps():
    assert _paces(_beside(40.0, percent=0)) == [20]
    assert _paces(_beside(40.0, percent=100)) == []
    assert _paces(_beside(70.0, percent=50)) == []


def test_nothing_is_paced_where_nothing_serves():
    ledger = build.ledger_with(build.job(build.step(uses_leftover=True)))
    worker = build.worker()
    build.start(ledger, build.task(ledger), worker)
    assert _paces(worker) == []


def test_leftover_task_starts_where_nothing_serves_if_it_can():
    busy = _beside(10.0)
    ledger = build.ledger_with(build.job(build.step(uses_leftover=True)))
    ready = placing.by_service(
        ledger, {'q': build.queue()}, lengths.Lengths(), 0.0, 1.0
    )
    pool = [busy, build.worker('w2')]
    decided = placing.decide(ready[build.POOL], pool, 1.0, 10)
    assert decided[0].worker is pool[1]


def _run_since(moved_on_s, **fields):
    ledger = build.ledger_with(build.job(build.step(**fields)))
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    run.moved_on_s = moved_on_s
    return worker, run


def test_run_without_headway_has_stalled():
    worker, _run = _run_since(10.0)
    assert not stalls.stalled(worker, 12.5)
    assert len(stalls.stalled(worker, 13.5)) == 1


def test_long_task_may_stand_longer():
    worker, _run = _run_since(10.0, guess_ms=20_000.0)
    assert not stalls.stalled(worker, 19.0)
    assert stalls.stalled(worker, 21.0)


def test_task_that_is_held_back_by_us_has_not_stalled():
    worker, run = _run_since(10.0)
    run.pace_percent = 0
    assert not stalls.stalled(worker, 30.0)


def test_serving_task_at_work_never_stalls():
    worker, run = _run_since(10.0, lasting=True)
    assert stalls.stalled(worker, 17.0)
    run.at_work_since_s = 11.0
    assert not stalls.stalled(worker, 99.0)


def _advised_world():
    ledger = build.ledger_with(build.job(build.step(2)))
    queues = {'q': build.queue(needs_advice=True)}
    return ledger, queues, ledger.entries[build.JOB].groups[0, 0]


def test_step_waits_for_advice_and_goes_where_it_may():
    ledger, queues, group = _advised_world()
    assert not placing.by_service(ledger, queues, lengths.Lengths(), 0.0, 1.0)
    group.tickets = {'w2': 'ticket'}
    group.advised_until_s = 5.0
    ready = placing.by_service(ledger, queues, lengths.Lengths(), 0.0, 1.0)
    pool = [build.worker('w1'), build.worker('w2')]
    decided = placing.decide(ready[build.POOL], pool, 1.0, 10)
    assert {row.worker.entry.worker for row in decided} == {'w2'}


def test_expired_advice_is_not_used():
    ledger, queues, group = _advised_world()
    group.tickets = {'w1': 'ticket'}
    group.advised_until_s = 0.5
    assert not placing.by_service(ledger, queues, lengths.Lengths(), 0.0, 1.0)
    assert group.waiting and not ledgers.final(group.entry)


def test_advice_is_asked_for_anew_when_none_of_the_good_workers_is_left():
    # Tickets last for seconds. A step whose only good worker was gone waited
    # for its tickets to expire.
    _ledger, _queues, group = _advised_world()
    assert placing.lacks_advice(group, {'w1'}, 1.0)
    group.tickets = {'w1': 'ticket'}
    group.advised_until_s = 5.0
    assert not placing.lacks_advice(group, {'w1', 'w2'}, 1.0)
    assert placing.lacks_advice(group, {'w2'}, 1.0)
    assert placing.lacks_advice(group, {'w1'}, 5.0)
    group.tickets = {}
    assert not placing.lacks_advice(group, {'w2'}, 1.0)


def _using(percent):
    """Build a worker with a task that uses leftovers, beside none."""
    ledger = build.ledger_with(build.job(build.step(uses_leftover=True)))
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    run.pace_percent = percent
    return ledger, worker, run


def test_pace_is_given_back_once_nothing_serves_there():
    # A serving task was cancelled or went elsewhere, and what had been held
    # back for it stood still for good: 0 percent of its speed, and never
    # taken for stalled.
    _ledger, worker, _run = _using(0)
    assert _paces(worker) == [100]


def test_pace_that_an_earlier_leader_gave_is_given_anew():
    # A later leader can't know the pace of what it adopts. It took it for
    # 100 percent, and so never raised what stood at 0.
    ledger, worker, _run = _using(0)
    task = build.task(ledger)
    ledgers.over(ledger, task, 2.0)
    run = ledgers.adopt(ledger, task, 'w1', 1, 3.0)
    assert _paces(worker) == [100]
    run.pace_percent = 100
    assert _paces(worker) == []


def test_nothing_stands_still_for_good_beside_a_moderate_latency():
    # Between the two bounds a pace of nothing was neither raised nor told
    # from a good one; the latency was that of the serving task alone.
    assert _paces(_beside(70.0, percent=0)) == [pacing.LEAST_PERCENT]
    assert _paces(_beside(82.0, percent=0)) == []


def test_leftover_tasks_go_where_something_is_left():
    # All went to the fullest worker, where they got a tenth of what they
    # asked for, while others idled.
    step = build.step(4, cpu=4000, uses_leftover=True)
    ledger = build.ledger_with(build.job(step))
    ready = placing.by_service(
        ledger, {'q': build.queue()}, lengths.Lengths(), 0.0, 1.0
    )
    pool = [build.worker('w1'), build.worker('w2')]
    decided = placing.decide(ready[build.POOL], pool, 1.0, 10)
    names = [row.worker.entry.worker for row in decided]
    assert sorted(names) == ['w1', 'w1', 'w2', 'w2']
