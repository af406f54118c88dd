"""Tests of difference: what changes, and which VMs it moves."""

from oleanderwood import configuration
from oleanderwood import difference
from oleanderwood import fleet
from oleanderwood import ids
from tests import utils_configuration as build

EMPTY = configuration.Configuration()


def _shards(counts):
    """Build shards with so many VMs of each pool and data centre."""
    shards = []
    for place in build.DATA_CENTRES:
        rows = tuple(
            fleet.VmRow(
                vm=ids.VmId(f'{place}-{pool}-{number}'),
                pool=ids.PoolId(pool),
                state=fleet.VmState.SERVING,
                epoch=ids.Epoch(1),
                rack=ids.Rack('r'),
                address=ids.Address('10.0.0.1:80'),
            )
            for (pool, where), count in counts.items()
            if where == place
            for number in range(count)
        )
        shards.append(
            fleet.Shard(ids.DataCentre(place), ids.Revision(1), 1, rows)
        )
    return tuple(shards)


def test_diff_names_each_field():
    before = build.whole()
    after = build.whole(
        pools=(build.pool(size=7),),
        teams=(build.team('office'),),
        jobs=(),
        weights=configuration.Weights(moves=3.0),
    )
    changes = difference.diff(before, after)
    assert [(c.section, c.name, c.kind.value) for c in changes] == [
        ('pools', 'drafts', 'changed'),
        ('teams', 'crews', 'removed'),
        ('teams', 'office', 'added'),
        ('jobs', 'layout', 'removed'),
        ('weights', '', 'changed'),
    ]
    assert changes[0].fields == (difference.FieldChange('size', 6, 7),)
    assert difference.summary(changes).startswith('pools changed: drafts')


def test_diff_of_reordered_file_is_empty():
    one, two = build.team('a'), build.team('b')
    before, after = (
        build.whole(teams=(one, two)),
        build.whole(teams=(two, one)),
    )
    assert difference.diff(before, after) == ()
    assert difference.summary(()) == 'nothing'


def test_plan_of_a_new_pool_spreads_it():
    plan = difference.plan(EMPTY, build.whole(), build.vms(), ())
    assert [(m.data_centre, m.want) for m in plan.moves] == [
        ('dc-a', 2),
        ('dc-b', 2),
        ('dc-c', 2),
    ]
    assert (plan.joining, plan.leaving) == (6, 0)
    assert {m.reason for m in plan.moves} == {'the pool is new'}


def test_plan_says_why_vms_move():
    have = {('drafts', place): 2 for place in build.DATA_CENTRES}
    have['sides', 'dc-a'] = 1
    have['spare.dc-a', 'dc-a'] = 3
    sides = build.pool('sides')
    before = build.whole(pools=(build.pool(), sides))
    after = build.whole(
        pools=(build.pool(size=7, data_centres=('dc-a', 'dc-b')),)
    )
    plan = difference.plan(before, after, build.vms(), _shards(have))
    reasons = {(m.pool, m.data_centre): m.reason for m in plan.moves}
    assert reasons == {
        ('drafts', 'dc-a'): 'size changes from 6 to 7',
        ('drafts', 'dc-b'): 'size changes from 6 to 7',
        ('drafts', 'dc-c'): 'the pool leaves the data centre',
        ('sides', 'dc-a'): 'the pool is removed',
    }
    assert (plan.joining, plan.leaving) == (3, 3)


def test_plan_of_what_is_there_moves_nothing():
    have = {('drafts', place): 2 for place in build.DATA_CENTRES}
    plan = difference.plan(
        build.whole(), build.whole(), build.vms(), _shards(have)
    )
    assert plan.moves == () and plan.changes == ()
