"""One accepted connection: a request's body, and its answer."""

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
"""How long a body or an answer may make no headway."""

SLOWEST_BODY_BYTES_S = 1024
"""Average rate that a caller's body must keep up after ``BODY_IDLE_S``."""

LINGER_S = 1.0
"""How long unread input is discarded after a last answer.

A socket closed on unread input resets the connection, which may destroy
the answer on its way.
"""


@dataclasses.dataclass(eq=False)
class Connection:
    """One accepted connection.

    :ivar busy: set from a request's head to the end of its answer
    :ivar waits_since_s: monotonic time since when it waits for a request's
        head; infinite while it doesn't, or once it was ended
    :ivar read_limit_s: monotonic time by which the peer must send
    :ivar write_limit_s: monotonic time by which the peer must take bytes
    :ivar waited_s: seconds spent in waiting for the request's body
    :ivar body_bytes: size of the request's body so far
    :ivar cancelled: set once its task was cancelled
    """

    sock: typing.Any
    peer: str
    protocol: h11.Connection
    task: curio.Task | None = None
    busy: bool = False
    waits_since_s: float = math.inf
    read_limit_s: float = math.inf
    write_limit_s: float = math.inf
    waited_s: float = 0.0
    body_bytes: int = 0
    cancelled: bool = False


async def read_piece(connection: Connection) -> bytes:
    """Read the next piece of a request's body.

    :raises errors.BadMessage: the body is malformed or comes too slowly
    :raises OSError: the connection was cut
    """
    protocol = connection.protocol
    if protocol.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await http.send(connection.sock, protocol, go_on)
    while protocol.their_state is h11.SEND_BODY:
        try:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await _body_data(connection))
                continue
        except h11.RemoteProtocolError as error:
            raise _body_fault(connection, error) from error
        if isinstance(event, h11.Data) and event.data:
            connection.body_bytes += len(event.data)
            return bytes(event.data)
    return b''


def _body_fault(
    connection: Connection, error: h11.RemoteProtocolError
) -> Exception:
    if connection.protocol.trailing_data[1]:
        return ConnectionResetError('request body was cut')
    return http_head.fault(error, b'\n')


async def _body_data(connection: Connection) -> bytes:
    began_s = time.monotonic()
    connection.read_limit_s = began_s + BODY_IDLE_S
    data = await connection.sock.recv(http.READ_BYTES)
    connection.read_limit_s = math.inf
    connection.waited_s += time.monotonic() - began_s
    allowed_s = BODY_IDLE_S + connection.body_bytes / SLOWEST_BODY_BYTES_S
    if connection.waited_s > allowed_s:
        raise errors.BadMessage(408, 'the body comes too slowly')
    return data


async def write(
    connection: Connection,
    response: http.Response,
    closing: bool,
    bodiless: bool = False,
) -> None:
    """Send a response whole; a body that fails midway cuts the connection.

    :param closing: whether to announce that the connection ends
    :param bodiless: whether it answers a HEAD request
    """
    protocol = connection.protocol
    body = response.body
    headers = list(response.headers)
    if closing:
        headers.append((b'connection', b'close'))
    bodiless = bodiless or response.status in (204, 304)
    if isinstance(body, bytes) and not bodiless:
        headers.append((b'content-length', b'%d' % len(body)))
    head = h11.Response(status_code=response.status, headers=headers)
    data = protocol.send(head)
    if isinstance(body, bytes):
        if body and not bodiless:
            data += protocol.send(h11.Data(data=body))
    else:
        await _send(connection, data)
        await _send_pieces(connection, body)
        data = b''
    data += protocol.send(h11.EndOfMessage())
    await _send(connection, data)


async def _send_pieces(connection: Connection, body: http.Chunks) -> None:
    try:
        async for piece in body:
            event = h11.Data(data=piece)
            await _send(connection, connection.protocol.send(event))
    finally:
        if isinstance(body, collections.abc.AsyncGenerator):
            await body.aclose()


async def _send(connection: Connection, data: bytes) -> None:
    if not data:
        return
    connection.write_limit_s = time.monotonic() + BODY_IDLE_S
    await connection.sock.sendall(data)
    connection.write_limit_s = math.inf


async def linger(connection: Connection) -> None:
    """End the output, and discard input for a while."""
    with contextlib.suppress(OSError):
        await connection.sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(LINGER_S):
            while await connection.sock.recv(http.READ_BYTES):
                pass
