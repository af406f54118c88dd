"""Tests of gangs: tasks that run together, end together and fail as one."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import placing
from oleanderwood.pools import reports
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


def test_members_go_on_from_the_same_saved_work():
    # Each member was told what it had saved last itself. Values of one
    # attempt must be the same, else the members don't work together: each
    # waited for the others until it ended alone, again and again. Seen on
    # days with gangs that save their work, seed 22 with four troubles.
    ledger, (first, second) = _gang(checkpoints=True)
    workers = [build.worker('w1'), build.worker('w2')]
    for task, worker in zip((first, second), workers, strict=True):
        build.start(ledger, task, worker)
    row = reports.Running(first.name, 1, checkpoint='c1')
    build.take(ledger, workers[0], reports.Report(0.0, [row], []))
    for task in (first, second):
        ledgers.over(ledger, task, 3.0)
    runs = [
        ledgers.begin(ledger, task, worker.entry.worker, 4.0, 2)
        for task, worker in zip((first, second), workers, strict=True)
    ]
    # An end of an earlier run that is listed late must not part them.
    ended = (1, second.name, 1, reports.How.LAPSED, 'c0')
    build.take(ledger, workers[1], build.report([(second.name, 2)], [ended]))
    assert [run.checkpoint for run in runs] == ['c1', 'c1']


def test_rest_of_a_gang_that_can_not_become_whole_is_taken_back():
    # One member's start was refused or lost; the others held their room for
    # 3 s until they ended alone. On 60 days with five troubles 16 members
    # ended so.
    ledger, (first, second) = _gang()
    group = first.group
    worker = build.worker()
    build.start(ledger, first, worker)
    ledgers.begin(ledger, second, 'w2', 1.0, 1)
    assert not placing.parted([group], 9.0)
    ledgers.over(ledger, second, 2.0)
    assert not placing.parted([group], 2.0)
    assert placing.parted([group], 2.5) == [first]
    ledgers.over(ledger, first, 3.0)
    assert not placing.parted([group], 9.0)


def test_plain_tasks_are_no_parted_gang():
    ledger = build.ledger_with(build.job(build.step(2)))
    build.start(ledger, build.task(ledger), build.worker())
    assert not placing.parted([build.task(ledger).group], 9.0)
