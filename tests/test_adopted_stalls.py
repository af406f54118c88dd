"""A run that a new leader has found must count as stalled like any other.

What users would see: after a change of the leader a task on a worker that
stands still is never begun elsewhere; its job waits for good, while the
worker reports and renews as always. Order of events: a leader starts a task;
another takes over and adopts the run; the worker's tasks stop getting on.

Cause: which pace an earlier leader gave an adopted run isn't known, and a run
counts as stalled only at a known pace of 100. Only tasks that use leftovers
are ever paced, so that of all others the pace stays unknown for good.
"""

import pytest

from oleanderwood.pools import pacing
from oleanderwood.pools import stalls
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build


@pytest.mark.parametrize('lasting', [False, True])
def test_adopted_run_that_stands_still_has_stalled(lasting):
    step = build.step(guess_ms=1000.0, lasting=lasting)
    ledger = build.ledger_with(build.job(step), term=2, inherited=True)
    task = build.task(ledger)
    worker = build.worker()
    for second in range(1, 21):
        report = build.report(running=[(task.name, 1, 50.0)])
        now_s = float(second)
        workers_.note_answer(worker, report, now_s)
        build.take(ledger, worker, report, now_s, now_s)
        assert not pacing.decide(worker)
    assert task.run is not None and task.run.attempt == 1
    assert stalls.stalled(worker, 21.0) == [task]
