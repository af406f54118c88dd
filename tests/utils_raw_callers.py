"""Callers that write bytes of their own to a server, over loopback."""

import curio

from oleanderwood import errors
from oleanderwood.web import http
from oleanderwood.web import http_server

PATIENCE_S = 20.0
"""How long a caller waits for what must come; generous, no measurement."""

NEXT = b'GET /next HTTP/1.1\r\nhost: a\r\n\r\n'
"""What a faulty request may hide: nobody sent it as a request."""


async def tell(request):
    """Answer with what the request seems to be."""
    try:
        body = await http.read_all(request.body, 1000)
    except ValueError as error:
        raise errors.BadMessage(413, str(error)) from error
    seen = f'{request.method} {request.target} {len(body)};'
    return http.Response(200, [], seen.encode())


def with_server(use, handler=tell, **settings):
    """Run ``use(server)`` beside a server."""

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
    """Read until the server ends its output."""
    received = b''
    async with curio.timeout_after(PATIENCE_S):
        while piece := await sock.recv(65536):
            received += piece
    return received


async def read_until(sock, wanted):
    """Read until some bytes have come."""
    received = b''
    async with curio.timeout_after(PATIENCE_S):
        while wanted not in received:
            piece = await sock.recv(65536)
            assert piece, received
            received += piece
    return received


async def send_to_end(server, sent):
    """Send bytes, end the input only once the server has, give its answer."""
    async with await connect(server) as sock:
        await sock.sendall(sent)
        return await read_to_end(sock)


async def is_served(server):
    """Say whether a good caller is answered."""
    async with await connect(server) as sock:
        await sock.sendall(NEXT)
        return b'GET /next 0;' in await read_until(sock, b';')
