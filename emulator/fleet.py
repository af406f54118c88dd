"""Machines: the list, moves and maintenance, and their executors' lives."""

import dataclasses
import json
import random

import curio

from emulator import crashing
from emulator import evidence as evidences
from emulator import executors
from emulator import network as networks
from emulator import store as stores
from emulator import virtual
from oleanderwood import clock
from oleanderwood.platform import transport

MOVE_S = 1.5
MAINTENANCE_S = 2.0
STANDBY = 'standby-pool'

RESETS_SHARE = 0.8
"""Part of the crashes by a task that reset connections."""

SAME_ID_SHARE = 0.5
"""Part of them after which an executor that tells its birth keeps its id."""

LATE_ENTRY_S = 0.3
"""Time after which an entry of an earlier life is written once more, and
until the present one's is its own again."""


@dataclasses.dataclass(eq=False)
class Machine:
    """One machine.

    :ivar kind: told as a label
    :ivar executor: None while it is off, down or on its way
    :ivar waves: waves whose maintenance it has had
    :ivar ident: the id of its executor, which may outlive a life
    """

    name: str
    pool: str
    address: str
    rack: str
    state: str = 'up'
    executor: executors.Executor | None = None
    waves: set[int] = dataclasses.field(default_factory=set)
    lives: int = 0
    kind: str = 'a'
    ident: str = ''


@dataclasses.dataclass
class Fleet:
    """All machines.

    :ivar tells_births: executors tell when they were born
    :ivar guarded: executors reject what doesn't fit
    :ivar ended: the day is over, and no lives begin any more
    """

    world: executors.World
    network: networks.Network
    machines: dict[str, Machine] = dataclasses.field(default_factory=dict)
    waves: dict[int, dict] = dataclasses.field(default_factory=dict)
    cores: int = 16
    memory_mb: int = 65536
    guarded: bool = True
    tells_births: bool = False
    ended: bool = False


async def begin_life(
    fleet: Fleet, machine: Machine, same_id: bool = False
) -> None:
    """Start a machine's executor, unless it is on standby.

    :param same_id: under the id that it had before
    """
    if fleet.ended:
        return
    machine.state = 'up'
    machine.lives += 1
    if not same_id:
        machine.ident = f'i-{machine.name}-{machine.lives}'
    if machine.pool == STANDBY:
        return
    rng = fleet.world.rng
    executor = executors.Executor(
        f'i-{machine.name}-{machine.lives}',
        machine.name,
        machine.pool,
        machine.address,
        fleet.cores,
        fleet.memory_mb,
        machine.rack,
        rng.uniform(0.0, 1000.0),
        rng.uniform(0.98, 1.0),
        kind=machine.kind,
        ident=machine.ident,
        guards=fleet.guarded,
    )
    if fleet.tells_births:
        executor.born = round(clock.wall_ms())
    if same_id:
        # Its clock starts anew, with whatever it was told before long past.
        executor.clock_s = -clock.now_s() * executor.rate
    machine.executor = executor
    fleet.world.evidence.places[executor.name] = evidences.Place(
        machine.pool,
        (machine.kind, machine.rack),
        fleet.cores * 1000,
        fleet.memory_mb,
        fleet.guarded,
    )
    handler = executors.make_handler(fleet.world, executor)
    fleet.network.handlers[machine.address] = handler
    await virtual.spawn_in_world(executors.live, fleet.world, executor)
    await virtual.spawn_in_world(_register, fleet.world, machine, executor)


async def _register(world, machine, executor) -> None:
    """Keep the entry in the store while the executor lives and is heard."""
    key = executors.key(executor)
    seen = None
    silent_s = 0.0
    while True:
        heard = executor.up and not executor.dark
        if heard and not world.store.down:
            value = executors.entry(executor)
            if value != seen or key not in world.store.items:
                _note(world, executor, evidences.Kind.MENDED)
                await stores.put(world.store, key, value)
                seen = value
                if executor.draining:
                    _note(world, executor, evidences.Kind.DRAINING)
            silent_s = 0.0
        elif (
            not executor.up
            and machine.ident == executor.ident != ''
            and (machine.executor is not None)
        ):
            # The entry is that of the next life by now.
            return
        elif not heard:
            silent_s += 0.25
            if silent_s >= 3 * executors.HEARTBEAT_S:
                await stores.remove(world.store, key)
                if not executor.up:
                    return
        await curio.sleep(0.25)


def _note(world, executor, kind) -> None:
    evidences.note(world.evidence, clock.now_s(), kind, place=executor.name)


async def end_life(fleet: Fleet, machine: Machine, how: str) -> None:
    """End the life of a machine's executor, if it has one."""
    if machine.executor is not None:
        executors.die(fleet.world, machine.executor, how)
        machine.executor = None


async def crash(
    fleet: Fleet, machine: Machine, for_s: float, resets: bool = False
) -> None:
    """Crash a machine for a while.

    :param resets: its connections are reset, and further ones refused;
        otherwise nothing is heard of it
    """
    executor = machine.executor
    await end_life(fleet, machine, 'crash')
    machine.state = 'down'
    if executor is not None and resets:
        executor.resets = True
        fleet.network.handlers.pop(machine.address, None)
        await executor.changed.set()
    await curio.sleep(for_s)
    if machine.state == 'down':
        await begin_life(fleet, machine)


def let_tasks_crash(fleet: Fleet, rng: random.Random) -> None:
    """Let tasks crash the executors that start them.

    They come back after a while, under another id or, where they tell their
    births, at times under the same.
    """

    async def crash_of(executor: executors.Executor) -> None:
        machine = fleet.machines[executor.machine]
        resets = rng.random() < RESETS_SHARE
        if fleet.tells_births and rng.random() < SAME_ID_SHARE:
            await restart(fleet, machine, crashing.AWAY_S, resets=resets)
        else:
            await crash(fleet, machine, crashing.AWAY_S, resets)

    fleet.world.crash = crash_of


async def restart(
    fleet: Fleet,
    machine: Machine,
    for_s: float,
    late_entry: bool = False,
    resets: bool = False,
) -> None:
    """Let a machine's executor start again under its id.

    The machine stays up: the list of machines shows nothing of it.

    :param late_entry: the entry of the life before is written once more
    :param resets: calls that wait for it are cut; otherwise nothing is heard
    """
    former = machine.executor
    if former is None or machine.state != 'up':
        return
    former.resets = resets
    await end_life(fleet, machine, 'crash')
    await former.changed.set()
    await curio.sleep(for_s)
    if machine.state != 'up' or machine.executor is not None:
        return
    await begin_life(fleet, machine, same_id=True)
    if late_entry:
        await curio.sleep(LATE_ENTRY_S)
        await _put_entry(fleet, former)
        await curio.sleep(LATE_ENTRY_S)
        if machine.executor is not None:
            await _put_entry(fleet, machine.executor)


async def _put_entry(fleet: Fleet, executor: executors.Executor) -> None:
    key = executors.key(executor)
    await stores.put(fleet.world.store, key, executors.entry(executor))


async def resize(
    fleet: Fleet, machine: Machine, share: float, told_after_s: float
) -> None:
    """Let a machine's executor have another size; what runs there goes on.

    :param share: of what the machine has
    :param told_after_s: until its entry tells so, at its next beat
    """
    executor = machine.executor
    if executor is None:
        return
    executor.told = (executor.cores, executor.memory_mb)
    executor.cores = round(fleet.cores * share)
    executor.memory_mb = round(fleet.memory_mb * share)
    place = fleet.world.evidence.places[executor.name]
    place.sizes.append(
        evidences.Size(
            clock.now_s(), executor.cores * 1000, executor.memory_mb
        )
    )
    await curio.sleep(told_after_s)
    executor.told = None


async def hide(machine: Machine, for_s: float) -> None:
    """Cut a machine's executor off; what runs there goes on."""
    executor = machine.executor
    if executor is None:
        return
    executor.dark = True
    await curio.sleep(for_s)
    executor.dark = False


async def drain(fleet: Fleet, machine: Machine) -> None:
    """Let a machine's executor leave with notice, and come anew."""
    executor = machine.executor
    if executor is None:
        return
    executor.draining = True
    await curio.sleep(executors.LINGER_S)
    if machine.executor is executor:
        await end_life(fleet, machine, 'left')
        machine.state = 'down'
        await stores.remove(fleet.world.store, executors.key(executor))
        await curio.sleep(3.0)
        await begin_life(fleet, machine)


async def ask_wave(
    fleet: Fleet, machines: list[str], max_count: int = 2
) -> None:
    """Ask for the maintenance of some machines, as the operator does."""
    number = len(fleet.waves) + 1
    wave = {
        'wave': number,
        'machines': machines,
        'duration_s': 20,
        'max_count': max_count,
    }
    fleet.waves[number] = wave
    value = json.dumps(wave).encode()
    await stores.put(fleet.world.store, f'op/wave/{number}', value)


def make_handler(fleet: Fleet):
    """Make the handler of the machines' interface."""

    async def handle(source, method, target, body, headers):
        if method == 'GET':
            return _list(fleet)
        if fleet.ended:
            return transport.Answer(503, b'')
        asked = json.loads(body)
        machine = fleet.machines.get(asked['machine'])
        if machine is None:
            return transport.Answer(400, b'')
        evidences.note(
            fleet.world.evidence,
            clock.now_s(),
            evidences.Kind.ORDERED,
            place=machine.name,
            attempt=int(headers['fencing-token']),
            by=headers['duty-holder'],
            how='late' if networks.LATE_HEADER in headers else '',
        )
        if target == '/machine-move':
            return await _move(fleet, machine, asked['pool'])
        return await _maintain(fleet, machine, asked['wave'], source)

    return handle


def _shown_id(machine):
    """Give the id that the list shows; it stays while an executor restarts."""
    if machine.state != 'up' or machine.pool == STANDBY:
        return ''
    return machine.ident


def _list(fleet):
    rows = [
        {
            'machine': machine.name,
            'pool': machine.pool,
            'state': machine.state,
            'zone': 'zone-a',
            'labels': [machine.kind, machine.rack],
            'capacity': {
                'cpu': fleet.cores * 1000,
                'mem_mb': fleet.memory_mb,
                'gpu': 0,
            },
            'id': _shown_id(machine),
        }
        for machine in fleet.machines.values()
    ]
    value = {'machines': rows, 'next_token': None}
    return transport.Answer(200, json.dumps(value).encode())


async def _move(fleet, machine, pool):
    if machine.pool == pool:
        return transport.Answer(200, b'{}')
    if machine.state != 'up':
        return transport.Answer(409, b'{"reason":"busy"}')
    machine.pool = pool
    await _restart(fleet, machine, 'moving', MOVE_S)
    return transport.Answer(200, b'{}')


async def _maintain(fleet, machine, wave, source):
    if machine.name not in fleet.waves.get(wave, {}).get('machines', ()):
        return transport.Answer(409, b'{"reason":"wave"}')
    if wave in machine.waves:
        return transport.Answer(200, b'{}')
    if machine.state != 'up':
        return transport.Answer(409, b'{"reason":"busy"}')
    machine.waves.add(wave)
    evidences.note(
        fleet.world.evidence,
        clock.now_s(),
        evidences.Kind.MAINTAINED,
        place=machine.name,
        attempt=wave,
        by=source,
    )
    await _restart(fleet, machine, 'upkeep', MAINTENANCE_S)
    return transport.Answer(200, b'{}')


async def _restart(fleet, machine, state, after_s) -> None:
    await end_life(fleet, machine, 'order')
    machine.state = state

    async def back() -> None:
        await curio.sleep(after_s)
        await begin_life(fleet, machine)

    await virtual.spawn_in_world(back)
