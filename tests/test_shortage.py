"""Tests of steps that fit on none of their pool's workers."""

from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.pools import shortage
from tests import utils_jobs as build


def _group(step):
    ledger = build.ledger_with(build.job(step))
    return ledger.entries[build.JOB].groups[0, 0]


def _fits_nowhere(group, pool):
    return shortage.fits_nowhere(group, shortage.idle_capacity(pool))


def test_gang_that_is_larger_than_its_pool_fits_nowhere():
    group = _group(build.step(3, cpu=5000, gang=True))
    pool = [build.worker('w1'), build.worker('w2')]
    assert _fits_nowhere(group, pool)
    assert not _fits_nowhere(group, [*pool, build.worker('w3')])


def test_tasks_that_will_end_use_no_resources():
    group = _group(build.step(2, cpu=5000, gang=True))
    pool = [build.worker('w1'), build.worker('w2')]
    busy = build.ledger_with(build.job(build.step(cpu=8000), name='1' * 16))
    build.start(busy, build.task(busy, name='1' * 16), pool[0])
    assert not _fits_nowhere(group, pool)


def test_long_running_tasks_use_resources():
    group = _group(build.step(2, cpu=5000, gang=True))
    pool = [build.worker('w1'), build.worker('w2')]
    step = build.step(cpu=4000, is_long_running=True)
    long_running = build.ledger_with(build.job(step, name='1' * 16))
    build.start(long_running, build.task(long_running, name='1' * 16), pool[0])
    assert _fits_nowhere(group, pool)


def test_step_without_a_worker_of_its_kind_fits_nowhere():
    group = _group(build.step(label='b'))
    assert shortage.has_placement_constraint(group)
    assert _fits_nowhere(group, [build.worker('w1')])
    fitting = build.worker('w2', labels=('b', 'r1'))
    assert not _fits_nowhere(group, [build.worker('w1'), fitting])


def test_step_that_advice_allows_nowhere_fits_nowhere():
    group = _group(build.step())
    assert not shortage.has_placement_constraint(group)
    group.tickets, group.asked = {}, frozenset(('w1',))
    assert shortage.has_placement_constraint(group)
    assert _fits_nowhere(group, [build.worker('w1')])
    group.tickets = {'w1': 'ticket'}
    assert not _fits_nowhere(group, [build.worker('w1')])


def test_only_a_machine_that_fits_could_help():
    step = build.step(cpu=5000, label='b')
    large = model.Resources(8000, 64000)
    assert shortage.could_hold(step, ('b', 'r1'), large)
    assert not shortage.could_hold(step, ('a', 'r1'), large)
    assert not shortage.could_hold(step, ('b', 'r1'), model.Resources(4000, 9))


def _decide(*members):
    view = rebalancing.PoolView(
        build.POOL, list(members), lacks_suitable_machine=True
    )
    off = ids.ServiceId('off')
    standby = {off: [rebalancing.Member('m9', 8.0, None)]}
    return rebalancing.decide(
        [view], standby, demand.ArrivalHistory(), 1.5, 5.0
    ).moves


def test_machine_holds_as_many_as_its_scarcest_resource_and_the_limit():
    step = build.step(9, cpu=2000, mem=1000, max_per_worker=3)
    large = model.Resources(8000, 64000)
    assert shortage.could_hold(step, (), large) == 3
    assert shortage.could_hold(step, (), model.Resources(8000, 2500)) == 2
    assert shortage.could_hold(step, (), model.Resources(1000, 2500)) == 0


def test_check_uses_no_resources():
    group = _group(build.step(2, cpu=5000, gang=True))
    candidates = shortage.idle_capacity(
        [build.worker('w1'), build.worker('w2')]
    )
    assert not shortage.fits_nowhere(group, candidates)
    assert not shortage.fits_nowhere(group, candidates)


def test_pool_gets_one_machine_more_while_a_step_fits_nowhere():
    # Guards against a gang or a job for another kind of machine that waits
    # forever once its pool has released the machines: counted by cores, the
    # pool lacked none.
    here = rebalancing.Member('m1', 8.0, build.worker('w1'))
    assert [move.machine for move in _decide(here)] == ['m9']
    coming = rebalancing.Member('m2', 8.0, None)
    assert not _decide(here, coming)
