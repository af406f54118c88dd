"""Access to the shards that an entry follows, and to its use of the VMs.

The newest copy of a row that serves is the grant for the row's epoch.
"""

import collections
import dataclasses

from oleanderwood import anomalies
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import platform_api


@dataclasses.dataclass
class Grants:
    """Copies of shards and requests in flight.

    :ivar leaving: VMs that the VM list says are leaving
    :ivar in_flight: requests by VM and the epoch they were sent under
    :ivar rows: of all shards, by VM
    :ivar pools: rows that serve, by pool
    """

    shards: dict[ids.DataCentre, fleet.Shard] = dataclasses.field(
        default_factory=dict
    )
    listing_version: int = 0
    leaving: frozenset[ids.VmId] = frozenset()
    in_flight: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    rows: dict[ids.VmId, fleet.VmRow] = dataclasses.field(default_factory=dict)
    pools: dict[ids.PoolId, tuple[fleet.VmRow, ...]] = dataclasses.field(
        default_factory=dict
    )
    counts: anomalies.Anomalies = dataclasses.field(
        default_factory=anomalies.Anomalies
    )


def revision(grants: Grants, data_centre: ids.DataCentre) -> ids.Revision:
    """Give the revision of a shard that is followed, 0 for none."""
    shard = grants.shards.get(data_centre)
    return ids.Revision(0) if shard is None else shard.revision


def serving(grants: Grants, pool: ids.PoolId) -> tuple[fleet.VmRow, ...]:
    """Give the rows of a pool's VMs that may get new work."""
    rows = grants.pools.get(pool, ())
    if not grants.leaving:
        return rows
    return tuple(row for row in rows if row.vm not in grants.leaving)


def allows(grants: Grants, vm: ids.VmId, epoch: ids.Epoch) -> bool:
    """Say whether the copies allow new work at a VM under an epoch."""
    if vm in grants.leaving:
        return False
    return _serves(grants, vm, epoch)


def begin(grants: Grants, vm: ids.VmId, epoch: ids.Epoch) -> None:
    """Count a request as in flight, before its first byte is written."""
    grants.in_flight[vm, epoch] += 1


def end(grants: Grants, vm: ids.VmId, epoch: ids.Epoch) -> None:
    """Count a request as over: whole answer, or connection closed."""
    left = grants.in_flight[vm, epoch] - 1
    if left < 0:
        grants.counts.breaches['request ended twice'] += 1
    if left <= 0:
        del grants.in_flight[vm, epoch]
    else:
        grants.in_flight[vm, epoch] = left


def held(grants: Grants) -> dict[str, int]:
    """Count requests in flight at VMs that don't serve any more.

    Requests that were sent under an earlier epoch count as well.
    """
    found: collections.Counter = collections.Counter()
    for (vm, epoch), count in grants.in_flight.items():
        if not _serves(grants, vm, epoch):
            found[vm] += count
    return dict(found)


def apply_shard(grants: Grants, shard: fleet.Shard) -> bool:
    """Follow a shard; a lower revision is refused and counted."""
    known = revision(grants, shard.data_centre)
    same = grants.shards.get(shard.data_centre) == shard
    if not anomalies.newer(
        grants.counts, 'shard', known, shard.revision, same or not known
    ):
        return False
    _check_epochs(grants, shard)
    grants.shards[shard.data_centre] = shard
    _index(grants)
    return True


def apply_listing(grants: Grants, listing: platform_api.VmListing) -> bool:
    """Follow the VM list: VMs that are leaving get no new work."""
    known = grants.listing_version
    if not anomalies.newer(
        grants.counts, 'VM list', known, listing.version, True
    ):
        return False
    grants.listing_version = listing.version
    grants.leaving = frozenset(
        listed.vm
        for listed in listing.vms
        if listed.status is platform_api.VmStatus.LEAVING
    )
    return True


def _serves(grants: Grants, vm: ids.VmId, epoch: ids.Epoch) -> bool:
    row = grants.rows.get(vm)
    if row is None or row.state is not fleet.VmState.SERVING:
        return False
    return row.epoch == epoch


def _check_epochs(grants: Grants, shard: fleet.Shard) -> None:
    """Count rows that changed pool or state without a new epoch."""
    for row in shard.rows:
        old = grants.rows.get(row.vm)
        if old is None:
            continue
        if row.epoch < old.epoch:
            grants.counts.breaches['epoch fell'] += 1
        changed = (row.pool, row.state) != (old.pool, old.state)
        if changed and row.epoch == old.epoch:
            grants.counts.breaches['moved within an epoch'] += 1


def _index(grants: Grants) -> None:
    """Index the rows; a VM in two shards serves in neither."""
    rows: dict[ids.VmId, fleet.VmRow] = {}
    twice = set()
    for shard in grants.shards.values():
        for row in shard.rows:
            if row.vm in rows:
                twice.add(row.vm)
            rows[row.vm] = row
    for vm in twice:
        grants.counts.breaches['VM in two shards'] += 1
        del rows[vm]
    pools = collections.defaultdict(list)
    for row in rows.values():
        if row.state is fleet.VmState.SERVING:
            pools[row.pool].append(row)
    grants.rows = rows
    grants.pools = {pool: tuple(found) for pool, found in pools.items()}
