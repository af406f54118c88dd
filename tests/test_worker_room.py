"""Tests of worker_room: joining rows of VMs with the VM list."""

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import worker_room


def _row(vm, state=fleet.VmState.SERVING):
    return fleet.VmRow(
        ids.VmId(vm),
        ids.PoolId('p'),
        state,
        ids.Epoch(1),
        ids.Rack('r'),
        ids.Address('127.0.0.1:1'),
    )


def _listed(vm, status=platform_api.VmStatus.LIVE):
    return platform_api.ListedVm(
        ids.VmId(vm),
        ids.Region('g'),
        ids.DataCentre('d'),
        ids.Rack('r'),
        ids.Address('127.0.0.1:1'),
        status,
        cores=64.0,
        memory_gib=256.0,
    )


def test_leaving_vms_drain_and_unlisted_ones_are_left_out():
    shard = fleet.Shard(
        ids.DataCentre('d'),
        ids.Revision(1),
        1,
        (
            _row('a'),
            _row('b'),
            _row('c'),
            _row('e', fleet.VmState.REBOOTING),
        ),
    )
    leaving = platform_api.VmStatus.LEAVING
    listing = platform_api.VmListing(
        1, (_listed('a'), _listed('b', leaving), _listed('e', leaving))
    )
    found = worker_room.workers([shard], listing)
    assert [(one.vm, one.state) for one in found] == [
        ('a', fleet.VmState.SERVING),
        ('b', fleet.VmState.DRAINING),
        ('e', fleet.VmState.REBOOTING),
    ]
    assert (found[0].cores, found[0].memory_gib) == (64.0, 256.0)
