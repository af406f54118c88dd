"""Tests of inventory: lagging, repeating and contradicting VM lists."""

import hypothesis
from hypothesis import strategies

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import inventory
from oleanderwood import ownership
from oleanderwood import platform_api
from tests import utils_controller as utils

A = ids.DataCentre('a')
VMS = ('v1', 'v2', 'v3')
EMPTY = {A: fleet.Shard(A, ids.Revision(0), 1)}


def _listing(version, vms, **fields):
    listed = tuple(utils.listed(vm, **fields) for vm in vms)
    return platform_api.VmListing(version, listed)


def _apply(shards, sighting, released=(), unknown=VMS):
    changes = inventory.changes(shards, sighting, released, unknown, 1000.0)
    assert not ownership.breaches_of_changes(shards, changes, {}, released)
    if not changes:
        return shards
    shard = ownership.apply(shards[A], changes, 1, sighting.version)
    return {A: shard}


def _see(listing, known=inventory.Sighting()):
    return inventory.see(known, listing, utils.REGION)


histories = strategies.lists(
    strategies.frozensets(strategies.sampled_from(VMS)),
    min_size=1,
    max_size=8,
)
deliveries = strategies.lists(
    strategies.tuples(strategies.integers(0, 7), strategies.booleans()),
    max_size=20,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(histories, deliveries)
def test_old_lists_neither_resurrect_nor_duplicate(history, order):
    """Lists arrive in any order, and leaders change in between."""
    shards = EMPTY
    sighting = inventory.Sighting()
    newest = 0
    left_at = {}
    for index, new_leader in order:
        version = min(index, len(history) - 1) + 1
        if new_leader:
            sighting = inventory.Sighting()
            newest = 0
        before = {row.vm for row in shards[A].rows}
        listing = _listing(version, sorted(history[version - 1]))
        sighting = _see(listing, sighting)
        newest = max(newest, version)
        shards = _apply(shards, sighting)
        rows = [row.vm for row in shards[A].rows]
        assert len(rows) == len(set(rows))
        for vm in before - set(rows):
            left_at[vm] = sighting.version
        for vm in set(rows) - before:
            assert sighting.version >= left_at.get(vm, 0)
        if newest >= shards[A].listing_version:
            assert set(rows) == history[newest - 1]


def test_vm_listed_twice_or_in_two_data_centres_gets_one_row():
    twice = _listing(1, ['v1', 'v1'])
    shards = _apply(EMPTY, _see(twice))
    moved = _listing(2, ['v1'], data_centre='b')
    empty = fleet.Shard(ids.DataCentre('b'), ids.Revision(0), 1)
    both = shards | {empty.data_centre: empty}
    changes = inventory.changes(both, _see(moved), (), VMS, 1000.0)
    assert [row.vm for row in shards[A].rows] == ['v1']
    assert changes == []


def test_vms_of_other_regions_and_without_address_are_left_alone():
    other = utils.listed('v1')
    own = platform_api.ListedVm(
        other.vm,
        utils.REGION,
        A,
        other.rack,
        ids.Address(''),
    )
    listing = platform_api.VmListing(1, (own,))
    assert _apply(EMPTY, _see(listing)) == EMPTY


def _serving(pool='p'):
    shards = _apply(EMPTY, _see(_listing(1, ['v1'])))
    row = shards[A].rows[0]
    one = ownership.change(
        A,
        row,
        ownership.Cause.PROGRESS,
        1000.0,
        state=fleet.VmState.SERVING,
        pool=ids.PoolId(pool),
    )
    return {A: ownership.apply(shards[A], [one], 1)}


def test_vanished_vm_keeps_its_row_until_it_is_released():
    shards = _apply(_serving(), _see(_listing(2, [])))
    row = shards[A].rows[0]
    assert row.state is fleet.VmState.BROKEN
    assert row.pool == 'p'
    assert _apply(shards, _see(_listing(3, []))) == shards
    gone = _apply(shards, _see(_listing(3, [])), {(row.vm, row.epoch)})
    assert gone[A].rows == ()


def test_list_that_is_cut_short_takes_no_vm_out_of_service():
    shards = _serving()
    assert _apply(shards, _see(_listing(2, [])), unknown=()) == shards


def test_vm_that_comes_back_has_a_higher_epoch():
    shards = _serving()
    before = shards[A].rows[0].epoch
    shards = _apply(shards, _see(_listing(2, [])))
    row = shards[A].rows[0]
    shards = _apply(shards, _see(_listing(3, [])), {(row.vm, row.epoch)})
    shards = _apply(shards, _see(_listing(4, ['v1'])))
    assert shards[A].rows[0].epoch > before


def test_leaving_vm_stops_getting_work():
    leaving = platform_api.VmStatus.LEAVING
    listing = _listing(2, ['v1'], status=leaving)
    shards = _apply(_serving(), _see(listing))
    assert shards[A].rows[0].state is fleet.VmState.RELEASING
    joined = _apply(EMPTY, _see(listing))
    assert joined == EMPTY
