"""Divides what a pool can take among tenants: weighted max-min. Pure.

Designed for one tenant that sends many times its usual load among many small
ones, and for all tenants together sending more than the pool can do.
"""

import collections.abc
import dataclasses

from oleanderwood import ids

MIN_SHARE = 0.05
"""Smallest fraction of a tenant's jobs that is admitted. The leader estimates
what a tenant asks for from the jobs that were admitted; from a smaller sample
it would not notice the end of a burst within a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a tenant asks of a pool, in core-seconds per second.

    :ivar assured: the part of ``asked`` within the tenant's assured rate
    """

    tenant: ids.TenantId
    asked: float
    assured: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    """A tenant's amount: ``base + level * weight`` between two bounds."""

    base: float
    weight: float
    low: float
    high: float


def divide(
    claims: collections.abc.Sequence[Claim], rate: float
) -> dict[ids.TenantId, float]:
    """Return what each tenant is given, its assured part in any case.

    The rest is divided in proportion to weights among those that ask for
    more.

    :param rate: what the pool can take, in core-seconds per second
    """
    rows = [
        _Row(
            claim.assured,
            claim.weight,
            max(claim.assured, MIN_SHARE * claim.asked),
            claim.asked,
        )
        for claim in claims
    ]
    return _given(claims, rows, rate)


def scale_assured(
    claims: collections.abc.Sequence[Claim], rate: float
) -> dict[ids.TenantId, float]:
    """Return what each tenant is given of its assured part alone.

    All are cut to the same level for their weight; those below it get all
    that they ask for within their assured rate.

    :param rate: what the pool can take, in core-seconds per second
    """
    rows = [
        _Row(
            0.0,
            claim.weight,
            MIN_SHARE * claim.asked,
            max(claim.assured, MIN_SHARE * claim.asked),
        )
        for claim in claims
    ]
    return _given(claims, rows, rate)


def _given(
    claims: collections.abc.Sequence[Claim],
    rows: list[_Row],
    rate: float,
) -> dict[ids.TenantId, float]:
    level = _level(rows, rate)
    return {
        claim.tenant: _amount(row, level)
        for claim, row in zip(claims, rows, strict=True)
    }


def _amount(row: _Row, level: float) -> float:
    return min(row.high, max(row.low, row.base + level * row.weight))


def _level(rows: list[_Row], rate: float) -> float:
    """Return the level, from 0, at which the amounts add up to a rate.

    An amount grows with the level from where it leaves its lower bound to
    where it reaches its upper one. The level is found between two of these
    points.
    """
    left = rate - sum(_amount(row, 0.0) for row in rows)
    if left <= 0.0:
        return 0.0
    bends: list[tuple[float, float]] = []
    for row in rows:
        if row.high > row.low:
            bends.append(((row.low - row.base) / row.weight, row.weight))
            bends.append(((row.high - row.base) / row.weight, -row.weight))
    level = slope = 0.0
    for at, change in sorted(bends):
        grown = slope * (at - level)
        if grown >= left:
            return level + left / slope
        left -= grown
        level = at
        slope += change
    return level
