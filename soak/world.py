"""A deployment on loopback: real servers beside the emulated platform."""

import contextlib
import dataclasses
import pathlib
import random
import secrets
import socket

import curio

from emulator import callers as callers_
from emulator import day
from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import network as networks
from emulator import scenes
from emulator import store as stores
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.platform import contracts
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts
from soak import processes
from soak import proxy as proxies
from soak import sockets
from soak import strikes


FIRST_PORT = 10_000
PORT_TRIPLES = 7_000
"""Ports below those that the system gives to outgoing connections."""

GUARD_HOST = '127.10.0.1'


@dataclasses.dataclass
class Cut:
    """A caller's call that a server took and didn't answer whole."""

    server: str
    why: str


@dataclasses.dataclass
class World:
    """All that runs.

    :ivar guard: keeps the world's ports from others while it is open
    :ivar cuts: calls that ended while their server stopped as planned
    """

    plan: day.Plan
    field: strikes.Field
    fleet: fleets.Fleet
    callers: callers_.Callers
    guard: socket.socket
    cuts: list[Cut] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Addresses:
    """IP numbers of loopback: each thing has its own, so one port does.

    :ivar port: no other soak's; two more behind it are used as well
    """

    port: int

    def at(self, block: int, number: int) -> ids.Address:
        """Give the address of one of a kind."""
        return ids.Address(f'127.{block}.0.{number}:{self.port}')


def reserve_port() -> socket.socket:
    """Reserve a port and the two behind it, so that two soaks don't meet.

    :return: socket bound to that port at an address that only guards use; the
        port is free again once it is closed
    """
    while True:
        guard = socket.socket()
        port = FIRST_PORT + 3 * secrets.randbelow(PORT_TRIPLES)
        try:
            guard.bind((GUARD_HOST, port))
        except OSError:
            guard.close()
        else:
            return guard


async def build(plan: day.Plan, folder: pathlib.Path) -> World:
    """Build a deployment and start its servers."""
    rng = random.Random(plan.seed)
    network = networks.Network(random.Random(plan.seed + 1))
    store = stores.Store()
    world = executors.World(evidences.Evidence(), store, rng)
    fleet = fleets.Fleet(world, network)
    network.handlers['store'] = stores.make_handler(store)
    network.handlers['machines'] = fleets.make_handler(fleet)
    await curio.spawn(stores.run_leases, store, daemon=True)
    tenancy = await day.configure(plan, store)
    guard = reserve_port()
    addresses = Addresses(guard.getsockname()[1])
    await day.build_fleet(fleet, plan, lambda n: addresses.at(21, n))
    fleets.let_tasks_crash(fleet, random.Random(plan.seed + 5))
    servers = [
        _process(folder, addresses, number + 1)
        for number in range(plan.server_count)
    ]
    field = strikes.Field(
        scenes.Scene(
            network,
            store,
            fleet,
            [],
            random.Random(plan.seed),
            tenancy=tenancy,
            machines_address='machines',
        ),
        servers,
        {},
        {},
        {},
        random.Random(plan.seed + 2),
    )
    await _connect(field, fleet, addresses)
    callers = callers_.Callers(
        network,
        world,
        servers,
        random.Random(plan.seed + 3),
        tenancy=tenancy,
    )
    for process in servers:
        if plan.pressure:
            process.contracts = (contracts.PRESSURE,)
        processes.write_settings(process)
        processes.start(process)
        await curio.spawn(processes.look_after, process, daemon=True)
    return World(plan, field, fleet, callers, guard)


def _process(
    folder: pathlib.Path, addresses: Addresses, number: int
) -> processes.Process:
    name = f's{number}'
    return processes.Process(
        name,
        addresses.at(11, number),
        folder / f'{name}.json',
        folder / f'{name}.log',
        addresses.at(12, number),
        addresses.at(14, number),
    )


async def _connect(
    field: strikes.Field, fleet: fleets.Fleet, addresses: Addresses
) -> None:
    """Put a proxy into each link, and what it leads to behind it."""
    network = field.scene.network
    for number, process in enumerate(field.servers, 1):
        field.store_links[process.name] = await _link(
            process.store,
            addresses.at(13, number),
            network,
            'store',
            process.name,
        )
        field.machine_links[process.name] = await _link(
            process.machines,
            addresses.at(15, number),
            network,
            'machines',
            process.name,
        )
    for number, machine in enumerate(fleet.machines.values(), 1):
        field.worker_links[machine.name] = await _link(
            machine.address,
            addresses.at(22, number),
            network,
            machine.address,
            'server',
        )


async def _link(listen, behind, network, address, source) -> proxies.Proxy:
    await sockets.spawn(network, behind, address, source)
    proxy = proxies.Proxy(listen, behind)
    await curio.spawn(proxies.run, proxy, daemon=True)
    return proxy


@contextlib.contextmanager
def calling(world: World):
    """Note callers' calls that are cut."""
    real = transport.call

    async def call(kept, address, *rest, **options):
        try:
            return await real(kept, address, *rest, **options)
        except errors.CallFailed as error:
            _note_cut(world, address, error)
            raise

    transport.call = call
    try:
        yield
    finally:
        transport.call = real


def _note_cut(world: World, address: str, error: errors.CallFailed) -> None:
    """Note a call that may have run, at a server that stops as planned."""
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return
    for process in world.field.servers:
        if process.callers == address and process.stopping:
            world.cuts.append(Cut(process.name, error.reason))
