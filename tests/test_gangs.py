"""Tests of gangs: tasks that run together, end together and fail as one."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from tests import utils_jobs as build


def _gang(tasks=2, **fields):
    ledger = build.ledger_with(
        build.job(build.step(tasks, gang=True, **fields))
    )
    return ledger, [build.task(ledger, 0, index) for index in range(tasks)]


def test_gang_fails_as_one():
    # A gang of a job that can't be done was started up to max_attempts times
    # for each member: another member failed each time, and the failures of
    # each were counted apart. Seen on calm days with gangs, seeds 4, 5 and 6.
    ledger, (first, second) = _gang()
    entry = first.group.entry
    ledgers.mark_failed(ledger, first, 'w1', 1, 2, 1.0)
    assert not ledgers.final(entry)
    ledgers.mark_failed(ledger, second, 'w2', 2, 2, 2.0)
    assert entry.state is model.State.FAILED


def test_members_that_fail_in_one_run_count_once():
    ledger, (first, second) = _gang()
    ledgers.mark_failed(ledger, first, 'w1', 1, 2, 1.0)
    ledgers.mark_failed(ledger, second, 'w2', 1, 2, 1.0)
    assert not ledgers.final(first.group.entry)
