"""Handing jobs in and cancelling them: written before it is answered."""

import collections.abc
import dataclasses

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

MOST_A_WRITE = (stores.MAX_WRITES - 1) // 2
"""Jobs written at once; each takes a condition and a write, and one
condition is that the leader is still the one that we know."""

ATTEMPTS = 3
"""Times that a write without an answer is tried."""

TRIES = ATTEMPTS + 1
"""One more than that: a write that finds another leader than the one that we
know is tried again at once, which costs a caller one more answer of the
store, 4 ms."""

WAIT_S = 2.0
"""Longest time that a caller waits for the write; callers wait 3 s in all."""


@dataclasses.dataclass
class Handed:
    """One job on its way to the store.

    :ivar verdict: RAN once it lies there
    :ivar foreign: another tenant has a job of its id
    """

    job: model.Job
    verdict: verdicts.Verdict | None = None
    reason: str = ''
    known: bool = False
    foreign: bool = False
    done: curio.Event = dataclasses.field(default_factory=curio.Event)


Written = collections.abc.Callable[
    [list[model.Job]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass
class Intake:
    """Jobs that wait for the next write.

    :ivar roles: who leads, as far as this server knows
    :ivar written: gets jobs that lie in the store now
    :ivar lost: says whether the store doesn't answer any more, so that
        trying again is no use
    """

    store: stores.Store
    roles: roles_.Roles
    written: Written
    lost: collections.abc.Callable[[], bool]
    waiting: list[Handed] = dataclasses.field(default_factory=list)
    arrived: curio.Event = dataclasses.field(default_factory=curio.Event)


async def hand_in(intake: Intake, job: model.Job) -> Handed:
    """Write a job; gives what came of it."""
    handed = Handed(job)
    intake.waiting.append(handed)
    await intake.arrived.set()
    async with curio.ignore_after(WAIT_S):
        await handed.done.wait()
    if handed.verdict is None:
        handed.verdict = verdicts.Verdict.MAY_HAVE_RUN
        handed.reason = 'the store did not answer in time'
        if handed in intake.waiting:
            intake.waiting.remove(handed)
            handed.verdict = verdicts.Verdict.NOT_RUN
    return handed


async def write_always(intake: Intake) -> None:
    """Write what waits, one transaction after another, until cancelled.

    Each is written by a task of its own, so that one that gets no answer
    doesn't hold up the others.
    """
    while True:
        await intake.arrived.wait()
        intake.arrived.clear()
        while intake.waiting:
            batch = intake.waiting[:MOST_A_WRITE]
            del intake.waiting[:MOST_A_WRITE]
            await curio.spawn(_write, intake, batch, daemon=True)


async def _write(intake: Intake, batch: list[Handed]) -> None:
    left = batch
    try:
        for _attempt in range(TRIES):
            left = await _try(intake, left)
            if not left or intake.lost():
                break
    finally:
        for handed in left:
            if handed.verdict is None:
                handed.verdict = verdicts.Verdict.MAY_HAVE_RUN
            await handed.done.set()
    done = [
        handed.job
        for handed in batch
        if handed.verdict is verdicts.Verdict.RAN and not handed.known
    ]
    if done:
        await intake.written(done)


async def _try(intake: Intake, batch: list[Handed]) -> list[Handed]:
    """Write a batch; gives those that have to be tried again.

    Each job carries the term under which it is accepted, and the store checks
    that no other has begun. A former leader that acts on for a while can tell
    by it that the job isn't its own, and the next one that the job may not
    have been started by an earlier leader.
    """
    keys: dict[str, list[Handed]] = {}
    leader = intake.roles.leader
    term = leader.term if leader is not None else 0
    for handed in batch:
        handed.job = msgspec.structs.replace(handed.job, term=term)
        keys.setdefault(record.job_key(handed.job.job), []).append(handed)
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
            timeout_s=WAIT_S / ATTEMPTS,
        )
    except stores.Conflict as conflict:
        roles_.learn(intake.roles, conflict.items)
        there = {
            item.key: item.value for item in conflict.items if not item.removed
        }
        left = []
        for key, rows in keys.items():
            if key not in there:
                left += rows
                continue
            for handed in rows:
                await _settle_known(handed, there[key])
        return left
    except errors.CallFailed as error:
        return await _after_failure(batch, error)
    for handed in batch:
        await _settle(handed, verdicts.Verdict.RAN, '')
    return []


async def _after_failure(
    batch: list[Handed], error: errors.CallFailed
) -> list[Handed]:
    event_log.emit(
        'caller',
        'not-written',
        jobs=[handed.job.job for handed in batch],
        verdict=error.verdict.value,
        why=error.reason,
    )
    if error.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        for handed in batch:
            handed.reason = 'in doubt'
        return batch
    left = []
    for handed in batch:
        if handed.reason == 'in doubt':
            # An earlier try may yet be carried out.
            left.append(handed)
        else:
            await _settle(handed, verdicts.Verdict.NOT_RUN, error.reason)
    return left


async def _settle_known(handed: Handed, value: bytes) -> None:
    """Settle a job whose id the store holds, of this tenant or another."""
    if is_of(value, handed.job.tenant):
        handed.known = True
        await _settle(handed, verdicts.Verdict.RAN, 'known')
        return
    handed.foreign = True
    await _settle(
        handed, verdicts.Verdict.NOT_RUN, 'another tenant has this id'
    )


def is_of(value: bytes, tenant: ids.TenantId) -> bool:
    """Say whether a job as it lies in the store is a tenant's, or nobody's.

    One that can't be read is nobody's to touch.
    """
    try:
        owner = msgspec.json.decode(value, type=model.Owned).tenant
    except msgspec.MsgspecError:
        return False
    return access.may_touch(owner, tenant)


async def _settle(
    handed: Handed, verdict: verdicts.Verdict, reason: str
) -> None:
    handed.verdict = verdict
    handed.reason = reason
    await handed.done.set()


async def cancel(
    store: stores.Store, job: ids.JobId, tenant: ids.TenantId
) -> bool:
    """Mark a job as cancelled; False if the tenant has no such job.

    :raises errors.CallFailed: with the verdict of all tries together: that
        the last one did nothing says nothing of a mark written before it
    """
    in_doubt = False
    for attempt in range(ATTEMPTS):
        try:
            kept = await stores.read(store, record.job_key(job))
            if kept is None or not is_of(kept.value, tenant):
                return False
            await _mark_cancelled(store, job)
            return True
        except errors.CallFailed as error:
            in_doubt |= error.verdict is verdicts.Verdict.MAY_HAVE_RUN
            if attempt < ATTEMPTS - 1:
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
