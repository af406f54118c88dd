"""What goes wrong in a soak, drawn from a seed; strikes overlap."""

import collections.abc
import dataclasses
import enum
import random
import signal

import curio

from emulator import machine_orders
from emulator import scenes
from emulator import troubles
from soak import processes
from soak import proxy as proxies


class Kind(enum.Enum):
    """A kind of strike against servers or links."""

    KILLED = 'killed'
    ALL_KILLED = 'all-killed'
    STOPPED = 'stopped'
    STOPPED_IN_TURN = 'stopped-in-turn'
    PAUSED = 'paused'
    RELOADED = 'reloaded'
    STORE_LINK = 'store-link'
    STORE_LINKS = 'store-links'
    MACHINES_LINK = 'machines-link'
    WORKER_LINK = 'worker-link'


PLATFORM_KINDS = (
    troubles.Kind.STORE_DOWN,
    troubles.Kind.STORE_SILENT,
    troubles.Kind.STORE_SLOW,
    troubles.Kind.STORE_LOSES_ANSWERS,
    troubles.Kind.STORE_LATE,
    troubles.Kind.HISTORY_LOST,
    troubles.Kind.EXECUTOR_CRASHED,
    troubles.Kind.EXECUTOR_HIDDEN,
    troubles.Kind.EXECUTOR_DRAINED,
    troubles.Kind.EXECUTOR_GREY,
    troubles.Kind.ORDERS_LATE,
    troubles.Kind.ANSWERS_LOST,
    troubles.Kind.WAVE,
    troubles.Kind.ENTRY_LATE,
    troubles.Kind.ENTRY_SPOILED,
)
"""Troubles of the emulator that strike the platform alone."""

FIRST_PLATFORM_KINDS = tuple(
    kind for kind in PLATFORM_KINDS if kind not in troubles.LATER_KINDS
)
"""What kept seeds draw from, so that they go on meaning the same strikes."""

DEAFENING = (Kind.PAUSED, Kind.STORE_LINK, Kind.STORE_LINKS)
"""Strikes that keep servers from hearing of changes in the store."""

SPOILED = tuple(mode for mode in proxies.Mode if mode is not proxies.Mode.PASS)


@dataclasses.dataclass(frozen=True)
class Strike:
    """One strike; ``kind`` is one of ours or one of the emulator's."""

    kind: Kind | troubles.Kind
    at_s: float
    for_s: float


@dataclasses.dataclass
class Field:
    """What strikes meet.

    :ivar store_links: by server; so are those to the machines
    :ivar worker_links: by machine
    """

    scene: scenes.Scene
    servers: list[processes.Process]
    store_links: dict[str, proxies.Proxy]
    machine_links: dict[str, proxies.Proxy]
    worker_links: dict[str, proxies.Proxy]
    rng: random.Random


def draw(
    seed: int,
    length_s: float,
    per_s: float,
    platform_kinds: tuple[troubles.Kind, ...] = PLATFORM_KINDS,
) -> list[Strike]:
    """Draw strikes; about half are of the platform."""
    rng = random.Random(seed)
    rows = []
    for _ in range(max(1, int(length_s * per_s))):
        kinds = list(Kind) if rng.random() < 0.5 else platform_kinds
        kind = rng.choice(kinds)
        at_s = rng.uniform(0.5, length_s)
        rows.append(Strike(kind, at_s, rng.uniform(0.5, 5.0)))
    return sorted(rows, key=lambda row: row.at_s)


def draw_resizes(seed: int, length_s: float, per_s: float) -> list[Strike]:
    """Draw changes of executors' rooms."""
    return _draw_kinds(seed, length_s, per_s, troubles.RESIZE_KINDS)


def draw_orders(seed: int, length_s: float, per_s: float) -> list[Strike]:
    """Draw troubles around orders for machines."""
    return _draw_kinds(seed, length_s, per_s, troubles.ORDER_KINDS)


def draw_values(seed: int, length_s: float, per_s: float) -> list[Strike]:
    """Draw spans in which another writer writes odd values."""
    return _draw_kinds(seed, length_s, per_s, troubles.VALUE_KINDS)


def _draw_kinds(
    seed: int,
    length_s: float,
    per_s: float,
    kinds: tuple[troubles.Kind, ...],
) -> list[Strike]:
    count = max(1, int(length_s * per_s))
    rows = troubles.draw(seed, length_s, count, kinds)
    return [Strike(row.kind, row.at_s, row.for_s) for row in rows]


async def strike(field: Field, row: Strike) -> None:
    """Let a strike come now, and pass."""
    if row.kind is troubles.Kind.MACHINE_ORDER_HELD_UP:
        await _machine_order_held_up(field, row)
        return
    if isinstance(row.kind, troubles.Kind):
        trouble = troubles.Trouble(row.kind, 0.0, row.for_s)
        await troubles.strike(field.scene, trouble)
        return
    if row.kind not in DEAFENING:
        await _STRIKES[row.kind](field, row)
        return
    troubles.note_deaf(field.scene, 'begin')
    await _STRIKES[row.kind](field, row)
    troubles.note_deaf(field.scene, 'end')


def _any(field: Field) -> processes.Process | None:
    """Give a server that no other strike keeps busy."""
    free = [row for row in field.servers if not row.busy]
    return field.rng.choice(free) if free else None


async def _kill(process: processes.Process, for_s: float) -> None:
    process.busy = True
    await processes.kill(process)
    await curio.sleep(for_s)
    processes.start(process)
    process.busy = False


async def _stop(process: processes.Process, for_s: float) -> None:
    process.busy = True
    await processes.stop(process)
    await curio.sleep(for_s)
    processes.start(process)
    process.busy = False


async def _killed(field: Field, row: Strike) -> None:
    process = _any(field)
    if process is not None:
        await _kill(process, row.for_s)


async def _all_killed(field: Field, row: Strike) -> None:
    async with curio.TaskGroup() as group:
        for process in field.servers:
            if not process.busy:
                await group.spawn(_kill, process, min(1.0, row.for_s))


async def _stopped(field: Field, row: Strike) -> None:
    process = _any(field)
    if process is not None:
        await _stop(process, min(1.0, row.for_s))


async def _stopped_in_turn(field: Field, row: Strike) -> None:
    for process in field.servers:
        if not process.busy:
            await _stop(process, 0.2)


async def _paused(field: Field, row: Strike) -> None:
    process = _any(field)
    if process is None:
        return
    process.busy = True
    processes.send(process, signal.SIGSTOP)
    await curio.sleep(row.for_s)
    processes.send(process, signal.SIGCONT)
    process.busy = False


async def _reloaded(field: Field, row: Strike) -> None:
    for process in field.servers:
        processes.write_settings(
            process, job_retention_s=field.rng.choice((100.0, 120.0))
        )
        processes.send(process, signal.SIGHUP)


async def _spoil(field: Field, links, row: Strike) -> None:
    mode = field.rng.choice(SPOILED)
    async with curio.TaskGroup() as group:
        for link in links:
            await group.spawn(proxies.spoil, link, mode, row.for_s)


async def _store_link(field: Field, row: Strike) -> None:
    name = field.rng.choice(sorted(field.store_links))
    await _spoil(field, [field.store_links[name]], row)


async def _store_links(field: Field, row: Strike) -> None:
    await _spoil(field, list(field.store_links.values()), row)


async def _machines_link(field: Field, row: Strike) -> None:
    name = field.rng.choice(sorted(field.machine_links))
    await _spoil(field, [field.machine_links[name]], row)


async def _machine_order_held_up(field: Field, row: Strike) -> None:
    async def cut(scene: scenes.Scene, source: str, for_s: float) -> None:
        async with curio.TaskGroup() as group:
            for links in (field.store_links, field.machine_links):
                await group.spawn(
                    proxies.spoil, links[source], proxies.Mode.SILENT, for_s
                )

    troubles.note_deaf(field.scene, 'begin')
    await machine_orders.held_up(field.scene, row, cut)
    troubles.note_deaf(field.scene, 'end')


async def _worker_link(field: Field, row: Strike) -> None:
    name = field.rng.choice(sorted(field.worker_links))
    await _spoil(field, [field.worker_links[name]], row)


_STRIKES: dict[
    Kind,
    collections.abc.Callable[[Field, Strike], collections.abc.Awaitable[None]],
] = {
    Kind.KILLED: _killed,
    Kind.ALL_KILLED: _all_killed,
    Kind.STOPPED: _stopped,
    Kind.STOPPED_IN_TURN: _stopped_in_turn,
    Kind.PAUSED: _paused,
    Kind.RELOADED: _reloaded,
    Kind.STORE_LINK: _store_link,
    Kind.STORE_LINKS: _store_links,
    Kind.MACHINES_LINK: _machines_link,
    Kind.WORKER_LINK: _worker_link,
}
