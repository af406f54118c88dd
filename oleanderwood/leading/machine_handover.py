"""Handover of machines between leaders.

The platform requires a pause between the orders of two leaders for the same
machine. Each order is announced in the store before it is sent, so that a
later leader knows which machines it may order only after the pause.
"""

import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import state as states

KEY = 'ow/machine-orders'
"""Store key of the announcements."""

SEND_WINDOW_MS = 500.0
"""Longest time from an order's announcement until it is sent; this takes a few
milliseconds unless the store is slow."""

RETENTION_S = 10.0
"""Age beyond which announcements are dropped; the pause between two leaders'
orders takes 3 s."""

RATE_SHARE = 0.8
"""Fraction of the platform's limit on orders from all servers that a leader
uses; the rest covers orders that a previous leader has just sent."""

BURST_S = 0.5
"""Size of a burst of orders, as the time in which so many accrue: a burst of
demand needs to move a tenth of the fleet in one pass."""


class Announcements(msgspec.Struct, frozen=True):
    """Announced orders, and the pools' sizes before the first of them.

    :ivar wall_ms: time of day of each announcement, by machine; only leaders
        of an earlier release use it, as the clocks of two servers may differ
        by seconds
    :ivar first_sizes: number of machines that each pool had
    :ivar pool_cores: cores of these machines, by pool
    :ivar ages_ms: age of each announcement, or of its order once that was
        sent, when this was written, by the monotonic clock of the writer
    :ivar maintained: machines whose order was for maintenance
    :ivar waves_name_doubts: the stored waves name the orders in doubt; leaders
        of an earlier release only announced them
    """

    wall_ms: dict[str, float] = {}
    first_sizes: dict[ids.ServiceId, int] = {}
    pool_cores: dict[str, float] = {}
    ages_ms: dict[str, float] = {}
    maintained: list[str] = []
    waves_name_doubts: bool = False


async def announce(
    leader: states.Leader,
    machines: list[str],
    wave: dict[str, bytes] | None = None,
) -> bool:
    """Announce orders in the store; return False if they must not be sent.

    :param wave: state of the wave for which the orders take the machines down,
        by its key, written with the announcements; None for moves
    """
    now_s = clock.now_s()
    known = {
        name: at_s
        for name, at_s in leader.fleet.announced.items()
        if now_s - at_s < RETENTION_S
    }
    known.update(dict.fromkeys(machines, now_s))
    maintained = leader.fleet.maintained - set(machines)
    if wave is not None:
        maintained |= set(machines)
    maintained &= set(known)
    ages_ms = {name: (now_s - at_s) * 1000 for name, at_s in known.items()}
    wall_ms = clock.wall_ms()
    announced = Announcements(
        {name: wall_ms - age_ms for name, age_ms in ages_ms.items()},
        leader.fleet.first_sizes,
        leader.fleet.arrival_history.pool_cores,
        ages_ms,
        sorted(maintained),
        waves_name_doubts=True,
    )
    values = {KEY: msgspec.json.encode(announced), **(wave or {})}
    if not await fenced_writes.try_write(
        leader, values, 'fleet', 'not-announced'
    ):
        return False
    leader.fleet.announced = known
    leader.fleet.maintained = maintained
    return True


def record_order(leader: states.Leader, machine: str) -> None:
    """Record that the call with a machine's order has just ended.

    Orders that were announced together are sent one after another, each for as
    long as the platform takes. The age of an order that the next announcements
    give counts from here, as the platform may have taken it until now.
    """
    if machine in leader.fleet.announced:
        leader.fleet.announced[machine] = clock.now_s()


def allowance(leader: states.Leader) -> int:
    """Return how many orders may be sent now."""
    now_s = clock.now_s()
    per_s = RATE_SHARE * leader.server.settings.machine_orders_per_s
    earned = (now_s - leader.fleet.orders_left_as_of_s) * per_s
    leader.fleet.orders_left = min(
        per_s * BURST_S, leader.fleet.orders_left + earned
    )
    leader.fleet.orders_left_as_of_s = now_s
    return int(leader.fleet.orders_left)


def restore(leader: states.Leader, value: bytes) -> None:
    """Restore the announcements of an earlier leader.

    Each is at least as old as it was when written. When that was is not known,
    so the pause is counted from the current time minus the written age.

    :raises msgspec.MsgspecError: the value cannot be decoded
    """
    pause_s = (leader.server.settings.machine_turn_ms + SEND_WINDOW_MS) / 1000
    now_s = clock.now_s()
    stored = codec.decode(value, Announcements)
    leader.fleet.maintained = set(stored.maintained)
    if not stored.waves_name_doubts:
        leader.fleet.inherited_maintenance = frozenset(stored.maintained)
    leader.fleet.first_sizes = dict(stored.first_sizes)
    leader.fleet.arrival_history.pool_cores = dict(stored.pool_cores)
    for name in stored.wall_ms:
        at_s = now_s - stored.ages_ms.get(name, 0.0) / 1000
        leader.fleet.announced[name] = at_s
        if at_s + pause_s > now_s:
            leader.fleet.order_after_s[name] = at_s + pause_s


def restore_or_wait(leader: states.Leader, value: bytes) -> None:
    """Restore announcements.

    If they cannot be decoded, no machine is ordered for a whole pause.
    """
    try:
        restore(leader, value)
    except msgspec.MsgspecError as error:
        event_log.emit('fleet', 'announcements-malformed', why=str(error))
        pause_s = (
            leader.server.settings.machine_turn_ms + SEND_WINDOW_MS
        ) / 1000
        leader.fleet.no_order_before_s = clock.now_s() + pause_s


def may_order(leader: states.Leader, machine: str) -> bool:
    """Return whether the pause after another leader's order is over."""
    after_s = leader.fleet.order_after_s.get(
        machine, leader.fleet.no_order_before_s
    )
    return clock.now_s() >= after_s
