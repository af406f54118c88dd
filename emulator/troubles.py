"""What goes wrong in a run: kinds of trouble, and drawn series of them."""

import collections.abc
import dataclasses
import enum
import random

import curio

from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import network as networks
from emulator import servers
from emulator import spoiling
from emulator import store as stores
from oleanderwood import clock


class Kind(enum.Enum):
    """A kind of trouble."""

    LEADER_KILLED = 'leader-killed'
    SERVER_KILLED = 'server-killed'
    ALL_KILLED = 'all-killed'
    LEADER_STOPPED = 'leader-stopped'
    LEADER_FROZEN = 'leader-frozen'
    LEADER_REFUSED = 'leader-refused'
    LEADER_CUT = 'leader-cut'
    SERVERS_CUT = 'servers-cut'
    STORE_DOWN = 'store-down'
    STORE_SILENT = 'store-silent'
    STORE_SLOW = 'store-slow'
    STORE_LOSES_ANSWERS = 'store-loses-answers'
    STORE_LATE = 'store-late'
    HISTORY_LOST = 'history-lost'
    EXECUTOR_CRASHED = 'executor-crashed'
    EXECUTOR_HIDDEN = 'executor-hidden'
    EXECUTOR_DRAINED = 'executor-drained'
    EXECUTOR_GREY = 'executor-grey'
    EXECUTORS_SLOW = 'executors-slow'
    ORDERS_LATE = 'orders-late'
    ANSWERS_LOST = 'answers-lost'
    WAVE = 'wave'
    ENTRY_LATE = 'entry-late'
    ENTRY_SPOILED = 'entry-spoiled'


@dataclasses.dataclass(frozen=True)
class Trouble:
    """One trouble."""

    kind: Kind
    at_s: float
    for_s: float = 3.0


@dataclasses.dataclass
class Scene:
    """What troubles strike.

    :ivar spoiled: executors whose entries are written over at the moment
    """

    network: networks.Network
    store: stores.Store
    fleet: fleets.Fleet
    processes: list[servers.Process]
    rng: random.Random
    spoiled: set[str] = dataclasses.field(default_factory=set)


DEAFENING = (
    Kind.LEADER_FROZEN,
    Kind.LEADER_REFUSED,
    Kind.LEADER_CUT,
    Kind.SERVERS_CUT,
    Kind.STORE_DOWN,
    Kind.STORE_SILENT,
    Kind.STORE_SLOW,
    Kind.STORE_LOSES_ANSWERS,
    Kind.STORE_LATE,
)
"""Kinds that keep servers from hearing of changes in the store."""

LATER_KINDS = (Kind.SERVERS_CUT, Kind.EXECUTORS_SLOW, Kind.ENTRY_SPOILED)
"""Kinds that were added since seeds were first kept."""

FIRST_KINDS = tuple(kind for kind in Kind if kind not in LATER_KINDS)
"""What kept seeds draw from, so that they go on meaning the same days."""


def draw(
    seed: int,
    length_s: float,
    count: int,
    kinds: collections.abc.Sequence[Kind] = FIRST_KINDS,
) -> list[Trouble]:
    """Draw a series of troubles."""
    rng = random.Random(seed)
    rows = [
        Trouble(
            rng.choice(kinds),
            rng.uniform(1.0, length_s * 0.8),
            rng.uniform(1.0, 6.0),
        )
        for _ in range(count)
    ]
    return sorted(rows, key=lambda row: row.at_s)


async def strike(scene: Scene, trouble: Trouble) -> None:
    """Let a trouble come at its time, and pass."""
    await curio.sleep(max(0.0, trouble.at_s - clock.now_s()))
    if trouble.kind not in DEAFENING:
        await _STRIKES[trouble.kind](scene, trouble)
        return
    note_deaf(scene, 'begin')
    await _STRIKES[trouble.kind](scene, trouble)
    note_deaf(scene, 'end')


def note_deaf(scene: Scene, how: str) -> None:
    """Note that servers may not hear of changes in the store, or do again."""
    evidence = scene.fleet.world.evidence
    evidences.note(evidence, clock.now_s(), evidences.Kind.DEAF, how=how)


def _leader(scene: Scene) -> servers.Process:
    for process in scene.processes:
        if servers.leads(process):
            return process
    return scene.rng.choice(scene.processes)


async def _kill(scene, process, for_s) -> None:
    if process.state is None:
        return
    await servers.kill(scene.network, process)
    await curio.sleep(for_s)
    await servers.start(scene.network, process)


async def _leader_killed(scene, trouble) -> None:
    await _kill(scene, _leader(scene), trouble.for_s)


async def _server_killed(scene, trouble) -> None:
    await _kill(scene, scene.rng.choice(scene.processes), trouble.for_s)


async def _all_killed(scene, trouble) -> None:
    for process in scene.processes:
        await curio.spawn(
            _kill, scene, process, min(2.0, trouble.for_s), daemon=True
        )


async def _leader_stopped(scene, trouble) -> None:
    process = _leader(scene)
    if process.state is None or process.state.stopping:
        return
    await servers.stop(scene.network, process, 3.0)
    await servers.start(scene.network, process)


async def _leader_frozen(scene, trouble) -> None:
    name = _leader(scene).name
    scene.network.frozen_until_s[name] = clock.now_s() + trouble.for_s


async def _leader_refused(scene, trouble) -> None:
    name = _leader(scene).name
    scene.store.refused.add(name)
    await curio.sleep(trouble.for_s)
    scene.store.refused.discard(name)


async def _leader_cut(scene, trouble) -> None:
    pair = (_leader(scene).name, servers.STORE_ADDRESS)
    scene.network.cuts.add(pair)
    await curio.sleep(trouble.for_s)
    scene.network.cuts.discard(pair)


async def _servers_cut(scene, trouble) -> None:
    """Cut all servers but one off the store; they reach each other."""
    spared = scene.rng.choice(scene.processes)
    pairs = {
        (process.name, servers.STORE_ADDRESS)
        for process in scene.processes
        if process is not spared
    }
    scene.network.cuts |= pairs
    await curio.sleep(trouble.for_s)
    scene.network.cuts -= pairs


async def _store_down(scene, trouble, how='busy') -> None:
    scene.store.down = how
    await curio.sleep(trouble.for_s)
    scene.store.down = ''


async def _store_silent(scene, trouble) -> None:
    await _store_down(scene, trouble, 'silent')


async def _store_slow(scene, trouble) -> None:
    scene.store.slow_s = 0.2
    await curio.sleep(trouble.for_s)
    scene.store.slow_s = 0.0


async def _spoil(shares, addresses, share, for_s) -> None:
    for address in addresses:
        shares[address] = share
    await curio.sleep(for_s)
    for address in addresses:
        shares.pop(address, None)


async def _store_loses(scene, trouble) -> None:
    await _spoil(
        scene.network.lost_share, [servers.STORE_ADDRESS], 0.3, trouble.for_s
    )


async def _store_late(scene, trouble) -> None:
    await _spoil(
        scene.network.late_share, [servers.STORE_ADDRESS], 0.15, trouble.for_s
    )


async def _history_lost(scene, trouble) -> None:
    stores.lose_history(scene.store)


def _machine(scene) -> fleets.Machine:
    machines = [row for row in scene.fleet.machines.values() if row.executor]
    return scene.rng.choice(machines or list(scene.fleet.machines.values()))


async def _crashed(scene, trouble) -> None:
    machine = _machine(scene)
    if machine.state == 'up':
        await fleets.crash(scene.fleet, machine, trouble.for_s)


async def _hidden(scene, trouble) -> None:
    await fleets.hide(_machine(scene), 2 * trouble.for_s)


async def _drained(scene, trouble) -> None:
    await fleets.drain(scene.fleet, _machine(scene))


async def _grey(scene, trouble) -> None:
    executor = _machine(scene).executor
    if executor is not None:
        executor.grey = 1.0
        await curio.sleep(trouble.for_s)
        executor.grey = 0.0


async def _slow(scene, trouble) -> None:
    for _ in range(2):
        executor = _machine(scene).executor
        if executor is not None:
            executor.slow_factor = 7.0
    await curio.sleep(trouble.for_s)
    for machine in scene.fleet.machines.values():
        if machine.executor is not None:
            machine.executor.slow_factor = 1.0


def _executor_addresses(scene) -> list[str]:
    return [machine.address for machine in scene.fleet.machines.values()]


async def _orders_late(scene, trouble) -> None:
    await _spoil(
        scene.network.late_share,
        _executor_addresses(scene),
        0.05,
        trouble.for_s,
    )


async def _answers_lost(scene, trouble) -> None:
    await _spoil(
        scene.network.lost_share,
        _executor_addresses(scene),
        0.05,
        trouble.for_s,
    )


async def _wave(scene, trouble) -> None:
    fleet = scene.fleet
    number = len(fleet.waves) + 1
    names = sorted(fleet.machines)
    machines = scene.rng.sample(names, len(names) // 2)
    wave = {
        'wave': number,
        'machines': machines,
        'duration_s': 20,
        'max_count': 2,
    }
    fleet.waves[number] = wave
    value = executors.json.dumps(wave).encode()
    await stores.put(scene.store, f'op/wave/{number}', value)


async def _entry_late(scene, trouble) -> None:
    """Let entries of executors' earlier lives be written once more."""
    for machine in scene.fleet.machines.values():
        if machine.executor is None:
            continue
        earlier = dataclasses.replace(
            machine.executor, name=f'i-{machine.name}-{machine.lives - 1}'
        )
        key = f'servers/{earlier.name}'
        await stores.put(scene.store, key, executors.entry(earlier))
        await curio.sleep(trouble.for_s / 10)
        await stores.remove(scene.store, key)


async def _entry_spoiled(scene, trouble) -> None:
    await spoil_entries(scene, spoiling.draw(scene.rng, trouble.for_s))


async def spoil_entries(
    scene: Scene, rows: collections.abc.Iterable[spoiling.Written]
) -> None:
    """Let another writer write entries, each at its time from now."""
    async with curio.TaskGroup() as group:
        for row in rows:
            await group.spawn(
                spoiling.write, scene.fleet, scene.rng, scene.spoiled, row
            )


_Strike = collections.abc.Callable[
    [Scene, Trouble], collections.abc.Awaitable[None]
]

_STRIKES: dict[Kind, _Strike] = {
    Kind.LEADER_KILLED: _leader_killed,
    Kind.SERVER_KILLED: _server_killed,
    Kind.ALL_KILLED: _all_killed,
    Kind.LEADER_STOPPED: _leader_stopped,
    Kind.LEADER_FROZEN: _leader_frozen,
    Kind.LEADER_REFUSED: _leader_refused,
    Kind.LEADER_CUT: _leader_cut,
    Kind.SERVERS_CUT: _servers_cut,
    Kind.STORE_DOWN: _store_down,
    Kind.STORE_SILENT: _store_silent,
    Kind.STORE_SLOW: _store_slow,
    Kind.STORE_LOSES_ANSWERS: _store_loses,
    Kind.STORE_LATE: _store_late,
    Kind.HISTORY_LOST: _history_lost,
    Kind.EXECUTOR_CRASHED: _crashed,
    Kind.EXECUTOR_HIDDEN: _hidden,
    Kind.EXECUTOR_DRAINED: _drained,
    Kind.EXECUTOR_GREY: _grey,
    Kind.EXECUTORS_SLOW: _slow,
    Kind.ORDERS_LATE: _orders_late,
    Kind.ANSWERS_LOST: _answers_lost,
    Kind.WAVE: _wave,
    Kind.ENTRY_LATE: _entry_late,
    Kind.ENTRY_SPOILED: _entry_spoiled,
}
