"""The product's own server processes, run in the emulator unchanged."""

import dataclasses

import curio

from emulator import network as networks
from emulator import virtual
from oleanderwood import boot
from oleanderwood.frontend import handler as handlers
from oleanderwood import ids
from oleanderwood.leading import election
from oleanderwood.leading import state as states
from oleanderwood.platform import transport
from oleanderwood import server as servers
from oleanderwood.web import http

STORE_ADDRESS = ids.Address('10.9.0.1:1')
MACHINES_ADDRESS = ids.Address('10.9.0.2:1')
ADVICE_ADDRESS = ids.Address('10.9.0.3:1')


@dataclasses.dataclass(eq=False)
class Process:
    """One server machine.

    :ivar state: of its present life; None while it is down
    :ivar advised: it knows of the advice service
    """

    name: str
    address: ids.Address
    callers: str
    state: states.Server | None = None
    lives: int = 0
    advised: bool = False


def settings_of(process: Process) -> boot.Settings:
    """Give a server's settings."""
    host = process.address.partition(':')[0]
    return boot.Settings(
        name=process.name,
        ip=host,
        data_centre=ids.DataCentre('zone-a'),
        callers_listen=ids.Address(process.callers),
        ready_listen=ids.Address(f'{host}:3'),
        inner_port=1,
        store_address=STORE_ADDRESS,
        machines_address=MACHINES_ADDRESS,
        advice_address=ADVICE_ADDRESS if process.advised else None,
    )


def _adapted(handler: http.Handler):
    async def handle(source, method, target, body, headers):
        pieces = [body] if body else []

        async def read() -> bytes:
            return pieces.pop() if pieces else b''

        rows = [
            (key.encode(), value.encode()) for key, value in headers.items()
        ]
        request = http.Request(method, target, rows, http.Body(read))
        response = await handler(request)
        return transport.Answer(response.status, response.body)

    return handle


async def start(network: networks.Network, process: Process) -> None:
    """Begin a new life of a server."""
    if process.state is not None:
        # Two troubles overlap; a server has one life at a time.
        await kill(network, process)
    process.lives += 1
    network.dead.discard(process.name)
    network.homes[process.address] = process.name
    network.homes[process.callers] = process.name
    server = servers.make_server(settings_of(process))
    # A drawn id would make runs differ.
    server.process = f'{process.name}/{process.lives}'
    process.state = server
    frontend = servers.make_frontend(server)
    network.handlers[process.address] = _adapted(
        servers.make_inner_handler(server, frontend)
    )
    network.handlers[process.callers] = _adapted(
        handlers.make_handler(frontend)
    )
    await virtual.start_process(process.name, _live, server, frontend)


async def _live(server: states.Server, frontend: handlers.Frontend) -> None:
    for part in servers.make_parts(server, frontend):
        await curio.spawn(part, daemon=True)
    await election.run_always(server)


async def kill(network: networks.Network, process: Process) -> None:
    """End a server's life without a last word."""
    network.dead.add(process.name)
    network.handlers.pop(process.address, None)
    network.handlers.pop(process.callers, None)
    process.state = None
    await virtual.kill_process(process.name)


async def stop(
    network: networks.Network, process: Process, after_s: float
) -> None:
    """Stop a server as a signal does, then end its life."""
    if process.state is not None:
        process.state.stopping = True
    await curio.sleep(after_s)
    await kill(network, process)


def leads(process: Process) -> bool:
    """Say whether a server takes itself for the leader."""
    return process.state is not None and process.state.leader is not None
