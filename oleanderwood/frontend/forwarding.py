"""Ask another server to submit or cancel a job, or to answer a whole call.

A server that can't reach the store may reach servers that can. The conditions
of writes to the store let several servers submit the same job: it remains one
job.
"""

import typing

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import intake as intakes
from oleanderwood.frontend import peer_client as peer_clients
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts
from oleanderwood.web import http

JOB_PATH = '/relay/job'
CANCEL_PATH = '/relay/cancel/'
CALL_PATH = '/relay/call'

PUBLIC_HEADER = 'oleander-public-queue'
"""Header of a relayed cancel: its queue is public, so a job that is stored
later has no tenant."""

STORE_LOST_AFTER_S = 1.2
"""Time without an answer from the store after which it counts as unreachable:
the lease is renewed each 0.5 s."""

PEER_TIMEOUT_S = 0.7
"""Time-out of a call to another server, which waits for the store itself; an
idle server takes 10 ms. Callers wait 3 s in all."""

MAX_PEERS = 3
"""Servers that are asked, the leader first: with half of all servers cut off,
one call in eight fails."""


MAX_FORWARD_PEERS = 10
"""Servers that are asked to answer a forwarded call; with two thirds of all
servers cut off, one call in fifty finds none that can."""

READ_METHODS = ('GET',)
"""Methods of calls that change nothing, so that it doesn't matter how many
servers carry them out."""


class RelayResult(msgspec.Struct, frozen=True):
    """Result of a relayed call.

    :ivar there: for a cancellation, whether the job exists
    :ivar foreign: another tenant has a job of this id
    :ivar cancelled: for a job, its caller cancelled it before it was stored
    """

    verdict: verdicts.Verdict
    reason: str = ''
    there: bool = True
    foreign: bool = False
    cancelled: bool = False


class ForwardedCall(msgspec.Struct, frozen=True):
    """A caller's call, for another server to authenticate and answer.

    :ivar key: the digest of the caller's key
    :ivar least_revision: minimum revision of the configuration by which the
        call may be answered: the caller may have seen effects of this server's
        revision
    """

    method: str
    host: str
    path: str
    key: ids.KeyDigest
    body: bytes
    least_revision: int


class ForwardedAnswer(msgspec.Struct, frozen=True):
    """Another server's answer to a forwarded call.

    :ivar status: None if that server can't check the key either; the call
        had no effect
    """

    status: int | None = None
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b''


Answer = typing.TypeVar('Answer', RelayResult, ForwardedAnswer)


def is_store_lost(server: states.Server) -> bool:
    """Return whether the store hasn't answered this server for a while."""
    return clock.now_s() - server.store_contact_s > STORE_LOST_AFTER_S


def result_of(submission: intakes.Submission) -> RelayResult:
    """Return the outcome of a job that this server has written or not."""
    return RelayResult(
        submission.verdict,
        submission.reason,
        foreign=submission.id_taken,
        cancelled=submission.cancelled,
    )


async def submit(
    client: peer_clients.PeerClient, job: model.Job
) -> RelayResult:
    """Submit a job through another server."""
    return await _relay(client, JOB_PATH, msgspec.json.encode(job), job.job)


async def cancel(
    client: peer_clients.PeerClient,
    job: ids.JobId,
    tenant: ids.TenantId,
    owner: ids.TenantId,
) -> RelayResult:
    """Cancel a job through another server, see ``intake.cancel``."""
    headers = []
    if owner != tenant:
        headers.append((PUBLIC_HEADER.encode(), b'1'))
    return await _relay(
        client, CANCEL_PATH + job, tenant.encode(), job, headers
    )


async def _relay(
    client: peer_clients.PeerClient,
    target: str,
    body: bytes,
    job: ids.JobId,
    headers: http.Headers | None = None,
) -> RelayResult:
    """Call servers one after another until one has carried out the call."""
    result = RelayResult(
        verdicts.Verdict.NOT_RUN,
        'the store was not reached, and no other server is known',
    )
    in_doubt = False
    for address in _peer_addresses(client.server):
        result = await _relay_to(client, address, target, body, headers)
        event_log.emit(
            'caller',
            'relayed',
            job=job,
            address=address,
            verdict=result.verdict.value,
            why=result.reason,
        )
        if is_final(result):
            return result
        in_doubt |= result.verdict is verdicts.Verdict.MAY_HAVE_RUN
    if in_doubt:
        return RelayResult(verdicts.Verdict.MAY_HAVE_RUN, result.reason)
    return result


def is_final(result: RelayResult) -> bool:
    """Return whether asking another server can't change a result.

    What another tenant or a cancel put into the store stops the writes of all
    servers, also one of a server that hasn't answered.
    """
    ran = result.verdict is verdicts.Verdict.RAN
    return ran or result.foreign or result.cancelled


async def forward_call(
    client: peer_clients.PeerClient, call: ForwardedCall, job: str = ''
) -> ForwardedAnswer:
    """Have a call answered by a server with a recent configuration.

    A server that didn't answer in time may carry the call out later, by what
    holds there then. Once that is possible, another server's refusal is not
    the answer to the call.

    :param job: the job that the call names, for the log
    :raises errors.CallFailed: a server may have carried out the call, or may
        do so later
    """
    body = msgspec.json.encode(call)
    in_doubt = ''
    unanswered = 0
    for address in _forward_peer_addresses(client):
        if unanswered == MAX_PEERS:
            break
        try:
            reply = await _call_peer(
                client, address, CALL_PATH, body, ForwardedAnswer
            )
        except errors.CallFailed as error:
            unanswered += 1
            _log_unanswered(job, address, error)
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                in_doubt = error.reason
            continue
        if reply.status is None:
            continue
        client.last_forward_peer = address
        if not in_doubt or _is_certain_after_doubt(call, reply.status):
            return reply
        in_doubt += f'; another server answered {reply.status}'
        break
    if in_doubt and call.method not in READ_METHODS:
        raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, in_doubt)
    return ForwardedAnswer()


def _is_certain_after_doubt(call: ForwardedCall, status: int) -> bool:
    """Return whether an answer holds even if another server runs the call.

    A stored job remains one job, and a cancelled or unknown one remains
    cancelled, however often the call is carried out.
    """
    if call.method in READ_METHODS or 200 <= status < 300:
        return True
    return call.method == 'DELETE' and status == 410


def _log_unanswered(
    job: str, address: ids.Address, error: errors.CallFailed
) -> None:
    event_log.emit(
        'caller',
        'forward-unanswered',
        job=job,
        address=address,
        verdict=error.verdict.value,
        why=error.reason,
    )


def _forward_peer_addresses(
    client: peer_clients.PeerClient,
) -> list[ids.Address]:
    """Return servers that may answer a call, the last successful one first.

    A server that can't check the key answers so at once, so many may be asked.
    """
    found = _peer_addresses(client.server, MAX_FORWARD_PEERS)
    return sorted(
        found, key=lambda address: address != client.last_forward_peer
    )


def _peer_addresses(
    server: states.Server, limit: int = MAX_PEERS
) -> list[ids.Address]:
    """Return other servers: the leader, then those of other data centres.

    Servers of one data centre are often cut off together. Each server prefers
    the ones that follow its own name, so that not all servers call the same
    one.
    """
    others = roles_.peers(server.roles, server.process)
    leader = server.roles.leader
    holder = leader.holder if leader is not None else ''
    own = server.settings
    others.sort(
        key=lambda row: (
            row.name != holder,
            row.data_centre == own.data_centre,
            row.name < own.name,
            row.name,
        )
    )
    return [row.address for row in others[:limit]]


async def _relay_to(
    client: peer_clients.PeerClient,
    address: ids.Address,
    target: str,
    body: bytes,
    headers: http.Headers | None,
) -> RelayResult:
    try:
        return await _call_peer(
            client, address, target, body, RelayResult, headers
        )
    except errors.CallFailed as error:
        return RelayResult(error.verdict, error.reason)


async def _call_peer(
    client: peer_clients.PeerClient,
    address: ids.Address,
    target: str,
    body: bytes,
    answer_type: type[Answer],
    headers: http.Headers | None = None,
) -> Answer:
    """Call one server and return its decoded answer.

    :raises errors.CallFailed: it refused, didn't answer, or its answer is
        malformed
    """
    answer = await transport.call(
        client.open_connections,
        address,
        'POST',
        target,
        body,
        headers,
        timeout_s=PEER_TIMEOUT_S,
    )
    if answer.status != 200:
        raise transport.refused(answer, 'relay')
    try:
        return codec.decode(answer.body, answer_type)
    except msgspec.MsgspecError as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, str(error)
        ) from error


async def handle_job(
    server: states.Server, intake: intakes.Intake, body: bytes
) -> RelayResult:
    """Submit a job for another server; it isn't relayed any further.

    :raises msgspec.MsgspecError: the body is not a job
    """
    job = codec.decode(body, model.Job)
    if is_store_lost(server):
        return RelayResult(
            verdicts.Verdict.NOT_RUN, 'the store is unreachable here as well'
        )
    return result_of(await intakes.submit(intake, job))


async def handle_cancel(
    server: states.Server,
    intake: intakes.Intake,
    job: ids.JobId,
    tenant: ids.TenantId,
    owner: ids.TenantId,
) -> RelayResult:
    """Cancel a job for another server; it isn't relayed further."""
    if is_store_lost(server):
        return RelayResult(
            verdicts.Verdict.NOT_RUN, 'the store is unreachable here as well'
        )
    try:
        async with curio.timeout_after(PEER_TIMEOUT_S):
            exists = await intakes.cancel(intake, job, tenant, owner)
    except errors.CallFailed as error:
        return RelayResult(error.verdict, error.reason)
    except curio.TaskTimeout:
        return RelayResult(
            verdicts.Verdict.MAY_HAVE_RUN, 'the store did not answer in time'
        )
    return RelayResult(verdicts.Verdict.RAN, '', exists)
