"""Access to a pool's two budgets: VMs up now, and the quarter's."""

import math

import msgspec

from oleanderwood import configuration
from oleanderwood import ids

QUARTER_S = 91 * 24 * 3600.0
HOURS_OF_DAY = 24
_HOUR_S = 3600.0


class Spent(msgspec.Struct, frozen=True):
    """VM-seconds below its size that a pool has spent this quarter.

    The leader keeps it in the store, so that the account outlives it.
    """

    pool: ids.PoolId
    quarter_start_s: float
    spent_s: float = 0.0
    counted_to_s: float = 0.0


class HourlyLoad(msgspec.Struct, frozen=True):
    """The share of a pool's size that its load needs, by hour of the day.

    ``shares`` has 24 values from 0 to 1; the first is that of 00:00 UTC.
    """

    pool: ids.PoolId
    shares: tuple[float, ...]


def needed_up(
    pool: configuration.Pool,
    load: HourlyLoad | None,
    now_s: float,
    until_s: float,
) -> int:
    """Say how many VMs must serve at each moment of a span of time.

    :param load: None for a pool whose load doesn't vary
    :param until_s: when a VM that is taken now is back
    :returns: VMs, at least ``min_up``
    """
    if load is None:
        return pool.min_up
    first = int(now_s // _HOUR_S)
    last = int(until_s // _HOUR_S)
    hours = range(first, min(last, first + HOURS_OF_DAY - 1) + 1)
    share = max(load.shares[hour % HOURS_OF_DAY] for hour in hours)
    return max(pool.min_up, math.ceil(share * pool.size - 1e-9))


def accrue(
    pool: configuration.Pool, spent: Spent, up: int, now_s: float
) -> Spent:
    """Count the time since the last call; a new quarter starts at zero.

    :param up: VMs that have served since ``spent.counted_to_s``
    """
    missing = max(0, pool.size - up)
    start_s = spent.quarter_start_s
    counted_to_s = max(spent.counted_to_s, start_s)
    total_s = spent.spent_s
    if now_s >= start_s + QUARTER_S:
        start_s += QUARTER_S * ((now_s - start_s) // QUARTER_S)
        counted_to_s = max(counted_to_s, start_s)
        total_s = 0.0
    total_s += missing * max(0.0, now_s - counted_to_s)
    return Spent(spent.pool, start_s, total_s, now_s)


def left_s(pool: configuration.Pool, spent: Spent | None) -> float:
    """Say how many VM-seconds below its size the pool may still spend."""
    used_s = 0.0 if spent is None else spent.spent_s
    return pool.unavailability_budget_s - used_s


def affords(
    pool: configuration.Pool,
    spent: Spent | None,
    up: int,
    out: int,
    absence_s: float,
) -> bool:
    """Say whether the quarter's budget carries one more absent VM.

    VMs that are out already are assumed to stay so for ``absence_s``.

    :param up: VMs that serve now, before the next one is taken
    :param out: VMs of the pool that are absent now
    :param absence_s: how long a VM is absent, on the high side
    """
    missing_after = max(0, pool.size - (up - 1))
    if missing_after == 0:
        return True
    committed = min(missing_after, out + 1)
    return committed * absence_s <= left_s(pool, spent)
