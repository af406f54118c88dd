"""Tests of machines that a pool lends to another one's burst.

Guards against a step that waits for the whole burst, as none of the machines
that are left in its pool may run it, while the pool of the burst holds more
machines than it had at first.
"""

from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.leading import label_draining
from tests import utils_jobs as build

NOW_S = 10.0
BURST = ids.ServiceId('burst')
LENDER = ids.ServiceId('lender')


def _member(name, busy=False):
    worker = build.worker(f'w-{name}', service=BURST)
    worker.idle_since_s = NOW_S
    if busy:
        ledger = build.ledger_with(build.job())
        build.start(ledger, build.task(ledger), worker, NOW_S)
    return rebalancing.Member(name, 8.0, worker)


def _pools(members, first_size=8, left=1, lacks=('',), unsuitable=('l0',)):
    burst = rebalancing.PoolView(
        BURST, members, busy_cores=900.0, first_size=2
    )
    lender = rebalancing.PoolView(
        LENDER,
        [_member(f'l{number}') for number in range(left)],
        first_size=first_size,
        lacks_suitable_machine=True,
        lacks_labels=set(lacks),
        unsuitable={'': frozenset(unsuitable)},
    )
    return [burst, lender]


def _decide(pools):
    return rebalancing.decide(pools, {}, demand.ArrivalHistory(), 1.5, NOW_S)


def _moves(*args, **fields):
    decision = _decide(_pools(*args, **fields))
    return [(row.machine, row.target) for row in decision.moves]


def _drained(pools):
    decision = _decide(pools)
    rows = label_draining.decide(pools, decision, lambda task: True, NOW_S)
    return [row.machine for row in rows]


def test_idle_machine_of_a_burst_comes_back_for_a_step_that_none_left_suits():
    members = [_member('m0', busy=True), _member('m1'), _member('m2')]
    assert _moves(members, unsuitable=('l0', 'm1')) == [('m2', LENDER)]


def test_pool_that_lends_no_machine_takes_none_from_a_burst():
    members = [_member('m0', busy=True), _member('m1'), _member('m2')]
    assert not _moves(members, first_size=1)


def test_pool_of_a_burst_keeps_the_machines_that_it_had_at_first():
    assert not _moves([_member('m0'), _member('m1')])


def test_pool_that_has_a_suitable_machine_takes_none_from_a_burst():
    members = [_member('m0', busy=True), _member('m1'), _member('m2')]
    assert not _moves(members, lacks=(), unsuitable=())


def test_busy_machine_of_a_burst_is_drained_if_none_is_idle():
    members = [_member(f'm{number}', busy=True) for number in range(4)]
    assert _drained(_pools(members, unsuitable=('l0', 'm0'))) == ['m1']


def test_one_machine_is_drained_and_none_beside_an_idle_one():
    members = [_member(f'm{number}', busy=True) for number in range(4)]
    pools = _pools(members)
    members[2].worker.is_reclaimed = True
    assert _drained(pools) == ['m2']
    assert not _drained(_pools([*members, _member('m9')]))
