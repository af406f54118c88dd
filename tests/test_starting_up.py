"""How soon a leader learns that a long-running task is at work.

Guards against waves that end late: two of the 122 machines of a wave were
maintained after its deadline. The next machine of a step may go down only once
the tasks of the previous one are at work elsewhere. Their workers reported
this up to a second late, at the end of a long wait for ends of runs, which
added up to six seconds over the machines of the wave.
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
    worker, run = _worker(is_long_running=True)
    waits_ms = worker_loop.longest_wait_ms(worker, lossy=False)
    assert waits_ms == worker_loop.STARTING_WAIT_MS
    run.serving_since_s = 2.0
    waits_ms = worker_loop.longest_wait_ms(worker, lossy=False)
    assert waits_ms == worker_loop.BUSY_WAIT_MS


@pytest.mark.parametrize(
    ('lossy', 'wait_ms'),
    [(False, worker_loop.BUSY_WAIT_MS), (True, worker_loop.LOSSY_WAIT_MS)],
)
def test_other_tasks_change_no_wait(lossy, wait_ms):
    worker, _run = _worker()
    assert worker_loop.longest_wait_ms(worker, lossy) == wait_ms


def test_worker_without_runs_waits_longest_and_a_silent_one_not_at_all():
    worker = build.worker()
    worker.fenced = True
    idle_ms = worker_loop.longest_wait_ms(worker, lossy=True)
    assert idle_ms == worker_loop.IDLE_WAIT_MS
    worker.silent_since_s = 1.0
    assert worker_loop.longest_wait_ms(worker, lossy=True) == 0
