"""Tests of repeated jobs: what is open, what is done, and what is stored."""

import time

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import lease
from oleanderwood.pools import reports
from tests import utils_jobs as build

A_DAY = 17_280
INTERVAL_MS = 5000.0


def _repeated(*steps, name=build.JOB, repeats=A_DAY, every_ms=INTERVAL_MS):
    return build.job(
        *steps, name=name, repeats=repeats, repeat_every_ms=every_ms
    )


def _finish(ledger, entry, occurrence):
    """Mark all tasks of an occurrence as done."""
    for number in range(len(entry.job.work.steps)):
        group = ledgers.open_group(ledger, entry, occurrence, number)
        for task in group.tasks:
            ledgers.mark_done(ledger, task, 1.0)


def _taken_over(job, progress):
    """Return the entry of a job in the ledger of the next leader."""
    ledger = build.ledger_with(job, term=2, inherited=True)
    entry = ledger.entries[job.job]
    record.restore(ledger, entry, progress, 1.0)
    return ledger, entry


def test_memory_follows_what_is_due_not_what_is_asked_for():
    # Objects for all occurrences of a dozen jobs took each leader in turn over
    # its memory limit, so that nothing was started any more.
    jobs = [_repeated(name=f'{number:016x}') for number in range(14)]
    ledger = build.ledger_with(*jobs)
    ledgers.open_due(ledger, 2 * INTERVAL_MS)
    assert len(ledger.open_groups) == 14 * 3
    assert ledger.open_bytes == 14 * 3 * model.open_bytes(jobs[0].work)
    for entry in ledger.entries.values():
        _finish(ledger, entry, 1)
    ledgers.open_due(ledger, 2 * INTERVAL_MS)
    assert ledger.open_bytes == 14 * 2 * model.open_bytes(jobs[0].work)


def test_job_that_cannot_start_leaves_room_for_others():
    # Its overdue occurrences would fill the memory, and keep out other jobs.
    stuck = _repeated()
    other = _repeated(name='0' * 16, every_ms=2000.0)
    ledger = build.ledger_with(stuck, other)
    size_bytes = model.open_bytes(stuck.work)
    ledger.max_open_bytes = 320 * size_bytes
    for second in range(0, 10_000, 5):
        ledgers.open_due(ledger, second * 1000.0)
        entry = ledger.entries[other.job]
        for occurrence in list(entry.groups_left):
            _finish(ledger, entry, occurrence)
    assert ledger.open_bytes <= ledger.max_open_bytes
    assert ledger.entries[stuck.job].open_bytes == 10 * size_bytes
    assert model.occurrences(other) - entry.left > 4900


def test_each_job_has_an_open_occurrence_however_full_the_memory_is():
    # A job without one would never run.
    jobs = [_repeated(name=f'{number:016x}') for number in range(9)]
    ledger = build.ledger_with(*jobs)
    ledger.max_open_bytes = 1
    ledgers.open_due(ledger, 1e9)
    assert all(len(row.groups) == 1 for row in ledger.entries.values())


def test_occurrences_overlap():
    # A slow occurrence must not hold up those after it.
    ledger = build.ledger_with(_repeated(build.step(), build.step(after=(0,))))
    entry = ledger.entries[build.JOB]
    ledgers.open_due(ledger, 10 * INTERVAL_MS)
    assert len(entry.groups_left) == 11
    _finish(ledger, entry, 7)
    ledgers.open_due(ledger, 11 * INTERVAL_MS)
    assert set(entry.groups_left) == {*range(12)} - {7}


@hypothesis.given(strategies.permutations(range(6)), strategies.integers(0, 6))
def test_job_ends_once_all_occurrences_are_done_in_any_order(order, before):
    # Also if another leader takes over between any two of them.
    job = _repeated(build.step(2), build.step(after=(0,)), repeats=6)
    ledger = build.ledger_with(job)
    entry = ledger.entries[job.job]
    for count, occurrence in enumerate(order):
        if count == before:
            progress = record.progress_of(entry)
            ledger, entry = _taken_over(job, progress)
        assert entry.state is not model.State.COMPLETED
        ledgers.open_due(ledger, occurrence * INTERVAL_MS)
        _finish(ledger, entry, occurrence)
    assert entry.state is model.State.COMPLETED
    assert not ledger.open_groups


def test_end_that_is_listed_again_does_not_open_an_occurrence_for_good():
    # Its worker lists an end until it is acknowledged, and the next leader
    # may hear of it after the occurrence is over.
    job = _repeated()
    ledger = build.ledger_with(job)
    entry = ledger.entries[job.job]
    ledgers.open_due(ledger, 0.0)
    _finish(ledger, entry, 0)
    ledgers.open_due(ledger, 0.0)
    assert not entry.groups
    worker = build.worker()
    name = model.task_name(job.job, 0, 0, 0)
    build.take(
        ledger, worker, build.report(ended=[(1, name, 1, reports.How.DONE)])
    )
    task = ledgers.find(ledger, name)
    assert task.done
    assert task.group not in ledger.open_groups
    ledgers.open_due(ledger, 0.0)
    assert not entry.groups
    assert entry.left == A_DAY - 1


def test_occurrence_is_kept_while_a_run_of_it_has_to_be_stopped():
    # A second run of a task that is done must not be forgotten.
    ledger = build.ledger_with(_repeated())
    entry = ledger.entries[build.JOB]
    ledgers.open_due(ledger, 0.0)
    worker = build.worker()
    task = build.task(ledger)
    build.start(ledger, task, worker)
    _finish(ledger, entry, 0)
    ledgers.open_due(ledger, 0.0)
    assert list(ledgers.runs(entry)) == [task]
    ledgers.end_run(ledger, task, 2.0)
    ledgers.open_due(ledger, 0.0)
    assert not entry.groups


def test_run_that_an_earlier_leader_started_is_found_before_it_is_due():
    # Clocks differ: its time may not have come by this leader's clock.
    ledger = build.ledger_with(_repeated(), term=2, inherited=True)
    name = model.task_name(build.JOB, 3, 0, 0)
    task = ledgers.find(ledger, name)
    worker = build.worker()
    ledgers.adopt(ledger, task, worker.entry.worker, 1, 1.0)
    ledgers.open_due(ledger, 3 * INTERVAL_MS)
    assert ledgers.find(ledger, name) is task
    assert ledgers.find(ledger, f'{build.JOB}.{A_DAY}.0.0') is None
    assert ledgers.find(ledger, f'{build.JOB}.0.1.0') is None
    assert ledgers.find(ledger, f'{build.JOB}.0.-1.0') is None


def test_stored_progress_follows_what_is_open():
    # The value was written whole for every few ends and grew with each one, up
    # to the store's limit.
    job = _repeated(build.step(2))
    ledger = build.ledger_with(job)
    entry = ledger.entries[job.job]
    for occurrence in range(1000):
        _finish(ledger, entry, occurrence)
        ledgers.open_due(ledger, 0.0)
    half_done = ledgers.open_group(ledger, entry, 1005, 0).tasks[1]
    ledgers.mark_done(ledger, half_done, 1.0)
    stored = msgspec.json.encode(record.progress_of(entry))
    assert len(stored) < 200
    progress = msgspec.json.decode(stored, type=record.Progress)
    ledger, entry = _taken_over(job, progress)
    assert entry.left == A_DAY - 1000
    assert set(entry.groups_left) == {1005}
    ledgers.open_due(ledger, 1001 * INTERVAL_MS)
    assert set(entry.groups_left) == {1000, 1001, 1005}
    assert not ledgers.find(ledger, f'{job.job}.1005.0.0').done
    assert ledgers.find(ledger, f'{job.job}.1005.0.1').done


def test_progress_of_many_steps_follows_what_is_open():
    # As above, for a job of many steps instead of many occurrences.
    job = build.job(*(build.step() for _ in range(2000)))
    ledger = build.ledger_with(job)
    entry = ledger.entries[job.job]
    for number in range(1500):
        ledgers.mark_done(ledger, entry.groups[0, number].tasks[0], 1.0)
    stored = msgspec.json.encode(record.progress_of(entry))
    assert len(stored) < 100
    _ledger, entry = _taken_over(
        job, msgspec.json.decode(stored, type=record.Progress)
    )
    waiting = [row.number for row in entry.groups.values() if row.waiting]
    assert waiting == list(range(1500, 2000))


class EarlierProgress(msgspec.Struct):
    """Progress as earlier releases decode it."""

    state: model.State
    groups: list[record.GroupProgress] = []


def test_earlier_release_never_reads_the_compact_form_as_nothing_done():
    # It would start all of that again. It leaves alone a job whose progress
    # it cannot decode.
    ledger = build.ledger_with(_repeated())
    entry = ledger.entries[build.JOB]
    _finish(ledger, entry, 0)
    stored = msgspec.json.encode(record.progress_of(entry))
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(stored, type=EarlierProgress)


def test_earlier_release_reads_the_progress_of_small_jobs():
    # Servers of two releases share the store during an upgrade.
    job = _repeated(build.step(2), build.step(after=(0,)), repeats=2)
    ledger = build.ledger_with(job)
    entry = ledger.entries[job.job]
    _finish(ledger, entry, 0)
    ledgers.open_due(ledger, INTERVAL_MS)
    ledgers.mark_done(ledger, entry.groups[1, 0].tasks[1], 1.0)
    stored = msgspec.json.encode(record.progress_of(entry))
    rows = msgspec.json.decode(stored, type=EarlierProgress).groups
    assert [(row.occurrence, row.step, row.done) for row in rows] == [
        (0, 0, '3'),
        (0, 1, '1'),
        (1, 0, '2'),
    ]


def test_progress_that_an_earlier_release_stored_is_taken_over_in_time():
    # A takeover looked through all occurrences for each one that was done, and
    # outlasted the lease for good.
    rows = [record.GroupProgress(number, 0, '1') for number in range(19_000)]
    rows.append(record.GroupProgress(19_001, 0, '0', failed={0: [7]}))
    progress = record.Progress(model.State.RUNNING, rows)
    job = _repeated(repeats=20_000)
    began_s = time.process_time()
    ledger, entry = _taken_over(job, progress)
    ledgers.open_due(ledger, 19_001 * INTERVAL_MS)
    assert time.process_time() - began_s < lease.RENEW_INTERVAL_S
    assert entry.left == 1000
    assert set(entry.groups_left) == {19_000, 19_001}
    assert ledgers.find(ledger, f'{job.job}.19001.0.0').failed_attempts == {7}


def test_stored_progress_that_contradicts_its_job_is_refused():
    # Such a job is left alone: which of its tasks have run isn't known.
    compact = record.CompactProgress(done=[(0, A_DAY)])
    progress = record.Progress(model.State.RUNNING, compact)
    with pytest.raises(ValueError):
        _taken_over(_repeated(), progress)


def test_cancelled_job_is_not_held_until_its_next_occurrence():
    # Its objects would stay in memory for as long as its interval.
    ledger = build.ledger_with(_repeated(every_ms=86_400_000.0))
    ledgers.open_due(ledger, 0.0)
    ledgers.end(ledger, ledger.entries[build.JOB], model.State.CANCELLED, 1.0)
    ledgers.forget(ledger, build.JOB)
    assert ledger.calendar == [(86_400_000.0, build.JOB)]
    assert not ledger.open_bytes
    assert not ledger.claimed_bytes
    ledgers.open_due(ledger, 86_400_000.0)
    assert not ledger.calendar
    assert not ledger.overdue


def test_ended_jobs_leave_the_memory_to_others(monkeypatch):
    # They are kept for two minutes, so that callers can ask for them.
    ended = [build.job(build.step(8), name=f'{n:016x}') for n in range(50)]
    ledger = build.ledger_with(*ended, _repeated())
    size_bytes = model.open_bytes(_repeated().work)
    monkeypatch.setattr(ledgers, 'MAX_SHARE_OF_ONE_JOB', 1.0)
    ledger.max_open_bytes = max(ledger.open_bytes, 10 * size_bytes)
    for entry in list(ledger.entries.values())[:-1]:
        _finish(ledger, entry, 0)
    ledgers.open_due(ledger, 9 * INTERVAL_MS)
    assert len(ledger.entries[build.JOB].groups) == 10
    assert ledger.open_bytes == 10 * size_bytes


@pytest.mark.parametrize('state', [model.State.FAILED, model.State.CANCELLED])
def test_ended_large_job_keeps_what_has_to_be_stopped_and_no_more(state):
    # Thousands of tasks of each would stay in memory for two minutes.
    ledger = build.ledger_with(build.job(build.step(1000)))
    entry = ledger.entries[build.JOB]
    task = build.task(ledger, index=7)
    build.start(ledger, task, build.worker())
    ledgers.end(ledger, entry, state, 1.0)
    ledgers.open_due(ledger, 0.0)
    assert list(ledgers.runs(entry)) == [task]
    ledgers.end_run(ledger, task, 2.0)
    ledgers.open_due(ledger, 0.0)
    assert not entry.groups
    assert ledgers.find(ledger, task.name) is None
    assert not ledger.open_bytes
    assert not ledger.claimed_bytes
