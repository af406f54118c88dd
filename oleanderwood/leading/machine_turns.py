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
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import state as states

KEY = 'ow/machine-orders'

SENT_MS = 500.0
"""Time within which an order is sent once it was announced; it takes a few
milliseconds unless the store is slow."""

KEPT_S = 10.0
"""Announcements older than this are dropped; a pause takes 3 s."""


RATE_SHARE = 0.8
"""Part of the orders which the platform takes from all servers that a leader
uses; the rest is for what an earlier one has sent a moment ago."""

BURST_S = 0.5
"""Time whose orders may be sent at once: a turn of demand asks for a tenth of
a fleet in one pass."""


class Announced(msgspec.Struct, frozen=True):
    """Orders that were about to be sent, and what was before the first.

    :ivar wall_ms: times of day, by machine; only leaders of an earlier release
        go by them, as the times of two servers may differ by seconds
    :ivar first_sizes: machines that each pool had
    :ivar pool_cores: their cores, by pool
    :ivar ages_ms: how old each announcement was as this was written, by the
        steady clock of who wrote it
    :ivar maintained: which orders were for maintenance
    """

    wall_ms: dict[str, float] = {}
    first_sizes: dict[ids.ServiceId, int] = {}
    pool_cores: dict[str, float] = {}
    ages_ms: dict[str, float] = {}
    maintained: list[str] = []


async def announce(
    leader: states.Leader, machines: list[str], maintenance: bool = False
) -> bool:
    """Announce orders; False if they must not be sent.

    :param maintenance: they take the machines down for it
    """
    now_s = clock.now_s()
    known = {
        name: at_s
        for name, at_s in leader.fleet.announced.items()
        if now_s - at_s < KEPT_S
    }
    known.update(dict.fromkeys(machines, now_s))
    maintained = leader.fleet.maintained - set(machines)
    if maintenance:
        maintained |= set(machines)
    maintained &= set(known)
    ages_ms = {name: (now_s - at_s) * 1000 for name, at_s in known.items()}
    wall_ms = clock.wall_ms()
    announced = Announced(
        {name: wall_ms - age_ms for name, age_ms in ages_ms.items()},
        leader.fleet.first_sizes,
        leader.fleet.turns.pool_cores,
        ages_ms,
        sorted(maintained),
    )
    values = {KEY: msgspec.json.encode(announced)}
    if not await fenced_writes.try_write(
        leader, values, 'fleet', 'not-announced'
    ):
        return False
    leader.fleet.announced = known
    leader.fleet.maintained = maintained
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
    """Take over an earlier leader's announcements.

    Each is at least as old as it was when it was written. How long ago that
    was isn't known, so the pause is counted from now less that age.
    """
    pause_s = (leader.server.settings.machine_turn_ms + SENT_MS) / 1000
    now_s = clock.now_s()
    kept = msgspec.json.decode(value, type=Announced)
    leader.fleet.maintained = set(kept.maintained)
    leader.fleet.first_sizes = dict(kept.first_sizes)
    leader.fleet.turns.pool_cores = dict(kept.pool_cores)
    for name in kept.wall_ms:
        at_s = now_s - kept.ages_ms.get(name, 0.0) / 1000
        leader.fleet.announced[name] = at_s
        if at_s + pause_s > now_s:
            leader.fleet.turn_after_s[name] = at_s + pause_s


def restore_or_wait(leader: states.Leader, value: bytes) -> None:
    """Take over announcements.

    Where they can't be read, no machine is ordered for a whole pause.
    """
    try:
        restore(leader, value)
    except msgspec.MsgspecError as error:
        event_log.emit('fleet', 'announcements-malformed', why=str(error))
        pause_s = (leader.server.settings.machine_turn_ms + SENT_MS) / 1000
        leader.fleet.none_before_s = clock.now_s() + pause_s


def is_ours(leader: states.Leader, machine: str) -> bool:
    """Say whether the pause after another leader's order is over."""
    after_s = leader.fleet.turn_after_s.get(
        machine, leader.fleet.none_before_s
    )
    return clock.now_s() >= after_s


def perhaps_down(leader: states.Leader) -> set[str]:
    """Give the machines that an earlier leader may just take down.

    Its order may be under way, so that the list shows them up; they count
    for how many may be down at once until the pause after it is over.
    """
    return {
        name for name in leader.fleet.maintained if not is_ours(leader, name)
    }
