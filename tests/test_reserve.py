"""Tests of reserve."""

import hypothesis
from hypothesis import strategies

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve
from tests import utils_decisions

EXAMPLES = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25
)


def census_of(pools, rows, sites):
    return reserve.take_census(pools, rows, sites)


def survives(drawn, lost, pools):
    """Say by search whether spares can make up for lost VMs.

    Independent of the census: counts what is left and matches greedily by
    trying every assignment of spares to shortages.
    """
    up = [row for row in drawn.rows if row.state is fleet.VmState.SERVING]
    left = [row for row in up if row.vm not in lost]
    wants = []
    for pool in pools:
        have = sum(row.pool == pool.name for row in left)
        wants += [pool.data_centres] * max(0, pool.min_up - have)
    spares = [
        drawn.sites[row.vm].data_centre
        for row in left
        if reserve.is_spare(row)
    ]
    for pool in pools:
        extra = [row for row in left if row.pool == pool.name][pool.size :]
        spares += [drawn.sites[row.vm].data_centre for row in extra]
    return _match(wants, spares)


def _match(wants, spares):
    if not wants:
        return True
    first, *rest = wants
    return any(
        _match(rest, spares[:index] + spares[index + 1 :])
        for index in {spares.index(name) for name in spares if name in first}
    )


@EXAMPLES
@hypothesis.given(strategies.integers(0, 10_000))
def test_a_census_that_holds_survives_each_rack(seed):
    drawn = utils_decisions.small_fleet(seed)
    census = census_of(drawn.pools, drawn.rows, drawn.sites)
    if not reserve.holds(census):
        return
    for site in set(drawn.sites.values()):
        lost = {vm for vm, other in drawn.sites.items() if other == site}
        rack, _ = reserve.domains_of(site)
        promising = [
            pool for pool in drawn.pools if reserve.promises(pool, rack)
        ]
        assert survives(drawn, lost, promising)


@EXAMPLES
@hypothesis.given(
    strategies.integers(0, 10_000),
    strategies.lists(strategies.integers(0, 30), max_size=12),
)
def test_changes_give_the_same_census_as_counting_anew(seed, steps):
    drawn = utils_decisions.without_vms(
        utils_decisions.small_fleet(seed), seed
    )
    census = census_of(drawn.pools, drawn.rows, drawn.sites)
    fresh = (census.margin[:], _costs(census))
    vms = [row.vm for row in drawn.rows if reserve.is_up(row)]
    undo = []
    for step in steps:
        vm = vms[step % len(vms)]
        if any(vm == other for other, _ in undo):
            continue
        undo.append((vm, census.rows[vm].pool))
        if step % 2:
            reserve.take(census, vm)
        else:
            reserve.move(census, vm, ids.PoolId('p0'))
    counted = census_of(
        drawn.pools,
        [
            utils_decisions.row(
                row.vm,
                census.rows[row.vm].pool,
                fleet.VmState.DRAINING
                if row.vm in _taken(undo, steps, vms)
                else row.state,
                row.rack,
            )
            for row in drawn.rows
        ],
        drawn.sites,
    )
    assert census.margin == counted.margin
    assert _costs(census) == _costs(counted)
    assert fresh[0] is not None


def _taken(undo, steps, vms):
    moved = {vm for vm, _ in undo}
    first = {}
    for step in steps:
        first.setdefault(vms[step % len(vms)], step)
    return {vm for vm, step in first.items() if step % 2 and vm in moved}


def _costs(census):
    return {
        domain: costs for domain, costs in census.cost.items() if any(costs)
    }


def test_spares_in_the_lost_rack_do_not_count():
    pools = [utils_decisions.pool(size=2, min_up=2, survives='rack')]
    together, sites = utils_decisions.fleet_of(
        ('p', 2), ('spare.a', 1), per_rack=3
    )
    assert not reserve.holds(census_of(pools, together, sites))
    apart, sites = utils_decisions.fleet_of(('p', 2), ('spare.a', 1))
    assert reserve.holds(census_of(pools, apart, sites))


def test_one_spare_covers_pools_that_do_not_fail_together():
    pools = [
        utils_decisions.pool(name, 2, 2, survives='rack')
        for name in ('p', 'q')
    ]
    apart, sites = utils_decisions.fleet_of(('p', 2), ('q', 2), ('spare.a', 1))
    assert reserve.holds(census_of(pools, apart, sites))
    mixed, sites = utils_decisions.fleet_of(
        ('p', 1), ('q', 1), ('p', 1), ('q', 1), ('spare.a', 2), per_rack=2
    )
    worst = reserve.shortages(census_of(pools, mixed, sites))
    assert worst == [] or worst[0].missing > 0
    one = [row for row in mixed if row.vm != 'spare.a-5']
    assert reserve.shortages(census_of(pools, one, sites))[0].missing == 1
