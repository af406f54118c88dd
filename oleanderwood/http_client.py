"""Access to an HTTP/1.1 client over curio and h11.

Every failure is an :class:`oleanderwood.errors.CallFailed` with a verdict:
``NOT_RUN`` only where nothing was written to the connection.
"""

import collections.abc
import dataclasses
import socket
import typing

import curio
import h11

from oleanderwood import errors
from oleanderwood import http
from oleanderwood import ids
from oleanderwood import verdict as verdicts

SMALL_BODY_BYTES = 8 << 20
"""Largest answer that :func:`call` reads."""


@dataclasses.dataclass(eq=False)
class Connection:
    """A connection to one address; it carries one request at a time.

    :ivar written: whether any byte of the current request was written
    """

    address: ids.Address
    sock: typing.Any
    protocol: h11.Connection
    written: bool = False


async def connect(address: ids.Address, timeout_s: float) -> Connection:
    """Open a connection.

    :raises errors.CallFailed: ``NOT_RUN``
    """
    host, port = http.split_address(address)
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
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


def usable(connection: Connection) -> bool:
    """Say whether the connection may carry another request."""
    return connection.protocol.our_state is h11.IDLE


async def exchange(
    connection: Connection,
    method: str,
    target: str,
    headers: http.Headers,
    body: bytes | http.Chunks = b'',
) -> http.Response:
    """Send one request; the response's body is read as it arrives.

    The headers must carry ``host``, and ``content-length`` or
    ``transfer-encoding`` for a body that isn't ``bytes``. The caller bounds
    the time and closes the connection after any failure.

    :raises errors.CallFailed: with the verdict
    """
    connection.written = False
    try:
        await _send(connection, method, target, headers, body)
        event = await _head(connection)
    except (OSError, h11.ProtocolError) as error:
        raise errors.CallFailed(
            _verdict(connection), f'{connection.address}: {error!r}'
        ) from error
    return http.Response(
        event.status_code, list(event.headers), _body(connection)
    )


def _verdict(connection: Connection) -> verdicts.Verdict:
    if connection.written:
        return verdicts.Verdict.MAY_HAVE_RUN
    return verdicts.Verdict.NOT_RUN


async def _send(
    connection: Connection,
    method: str,
    target: str,
    headers: http.Headers,
    body: bytes | http.Chunks,
) -> None:
    whole = isinstance(body, bytes)
    if whole:
        headers = headers + [(b'content-length', b'%d' % len(body))]
    request = h11.Request(method=method, target=target, headers=headers)
    data = connection.protocol.send(request)
    connection.written = True
    await connection.sock.sendall(data)
    if whole:
        if body:
            event = h11.Data(data=body)
            await http.send(connection.sock, connection.protocol, event)
    else:
        async for piece in body:
            event = h11.Data(data=piece)
            await http.send(connection.sock, connection.protocol, event)
    end = h11.EndOfMessage()
    await http.send(connection.sock, connection.protocol, end)


async def _head(connection: Connection) -> h11.Response:
    while True:
        event = await http.next_event(connection.sock, connection.protocol)
        if isinstance(event, h11.Response):
            return event
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError('closed before the answer')


async def _body(
    connection: Connection,
) -> collections.abc.AsyncIterator[bytes]:
    protocol = connection.protocol
    try:
        while protocol.their_state is h11.SEND_BODY:
            event = await http.next_event(connection.sock, protocol)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError('answer was cut')
    except (OSError, h11.ProtocolError) as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN,
            f'{connection.address}: {error!r}',
        ) from error
    if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
        protocol.start_next_cycle()


async def call(
    address: ids.Address,
    method: str,
    target: str,
    body: bytes = b'',
    timeout_s: float = 5.0,
    headers: http.Headers | None = None,
) -> http.Response:
    """Make one small call on a connection of its own; the body is whole.

    :raises errors.CallFailed: with the verdict
    """
    connection = await connect(address, timeout_s)
    sent = [(b'host', address.encode('ascii'))] + (headers or [])
    try:
        async with curio.timeout_after(timeout_s):
            response = await exchange(connection, method, target, sent, body)
            whole = await http.read_all(response.body, SMALL_BODY_BYTES)
    except curio.TaskTimeout as error:
        raise errors.CallFailed(
            _verdict(connection), f'{address}: no answer in {timeout_s} s'
        ) from error
    finally:
        await http.close(connection.sock)
    return http.Response(response.status, response.headers, whole)
