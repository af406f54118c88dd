"""Troubles around orders for machines, and workers lost at a first order."""

import collections.abc

import curio

from emulator import fleet as fleets
from emulator import network as networks
from emulator import scenes
from emulator import servers
from emulator import virtual
from oleanderwood import clock

CUT_S = 2.0
"""Shortest cut of a sender; with the time of the trouble some cuts outlast the
pause between the orders of two leaders, and some don't."""

LOST_SHARE = 0.8
"""Part of the orders whose answers are lost."""

Cut = collections.abc.Callable[
    [scenes.Scene, str, float], collections.abc.Awaitable[None]
]
"""Cuts a sender off the store and the machines for a while."""


async def cut_off(scene: scenes.Scene, source: str, for_s: float) -> None:
    """Cut a server off the store and the machines."""
    addresses = (servers.STORE_ADDRESS, scene.machines_address)
    await scenes.cut(scene, {(source, row) for row in addresses}, for_s)


async def held_up(scene, trouble, cut: Cut = cut_off) -> None:
    """Cut the leader off as its next order for a machine is on its way.

    The order is carried out when the cut ends, although its sender has given
    it up by then.
    """
    cut_s = CUT_S + trouble.for_s
    sources: list[str] = []
    network, address = scene.network, scene.machines_address
    sound = network.handlers[address]

    async def handle(source, method, *rest):
        arguments = (source, method, *rest)
        if method == 'POST' and not sources:
            sources.append(source)
            await networks.carry_out_later(network, cut_s, address, arguments)
        return await sound(*arguments)

    network.handlers[address] = handle
    await scenes.ask_wave(scene)
    until_s = clock.now_s() + trouble.for_s
    while not sources and clock.now_s() < until_s:
        await curio.sleep(0.01)
    network.handlers[address] = sound
    if sources:
        await cut(scene, sources[0], cut_s)


async def answers_lost(scene, trouble) -> None:
    """Lose answers to orders for machines, beside a wave."""
    handlers, address = scene.network.handlers, scene.machines_address
    sound = handlers[address]

    async def handle(source, method, *rest):
        answer = await sound(source, method, *rest)
        if method == 'POST' and scene.rng.random() < LOST_SHARE:
            await virtual.forever()
        return answer

    handlers[address] = handle
    await scenes.ask_wave(scene)
    await curio.sleep(trouble.for_s)
    handlers[address] = sound


async def executor_lost(scene, trouble) -> None:
    """Let an executor crash silently as its next order to start arrives."""
    machines = [row for row in scene.fleet.machines.values() if row.executor]
    if machines:
        machine = scene.rng.choice(machines)
        _crash_at_start(scene.fleet, machine, trouble.for_s)


def _crash_at_start(
    fleet: fleets.Fleet, machine: fleets.Machine, for_s: float
) -> None:
    handlers = fleet.network.handlers
    sound = handlers[machine.address]

    async def handle(source, method, target, *rest):
        if target != '/run-start':
            return await sound(source, method, target, *rest)
        if machine.state == 'up':
            await virtual.spawn_in_world(fleets.crash, fleet, machine, for_s)
        await virtual.forever()

    # The next life of the executor has a handler of its own.
    handlers[machine.address] = handle
