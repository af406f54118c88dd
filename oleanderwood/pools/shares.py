"""Whose waiting work goes first where a pool is full. Pure.

Load it answers: a large tenant's hour fills a pool, and the few jobs of small
ones would wait behind all of it. A tenant goes first that has the least
running for its weight; what it has waiting in turn counts as running, so that
none gets more than its share at once. Where nobody else waits, a tenant may
have all that is free.
"""

import collections
import collections.abc
import heapq

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import quotas as quotas_

LEAST_WEIGHT = 1.0
"""Weight of work without a tenant, and of tenants that have gone."""

RATE_SPAN_S = 1.0
"""Span in which a tenant may count on its weight in jobs."""

Weights = collections.abc.Mapping[ids.TenantId, float]


def is_beyond(
    arrivals_s: collections.deque[float], weight: float, now_s: float
) -> bool:
    """Note an arrival; says whether its tenant sends more than its weight.

    :param arrivals_s: of the tenant's jobs that weren't beyond it, lately
    """
    while arrivals_s and now_s - arrivals_s[0] >= RATE_SPAN_S:
        arrivals_s.popleft()
    if len(arrivals_s) >= max(LEAST_WEIGHT, weight) * RATE_SPAN_S:
        return True
    arrivals_s.append(now_s)
    return False


def in_turn(
    groups: list[ledgers.Group],
    quotas: quotas_.Quotas,
    weights: Weights,
    whole: model.Resources,
) -> list[ledgers.Group]:
    """Order groups of the same urgency by their tenants' shares.

    The groups of one tenant keep their order.

    :param whole: what all workers have together
    """
    queues: dict[ids.TenantId, collections.deque[ledgers.Group]] = {}
    for group in groups:
        tenant = group.entry.job.tenant
        queues.setdefault(tenant, collections.deque()).append(group)
    if len(queues) < 2:
        return groups
    line: list[tuple[float, int, ids.TenantId]] = []
    for place, tenant in enumerate(queues):
        used = quotas.used.get(tenant, quotas_.Used())
        share = _share(
            used.cpu_millicores, used.memory_mb, used.gpus, whole
        ) / _weight(weights, tenant)
        heapq.heappush(line, (share, place, tenant))
    ordered = []
    while line:
        share, place, tenant = heapq.heappop(line)
        group = queues[tenant].popleft()
        ordered.append(group)
        if queues[tenant]:
            needs = group.step.needs
            waiting = len(group.waiting)
            share += _share(
                waiting * needs.cpu_millicores,
                waiting * needs.memory_mb,
                waiting * needs.gpus,
                whole,
            ) / _weight(weights, tenant)
            heapq.heappush(line, (share, place, tenant))
    return ordered


def _weight(weights: Weights, tenant: ids.TenantId) -> float:
    return max(LEAST_WEIGHT, weights.get(tenant, LEAST_WEIGHT))


def _share(
    cpu_millicores: float,
    memory_mb: float,
    gpus: float,
    whole: model.Resources,
) -> float:
    """Give the part of the resource of which it is most."""
    return max(
        cpu_millicores / max(1, whole.cpu_millicores),
        memory_mb / max(1, whole.memory_mb),
        gpus / max(1, whole.gpus),
    )
