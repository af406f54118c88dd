"""An HTTP/1.1 server over curio and h11."""

import contextlib
import dataclasses
import logging
import math
import socket
import time
import typing

import curio
import h11

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.web import http
from oleanderwood.web import http_accepted
from oleanderwood.web import http_head
from oleanderwood.web import http_watch

LOG = logging.getLogger('http-server')

KEEP_ALIVE_S = 75.0
"""How long a connection may wait for its next request."""

HEAD_S = 10.0
"""How long a request's head may take from its first byte."""

CUT_ANSWER_S = 0.2
"""Longest time for the answer to a request that a stopping server gives up;
the peer may read nothing."""

BACKLOG = 1024
_POLL_S = 0.05
MAX_CONNECTIONS = 4096


@dataclasses.dataclass(eq=False)
class Server:
    """A listening server.

    :ivar address: the address it listens on, its port resolved
    :ivar refusal_headers: sent with refusals of malformed requests
    :ivar closing: answers announce that their connection ends
    :ivar stopping: nothing new is accepted
    :ivar cut_answer: what a request gets that is still being handled when
        the server is cancelled; None: its connection is cut
    """

    address: ids.Address
    sock: typing.Any
    handler: http.Handler
    max_connections: int = MAX_CONNECTIONS
    refusal_headers: http.Headers = dataclasses.field(default_factory=list)
    closing: bool = False
    stopping: bool = False
    cut_answer: http.Response | None = None
    accepting: curio.Task | None = None
    connections: set[http_accepted.Connection] = dataclasses.field(
        default_factory=set
    )


def listen(
    address: ids.Address,
    handler: http.Handler,
    max_connections: int = MAX_CONNECTIONS,
) -> Server:
    """Bind and listen; :func:`run` accepts.

    :raises OSError: the address can't be bound
    """
    host, port = http.split_address(address)
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    bound_host, bound_port = sock.getsockname()
    bound = ids.Address(f'{bound_host}:{bound_port}')
    return Server(bound, sock, handler, max_connections)


async def run(server: Server) -> None:
    """Accept connections until :func:`stop`; cut them when cancelled."""
    watching = await curio.spawn(http_watch.run, server)
    server.accepting = await curio.spawn(_accept, server)
    try:
        await server.accepting.wait()
        while server.connections:
            await curio.sleep(_POLL_S)
    finally:
        await server.accepting.cancel()
        await watching.cancel()
        cut = [connection.task for connection in server.connections]
        for task in cut:
            await task.cancel(blocking=False)
        for task in cut:
            await task.cancel()


def retire(server: Server) -> None:
    """Go on serving, but announce with each answer that it is the last."""
    server.closing = True


async def stop(server: Server) -> None:
    """Stop in an orderly way: accept no more, finish what is in flight.

    Idle connections are closed; busy ones get ``Connection: close`` with
    their answer. Returns when none is left.
    """
    server.closing = True
    server.stopping = True
    if server.accepting is not None:
        await server.accepting.cancel()
    await http.close(server.sock)
    while server.connections:
        for connection in list(server.connections):
            if not connection.busy:
                await http_watch.end_input(connection)
        await curio.sleep(_POLL_S)


async def _accept(server: Server) -> None:
    while True:
        while len(server.connections) >= server.max_connections:
            await http_watch.make_room(server)
            await curio.sleep(_POLL_S)
        try:
            sock, peer = await server.sock.accept()
        except OSError as error:
            # Also for a socket that was shut: it may listen again.
            LOG.debug('Accepting failed: %s.', error)
            await curio.sleep(http_watch.TICK_S)
            continue
        await _spawn(server, sock, f'{peer[0]}:{peer[1]}')


async def _spawn(server: Server, sock: typing.Any, peer: str) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
    protocol = h11.Connection(
        h11.SERVER, max_incomplete_event_size=http.MAX_HEAD_BYTES
    )
    connection = http_accepted.Connection(sock, peer, protocol)
    server.connections.add(connection)
    connection.task = await curio.spawn(
        _serve, server, connection, daemon=True
    )


async def _serve(server: Server, connection: http_accepted.Connection) -> None:
    try:
        await _requests(server, connection)
    except (OSError, h11.ProtocolError, errors.CallFailed) as error:
        LOG.debug('Connection of %s ended: %s', connection.peer, error)
    except curio.CancelledError:
        LOG.debug('Connection of %s was cut.', connection.peer)
    except Exception:
        LOG.exception('Connection of %s was cut by a fault.', connection.peer)
    finally:
        server.connections.discard(connection)
        await http.close(connection.sock)


async def _requests(
    server: Server, connection: http_accepted.Connection
) -> None:
    while True:
        try:
            request = await _head(server, connection)
        except errors.BadMessage as error:
            await _refuse(server, connection, error)
            return
        if request is None:
            return
        await _answer(server, connection, request)
        if not _reusable(server, connection):
            await http_accepted.linger(connection)
            return
        connection.busy = False


async def _head(
    server: Server, connection: http_accepted.Connection
) -> http.Request | None:
    """Read a request's head; None when the connection ended.

    :raises errors.BadMessage: it is malformed, or too large
    """
    protocol = connection.protocol
    now_s = time.monotonic()
    connection.waits_since_s = now_s
    started = bool(protocol.trailing_data[0])
    connection.read_limit_s = now_s + (HEAD_S if started else KEEP_ALIVE_S)
    while True:
        raw = protocol.trailing_data[0]
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise http_head.fault(error, raw) from error
        if event is not h11.NEED_DATA:
            break
        data = await connection.sock.recv(http.READ_BYTES)
        if not started:
            started = True
            connection.read_limit_s = time.monotonic() + HEAD_S
        protocol.receive_data(data)
    if not isinstance(event, h11.Request):
        return None
    http_head.check(raw[: len(raw) - len(protocol.trailing_data[0])], event)
    connection.busy = True
    connection.waits_since_s = math.inf
    connection.read_limit_s = math.inf
    connection.waited_s = 0.0
    connection.body_bytes = 0
    # h11's own sequence is slow to go through again and again.
    headers = list(event.headers)
    if not _announces_body(headers):
        protocol.next_event()
    return _request(server, connection, event, headers)


def _announces_body(headers: http.Headers) -> bool:
    return any(
        name == b'transfer-encoding'
        or (name == b'content-length' and value != b'0')
        for name, value in headers
    )


def _request(
    server: Server,
    connection: http_accepted.Connection,
    event: h11.Request,
    headers: http.Headers,
) -> http.Request:
    async def read() -> bytes:
        return await http_accepted.read_piece(connection)

    async def respond(response: http.Response) -> None:
        await _respond(server, connection, event.method, response)

    return http.Request(
        method=event.method.decode('ascii'),
        target=event.target.decode('latin-1'),
        headers=headers,
        body=http.Body(read),
        peer=connection.peer,
        http_version=event.http_version.decode('ascii'),
        awaits_continue=(
            connection.protocol.they_are_waiting_for_100_continue
        ),
        respond=respond,
    )


async def _answer(
    server: Server, connection: http_accepted.Connection, request: http.Request
) -> None:
    try:
        response = await server.handler(request)
        if response is not None:
            await request.respond(response)
    except errors.BadMessage as error:
        if connection.protocol.our_state is not h11.SEND_RESPONSE:
            raise
        body = error.reason.encode() + b'\n'
        await request.respond(http.Response(error.status, [], body))
    except curio.CancelledError:
        await _answer_cut(server, connection, request)
        raise
    except (OSError, h11.ProtocolError, errors.CallFailed):
        raise
    except Exception:
        if connection.protocol.our_state is not h11.SEND_RESPONSE:
            raise
        LOG.exception('The handler failed; the answer is 500.')
        await request.respond(http.Response(500, [], b'internal fault\n'))


async def _answer_cut(
    server: Server, connection: http_accepted.Connection, request: http.Request
) -> None:
    """Answer a request that is cut, if nothing of an answer was sent."""
    if server.cut_answer is None:
        return
    if connection.protocol.our_state is not h11.SEND_RESPONSE:
        return
    with contextlib.suppress(OSError, h11.ProtocolError):
        async with curio.ignore_after(CUT_ANSWER_S):
            await request.respond(server.cut_answer)


async def _respond(
    server: Server,
    connection: http_accepted.Connection,
    method: bytes,
    response: http.Response,
) -> None:
    closing = server.closing or _unread(connection.protocol)
    await http_accepted.write(connection, response, closing, method == b'HEAD')


def _unread(protocol: h11.Connection) -> bool:
    return protocol.their_state not in (
        h11.DONE,
        h11.MUST_CLOSE,
        h11.MIGHT_SWITCH_PROTOCOL,
    )


def _reusable(server: Server, connection: http_accepted.Connection) -> bool:
    protocol = connection.protocol
    if server.closing or protocol.our_state is not h11.DONE:
        return False
    if protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True


async def _refuse(
    server: Server,
    connection: http_accepted.Connection,
    error: errors.BadMessage,
) -> None:
    if connection.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    body = error.reason.encode() + b'\n'
    response = http.Response(error.status, server.refusal_headers, body)
    await http_accepted.write(connection, response, True)
    await http_accepted.linger(connection)
