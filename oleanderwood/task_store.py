"""Access to the task rows of a region in the store.

The rows lie in buckets by a hash of the task's id, ``tasks/REGION/N``, each
fenced by a term as shards are: an earlier leader's write conflicts.
"""

import collections.abc
import dataclasses
import zlib

import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import store as stores
from oleanderwood import task_row

BUCKETS = 16
KEY_PREFIX = 'tasks/'


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """Some of a region's task rows, as the leader of a term wrote them."""

    term: int
    rows: tuple[task_row.TaskRow, ...] = ()


@dataclasses.dataclass
class Footing:
    """What a leader knows of the buckets from its own writes.

    :ivar versions: the store's, by bucket
    :ivar lost: nothing may be written from here any more
    :ivar writes: bucket writes so far
    """

    region: ids.Region
    term: int
    versions: dict[int, int]
    lost: bool = False
    writes: int = 0


def bucket_of(task: str) -> int:
    """Give the bucket of a task."""
    return zlib.crc32(task.encode()) % BUCKETS


def key(region: ids.Region, bucket: int) -> str:
    """Name the store's key of a bucket."""
    return f'{KEY_PREFIX}{region}/{bucket}'


async def exist(store: stores.Store, region: ids.Region) -> bool:
    """Say whether the store has any task rows of a region.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    return await store.get(key(region, 0)) is not None


async def fence(
    store: stores.Store,
    region: ids.Region,
    new_id: collections.abc.Callable[[], str],
) -> tuple[Footing, list[task_row.TaskRow]]:
    """Write each bucket once under a new term, and give all rows.

    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    found = {}
    versions = {}
    for bucket in range(BUCKETS):
        item = await store.get(key(region, bucket))
        found[bucket] = Bucket(0)
        versions[bucket] = stores.ABSENT
        if item is not None:
            found[bucket] = codec.unpack(item.value, Bucket)
            versions[bucket] = item.version
    term = 1 + max(one.term for one in found.values())
    footing = Footing(region, term, versions)
    for bucket, one in found.items():
        await write(store, footing, bucket, one.rows, new_id)
    return footing, [row for one in found.values() for row in one.rows]


async def write(
    store: stores.Store,
    footing: Footing,
    bucket: int,
    rows: tuple[task_row.TaskRow, ...],
    new_id: collections.abc.Callable[[], str],
) -> None:
    """Write all rows of a bucket; any failure loses the footing.

    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    if footing.lost:
        raise errors.StoreConflict('an earlier write of tasks failed')
    footing.lost = True
    footing.versions[bucket] = await store.swap(
        key(footing.region, bucket),
        codec.pack(Bucket(footing.term, rows)),
        footing.versions[bucket],
        ids.OperationId(f'tasks-{new_id()}'),
        None,
    )
    footing.lost = False
    footing.writes += 1
