"""Submit and cancel jobs; answers follow once the store has the write."""

import collections
import collections.abc
import dataclasses
import math

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import roles as roles_
from oleanderwood.platform import store as stores
from oleanderwood.tenants import access
from oleanderwood import verdict as verdicts

MAX_JOBS_PER_WRITE = (stores.MAX_WRITES - 1) // 2
"""Jobs in one transaction; each takes a condition and a write, and one
condition is that the leader is still the one this server knows."""

WRITE_ATTEMPTS = 3
"""Attempts at a write, as long as none gets an answer."""

BATCH_ATTEMPTS = WRITE_ATTEMPTS + 1
"""One attempt more: a write that finds another leader than the one known here
is retried at once, which delays a caller by one more answer of the store, 4
ms."""

WRITE_TIMEOUT_S = 2.0
"""Time for which a caller waits for the write; callers wait 3 s in all."""


@dataclasses.dataclass
class Submission:
    """One job on its way to the store.

    :ivar verdict: RAN once the job is stored
    :ivar already_stored: the store held the job before this write
    :ivar id_taken: another tenant has a job of its id
    """

    job: model.Job
    verdict: verdicts.Verdict | None = None
    reason: str = ''
    already_stored: bool = False
    id_taken: bool = False
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
    :ivar submitting: number of calls that are submitting a job now, by job
    """

    store: stores.Store
    roles: roles_.Roles
    on_written: WrittenCallback
    is_store_lost: collections.abc.Callable[[], bool]
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
    conditions[roles_.LEADER_KEY] = intake.roles.leader_revision
    try:
        await stores.write(
            intake.store,
            conditions,
            {
                key: msgspec.json.encode(rows[0].job)
                for key, rows in keys.items()
            },
            timeout_s=WRITE_TIMEOUT_S / WRITE_ATTEMPTS,
        )
    except stores.Conflict as conflict:
        roles_.apply_items(intake.roles, conflict.items)
        stored = {
            item.key: item.value for item in conflict.items if not item.removed
        }
        remaining = []
        for key, rows in keys.items():
            if key not in stored:
                remaining += rows
                continue
            for submission in rows:
                await _settle_known(submission, stored[key])
        return remaining
    except errors.CallFailed as error:
        return await _after_failure(intake, batch, error)
    for submission in batch:
        await _settle(submission, verdicts.Verdict.RAN, '')
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


def belongs_to(value: bytes, tenant: ids.TenantId) -> bool:
    """Return whether a stored job belongs to a tenant, or to nobody.

    A job that can't be read belongs to no tenant, and nobody may change it.
    """
    try:
        owner = msgspec.json.decode(value, type=model.JobOwner).tenant
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
    store: stores.Store, job: ids.JobId, tenant: ids.TenantId
) -> bool:
    """Mark a job as cancelled; return False if the tenant has no such job.

    :raises errors.CallFailed: with the verdict of all attempts together: a
        last attempt without effect doesn't exclude that an earlier one was
        written
    """
    in_doubt = False
    for attempt in range(WRITE_ATTEMPTS):
        try:
            stored = await stores.read(store, record.job_key(job))
            if stored is None or not belongs_to(stored.value, tenant):
                return False
            await _mark_cancelled(store, job)
            return True
        except errors.CallFailed as error:
            in_doubt |= error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            if attempt < WRITE_ATTEMPTS - 1:
                await curio.sleep(0.05)
            elif in_doubt:
                raise errors.CallFailed(
                    verdicts.Verdict.MAY_HAVE_RUN, error.reason
                ) from error
            else:
                raise
    return False


async def _mark_cancelled(store: stores.Store, job: ids.JobId) -> None:
    mark = {record.cancel_key(job): b'%d' % clock.wall_ms()}
    await stores.write(store, {}, mark)
