"""An adopted run that makes no progress must not end the leader's term.

Guards against leaders that fail one after the other, each a second after it
has found the run, until the run progresses. A leader adopts a run at some
percentage that stands still, or has reached its last percentage (a gang member
that waits for others). After 0.4 s its worker's speed is measured.

An adopted run counts as begun, and as having progressed, when it was found.
Its projected duration was therefore zero, which has no logarithm. Log (seed
3008 of ``utils_same_day``, term 2 at 8.081): ``leader fault ... math domain
error``, from ``slowness.measure``.
"""

from oleanderwood import event_log
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build
from tests import utils_same_day


def test_speed_of_an_adopted_run_without_progress_is_unknown():
    step = build.step(guess_ms=1000.0)
    ledger = build.ledger_with(build.job(step), term=2, inherited=True)
    task = build.task(ledger)
    worker = build.worker()
    speed = slowness.Speed()
    for tenth in range(50):
        now_s = 1.0 + tenth / 10
        report = build.report(running=[(task.name, 1, 30.0)])
        workers_.record_answer(worker, report, now_s)
        build.take(ledger, worker, report, now_s, now_s)
        slowness.measure(speed, worker, lambda entry: 1.0, now_s)
        assert not slowness.runs_to_restart(worker, lambda entry: 1.0, now_s)
    assert task.run is not None


def test_leader_survives_the_day_that_showed_the_fault(monkeypatch):
    # Playing the day replaces emit; restore it for other tests.
    monkeypatch.setattr(event_log, 'emit', event_log.emit)
    assert ' fault ' not in utils_same_day.log(3008)
