"""HTTP/1.1 over curio and h11: what both sides share."""

import collections.abc
import dataclasses
import typing

import curio
import h11

from oleanderwood import ids

READ_BYTES = 65536
"""Largest piece read from a socket, and so the bound of what is held."""

MAX_HEAD_BYTES = 65536
"""Largest request or response head that is accepted."""

Headers = list[tuple[bytes, bytes]]
Chunks = collections.abc.AsyncIterator[bytes]


@dataclasses.dataclass
class Body:
    """A body as it arrives, to be iterated once.

    An iterator that is no generator: one that is left half read needs no
    clean-up by the garbage collector, which curio can't await.

    :ivar read: gives the next piece, b'' at the end
    """

    read: collections.abc.Callable[[], collections.abc.Awaitable[bytes]]

    def __aiter__(self) -> 'Body':
        return self

    async def __anext__(self) -> bytes:
        piece = await self.read()
        if not piece:
            raise StopAsyncIteration
        return piece


@dataclasses.dataclass
class Response:
    """A response's head, and its body whole or as it arrives."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes | Chunks = b''

    def header(self, name: str) -> str | None:
        """Give the first value of a header, None if there is none."""
        return find(self.headers, name)


Respond = collections.abc.Callable[[Response], collections.abc.Awaitable[None]]


async def _cannot_respond(response: Response) -> None:
    raise RuntimeError('this request did not come from a server')


@dataclasses.dataclass
class Request:
    """A request's head, and its body as it arrives.

    Header names are lower case, as h11 gives them.

    :ivar awaits_continue: the caller sends the body once it is read from
    :ivar respond: sends the answer before the handler returns; a handler
        that used it returns None
    """

    method: str
    target: str
    headers: Headers
    body: Chunks
    peer: str = ''
    http_version: str = '1.1'
    awaits_continue: bool = False
    respond: Respond = _cannot_respond

    def header(self, name: str) -> str | None:
        """Give the first value of a header, None if there is none."""
        return find(self.headers, name)


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Response | None]
]


def find(headers: Headers, name: str) -> str | None:
    """Give the first value of a header, None if there is none."""
    wanted = name.lower().encode('ascii')
    for key, value in headers:
        if key.lower() == wanted:
            return value.decode('latin-1')
    return None


def find_all(headers: Headers, name: str) -> list[bytes]:
    """Give all values of a header, in order."""
    wanted = name.lower().encode('ascii')
    return [value for key, value in headers if key.lower() == wanted]


def split_address(address: ids.Address) -> tuple[str, int]:
    """Take an address apart into IP number and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


async def read_all(body: Chunks, limit_bytes: int) -> bytes:
    """Read a body whole.

    :raises ValueError: it is longer than ``limit_bytes``
    """
    pieces = []
    size_bytes = 0
    async for piece in body:
        size_bytes += len(piece)
        if size_bytes > limit_bytes:
            raise ValueError(f'body is over {limit_bytes} bytes')
        pieces.append(piece)
    return b''.join(pieces)


async def next_event(
    sock: typing.Any, connection: h11.Connection
) -> typing.Any:
    """Read from the socket until h11 has an event or wants a pause."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        data = await sock.recv(READ_BYTES)
        connection.receive_data(data)


async def send(
    sock: typing.Any, connection: h11.Connection, event: typing.Any
) -> None:
    """Send one h11 event."""
    data = connection.send(event)
    if data:
        await sock.sendall(data)


async def close(sock: typing.Any) -> None:
    """Close a socket; a failure to do so is of no interest."""
    try:
        await sock.close()
    except (OSError, curio.CurioError):
        return
