"""Access to one attempt: a request sent to one upstream, its answer passed on.

Failures are :class:`oleanderwood.errors.CallFailed`, with the verdict, while
the caller has got nothing yet; afterwards the caller's connection is cut.
"""

import collections.abc
import math
import time
import typing

import curio
import h11

from oleanderwood import connections
from oleanderwood import errors
from oleanderwood import exchange as exchanges
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import invariants
from oleanderwood import permissions
from oleanderwood import request_headers
from oleanderwood import upload as uploads
from oleanderwood import verdict as verdicts

T = typing.TypeVar('T')

BODILESS_STATUSES = (204, 304)


async def run(
    path: exchanges.Path,
    exchange: exchanges.Exchange,
    row: fleet.VmRow,
    limit: int,
) -> int:
    """Send the request to an upstream and pass its answer on.

    :param limit: connections that may be open to the upstream
    :returns: the status of the answer, passed on whole; or one by which
        the service promises ``NOT_RUN``, not passed on
    :raises errors.CallFailed: the upstream failed
    :raises exchange.CallerFault: the caller's body failed
    :raises OSError: the caller's connection failed
    """
    connection = await _connect(path, exchange, row, limit)
    upload = uploads.Upload()
    path.permissions.begin(row.vm, row.epoch)
    exchange.connection = connection
    try:
        await _send(path, exchange, row, connection, upload)
        response = await _head(exchange, connection, upload)
        _check_own_answer(path, exchange, connection)
        return await _pass_on(exchange, connection, upload, response)
    except (errors.CallFailed, OSError) as error:
        raise _blame(upload, connection, error) from error
    finally:
        exchange.connection = None
        try:
            await _leave(path, connection, upload)
        finally:
            path.permissions.end(row.vm, row.epoch)


async def cut(exchange: exchanges.Exchange) -> None:
    """End the attempt that runs, if any, as if the upstream had cut it."""
    if exchange.connection is not None:
        await http_client.shut(exchange.connection)


async def _connect(
    path: exchanges.Path,
    exchange: exchanges.Exchange,
    row: fleet.VmRow,
    limit: int,
) -> http_client.Connection:
    service = exchange.service
    left_s = exchange.deadline_s - time.monotonic()
    if left_s <= 0:
        raise exchanges.TimedOut(
            verdicts.Verdict.NOT_RUN, 'the deadline has passed', True
        )
    return await connections.take(
        path.connections,
        row.address,
        limit,
        min(service.connect_timeout_s, left_s),
        connections.IDLE_S if service.idempotent else connections.FRESH_S,
    )


async def _send(
    path: exchanges.Path,
    exchange: exchanges.Exchange,
    row: fleet.VmRow,
    connection: http_client.Connection,
    upload: uploads.Upload,
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
    exchange.sent = True
    await _write(exchange, connection, data)
    if exchange.kept_body is None:
        upload.task = await curio.spawn(
            uploads.run, exchange, connection, upload
        )
    else:
        upload.done = True


def _events(
    exchange: exchanges.Exchange, row: fleet.VmRow
) -> list[typing.Any]:
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


def _check_first_run(
    path: exchanges.Path, exchange: exchanges.Exchange
) -> None:
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
    path: exchanges.Path,
    exchange: exchanges.Exchange,
    connection: http_client.Connection,
) -> None:
    detail = f'{connection.carries} for {exchange.request_id}'
    own = connection.carries == exchange.request_id
    if not invariants.check(path.invariants, own, 'own-answer', detail):
        raise http_client.failure(connection, 'the answer is not its own')


async def _write(
    exchange: exchanges.Exchange,
    connection: http_client.Connection,
    data: bytes,
) -> None:
    """Write the head; a kernel buffer takes it at once as a rule."""
    sent = await http_client.write_some(connection, data)
    if sent < len(data):
        rest = http_client.write(connection, memoryview(data)[sent:])
        await _within(exchange, connection, rest)


async def _head(
    exchange: exchanges.Exchange,
    connection: http_client.Connection,
    upload: uploads.Upload,
) -> http.Response:
    """Wait for the answer's head, as long as the body makes headway."""
    timeout_s = exchange.service.timeout_s
    while True:
        now_s = time.monotonic()
        since_s = now_s if upload.reading else upload.moved_s
        until_s = min(since_s + timeout_s, exchange.deadline_s)
        if now_s >= until_s:
            raise _timed_out(exchange, connection)
        try:
            async with curio.timeout_after(until_s - now_s):
                return await http_client.read_head(connection)
        except curio.TaskTimeout:
            continue


def _timed_out(
    exchange: exchanges.Exchange, connection: http_client.Connection
) -> exchanges.TimedOut:
    cause = http_client.failure(connection, 'no answer in time')
    hurried = time.monotonic() >= exchange.deadline_s
    return exchanges.TimedOut(cause.verdict, cause.reason, hurried)


async def _pass_on(
    exchange: exchanges.Exchange,
    connection: http_client.Connection,
    upload: uploads.Upload,
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
    exchange: exchanges.Exchange,
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
    exchange: exchanges.Exchange,
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
        raise _timed_out(exchange, connection) from error


def _blame(
    upload: uploads.Upload,
    connection: http_client.Connection,
    error: Exception,
) -> Exception:
    """Give the cause of a failure that the caller's body may have made."""
    if upload.fault is None:
        return error
    verdict = http_client.failure(connection, '').verdict
    if isinstance(upload.fault, errors.BadMessage):
        return exchanges.CallerFault(verdict, upload.fault)
    return exchanges.CallerFault(verdict, None)


async def _leave(
    path: exchanges.Path,
    connection: http_client.Connection,
    upload: uploads.Upload,
) -> None:
    """Keep the connection only if both directions ended whole."""
    try:
        if upload.task is not None:
            await upload.task.cancel()
    finally:
        await connections.give_back(path.connections, connection)
