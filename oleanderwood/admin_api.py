"""Access to the administration API over HTTP/1.1 (docs/OPERATORS.md)."""

import collections.abc
import dataclasses
import hmac
import logging
import typing
import urllib.parse

import h11
import msgspec

from oleanderwood import admin_messages
from oleanderwood import apply
from oleanderwood import change
from oleanderwood import codec
from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import operators
from oleanderwood import rollout
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import verdict as verdicts
from oleanderwood import wave_orders
from oleanderwood import wave_state

LOG = logging.getLogger('admin')

MAX_BODY_BYTES = 4 << 20
BEARER = 'Bearer '

Kind = admin_messages.ErrorKind
Dump = collections.abc.Callable[[], dict[str, typing.Any]]
Query = dict[str, str]
Call = collections.abc.Callable[
    [operators.Desk, bytes, Query], collections.abc.Awaitable[typing.Any]
]

STATUSES = {
    Kind.FAULTS: 422,
    Kind.BAD_REQUEST: 400,
    Kind.UNAUTHORISED: 401,
    Kind.NOT_FOUND: 404,
    Kind.CONFLICT: 409,
    Kind.NOT_RUN: 503,
    Kind.MAY_HAVE_RUN: 504,
}
OUTCOMES = {
    rollout.Outcome.CONFLICT: Kind.CONFLICT,
    rollout.Outcome.NOT_RUN: Kind.NOT_RUN,
    rollout.Outcome.MAY_HAVE_RUN: Kind.MAY_HAVE_RUN,
}


class Refused(errors.OleanderError):
    """A call that gets an :class:`admin_messages.ErrorReply`."""

    def __init__(self, reply: admin_messages.ErrorReply) -> None:
        super().__init__(reply.message)
        self.reply = reply


@dataclasses.dataclass(frozen=True)
class Api:
    """What the API needs.

    :ivar token: what writing calls must bring, '' for nothing
    :ivar dump: gives this daemon's own state
    """

    desk: operators.Desk
    token: str
    dump: Dump


@dataclasses.dataclass(frozen=True)
class Route:
    """One call of the API; ``writes`` ones need the token."""

    call: Call
    writes: bool = False


def make_handler(api: Api) -> http.Handler:
    """Make the handler of the API's address."""
    routes = _routes(api)

    async def handle(request: http.Request) -> http.Response:
        try:
            answer = await _answer(api, routes, request)
        except (OSError, h11.ProtocolError):
            raise
        except Exception as error:
            LOG.info('%s %s: %s', request.method, request.target, error)
            return _refusal(_reply(error))
        return daemon.json_response(200, answer)

    return handle


def _refusal(reply: admin_messages.ErrorReply) -> http.Response:
    response = daemon.json_response(STATUSES[reply.error], reply)
    name = verdicts.HEADER.lower().encode('ascii')
    response.headers.append((name, reply.verdict.value.encode('ascii')))
    return response


async def _answer(
    api: Api, routes: dict[tuple[str, str], Route], request: http.Request
) -> typing.Any:
    parsed = urllib.parse.urlsplit(request.target)
    route = _find(routes, request.method, parsed.path)
    if route.writes and not _authorised(api.token, request):
        raise Refused(
            admin_messages.ErrorReply(
                Kind.UNAUTHORISED, 'the call needs the token'
            )
        )
    body = await http.read_all(request.body, MAX_BODY_BYTES)
    query = dict(urllib.parse.parse_qsl(parsed.query))
    return await route.call(api.desk, body, query)


def _find(
    routes: dict[tuple[str, str], Route], method: str, path: str
) -> Route:
    route = routes.get((method, path))
    if route is not None:
        return route
    order = _wave_order(method, path)
    if order is not None:
        return order
    known = ', '.join(f'{m} {p}' for m, p in sorted(routes))
    raise Refused(
        admin_messages.ErrorReply(
            Kind.NOT_FOUND, f'there is no {method} {path}; there are {known}'
        )
    )


def _wave_order(method: str, path: str) -> Route | None:
    """Take ``POST /v1/waves/NAME/ORDER`` apart."""
    steps = path.split('/')
    if method != 'POST' or len(steps) != 5 or steps[:3] != ['', 'v1', 'waves']:
        return None
    try:
        order = wave_state.Order(steps[4])
    except ValueError:
        return None
    name = urllib.parse.unquote(steps[3])

    async def call(desk: operators.Desk, body: bytes, query: Query):
        asked = codec.from_json(body or b'{}', admin_messages.OrderBody)
        return await wave_orders.order(desk, name, order, asked.reason)

    return Route(call, writes=True)


def _authorised(token: str, request: http.Request) -> bool:
    if not token:
        return True
    given = request.header('authorization') or ''
    wanted = (BEARER + token).encode()
    return hmac.compare_digest(given.encode('latin-1'), wanted)


def _routes(api: Api) -> dict[tuple[str, str], Route]:
    async def apply_file(desk: operators.Desk, body: bytes, query: Query):
        asked = codec.from_json(body, admin_messages.ApplyBody)
        applied = await operators.run_apply(desk, asked)
        return _accepted(applied)

    async def status(desk: operators.Desk, body: bytes, query: Query):
        operation = ids.OperationId(query.get('operation', ''))
        return await operators.status(desk, operation)

    async def history(desk: operators.Desk, body: bytes, query: Query):
        return await operators.read_history(desk)

    async def configuration(desk: operators.Desk, body: bytes, query: Query):
        return await operators.current_configuration(desk)

    async def dump(desk: operators.Desk, body: bytes, query: Query):
        return await _dump(api, query.get('target', ''))

    return {
        ('POST', '/v1/validate'): Route(_of_file(operators.validate)),
        ('POST', '/v1/diff'): Route(_of_file(operators.diff)),
        ('POST', '/v1/plan'): Route(_of_file(operators.plan)),
        ('POST', '/v1/apply'): Route(apply_file, writes=True),
        ('GET', '/v1/status'): Route(status),
        ('GET', '/v1/history'): Route(history),
        ('GET', '/v1/configuration'): Route(configuration),
        ('GET', '/v1/dump'): Route(dump),
    }


def _of_file(function: collections.abc.Callable) -> Call:
    async def call(desk: operators.Desk, body: bytes, query: Query):
        asked = codec.from_json(body, admin_messages.FileBody)
        return await function(desk, asked)

    return call


def _accepted(applied: apply.Applied) -> apply.Applied:
    """Pass an accepted apply on.

    :raises Refused: it was not accepted, or nobody knows
    """
    if applied.outcome is rollout.Outcome.ACCEPTED:
        return applied
    kind = OUTCOMES[applied.outcome]
    verdict = verdicts.Verdict.NOT_RUN
    message = f'nothing was accepted: {applied.reason}'
    if kind is Kind.CONFLICT:
        message = (
            f'nothing was accepted: revision {applied.revision} of '
            f'{applied.author or "unknown"} stands, the file was based on '
            f'{applied.base}'
        )
        if applied.reason:
            message += f' ({applied.reason})'
    if kind is Kind.MAY_HAVE_RUN:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        message = (
            f'operation {applied.operation} may have been accepted: '
            f'{applied.reason}; ask for its status'
        )
    raise Refused(
        admin_messages.ErrorReply(kind, message, verdict, applied=applied)
    )


async def _dump(api: Api, target: str) -> typing.Any:
    """Give a state dump: the own one, or that of a daemon of a member."""
    if not target:
        return api.dump()
    known, _ = await change.read(
        api.desk.links.kept, store.ROSTER_KEY, roster.EMPTY
    )
    hosts = {member.peer.rpartition(':')[0] for member in known.members}
    if target.rpartition(':')[0] not in hosts:
        raise LookupError(f'{target} is no address of a member')
    with change.reading():
        response = await http_client.call(ids.Address(target), 'GET', '/dump')
    return msgspec.Raw(response.body)


def _reply(error: Exception) -> admin_messages.ErrorReply:
    """Say what an exception means to the operator."""
    match error:
        case Refused():
            return error.reply
        case errors.ConfigurationFault():
            return _faults((error,))
        case ExceptionGroup() if _all_faults(error):
            return _faults(error.exceptions)
        case errors.StoreConflict() | errors.WaveConflict():
            return admin_messages.ErrorReply(Kind.CONFLICT, str(error))
        case errors.CallFailed():
            kind = Kind.NOT_RUN
            if error.verdict is verdicts.Verdict.MAY_HAVE_RUN:
                kind = Kind.MAY_HAVE_RUN
            verdict = error.verdict
            return admin_messages.ErrorReply(kind, error.reason, verdict)
        case LookupError():
            return admin_messages.ErrorReply(Kind.NOT_FOUND, str(error))
        case msgspec.MsgspecError() | ValueError():
            return admin_messages.ErrorReply(Kind.BAD_REQUEST, str(error))
    LOG.error('A call failed by a fault of this daemon.', exc_info=error)
    return admin_messages.ErrorReply(
        Kind.MAY_HAVE_RUN,
        f'{type(error).__name__}: {error}',
        verdicts.Verdict.MAY_HAVE_RUN,
    )


def _all_faults(group: ExceptionGroup) -> bool:
    return all(
        isinstance(fault, errors.ConfigurationFault)
        for fault in group.exceptions
    )


def _faults(
    faults: collections.abc.Iterable[Exception],
) -> admin_messages.ErrorReply:
    said = tuple(
        admin_messages.Fault(fault.path, fault.reason, fault.remedy)
        for fault in faults
    )
    return admin_messages.ErrorReply(
        Kind.FAULTS, f'the file has {len(said)} faults', faults=said
    )
