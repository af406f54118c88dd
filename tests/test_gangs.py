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
    # Guards against a gang that cannot succeed and is started up to
    # max_attempts times for each member: another member failed each time, and
    # failures were counted per member. Seen on calm days with gangs, seeds 4,
    # 5 and 6.
    ledger, (first, second) = _gang()
    entry = first.group.entry
    ledgers.mark_failed(ledger, first, 'w1', 1, 2, 1.0)
    assert not ledgers.is_final(entry)
    ledgers.mark_failed(ledger, second, 'w2', 2, 2, 2.0)
    assert entry.state is model.State.FAILED


def test_members_that_fail_in_one_run_count_once():
    ledger, (first, second) = _gang()
    ledgers.mark_failed(ledger, first, 'w1', 1, 2, 1.0)
    ledgers.mark_failed(ledger, second, 'w2', 1, 2, 1.0)
    assert not ledgers.is_final(first.group.entry)


def test_members_resume_from_the_same_checkpoint():
    # Each member was started from its own last checkpoint. Members of one
    # attempt have to start from the same one to work together: each waited
    # for the others until it ended alone, again and again. Seen on days with
    # gangs that write checkpoints, seed 22 with four faults.
    ledger, (first, second) = _gang(checkpoints=True)
    workers = [build.worker('w1'), build.worker('w2')]
    for task, worker in zip((first, second), workers, strict=True):
        build.start(ledger, task, worker)
    row = reports.Running(first.name, 1, checkpoint='c1')
    build.take(ledger, workers[0], reports.Report(0.0, [row], []))
    for task in (first, second):
        ledgers.end_run(ledger, task, 3.0)
    runs = [
        ledgers.begin_run(ledger, task, worker.entry.worker, 4.0, 2)
        for task, worker in zip((first, second), workers, strict=True)
    ]
    # An end of an earlier run that is listed late must not change that.
    ended = (1, second.name, 1, reports.How.LAPSED, 'c0')
    build.take(ledger, workers[1], build.report([(second.name, 2)], [ended]))
    assert [run.checkpoint for run in runs] == ['c1', 'c1']


def test_members_of_an_incomplete_gang_are_stopped():
    # When one member's start was refused or lost, the others kept their
    # resources for 3 s until they ended alone: 16 members on 60 days with
    # five faults.
    ledger, (first, second) = _gang()
    group = first.group
    worker = build.worker()
    build.start(ledger, first, worker)
    ledgers.begin_run(ledger, second, 'w2', 1.0, 1)
    assert not placing.incomplete_gang_members([group], 9.0)
    ledgers.end_run(ledger, second, 2.0)
    assert not placing.incomplete_gang_members([group], 2.0)
    assert placing.incomplete_gang_members([group], 2.5) == [first]
    ledgers.end_run(ledger, first, 3.0)
    assert not placing.incomplete_gang_members([group], 9.0)


def test_tasks_of_an_ordinary_step_are_no_incomplete_gang():
    ledger = build.ledger_with(build.job(build.step(2)))
    build.start(ledger, build.task(ledger), build.worker())
    assert not placing.incomplete_gang_members([build.task(ledger).group], 9.0)
