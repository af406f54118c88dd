"""Helpers that send raw bytes to a server over loopback."""

import curio

from oleanderwood import errors
from oleanderwood.web import http
from oleanderwood.web import http_server

PATIENCE_S = 20.0
"""Timeout in seconds for expected input; generous for slow machines."""

NEXT = b'GET /next HTTP/1.1\r\nhost: a\r\n\r\n'
"""A valid request; hidden in a malformed one it must not be handled."""


async def describe_request(request):
    """Answer with the method, target and body size of the parsed request."""
    try:
        body = await http.read_all(request.body, 1000)
    except ValueError as error:
        raise errors.BadMessage(413, str(error)) from error
    seen = f'{request.method} {request.target} {len(body)};'
    return http.Response(200, [], seen.encode())


def with_server(use, handler=describe_request, **settings):
    """Run ``use(server)`` with a running server; return its result."""

    async def main():
        server = http_server.listen('127.0.0.1:0', handler)
        for name, value in settings.items():
            setattr(server, name, value)
        serving = await curio.spawn(http_server.run, server)
        try:
            return await use(server)
        finally:
            await serving.cancel()
            assert not server.connections

    return curio.run(main)


async def connect(server):
    return await curio.open_connection(*http.split_address(server.address))


async def read_to_end(sock):
    """Read until the server closes its output."""
    received = b''
    async with curio.timeout_after(PATIENCE_S):
        while piece := await sock.recv(65536):
            received += piece
    return received


async def read_until(sock, wanted):
    """Read until the input contains ``wanted``."""
    received = b''
    async with curio.timeout_after(PATIENCE_S):
        while wanted not in received:
            piece = await sock.recv(65536)
            assert piece, received
            received += piece
    return received


async def send_to_end(server, sent):
    """Send bytes and return all output of the server.

    The client keeps its side open until the server has closed its output.
    """
    async with await connect(server) as sock:
        await sock.sendall(sent)
        return await read_to_end(sock)


async def is_served(server):
    """Return whether a valid request is answered."""
    async with await connect(server) as sock:
        await sock.sendall(NEXT)
        return b'GET /next 0;' in await read_until(sock, b';')
