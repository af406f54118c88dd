"""Orders waiting work by tenant where a pool is full. Pure.

Designed for a busy hour of a large tenant that fills a pool, where the few
jobs of small tenants would wait behind all of it. The tenant with the least
running for its weight goes first; its work that already has a place in the
order counts as running, so none gets more than its share at once. A tenant may
use all free capacity while no other tenant waits.
"""

import collections
import collections.abc
import heapq

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import quotas as quotas_
from oleanderwood.tenants import usage as usage_

MIN_WEIGHT = usage_.MIN_WEIGHT
"""Weight of work without a tenant, and of tenants that were removed."""

RATE_WINDOW_S = 1.0
"""Window in seconds in which a tenant may submit as many jobs as its
weight."""

Weights = usage_.Weights


def is_beyond(
    arrivals_s: collections.deque[float], weight: float, now_s: float
) -> bool:
    """Record an arrival; return whether it exceeds the rate set by the weight.

    :param arrivals_s: recent arrivals of the tenant that did not exceed it
    """
    while arrivals_s and now_s - arrivals_s[0] >= RATE_WINDOW_S:
        arrivals_s.popleft()
    if len(arrivals_s) >= max(MIN_WEIGHT, weight) * RATE_WINDOW_S:
        return True
    arrivals_s.append(now_s)
    return False


def order_by_share(
    groups: list[ledgers.Group],
    quotas: quotas_.Quotas,
    weights: Weights,
    whole: model.Resources,
    recent: usage_.Usage | None = None,
) -> list[ledgers.Group]:
    """Order groups of equal urgency by their tenants' shares.

    The groups of one tenant keep their order.

    :param whole: total capacity of all workers
    :param recent: recent use, which counts like running work; None: only
        running work counts
    """
    queues: dict[ids.TenantId, collections.deque[ledgers.Group]] = {}
    for group in groups:
        tenant = group.entry.job.tenant
        queues.setdefault(tenant, collections.deque()).append(group)
    if len(queues) < 2:
        return groups
    heap: list[tuple[float, int, ids.TenantId]] = []
    for position, tenant in enumerate(queues):
        used = quotas.used.get(tenant, quotas_.Usage())
        share = _dominant_share(
            used.cpu_millicores, used.memory_mb, used.gpus, whole
        )
        if recent is not None:
            millicores = 1000 * usage_.recent_cores(recent, tenant)
            share += millicores / max(1, whole.cpu_millicores)
        share /= usage_.weight_of(weights, tenant)
        heapq.heappush(heap, (share, position, tenant))
    ordered = []
    while heap:
        share, position, tenant = heapq.heappop(heap)
        group = queues[tenant].popleft()
        ordered.append(group)
        if queues[tenant]:
            needs = group.step.needs
            waiting = len(group.waiting)
            share += _dominant_share(
                waiting * needs.cpu_millicores,
                waiting * needs.memory_mb,
                waiting * needs.gpus,
                whole,
            ) / usage_.weight_of(weights, tenant)
            heapq.heappush(heap, (share, position, tenant))
    return ordered


def _dominant_share(
    cpu_millicores: float,
    memory_mb: float,
    gpus: float,
    whole: model.Resources,
) -> float:
    """Return the largest share of any one resource."""
    return max(
        cpu_millicores / max(1, whole.cpu_millicores),
        memory_mb / max(1, whole.memory_mb),
        gpus / max(1, whole.gpus),
    )
