"""Compares a pool's accepted and expected work with what it can do. Pure.

Addresses a burst of callers beyond a pool's capacity: jobs that are accepted
beyond it make all others of the pool late.
"""

import collections
import collections.abc
import dataclasses
import math

from oleanderwood import ids

MIN_HORIZON_S = 1.0
MAX_HORIZON_S = 6.0
"""Bounds of the horizon. In less than a second the figures cannot follow the
load, and arrivals are not expected to last longer than six."""

ARRIVAL_PART = 0.5
"""Part of the horizon whose arrivals have to be done within it. A job runs for
about half of its objective, so what arrives later cannot end within the
horizon anyway."""

USED_PART = 0.7
"""Part of the supply up to which a limited pool accepts work. Jobs beyond a
tenant's rate wait for all others, so with the whole supply given away these
would end late: in a simulated burst of fourteen times the usual load, work
that ended in time rose from 0.65 to 0.71 of what the pool can do."""

RECENT_S = 0.25
RELIABLE_ARRIVALS = 5
"""Window and number of arrivals from which a rising rate is believed. Averaged
over a second, a burst of fourteen times the usual load would fill the pool for
several seconds before it was recognized."""

PRIOR_JOBS = 5.0
"""Jobs of its pool's mean size that a tenant's own ones are averaged with:
sizes differ by several times, and a sample has few jobs."""

MAX_WAIT_S = 60.0
"""Longest expected wait that is told; a pool without workers has no bound."""

MIN_CORES = 0.001
"""Cores of a pool without workers, so that waits can be computed."""


@dataclasses.dataclass(slots=True)
class Offer:
    """What a tenant sends to a pool, as estimated from admitted jobs.

    :ivar core_s_per_s: work, in core-seconds per second
    :ivar assured: part of it within the tenant's assured rate, from 0 to 1
    :ivar jobs: admitted jobs from which this was estimated
    :ivar core_s: work of these jobs
    """

    core_s_per_s: float = 0.0
    jobs_per_s: float = 0.0
    assured: float = 1.0
    jobs: int = 0
    core_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that arrived at the leader.

    :ivar stands_for: number of sent jobs that it is evidence of
    :ivar age_s: time since its arrival
    """

    pool: ids.ServiceId
    tenant: ids.TenantId
    core_s: float
    stands_for: float = 1.0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """A pool's capacity and its accepted work.

    :ivar cores: usable cores now
    :ivar later_cores: usable cores from ``later_s`` on
    :ivar horizon_s: mean objective of its waiting and arriving jobs
    :ivar accepted_core_s: remaining work of its accepted jobs that are not
        too late
    :ivar assured_core_s: the waiting part of it that is within its tenants'
        rates
    :ivar by_tenant: accepted work by tenant, in core-seconds
    :ivar is_waiting: tasks are ready that fit on no worker
    :ivar awaits_machines: the pool has far fewer machines than it is about to
        get, so that its present wait says little of the wait to come
    """

    cores: float
    later_cores: float
    later_s: float
    horizon_s: float
    accepted_core_s: float = 0.0
    assured_core_s: float = 0.0
    by_tenant: dict[ids.TenantId, float] = dataclasses.field(
        default_factory=dict
    )
    is_waiting: bool = False
    awaits_machines: bool = False


Offers = dict[ids.ServiceId, dict[ids.TenantId, Offer]]


def horizon_s(objectives_s: collections.abc.Collection[float]) -> float:
    """Return the time within which work has to be done, by objectives."""
    if not objectives_s:
        return MIN_HORIZON_S
    mean_s = sum(objectives_s) / len(objectives_s)
    return min(MAX_HORIZON_S, max(MIN_HORIZON_S, mean_s))


def offers(
    arrivals: collections.abc.Iterable[Arrival],
    pools: collections.abc.Container[ids.ServiceId],
    weights: collections.abc.Mapping[ids.TenantId, float],
    min_weight: float,
) -> Offers:
    """Estimate what tenants send to some pools, from a second's arrivals.

    The assured rate of a tenant covers the jobs of all pools alike. It holds
    on average: a tenant exceeds it only by what is more than chance, as small
    ones often send two jobs within a second.

    :param arrivals: in all pools
    :param weights: jobs a second that a tenant is assured
    """
    found: Offers = {}
    recent: Offers = {}
    totals: collections.Counter[ids.TenantId] = collections.Counter()
    whole: collections.Counter[ids.TenantId] = collections.Counter()
    for row in arrivals:
        totals[row.tenant] += row.stands_for
        whole[row.tenant] += row.stands_for == 1.0
        if row.pool not in pools:
            continue
        _add(found, row)
        if row.age_s < RECENT_S and row.stands_for == 1.0:
            _add(recent, row)
    for pool, tenants in found.items():
        _shrink_sizes(tenants)
        for tenant, offer in tenants.items():
            _extrapolate(offer, recent.get(pool, {}).get(tenant))
            sent = max(totals[tenant], offer.jobs_per_s)
            sent -= math.sqrt(whole[tenant])
            weight = max(min_weight, weights.get(tenant, min_weight))
            offer.assured = min(1.0, weight / max(weight, sent))
    return found


def _add(found: Offers, row: Arrival) -> None:
    offer = found.setdefault(row.pool, {}).setdefault(row.tenant, Offer())
    offer.jobs_per_s += row.stands_for
    offer.jobs += 1
    offer.core_s += row.core_s


def _shrink_sizes(tenants: dict[ids.TenantId, Offer]) -> None:
    """Shrink the mean size of each tenant's jobs towards that of the pool."""
    jobs = sum(offer.jobs for offer in tenants.values())
    pool_size = sum(offer.core_s for offer in tenants.values()) / jobs
    for offer in tenants.values():
        known = offer.core_s + PRIOR_JOBS * pool_size
        offer.core_s_per_s = (
            offer.jobs_per_s * known / (offer.jobs + PRIOR_JOBS)
        )


def _extrapolate(offer: Offer, recent: Offer | None) -> None:
    """Raise an estimate to the rate of the latest arrivals, if reliable."""
    if recent is None or recent.jobs_per_s < RELIABLE_ARRIVALS:
        return
    rate = recent.jobs_per_s / RECENT_S
    if rate > offer.jobs_per_s:
        offer.core_s_per_s *= rate / offer.jobs_per_s
        offer.jobs_per_s = rate


def supply_core_s(load: PoolLoad) -> float:
    """Return the work that a pool can do within its horizon."""
    now_s = min(load.later_s, load.horizon_s)
    later_s = load.horizon_s - now_s
    return load.cores * now_s + load.later_cores * later_s


def mean_cores(load: PoolLoad) -> float:
    """Return the mean number of usable cores within the horizon."""
    return max(MIN_CORES, supply_core_s(load) / load.horizon_s)


def is_short(load: PoolLoad, demand: float) -> bool:
    """Return whether accepted and expected work exceed what a pool can do.

    :param demand: expected arrivals, in core-seconds per second
    """
    expected_core_s = demand * ARRIVAL_PART * load.horizon_s
    return load.accepted_core_s + expected_core_s > supply_core_s(load)


def admissible_rate(load: PoolLoad) -> float:
    """Return what a pool can take, in core-seconds per second."""
    left_core_s = USED_PART * supply_core_s(load) - load.accepted_core_s
    return max(0.0, left_core_s / (ARRIVAL_PART * load.horizon_s))


def assured_rate(load: PoolLoad, max_wait_s: float) -> float:
    """Return what a pool can take of assured work while it is too late.

    It is what the pool does in a second, less what brings the wait down to
    half of the longest one within the time of its arrivals.
    """
    cores = mean_cores(load)
    excess_core_s = load.assured_core_s - cores * max_wait_s / 2
    return max(0.0, cores - excess_core_s / (ARRIVAL_PART * load.horizon_s))


def wait_s(load: PoolLoad) -> float:
    """Return the expected wait of a job that is admitted now.

    Work beyond tenants' rates does not go ahead of other work.
    """
    return min(MAX_WAIT_S, load.assured_core_s / mean_cores(load))


def retry_after_s(load: PoolLoad) -> float:
    """Return the time until the accepted work is done within the horizon."""
    span_s = ARRIVAL_PART * load.horizon_s
    done_s = load.accepted_core_s / mean_cores(load)
    return min(MAX_WAIT_S, max(0.0, done_s - span_s))
