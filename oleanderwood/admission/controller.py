"""Turns pools' load into figures, one publication after another. Pure.

The state between publications keeps a limit from ending all at once: all
callers that were refused would then retry together and fill the pool again.
"""

import collections
import collections.abc
import dataclasses

from oleanderwood.admission import fair_share
from oleanderwood.admission import figures as figures_
from oleanderwood.admission import gate as gates
from oleanderwood.admission import load as loads_
from oleanderwood import ids
from oleanderwood.tenants import access
from oleanderwood.tenants import usage as usage_

MAX_RISE_FACTOR = 2.0
"""Largest factor by which a share rises per publication. Refused callers retry
within a second, so a share that rose at once would admit all of them."""

ARRIVAL_WINDOW_S = 1.0
"""Window of the arrivals from which demand is estimated: a burst that ends or
begins shows within it, and it holds enough jobs of a sampled tenant."""

RETRY_SPAN_S = 3.0
"""Time for which a refused caller retries, 2.9 s as observed."""

RETRY_PUBLICATIONS = 8
"""Publications after which refused callers are expected to have given up, one
each 0.25 s. This is less than their time, as the estimate of what they send
lags behind the end of a burst by a second."""

RETRY_GAP_PUBLICATIONS = 3.0
"""Mean pause between two calls of a refused caller, 0.7 s, in publications."""

SMOOTHING = 0.5
"""Weight of the newest estimate of a demand that is estimated from a sample:
four jobs that were admitted within a second are off by half."""

SHARE_DIGITS = 3
"""Decimal places of a published share, a fiftieth of the smallest one."""


@dataclasses.dataclass
class Limit:
    """A pool that is limited.

    :ivar shares: fraction that is admitted, by tenant with less than 1
    :ivar demand: smoothed demand of these tenants, in core-seconds per second
    :ivar refused: what was refused of it at recent publications, oldest first
    :ivar too_late: even assured work would end too late
    :ivar logged_s: when it was last logged
    """

    shares: dict[ids.TenantId, float] = dataclasses.field(default_factory=dict)
    demand: dict[ids.TenantId, float] = dataclasses.field(default_factory=dict)
    refused: collections.deque[dict[ids.TenantId, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RETRY_PUBLICATIONS)
    )
    too_late: bool = False
    logged_s: float = -1e9


@dataclasses.dataclass(frozen=True)
class _Published:
    at_s: float
    pools: dict[ids.ServiceId, figures_.PoolFigures]


@dataclasses.dataclass
class Controller:
    """State of a term's admission control between publications.

    :ivar salt: key of the hash by which jobs are sampled
    :ivar number: number of the last publication
    :ivar limits: limited pools
    :ivar published: recent publications, oldest first
    :ivar offers: last estimate of what tenants send to pools in which work
        waits and to limited ones, whether it was admitted or not
    """

    term: int
    salt: str
    number: int = 0
    limits: dict[ids.ServiceId, Limit] = dataclasses.field(
        default_factory=dict
    )
    published: collections.deque[_Published] = dataclasses.field(
        default_factory=collections.deque
    )
    offers: loads_.Offers = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Rules:
    """What decisions depend on besides the load.

    :ivar weights: weight of each tenant
    :ivar max_wait_factor: a job that would end later than this multiple of
        its objective is refused
    """

    weights: collections.abc.Mapping[ids.TenantId, float]
    max_wait_factor: float


@dataclasses.dataclass(frozen=True)
class Decision:
    """The outcome of one pass.

    :ivar figures: what has to be sent; None if nothing has
    :ivar opened: pools that are no longer limited
    """

    figures: figures_.Figures | None
    opened: tuple[ids.ServiceId, ...] = ()


def arrival(
    controller: Controller,
    pool: ids.ServiceId,
    tenant: ids.TenantId,
    job: ids.JobId,
    core_s: float,
    at_s: float,
    now_s: float,
) -> loads_.Arrival:
    """Return a job's arrival with the number of sent jobs that it stands for.

    Only jobs below the smallest share of the last seconds count as evidence:
    another may be a retry that was admitted because the share has risen.
    Counted like new ones, retries would look like a burst that goes on.
    """
    least = 1.0
    if tenant != access.NO_TENANT:
        least = _least_share(controller, pool, tenant, at_s)
    stands_for = 1.0 / least
    if least < 1.0 and gates.position(controller.salt, job) >= least:
        stands_for = 0.0
    return loads_.Arrival(pool, tenant, core_s, stands_for, now_s - at_s)


def _least_share(
    controller: Controller,
    pool: ids.ServiceId,
    tenant: ids.TenantId,
    at_s: float,
) -> float:
    """Return a tenant's least share in the time for which callers retry."""
    least = 1.0
    for row in reversed(controller.published):
        if row.at_s > at_s:
            continue
        if at_s - row.at_s >= RETRY_SPAN_S:
            break
        limited = row.pools.get(pool)
        if limited is not None:
            least = min(least, figures_.share_of(limited, tenant))
    return least


def decide(
    controller: Controller,
    loads: collections.abc.Mapping[ids.ServiceId, loads_.PoolLoad],
    arrivals: collections.abc.Iterable[loads_.Arrival],
    rules: Rules,
    now_s: float,
) -> Decision:
    """Decide what servers admit from now on.

    :param loads: of pools in which work waits, and of limited pools
    :param arrivals: of the last ``ARRIVAL_WINDOW_S``, in all pools
    """
    controller.offers = loads_.offers(
        arrivals, loads, rules.weights, usage_.MIN_WEIGHT
    )
    for pool in list(controller.limits):
        if pool not in loads:
            del controller.limits[pool]
    pools = {}
    for pool, load in loads.items():
        _update_limit(controller, pool, load, rules)
        limit = controller.limits.get(pool)
        if limit is not None and limit.shares:
            pools[pool] = _figures(load, limit, rules)
    return _publish(controller, pools, now_s)


def _publish(
    controller: Controller,
    pools: dict[ids.ServiceId, figures_.PoolFigures],
    now_s: float,
) -> Decision:
    published = controller.published
    last = published[-1].pools if published else {}
    if not pools and not last:
        return Decision(None)
    controller.number += 1
    published.append(_Published(now_s, pools))
    keep_s = ARRIVAL_WINDOW_S + RETRY_SPAN_S
    while published[0].at_s < now_s - keep_s:
        published.popleft()
    figures = figures_.Figures(
        controller.term,
        controller.number,
        figures_.LIFETIME_MS,
        controller.salt,
        pools,
    )
    return Decision(figures, tuple(pool for pool in last if pool not in pools))


def _update_limit(
    controller: Controller,
    pool: ids.ServiceId,
    load: loads_.PoolLoad,
    rules: Rules,
) -> None:
    """Begin, adjust or end the limit of a pool."""
    offers = controller.offers.get(pool, {})
    demand = sum(offer.core_s_per_s for offer in offers.values())
    limit = controller.limits.get(pool)
    if limit is None:
        if not load.is_waiting or not loads_.is_short(load, demand):
            return
        limit = controller.limits[pool] = Limit()
        limit.too_late = _is_too_late(load, rules, limit)
        limit.shares = _shares(load, offers, limit, rules)
        return
    limit.too_late = _is_too_late(load, rules, limit)
    _smooth(limit, offers)
    wanted = _shares(load, offers, limit, rules)
    limit.shares = _raise_slowly(limit, wanted, load.is_waiting)
    threshold_s = loads_.ARRIVAL_PART * load.horizon_s
    is_relieved = loads_.wait_s(load) < threshold_s / 2
    if not limit.shares and (is_relieved or not load.is_waiting):
        del controller.limits[pool]


def _is_too_late(load: loads_.PoolLoad, rules: Rules, limit: Limit) -> bool:
    """Return whether an assured job would end too late to be of use.

    Once this holds, it ends at half of the threshold. It never holds while
    the pool awaits machines: a refusal would also hide the demand for which
    they are moved.
    """
    if load.awaits_machines:
        return False
    max_s = rules.max_wait_factor * load.horizon_s
    if limit.too_late:
        max_s /= 2
    end_s = loads_.wait_s(load) + loads_.ARRIVAL_PART * load.horizon_s
    return end_s > max_s


def _shares(
    load: loads_.PoolLoad,
    offers: dict[ids.TenantId, loads_.Offer],
    limit: Limit,
    rules: Rules,
) -> dict[ids.TenantId, float]:
    """Return the shares below 1 that fit what the pool can take.

    Jobs without a tenant are never refused; they count before all others.
    """
    claims = [
        fair_share.Claim(
            tenant,
            offer.core_s_per_s,
            offer.core_s_per_s * offer.assured,
            usage_.weight_of(rules.weights, tenant),
        )
        for tenant, offer in offers.items()
        if tenant != access.NO_TENANT and offer.core_s_per_s > 0
    ]
    free = offers.get(access.NO_TENANT, loads_.Offer()).core_s_per_s
    if limit.too_late:
        max_wait_s = rules.max_wait_factor * load.horizon_s
        rate = loads_.assured_rate(load, max_wait_s) - free
        given = fair_share.scale_assured(claims, rate)
    else:
        rate = loads_.admissible_rate(load) - free
        given = fair_share.divide(claims, rate)
    shares = {}
    for claim in claims:
        share = round(given[claim.tenant] / claim.asked, SHARE_DIGITS)
        if share < 1.0:
            shares[claim.tenant] = max(fair_share.MIN_SHARE, share)
    return shares


def _smooth(limit: Limit, offers: dict[ids.TenantId, loads_.Offer]) -> None:
    """Smooth the demand of tenants of which a sample is admitted."""
    demand = {}
    for tenant in limit.shares:
        offer = offers.setdefault(tenant, loads_.Offer())
        known = limit.demand.get(tenant, offer.core_s_per_s)
        smoothed = known + SMOOTHING * (offer.core_s_per_s - known)
        if offer.core_s_per_s > 0:
            factor = smoothed / offer.core_s_per_s
            offer.jobs_per_s *= factor
            offer.assured = min(1.0, offer.assured / factor)
        offer.core_s_per_s = demand[tenant] = smoothed
    limit.demand = demand


def _raise_slowly(
    limit: Limit, wanted: dict[ids.TenantId, float], is_waiting: bool
) -> dict[ids.TenantId, float]:
    """Return the shares below 1 after a rise of limited size.

    With a share, retries of callers that were refused before are admitted
    besides new calls. A share therefore rises by the part that new calls have
    of both. While no task waits, workers have room, and it rises by as much
    as it may.
    """
    shares = {}
    for tenant in {**limit.shares, **wanted}:
        before = limit.shares.get(tenant, 1.0)
        most = min(1.0, MAX_RISE_FACTOR * before)
        share = wanted.get(tenant, 1.0)
        if not is_waiting:
            share = most
        elif share > before:
            demand = limit.demand.get(tenant, 0.0)
            retries = sum(row.get(tenant, 0.0) for row in limit.refused)
            retries /= RETRY_GAP_PUBLICATIONS
            part = demand / (demand + retries) if retries else 1.0
            share = min(most, before + part * (share - before))
        if share < 1.0 - 10**-SHARE_DIGITS:
            shares[tenant] = round(share, SHARE_DIGITS)
    limit.refused.append(
        {
            tenant: (1.0 - share) * limit.demand.get(tenant, 0.0)
            for tenant, share in shares.items()
        }
    )
    return shares


def _figures(
    load: loads_.PoolLoad, limit: Limit, rules: Rules
) -> figures_.PoolFigures:
    holder = max(
        load.by_tenant,
        key=lambda tenant: (
            load.by_tenant[tenant] / usage_.weight_of(rules.weights, tenant)
        ),
        default=access.NO_TENANT,
    )
    return figures_.PoolFigures(
        wait_s=round(loads_.wait_s(load), 2),
        retry_after_s=round(loads_.retry_after_s(load), 2),
        shares=dict(limit.shares),
        holder=holder,
        too_late=limit.too_late,
    )
