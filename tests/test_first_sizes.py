"""Tests of how a leader finds initial pool sizes and fixed machines.

The list of machines is as the platform would return it.
"""

import types

import pytest

from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import queues
from oleanderwood.leading import pool_loop
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling

POOLS = (ids.ServiceId('a'), ids.ServiceId('b'))


@pytest.fixture
def leader(monkeypatch):
    monkeypatch.setattr(clock, 'now_s', lambda: 100.0)
    configuration = queues.Configuration(1, (), POOLS)
    return types.SimpleNamespace(
        fleet=states.Fleet(),
        server=types.SimpleNamespace(configuration=configuration),
    )


def _views(**counts):
    return {
        ids.ServiceId(pool): rebalancing.PoolView(
            ids.ServiceId(pool),
            [
                rebalancing.Member(f'{pool}{i}', 64.0, None)
                for i in range(count)
            ],
        )
        for pool, count in counts.items()
    }


def test_sizes_grow_while_machines_enter_the_list(leader):
    pool_loop._record_first_sizes(leader, _views(a=2, b=1))
    pool_loop._record_first_sizes(leader, _views(a=6, b=5))
    assert leader.fleet.first_sizes == {'a': 6, 'b': 5}
    assert leader.fleet.arrival_history.pool_cores == {'a': 384.0, 'b': 320.0}


def test_machines_that_were_moved_do_not_count(leader):
    pool_loop._record_first_sizes(leader, _views(a=6, b=6))
    leader.fleet.announced = {'m1': 0.0}
    views = _views(a=12, b=0)
    pool_loop._record_first_sizes(leader, views)
    assert [view.first_size for view in views.values()] == [6, 6]


def test_only_machines_that_go_down_next_must_not_move(leader):
    wave = fleet.Wave(1, ('m1', 'm2', 'm3', 'm4'), 28.0, 1)
    progress = rolling.Progress(wave, 90.0, closed={'m2'})
    progress.begun.add('m1')
    progress.down['m1'] = rolling.MaintenanceOrder('w', 99.0)
    leader.fleet.waves[1] = progress
    assert pool_loop._fixed_machines(leader, 100.0) == {'m1', 'm2'}
