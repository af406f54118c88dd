"""HTTP/1.1 over curio and h11: parts shared by client and server."""

import collections.abc
import dataclasses
import typing

import curio
import h11

from oleanderwood import ids

READ_BYTES = 65536
"""Maximum number of bytes read at once, which bounds what is buffered."""

MAX_HEAD_BYTES = 65536
"""Size limit of a request or response head."""

Headers = list[tuple[bytes, bytes]]
Chunks = collections.abc.AsyncIterator[bytes]


@dataclasses.dataclass
class Body:
    """A streamed body, which can be iterated once.

    It is not an asynchronous generator: a partly read generator would need
    clean-up by the garbage collector, which curio can't await.

    :ivar read: returns the next chunk, b'' at the end
    """

    read: collections.abc.Callable[[], collections.abc.Awaitable[bytes]]

    def __aiter__(self) -> 'Body':
        return self

    async def __anext__(self) -> bytes:
        chunk = await self.read()
        if not chunk:
            raise StopAsyncIteration
        return chunk


@dataclasses.dataclass
class Response:
    """A response's head, and its body in memory or streamed."""

    status: int
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes | Chunks = b''

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return find(self.headers, name)


Respond = collections.abc.Callable[[Response], collections.abc.Awaitable[None]]


async def _cannot_respond(response: Response) -> None:
    raise RuntimeError('request was not received by a server')


@dataclasses.dataclass
class Request:
    """A request's head and its streamed body.

    Header names are lower case, as h11 returns them.

    :ivar awaits_continue: whether the caller sends the body only after a 100
        response, which is sent when the body is first read
    :ivar respond: sends the answer before the handler returns; a handler that
        calls it returns None
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
        """Return the first value of a header, or None."""
        return find(self.headers, name)


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Response | None]
]


def find(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None."""
    wanted = name.lower().encode('ascii')
    for key, value in headers:
        if key.lower() == wanted:
            return value.decode('latin-1')
    return None


def find_all(headers: Headers, name: str) -> list[bytes]:
    """Return all values of a header, in order."""
    wanted = name.lower().encode('ascii')
    return [value for key, value in headers if key.lower() == wanted]


def split_address(address: ids.Address) -> tuple[str, int]:
    """Split an address into its IP address and port."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


async def read_all(body: Chunks, limit_bytes: int) -> bytes:
    """Read a whole body.

    :raises ValueError: the body is longer than ``limit_bytes``
    """
    chunks = []
    size_bytes = 0
    async for chunk in body:
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise ValueError(f'body is over {limit_bytes} bytes')
        chunks.append(chunk)
    return b''.join(chunks)


async def next_event(
    sock: typing.Any, connection: h11.Connection
) -> typing.Any:
    """Read from the socket until h11 returns an event or ``PAUSED``."""
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
    """Close a socket, ignoring errors."""
    try:
        await sock.close()
    except (OSError, curio.CurioError):
        return
