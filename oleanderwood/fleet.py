"""Access to the rows that say which pool holds which VM, and how it is.

The rows of one data centre form a shard: one value of the store, changed
by compare-and-swap alone, so that a move between pools is one write.
"""

import enum

import msgspec

from oleanderwood import ids

SPARE_PREFIX = 'spare.'
"""Pools of this prefix hold the spare VMs of a data centre."""


class VmState(enum.Enum):
    """Where a VM stands in its life cycle."""

    SERVING = 'serving'
    """Entries that hold the grant of the row's epoch send it work."""

    RELEASING = 'releasing'
    """No new work; entries are asked to give up their grants."""

    DRAINING = 'draining'
    """Released by all entries; the platform drains its tasks."""

    REBOOTING = 'rebooting'
    """The reboot was ordered under the row's operation id."""

    RETURNING = 'returning'
    """Up again, being probed before it serves."""

    BROKEN = 'broken'
    """Came back unfit, or failed; waits for replacement."""


class VmRow(msgspec.Struct, frozen=True, array_like=True):
    """One VM: the only place that says which pool it belongs to.

    ``epoch`` grows by one at every change of pool or state; a grant is for
    one ``(pool, epoch)``. ``operation`` names the platform command that was
    written down before it was sent, '' for none. ``wave`` names the run of
    the wave that took the VM last, and stays once the VM serves again.
    ``boot_id`` is the one before an ordered reboot, and the newest known
    otherwise. ``reason`` says why the VM is ``BROKEN``. ``target`` is the
    pool that a VM being released for a move goes to.
    """

    vm: ids.VmId
    pool: ids.PoolId
    state: VmState
    epoch: ids.Epoch
    rack: ids.Rack
    address: ids.Address
    boot_id: str = ''
    operation: ids.OperationId = ids.OperationId('')
    wave: ids.WaveId = ids.WaveId('')
    changed_at_s: float = 0.0
    reason: str = ''
    target: ids.PoolId = ids.PoolId('')


class Shard(msgspec.Struct, frozen=True):
    """The rows of one data centre.

    ``revision`` grows by one at every write. ``term`` is the leadership
    term of the writer: a new leader writes every shard of its region once
    with its own term before it decides, so that a write of an earlier
    leader conflicts. ``listing_version`` is that of the newest VM list that
    the rows reflect; an older list says nothing about them. No row's epoch
    is above the shard's revision.
    """

    data_centre: ids.DataCentre
    revision: ids.Revision
    term: int
    rows: tuple[VmRow, ...] = ()
    listing_version: int = 0


def shard_key(data_centre: ids.DataCentre) -> str:
    """Name the store's key of a data centre's shard."""
    return f'shards/{data_centre}'


def spare_pool(data_centre: ids.DataCentre) -> ids.PoolId:
    """Name the pool that holds the spare VMs of a data centre."""
    return ids.PoolId(f'{SPARE_PREFIX}{data_centre}')
