"""Whose turn it is to order a machine.

The platform wants a pause between the orders of two leaders for one machine.
Each order is announced in the store before it is sent, so that a later
leader knows which machines it must leave alone for a while, and for which
it needn't wait.
"""

import msgspec

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import guarded
from oleanderwood.leading import state as states

KEY = 'ow/machine-orders'

SKEW_MS = 500.0
"""How far the times of day of two servers may differ."""

KEPT_MS = 10_000.0
"""Announcements older than this are dropped; a pause takes 3 s."""


RATE_SHARE = 0.8
"""Part of the orders which the platform takes from all servers that a leader
uses; the rest is for what an earlier one has sent a moment ago."""

BURST_S = 0.5
"""Time whose orders may be sent at once: a turn of demand asks for a tenth of
a fleet in one pass."""


class Announced(msgspec.Struct, frozen=True):
    """Orders that were about to be sent, and what was before the first.

    :ivar wall_ms: times of day, by machine
    :ivar first_sizes: machines that each pool had
    :ivar pool_cores: their cores, by pool
    """

    wall_ms: dict[str, float] = {}
    first_sizes: dict[ids.ServiceId, int] = {}
    pool_cores: dict[str, float] = {}


async def announce(leader: states.Leader, machines: list[str]) -> bool:
    """Announce orders; False if they must not be sent."""
    wall_ms = clock.wall_ms()
    known = {
        name: at_ms
        for name, at_ms in leader.fleet.announced.items()
        if wall_ms - at_ms < KEPT_MS
    }
    known.update(dict.fromkeys(machines, wall_ms))
    announced = Announced(
        known, leader.fleet.first_sizes, leader.fleet.turns.pool_cores
    )
    values = {KEY: msgspec.json.encode(announced)}
    if not await guarded.try_write(leader, values, 'fleet', 'not-announced'):
        return False
    leader.fleet.announced = known
    return True


def allowance(leader: states.Leader) -> int:
    """Give how many orders may be sent now."""
    now_s = clock.now_s()
    per_s = RATE_SHARE * leader.server.settings.machine_orders_per_s
    earned = (now_s - leader.fleet.orders_at_s) * per_s
    leader.fleet.orders_left = min(
        per_s * BURST_S, leader.fleet.orders_left + earned
    )
    leader.fleet.orders_at_s = now_s
    return int(leader.fleet.orders_left)


def restore(leader: states.Leader, value: bytes) -> None:
    """Take over an earlier leader's announcements."""
    pause_ms = leader.server.settings.machine_turn_ms
    wall_ms = clock.wall_ms()
    now_s = clock.now_s()
    kept = msgspec.json.decode(value, type=Announced)
    leader.fleet.announced = dict(kept.wall_ms)
    leader.fleet.first_sizes = dict(kept.first_sizes)
    leader.fleet.turns.pool_cores = dict(kept.pool_cores)
    for name, at_ms in kept.wall_ms.items():
        left_ms = at_ms + pause_ms + SKEW_MS - wall_ms
        # A clock that jumped must not hold a machine for long.
        left_ms = min(left_ms, pause_ms + SKEW_MS)
        if left_ms > 0:
            leader.fleet.turn_after_s[name] = now_s + left_ms / 1000


def restore_or_wait(leader: states.Leader, value: bytes) -> None:
    """Take over announcements.

    Where they can't be read, no machine is ordered for a whole pause.
    """
    try:
        restore(leader, value)
    except msgspec.MsgspecError as error:
        event_log.emit('fleet', 'announcements-malformed', why=str(error))
        pause_s = (leader.server.settings.machine_turn_ms + SKEW_MS) / 1000
        leader.fleet.none_before_s = clock.now_s() + pause_s


def is_ours(leader: states.Leader, machine: str) -> bool:
    """Say whether the pause after another leader's order is over."""
    after_s = leader.fleet.turn_after_s.get(
        machine, leader.fleet.none_before_s
    )
    return clock.now_s() >= after_s
