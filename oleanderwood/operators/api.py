"""The administration API over HTTP/1.1, on each server's inner address."""

import collections.abc
import hmac
import typing

import msgspec

from oleanderwood import codec
from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import state as states
from oleanderwood.operators import desk
from oleanderwood.operators import messages
from oleanderwood.operators import view
from oleanderwood.policy import reading
from oleanderwood import verdict as verdicts
from oleanderwood.web import http

PREFIX = '/v1/'
BEARER = 'Bearer '

MAX_BODY_BYTES = 1 << 20
"""Largest call; a file of 256 KB may double in JSON."""

Kind = messages.ErrorKind

STATUSES = {
    Kind.FAULTS: 422,
    Kind.BAD_REQUEST: 400,
    Kind.UNAUTHORISED: 401,
    Kind.NOT_FOUND: 404,
    Kind.CONFLICT: 409,
    Kind.NOT_LEADING: 421,
    Kind.NOT_RUN: 503,
    Kind.MAY_HAVE_RUN: 504,
}

Call = collections.abc.Callable[
    [states.Server, bytes, str], collections.abc.Awaitable[typing.Any]
]
"""Takes the server, the body, and the rest of the path."""


async def handle(
    server: states.Server, request: http.Request
) -> http.Response:
    """Answer a call; faults of the caller are answered, never raised."""
    try:
        answer = await _answer(server, request)
    except desk.Refused as error:
        return _refusal(error.reply)
    except errors.CallFailed as error:
        event_log.emit(
            'admin', 'failed', target=request.target, why=str(error)
        )
        kind = Kind.MAY_HAVE_RUN
        if error.verdict is verdicts.Verdict.NOT_RUN:
            kind = Kind.NOT_RUN
        return _refusal(messages.ErrorReply(kind, error.reason, error.verdict))
    except (msgspec.MsgspecError, RecursionError) as error:
        return _refusal(messages.ErrorReply(Kind.BAD_REQUEST, str(error)))
    return daemon.json_response(200, answer)


def _refusal(reply: messages.ErrorReply) -> http.Response:
    response = daemon.json_response(STATUSES[reply.error], reply)
    name = verdicts.HEADER.lower().encode('ascii')
    response.headers.append((name, reply.verdict.value.encode('ascii')))
    return response


async def _answer(server: states.Server, request: http.Request):
    path = request.target.partition('?')[0].removeprefix(PREFIX)
    name, _, rest = path.partition('/')
    call = CALLS.get((request.method, name))
    body = await _read_body(request)
    if call is None:
        raise desk.Refused(
            messages.ErrorReply(Kind.NOT_FOUND, f'no call {name!r}')
        )
    if (request.method, name) in WRITES:
        _authorise(server, request)
    return await call(server, body, rest)


async def _read_body(request: http.Request) -> bytes:
    try:
        return await http.read_all(request.body, MAX_BODY_BYTES)
    except ValueError as error:
        raise errors.BadMessage(413, str(error)) from error


def _authorise(server: states.Server, request: http.Request) -> None:
    """Let a writing call pass only with the token; none without one.

    :raises desk.Refused: the token is missing, or another
    """
    token = server.settings.admin_token
    given = (request.header('authorization') or '').removeprefix(BEARER)
    if not token:
        raise desk.Refused(
            messages.ErrorReply(
                Kind.UNAUTHORISED,
                'the servers have no admin_token in their settings, '
                'so nothing can be applied',
            )
        )
    if not hmac.compare_digest(token.encode(), given.encode()):
        event_log.emit('admin', 'unauthorised', target=request.target)
        raise desk.Refused(
            messages.ErrorReply(Kind.UNAUTHORISED, 'another token')
        )


def _leader(server: states.Server) -> states.Leader:
    """Give the leader, if it is this server.

    :raises desk.Refused: it isn't; names the one who is, if known
    """
    leader = server.leader
    if leader is not None and not leader.deposed:
        return leader
    known = server.roles.leader
    address = ids.Address('')
    if known is not None and known.process != server.process:
        address = known.address
    raise desk.Refused(
        messages.ErrorReply(
            Kind.NOT_LEADING,
            f'{server.settings.name} does not lead',
            leader=address,
        )
    )


async def _status(server, body, rest) -> messages.StatusReply:
    return view.status(_leader(server))


async def _tenants(server, body, rest) -> messages.TenantsReply:
    return view.tenants(_leader(server))


async def _job(server, body, rest) -> messages.JobReply:
    reply = view.job(_leader(server), ids.JobId(rest))
    if reply is None:
        raise desk.Refused(
            messages.ErrorReply(Kind.NOT_FOUND, f'no job {rest!r}')
        )
    return reply


async def _policy(server, body, rest) -> messages.PolicyReply:
    kept, _revision = await desk.current(server.store)
    return messages.PolicyReply(
        kept.number, kept.text, kept.author, kept.at_ms
    )


async def _history(server, body, rest) -> messages.HistoryReply:
    records, _revision = await desk.history(server.store)
    return messages.HistoryReply(records)


async def _plan(server, body, rest) -> messages.PlanReply:
    text = codec.decode(body, messages.FileBody).text
    policy = desk.parse(text)
    unknown: tuple[str, ...] = ()
    if server.configuration is not None:
        unknown = tuple(reading.unknown_names(policy, server.configuration))
    kept, _revision = await desk.current(server.store)
    return desk.compare(kept, text, unknown)


async def _apply(server, body, rest) -> messages.ApplyReply:
    asked = codec.decode(body, messages.ApplyBody)
    return await desk.apply(server.store, asked)


CALLS: dict[tuple[str, str], Call] = {
    ('GET', 'status'): _status,
    ('GET', 'tenants'): _tenants,
    ('GET', 'jobs'): _job,
    ('GET', 'policy'): _policy,
    ('GET', 'history'): _history,
    ('POST', 'plan'): _plan,
    ('POST', 'apply'): _apply,
}

WRITES = {('POST', 'apply')}
"""Calls that need the token."""
