"""The emulator's handlers, served over real sockets."""

import curio

from emulator import network as networks
from oleanderwood import ids
from oleanderwood.web import http
from oleanderwood.web import http_server

MAX_BODY_BYTES = 8 << 20


async def serve(
    network: networks.Network,
    listen: ids.Address,
    address: str,
    source: str,
) -> None:
    """Serve what the network has at an address, until cancelled.

    :param source: who is taken to call
    """

    async def handle(request: http.Request) -> http.Response:
        body = await http.read_all(request.body, MAX_BODY_BYTES)
        handler = network.handlers.get(address)
        if handler is None:
            raise ConnectionResetError(f'nobody listens at {address}')
        headers = {
            key.decode('latin-1').lower(): value.decode('latin-1')
            for key, value in request.headers
        }
        arguments = (source, request.method, request.target, body, headers)
        try:
            answer = await networks.carry_out(
                network, address, handler, arguments
            )
        except networks.Reset as error:
            raise ConnectionResetError(address) from error
        return http.Response(answer.status, [], answer.body)

    server = http_server.listen(listen, handle)
    try:
        await http_server.run(server)
    finally:
        await http.close(server.sock)


async def spawn(*arguments) -> None:
    """Serve in a task of its own."""
    await curio.spawn(serve, *arguments, daemon=True)
