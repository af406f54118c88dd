"""Access to the table that says which entry owns which idempotency keys.

Keys fall into buckets by their hash. The table is one value of the store,
changed by compare-and-swap alone. A bucket's epoch grows at every change of
owner; its owner keeps the bucket's keys in memory (see ``idempotency``).
"""

import collections
import collections.abc
import zlib

import msgspec

from oleanderwood import ids

BUCKETS = 64
"""Buckets of a region; the number never changes."""


class Owner(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One run of an entry process."""

    entry: ids.EntryId
    incarnation: str


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """Who owns a bucket.

    :ivar hand_over: names the records that the owner was sent before the
        change; '' when it starts without any
    """

    owner: Owner
    epoch: ids.Epoch
    hand_over: str = ''


class Table(msgspec.Struct, frozen=True):
    """The owners of all buckets of a region."""

    revision: ids.Revision
    buckets: tuple[Bucket, ...]


class Move(msgspec.Struct, frozen=True):
    """A bucket that is to go to another owner."""

    bucket: int
    to: Owner
    hand_over: str = ''


def table_key(region: ids.Region) -> str:
    """Name the store's key of a region's table."""
    return f'buckets/{region}'


def bucket_of(key: ids.RequestKey) -> int:
    """Give the number of the bucket that a key falls into."""
    return zlib.crc32(key.encode()) % BUCKETS


def create(owners: collections.abc.Collection[Owner]) -> Table:
    """Make a region's first table."""
    order = sorted(owners)
    return Table(
        ids.Revision(1),
        tuple(
            Bucket(order[number % len(order)], ids.Epoch(1))
            for number in range(BUCKETS)
        ),
    )


def orphans(
    table: Table, gone: collections.abc.Container[Owner]
) -> tuple[int, ...]:
    """List the buckets whose owners are proven gone."""
    return tuple(
        number
        for number, bucket in enumerate(table.buckets)
        if bucket.owner in gone
    )


def spread(
    table: Table,
    numbers: collections.abc.Iterable[int],
    owners: collections.abc.Collection[Owner],
) -> tuple[Move, ...]:
    """Plan where some buckets go: each to the owner with the fewest.

    :param owners: those that stay; nothing moves when there is none
    """
    numbers = tuple(numbers)
    counts = {owner: 0 for owner in sorted(owners)}
    for number, bucket in enumerate(table.buckets):
        if number not in numbers and bucket.owner in counts:
            counts[bucket.owner] += 1
    moves = []
    for number in numbers:
        if not counts:
            break
        to = min(counts, key=lambda owner: (counts[owner], owner))
        counts[to] += 1
        moves.append(Move(number, to))
    return tuple(moves)


def surplus(
    table: Table, owner: Owner, owners: collections.abc.Collection[Owner]
) -> tuple[int, ...]:
    """List what an owner should hand over, as others have too few.

    Nothing moves once each has its share, rounded down.
    """
    least = BUCKETS // max(1, len(owners))
    counts = collections.Counter(bucket.owner for bucket in table.buckets)
    lacking = sum(max(0, least - counts[other]) for other in owners)
    return orphans(table, (owner,))[least : least + lacking]


def apply(table: Table, moves: collections.abc.Iterable[Move]) -> Table:
    """Give the table after some moves; their epochs grow by one."""
    changed = list(table.buckets)
    for move in moves:
        epoch = ids.Epoch(changed[move.bucket].epoch + 1)
        changed[move.bucket] = Bucket(move.to, epoch, move.hand_over)
    return Table(ids.Revision(table.revision + 1), tuple(changed))
