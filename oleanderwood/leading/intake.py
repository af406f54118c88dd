"""Applies jobs, cancels, policies, worker entries and maintenance waves."""

import math

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.jobs import record
from oleanderwood.leading import pool_loop
from oleanderwood.leading import registration
from oleanderwood.leading import state as states
from oleanderwood.leading import stored_waves
from oleanderwood.leading import worker_loop
from oleanderwood.maintenance import rolling
from oleanderwood.platform import entries
from oleanderwood.platform import executors
from oleanderwood.platform import operator
from oleanderwood.platform import store as stores
from oleanderwood.policy import reading
from oleanderwood.pools import entries as entries_
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

CONFIGURATION_CHECK_S = 0.1
"""Interval between two checks of which services are configured, in seconds."""

EARLY_CANCEL_RETENTION_S = 10.0
"""Time for which a cancel is remembered that the leader is told of before the
job. Only stored jobs are cancelled this way, and the watch that brings the job
brings the cancel after it. A later job of the same id is another one."""

MOVED_REASON = 'its entry names another location'
"""Reason logged when a worker is lost because its entry names another
location."""


def apply_intake(
    leader: states.Leader, item: stores.Item, taking_over: bool
) -> None:
    """Apply a stored job, cancel or policy.

    :param taking_over: it was in the store when this leader took over
    """
    now_s = clock.now_s()
    if item.removed:
        return
    if item.key.startswith(record.JOB_PREFIX):
        try:
            job = codec.decode(item.value, model.Job)
            model.check(job.work)
        except (codec.MalformedValue, model.BadWork) as error:
            event_log.emit('job', 'malformed', key=item.key, why=str(error))
            return
        _add_job(leader, job, now_s, taking_over, item.revision)
    elif item.key.startswith(record.CANCEL_PREFIX):
        cancel(leader, ids.JobId(item.key.removeprefix(record.CANCEL_PREFIX)))
    elif item.key == record.POLICY_KEY:
        _apply_policy(leader, item)


def _apply_policy(leader: states.Leader, item: stores.Item) -> None:
    """Apply the policy set by operators, unless a newer one is known."""
    if item.revision <= leader.policy_revision:
        return
    try:
        leader.policy = reading.decode(item.value)
    except msgspec.MsgspecError as error:
        event_log.emit('policy', 'malformed', why=str(error))
        return
    leader.policy_revision = item.revision
    event_log.emit(
        'policy',
        'in-force',
        number=leader.policy.number,
        author=leader.policy.author,
        revision=item.revision,
    )


def _add_job(
    leader: states.Leader,
    job: model.Job,
    now_s: float,
    taking_over: bool,
    revision: int = 0,
) -> None:
    """Add a job to the ledger.

    :param revision: revision of the store at which the job was written; 0 if
        reported directly by the server that wrote it
    """
    if job.job in leader.ledger.entries or job.job in leader.unreadable_jobs:
        return
    if job.term > leader.term:
        _note_superseded(leader, job)
        return
    entry = ledgers.add(leader.ledger, job, now_s)
    if not taking_over:
        pool_loop.record_job_arrival(leader, entry, now_s)
        event_log.emit(
            'job',
            'taken',
            job=job.job,
            queue=job.queue.name,
            steps=len(job.work.steps),
            pool=job.queue.service,
            task_count=sum(step.tasks for step in job.work.steps),
            guesses_ms=[step.guess_ms for step in job.work.steps],
            stretch=job.queue.stretch,
            objective_ms=job.queue.objective_ms,
            traits=_traits(job),
            age_ms=round(clock.wall_ms() - job.handed_in_ms),
            revision=revision,
            accepted_under=job.term,
        )
    cancelled_s = leader.early_cancels.pop(job.job, -math.inf)
    if now_s - cancelled_s <= EARLY_CANCEL_RETENTION_S:
        cancel(leader, job.job)


def _note_superseded(leader: states.Leader, job: model.Job) -> None:
    """Stop leading, since the job was accepted under a later leader.

    That leader assumes that nobody else has started the job.
    """
    if leader.deposed:
        return
    leader.deposed = 'a job was accepted under a later term'
    event_log.emit(
        'leader',
        'superseded',
        term=leader.term,
        job=job.job,
        accepted_under=job.term,
    )


async def add_jobs(leader: states.Leader, jobs: list[model.Job]) -> None:
    """Add jobs reported by the server that wrote them."""
    now_s = clock.now_s()
    for job in jobs:
        _add_job(leader, job, now_s, taking_over=False)
    await wake_after_intake(leader)


def _traits(job: model.Job) -> list[str]:
    """Return the special requirements of a job's steps, for the log."""
    named = {
        'long-running': any(step.is_long_running for step in job.work.steps),
        'leftover': any(step.uses_leftover for step in job.work.steps),
        'gang': any(step.gang for step in job.work.steps),
        'label': any(step.label for step in job.work.steps),
        'rack': any(step.near_rack for step in job.work.steps),
        'spread': any(step.max_per_worker for step in job.work.steps),
        'copies': any(step.speculative for step in job.work.steps),
        'checkpoints': any(step.checkpoints for step in job.work.steps),
        'repeats': job.work.repeats > 0,
        'target': any(step.latency_target_ms for step in job.work.steps),
    }
    return [name for name, asked in named.items() if asked]


def cancel(leader: states.Leader, job: ids.JobId) -> None:
    """Cancel a job at its caller's request."""
    entry = leader.ledger.entries.get(job)
    if entry is None:
        _remember_early_cancel(leader, job)
        return
    if ledgers.is_final(entry):
        return
    event_log.emit('job', 'cancelled', job=job, was=entry.state.value)
    ledgers.end(leader.ledger, entry, model.State.CANCELLED, clock.now_s())


def _remember_early_cancel(leader: states.Leader, job: ids.JobId) -> None:
    """Remember a cancel whose job this leader hasn't received."""
    now_s = clock.now_s()
    leader.early_cancels.pop(job, None)
    leader.early_cancels[job] = now_s
    for known, at_s in list(leader.early_cancels.items()):
        if now_s - at_s <= EARLY_CANCEL_RETENTION_S:
            break
        del leader.early_cancels[known]


async def wake_after_intake(leader: states.Leader) -> None:
    """Stop runs of ended jobs and wake the tasks that new jobs concern."""
    if leader.deposed:
        await leader.ended.set()
        return
    await leader.placement_due.set()
    if leader.ledger.dirty:
        await worker_loop.stop_ended_jobs(leader)
        await leader.progress_changed.set()


async def apply_worker(leader: states.Leader, item: stores.Item) -> None:
    """Apply a worker's entry in the store, or its removal."""
    name = ids.ExecutorId(item.key.removeprefix(executors.PREFIX))
    if item.removed:
        entries_.forget(leader.entries, name)
        _mark_unlisted(leader, name)
        return
    try:
        entry = entries.decode(item.key, item.value)
    except entries_.BadEntry as error:
        leader.entries.waiting.pop(name, None)
        _refuse_entry(leader, name, 'malformed', error)
        return
    await _apply_entry(leader, entry)


def _mark_unlisted(
    leader: states.Leader,
    name: ids.ExecutorId,
    current: workers_.Worker | None = None,
) -> None:
    """Record that an executor has no usable entry.

    :param current: the incarnation that has the entry
    """
    for known in states.incarnations_of(leader, name):
        if known.listed and known is not current:
            known.listed = False
            event_log.emit('worker', 'unlisted', worker=known.entry.worker)


def _refuse_entry(
    leader: states.Leader,
    name: ids.ExecutorId,
    event: str,
    error: entries_.BadEntry,
) -> None:
    """Count an unusable entry, and log it unless it was just logged.

    A worker that is known under this id continues as one without an entry.
    """
    server_metrics.ENTRIES_REFUSED.labels(error.fault.value).inc()
    if entries_.record_refusal(leader.entries, name, error.reason):
        event_log.emit(
            'worker',
            event,
            worker=name[: entries_.MAX_REASON_CHARS],
            fault=error.fault.value,
            why=error.reason,
            known=name in leader.incarnations,
        )
    _mark_unlisted(leader, name)


async def _apply_entry(leader: states.Leader, entry: reports.Entry) -> None:
    name = incarnations.executor_of(entry.worker)
    known = leader.workers.get(entry.worker)
    _mark_unlisted(leader, name, known)
    if known is not None and known.provisional:
        _apply_location(leader, known, entry)
    if known is not None and not entries_.same_place(entry, known.entry):
        # If nobody has answered at its known location, it is registered
        # anew.
        may_run = workers_.may_run(known, clock.now_s())
        if may_run or not await worker_loop.mark_gone(
            leader, known, MOVED_REASON
        ):
            error = entries_.BadEntry(
                entries_.Fault.CONTRADICTS,
                f'{entry.service!r} at {entry.address} on {entry.machine!r}',
            )
            _refuse_entry(leader, name, 'contradicted', error)
            return
        known = None
    if known is None:
        await _register_worker(leader, entry)
        return
    entries_.forget(leader.entries, name)
    if entry.draining and not known.entry.draining:
        event_log.emit('worker', 'draining', worker=entry.worker)
        known.entry = entry
        await stop_long_running(leader, known)
    if entry.capacity != known.entry.capacity:
        event_log.emit(
            'worker',
            'resized',
            worker=entry.worker,
            cpu_millicores=entry.capacity.cpu_millicores,
            memory_mb=entry.capacity.memory_mb,
            gpus=entry.capacity.gpus,
        )
        known.rejected_needs = None
    known.entry = entry
    if not known.listed:
        known.listed = True
        event_log.emit('worker', 'listed-again', worker=entry.worker)
    await leader.placement_due.set()


def _apply_location(
    leader: states.Leader, worker: workers_.Worker, entry: reports.Entry
) -> None:
    """Move a provisional incarnation to the location in its entry.

    Its pool, kind and rack may differ from those of the executor's earlier
    incarnation; only the address is known, as the worker has answered there.
    """
    if entry.address != worker.entry.address:
        return
    leader.unwritten_worker_lists |= {worker.entry.service, entry.service}
    worker.entry = entry
    worker.is_in_stored_list = False
    worker.provisional = False


async def _register_worker(
    leader: states.Leader, entry: reports.Entry
) -> None:
    """Register a worker, unless its service is not configured yet."""
    if not _is_configured(leader.server.configuration, entry.service):
        entries_.hold(leader.entries, entry)
        error = entries_.BadEntry(
            entries_.Fault.SERVICE, f'service {entry.service!r}'
        )
        _refuse_entry(
            leader, incarnations.executor_of(entry.worker), 'not-named', error
        )
        return
    entries_.forget(leader.entries, incarnations.executor_of(entry.worker))
    # The entry may belong to an earlier incarnation on a known worker's
    # machine and be written late. Only an answered call proves that a
    # worker is alive; an entry does not.
    await registration.register(leader, entry, listed=True)


def _is_configured(
    configuration: queues.Configuration | None, service: ids.ServiceId
) -> bool:
    return configuration is not None and service in configuration.services


async def apply_waiting_always(leader: states.Leader) -> None:
    """Apply waiting entries once their service is configured."""
    services: tuple[ids.ServiceId, ...] = ()
    while True:
        configuration = leader.server.configuration
        if configuration is not None and configuration.services != services:
            services = configuration.services
            for entry in list(leader.entries.waiting.values()):
                # A newer entry may have arrived in the meantime.
                name = incarnations.executor_of(entry.worker)
                current = leader.entries.waiting.get(name) is entry
                if current and _is_configured(configuration, entry.service):
                    await _apply_entry(leader, entry)
        await curio.sleep(CONFIGURATION_CHECK_S)


async def mark_absent_unlisted(
    leader: states.Leader, items: list[stores.Item]
) -> None:
    """Record which workers are missing in a complete read of the entries."""
    listed = {item.key.removeprefix(executors.PREFIX) for item in items}
    entries_.forget_unlisted(leader.entries, listed)
    for name in list(leader.incarnations):
        if name not in listed:
            _mark_unlisted(leader, name)


async def stop_long_running(
    leader: states.Leader, worker: workers_.Worker
) -> None:
    """Stop long-running tasks on a worker that is about to shut down."""
    for task in list(worker.runs.values()):
        if task.group.step.is_long_running:
            await worker_loop.stop_run(leader, task)


def apply_wave(leader: states.Leader, item: stores.Item) -> None:
    """Apply a maintenance wave requested by the operator."""
    if item.removed:
        return
    try:
        wave = operator.decode_wave(item.value)
    except msgspec.MsgspecError as error:
        event_log.emit('wave', 'malformed', key=item.key, why=str(error))
        return
    known = leader.fleet.waves.get(wave.wave)
    if known is not None:
        known.wave = wave
        return
    progress = rolling.Progress(wave, clock.now_s())
    leader.fleet.waves[wave.wave] = progress
    stored = leader.fleet.stored_waves.get(str(wave.wave))
    if stored is not None:
        try:
            stored_waves.restore(progress, stored)
        except msgspec.MsgspecError as error:
            # Orders already sent are sent again, without effect.
            event_log.emit('wave', 'kept-malformed', why=str(error))
    stored_waves.restore_announced(leader, progress)
    event_log.emit(
        'wave',
        'taken',
        wave=wave.wave,
        machines=len(wave.machines),
        within_s=wave.time_s,
        at_once=wave.most_at_once,
    )
