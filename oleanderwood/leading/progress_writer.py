"""Writes progress to the store; ends are acknowledged only afterwards."""

import hashlib

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import persistence
from oleanderwood.jobs import record
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

WORKER_LIST_PREFIX = 'ow/workers/'
"""Prefix of the stored lists, one per pool, of workers that an earlier leader
may have given tasks."""

DIGEST_PREFIX = '~'
"""Marks a digest in the key of a worker list, used where the pool's name is
too long for a key; the workers' rows contain the name itself."""

BATCH_DELAY_S = 0.03
"""Time during which ends are collected into one write, in seconds. It delays
callers' view of a completed job by as much; each write has a cost."""

MAX_CONCURRENT_WRITES = 6
"""Maximum number of concurrent writes; with sequential writes, ends would wait
for a slow store."""

RETRY_PAUSE_S = 0.15
"""Pause after a failed write, in seconds."""

RETENTION_SLACK_S = 30.0
"""How long an ended job is stored after callers may no longer ask for it, in
seconds."""


async def write_worker_lists_always(leader: states.Leader) -> None:
    """Write changed worker lists until cancelled.

    Progress is written independently of them: if machines move all the time
    and the store is slow, worker lists change faster than they can be written.
    """
    failed = False
    while True:
        await leader.worker_lists_changed.wait(1.0)
        await curio.sleep(BATCH_DELAY_S)
        try:
            await _write_worker_lists(leader)
        except stores.Conflict:
            await states.depose(leader, 'another server leads')
            return
        except errors.CallFailed as error:
            if not failed:
                event_log.emit('store', 'not-rostered', why=error.reason)
            failed = True
            await curio.sleep(RETRY_PAUSE_S)
            await leader.worker_lists_changed.set()
            continue
        if failed:
            event_log.emit('store', 'rostered-again')
            failed = False


async def write_progress_always(leader: states.Leader) -> None:
    """Write unwritten progress until cancelled.

    Each write is a task of its own, so an end does not wait for writes that
    are in flight. With a store that answered in 0.35 s, sequential rounds of
    writes reported ends to callers 0.52 s late in the median.
    """
    while not leader.deposed:
        await leader.progress_changed.wait(1.0)
        await curio.sleep(BATCH_DELAY_S)
        _note_reported_ends(leader)
        while leader.writes_in_flight < MAX_CONCURRENT_WRITES:
            entries = persistence.take_dirty(
                leader.ledger, fenced_writes.MAX_KEYS_PER_WRITE
            )
            if not entries:
                break
            leader.writes_in_flight += 1
            await curio.spawn(_write_batch, leader, entries, daemon=True)
        await _acknowledge(leader)


async def flush_progress(leader: states.Leader) -> None:
    """Wait until everything unwritten now is written, or the term ends."""
    changes = leader.ledger.changes
    await leader.progress_changed.set()
    while not leader.deposed:
        if persistence.written_up_to(leader.ledger) >= changes:
            return
        await curio.sleep(BATCH_DELAY_S)


async def _write_batch(
    leader: states.Leader, entries: list[ledgers.Entry]
) -> None:
    """Write a batch of jobs; after a failure they count as unwritten."""
    try:
        await _write_jobs(leader, entries)
    except stores.Conflict:
        await states.depose(leader, 'another server leads')
    except errors.CallFailed as error:
        if not leader.write_failed:
            event_log.emit('store', 'not-written', why=error.reason)
        leader.write_failed = True
        await curio.sleep(RETRY_PAUSE_S)
    except Exception as error:
        event_log.emit('leader', 'fault', why=repr(error))
        await states.depose(leader, f'unexpected exception: {error!r}')
    else:
        if leader.write_failed:
            event_log.emit('store', 'written-again')
        leader.write_failed = False
    finally:
        leader.writes_in_flight -= 1
    await _acknowledge(leader)
    if leader.ledger.dirty:
        await leader.progress_changed.set()


def _note_reported_ends(leader: states.Leader) -> None:
    """Record which ends are covered by the changes so far."""
    seen = {
        name: worker.seen_end
        for name, worker in leader.workers.items()
        if worker.seen_end > worker.stored_end
    }
    if seen:
        leader.seen_ends.append(states.SeenEnds(leader.ledger.changes, seen))


async def _acknowledge(leader: states.Leader) -> None:
    """Allow the acknowledgement of ends whose changes are all written."""
    written = persistence.written_up_to(leader.ledger)
    while leader.seen_ends and leader.seen_ends[0].changes <= written:
        for name, number in leader.seen_ends.popleft().ends.items():
            worker = leader.workers.get(name)
            if worker is not None and number > worker.stored_end:
                worker.stored_end = number
                await leader.ends_stored[name].set()


async def _write_jobs(
    leader: states.Leader, entries: list[ledgers.Entry]
) -> None:
    """Write the progress of jobs.

    :raises stores.Conflict: another server leads
    :raises errors.CallFailed: the progress may or may not be written
    """
    crashes = {entry.job.job: entry.crash_revision for entry in entries}
    written = {entry.job.job: record.progress_of(entry) for entry in entries}
    writes = {
        record.progress_key(job): msgspec.json.encode(progress)
        for job, progress in written.items()
    }
    try:
        await fenced_writes.write(leader, writes)
    except BaseException:
        persistence.note_failed(leader.ledger, entries)
        raise
    persistence.note_written(leader.ledger, entries)
    for entry in entries:
        blocked = not isolation.are_crashes_stored(entry)
        if blocked:
            event_log.emit('job', 'crashes-stored', job=entry.job.job)
        if blocked or entry.more_pools != entry.more_pools_stored:
            await leader.placement_due.set()
        entry.stored_crash_revision = crashes[entry.job.job]
        entry.more_pools_stored.update(written[entry.job.job].more_pools)
        state = written[entry.job.job].state
        if state is not entry.stored_state:
            entry.stored_state = state
            # The state that was written; the job may have changed since.
            if state in model.FINAL:
                _log_end(entry)


def _log_end(entry: ledgers.Entry) -> None:
    took_s = clock.now_s() - entry.arrived_s
    server_metrics.JOB_SECONDS.labels(entry.state.value).observe(took_s)
    event_log.emit(
        'job',
        'ended',
        job=entry.job.job,
        state=entry.state.value,
        why=entry.cause,
        after_s=round(entry.ended_s - entry.arrived_s, 3),
        queue=entry.job.queue.name,
    )


async def _write_worker_lists(leader: states.Leader) -> None:
    """Write which workers may be given tasks, before any is given one.

    The next leader waits only for the workers that it reads there. A worker
    that was lost and registered again must be written again first: its row may
    have been removed, or contain its earlier location.
    """
    while leader.unwritten_worker_lists:
        await _write_some_worker_lists(leader)


async def _write_some_worker_lists(leader: states.Leader) -> None:
    services = sorted(leader.unwritten_worker_lists)[
        : fenced_writes.MAX_KEYS_PER_WRITE
    ]
    writes = {}
    members: list[workers_.Worker] = []
    for service in services:
        rows = [
            worker
            for worker in leader.workers.values()
            if worker.entry.service == service and not worker.gone
        ]
        members += rows
        writes[worker_list_key(service)] = msgspec.json.encode(
            [row.entry for row in rows]
        )
    # Workers registered or lost during the write need another write.
    leader.unwritten_worker_lists.difference_update(services)
    try:
        await fenced_writes.write(leader, writes)
    except BaseException:
        leader.unwritten_worker_lists.update(services)
        raise
    for worker in members:
        worker.is_in_stored_list = True
    await leader.placement_due.set()


def worker_list_key(service: ids.ServiceId) -> str:
    """Return the key of a pool's worker list, for pool names of any length.

    A key that the store refuses would block the writes of worker lists, and a
    worker gets tasks only once its list is written.
    """
    key = WORKER_LIST_PREFIX + service
    short = len(key.encode()) <= stores.MAX_KEY_BYTES
    if short and not service.startswith(DIGEST_PREFIX):
        return key
    digest = hashlib.sha256(service.encode()).hexdigest()
    return WORKER_LIST_PREFIX + DIGEST_PREFIX + digest


def decode_worker_list(value: bytes) -> list[reports.Entry]:
    """Decode the workers of one pool's stored list."""
    return codec.decode(value, list[reports.Entry])


async def remove_ended_jobs_always(leader: states.Leader) -> None:
    """Remove ended jobs that callers may no longer ask for."""
    retention_s = leader.server.settings.job_retention_s + RETENTION_SLACK_S
    while True:
        await curio.sleep(5.0)
        before_s = clock.now_s() - retention_s
        old = [
            entry.job.job
            for entry in leader.ledger.entries.values()
            if ledgers.is_final(entry)
            and entry.stored_state is entry.state
            and entry.ended_s < before_s
        ]
        for start in range(0, len(old), 10):
            await _remove_jobs(leader, old[start : start + 10])


async def _remove_jobs(leader: states.Leader, jobs: list[ids.JobId]) -> None:
    keys = []
    for job in jobs:
        keys += [
            record.job_key(job),
            record.cancel_key(job),
            record.progress_key(job),
        ]
    try:
        await stores.write(
            leader.server.store,
            {roles_.LEADER_KEY: leader.revision},
            {},
            tuple(keys),
        )
    except (errors.CallFailed, stores.Conflict) as error:
        event_log.emit('job', 'not-forgotten', why=str(error))
        return
    for job in jobs:
        ledgers.forget(leader.ledger, job)
    event_log.emit('job', 'forgotten', count=len(jobs))
