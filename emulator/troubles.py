"""What goes wrong in a run: kinds of trouble, and drawn series of them."""

import collections.abc
import dataclasses
import enum
import random

import curio

from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import machine_orders
from emulator import restarts
from emulator import scenes
from emulator import servers
from emulator import spoiling
from emulator import store as stores
from emulator import takeovers
from emulator import tenant_troubles
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
    STORE_LAPSES = 'store-lapses'
    STORE_LAPSES_SILENT = 'store-lapses-silent'
    STORE_LAPSES_PARTED = 'store-lapses-parted'
    STORE_LAPSES_TWICE = 'store-lapses-twice'
    LEADER_SUSPENDED = 'leader-suspended'
    LEADER_SUSPENDED_IN_OUTAGE = 'leader-suspended-in-outage'
    LEADERS_STOPPED = 'leaders-stopped'
    LEASES_REVOKED = 'leases-revoked'
    LATE_ACROSS_TAKEOVER = 'late-across-takeover'
    ALL_KILLED_IN_TAKEOVER = 'all-killed-in-takeover'
    WAVE_AND_STOP = 'wave-and-stop'
    REACH_PARTED = 'reach-parted'
    ENTRY_SPOILED = 'entry-spoiled'
    LEADER_PARTED = 'leader-parted'
    SIDES_PARTED = 'sides-parted'
    WAYS_SPOILED = 'ways-spoiled'
    LEADER_CUT_LOUDLY = 'leader-cut-loudly'
    EXECUTOR_RESTARTED = 'executor-restarted'
    EXECUTOR_RESTARTED_TWICE = 'executor-restarted-twice'
    EXECUTORS_RESTARTED = 'executors-restarted'
    RESTARTED_IN_TAKEOVER = 'restarted-in-takeover'
    RESTARTED_IN_CUT = 'restarted-in-cut'
    RESTARTED_LATE_ORDERS = 'restarted-late-orders'
    RESTARTED_STORE_AWAY = 'restarted-store-away'
    ROOMS_RESIZED = 'rooms-resized'
    KEY_REVOKED = 'key-revoked'
    KEYS_REVOKED = 'keys-revoked'
    LIMITS_FALL = 'limits-fall'
    MACHINE_ORDER_HELD_UP = 'machine-order-held-up'
    MACHINE_ANSWERS_LOST = 'machine-answers-lost'
    EXECUTOR_LOST_AT_START = 'executor-lost-at-start'
    ODD_VALUES = 'odd-values'


@dataclasses.dataclass(frozen=True)
class Trouble:
    """One trouble."""

    kind: Kind
    at_s: float
    for_s: float = 3.0


TAKEOVER_KINDS = (
    Kind.STORE_LAPSES,
    Kind.STORE_LAPSES_SILENT,
    Kind.STORE_LAPSES_PARTED,
    Kind.STORE_LAPSES_TWICE,
    Kind.LEADER_SUSPENDED,
    Kind.LEADER_SUSPENDED_IN_OUTAGE,
    Kind.LEADERS_STOPPED,
    Kind.LEASES_REVOKED,
    Kind.LATE_ACROSS_TAKEOVER,
    Kind.ALL_KILLED_IN_TAKEOVER,
    Kind.WAVE_AND_STOP,
    Kind.REACH_PARTED,
)
"""Kinds that force a change of leader, or strike one; kept seeds draw from
these too."""

RESTART_KINDS = (
    Kind.EXECUTOR_RESTARTED,
    Kind.EXECUTOR_RESTARTED_TWICE,
    Kind.EXECUTORS_RESTARTED,
    Kind.RESTARTED_IN_TAKEOVER,
    Kind.RESTARTED_IN_CUT,
    Kind.RESTARTED_LATE_ORDERS,
    Kind.RESTARTED_STORE_AWAY,
)
"""Executors that start again under their id, alone and beside others."""

CUT_KINDS = (
    Kind.SIDES_PARTED,
    Kind.WAYS_SPOILED,
    Kind.LEADER_CUT_LOUDLY,
)
"""Cuts that refuse, reset, swallow answers or change while they last."""

RESIZE_KINDS = (Kind.ROOMS_RESIZED,)
"""Executors whose room shrinks and grows while they run."""

ORDER_KINDS = (
    Kind.MACHINE_ORDER_HELD_UP,
    Kind.MACHINE_ANSWERS_LOST,
    Kind.EXECUTOR_LOST_AT_START,
)
"""Orders that are held up past their sender, or have no answer."""

VALUE_KINDS = (Kind.ODD_VALUES,)
"""Values that nobody's own code writes, under keys that servers follow."""

TENANT_KINDS = (Kind.KEY_REVOKED, Kind.KEYS_REVOKED, Kind.LIMITS_FALL)
"""What operators do to tenants; nothing on days without any."""

SHARES = (0.0, 0.25, 0.5, 0.75, 1.5)
"""What is left of such a room, or becomes of it."""

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
    Kind.STORE_LAPSES,
    Kind.STORE_LAPSES_SILENT,
    Kind.STORE_LAPSES_PARTED,
    Kind.STORE_LAPSES_TWICE,
    Kind.LEADER_SUSPENDED,
    Kind.LEADER_SUSPENDED_IN_OUTAGE,
    Kind.LEASES_REVOKED,
    Kind.LATE_ACROSS_TAKEOVER,
    Kind.ALL_KILLED_IN_TAKEOVER,
    Kind.LEADER_PARTED,
    *CUT_KINDS,
    Kind.RESTARTED_IN_TAKEOVER,
    Kind.RESTARTED_IN_CUT,
    Kind.RESTARTED_STORE_AWAY,
    Kind.MACHINE_ORDER_HELD_UP,
)
"""Kinds that keep servers from hearing of changes in the store."""

LATER_KINDS = (
    Kind.SERVERS_CUT,
    Kind.EXECUTORS_SLOW,
    *TAKEOVER_KINDS,
    Kind.ENTRY_SPOILED,
    Kind.LEADER_PARTED,
    *CUT_KINDS,
    *RESTART_KINDS,
    *RESIZE_KINDS,
    *TENANT_KINDS,
    *ORDER_KINDS,
    *VALUE_KINDS,
)
"""Kinds that were added since seeds were first kept."""

FIRST_KINDS = tuple(kind for kind in Kind if kind not in LATER_KINDS)
"""What kept seeds draw from, so that they go on meaning the same days."""

LAB_KINDS = tuple(
    kind
    for kind in Kind
    if kind
    not in (
        *CUT_KINDS,
        *RESTART_KINDS,
        *RESIZE_KINDS,
        *TENANT_KINDS,
        *ORDER_KINDS,
        *VALUE_KINDS,
    )
)
"""The same for days of the lab; others are asked for by a count of theirs."""


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


async def strike(scene: scenes.Scene, trouble: Trouble) -> None:
    """Let a trouble come at its time, and pass."""
    await curio.sleep(max(0.0, trouble.at_s - clock.now_s()))
    if trouble.kind not in DEAFENING:
        await _STRIKES[trouble.kind](scene, trouble)
        return
    note_deaf(scene, 'begin')
    await _STRIKES[trouble.kind](scene, trouble)
    note_deaf(scene, 'end')


def note_deaf(scene: scenes.Scene, how: str) -> None:
    """Note that servers may not hear of changes in the store, or do again."""
    evidence = scene.fleet.world.evidence
    evidences.note(evidence, clock.now_s(), evidences.Kind.DEAF, how=how)


async def _leader_killed(scene, trouble) -> None:
    await scenes.kill(scene, scenes.leader(scene), trouble.for_s)


async def _server_killed(scene, trouble) -> None:
    await scenes.kill(scene, scene.rng.choice(scene.processes), trouble.for_s)


async def _all_killed(scene, trouble) -> None:
    await scenes.kill_all(scene, min(2.0, trouble.for_s))


async def _leader_stopped(scene, trouble) -> None:
    await scenes.stop(scene, scenes.leader(scene), 3.0)


async def _leader_frozen(scene, trouble) -> None:
    name = scenes.leader(scene).name
    scene.network.frozen_until_s[name] = clock.now_s() + trouble.for_s


async def _leader_refused(scene, trouble) -> None:
    name = scenes.leader(scene).name
    scene.store.refused.add(name)
    await curio.sleep(trouble.for_s)
    scene.store.refused.discard(name)


async def _leader_cut(scene, trouble) -> None:
    pair = (scenes.leader(scene).name, servers.STORE_ADDRESS)
    await scenes.cut(scene, {pair}, trouble.for_s)


async def _servers_cut(scene, trouble) -> None:
    """Cut all servers but one off the store; they reach each other."""
    spared = scene.rng.choice(scene.processes)
    pairs = {
        (process.name, servers.STORE_ADDRESS)
        for process in scene.processes
        if process is not spared
    }
    await scenes.cut(scene, pairs, trouble.for_s)


async def _store_down(scene, trouble) -> None:
    await scenes.store_away(scene, trouble.for_s, 'busy')


async def _store_silent(scene, trouble) -> None:
    await scenes.store_away(scene, trouble.for_s, 'silent')


async def _store_slow(scene, trouble) -> None:
    scene.store.slow_s = 0.2
    await curio.sleep(trouble.for_s)
    scene.store.slow_s = 0.0


async def _store_loses(scene, trouble) -> None:
    await scenes.spoil(
        scene.network.lost_share, [servers.STORE_ADDRESS], 0.3, trouble.for_s
    )


async def _store_late(scene, trouble) -> None:
    await scenes.spoil(
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


async def _rooms_resized(scene, trouble) -> None:
    """Let rooms shrink or grow several times, and be as before at last."""

    async def resize(machine: fleets.Machine) -> None:
        for _ in range(scene.rng.randint(1, 3)):
            await _resize_once(scene, machine, scene.rng.choice(SHARES))
            await curio.sleep(scene.rng.uniform(0.0, trouble.for_s))
        await _resize_once(scene, machine, 1.0)

    async with curio.TaskGroup() as group:
        for _ in range(scene.rng.randint(1, 4)):
            await group.spawn(resize, _machine(scene))


async def _resize_once(scene, machine, share) -> None:
    beat_s = scene.rng.uniform(0.0, executors.HEARTBEAT_S)
    await fleets.resize(scene.fleet, machine, share, beat_s)


async def _orders_late(scene, trouble) -> None:
    await scenes.spoil(
        scene.network.late_share,
        scenes.executor_addresses(scene),
        0.05,
        trouble.for_s,
    )


async def _answers_lost(scene, trouble) -> None:
    await scenes.spoil(
        scene.network.lost_share,
        scenes.executor_addresses(scene),
        0.05,
        trouble.for_s,
    )


async def _wave(scene, trouble) -> None:
    await scenes.ask_wave(scene)


async def _entry_late(scene, trouble) -> None:
    """Let entries of executors' earlier lives be written once more."""
    for machine in scene.fleet.machines.values():
        if machine.executor is None:
            continue
        earlier = dataclasses.replace(
            machine.executor, ident=f'i-{machine.name}-{machine.lives - 1}'
        )
        key = executors.key(earlier)
        await stores.put(scene.store, key, executors.entry(earlier))
        await curio.sleep(trouble.for_s / 10)
        await stores.remove(scene.store, key)


async def _entry_spoiled(scene, trouble) -> None:
    await spoil_entries(scene, spoiling.draw(scene.rng, trouble.for_s))


async def _odd_values(scene, trouble) -> None:
    await spoiling.write_elsewhere(scene.fleet, scene.rng, trouble.for_s)


async def spoil_entries(
    scene: scenes.Scene, rows: collections.abc.Iterable[spoiling.Written]
) -> None:
    """Let another writer write entries, each at its time from now."""
    async with curio.TaskGroup() as group:
        for row in rows:
            await group.spawn(
                spoiling.write, scene.fleet, scene.rng, scene.spoiled, row
            )


_Strike = collections.abc.Callable[
    [scenes.Scene, Trouble], collections.abc.Awaitable[None]
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
    Kind.STORE_LAPSES: takeovers.store_lapses,
    Kind.STORE_LAPSES_SILENT: takeovers.store_lapses_silent,
    Kind.STORE_LAPSES_PARTED: takeovers.store_lapses_parted,
    Kind.STORE_LAPSES_TWICE: takeovers.store_lapses_twice,
    Kind.LEADER_SUSPENDED: takeovers.leader_suspended,
    Kind.LEADER_SUSPENDED_IN_OUTAGE: takeovers.leader_suspended_in_outage,
    Kind.LEADERS_STOPPED: takeovers.leaders_stopped,
    Kind.LEASES_REVOKED: takeovers.leases_revoked,
    Kind.LATE_ACROSS_TAKEOVER: takeovers.late_across_takeover,
    Kind.ALL_KILLED_IN_TAKEOVER: takeovers.all_killed_in_takeover,
    Kind.WAVE_AND_STOP: takeovers.wave_and_stop,
    Kind.REACH_PARTED: takeovers.reach_parted,
    Kind.ENTRY_SPOILED: _entry_spoiled,
    Kind.LEADER_PARTED: takeovers.leader_parted,
    Kind.SIDES_PARTED: takeovers.sides_parted,
    Kind.WAYS_SPOILED: takeovers.ways_spoiled,
    Kind.LEADER_CUT_LOUDLY: takeovers.leader_cut_loudly,
    Kind.EXECUTOR_RESTARTED: restarts.one,
    Kind.EXECUTOR_RESTARTED_TWICE: restarts.twice,
    Kind.EXECUTORS_RESTARTED: restarts.half,
    Kind.RESTARTED_IN_TAKEOVER: restarts.in_takeover,
    Kind.RESTARTED_IN_CUT: restarts.in_cut,
    Kind.RESTARTED_LATE_ORDERS: restarts.with_late_orders,
    Kind.RESTARTED_STORE_AWAY: restarts.while_store_is_away,
    Kind.ROOMS_RESIZED: _rooms_resized,
    Kind.KEY_REVOKED: tenant_troubles.key_revoked,
    Kind.KEYS_REVOKED: tenant_troubles.keys_revoked,
    Kind.LIMITS_FALL: tenant_troubles.limits_fall,
    Kind.MACHINE_ORDER_HELD_UP: machine_orders.held_up,
    Kind.MACHINE_ANSWERS_LOST: machine_orders.answers_lost,
    Kind.EXECUTOR_LOST_AT_START: machine_orders.executor_lost,
    Kind.ODD_VALUES: _odd_values,
}
