"""How soon a leader hears that a long-running task is at work.

What users saw: two of the 122 machines of a wave were maintained after its
time. Order of events: a machine goes down, its long-running tasks start
elsewhere, and the next machine of the same step may go once they are at work.
Their workers told so up to a second later, with the end of a wait for ends of
runs; machine after machine, that made six seconds.
"""

import pytest

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import worker_loop
from tests import utils_jobs as build


def _worker(**fields):
    ledger = build.ledger_with(build.job(build.step(**fields)))
    worker = build.worker()
    worker.fenced = True
    run = build.start(ledger, build.task(ledger), worker)
    ledgers.set_phase(run, ledgers.RunPhase.RUNNING, 1.0)
    return worker, run


def test_worker_tells_soon_while_a_long_running_task_starts_up():
    worker, run = _worker(lasting=True)
    waits_ms = worker_loop.longest_wait_ms(worker, wary=False)
    assert waits_ms == worker_loop.STARTING_WAIT_MS
    run.at_work_since_s = 2.0
    waits_ms = worker_loop.longest_wait_ms(worker, wary=False)
    assert waits_ms == worker_loop.BUSY_WAIT_MS


@pytest.mark.parametrize(
    ('wary', 'wait_ms'),
    [(False, worker_loop.BUSY_WAIT_MS), (True, worker_loop.LOSSY_WAIT_MS)],
)
def test_other_tasks_change_no_wait(wary, wait_ms):
    worker, _run = _worker()
    assert worker_loop.longest_wait_ms(worker, wary) == wait_ms


def test_worker_without_runs_waits_longest_and_a_silent_one_not_at_all():
    worker = build.worker()
    worker.fenced = True
    idle_ms = worker_loop.longest_wait_ms(worker, wary=True)
    assert idle_ms == worker_loop.IDLE_WAIT_MS
    worker.silent_since_s = 1.0
    assert worker_loop.longest_wait_ms(worker, wary=True) == 0
