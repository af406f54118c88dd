"""Tests of plan: which VMs an apply moves, and why."""

import collections

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import plan
from tests import utils_configuration as build

EMPTY = configuration.Configuration()


def _shards(vms, pools):
    """Build shards in which the VMs, taken in turn, are of ``pools``."""
    rows = collections.defaultdict(list)
    for vm, pool in zip(vms, pools, strict=False):
        row = fleet.VmRow(
            vm=vm.vm,
            pool=ids.PoolId(pool),
            state=fleet.VmState.SERVING,
            epoch=ids.Epoch(1),
            rack=vm.rack,
            address=vm.address,
        )
        rows[vm.data_centre].append(row)
    return tuple(
        fleet.Shard(place, ids.Revision(1), 1, tuple(found))
        for place, found in rows.items()
    )


def _interleaved(vms):
    """Order VMs so that neighbours lie in different data centres."""
    return tuple(sorted(vms, key=lambda vm: vm.vm.partition('-vm')[2]))


def test_new_pool_takes_spare_vms():
    made = plan.make(EMPTY, build.whole(), build.vms(), ())
    assert made.pools == (plan.PoolChange('drafts', 0, 6),)
    assert {move.reason for move in made.moves} == {'pool drafts is new'}
    assert {move.to_pool for move in made.moves} == {'drafts'}


def test_removed_pool_gives_its_vms_back():
    vms = _interleaved(build.vms())
    shards = _shards(vms, ['drafts'] * 6)
    made = plan.make(build.whole(), EMPTY, vms, shards)
    assert made.pools == (plan.PoolChange('drafts', 6, 0),)
    assert {move.reason for move in made.moves} == {'pool drafts is removed'}


def test_size_change_says_so():
    vms = _interleaved(build.vms())
    shards = _shards(vms, ['drafts'] * 6)
    after = build.whole(pools=(build.pool(size=8),))
    made = plan.make(build.whole(), after, vms, shards)
    assert made.pools == (plan.PoolChange('drafts', 6, 8),)
    assert len(made.moves) == 2
    assert {move.reason for move in made.moves} == {'size of drafts: 6 to 8'}


def test_nothing_moves_for_what_is_there():
    vms = _interleaved(build.vms())
    shards = _shards(vms, ['drafts'] * 6)
    made = plan.make(build.whole(), build.whole(), vms, shards)
    assert (made.changes, made.pools, made.moves) == ((), (), ())
