"""Tests of which waiting jobs are chosen to end in time, and of recent use."""

import random
import time

import msgspec
import pytest

from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.pools import burst_order
from oleanderwood.pools import feasibility
from oleanderwood.pools import lengths
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shares
from oleanderwood.pools import waiting_order
from oleanderwood.tenants import usage as usage_
from tests import utils_jobs as build

A, B = ids.TenantId('a'), ids.TenantId('b')


def _claim(name, work=1.0, chain=1.0, due=2.0, **fields):
    return feasibility.Claim(ids.JobId(name), work, chain, due, **fields)


def test_all_are_chosen_where_all_end_in_time():
    rows = [_claim(str(number)) for number in range(8)]
    assert len(feasibility.choose(rows, 8.0, 0.0)) == 8


def test_no_more_is_chosen_than_starts_in_time():
    """Guards against a burst in which all jobs wait until all are late."""
    rows = [_claim(str(number)) for number in range(100)]
    chosen = feasibility.choose(rows, 8.0, 0.0)
    # The cores can do 7.44 in the second until the latest start.
    assert len(chosen) == 8


def test_job_whose_chain_is_too_long_is_not_chosen():
    rows = [_claim('long', chain=3.0), _claim('short')]
    assert feasibility.choose(rows, 8.0, 0.0) == {'short'}


def test_work_ahead_counts():
    rows = [_claim('a', 4.0), _claim('b', 4.0)]
    assert len(feasibility.choose(rows, 8.0, 0.0, ahead_core_s=6.0)) == 1


def test_higher_priority_is_not_left_out_for_a_lower_one():
    rows = [
        _claim('low', 4.0, due=1.5, priority=1),
        *(_claim(f'high{number}', 4.0, priority=0) for number in range(2)),
    ]
    assert feasibility.choose(rows, 8.0, 0.0) == {'high0', 'high1'}


def test_customer_most_over_its_share_is_left_out_first():
    rows = [
        _claim('over', 7.0, due=9.0, over_share=5.0),
        _claim('within', 7.0, due=2.0, over_share=0.5),
        _claim('other', 7.0, due=2.1, over_share=0.9),
    ]
    assert 'over' in feasibility.choose(rows, 8.0, 0.0)
    rows[0] = _claim('over', 7.0, due=1.9, over_share=5.0)
    assert feasibility.choose(rows, 8.0, 0.0) == {'within', 'other'}


def test_size_does_not_decide_who_is_left_out():
    """Guards against large jobs that are never served."""
    rows = [
        _claim('large', 50.0, due=2.6),
        *(_claim(f's{number}', due=2.0) for number in range(20)),
    ]
    assert 'large' in feasibility.choose(rows, 8.0, 0.0)


def test_begun_job_is_kept():
    rows = [
        _claim('begun', 7.0, due=1.9, begun=True),
        _claim('a', 7.0, due=2.0),
        _claim('b', 7.0, due=2.0),
    ]
    assert 'begun' in feasibility.choose(rows, 8.0, 0.0)


def test_thousands_of_claims_take_milliseconds():
    """Guards against a quadratic choice: 4,000 claims took 5 ms."""
    rng = random.Random(1)
    rows = [
        _claim(str(number), rng.uniform(1, 50), due=rng.uniform(2, 6))
        for number in range(4000)
    ]
    began_s = time.process_time()
    feasibility.choose(rows, 64.0, 0.0)
    assert time.process_time() - began_s < 0.5


def test_workers_that_accept_nothing_are_no_supply():
    pool = [build.worker('w1'), build.worker('w2'), build.worker('w3')]
    pool[1].closed = True
    pool[2].slow = True
    assert feasibility.supply(pool, lengths.Lengths(), 1.0).cores == 8.0


def test_run_without_progress_counts_by_its_progress():
    """A worker turns slow: its runs hold their cores longer than expected."""
    ledger = build.ledger_with(build.job())
    worker = build.worker()
    task = build.task(ledger)
    run = build.start(ledger, task, worker, 0.0)
    known = lengths.Lengths()
    assert feasibility.left_s(task, known, 0.8) == pytest.approx(0.25)
    run.percent, run.last_progress_s = 20.0, 0.8
    assert feasibility.left_s(task, known, 0.8) == pytest.approx(3.2)


def test_use_decays_by_half_lives():
    usage = usage_.Usage()
    usage_.advance(usage, {A: 8.0}, 5.0, 0.0)
    usage_.advance(usage, {A: 8.0}, 5.0, 500.0)
    assert usage_.recent_cores(usage, A) == pytest.approx(8.0)
    usage_.advance(usage, {}, 5.0, 505.0)
    assert usage_.recent_cores(usage, A) == pytest.approx(4.0)
    usage_.advance(usage, {}, 5.0, 600.0)
    assert not usage.core_s


def test_number_of_passes_does_not_change_the_use():
    few, many = usage_.Usage(), usage_.Usage()
    usage_.advance(few, {}, 5.0, 0.0)
    usage_.advance(few, {A: 8.0}, 5.0, 2.0)
    for number in range(201):
        usage_.advance(many, {A: 8.0}, 5.0, number / 100)
    assert few.core_s[A] == pytest.approx(many.core_s[A])


def test_share_is_relative_to_weight():
    usage = usage_.Usage({A: 30.0, B: 10.0}, 0.0, 7.2)
    asked = {A: 0.0, B: 0.0}
    share_of = usage_.over_share(usage, {}, {A: 3.0, B: 1.0}, asked)
    assert share_of(A, 0.0) == pytest.approx(1.0)
    assert share_of(B, 0.0) == pytest.approx(1.0)
    assert share_of(B, 10.0) == pytest.approx(2.0)


def test_empty_use_leaves_shares_by_what_waits():
    """A new leader knows no use: what waits is shared all the same."""
    asked = {A: 90.0, B: 10.0}
    share_of = usage_.over_share(usage_.Usage(), {}, {}, asked)
    assert share_of(A, 80.0) > 1.0 > share_of(B, 5.0)


def _ledger(*tenants, **fields):
    jobs = [
        msgspec.structs.replace(
            build.job(build.step(8, **fields), name=f'{number:016x}'),
            tenant=tenant,
        )
        for number, tenant in enumerate(tenants)
    ]
    return build.ledger_with(*jobs)


def test_recent_use_counts_for_the_share():
    groups = [entry.groups[0, 0] for entry in _ledger(A, B).entries.values()]
    usage = usage_.Usage({A: 100.0}, 0.0, 7.2)
    whole = model.Resources(8000, 64000)
    args = groups, quotas_.Quotas(), {}, whole
    assert shares.order_by_share(*args)[0].entry.job.tenant == A
    assert shares.order_by_share(*args, usage)[0].entry.job.tenant == B


def _order(ledger, workers, now_s=1.0, queue=None):
    ready = waiting_order.ready_by_pool(
        ledger,
        {'q': queue or build.queue()},
        lengths.Lengths(),
        0.0,
        now_s,
        ordering=burst_order.Ordering({build.POOL: workers}),
    )
    return [int(row.entry.job.job, 16) for row in ready[build.POOL]]


def test_order_is_by_arrival_where_all_fits(monkeypatch):
    """Passes without a burst spend no time on the choice."""
    monkeypatch.setattr(feasibility, 'choose', None)
    pool = [build.worker(str(number)) for number in range(3)]
    assert _order(_ledger(A, A, A), pool) == [0, 1, 2]


def test_long_running_work_stays_first():
    ledger = _ledger(A, A, A)
    group = ledger.entries[f'{2:016x}'].groups[0, 0]
    group.step = msgspec.structs.replace(group.step, is_long_running=True)
    entry = group.entry
    work = msgspec.structs.replace(entry.job.work, steps=(group.step,))
    entry.job = msgspec.structs.replace(entry.job, work=work)
    assert _order(ledger, [build.worker()])[0] == 2


def test_late_and_beyond_rate_come_behind_jobs_in_time():
    ledger = _ledger(A, A, A)
    rows = list(ledger.entries.values())
    rows[0].arrived_s = -1.9
    rows[1].over_rate = True
    rows[2].arrived_s = 0.9
    # The last tier has its part of the worker already.
    worker = build.worker()
    over = _ledger(A)
    over.entries[f'{0:016x}'].over_rate = True
    build.start(over, build.task(over, 0, 0, f'{0:016x}'), worker, 0.9)
    assert _order(ledger, [worker])[:3] == [2, 0, 1]


def test_work_too_late_gets_its_part_of_a_full_pool():
    """Guards against accepted jobs that wait as long as others come."""
    ledger = _ledger(A, A, A)
    ledger.entries[f'{2:016x}'].arrived_s = -50.0
    assert _order(ledger, [build.worker()])[0] == 2


def test_tenants_within_rate_do_not_wait_for_the_last_tier():
    ledger = _ledger(A, A, A)
    ledger.entries[f'{0:016x}'].over_rate = True
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0, 0, f'{0:016x}'), worker, 0.9)
    assert _order(ledger, [worker])[-1] == 0
