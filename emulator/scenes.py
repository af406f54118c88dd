"""What troubles strike, and what most of them do to it."""

import dataclasses
import math
import random

import curio

from emulator import fleet as fleets
from emulator import network as networks
from emulator import servers
from emulator import store as stores
from emulator import tenancy as tenancies


@dataclasses.dataclass
class Scene:
    """What troubles strike.

    :ivar back_s: when a store that is away will be back
    :ivar tenancy: the tenants of the day, if it has some
    :ivar spoiled: executors whose entries are written over at the moment
    :ivar machines_address: address of the machines' interface
    """

    network: networks.Network
    store: stores.Store
    fleet: fleets.Fleet
    processes: list[servers.Process]
    rng: random.Random
    back_s: float = math.inf
    spoiled: set[str] = dataclasses.field(default_factory=set)
    tenancy: tenancies.Tenancy | None = None
    machines_address: str = servers.MACHINES_ADDRESS


def leader(scene: Scene) -> servers.Process:
    """Give the server that leads, or any if none does."""
    for process in scene.processes:
        if servers.leads(process):
            return process
    return scene.rng.choice(scene.processes)


def leading(scene: Scene) -> tuple[str, ...]:
    """Name the servers that take themselves for the leader."""
    return tuple(
        f'{process.name}/{process.lives}'
        for process in scene.processes
        if servers.leads(process)
    )


async def kill(scene: Scene, process: servers.Process, for_s: float) -> None:
    """Kill a server, and start it anew after a while."""
    if process.state is None:
        return
    await servers.kill(scene.network, process)
    await curio.sleep(for_s)
    await servers.start(scene.network, process)


async def kill_all(scene: Scene, for_s: float) -> None:
    """Kill all servers at once, and start them anew after a while."""
    for process in scene.processes:
        await curio.spawn(kill, scene, process, for_s, daemon=True)


async def stop(scene: Scene, process: servers.Process, after_s: float) -> None:
    """Stop a server as a signal does, and start it anew."""
    if process.state is None or process.state.stopping:
        return
    await servers.stop(scene.network, process, after_s)
    await servers.start(scene.network, process)


async def store_away(scene: Scene, for_s: float, how: str) -> None:
    """Let the store be away.

    :param how: ``busy``: it refuses calls; ``silent``: it answers none
    """
    scene.store.down = how
    scene.back_s = await curio.clock() + for_s
    await curio.sleep(for_s)
    scene.store.down = ''
    scene.back_s = math.inf


async def spoil(
    shares: dict[str, float], addresses: list[str], share: float, for_s: float
) -> None:
    """Let a part of the calls to some addresses go wrong for a while."""
    for address in addresses:
        shares[address] = share
    await curio.sleep(for_s)
    for address in addresses:
        shares.pop(address, None)


async def cut(scene: Scene, pairs: set[tuple[str, str]], for_s: float) -> None:
    """Cut processes off addresses for a while."""
    scene.network.cuts |= pairs
    await curio.sleep(for_s)
    scene.network.cuts -= pairs


async def cut_loudly(
    scene: Scene,
    pairs: set[tuple[str, str]],
    harms: list[networks.Harm | None],
    for_s: float,
) -> None:
    """Cut processes off addresses, in one way after the other.

    :param harms: how calls fail, for equal parts of the time; None: silently
    """
    for harm in harms:
        if harm is None:
            await cut(scene, pairs, for_s / len(harms))
            continue
        scene.network.harms.update(dict.fromkeys(pairs, harm))
        await curio.sleep(for_s / len(harms))
        for pair in pairs:
            scene.network.harms.pop(pair, None)


def draw_harms(scene: Scene) -> list[networks.Harm | None]:
    """Draw how the calls across a cut fail, one to three ways."""
    return scene.rng.choices([None, *networks.Harm], k=scene.rng.randint(1, 3))


def executor_addresses(scene: Scene) -> list[str]:
    """Give the addresses of all machines."""
    return [machine.address for machine in scene.fleet.machines.values()]


async def ask_wave(scene: Scene) -> None:
    """Ask for the maintenance of half of the machines."""
    names = sorted(scene.fleet.machines)
    machines = scene.rng.sample(names, len(names) // 2)
    await fleets.ask_wave(scene.fleet, machines)
