"""Tests of the order of tenants' work where a pool is full."""

import collections

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.policy import model as policies
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shares
from oleanderwood.pools import waiting_order
from oleanderwood.tenants import model as tenants_
from tests import utils_jobs as build

LARGE, SMALL = ids.TenantId('large'), ids.TenantId('small')
WEIGHTS = {LARGE: 3.0, SMALL: 1.0}
WHOLE = model.Resources(16000, 64000)


def _ledger(rows):
    """Build one job of one task for each tenant given, in order of arrival."""
    jobs = [
        msgspec.structs.replace(
            build.job(build.step(1), name=f'{number:016x}'), tenant=tenant
        )
        for number, tenant in enumerate(rows)
    ]
    return build.ledger_with(*jobs)


def _order(ledger, workers=(), known=None, weights=None):
    limits = {LARGE: tenants_.Limit(), SMALL: tenants_.Limit()}
    quotas = quotas_.make(policies.Policy(), workers, ledger, limits)
    ready = waiting_order.ready_by_pool(
        ledger,
        known or {'q': build.queue()},
        lengths.Lengths(),
        0.0,
        1.0,
        tenant_order=lambda groups: shares.order_by_share(
            groups, quotas, weights or WEIGHTS, WHOLE
        ),
    )
    return [group.entry.job.tenant for group in ready[build.POOL]]


def test_small_tenant_does_not_wait_behind_a_flood():
    """In order of arrival its job would be the 101st."""
    order = _order(_ledger([LARGE] * 100 + [SMALL]))
    assert order.index(SMALL) <= 1


def test_capacity_is_shared_by_weight_where_both_wait():
    order = _order(_ledger([LARGE] * 40 + [SMALL] * 40))
    assert collections.Counter(order[:16]) == {LARGE: 12, SMALL: 4}


def test_runs_in_other_pools_count():
    ledger = _ledger([SMALL] * 4 + [LARGE] * 3 + [SMALL] * 3)
    other = build.worker('w2', service=ids.ServiceId('another'))
    for number in range(4):
        task = build.task(ledger, 0, 0, f'{number:016x}')
        build.start(ledger, task, other)
    assert _order(ledger, [other])[:3] == [LARGE] * 3


def test_only_tenant_gets_all_free_capacity():
    ledger = _ledger([LARGE] * 8)
    ready = waiting_order.ready_by_pool(
        ledger, {'q': build.queue()}, lengths.Lengths(), 0.0, 1.0
    )
    decided = placing.decide(
        ready[build.POOL], [build.worker()], 1.0, 100, quotas_.Quotas()
    )
    assert len(decided) == 8


def test_jobs_of_one_tenant_keep_their_order():
    ledger = _ledger([LARGE, SMALL] * 5)
    quotas = quotas_.Quotas()
    groups = [entry.groups[0, 0] for entry in ledger.entries.values()]
    ordered = shares.order_by_share(groups, quotas, WEIGHTS, WHOLE)
    for tenant in (LARGE, SMALL):
        rows = [row for row in ordered if row.entry.job.tenant == tenant]
        assert rows == [row for row in groups if row in rows]


def test_urgent_jobs_go_first_for_any_tenant():
    ledger = _ledger([SMALL] * 3 + [LARGE] * 3)
    for number, entry in enumerate(ledger.entries.values()):
        queue = build.queue(name='urgent' if number >= 3 else 'q', priority=0)
        entry.job = msgspec.structs.replace(entry.job, queue=queue)
    known = {
        'q': build.queue(priority=1),
        'urgent': build.queue(name='urgent', priority=0),
    }
    assert _order(ledger, known=known)[:3] == [LARGE] * 3


def test_jobs_beyond_the_rate_come_last():
    ledger = _ledger([LARGE] * 5 + [SMALL])
    for number, entry in enumerate(ledger.entries.values()):
        entry.over_rate = number < 5
    assert _order(ledger)[0] == SMALL


def test_rate_is_counted_by_the_second():
    arrivals_s = collections.deque()
    seen = [shares.is_beyond(arrivals_s, 3.0, at_s * 0.1) for at_s in range(5)]
    assert seen == [False, False, False, True, True]
    assert not shares.is_beyond(arrivals_s, 3.0, 1.05)
