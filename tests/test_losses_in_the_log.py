"""Runs lost with a worker are logged with their ages and loss counts."""

from emulator import crashing
from oleanderwood.leading import losses
from oleanderwood.pools import workers as workers_
from tests import utils_crashes
from tests import utils_jobs as build
from tests import utils_leading


def test_losses_tell_how_old_runs_were_and_how_often_a_task_was_lost():
    ledger = build.ledger_with(build.job(build.step(3)))
    young, old, unsent = (build.task(ledger, index=i) for i in range(3))
    young.losses = 2
    worker = build.worker()
    for task, begun_s in ((young, 4.99), (old, 1.0), (unsent, 1.0)):
        run = build.start(ledger, task, worker, begun_s)
        run.sent, run.sent_s = task is not unsent, begun_s
    worker.silent_since_s = 5.0
    fields = losses.log_fields(workers_.record_losses(worker, 5.4))
    assert fields == {'lost': {young.name: [10, 3], old.name: [4000, 1]}}


def test_log_tells_what_a_crash_counts_as(monkeypatch):
    events = utils_leading.record_events(monkeypatch)
    utils_crashes.play([utils_crashes.crashing_step(crashing.crash(), 1)])
    rows = [
        fields
        for part, event, fields in events
        if (part, event) == ('worker', 'crash-attributed')
    ]
    assert [row['common'] for row in rows] == [False, False]
    attempts = [
        [(attempt, isolated) for attempt, _, _, isolated, _ in crashes]
        for crashes in (row['blamed'].values() for row in rows)
    ]
    assert attempts == [[(1, 0)], [(2, 1)]]
    assert ('job', 'crashes-stored') in [row[:2] for row in events]
