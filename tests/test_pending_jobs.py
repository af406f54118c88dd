"""Jobs that callers count as pending: accepted, and none of their tasks begun.

A job counted as begun as soon as a start of one of its tasks was decided, and
stayed so if the worker refused the start. Beside a worker that refuses starts,
all servers gave 0 pending jobs while 36 of 40 had not begun for seconds. The
same held for jobs whose worker was lost before it took their orders.
"""

import curio
import pytest

from emulator import evidence as evidences
from emulator import fleet as fleets
from emulator import virtual
from oleanderwood.frontend import peer_client as peer_clients
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.platform import transport
from oleanderwood.pools import reports
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
    workers_.end_run(ledger, worker, task, 2.0)


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


PHASES = (
    ledgers.RunPhase.ORDERED,
    ledgers.RunPhase.UNCONFIRMED,
    ledgers.RunPhase.STOPPING,
)


@pytest.mark.parametrize('phase', PHASES, ids=[row.value for row in PHASES])
@pytest.mark.parametrize('sent', (False, True), ids=('unsent', 'sent'))
def test_job_whose_run_was_never_seen_waits_once_its_worker_is_lost(
    phase, sent
):
    """Guards against waiting jobs that callers count as begun."""
    ledger, entry = _ledger()
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    run.sent = sent
    ledgers.set_phase(run, phase, 1.5)
    workers_.end_all_runs(ledger, worker, 2.0)
    assert ledgers.is_pending(entry)
    assert ledgers.shown_state(entry) is model.State.QUEUED


def test_job_that_was_seen_stays_begun_when_its_worker_is_lost():
    """Guards against a state that callers see go back."""
    ledger, entry = _ledger()
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    build.take(ledger, worker, build.report([(build.task(ledger).name, 1)]))
    ledgers.set_phase(run, ledgers.RunPhase.STOPPING, 1.5)
    workers_.end_all_runs(ledger, worker, 2.0)
    assert not ledgers.is_pending(entry)
    assert ledgers.shown_state(entry) is model.State.RUNNING


def test_job_whose_end_alone_was_listed_has_begun():
    ledger, entry = _ledger()
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    ledgers.set_phase(run, ledgers.RunPhase.UNCONFIRMED, 1.5)
    name = build.task(ledger).name
    build.take(
        ledger,
        worker,
        build.report(ended=[(1, name, 1, reports.How.FAILED)]),
    )
    assert not ledgers.is_pending(entry)


def test_job_of_several_runs_has_begun_once_one_was_seen():
    ledger, entry = _ledger()
    seen, lost = build.worker(), build.worker('w2')
    build.start(ledger, build.task(ledger), seen)
    run = build.start(ledger, build.task(ledger, index=1), lost)
    ledgers.set_phase(run, ledgers.RunPhase.UNCONFIRMED, 1.5)
    assert ledgers.is_pending(entry)
    build.take(ledger, seen, build.report([(build.task(ledger).name, 1)]))
    workers_.end_all_runs(ledger, lost, 2.0)
    assert not ledgers.is_pending(entry)


@pytest.mark.parametrize('seen', (False, True), ids=('unseen', 'seen'))
def test_next_leader_counts_jobs_as_the_former_did(seen):
    """Guards against a decided start that is stored as a begun job."""
    ledger, entry = _ledger()
    worker = build.worker()
    run = build.start(ledger, build.task(ledger), worker)
    ledgers.set_phase(run, ledgers.RunPhase.ORDERED, 1.0)
    if seen:
        rows = [(build.task(ledger).name, 1)]
        build.take(ledger, worker, build.report(rows))
    later, restored = _ledger()
    record.restore(later, restored, record.progress_of(entry), 3.0)
    assert ledgers.is_pending(restored) is not seen


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


def _crash_at_start(scene, machine):
    """Let a machine's worker crash for good as the next start arrives."""
    handlers = scene.network.handlers
    sound = handlers[machine.address]

    async def handle(source, method, target, body, headers):
        if target == '/run-start':
            if machine.executor is not None:
                await fleets.end_life(scene.fleet, machine, 'crash')
                machine.state = 'down'
            await virtual.forever()
        return await sound(source, method, target, body, headers)

    handlers[machine.address] = handle


def test_jobs_count_as_pending_once_their_worker_crashed_at_the_start():
    """Guards against 0 pending jobs while all wait for a free worker."""
    counts = []

    async def scenario(scene):
        leader = takeovers.leader(scene)
        machines = list(scene.fleet.machines.values())
        long_step = takeovers.step(2, 16000, 25000)
        await takeovers.submit_job(scene, leader, long_step)
        await curio.sleep(2.0)
        (idle,) = (row for row in machines if not row.executor.running)
        _crash_at_start(scene, idle)
        for _ in range(4):
            await takeovers.submit_job(
                scene, leader, takeovers.step(1, 2000, 300)
            )
        await curio.sleep(5.5)
        state = leader.state.leader
        queue = next(iter(state.ledger.entries.values())).job.queue.name
        for _ in range(30):
            counts.append(peer_clients.answer_pending(state, queue).pending)
            await curio.sleep(0.1)

    takeovers.play(scenario)
    assert min(counts) >= 2


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
