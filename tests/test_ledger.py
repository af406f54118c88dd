"""Tests of the state of jobs and of the runs of their tasks."""

import pytest

from oleanderwood import errors
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from tests import utils_jobs as build


def test_step_waits_for_the_steps_before_it():
    ledger = build.ledger_with(
        build.job(build.step(2), build.step(1, after=(0,)))
    )
    second = ledger.entries[build.JOB].groups[0, 1]
    assert not ledgers.is_ready(second, 0.0)
    ledgers.mark_done(ledger, build.task(ledger, 0, 0), 1.0)
    assert not ledgers.is_ready(second, 0.0)
    ledgers.mark_done(ledger, build.task(ledger, 0, 1), 1.0)
    assert ledgers.is_ready(second, 0.0)


def test_occurrence_waits_for_its_time():
    job = build.job(repeats=2, first_due_ms=1000.0, repeat_every_ms=500.0)
    ledger = build.ledger_with(job)
    groups = ledger.entries[build.JOB].groups
    ledgers.open_due(ledger, 999.0)
    assert not groups
    ledgers.open_due(ledger, 1499.0)
    assert list(groups) == [(0, 0)]
    assert not ledgers.is_ready(groups[0, 0], 999.0)
    assert ledgers.is_ready(groups[0, 0], 1000.0)
    ledgers.open_due(ledger, 1500.0)
    assert not ledgers.is_ready(groups[1, 0], 1499.0)
    assert ledgers.is_ready(groups[1, 0], 1500.0)


def test_running_task_is_not_started_again():
    ledger = build.ledger_with(build.job())
    task = build.task(ledger)
    ledgers.begin_run(ledger, task, 'w1', 1.0)
    with pytest.raises(errors.InvariantBreach):
        ledgers.begin_run(ledger, task, 'w2', 2.0)


def test_done_task_is_not_started_again():
    ledger = build.ledger_with(build.job(build.step(2)))
    task = build.task(ledger)
    ledgers.mark_done(ledger, task, 1.0)
    with pytest.raises(errors.InvariantBreach):
        ledgers.begin_run(ledger, task, 'w2', 2.0)


def test_attempts_begin_at_one_and_grow():
    ledger = build.ledger_with(build.job())
    task = build.task(ledger)
    assert ledgers.begin_run(ledger, task, 'w1', 1.0).attempt == 1
    ledgers.end_run(ledger, task, 2.0)
    assert ledgers.begin_run(ledger, task, 'w1', 3.0).attempt == 2


def test_inherited_job_gets_attempts_above_those_of_earlier_terms():
    ledger = build.ledger_with(build.job(), term=3, inherited=True)
    run = ledgers.begin_run(ledger, build.task(ledger), 'w1', 1.0)
    assert run.attempt > 2 * ledgers.ATTEMPTS_PER_TERM


def test_job_is_shown_as_completed_only_once_that_is_stored():
    ledger = build.ledger_with(build.job())
    entry = ledger.entries[build.JOB]
    ledgers.mark_done(ledger, build.task(ledger), 1.0)
    assert entry.state is model.State.COMPLETED
    assert ledgers.shown_state(entry) is model.State.RUNNING
    entry.stored_state = model.State.COMPLETED
    assert ledgers.shown_state(entry) is model.State.COMPLETED


def test_job_fails_with_the_last_allowed_attempt_and_not_before():
    ledger = build.ledger_with(build.job())
    task = build.task(ledger)
    entry = ledger.entries[build.JOB]
    ledgers.mark_failed(ledger, task, 'w1', 1, 2, 1.0)
    assert not ledgers.is_final(entry)
    ledgers.mark_failed(ledger, task, 'w2', 2, 2, 2.0)
    assert entry.state is model.State.FAILED


def test_failure_that_is_listed_twice_counts_once():
    ledger = build.ledger_with(build.job())
    task = build.task(ledger)
    assert ledgers.mark_failed(ledger, task, 'w1', 1, 2, 1.0)
    assert not ledgers.mark_failed(ledger, task, 'w1', 1, 2, 1.0)
    assert not ledgers.is_final(ledger.entries[build.JOB])


def test_long_running_task_may_fail_any_number_of_times():
    ledger = build.ledger_with(build.job(build.step(is_long_running=True)))
    task = build.task(ledger)
    for attempt in range(1, 6):
        ledgers.mark_failed(ledger, task, 'w1', attempt, 2, 1.0)
    assert not ledgers.is_final(ledger.entries[build.JOB])


def test_cancelled_job_has_no_waiting_tasks():
    ledger = build.ledger_with(build.job(build.step(3)))
    entry = ledger.entries[build.JOB]
    ledgers.end(ledger, entry, model.State.CANCELLED, 1.0)
    assert not ledger.open_groups
    assert ledger.dirty


def test_progress_survives_a_change_of_leader():
    job = build.job(build.step(3), build.step(1, after=(0,)))
    before = build.ledger_with(job)
    ledgers.mark_done(before, build.task(before, 0, 1), 1.0)
    ledgers.mark_failed(before, build.task(before, 0, 2), 'w1', 1, 3, 1.0)
    build.task(before, 0, 2).checkpoint = 'c1'
    progress = record.progress_of(before.entries[build.JOB])
    after = build.ledger_with(job, term=2, inherited=True)
    entry = after.entries[build.JOB]
    record.restore(after, entry, progress, 5.0)
    assert build.task(after, 0, 1).done
    assert build.task(after, 0, 2).failed_attempts == {1}
    assert build.task(after, 0, 2).checkpoint == 'c1'
    assert entry.groups[0, 0].left == 2
    assert not after.dirty


def test_restored_end_is_shown_at_once():
    job = build.job()
    after = build.ledger_with(job, term=2, inherited=True)
    entry = after.entries[build.JOB]
    record.restore(after, entry, record.Progress(model.State.CANCELLED), 5.0)
    assert ledgers.shown_state(entry) is model.State.CANCELLED
    assert not after.open_groups


def test_chains_follow_the_steps_that_wait_for_each_other():
    work = build.job(
        build.step(guess_ms=100.0),
        build.step(guess_ms=700.0, after=(0,)),
        build.step(guess_ms=200.0, after=(0,)),
        build.step(guess_ms=50.0, after=(1, 2)),
    ).work
    lengths_s = [0.125, 0.75, 0.25, 0.0625]
    assert model.longest_chain_s(work, lengths_s) == 0.9375
    assert model.remaining_chain_s(work, 0, lengths_s) == 0.9375
    assert model.remaining_chain_s(work, 2, lengths_s) == 0.3125
    assert model.remaining_chain_s(work, 3, lengths_s) == 0.0625
