"""Divide the machines among pools that together need more than there are.

Each pool's need is computed on its own, so the first pool to have a burst
would keep all machines, with half of them on work that is late or beyond its
customers' rates, while the callers of the next pool wait. The functions have
no side effects.
"""

import collections.abc
import dataclasses
import math

from oleanderwood import ids

MIN_CHANGE = 2
"""Machines by which a grant has to fall to take effect: one arrival of a large
job changes a need by one machine, and a moved machine serves nobody for 1.5 s.
"""

MIN_CHANGE_SHARE = 0.1
"""Share by which a grant has to fall to take effect. Rates of arrivals vary by
a fifth from pass to pass."""

SMALL_RISE_SHARE = 0.2
"""A rise by more than this share is not small, whatever its number of
machines: a pool that has one of its two machines serves half of its callers.
"""

ROUNDING_ERROR = 1e-6
"""Error of sums of fractions of machines."""


@dataclasses.dataclass(frozen=True)
class Claim:
    """What a pool could use, in machines; fractions are allowed.

    :ivar priority: best priority of its work; 0 is the highest
    :ivar held: running tasks that can still end in time, and all long-running
        ones
    :ivar assured: waiting work and expected arrivals within customers' rates
        that can be in time
    :ivar late: other work within customers' rates that is of use
    :ivar excess: work beyond customers' rates
    :ivar min_up: machines that operators have set as its minimum
    :ivar held_long_running: long-running tasks, included in ``held``
    :ivar unmeasured: what it expects without having measured it, included in
        ``assured`` and ``excess``
    :ivar reserve: machines that it keeps for a burst that has not started
    """

    service: ids.ServiceId
    priority: float
    held: float
    assured: float
    late: float
    excess: float
    min_up: int
    held_long_running: float = 0.0
    unmeasured: float = 0.0
    reserve: float = 0.0


Grants = dict[ids.ServiceId, int]


def grants(
    claims: collections.abc.Sequence[Claim], machine_count: int
) -> Grants:
    """Return how many machines each pool gets.

    Claims are granted by the worth of the work: what operators promise,
    long-running tasks, work that can be in time by its priority, running
    tasks, reserves, late work, and last work beyond customers' rates. No pool
    gets more than it asks for.
    """
    given = {claim.service: 0 for claim in claims}
    left = machine_count
    for rows in _steps(claims):
        shares = {
            service: machines - given[service]
            for service, machines in rows.items()
            if machines - given[service] > ROUNDING_ERROR
        }
        for service, count in _divide(shares, left).items():
            given[service] += count
            left -= count
    return given


def _steps(
    claims: collections.abc.Sequence[Claim],
) -> collections.abc.Iterator[dict[ids.ServiceId, float]]:
    """Yield the machines that pools ask for in total up to each step."""
    yield {claim.service: claim.min_up for claim in claims}
    yield {claim.service: claim.held_long_running for claim in claims}
    for priority in sorted({claim.priority for claim in claims}):
        yield {
            claim.service: claim.held_long_running + claim.assured
            for claim in claims
            if claim.priority == priority
        }
    sums = {claim.service: 0.0 for claim in claims}
    for parts in (
        lambda claim: claim.held + claim.assured,
        lambda claim: claim.reserve,
        lambda claim: claim.late,
        lambda claim: claim.excess,
    ):
        sums = {
            claim.service: sums[claim.service] + parts(claim)
            for claim in claims
        }
        yield sums


def _divide(shares: dict[ids.ServiceId, float], left: int) -> Grants:
    """Divide whole machines in proportion, the rest by largest remainder.

    No share counts for more than all that is left: a backlog that several
    fleets could not clear in time would displace the other pools.
    """
    shares = {name: min(share, left) for name, share in shares.items()}
    whole = sum(shares.values())
    if not whole or left <= 0:
        return {}
    scale = min(1.0, left / whole)
    given = {
        service: math.floor(share * scale + ROUNDING_ERROR)
        for service, share in shares.items()
    }
    left -= sum(given.values())
    by_remainder = sorted(
        shares,
        key=lambda name: (given[name] - shares[name] * scale, name),
    )
    for service in by_remainder:
        if left > 0 and given[service] < _round_up(shares[service]):
            given[service] += 1
            left -= 1
    return given


def _round_up(machines: float) -> int:
    return math.ceil(machines - ROUNDING_ERROR)


def asked(claim: Claim) -> int:
    """Return how many machines a pool needs at present."""
    return max(claim.min_up, _round_up(_machines(claim)))


def measured(claim: Claim) -> int:
    """Return how many of the machines that a pool needs are not a guess."""
    machines = _machines(claim) - claim.unmeasured
    return max(claim.min_up, _round_up(machines))


def _machines(claim: Claim) -> float:
    return claim.held + claim.assured + claim.late + claim.excess


def allocate(
    claims: collections.abc.Sequence[Claim],
    machine_count: int,
    previous: Grants,
) -> Grants:
    """Return the pools' grants; none while the machines suffice for all.

    They suffice if they do for what is measured: the guess for a burst that
    has just begun is twice the size of its pool, also on days of normal load.
    A grant that falls by little stays, so that machines do not move back and
    forth with chance differences between arrivals.

    :param previous: grants of the previous pass
    """
    if sum(map(measured, claims)) <= machine_count:
        return {}
    target = grants(claims, machine_count)
    steady = dict(target)
    for claim in claims:
        before = previous.get(claim.service, 0)
        most = asked(claim) + _round_up(claim.reserve)
        if _is_small_fall(before, target[claim.service]):
            steady[claim.service] = min(before, most)
    over = sum(steady.values()) - machine_count
    for claim in claims:
        rise = _small_rise(claim, previous, target[claim.service])
        cut = min(max(0, over), rise)
        steady[claim.service] -= cut
        over -= cut
    # Falls by little take effect where others need far more than before, or
    # the fleet has shrunk.
    for service in sorted(
        target, key=lambda name: (target[name] - steady[name], name)
    ):
        cut = min(max(0, over), max(0, steady[service] - target[service]))
        steady[service] -= cut
        over -= cut
    return steady


def _is_small_fall(before: int, target: int) -> bool:
    return 0 < before - target < _least_change(before)


def _small_rise(claim: Claim, previous: Grants, target: int) -> int:
    """Return by how much a grant may stay lower, as it rises by little."""
    before = previous.get(claim.service, 0)
    rise = target - before
    if (
        0
        < rise
        < min(
            _least_change(before), SMALL_RISE_SHARE * before + ROUNDING_ERROR
        )
    ):
        return min(rise, target - min(target, claim.min_up))
    return 0


def _least_change(before: int) -> float:
    return max(MIN_CHANGE, MIN_CHANGE_SHARE * before)
