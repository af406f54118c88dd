"""Builders of jobs, workers and reports for tests."""

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_

POOL = ids.ServiceId('drafts')
JOB = ids.JobId('5c0e7a21d94b36f8')


def queue(**fields) -> queues.Queue:
    """Build a queue of the pool."""
    values = {
        'name': 'q',
        'host': 'callers.example',
        'prefix': '/q/',
        'service': POOL,
        'objective_ms': 600.0,
        'stretch': 1.6,
        'most_attempts': 2,
    }
    return queues.Queue(**{**values, **fields})


def step(tasks: int = 1, **fields) -> model.Step:
    """Build a step of tasks that need one core for one second each."""
    needs = model.Resources(fields.pop('cpu', 1000), fields.pop('mem', 100))
    return model.Step(tasks, needs, **{'guess_ms': 1000.0, **fields})


def job(*steps: model.Step, name: str = JOB, **fields) -> model.Job:
    """Build a job of the given steps, or of one step with one task."""
    work = model.Work('text', steps or (step(),), **fields)
    return model.Job(ids.JobId(name), queue(), work)


def ledger_with(*jobs: model.Job, term: int = 1, inherited: bool = False):
    """Build a ledger that holds the given jobs.

    :param inherited: the jobs were accepted under the previous term
    """
    ledger = ledgers.Ledger(term=term)
    accepted_under = term - 1 if inherited else term
    for row in jobs:
        job_ = msgspec.structs.replace(row, term=accepted_under)
        ledgers.add(ledger, job_, 0.0)
    return ledger


def entry(name: str = 'w1', **fields) -> reports.Entry:
    """Build the entry of a worker with eight cores."""
    values = {
        'worker': ids.VmId(name),
        'service': POOL,
        'address': ids.Address('10.0.0.1:1'),
        'capacity': model.Resources(8000, 64000),
        'labels': ('a', 'r1'),
        'machine': f'm-{name}',
    }
    return reports.Entry(**{**values, **fields})


def worker(name: str = 'w1', **fields) -> workers_.Worker:
    """Build a worker that has already answered this leader."""
    entry_ = entry(name, **fields)
    return workers_.Worker(entry_, fenced=True)


def task(ledger: ledgers.Ledger, step: int = 0, index: int = 0, name=JOB):
    """Return one task of a job."""
    return ledger.entries[ids.JobId(name)].groups[0, step].tasks[index]


def start(ledger, task_, worker_, now_s: float = 1.0) -> ledgers.Run:
    """Record the start of a task on a worker, and its confirmation."""
    run = ledgers.begin_run(ledger, task_, worker_.entry.worker, now_s)
    worker_.runs[task_.name] = task_
    ledgers.set_phase(run, ledgers.RunPhase.RUNNING, now_s)
    return run


def report(running=(), ended=(), own_clock_ms: float = 0.0) -> reports.Report:
    """Build a report.

    :param running: rows of task, attempt and, optionally, percent
    :param ended: rows of the arguments of :class:`reports.Ended`
    """
    return reports.Report(
        own_clock_ms,
        [
            reports.Running(row[0], row[1], percent=(*row, 50.0)[2])
            for row in running
        ],
        [reports.Ended(*row) for row in ended],
    )


def take(ledger, worker_, report_, sent_s=2.0, now_s=2.0, attempts=2):
    """Apply a worker's report to a ledger."""
    return workers_.process_report(
        ledger, worker_, report_, sent_s, now_s, lambda entry_: attempts
    )
