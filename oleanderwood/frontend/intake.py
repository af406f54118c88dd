"""Submit and cancel jobs; answers follow once the store has the write."""

import collections
import collections.abc
import dataclasses
import math

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import tombstones as tombstones_
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import roles as roles_
from oleanderwood.platform import store as stores
from oleanderwood import server_metrics
from oleanderwood.tenants import access
from oleanderwood import verdict as verdicts

MAX_JOBS_PER_WRITE = (stores.MAX_WRITES - 1) // 3
"""Jobs in one transaction; each takes two conditions, on its key and on its
tombstone, and a write, and one condition is that the leader is still the one
this server knows."""

WRITE_ATTEMPTS = 3
"""Attempts at a write, as long as none gets an answer."""

BATCH_ATTEMPTS = WRITE_ATTEMPTS + 1
"""One attempt more: a write that finds another leader than the one known here
is retried at once, which delays a caller by one more answer of the store, 4
ms."""

CANCEL_RETRY_PAUSE_S = 0.05
"""Pause between two attempts to cancel a job, in seconds."""

WRITE_TIMEOUT_S = 2.0
"""Time for which a caller waits for the write; callers wait 3 s in all."""


@dataclasses.dataclass
class Submission:
    """One job on its way to the store.

    :ivar verdict: RAN once the job is stored
    :ivar already_stored: the store held the job before this write
    :ivar id_taken: another tenant has a job of its id
    :ivar cancelled: its caller cancelled it before it was stored
    """

    job: model.Job
    verdict: verdicts.Verdict | None = None
    reason: str = ''
    already_stored: bool = False
    id_taken: bool = False
    cancelled: bool = False
    done: curio.Event = dataclasses.field(default_factory=curio.Event)


WrittenCallback = collections.abc.Callable[
    [list[model.Job]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass
class Intake:
    """Jobs that wait for the next write.

    :ivar roles: who leads, as far as this server knows
    :ivar on_written: called with jobs that were stored by a write
    :ivar is_store_lost: returns whether the store has stopped answering, so
        that retries are useless
    :ivar unanswered_s: time at which a write last remained without an answer;
        it may still be carried out
    :ivar tombstones: of jobs that are cancelled before they are stored
    :ivar submitting: number of calls that are submitting a job now, by job
    """

    store: stores.Store
    roles: roles_.Roles
    on_written: WrittenCallback
    is_store_lost: collections.abc.Callable[[], bool]
    tombstones: tombstones_.Tombstones = dataclasses.field(
        default_factory=tombstones_.Tombstones
    )
    waiting: list[Submission] = dataclasses.field(default_factory=list)
    arrived: curio.Event = dataclasses.field(default_factory=curio.Event)
    unanswered_s: float = -math.inf
    submitting: collections.Counter[ids.JobId] = dataclasses.field(
        default_factory=collections.Counter
    )


async def submit(intake: Intake, job: model.Job) -> Submission:
    """Write a job and return the outcome."""
    intake.submitting[job.job] += 1
    submission = Submission(job)
    try:
        await _submit(intake, submission)
    finally:
        if submission.verdict in (None, verdicts.Verdict.MAY_HAVE_RUN):
            note_unanswered(intake)
        intake.submitting[job.job] -= 1
        if not intake.submitting[job.job]:
            del intake.submitting[job.job]
    return submission


def note_unanswered(intake: Intake) -> None:
    """Record that a write of a job remained without an answer."""
    intake.unanswered_s = clock.now_s()


async def _submit(intake: Intake, submission: Submission) -> None:
    intake.waiting.append(submission)
    await intake.arrived.set()
    async with curio.ignore_after(WRITE_TIMEOUT_S):
        await submission.done.wait()
    if submission.verdict is None:
        submission.verdict = verdicts.Verdict.MAY_HAVE_RUN
        submission.reason = 'the store did not answer in time'
        if submission in intake.waiting:
            intake.waiting.remove(submission)
            submission.verdict = verdicts.Verdict.NOT_RUN


async def write_forever(intake: Intake) -> None:
    """Write waiting jobs, one batch after another, until cancelled.

    Each batch has its own task, so that one without an answer doesn't delay
    the others.
    """
    while True:
        await intake.arrived.wait()
        intake.arrived.clear()
        while intake.waiting:
            batch = intake.waiting[:MAX_JOBS_PER_WRITE]
            del intake.waiting[:MAX_JOBS_PER_WRITE]
            await curio.spawn(_write_with_retries, intake, batch, daemon=True)


async def _write_with_retries(intake: Intake, batch: list[Submission]) -> None:
    remaining = batch
    try:
        for _attempt in range(BATCH_ATTEMPTS):
            remaining = await _try_write(intake, remaining)
            if not remaining or intake.is_store_lost():
                break
    finally:
        for submission in remaining:
            if submission.verdict is None:
                submission.verdict = verdicts.Verdict.MAY_HAVE_RUN
            await submission.done.set()
    done = [
        submission.job
        for submission in batch
        if submission.verdict is verdicts.Verdict.RAN
        and not submission.already_stored
    ]
    if done:
        await intake.on_written(done)


async def _try_write(
    intake: Intake, batch: list[Submission]
) -> list[Submission]:
    """Write a batch; return the submissions that have to be retried.

    Each job carries the term under which it is accepted, and the store checks
    that no other term has begun. From the job's term, a previous leader that
    is still acting sees that the job isn't its own, and the next leader sees
    that no earlier leader can have started it.

    The store also checks that the caller hasn't cancelled the job: the call
    that submits it may have been read late, or this may be a late retry.
    """
    keys: dict[str, list[Submission]] = {}
    leader = intake.roles.leader
    term = leader.term if leader is not None else 0
    for submission in batch:
        submission.job = msgspec.structs.replace(submission.job, term=term)
        keys.setdefault(record.job_key(submission.job.job), []).append(
            submission
        )
    conditions = dict.fromkeys(keys, 0)
    conditions.update({_tombstone_key(rows[0]): 0 for rows in keys.values()})
    conditions[roles_.LEADER_KEY] = intake.roles.leader_revision
    writes = {
        key: msgspec.json.encode(rows[0].job) for key, rows in keys.items()
    }
    try:
        await stores.write(
            intake.store,
            conditions,
            writes,
            timeout_s=WRITE_TIMEOUT_S / WRITE_ATTEMPTS,
        )
    except stores.Conflict as conflict:
        roles_.apply_items(intake.roles, conflict.items)
        stored = {
            item.key: item.value for item in conflict.items if not item.removed
        }
        remaining = []
        for key, rows in keys.items():
            for submission in rows:
                if key in stored:
                    await _settle_known(submission, stored[key])
                elif _tombstone_key(submission) in stored:
                    await _settle_cancelled(submission)
                else:
                    remaining.append(submission)
        return remaining
    except errors.CallFailed as error:
        return await _after_failure(intake, batch, error)
    for key, (written, *others) in keys.items():
        await _settle(written, verdicts.Verdict.RAN, '')
        for submission in others:
            await _settle_known(submission, writes[key])
    return []


async def _after_failure(
    intake: Intake, batch: list[Submission], error: errors.CallFailed
) -> list[Submission]:
    event_log.emit(
        'caller',
        'not-written',
        jobs=[submission.job.job for submission in batch],
        verdict=error.verdict.value,
        why=error.reason,
    )
    if error.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        note_unanswered(intake)
        for submission in batch:
            submission.reason = 'in doubt'
        return batch
    remaining = []
    for submission in batch:
        if submission.reason == 'in doubt':
            # An earlier attempt may still be carried out.
            remaining.append(submission)
        else:
            await _settle(submission, verdicts.Verdict.NOT_RUN, error.reason)
    return remaining


async def _settle_known(submission: Submission, value: bytes) -> None:
    """Settle a job whose id is in the store, for this tenant or another."""
    if belongs_to(value, submission.job.tenant):
        submission.already_stored = True
        await _settle(submission, verdicts.Verdict.RAN, 'known')
        return
    submission.id_taken = True
    await _settle(
        submission, verdicts.Verdict.NOT_RUN, 'another tenant has this id'
    )


def _tombstone_key(submission: Submission) -> str:
    return record.tombstone_key(submission.job.job, submission.job.tenant)


async def _settle_cancelled(submission: Submission) -> None:
    """Settle a job with a tombstone: no write of it can succeed any more."""
    submission.cancelled = True
    server_metrics.TOMBSTONES.labels('stopped-job').inc()
    await _settle(
        submission,
        verdicts.Verdict.NOT_RUN,
        'its caller cancelled it before it was stored',
    )


def belongs_to(value: bytes, tenant: ids.TenantId) -> bool:
    """Return whether a stored job belongs to a tenant, or to nobody.

    A job that can't be read belongs to no tenant, and nobody may change it.
    """
    try:
        owner = codec.decode(value, model.JobOwner).tenant
    except msgspec.MsgspecError:
        return False
    return access.may_access(owner, tenant)


async def _settle(
    submission: Submission, verdict: verdicts.Verdict, reason: str
) -> None:
    submission.verdict = verdict
    submission.reason = reason
    await submission.done.set()


async def cancel(
    intake: Intake, job: ids.JobId, tenant: ids.TenantId, owner: ids.TenantId
) -> bool:
    """Cancel a job; return False if the tenant has no such job.

    A job that isn't stored yet can't be stored any more afterwards.

    :param tenant: who cancels
    :param owner: the tenant that a job of this caller and queue belongs to
    :raises errors.CallFailed: with the verdict of all attempts together: a
        last attempt without effect doesn't exclude that an earlier one was
        written
    """
    in_doubt = False
    reason = ''
    for attempt in range(WRITE_ATTEMPTS):
        try:
            return await _try_cancel(intake, job, tenant, owner)
        except stores.Conflict:
            # The job was stored or removed after it was read.
            reason = 'the job changed during each attempt'
            continue
        except tombstones_.LimitReached as error:
            reason = error.reason
            break
        except errors.CallFailed as error:
            in_doubt |= error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            reason = error.reason
        if attempt < WRITE_ATTEMPTS - 1:
            await curio.sleep(CANCEL_RETRY_PAUSE_S)
    verdict = verdicts.Verdict.NOT_RUN
    if in_doubt:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    raise errors.CallFailed(verdict, reason)


async def _try_cancel(
    intake: Intake, job: ids.JobId, tenant: ids.TenantId, owner: ids.TenantId
) -> bool:
    """Mark a stored job as cancelled, or stop later writes of it.

    :raises stores.Conflict: the job was stored or removed meanwhile
    :raises errors.CallFailed: the store didn't answer
    """
    key = record.job_key(job)
    stored = await stores.read(intake.store, key)
    if stored is None:
        await tombstones_.write(intake.tombstones, intake.store, job, owner)
        return False
    if not belongs_to(stored.value, tenant):
        return False
    # The condition keeps a write that is carried out late from marking a
    # later job of this id.
    await stores.write(
        intake.store,
        {key: stored.revision},
        {record.cancel_key(job): b'%d' % clock.wall_ms()},
    )
    return True
