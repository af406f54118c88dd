"""A run that a new leader has found at a standstill ends no term.

What users would see: nobody leads, again and again. Each next leader finds the
run, and ends a second later, until the run moves on. Order of events: a leader
adopts a run that is at some percent; it stands still, or is as far as is told
(a gang member that waits for others); 0.4 s later its worker's pace is
measured by its headway.

Cause: an adopted run counts as begun when it was found, and as having got on
last just then. The whole time that it takes, projected from no time for some
headway, was nothing, and nothing has no logarithm. Log (seed 3008 of
``utils_same_day``, term 2 at 8.081): ``leader fault ... math domain error``,
from ``slowness.measure``.
"""

from oleanderwood import event_log
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build
from tests import utils_same_day


def test_pace_of_an_adopted_run_that_stands_still_is_not_known():
    step = build.step(guess_ms=1000.0)
    ledger = build.ledger_with(build.job(step), term=2, inherited=True)
    task = build.task(ledger)
    worker = build.worker()
    pace = slowness.Pace()
    for tenth in range(50):
        now_s = 1.0 + tenth / 10
        report = build.report(running=[(task.name, 1, 30.0)])
        workers_.note_answer(worker, report, now_s)
        build.take(ledger, worker, report, now_s, now_s)
        slowness.measure(pace, worker, lambda entry: 1.0, now_s)
        assert not slowness.to_begin_anew(worker, lambda entry: 1.0, now_s)
    assert task.run is not None


def test_no_leader_ends_by_a_fault_on_the_day_that_showed_it(monkeypatch):
    # What plays the day sets it for good; other tests want it back.
    monkeypatch.setattr(event_log, 'emit', event_log.emit)
    assert ' fault ' not in utils_same_day.log(3008)
