"""Access to the release of VMs: who of the roster still holds work where.

The shard is written first, then the roster is read, then all members are
asked; in that order, no entry that joins meanwhile is missed.
"""

import collections.abc
import dataclasses

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import orders
from oleanderwood import ownership
from oleanderwood import peer
from oleanderwood import roster
from oleanderwood import store as stores

GRACE_S = 4.0
"""How long the roster has to answer whole before any VM is taken."""


@dataclasses.dataclass
class Releases:
    """What the members have said so far.

    :ivar released: VMs, by epoch, at which no entry holds work; final
    :ivar blocked: who blocks the other VMs that wait, for operators
    :ivar whole_since_s: since when all members have answered, None if one
        has not; monotonic
    """

    released: set[tuple[ids.VmId, ids.Epoch]] = dataclasses.field(
        default_factory=set
    )
    blocked: dict[ids.VmId, str] = dataclasses.field(default_factory=dict)
    whole_since_s: float | None = None


def settled(releases: Releases, now_s: float) -> bool:
    """Say whether the roster has answered whole for long enough."""
    since_s = releases.whole_since_s
    return since_s is not None and now_s - since_s >= GRACE_S


def waits(row: fleet.VmRow) -> bool:
    """Say whether a row can't go on before its VM is released."""
    if row.state is fleet.VmState.BROKEN and row.operation:
        return False
    return row.state in (
        fleet.VmState.RELEASING,
        fleet.VmState.BROKEN,
    ) and ownership.may_hold_work(row)


def waiting(shard: fleet.Shard, releases: Releases) -> list[fleet.VmRow]:
    """Give the rows of a shard whose release isn't known yet."""
    return [
        row
        for row in shard.rows
        if waits(row) and (row.vm, row.epoch) not in releases.released
    ]


async def ask(
    store: stores.Store,
    peers: peer.Peers,
    region: ids.Region,
    shards: ownership.Shards,
    releases: Releases,
    now_s: collections.abc.Callable[[], float],
) -> None:
    """Ask all members of the region about the VMs that wait.

    Before the roster is settled all shards are asked about.

    :raises errors.StoreUnavailable: the roster can't be read
    """
    asked = [
        shard
        for shard in shards.values()
        if waiting(shard, releases) or not settled(releases, now_s())
    ]
    releases.blocked = {}
    if not asked:
        return
    members = await read_members(store, region)
    whole = True
    for shard in asked:
        missing = await _ask_members(peers, members, shard, releases)
        whole = whole and not missing
    if not whole:
        releases.whole_since_s = None
    elif releases.whole_since_s is None:
        releases.whole_since_s = now_s()


async def read_members(
    store: stores.Store, region: ids.Region
) -> tuple[roster.Member, ...]:
    """Read the roster and give the members of a region."""
    item = await store.get(stores.ROSTER_KEY)
    if item is None:
        return ()
    whole = codec.unpack(item.value, roster.Roster)
    return tuple(m for m in whole.members if m.region == region)


async def _ask_members(
    peers: peer.Peers,
    members: tuple[roster.Member, ...],
    shard: fleet.Shard,
    releases: Releases,
) -> list[roster.Member]:
    """Ask all members about one shard; give those that didn't answer."""
    replies: dict[ids.EntryId, messages.ReleaseReply] = {}

    async def ask_one(member: roster.Member) -> None:
        request = messages.ReleaseRequest(shard)
        try:
            reply = await peers.release(member.peer, request)
        except errors.CallFailed:
            return
        if reply.incarnation == member.incarnation:
            replies[member.entry] = reply

    await orders.for_each(members, ask_one)
    for row in waiting(shard, releases):
        reasons = [
            reason
            for member in members
            if (reason := _blocks(member, replies, shard, row))
        ]
        if reasons:
            releases.blocked[row.vm] = ', '.join(reasons)
        else:
            releases.released.add((row.vm, row.epoch))
    return [m for m in members if m.entry not in replies]


def _blocks(
    member: roster.Member,
    replies: dict[ids.EntryId, messages.ReleaseReply],
    shard: fleet.Shard,
    row: fleet.VmRow,
) -> str:
    """Say how a member blocks a VM's release, '' if it doesn't."""
    reply = replies.get(member.entry)
    if reply is None:
        return f'{member.entry} does not answer'
    if reply.revision < shard.revision:
        return f'{member.entry} follows revision {reply.revision} only'
    count = reply.in_flight.get(row.vm, 0)
    if count:
        return f'{member.entry} has {count} requests in flight'
    return ''
