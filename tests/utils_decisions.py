"""Builders of pools, rows and whole fleets for tests of the decisions."""

import dataclasses
import random

from measure import inputs
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

WEIGHTS = configuration.Weights()

SHAPE = inputs.Shape(
    name='small',
    regions=(('a', 'b'),),
    pools=4,
    sizes=((2, 1), (3, 1), (4, 1)),
    slacks=((0, 2), (1, 1), (2, 1)),
    survives=tuple((kind, 1) for kind in configuration.Survives),
    weights=WEIGHTS,
    deadline_s=4 * 3600.0,
)


def pool(name='p', size=4, min_up=3, survives='vm', data_centres=('a',), **kw):
    """Build a pool."""
    return configuration.Pool(
        name=name,
        service=name,
        region='r',
        data_centres=data_centres,
        size=size,
        min_up=min_up,
        survives=configuration.Survives(survives),
        **kw,
    )


def row(vm, pool_name, state=fleet.VmState.SERVING, rack='r0'):
    """Build a row."""
    return fleet.VmRow(
        ids.VmId(vm),
        ids.PoolId(pool_name),
        state,
        ids.Epoch(1),
        ids.Rack(rack),
        ids.Address('127.0.0.1:1'),
    )


def fleet_of(*members, data_centre='a', per_rack=1):
    """Build rows and sites, ``members`` being (pool name, count).

    VMs go to racks in turn, ``per_rack`` at a time.
    """
    rows = []
    sites = {}
    for pool_name, count in members:
        for _ in range(count):
            index = len(rows)
            rack = f'r{index // per_rack}'
            vm = f'{pool_name}-{index}'
            rows.append(row(vm, pool_name, rack=rack))
            sites[ids.VmId(vm)] = reserve.Site(
                ids.DataCentre(data_centre), ids.Rack(rack)
            )
    return rows, sites


def small_fleet(seed, budget_s=5_000_000.0):
    """Draw a fleet of four pools in two data centres that holds its spare."""
    drawn = inputs.generate(SHAPE, seed)
    pools = tuple(
        configuration.Pool(
            **{
                **{name: getattr(one, name) for name in one.__struct_fields__},
                'unavailability_budget_s': budget_s,
            }
        )
        for one in drawn.pools
    )
    return dataclasses.replace(drawn, pools=pools)


def with_spare(drawn, data_centre='a'):
    """Add a spare VM in a rack of its own that no wave has to maintain."""
    site = reserve.Site(ids.DataCentre(data_centre), ids.Rack('new'))
    vm = ids.VmId('new-0')
    added = row(vm, fleet.spare_pool(site.data_centre), rack=site.rack)
    return dataclasses.replace(
        drawn, rows=(*drawn.rows, added), sites={**drawn.sites, vm: site}
    )


def without_vms(drawn, seed, share=0.2):
    """Break a share of a fleet's VMs."""
    rng = random.Random(seed)
    rows = [
        row(one.vm, one.pool, fleet.VmState.BROKEN, one.rack)
        if rng.random() < share
        else one
        for one in drawn.rows
    ]
    return dataclasses.replace(drawn, rows=tuple(rows))


def moved(drawn, moves):
    """Carry out moves at once."""
    target = {move.vm: move.to_pool for move in moves}
    rows = [
        row(one.vm, target.get(one.vm, one.pool), one.state, one.rack)
        for one in drawn.rows
    ]
    return dataclasses.replace(drawn, rows=tuple(rows))


def assigned(drawn, loans=()):
    """Choose moves for a fleet."""
    return buffer.assign(
        drawn.pools, drawn.rows, drawn.sites, drawn.weights, 0.0, loans
    )
