"""Access to one attempt: a request sent to one upstream, its answer passed on.

Failures are :class:`oleanderwood.errors.CallFailed`, with the verdict, while
the caller has got nothing yet; afterwards the caller's connection is cut.
"""

import collections.abc
import dataclasses
import logging
import math
import time
import typing

import curio
import h11

from oleanderwood import configuration
from oleanderwood import connections
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import invariants
from oleanderwood import permissions
from oleanderwood import request_headers
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('entry')

T = typing.TypeVar('T')

BODILESS_STATUSES = (204, 304)


@dataclasses.dataclass
class Exchange:
    """One caller's request on its way to its final answer.

    :ivar kept_body: the body, if it is small and was read before
    :ivar length_bytes: the declared length of the body, None for chunked
    :ivar deadline_s: monotonic time of the caller's deadline
    :ivar attempts: verdicts of the attempts that ended
    :ivar body_started: whether a streamed body was read from
    :ivar answering: whether bytes of the answer may have left
    """

    request_id: str
    request: http.Request
    target: str
    service: configuration.Service
    arrived_s: float
    deadline_s: float = math.inf
    kept_body: bytes | None = None
    length_bytes: int | None = 0
    attempts: list[verdicts.Verdict] = dataclasses.field(default_factory=list)
    body_started: bool = False
    answering: bool = False


@dataclasses.dataclass
class Upload:
    """A body on its way from the caller to the upstream.

    :ivar reading: whether it waits for the caller
    :ivar moved_s: when the last piece was had or handed over
    :ivar fault: why the caller's body can't be had
    """

    task: curio.Task | None = None
    reading: bool = False
    moved_s: float = 0.0
    done: bool = False
    fault: Exception | None = None


@dataclasses.dataclass
class Path:
    """What all attempts of an entry share."""

    connections: connections.Connections
    permissions: permissions.Permissions
    invariants: invariants.Invariants


class TimedOut(errors.CallFailed):
    """The upstream's answer did not come in time."""


class CallerFault(errors.OleanderError):
    """The caller's body can't be had; ``verdict`` says what was sent.

    :ivar message: what to tell the caller, None if it is gone
    """

    def __init__(
        self,
        verdict: verdicts.Verdict,
        message: errors.BadMessage | None,
    ) -> None:
        super().__init__(str(message or 'the caller is gone'))
        self.verdict = verdict
        self.message = message


async def run(
    path: Path, exchange: Exchange, row: fleet.VmRow, limit: int
) -> int:
    """Send the request to an upstream and pass its answer on.

    :param limit: connections that may be open to the upstream
    :returns: the status of the answer, passed on whole; or one by which
        the service promises ``NOT_RUN``, not passed on
    :raises errors.CallFailed: the upstream failed
    :raises CallerFault: the caller's body failed
    :raises OSError: the caller's connection failed
    """
    connection = await _connect(path, exchange, row, limit)
    upload = Upload()
    path.permissions.begin(row.vm, row.epoch)
    try:
        await _send(path, exchange, row, connection, upload)
        response = await _head(exchange, connection, upload)
        _check_own_answer(path, exchange, connection)
        return await _pass_on(exchange, connection, upload, response)
    except (errors.CallFailed, OSError) as error:
        raise _blame(upload, connection, error) from error
    finally:
        try:
            await _leave(path, connection, upload)
        finally:
            path.permissions.end(row.vm, row.epoch)


async def _connect(
    path: Path, exchange: Exchange, row: fleet.VmRow, limit: int
) -> http_client.Connection:
    service = exchange.service
    left_s = exchange.deadline_s - time.monotonic()
    if left_s <= 0:
        raise TimedOut(verdicts.Verdict.NOT_RUN, 'the deadline has passed')
    return await connections.take(
        path.connections,
        row.address,
        limit,
        min(service.connect_timeout_s, left_s),
        connections.IDLE_S if service.idempotent else connections.FRESH_S,
    )


async def _send(
    path: Path,
    exchange: Exchange,
    row: fleet.VmRow,
    connection: http_client.Connection,
    upload: Upload,
) -> None:
    events = _events(exchange, row)
    data = http_client.encode(connection, *events)
    _check_first_run(path, exchange)
    upload.moved_s = time.monotonic()
    # Nothing may come between this check and the first byte: the process
    # may have been paused while it waited for the connection.
    if not path.permissions.may_send(row.vm, row.epoch, upload.moved_s):
        raise permissions.Gone(verdicts.Verdict.NOT_RUN, f'{row.vm}: no grant')
    connection.carries = exchange.request_id
    await _write(exchange, connection, data)
    if exchange.kept_body is None:
        upload.task = await curio.spawn(_upload, exchange, connection, upload)
    else:
        upload.done = True


def _events(exchange: Exchange, row: fleet.VmRow) -> list[typing.Any]:
    own = [
        (request_headers.REQUEST_ID, exchange.request_id.encode('ascii')),
        (request_headers.POOL, row.pool.encode('ascii')),
        (request_headers.EPOCH, b'%d' % row.epoch),
    ]
    if exchange.deadline_s < math.inf:
        left_s = exchange.deadline_s - time.monotonic()
        left_ms = max(1, int(left_s * 1000))
        own.append((request_headers.TIMEOUT_MS, b'%d' % left_ms))
    request = exchange.request
    headers = request_headers.for_upstream(request.headers, row.address, own)
    if exchange.kept_body is not None:
        return http_client.whole_request(
            request.method, exchange.target, headers, exchange.kept_body
        )
    if exchange.length_bytes is None:
        headers.append((b'transfer-encoding', b'chunked'))
    else:
        headers.append((b'content-length', b'%d' % exchange.length_bytes))
    return [
        h11.Request(
            method=request.method, target=exchange.target, headers=headers
        )
    ]


def _check_first_run(path: Path, exchange: Exchange) -> None:
    if not exchange.attempts:
        return
    idempotent = exchange.service.idempotent
    allowed = all(
        verdicts.may_retry(earlier, idempotent)
        for earlier in exchange.attempts
    )
    detail = f'{exchange.request_id} after {exchange.attempts}'
    if not invariants.check(path.invariants, allowed, 'at-most-once', detail):
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, 'an earlier attempt may have run'
        )


def _check_own_answer(
    path: Path, exchange: Exchange, connection: http_client.Connection
) -> None:
    detail = f'{connection.carries} for {exchange.request_id}'
    own = connection.carries == exchange.request_id
    if not invariants.check(path.invariants, own, 'own-answer', detail):
        raise http_client.failure(connection, 'the answer is not its own')


async def _write(
    exchange: Exchange, connection: http_client.Connection, data: bytes
) -> None:
    """Write the head; a kernel buffer takes it at once as a rule."""
    sent = await http_client.write_some(connection, data)
    if sent < len(data):
        rest = http_client.write(connection, memoryview(data)[sent:])
        await _within(exchange, connection, rest)


async def _upload(
    exchange: Exchange, connection: http_client.Connection, upload: Upload
) -> None:
    """Carry the body over; a caller's fault ends the upstream's input."""
    exchange.body_started = True
    size_bytes = 0
    try:
        while piece := await _read(exchange, upload):
            size_bytes += len(piece)
            if size_bytes > exchange.service.max_body_bytes:
                raise errors.BadMessage(413, 'the body is too large')
            await http_client.send_events(connection, h11.Data(data=piece))
            upload.moved_s = time.monotonic()
        await http_client.send_events(connection, h11.EndOfMessage())
        upload.moved_s = time.monotonic()
        upload.done = True
    except errors.CallFailed as error:
        # The upstream may have answered early and stopped reading.
        LOG.debug('Upload of %s ended: %s', exchange.request_id, error)
    except (OSError, errors.BadMessage) as error:
        upload.fault = error
        await http_client.shut(connection)


async def _read(exchange: Exchange, upload: Upload) -> bytes:
    upload.reading = True
    piece = await exchange.request.body.read()
    upload.reading = False
    upload.moved_s = time.monotonic()
    return piece


async def _head(
    exchange: Exchange, connection: http_client.Connection, upload: Upload
) -> http.Response:
    """Wait for the answer's head, as long as the body makes headway."""
    timeout_s = exchange.service.timeout_s
    while True:
        now_s = time.monotonic()
        since_s = now_s if upload.reading else upload.moved_s
        until_s = min(since_s + timeout_s, exchange.deadline_s)
        if now_s >= until_s:
            raise _timed_out(connection)
        try:
            async with curio.timeout_after(until_s - now_s):
                return await http_client.read_head(connection)
        except curio.TaskTimeout:
            continue


def _timed_out(connection: http_client.Connection) -> TimedOut:
    cause = http_client.failure(connection, 'no answer in time')
    return TimedOut(cause.verdict, cause.reason)


async def _pass_on(
    exchange: Exchange,
    connection: http_client.Connection,
    upload: Upload,
    response: http.Response,
) -> int:
    bodiless = (
        exchange.request.method == 'HEAD'
        or response.status in BODILESS_STATUSES
    )
    if not bodiless:
        _check_length(connection, response)
    piece, ended = http_client.read_buffered(connection)
    if response.status in exchange.service.refusal_statuses:
        return response.status
    own = [(request_headers.REQUEST_ID, exchange.request_id.encode('ascii'))]
    if response.status >= 400:
        own.append(
            (request_headers.VERDICT, verdicts.Verdict.RAN.value.encode())
        )
    headers = request_headers.for_caller(response.headers, own)
    body: bytes | http.Chunks = piece
    if not ended:
        body = http.Body(_reader(exchange, connection, response, piece))
    elif not bodiless:
        headers = [h for h in headers if h[0] != b'content-length']
    exchange.answering = True
    await exchange.request.respond(
        http.Response(response.status, headers, body)
    )
    return response.status


def _check_length(
    connection: http_client.Connection, response: http.Response
) -> None:
    """Refuse an answer that ends with its connection.

    It couldn't be told from one that was cut.
    """
    names = [name for name, _ in response.headers]
    if b'content-length' in names or b'transfer-encoding' in names:
        return
    raise http_client.failure(connection, 'the answer has no length')


def _reader(
    exchange: Exchange,
    connection: http_client.Connection,
    response: http.Response,
    first: bytes,
) -> typing.Any:
    waiting = [first] if first else []

    async def read() -> bytes:
        if waiting:
            return waiting.pop()
        return await _within(exchange, connection, response.body.read())

    return read


async def _within(
    exchange: Exchange,
    connection: http_client.Connection,
    call: collections.abc.Awaitable[T],
) -> T:
    """Bound one step of an exchange by timeout and deadline."""
    left_s = exchange.deadline_s - time.monotonic()
    try:
        async with curio.timeout_after(
            max(0.0, min(exchange.service.timeout_s, left_s))
        ):
            return await call
    except curio.TaskTimeout as error:
        raise _timed_out(connection) from error


def _blame(
    upload: Upload,
    connection: http_client.Connection,
    error: Exception,
) -> Exception:
    """Give the cause of a failure that the caller's body may have made."""
    if upload.fault is None:
        return error
    verdict = http_client.failure(connection, '').verdict
    if isinstance(upload.fault, errors.BadMessage):
        return CallerFault(verdict, upload.fault)
    return CallerFault(verdict, None)


async def _leave(
    path: Path, connection: http_client.Connection, upload: Upload
) -> None:
    """Keep the connection only if both directions ended whole."""
    try:
        if upload.task is not None:
            await upload.task.cancel()
    finally:
        await connections.give_back(path.connections, connection)
