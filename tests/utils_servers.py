"""A server process in virtual time, for tests of what operators ask."""

import contextlib
import random

import curio
import msgspec

from emulator import network as networks
from emulator import servers
from emulator import store as stores
from emulator import virtual


STORE_ADDRESS = servers.STORE_ADDRESS


class World:
    """A store, the network, and servers that were started."""

    def __init__(self) -> None:
        self.network = networks.Network(random.Random(1))
        self.store = stores.Store()
        self.processes: list[servers.Process] = []


def run(main, configuration: bytes = b''):
    """Run ``main(world)`` in virtual time beside an emulated store."""

    async def play():
        world = World()
        network = world.network
        network.handlers[servers.STORE_ADDRESS] = stores.make_handler(
            world.store
        )
        with networks.installed(network):
            await curio.spawn(stores.run_leases, world.store, daemon=True)
            if configuration:
                await stores.put(world.store, 'op/config', configuration)
            return await main(world)

    return virtual.run(play)


async def start(world: World, name: str = 's1') -> servers.Process:
    """Start a server."""
    number = len(world.processes) + 1
    process = servers.Process(name, f'10.0.0.{number}:1', f'10.0.0.{number}:2')
    world.processes.append(process)
    await servers.start(world.network, process)
    return process


async def call(world: World, process, method, target, body=b'', token=''):
    """Ask a server's inner address; gives status and body."""
    headers = {'authorization': f'Bearer {token}'} if token else {}
    handler = world.network.handlers[process.address]
    answer = await handler('test', method, target, body, headers)
    return answer.status, answer.body


@contextlib.contextmanager
def tokens(monkeypatch, token: str):
    """Let all servers have a token for applies."""
    real = servers.settings_of

    def settings_of(process):
        return msgspec.structs.replace(real(process), admin_token=token)

    monkeypatch.setattr(servers, 'settings_of', settings_of)
    yield


WAVE = b'{"wave":1,"machines":["m1"],"duration_s":20,"max_count":1}'
"""A wave of one machine, as the operator writes it."""


async def kill(world: World, process: servers.Process) -> None:
    """End a server's life without a last word."""
    await servers.kill(world.network, process)
