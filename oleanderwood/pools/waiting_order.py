"""Orders the work that is ready to start, pool by pool. Pure."""

import collections.abc
import itertools

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.pools import advised
from oleanderwood.pools import burst_order
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import urgency


TenantOrder = collections.abc.Callable[
    [list[ledgers.Group]], list[ledgers.Group]
]


def ready_by_pool(
    ledger: ledgers.Ledger,
    known: dict[str, queues.Queue],
    lengths: lengths_.Lengths,
    wall_ms: float,
    now_s: float,
    only: set[ids.ServiceId] | None = None,
    tenant_order: TenantOrder = list,
    ordering: burst_order.Ordering | None = None,
) -> dict[ids.ServiceId, list[ledgers.Group]]:
    """Return the groups that are ready to start, in order, by pool.

    :param only: pools to include; None: all of them
    :param tenant_order: orders groups of equal urgency by their tenants
    :param ordering: orders the work of pools that can't serve all of it by
        what can end in time; None: by arrival
    """
    ledgers.open_due(ledger, wall_ms)
    ready: dict[ids.ServiceId, list[ledgers.Group]] = {}
    due: dict[ids.ServiceId, list[ledgers.Group]] = {}
    for group in list(ledger.open_groups):
        service = urgency.queue_of(group.entry, known).service
        if only is not None and service not in only:
            continue
        if not group.waiting:
            continue
        if ordering is not None and _is_claim(group, wall_ms):
            due.setdefault(service, []).append(group)
        if not ledgers.is_ready(group, wall_ms):
            continue
        if advised.awaits_advice(group, known, now_s):
            continue
        ready.setdefault(service, []).append(group)
    return {
        service: _ordered(
            service,
            groups,
            due.get(service, []),
            known,
            lengths,
            now_s,
            tenant_order,
            ledger,
            ordering,
        )
        for service, groups in ready.items()
    }


def _ordered(
    service: ids.ServiceId,
    groups: list[ledgers.Group],
    due: list[ledgers.Group],
    known: dict[str, queues.Queue],
    lengths: lengths_.Lengths,
    now_s: float,
    tenant_order: TenantOrder,
    ledger: ledgers.Ledger,
    ordering: burst_order.Ordering | None,
) -> list[ledgers.Group]:
    """Return the ready groups of a pool in order.

    :param due: groups whose jobs compete for the pool, ready or not
    """
    burst = None
    if ordering is not None:
        burst = burst_order.find_burst(
            ordering, service, groups, due, known, lengths, now_s, ledger
        )
    rows = []
    for group in groups:
        queue = urgency.queue_of(group.entry, known)
        if burst is None:
            key = urgency.rank(group, queue, lengths, now_s)
        else:
            key = urgency.rank(group, queue, lengths, now_s, burst.chosen)
        rows.append((key, group))
    rows.sort(key=lambda row: row[0])
    found = _by_tenant(rows, tenant_order, burst is not None)
    if burst is None:
        return found
    return burst_order.with_last_tier(rows, found, burst)


def _by_tenant(
    rows: list[tuple[tuple, ledgers.Group]],
    tenant_order: TenantOrder,
    is_burst: bool,
) -> list[ledgers.Group]:
    """Return the groups, those of equal urgency ordered by their tenants.

    Jobs chosen to end in time are kept in the order that makes them do so;
    tenants' shares have counted in the choice.
    """
    found: list[ledgers.Group] = []
    for key, alike in itertools.groupby(rows, _urgency_of):
        groups = [group for _key, group in alike]
        if is_burst and key[0] and key[1] == urgency.Tier.IN_TIME:
            found += groups
        else:
            found += tenant_order(groups)
    return found


def _is_claim(group: ledgers.Group, wall_ms: float) -> bool:
    """Return whether a step's work competes for its pool's cores now."""
    entry = group.entry
    if group.step.is_long_running:
        return False
    return wall_ms >= model.due_ms(entry.job, group.occurrence)


def _urgency_of(row: tuple[tuple, ledgers.Group]) -> tuple:
    """Return the part of a urgency.rank that precedes the arrival time."""
    key, _group = row
    return key[:3]
