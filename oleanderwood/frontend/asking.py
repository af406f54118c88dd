"""What callers ask for: a job's state, and how many of a queue wait."""

import dataclasses
import urllib.parse

import msgspec

from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import intake
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts
from oleanderwood.web import connections

ASK_TIMEOUT_S = 0.4
"""Longest wait for the leader; then the store is read instead. Callers wait
3 s in all, and the store may be slow as well."""

STATE_PATH = '/state/'
PENDING_PATH = '/pending/'
JOBS_PATH = '/jobs'
CANCELLED_PATH = '/cancelled/'


class Told(msgspec.Struct, frozen=True):
    """The leader's answer.

    :ivar state: None if it doesn't know the job
    :ivar tenant: whose job it is
    """

    state: model.State | None = None
    pending: int = 0
    tenant: ids.TenantId = ids.TenantId('')


@dataclasses.dataclass
class Asking:
    """Calls to the leader, and to other servers.

    :ivar judge: the server that last judged a call for this one
    """

    server: states.Server
    judge: ids.Address | None = None
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


def tell_state(leader: states.Leader, job: ids.JobId) -> Told:
    """Answer for a job, as the leader."""
    entry = leader.ledger.entries.get(job)
    if entry is None:
        return Told()
    return Told(ledgers.shown_state(entry), tenant=entry.job.tenant)


def tell_pending(leader: states.Leader, queue: str) -> Told:
    """Count a queue's jobs of which no task has started, as the leader."""
    count = sum(
        1
        for entry in leader.ledger.entries.values()
        if entry.job.queue.name == queue and not ledgers.has_begun(entry)
    )
    return Told(pending=count)


async def tell_jobs(asking: Asking, jobs: list[model.Job]) -> None:
    """Tell the leader of jobs that lie in the store.

    It would see them there itself, but a watch may hear nothing for a
    second. Nothing depends on the call.
    """
    leader = asking.server.leader
    if leader is not None and not leader.deposed:
        await intake.take_jobs(leader, jobs)
        if not leader.deposed:
            return
    await _tell(asking, JOBS_PATH, msgspec.json.encode(jobs))


async def tell_cancel(asking: Asking, job: ids.JobId) -> None:
    """Tell the leader of a job whose cancel lies in the store.

    As with new jobs, it would see the mark itself; the sooner, the less is
    worked for nobody.
    """
    leader = asking.server.leader
    if leader is not None and not leader.deposed:
        intake.cancel(leader, job)
        await intake.after_intake(leader)
        return
    await _tell(asking, CANCELLED_PATH + job, b'')


async def _tell(asking: Asking, target: str, body: bytes) -> None:
    """Tell the leader, if another server leads; nothing depends on it."""
    known = asking.server.roles.leader
    if known is None or known.process == asking.server.process:
        return
    try:
        await transport.call(
            asking.kept,
            known.address,
            'POST',
            target,
            body,
            timeout_s=ASK_TIMEOUT_S,
        )
    except errors.CallFailed as error:
        event_log.emit('caller', 'leader-not-told', why=error.reason)


async def state(asking: Asking, job: ids.JobId) -> Told:
    """Tell a job's state and whose it is; no state if there is no such job.

    :raises errors.CallFailed: neither the leader nor the store answers
    """
    leader = asking.server.leader
    if leader is not None and not leader.deposed:
        told = tell_state(leader, job)
    else:
        told = await _ask(asking, STATE_PATH + job)
    if told is not None and told.state is not None:
        return told
    return await _kept_state(asking.server.store, job)


async def _kept_state(store: stores.Store, job: ids.JobId) -> Told:
    kept = await stores.read(store, record.progress_key(job))
    try:
        if kept is not None:
            progress = msgspec.json.decode(kept.value, type=record.Progress)
            return Told(progress.state, tenant=progress.tenant)
        kept = await stores.read(store, record.job_key(job))
        if kept is None:
            return Told()
        owned = msgspec.json.decode(kept.value, type=model.Owned)
    except msgspec.MsgspecError as error:
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, f'what is kept is malformed: {error}'
        ) from error
    return Told(model.State.QUEUED, tenant=owned.tenant)


async def pending(asking: Asking, queue: str) -> int:
    """Count a queue's accepted jobs of which no task has started.

    :raises errors.CallFailed: the leader doesn't answer
    """
    leader = asking.server.leader
    if leader is not None and not leader.deposed:
        return tell_pending(leader, queue).pending
    told = await _ask(asking, PENDING_PATH + urllib.parse.quote(queue, ''))
    if told is None:
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, 'the leader does not answer'
        )
    return told.pending


async def _ask(asking: Asking, target: str) -> Told | None:
    """Ask the leader; None if it doesn't answer or doesn't lead."""
    leader = asking.server.roles.leader
    if leader is None or leader.process == asking.server.process:
        return None
    try:
        answer = await transport.call(
            asking.kept,
            leader.address,
            'GET',
            target,
            timeout_s=ASK_TIMEOUT_S,
        )
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.body, type=Told)
    except (errors.CallFailed, msgspec.MsgspecError) as error:
        event_log.emit(
            'caller', 'leader-silent', target=target, why=str(error)
        )
        return None
