"""Access to what the VM list means for the shards.

Pure. The list lags and may repeat: a list older than the one that a shard
reflects says nothing about it, and a VM that has a row gets no second one.
"""

import collections.abc

import msgspec

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import lifecycle
from oleanderwood import ownership
from oleanderwood import platform_api

VANISHED = 'left the VM list'
READDRESSED = 'changed its address'

State = fleet.VmState
Cause = ownership.Cause


class Sighting(msgspec.Struct, frozen=True):
    """The VM list as one region's leader uses it.

    ``listed`` holds the region's VMs, first mention first.
    """

    version: int = 0
    listed: dict[ids.VmId, platform_api.ListedVm] = {}


def see(
    known: Sighting, listing: platform_api.VmListing, region: ids.Region
) -> Sighting:
    """Take in a list, unless one as new was seen before."""
    if listing.version <= known.version:
        return known
    listed: dict[ids.VmId, platform_api.ListedVm] = {}
    for vm in listing.vms:
        if vm.region == region:
            listed.setdefault(vm.vm, vm)
    return Sighting(listing.version, listed)


def data_centres(sighting: Sighting) -> set[ids.DataCentre]:
    """Name the data centres that the region's VMs stand in."""
    return {vm.data_centre for vm in sighting.listed.values()}


def is_leaving(sighting: Sighting, vm: ids.VmId) -> bool:
    """Say whether the list has a VM as leaving."""
    listed = sighting.listed.get(vm)
    if listed is None:
        return False
    return listed.status is platform_api.VmStatus.LEAVING


def changes(
    shards: ownership.Shards,
    sighting: Sighting,
    released: ownership.Released,
    unknown: collections.abc.Container[ids.VmId],
    now_s: float,
) -> list[ownership.Change]:
    """Say what the list changes; calling it again is harmless.

    :param released: VMs, by epoch, that no entry holds work at
    :param unknown: VMs that the pool interface doesn't know either; one
        that is only missing from the list is left alone, so that a list
        that is cut short takes no VM out of service
    """
    found = []
    for data_centre, shard in shards.items():
        if shard.listing_version > sighting.version:
            continue
        for row in shard.rows:
            if row.vm not in sighting.listed and row.vm not in unknown:
                continue
            one = _known(data_centre, row, sighting, released, now_s)
            if one is not None:
                found.append(one)
    rows = {row.vm for _, row in ownership.rows_of(shards)}
    for listed in sighting.listed.values():
        shard = shards.get(listed.data_centre)
        if shard is None or shard.listing_version > sighting.version:
            continue
        if listed.vm not in rows and _joins(listed):
            found.append(_joined(listed, now_s))
    return found


def _joins(listed: platform_api.ListedVm) -> bool:
    """Say whether a VM may serve: those that the daemons run on may not."""
    live = listed.status is platform_api.VmStatus.LIVE
    return live and listed.address != ''


def _joined(listed: platform_api.ListedVm, now_s: float) -> ownership.Change:
    """Add a VM to the spare ones; it is probed before it counts as up."""
    row = fleet.VmRow(
        vm=listed.vm,
        pool=fleet.spare_pool(listed.data_centre),
        state=State.RETURNING,
        epoch=ids.Epoch(0),
        rack=listed.rack,
        address=listed.address,
        boot_id=listed.boot_id,
        changed_at_s=now_s,
    )
    return ownership.Change(listed.data_centre, None, row, Cause.JOINED)


def _known(
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
    sighting: Sighting,
    released: ownership.Released,
    now_s: float,
) -> ownership.Change | None:
    listed = sighting.listed.get(row.vm)
    if listed is None:
        return _gone(data_centre, row, VANISHED, released, now_s)
    if listed.address != row.address:
        return _gone(data_centre, row, READDRESSED, released, now_s)
    leaves = listed.status is platform_api.VmStatus.LEAVING
    if leaves and row.state is State.SERVING:
        return ownership.change(
            data_centre,
            row,
            Cause.LEAVING,
            now_s,
            state=State.RELEASING,
            wave=ids.WaveId(''),
        )
    return None


def _gone(
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
    reason: str,
    released: ownership.Released,
    now_s: float,
) -> ownership.Change | None:
    """Drop a row once no entry can hold work, and no order arrive.

    Until then it stays, broken, so that the VM can't join another pool if
    the list shows it again.
    """
    if row.state is State.REBOOTING and reason == VANISHED:
        # A VM may be out of the list while it boots, until a timeout. One
        # that is replaced comes back by another name.
        replaced = lifecycle.is_replaced(row)
        if not replaced or not lifecycle.is_settled(row, now_s):
            return None
    free = not ownership.may_hold_work(row)
    if free or (row.vm, row.epoch) in released:
        if lifecycle.is_settled(row, now_s):
            return ownership.Change(data_centre, row, None, Cause.VANISHED)
    if row.state is State.BROKEN:
        return None
    return ownership.change(
        data_centre,
        row,
        Cause.VANISHED,
        now_s,
        state=State.BROKEN,
        reason=reason,
        target=ids.PoolId(''),
    )
