"""Access to the table of the owners of idempotency keys, in the store."""

from oleanderwood import buckets
from oleanderwood import change
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import key_state
from oleanderwood import node as nodes
from oleanderwood import roster as rosters
from oleanderwood import store


def follow(node: nodes.Node, table: buckets.Table) -> None:
    """Take in a newer table."""
    key_state.follow(node.keys, table, node.settings.wall_clock())


def owners(
    node: nodes.Node, roster: rosters.Roster
) -> frozenset[buckets.Owner]:
    """Give the processes of the region that may own buckets."""
    members = rosters.in_region(roster, node.view.member.region)
    return frozenset(key_state.owner(member) for member in members)


async def read(node: nodes.Node) -> tuple[buckets.Table | None, int]:
    """Read the table and follow it.

    :returns: the table, None if there is none yet, and its version
    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: a newer one was seen before
    """
    key = buckets.table_key(node.view.member.region)
    with change.reading():
        item = await node.store.get(key)
    known = node.keys.table
    if item is None and known is None:
        return None, store.ABSENT
    if item is None:
        raise errors.StoreConflict(f'{key} was there before; refused')
    table = codec.unpack(item.value, buckets.Table)
    if known is not None and table.revision < known.revision:
        raise errors.StoreConflict(
            f'{key} at {table.revision} below {known.revision}; refused'
        )
    follow(node, table)
    return table, item.version


async def swap(node: nodes.Node, table: buckets.Table, version: int) -> bool:
    """Write a table over the version it was made from, and follow it.

    :returns: whether it was written; False is proof that it wasn't
    :raises errors.StoreUnavailable: the store didn't answer
    """
    key = buckets.table_key(node.view.member.region)
    value = codec.pack(table)
    operation = nodes.operation(node)
    try:
        await node.store.swap(key, value, version, operation, None)
    except errors.StoreConflict:
        return False
    follow(node, table)
    return True
