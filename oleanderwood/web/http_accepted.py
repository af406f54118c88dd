"""One accepted connection: read request bodies and write answers."""

import collections.abc
import contextlib
import dataclasses
import math
import socket
import time
import typing

import curio
import h11

from oleanderwood import errors
from oleanderwood.web import http
from oleanderwood.web import http_head

BODY_IDLE_S = 30.0
"""Longest time in seconds without progress of a body or an answer."""

MIN_BODY_BYTES_PER_S = 1024
"""Minimum average rate of a request body after the first ``BODY_IDLE_S``."""

LINGER_S = 1.0
"""How long, in seconds, input is discarded after the last answer.

Closing a socket with unread input resets the connection, which may destroy
the answer in transit.
"""


@dataclasses.dataclass(eq=False)
class Connection:
    """One accepted connection.

    :ivar busy: true from a request's head to the end of its answer
    :ivar waiting_since_s: monotonic time at which it began to wait for a
        request's head; infinite if it isn't waiting or its input was ended
    :ivar read_deadline_s: monotonic deadline for the peer to send data
    :ivar write_deadline_s: monotonic deadline for the peer to accept data
    :ivar body_wait_s: seconds spent waiting for the request's body
    :ivar body_bytes: bytes of the request's body received so far
    :ivar cancelled: whether its task was cancelled
    """

    sock: typing.Any
    peer: str
    protocol: h11.Connection
    task: curio.Task | None = None
    busy: bool = False
    waiting_since_s: float = math.inf
    read_deadline_s: float = math.inf
    write_deadline_s: float = math.inf
    body_wait_s: float = 0.0
    body_bytes: int = 0
    cancelled: bool = False


async def read_chunk(connection: Connection) -> bytes:
    """Read the next chunk of a request's body.

    :raises errors.BadMessage: the body is malformed or arrives too slowly
    :raises OSError: the connection was closed or reset
    """
    protocol = connection.protocol
    if protocol.they_are_waiting_for_100_continue:
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        await http.send(connection.sock, protocol, continue_response)
    while protocol.their_state is h11.SEND_BODY:
        try:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await _receive_body_data(connection))
                continue
        except h11.RemoteProtocolError as error:
            raise _body_error(connection, error) from error
        if isinstance(event, h11.Data) and event.data:
            connection.body_bytes += len(event.data)
            return bytes(event.data)
    return b''


def _body_error(
    connection: Connection, error: h11.RemoteProtocolError
) -> Exception:
    # The second item tells whether the input has ended.
    if connection.protocol.trailing_data[1]:
        return ConnectionResetError(
            'connection closed during the request body'
        )
    # The head is complete: pass a line end, so that the target isn't blamed.
    return http_head.to_bad_message(error, b'\n')


async def _receive_body_data(connection: Connection) -> bytes:
    began_s = time.monotonic()
    connection.read_deadline_s = began_s + BODY_IDLE_S
    data = await connection.sock.recv(http.READ_BYTES)
    connection.read_deadline_s = math.inf
    connection.body_wait_s += time.monotonic() - began_s
    allowed_s = BODY_IDLE_S + connection.body_bytes / MIN_BODY_BYTES_PER_S
    if connection.body_wait_s > allowed_s:
        raise errors.BadMessage(408, 'the body comes too slowly')
    return data


async def write(
    connection: Connection,
    response: http.Response,
    closing: bool,
    without_body: bool = False,
) -> None:
    """Send a whole response.

    An error while a streamed body is sent propagates and so closes the
    connection.

    :param closing: whether to announce that the connection will be closed
    :param without_body: whether the response answers a HEAD request
    """
    protocol = connection.protocol
    body = response.body
    headers = list(response.headers)
    if closing:
        headers.append((b'connection', b'close'))
    without_body = without_body or response.status in (204, 304)
    if isinstance(body, bytes) and not without_body:
        headers.append((b'content-length', b'%d' % len(body)))
    head = h11.Response(status_code=response.status, headers=headers)
    data = protocol.send(head)
    if isinstance(body, bytes):
        if body and not without_body:
            data += protocol.send(h11.Data(data=body))
    else:
        await _send(connection, data)
        await _send_chunks(connection, body)
        data = b''
    data += protocol.send(h11.EndOfMessage())
    await _send(connection, data)


async def _send_chunks(connection: Connection, body: http.Chunks) -> None:
    try:
        async for chunk in body:
            event = h11.Data(data=chunk)
            await _send(connection, connection.protocol.send(event))
    finally:
        if isinstance(body, collections.abc.AsyncGenerator):
            await body.aclose()


async def _send(connection: Connection, data: bytes) -> None:
    if not data:
        return
    connection.write_deadline_s = time.monotonic() + BODY_IDLE_S
    await connection.sock.sendall(data)
    connection.write_deadline_s = math.inf


async def linger(connection: Connection) -> None:
    """Shut down the output, then discard input for up to ``LINGER_S``."""
    with contextlib.suppress(OSError):
        await connection.sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(LINGER_S):
            while await connection.sock.recv(http.READ_BYTES):
                pass
