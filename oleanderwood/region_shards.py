"""Access to the shards of one region: fencing them, and writing them.

A footing is what a leader knows of its region's shards from its own writes.
It is lost with the first write whose result isn't known or that met another
writer; the leader then fences all shards anew before it decides again, so
that no write of its own, or of an earlier leader, can still arrive.
"""

import collections.abc
import dataclasses

from oleanderwood import codec
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import ownership
from oleanderwood import store as stores


@dataclasses.dataclass
class Footing:
    """The region's shards as the leader of a term wrote them.

    :ivar versions: the store's, by data centre
    :ivar lost: nothing may be decided or written from here any more
    :ivar writes: shard writes so far
    """

    term: int
    shards: dict[ids.DataCentre, fleet.Shard]
    versions: dict[ids.DataCentre, int]
    lost: bool = False
    writes: int = 0


async def fence(
    store: stores.Store,
    data_centres: collections.abc.Iterable[ids.DataCentre],
    new_id: collections.abc.Callable[[], str],
) -> Footing:
    """Write each shard once under a new term.

    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    shards = {}
    versions = {}
    for data_centre in sorted(data_centres):
        shard, version = await _read(store, data_centre)
        shards[data_centre] = shard
        versions[data_centre] = version
    term = 1 + max((shard.term for shard in shards.values()), default=0)
    footing = Footing(term, shards, versions)
    for data_centre in shards:
        await write(store, footing, data_centre, (), 0, new_id)
    return footing


async def _read(
    store: stores.Store, data_centre: ids.DataCentre
) -> tuple[fleet.Shard, int]:
    item = await store.get(fleet.shard_key(data_centre))
    if item is None:
        empty = fleet.Shard(data_centre, ids.Revision(0), 0)
        return empty, stores.ABSENT
    return codec.unpack(item.value, fleet.Shard), item.version


async def write(
    store: stores.Store,
    footing: Footing,
    data_centre: ids.DataCentre,
    changes: collections.abc.Sequence[ownership.Change],
    listing_version: int,
    new_id: collections.abc.Callable[[], str],
) -> None:
    """Write one shard's changes; any failure loses the footing.

    :raises errors.InvariantBreach: the changes are of another state
    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    shard = footing.shards[data_centre]
    after = ownership.apply(shard, changes, footing.term, listing_version)
    lost_before = footing.lost
    footing.lost = True
    footing.versions[data_centre] = await store.swap(
        fleet.shard_key(data_centre),
        codec.pack(after),
        footing.versions[data_centre],
        ids.OperationId(f'shard-{new_id()}'),
        None,
    )
    footing.shards[data_centre] = after
    footing.lost = lost_before
    footing.writes += 1
