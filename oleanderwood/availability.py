"""Access to the account of unavailability that each pool has spent.

Pure. Kept in the store as one value a region, ``availability/REGION``. It
counts VM-seconds below the pool's size, wave or failure alike, up to the
last write; the time since then is counted at what was missing at that write
or is missing now, whichever is more, so that no change of leader is free.
"""

import collections.abc

import msgspec

from oleanderwood import budget
from oleanderwood import configuration
from oleanderwood import ids

KEY_PREFIX = 'availability/'
WRITE_EVERY_S = 60.0
"""How often an account that grows is written."""


class Line(msgspec.Struct, frozen=True, array_like=True):
    """One pool's account; ``missing`` VMs were below its size."""

    pool: ids.PoolId
    spent_s: float
    missing: int


class Account(msgspec.Struct, frozen=True, array_like=True):
    """A region's account; pools that spent nothing have no line."""

    quarter_start_s: float = 0.0
    counted_to_s: float = 0.0
    lines: tuple[Line, ...] = ()


def key(region: ids.Region) -> str:
    """Name the store's key of a region's account."""
    return f'{KEY_PREFIX}{region}'


def quarter_start_s(now_s: float) -> float:
    """Give the start of the quarter that a time lies in."""
    return now_s - now_s % budget.QUARTER_S


def count(
    account: Account,
    pools: collections.abc.Mapping[ids.PoolId, configuration.Pool],
    up: collections.abc.Mapping[ids.PoolId, int],
    now_s: float,
) -> Account:
    """Count the time since the last call.

    :param up: VMs that serve now, by pool
    """
    start_s = quarter_start_s(now_s)
    same = start_s == account.quarter_start_s
    since_s = account.counted_to_s if same else start_s
    if account.counted_to_s == 0.0:
        since_s = now_s
    passed_s = max(0.0, now_s - since_s)
    known = {line.pool: line for line in account.lines}
    lines = []
    for pool_id, pool in pools.items():
        missing = max(0, pool.size - up.get(pool_id, 0))
        line = known.get(pool_id, Line(pool_id, 0.0, 0))
        spent_s = line.spent_s if same else 0.0
        spent_s += max(missing, line.missing) * passed_s
        if spent_s or missing:
            lines.append(Line(pool_id, spent_s, missing))
    counted_to_s = max(now_s, account.counted_to_s)
    return Account(start_s, counted_to_s, tuple(lines))


def spent(account: Account) -> dict[ids.PoolId, budget.Spent]:
    """Give the account by pool, as the wave planner reads it."""
    return {
        line.pool: budget.Spent(
            line.pool,
            account.quarter_start_s,
            line.spent_s,
            account.counted_to_s,
        )
        for line in account.lines
    }


def must_write(kept: Account, now: Account) -> bool:
    """Say whether the store's account is out of date."""
    if kept.quarter_start_s != now.quarter_start_s:
        return True
    if _missing(kept) != _missing(now):
        return True
    grows = any(line.missing for line in now.lines)
    return grows and now.counted_to_s - kept.counted_to_s >= WRITE_EVERY_S


def _missing(account: Account) -> dict[ids.PoolId, int]:
    return {line.pool: line.missing for line in account.lines if line.missing}
