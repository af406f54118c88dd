"""Writing progress to the store; ends are acknowledged only after it."""

import hashlib

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import record
from oleanderwood.leading import guarded
from oleanderwood.leading import parallel
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood.pools import reports
from oleanderwood import server_metrics

ROSTER_PREFIX = 'ow/workers/'
"""The workers of a pool that an earlier leader may have given tasks."""

DIGEST_MARK = '~'
"""Begins what stands in a roster's key for a name that is too long for one;
the workers' rows hold the name itself."""

GATHER_S = 0.03
"""Time in which ends are gathered for one write. It delays callers' sight
of a completed job by as much; each write has a price."""

WRITES_AT_ONCE = 6
"""Writes that are under way at the same time. While a store answered sixty
times slower, in 0.24 s, one after another they took 60 jobs a second, and
ends were written up to 1.4 s late."""

FAILED_PAUSE_S = 0.15
"""Pause after a failed write."""

FORGET_SLACK_S = 30.0
"""How much longer than callers may ask an ended job is kept."""


async def keep_always(leader: states.Leader) -> None:
    """Write what is unwritten, until cancelled."""
    lost = False
    while True:
        await leader.unkept.wait(1.0)
        await curio.sleep(GATHER_S)
        try:
            await keep(leader)
        except stores.Conflict:
            await states.depose(leader, 'another server leads')
            return
        except errors.CallFailed as error:
            if not lost:
                event_log.emit('store', 'not-written', why=error.reason)
            lost = True
            await curio.sleep(FAILED_PAUSE_S)
            await leader.unkept.set()
            continue
        if lost:
            event_log.emit('store', 'written-again')
            lost = False


async def keep(leader: states.Leader) -> None:
    """Write all that is unwritten now.

    One call at a time: what another has taken up isn't written yet.

    :raises stores.Conflict: another server leads
    :raises errors.CallFailed: nothing is known to be written
    """
    async with leader.writing:
        await _keep(leader)


async def _keep(leader: states.Leader) -> None:
    while leader.roster_dirty:
        await _keep_rosters(leader)
    seen = {name: row.seen_end for name, row in leader.workers.items()}
    while leader.ledger.dirty:
        await _keep_side_by_side(leader)
    for name, number in seen.items():
        worker = leader.workers.get(name)
        if worker is not None and number > worker.kept_end:
            worker.kept_end = number
            await leader.ends_kept[name].set()


async def _keep_side_by_side(leader: states.Leader) -> None:
    """Write unwritten jobs in several calls, those that have ended first.

    :raises stores.Conflict: another server leads
    :raises errors.CallFailed: one of the calls failed
    """
    dirty = sorted(
        leader.ledger.dirty.values(),
        key=lambda entry: not ledgers.final(entry),
    )
    size = guarded.KEYS_A_WRITE
    rows = dirty[: size * WRITES_AT_ONCE]
    async with curio.TaskGroup() as group:
        tasks = [
            await group.spawn(_keep_jobs, leader, rows[start : start + size])
            for start in range(0, len(rows), size)
        ]
    parallel.raise_first(tasks)


async def _keep_jobs(
    leader: states.Leader, entries: list[ledgers.Entry]
) -> None:
    writes = {}
    states_written = {}
    for entry in entries:
        leader.ledger.dirty.pop(entry.job.job, None)
        progress = record.progress_of(entry)
        states_written[entry.job.job] = progress.state
        key = record.progress_key(entry.job.job)
        writes[key] = msgspec.json.encode(progress)
    try:
        await guarded.write(leader, writes)
    except BaseException:
        for entry in entries:
            leader.ledger.dirty[entry.job.job] = entry
        raise
    for entry in entries:
        state = states_written[entry.job.job]
        if state is not entry.kept_state:
            entry.kept_state = state
            if ledgers.final(entry):
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


async def _keep_rosters(leader: states.Leader) -> None:
    """Write which workers may be given tasks, before any is."""
    services = set(list(leader.roster_dirty)[: guarded.KEYS_A_WRITE])
    if not services:
        return
    writes = {}
    members: set[ids.VmId] = set()
    for service in services:
        rows = [
            worker.entry
            for worker in leader.workers.values()
            if worker.entry.service == service and not worker.gone
        ]
        members.update(row.worker for row in rows)
        writes[roster_key(service)] = msgspec.json.encode(rows)
    await guarded.write(leader, writes)
    leader.roster_dirty -= services
    leader.rostered |= members
    await leader.due.set()


def roster_key(service: ids.ServiceId) -> str:
    """Give the key of a pool's roster; names of any length have one.

    A key that the store refuses would hold up all progress, which is
    written after the rosters.
    """
    key = ROSTER_PREFIX + service
    short = len(key.encode()) <= stores.MAX_KEY_BYTES
    if short and not service.startswith(DIGEST_MARK):
        return key
    digest = hashlib.sha256(service.encode()).hexdigest()
    return ROSTER_PREFIX + DIGEST_MARK + digest


def decode_roster(value: bytes) -> list[reports.Entry]:
    """Decode the workers of one pool's roster."""
    return msgspec.json.decode(value, type=list[reports.Entry])


async def forget_always(leader: states.Leader) -> None:
    """Remove ended jobs that callers may not ask for any more."""
    kept_s = leader.server.settings.job_retention_s + FORGET_SLACK_S
    while True:
        await curio.sleep(5.0)
        before_s = clock.now_s() - kept_s
        old = [
            entry.job.job
            for entry in leader.ledger.entries.values()
            if ledgers.final(entry)
            and entry.kept_state is entry.state
            and entry.ended_s < before_s
        ]
        for start in range(0, len(old), 10):
            await _forget(leader, old[start : start + 10])


async def _forget(leader: states.Leader, jobs: list[ids.JobId]) -> None:
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
