"""An HTTP/1.1 client over curio and h11.

Every failure raises :class:`oleanderwood.errors.CallFailed` with a verdict:
``NOT_RUN`` only if nothing was written to the connection.

All connections are reset when they are closed, so that a request which was
given up isn't delivered after that. Nothing is lost by it: a request counts as
done only once its whole response was read.
"""

import contextlib
import dataclasses
import select
import socket
import struct
import typing

import curio
import h11

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import verdict as verdicts
from oleanderwood.web import http

MAX_BODY_BYTES = 8 << 20
"""Size limit of a response body that :func:`call` reads."""

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER``: the kernel drops unsent data and resets the
connection on close, also when it closes it for a process that was killed."""

UNACKNOWLEDGED_TIMEOUT_MS = 2000
"""Time after which the kernel gives up a connection whose peer acknowledges
nothing, also while this process is suspended. It is shorter than a change of
leader with the pause before the next leader's first order for a machine."""


@dataclasses.dataclass(eq=False)
class Connection:
    """A connection to one address, used for one request at a time.

    :ivar written: whether any byte of the current request was written
    :ivar request_id: id of the latest request
    :ivar completed_requests: number of requests with completely read
        responses
    """

    address: ids.Address
    sock: typing.Any
    protocol: h11.Connection
    written: bool = False
    request_id: str = ''
    completed_requests: int = 0


async def connect(address: ids.Address, timeout_s: float) -> Connection:
    """Open a connection.

    :raises errors.CallFailed: ``NOT_RUN``
    """
    host, port = http.split_address(address)
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    _bound_delivery(sock)
    try:
        async with curio.timeout_after(timeout_s):
            await sock.connect((host, port))
    except (OSError, curio.TaskTimeout) as error:
        await http.close(sock)
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, f'connect to {address}: {error!r}'
        ) from error
    except BaseException:
        await http.close(sock)
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
    protocol = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=http.MAX_HEAD_BYTES
    )
    return Connection(address, sock, protocol)


def _bound_delivery(sock: typing.Any) -> None:
    """Limit how long data may be delivered after it was sent.

    A partition may hold data up for longer than a leader's lease. By then
    another leader may have acted on what this one has not done.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )


def is_reusable(connection: Connection) -> bool:
    """Return whether the connection is ready for another request."""
    return connection.protocol.our_state is h11.IDLE


def has_no_input(connection: Connection) -> bool:
    """Return whether an idle connection is open and has no input.

    The peer may still close it at any time.
    """
    poll = select.poll()
    poll.register(connection.sock.fileno(), select.POLLIN)
    return not poll.poll(0)


async def shut(connection: Connection) -> None:
    """Shut down both directions; tasks waiting on them see the end."""
    with contextlib.suppress(OSError):
        await connection.sock.shutdown(socket.SHUT_RDWR)


def failure(
    connection: Connection, error: BaseException | str
) -> errors.CallFailed:
    """Return the error for a call that failed on this connection."""
    return errors.CallFailed(
        verdict(connection), f'{connection.address}: {error}'
    )


def verdict(connection: Connection) -> verdicts.Verdict:
    """Return whether a call that failed on this connection may have run."""
    if connection.written:
        return verdicts.Verdict.MAY_HAVE_RUN
    return verdicts.Verdict.NOT_RUN


def encode(connection: Connection, *events: h11.Event) -> bytes:
    """Return the encoded bytes of h11 events.

    :raises errors.CallFailed: the protocol state doesn't allow the events
    """
    try:
        return b''.join(map(connection.protocol.send, events))
    except h11.ProtocolError as error:
        raise failure(connection, repr(error)) from error


async def write(connection: Connection, data: bytes | memoryview) -> None:
    """Write all of the data; the first write is attempted without waiting.

    :raises errors.CallFailed: with the verdict
    """
    while data:
        sent = await write_some(connection, data)
        if sent == len(data):
            return
        data = memoryview(data)[sent:]


async def write_some(connection: Connection, data: bytes | memoryview) -> int:
    """Write as much as the kernel accepts; wait only if it accepts nothing.

    Return the number of bytes written.

    :raises errors.CallFailed: with the verdict
    """
    try:
        sent = await connection.sock.send(data)
    except OSError as error:
        raise failure(connection, repr(error)) from error
    # Set only after a successful send: if the first one fails, nothing ran.
    connection.written = True
    return sent


async def send_events(connection: Connection, *events: h11.Event) -> None:
    """Send h11 events in one write.

    :raises errors.CallFailed: with the verdict
    """
    await write(connection, encode(connection, *events))


async def read_head(connection: Connection) -> http.Response:
    """Read a response's head; return the response with a streamed body.

    This may be called again after a timeout.

    :raises errors.CallFailed: with the verdict
    """
    try:
        event = await _read_response_head(connection)
    except (OSError, h11.ProtocolError) as error:
        raise failure(
            connection, _describe_error(connection, error)
        ) from error
    headers = list(event.headers)
    return http.Response(event.status_code, headers, _make_body(connection))


def _describe_error(connection: Connection, error: Exception) -> str:
    """Describe why a response can't be read.

    A protocol error after the end of the input only means that the peer
    closed the connection.
    """
    _unread, ended = connection.protocol.trailing_data
    if ended and isinstance(error, h11.ProtocolError):
        return 'closed before the answer'
    return repr(error)


async def _read_response_head(connection: Connection) -> h11.Response:
    while True:
        event = await http.next_event(connection.sock, connection.protocol)
        if isinstance(event, h11.Response):
            return event
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError('closed before the answer')


def _make_body(connection: Connection) -> http.Body:
    async def read() -> bytes:
        try:
            return await _read_chunk(connection)
        except (OSError, h11.ProtocolError) as error:
            raise failure(connection, repr(error)) from error

    return http.Body(read)


async def _read_chunk(connection: Connection) -> bytes:
    protocol = connection.protocol
    while protocol.their_state is h11.SEND_BODY:
        event = await http.next_event(connection.sock, protocol)
        if isinstance(event, h11.Data):
            if event.data:
                return bytes(event.data)
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError('connection closed during the answer')
    end_cycle(connection)
    return b''


def end_cycle(connection: Connection) -> None:
    """Prepare the connection for its next request, if it is reusable."""
    protocol = connection.protocol
    states = (protocol.our_state, protocol.their_state)
    if states == (h11.DONE, h11.DONE) and not protocol.trailing_data[0]:
        protocol.start_next_cycle()
        connection.completed_requests += 1


async def exchange(
    connection: Connection,
    method: str,
    target: str,
    headers: http.Headers,
    body: bytes | http.Chunks = b'',
) -> http.Response:
    """Send one request; return the response with a streamed body.

    The headers must contain ``host``, and ``content-length`` or
    ``transfer-encoding`` for a body that isn't ``bytes``. The calling code
    sets the timeout and closes the connection after any failure.

    :raises errors.CallFailed: with the verdict
    """
    connection.written = False
    if isinstance(body, bytes):
        events = buffered_request(method, target, headers, body)
        await send_events(connection, *events)
    else:
        request = h11.Request(method=method, target=target, headers=headers)
        await send_events(connection, request)
        async for chunk in body:
            await send_events(connection, h11.Data(data=chunk))
        await send_events(connection, h11.EndOfMessage())
    return await read_head(connection)


def buffered_request(
    method: str, target: str, headers: http.Headers, body: bytes
) -> list[typing.Any]:
    """Return the h11 events of a request with its whole body.

    ``content-length`` is added unless the body is empty and the method
    usually has none.
    """
    if not body and method in ('GET', 'HEAD', 'DELETE', 'OPTIONS'):
        request = h11.Request(method=method, target=target, headers=headers)
        return [request, h11.EndOfMessage()]
    length = (b'content-length', b'%d' % len(body))
    request = h11.Request(
        method=method, target=target, headers=headers + [length]
    )
    return [request, h11.Data(data=body), h11.EndOfMessage()]


async def call(
    address: ids.Address,
    method: str,
    target: str,
    body: bytes = b'',
    timeout_s: float = 5.0,
    headers: http.Headers | None = None,
) -> http.Response:
    """Send one request on a new connection and read the whole response.

    :raises errors.CallFailed: with the verdict
    :raises ValueError: the response body is over ``MAX_BODY_BYTES``
    """
    connection = await connect(address, timeout_s)
    sent = [(b'host', address.encode('ascii'))] + (headers or [])
    try:
        async with curio.timeout_after(timeout_s):
            response = await exchange(connection, method, target, sent, body)
            whole = await http.read_all(response.body, MAX_BODY_BYTES)
    except curio.TaskTimeout as error:
        raise failure(connection, f'no answer in {timeout_s} s') from error
    finally:
        await http.close(connection.sock)
    return http.Response(response.status, response.headers, whole)
