"""Query and notify the leader on behalf of callers."""

import dataclasses
import math
import typing
import urllib.parse

import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import intake
from oleanderwood.leading import memory_budget
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts
from oleanderwood.web import connections

ASK_TIMEOUT_S = 0.4
"""Time-out of a call to the leader; then the store is read instead. Callers
wait 3 s in all, and the store may be slow as well."""

STATE_PATH = '/state/'
PENDING_PATH = '/pending/'
JOBS_PATH = '/jobs'
CANCELLED_PATH = '/cancelled/'
MEMORY_PATH = '/memory/'

SHORT_OF_MEMORY_S = 5.0
"""Time for which memory is reserved for small jobs, too, after the leader was
short of it."""


Answer = typing.TypeVar('Answer')


class QueryResult(msgspec.Struct, frozen=True):
    """Result of a query for a job's state or a queue's pending jobs.

    :ivar state: None if the job is unknown
    :ivar tenant: the owner of the job
    """

    state: model.State | None = None
    pending: int = 0
    tenant: ids.TenantId = ids.TenantId('')


@dataclasses.dataclass
class PeerClient:
    """Connections for calls to the leader and to other servers.

    :ivar last_forward_peer: the server that last answered a forwarded call
    """

    server: states.Server
    last_forward_peer: ids.Address | None = None
    open_connections: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


def answer_state(leader: states.Leader, job: ids.JobId) -> QueryResult:
    """Return the state of a job, as the leader knows it."""
    entry = leader.ledger.entries.get(job)
    if entry is None:
        return QueryResult()
    return QueryResult(ledgers.shown_state(entry), tenant=entry.job.tenant)


def answer_pending(leader: states.Leader, queue: str) -> QueryResult:
    """Count a queue's jobs of which no task has started, in the ledger."""
    count = sum(
        1
        for entry in leader.ledger.entries.values()
        if entry.job.queue.name == queue and ledgers.is_pending(entry)
    )
    return QueryResult(pending=count)


async def notify_jobs(client: PeerClient, jobs: list[model.Job]) -> None:
    """Notify the leader of jobs that were written to the store.

    The leader would see them there itself, but a watch may be a second late.
    The call is an optimization: nothing depends on it.
    """
    leader = client.server.leader
    if leader is not None and not leader.deposed:
        await intake.add_jobs(leader, jobs)
        if not leader.deposed:
            _note_budget(client.server, memory_budget.remaining(leader))
            return
    answer = await _notify(client, JOBS_PATH, msgspec.json.encode(jobs))
    if not answer:
        return
    try:
        _note_budget(client.server, codec.decode(answer, memory_budget.Budget))
    except codec.MalformedValue as error:
        event_log.emit('caller', 'leader-malformed', why=str(error))


async def reserve_memory(
    client: PeerClient, job: ids.JobId, size_bytes: int
) -> bool:
    """Return whether the leader has reserved memory for a job.

    :raises errors.CallFailed: the leader doesn't answer
    """
    leader = client.server.leader
    if leader is not None and not leader.deposed:
        answer = memory_budget.reserve(leader, job, size_bytes)
    else:
        answer = await _call_leader(
            client, f'{MEMORY_PATH}{job}/{size_bytes}', memory_budget.Budget
        )
    if answer is None:
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, 'the leader does not answer'
        )
    _note_budget(client.server, answer)
    return answer.fits


def _note_budget(server: states.Server, answer: memory_budget.Budget) -> None:
    """Record whether memory has to be reserved for small jobs, too."""
    server.short_of_memory_until_s = -math.inf
    if answer.is_short:
        server.short_of_memory_until_s = clock.now_s() + SHORT_OF_MEMORY_S


async def notify_cancel(client: PeerClient, job: ids.JobId) -> None:
    """Notify the leader of a job whose cancellation was written to the store.

    As with new jobs, the leader would see the mark itself; the sooner it
    knows, the less work is wasted.
    """
    leader = client.server.leader
    if leader is not None and not leader.deposed:
        intake.cancel(leader, job)
        await intake.wake_after_intake(leader)
        return
    await _notify(client, CANCELLED_PATH + job, b'')


async def _notify(client: PeerClient, target: str, body: bytes) -> bytes:
    """Call the leader, if another server leads; a failure is only logged.

    Returns the body of a successful answer.
    """
    leader = client.server.roles.leader
    if leader is None or leader.process == client.server.process:
        return b''
    try:
        answer = await transport.call(
            client.open_connections,
            leader.address,
            'POST',
            target,
            body,
            timeout_s=ASK_TIMEOUT_S,
        )
    except errors.CallFailed as error:
        event_log.emit('caller', 'leader-not-told', why=error.reason)
        return b''
    return answer.body if answer.status == 200 else b''


async def fetch_state(client: PeerClient, job: ids.JobId) -> QueryResult:
    """Return a job's state and tenant; the state is None for an unknown job.

    :raises errors.CallFailed: neither the leader nor the store answers
    """
    leader = client.server.leader
    if leader is not None and not leader.deposed:
        answer = answer_state(leader, job)
    else:
        answer = await _call_leader(client, STATE_PATH + job)
    if answer is not None and answer.state is not None:
        return answer
    return await _stored_state(client.server.store, job)


async def _stored_state(store: stores.Store, job: ids.JobId) -> QueryResult:
    stored = await stores.read(store, record.progress_key(job))
    try:
        if stored is not None:
            progress = codec.decode(stored.value, record.Progress)
            return QueryResult(progress.state, tenant=progress.tenant)
        stored = await stores.read(store, record.job_key(job))
        if stored is None:
            return QueryResult()
        owned = codec.decode(stored.value, model.JobOwner)
    except msgspec.MsgspecError as error:
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, f'malformed record in the store: {error}'
        ) from error
    return QueryResult(model.State.QUEUED, tenant=owned.tenant)


async def count_pending(client: PeerClient, queue: str) -> int:
    """Count a queue's accepted jobs of which no task has started.

    :raises errors.CallFailed: the leader doesn't answer
    """
    leader = client.server.leader
    if leader is not None and not leader.deposed:
        return answer_pending(leader, queue).pending
    answer = await _call_leader(
        client, PENDING_PATH + urllib.parse.quote(queue, '')
    )
    if answer is None:
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, 'the leader does not answer'
        )
    return answer.pending


async def _call_leader(
    client: PeerClient, target: str, kind: type[Answer] = QueryResult
) -> Answer | None:
    """Call the leader; return None if it doesn't answer or doesn't lead."""
    leader = client.server.roles.leader
    if leader is None or leader.process == client.server.process:
        return None
    try:
        answer = await transport.call(
            client.open_connections,
            leader.address,
            'GET',
            target,
            timeout_s=ASK_TIMEOUT_S,
        )
        if answer.status != 200:
            return None
        return codec.decode(answer.body, kind)
    except (errors.CallFailed, msgspec.MsgspecError) as error:
        event_log.emit(
            'caller', 'leader-silent', target=target, why=str(error)
        )
        return None
