"""Builders of pools, rows and sites for the tests of the decisions."""

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

RACK_SIZE = 4


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
