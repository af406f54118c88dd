"""Tests of what a worker's report proves, and what it does not."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build

Phase = ledgers.RunPhase


def _setup():
    ledger = build.ledger_with(build.job(build.step(2)))
    return ledger, build.task(ledger), build.worker()


def test_listed_end_ends_the_run():
    ledger, task, worker = _setup()
    build.start(ledger, task, worker)
    end = (1, task.name, 1, reports.How.DONE)
    outcome = build.take(ledger, worker, build.report(ended=[end]))
    assert task.done and task.run is None and outcome.changed
    assert worker.seen_end == 1 and worker.stored_end == 0


def test_same_end_is_applied_once():
    ledger, task, worker = _setup()
    build.start(ledger, task, worker)
    end = (1, task.name, 1, reports.How.FAILED)
    build.take(ledger, worker, build.report(ended=[end]))
    build.start(ledger, task, worker)
    build.take(ledger, worker, build.report([(task.name, 2)], [end]))
    assert task.run is not None and task.failed_attempts == {1}


def test_unanswered_start_is_over_only_after_a_stop_was_taken():
    ledger, task, worker = _setup()
    run = build.start(ledger, task, worker)
    ledgers.set_phase(run, Phase.UNCONFIRMED, 1.0)
    outcome = build.take(ledger, worker, build.report(), sent_s=1.5)
    assert outcome.stops == [(task.name, 1)]
    assert run.phase is Phase.STOPPING and task.run is run
    build.take(ledger, worker, build.report(), sent_s=1.6)
    assert task.run is run
    run.stop_answered_s = 1.7
    build.take(ledger, worker, build.report(), sent_s=1.65)
    assert task.run is run
    build.take(ledger, worker, build.report(), sent_s=1.8)
    assert task.run is None and task.last_ended_attempt == 1


def test_unanswered_start_that_is_listed_runs():
    ledger, task, worker = _setup()
    run = build.start(ledger, task, worker)
    ledgers.set_phase(run, Phase.UNCONFIRMED, 1.0)
    build.take(ledger, worker, build.report([(task.name, 1)]))
    assert run.phase is Phase.RUNNING


def test_report_requested_before_a_start_proves_nothing_about_it():
    ledger, task, worker = _setup()
    run = build.start(ledger, task, worker, now_s=3.0)
    outcome = build.take(ledger, worker, build.report(), sent_s=2.0)
    assert not outcome.stops and run.phase is Phase.RUNNING


def test_run_of_an_earlier_leader_is_adopted():
    ledger, task, worker = _setup()
    build.take(ledger, worker, build.report([(task.name, 7)]))
    assert task.run.attempt == 7
    assert worker.runs[task.name] is task
    assert not task.group.waiting.get(task.index)


def test_run_of_an_unknown_job_is_stopped():
    ledger, _task, worker = _setup()
    outcome = build.take(
        ledger, worker, build.report([('ffffffffffffffff.0.0.0', 1)])
    )
    assert outcome.stops == [('ffffffffffffffff.0.0.0', 1)]


def test_second_run_of_a_task_is_stopped():
    ledger, task, worker = _setup()
    build.start(ledger, task, build.worker('w2'))
    outcome = build.take(ledger, worker, build.report([(task.name, 1)]))
    assert outcome.stops == [(task.name, 1)]
    assert task.run.worker == 'w2'


def test_lost_run_is_stopped_when_it_is_listed_again():
    ledger, task, worker = _setup()
    build.start(ledger, task, worker)
    workers_.end_all_runs(ledger, worker, 2.0)
    outcome = build.take(ledger, worker, build.report([(task.name, 1)]))
    assert outcome.stops == [(task.name, 1)] and task.run is None


def test_done_elsewhere_stops_the_other_run():
    ledger, task, worker = _setup()
    build.start(ledger, task, worker)
    workers_.end_all_runs(ledger, worker, 2.0)
    build.start(ledger, task, build.worker('w2'))
    end = (1, task.name, 1, reports.How.DONE)
    outcome = build.take(ledger, worker, build.report(ended=[end]))
    assert task.done and outcome.stop_elsewhere == [task]


def test_tasks_of_a_lost_worker_wait_again():
    ledger, task, worker = _setup()
    build.start(ledger, task, worker)
    assert workers_.end_all_runs(ledger, worker, 2.0) == [task]
    assert task.run is None and task.group.waiting[task.index] is task


def test_lease_bound_covers_a_slow_clock():
    worker = build.worker()
    workers_.record_answer(worker, build.report(own_clock_ms=10_000.0), 100.0)
    workers_.record_lease(worker, 15_000.0)
    assert worker.lease_end_s >= 100.0 + 5.0 / 0.98
    workers_.record_lease(worker, 12_000.0)
    assert worker.lease_end_s >= 100.0 + 5.0 / 0.98


def test_worker_that_only_fails_is_suspect_until_one_run_is_done():
    ledger = build.ledger_with(
        build.job(build.step(2)), build.job(build.step(2), name='1' * 16)
    )
    names = (build.JOB, build.JOB, '1' * 16, '1' * 16)
    worker = build.worker()
    for index in range(3):
        task = build.task(ledger, 0, index % 2, names[index])
        build.start(ledger, task, worker)
        end = (index + 1, task.name, 1, reports.How.FAILED)
        build.take(ledger, worker, build.report(ended=[end]), attempts=9)
    assert workers_.is_suspect(worker)
    task = build.task(ledger, 0, 1, names[3])
    build.start(ledger, task, worker)
    end = (4, task.name, 1, reports.How.DONE)
    build.take(ledger, worker, build.report(ended=[end]))
    assert not workers_.is_suspect(worker)


def test_unwanted_run_uses_resources_until_it_has_ended():
    # Guards against an overloaded worker: after a change of leader it still
    # ran a task of a cancelled job. The task was ordered to stop, but its
    # resources were assigned again before it had ended, which a worker that
    # does not check its capacity accepts. Seen on a day with such workers,
    # seed 4 at six jobs a second.
    ledger = build.ledger_with(
        build.job(build.step(cpu=5000, mem=300, max_per_worker=1))
    )
    task, worker = build.task(ledger), build.worker()
    ledgers.end(ledger, task.group.entry, model.State.CANCELLED, 1.0)
    outcome = build.take(ledger, worker, build.report([(task.name, 1)]))
    assert outcome.stops == [(task.name, 1)]
    assert workers_.used_resources(worker) == model.Resources(5000, 300)
    (candidate,) = placing.free_capacity([worker], 2.0)
    assert candidate.cpu_millicores == 3000 and not placing.fits(
        candidate, task.group
    )
    end = (1, task.name, 1, reports.How.STOPPED)
    build.take(ledger, worker, build.report(ended=[end]))
    assert workers_.used_resources(worker) == model.Resources()


def test_worker_with_a_run_of_unknown_size_gets_nothing_more():
    ledger, _task, worker = _setup()
    unknown = 'f' * 16 + '.0.0.0'
    build.take(ledger, worker, build.report([(unknown, 1)]))
    assert not placing.free_capacity([worker], 2.0)
    build.take(ledger, worker, build.report())
    assert placing.free_capacity([worker], 2.0)
