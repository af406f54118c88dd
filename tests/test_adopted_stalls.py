"""An adopted run has to count as stalled like any other.

Guards against a job that waits forever after a change of leader: the new
leader adopts a run, the worker's tasks stop making progress, and the run is
never restarted elsewhere, while the worker reports and renews normally. The
pace of an adopted run is unknown, and a run counted as stalled only at a known
pace of 100. Only tasks that use leftover capacity are ever paced, so for all
others the pace stayed unknown.
"""

import pytest

from oleanderwood.pools import pacing
from oleanderwood.pools import stalls
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build


@pytest.mark.parametrize('lasting', [False, True])
def test_adopted_run_without_progress_has_stalled(lasting):
    step = build.step(guess_ms=1000.0, is_long_running=lasting)
    ledger = build.ledger_with(build.job(step), term=2, inherited=True)
    task = build.task(ledger)
    worker = build.worker()
    for second in range(1, 21):
        report = build.report(running=[(task.name, 1, 50.0)])
        now_s = float(second)
        workers_.record_answer(worker, report, now_s)
        build.take(ledger, worker, report, now_s, now_s)
        assert not pacing.decide(worker)
    assert task.run is not None and task.run.attempt == 1
    assert stalls.stalled_tasks(worker, 21.0) == [task]
