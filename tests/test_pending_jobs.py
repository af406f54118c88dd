"""Jobs that callers count as pending: accepted, and none of their tasks begun.

A job counted as begun as soon as a start of one of its tasks was decided, and
stayed so if the worker refused the start. Beside a worker that refuses starts,
all servers gave 0 pending jobs while 36 of 40 had not begun for seconds.
"""

import curio

from emulator import evidence as evidences
from oleanderwood.frontend import peer_client as peer_clients
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.platform import transport
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build
from tests import utils_takeover as takeovers

JOBS = 12


def _ledger(tasks=2):
    ledger = build.ledger_with(build.job(build.step(tasks)))
    return ledger, build.task(ledger).group.entry


def _refuse(ledger, task, worker):
    """Order a start of a task that its worker refuses."""
    ledgers.begin_run(ledger, task, worker.entry.worker, 1.0)
    worker.runs[task.name] = task
    workers_.end_run(ledger, worker, task, 2.0, has_begun=False)


def test_job_whose_start_was_ordered_has_not_begun_yet():
    """Its worker may refuse the order."""
    ledger, entry = _ledger()
    ledgers.begin_run(ledger, build.task(ledger), 'w1', 1.0)
    assert ledgers.is_pending(entry)
    assert ledgers.shown_state(entry) is model.State.QUEUED


def test_job_whose_only_start_was_refused_has_not_begun():
    ledger, entry = _ledger()
    _refuse(ledger, build.task(ledger), build.worker())
    assert ledgers.is_pending(entry)
    assert ledgers.shown_state(entry) is model.State.QUEUED
    assert len(entry.groups[0, 0].waiting) == 2


def test_job_with_another_run_stays_begun_after_a_refused_start():
    ledger, entry = _ledger()
    worker = build.worker()
    build.start(ledger, build.task(ledger), worker)
    build.take(ledger, worker, build.report([(build.task(ledger).name, 1)]))
    _refuse(ledger, build.task(ledger, index=1), worker)
    assert not ledgers.is_pending(entry)
    assert ledgers.shown_state(entry) is model.State.RUNNING


def test_job_whose_only_run_was_lost_has_begun():
    """Its worker may have started it before it crashed."""
    ledger, entry = _ledger()
    worker = build.worker()
    build.start(ledger, build.task(ledger), worker)
    workers_.end_all_runs(ledger, worker, 2.0)
    assert not ledgers.is_pending(entry)


def test_job_of_an_earlier_leader_stays_begun_after_a_refused_start():
    ledger, entry = _ledger()
    progress = record.Progress(model.State.RUNNING)
    record.restore(ledger, entry, progress, 1.0)
    _refuse(ledger, build.task(ledger), build.worker())
    assert not ledgers.is_pending(entry)


def test_job_that_has_ended_does_not_count():
    ledger, entry = _ledger()
    ledgers.end(ledger, entry, model.State.CANCELLED, 2.0)
    assert not ledgers.is_pending(entry)


def _refuse_starts(scene):
    """Let all workers refuse starts, until what is returned is called."""
    handlers = scene.network.handlers
    sound = {}

    def refusing(handler):
        async def handle(source, method, target, body, headers):
            if target == '/run-start':
                return transport.Answer(503, b'')
            return await handler(source, method, target, body, headers)

        return handle

    for machine in scene.fleet.machines.values():
        if machine.address in handlers:
            sound[machine.address] = handlers[machine.address]
            handlers[machine.address] = refusing(sound[machine.address])
    return lambda: handlers.update(sound)


def test_jobs_count_as_pending_while_workers_refuse_their_starts():
    """Under half of them must never be given, whenever callers ask."""
    counts = []

    async def scenario(scene):
        end = _refuse_starts(scene)
        leader = takeovers.leader(scene)
        for _ in range(JOBS):
            await takeovers.submit_job(
                scene, leader, takeovers.step(2, 1000, 300)
            )
        await curio.sleep(3.0)
        state = leader.state.leader
        queue = next(iter(state.ledger.entries.values())).job.queue.name
        for _ in range(100):
            counts.append(peer_clients.answer_pending(state, queue).pending)
            await curio.sleep(0.033)
        end()

    result = takeovers.play(scenario)
    assert min(counts) >= JOBS / 2
    assert not result.breaches and not result.unfinished
    sights = result.evidence.sights
    assert any(row.kind is evidences.Kind.STARTED for row in sights)
