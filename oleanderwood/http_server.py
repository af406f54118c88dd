"""Access to an HTTP/1.1 server over curio and h11."""

import collections.abc
import dataclasses
import errno
import logging
import socket
import typing

import curio
import h11

from oleanderwood import errors
from oleanderwood import http
from oleanderwood import ids

LOG = logging.getLogger('http-server')

KEEP_ALIVE_S = 75.0
"""How long a connection may wait for its next request."""

BODY_IDLE_S = 30.0
"""How long a body or an answer may make no headway."""

BACKLOG = 1024

PASSING_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOBUFS)
)
"""Failures to accept that don't concern the listening socket."""

ACCEPT_PAUSE_S = 0.1
STOP_POLL_S = 0.05
"""How often a server that stops looks for connections in flight."""


@dataclasses.dataclass
class Server:
    """A listening server.

    :ivar address: the address it listens on, its port resolved
    :ivar open: connections, by what they do now
    """

    address: ids.Address
    sock: typing.Any
    handler: http.Handler
    stopping: bool = False
    accepting: curio.Task | None = None
    connections: set['Connection'] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(eq=False)
class Connection:
    """One accepted connection.

    :ivar busy: set from a request's head to the end of its answer
    """

    sock: typing.Any
    peer: str
    busy: bool = False
    task: curio.Task | None = None


def listen(address: ids.Address, handler: http.Handler) -> Server:
    """Bind and listen; :func:`run` accepts.

    :raises OSError: the address can't be bound
    """
    host, port = http.split_address(address)
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    bound_host, bound_port = sock.getsockname()
    return Server(ids.Address(f'{bound_host}:{bound_port}'), sock, handler)


async def run(server: Server) -> None:
    """Accept connections until :func:`stop`; return once none is left.

    Cancelled, it cuts all connections.
    """
    server.accepting = await curio.spawn(_accept, server)
    try:
        await server.accepting.wait()
        while server.connections:
            await curio.sleep(STOP_POLL_S)
    finally:
        await server.accepting.cancel()
        for connection in list(server.connections):
            await connection.task.cancel()


async def stop(server: Server, poll_s: float = STOP_POLL_S) -> None:
    """Stop in an orderly way: accept no more, finish what is in flight.

    Idle connections are closed; busy ones get ``Connection: close`` with
    their answer. Returns when none is left.
    """
    server.stopping = True
    if server.accepting is not None:
        await server.accepting.cancel()
    await http.close(server.sock)
    while server.connections:
        for connection in list(server.connections):
            if not connection.busy:
                _shut(connection)
        await curio.sleep(poll_s)


def _shut(connection: Connection) -> None:
    try:
        connection.sock._socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


async def _accept(server: Server) -> None:
    while not server.stopping:
        try:
            sock, peer = await server.sock.accept()
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                return
            LOG.warning('Accepting failed for now: %s', error)
            await curio.sleep(ACCEPT_PAUSE_S)
            continue
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        connection = Connection(sock, f'{peer[0]}:{peer[1]}')
        server.connections.add(connection)
        connection.task = await curio.spawn(
            _serve, server, connection, daemon=True
        )


async def _serve(server: Server, connection: Connection) -> None:
    try:
        await _requests(server, connection)
    except (OSError, curio.TaskTimeout, h11.ProtocolError) as error:
        LOG.debug('Connection of %s ended: %s', connection.peer, error)
    except errors.CallFailed as error:
        LOG.info('Answer to %s was cut: %s', connection.peer, error)
    except Exception:
        LOG.exception('Connection of %s failed.', connection.peer)
    finally:
        server.connections.discard(connection)
        await http.close(connection.sock)


async def _requests(server: Server, connection: Connection) -> None:
    protocol = h11.Connection(
        h11.SERVER, max_incomplete_event_size=http.MAX_HEAD_BYTES
    )
    while True:
        try:
            request = await _head(connection, protocol)
        except h11.RemoteProtocolError as error:
            await _refuse(connection, protocol, error)
            return
        if request is None:
            return
        connection.busy = True
        await _answer(server, connection, protocol, request)
        if not await _reusable(server, connection, protocol):
            return
        connection.busy = False


async def _head(
    connection: Connection, protocol: h11.Connection
) -> http.Request | None:
    async with curio.timeout_after(KEEP_ALIVE_S):
        event = await http.next_event(connection.sock, protocol)
    if not isinstance(event, h11.Request):
        return None
    return http.Request(
        method=event.method.decode('ascii'),
        target=event.target.decode('latin-1'),
        headers=list(event.headers),
        body=_body(connection, protocol),
        peer=connection.peer,
    )


async def _body(
    connection: Connection, protocol: h11.Connection
) -> collections.abc.AsyncIterator[bytes]:
    if protocol.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await http.send(connection.sock, protocol, go_on)
    while protocol.their_state is h11.SEND_BODY:
        async with curio.timeout_after(BODY_IDLE_S):
            event = await http.next_event(connection.sock, protocol)
        if isinstance(event, h11.Data):
            yield bytes(event.data)
        elif not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError('request body was cut')


async def _answer(
    server: Server,
    connection: Connection,
    protocol: h11.Connection,
    request: http.Request,
) -> None:
    try:
        response = await server.handler(request)
    except errors.BadMessage as error:
        response = http.Response(error.status, [], error.reason.encode())
    await write(connection.sock, protocol, response, server.stopping)


async def write(
    sock: typing.Any,
    protocol: h11.Connection,
    response: http.Response,
    closing: bool,
) -> None:
    """Send a response whole; a body that fails midway cuts the connection.

    :param closing: whether to announce that the connection ends
    """
    headers = list(response.headers)
    if closing:
        headers.append((b'connection', b'close'))
    if isinstance(response.body, bytes):
        headers.append((b'content-length', b'%d' % len(response.body)))
    head = h11.Response(status_code=response.status, headers=headers)
    async with curio.timeout_after(BODY_IDLE_S):
        await http.send(sock, protocol, head)
    async for piece in _pieces(response.body):
        async with curio.timeout_after(BODY_IDLE_S):
            await http.send(sock, protocol, h11.Data(data=piece))
    await http.send(sock, protocol, h11.EndOfMessage())


async def _pieces(
    body: bytes | http.Chunks,
) -> collections.abc.AsyncIterator[bytes]:
    if isinstance(body, bytes):
        if body:
            yield body
        return
    async for piece in body:
        yield piece


async def _reusable(
    server: Server, connection: Connection, protocol: h11.Connection
) -> bool:
    if server.stopping or protocol.our_state is not h11.DONE:
        return False
    if protocol.their_state is not h11.DONE:
        return False
    protocol.start_next_cycle()
    return True


async def _refuse(
    connection: Connection,
    protocol: h11.Connection,
    error: h11.RemoteProtocolError,
) -> None:
    if protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    status = error.error_status_hint
    response = http.Response(status, [], f'{error}\n'.encode())
    await write(connection.sock, protocol, response, True)
