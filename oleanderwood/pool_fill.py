"""Access to the plain filling of pools from the spare VMs.

Pure. It keeps pools at their wanted size, spread over data centres and
racks; it lends nothing and plans no reserve.
"""

import collections
import collections.abc

from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import ownership
from oleanderwood import reserve

Sites = collections.abc.Mapping[ids.VmId, reserve.Site]


def moves(
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    sites: Sites,
) -> tuple[buffer.Move, ...]:
    """Fill each pool to its size, and empty those that are gone."""
    members = collections.defaultdict(list)
    spares = collections.defaultdict(list)
    for row in rows:
        if row.vm not in sites or row.state is fleet.VmState.BROKEN:
            continue
        if not ownership.is_spare(row.pool):
            members[row.pool].append(row)
        elif row.state is fleet.VmState.SERVING:
            spares[sites[row.vm].data_centre].append(row)
    found = []
    for pool in sorted(pools, key=lambda pool: pool.name):
        pool_id = ids.PoolId(pool.name)
        there = members.pop(pool_id, [])
        found += _fill(pool, there, spares, sites)
        found += _shrink(pool, there)
    for pool_id, left in members.items():
        found += [_to_spare(row) for row in left]
    return tuple(found)


def _fill(
    pool: configuration.Pool,
    there: list[fleet.VmRow],
    spares: dict[ids.DataCentre, list[fleet.VmRow]],
    sites: Sites,
) -> list[buffer.Move]:
    homes = collections.Counter(sites[row.vm].data_centre for row in there)
    racks = collections.Counter(sites[row.vm] for row in there)
    found = []
    while len(there) + len(found) < pool.size:
        home = min(
            (dc for dc in pool.data_centres if spares[dc]),
            key=lambda dc: (homes[dc], dc),
            default=None,
        )
        if home is None:
            break
        row = min(
            spares[home],
            key=lambda row: (racks[sites[row.vm]], row.rack, row.vm),
        )
        spares[home].remove(row)
        homes[home] += 1
        racks[sites[row.vm]] += 1
        reason = buffer.MoveReason.BELOW_SIZE
        found.append(
            buffer.Move(row.vm, row.pool, ids.PoolId(pool.name), reason)
        )
    return found


def _shrink(
    pool: configuration.Pool, there: list[fleet.VmRow]
) -> list[buffer.Move]:
    serving = [row for row in there if row.state is fleet.VmState.SERVING]
    extra = max(0, len(there) - pool.size)
    return [_to_spare(row) for row in serving[len(serving) - extra :]]


def _to_spare(row: fleet.VmRow) -> buffer.Move:
    spare = ids.PoolId(fleet.SPARE_PREFIX)
    return buffer.Move(row.vm, row.pool, spare, buffer.MoveReason.RETURN)
