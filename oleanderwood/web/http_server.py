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
"""Longest time in seconds that a connection may wait for its next request."""

HEAD_S = 10.0
"""Longest time in seconds from the first byte of a head to its end."""

CANCELLED_ANSWER_TIMEOUT_S = 0.2
"""Longest time in seconds to answer a request that is cancelled as the server
stops; the peer may not be reading."""

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""

_POLL_S = 0.05
"""Interval in seconds between two checks of the open connections."""

MAX_CONNECTIONS = 4096
"""Default limit of open connections."""


@dataclasses.dataclass(eq=False)
class Server:
    """A listening server.

    :ivar address: the address it listens on, with the port that was bound
    :ivar refusal_headers: headers of the answers to malformed requests
    :ivar closing: whether answers announce that their connection will close
    :ivar stopping: whether new connections are no longer accepted
    :ivar cut_answer: answer to requests that are still being handled when the
        server is cancelled; None closes their connections unanswered
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
    """Bind and listen; :func:`run` accepts connections.

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
    """Serve until :func:`stop` and until the last connection has ended.

    If this is cancelled, it cancels the connections.
    """
    monitor_task = await curio.spawn(http_watch.run, server)
    server.accepting = await curio.spawn(_accept, server)
    try:
        await server.accepting.wait()
        while server.connections:
            await curio.sleep(_POLL_S)
    finally:
        await server.accepting.cancel()
        await monitor_task.cancel()
        tasks = [connection.task for connection in server.connections]
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.cancel()


def retire(server: Server) -> None:
    """Keep serving, but announce in each answer that its connection closes."""
    server.closing = True


async def stop(server: Server) -> None:
    """Stop gracefully: accept no connections, finish requests in progress.

    Idle connections are closed; busy ones get ``Connection: close`` with
    their answer. This returns when no connection is left.
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
            await http_watch.evict_idle(server)
            await curio.sleep(_POLL_S)
        try:
            sock, peer = await server.sock.accept()
        except OSError as error:
            # Retry even if the socket was shut down: it may listen again.
            LOG.debug('Accept failed: %s.', error)
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
        await _serve_requests(server, connection)
    except (OSError, h11.ProtocolError, errors.CallFailed) as error:
        LOG.debug('Connection from %s closed: %s', connection.peer, error)
    except curio.CancelledError:
        LOG.debug('Connection from %s was cancelled.', connection.peer)
    except Exception:
        LOG.exception(
            'Connection from %s closed by an unexpected error.',
            connection.peer,
        )
    finally:
        server.connections.discard(connection)
        await http.close(connection.sock)


async def _serve_requests(
    server: Server, connection: http_accepted.Connection
) -> None:
    while True:
        try:
            request = await _read_head(server, connection)
        except errors.BadMessage as error:
            await _refuse(server, connection, error)
            return
        if request is None:
            return
        await _handle(server, connection, request)
        if not _prepare_reuse(server, connection):
            await http_accepted.linger(connection)
            return
        connection.busy = False


async def _read_head(
    server: Server, connection: http_accepted.Connection
) -> http.Request | None:
    """Read a request's head; return None if the connection ended.

    :raises errors.BadMessage: the head is malformed or too large
    """
    protocol = connection.protocol
    now_s = time.monotonic()
    connection.waiting_since_s = now_s
    started = bool(protocol.trailing_data[0])
    connection.read_deadline_s = now_s + (HEAD_S if started else KEEP_ALIVE_S)
    while True:
        raw = protocol.trailing_data[0]
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise http_head.to_bad_message(error, raw) from error
        if event is not h11.NEED_DATA:
            break
        data = await connection.sock.recv(http.READ_BYTES)
        if not started:
            started = True
            connection.read_deadline_s = time.monotonic() + HEAD_S
        protocol.receive_data(data)
    if not isinstance(event, h11.Request):
        return None
    http_head.check(raw[: len(raw) - len(protocol.trailing_data[0])], event)
    connection.busy = True
    connection.waiting_since_s = math.inf
    connection.read_deadline_s = math.inf
    connection.body_wait_s = 0.0
    connection.body_bytes = 0
    # h11's header sequence is slow to iterate repeatedly.
    headers = list(event.headers)
    if not _announces_body(headers):
        # Consume the end of the message, since no body will be read.
        protocol.next_event()
    return _make_request(server, connection, event, headers)


def _announces_body(headers: http.Headers) -> bool:
    return any(
        name == b'transfer-encoding'
        or (name == b'content-length' and value != b'0')
        for name, value in headers
    )


def _make_request(
    server: Server,
    connection: http_accepted.Connection,
    event: h11.Request,
    headers: http.Headers,
) -> http.Request:
    async def read() -> bytes:
        return await http_accepted.read_chunk(connection)

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


async def _handle(
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
        await _answer_cancelled(server, connection, request)
        raise
    except (OSError, h11.ProtocolError, errors.CallFailed):
        raise
    except Exception:
        if connection.protocol.our_state is not h11.SEND_RESPONSE:
            raise
        LOG.exception('Request handler failed; answering with status 500.')
        await request.respond(http.Response(500, [], b'internal fault\n'))


async def _answer_cancelled(
    server: Server, connection: http_accepted.Connection, request: http.Request
) -> None:
    """Answer a cancelled request if no part of an answer was sent."""
    if server.cut_answer is None:
        return
    if connection.protocol.our_state is not h11.SEND_RESPONSE:
        return
    with contextlib.suppress(OSError, h11.ProtocolError):
        async with curio.ignore_after(CANCELLED_ANSWER_TIMEOUT_S):
            await request.respond(server.cut_answer)


async def _respond(
    server: Server,
    connection: http_accepted.Connection,
    method: bytes,
    response: http.Response,
) -> None:
    closing = server.closing or _has_unread_input(connection.protocol)
    await http_accepted.write(connection, response, closing, method == b'HEAD')


def _has_unread_input(protocol: h11.Connection) -> bool:
    return protocol.their_state not in (
        h11.DONE,
        h11.MUST_CLOSE,
        h11.MIGHT_SWITCH_PROTOCOL,
    )


def _prepare_reuse(
    server: Server, connection: http_accepted.Connection
) -> bool:
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
