"""Access to the proof that a member needn't acknowledge a configuration.

A process that left the roster, that has ended, whose VM is gone, or that
is isolated sends nothing new. An isolated one serves again only after it
has read the head, or has caught up with a peer that acknowledged; so it may
be left out of an apply. What it still has in flight may end under the old
configuration, unlike at the release of a VM (:mod:`isolation`): so nothing
is taken off the roster here.

An entry listens for its peers as long as it runs; where its address refuses
connections, it has ended. No answer at all proves nothing.
"""

import collections.abc
import dataclasses
import socket

import curio

from oleanderwood import change
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import ids
from oleanderwood import isolation
from oleanderwood import messages
from oleanderwood import peer
from oleanderwood import rollout_run
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import vm_listing

Refuses = collections.abc.Callable[
    [ids.Address], collections.abc.Awaitable[bool]
]

CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Watcher:
    """What the proof reads.

    :ivar refuses: says whether an address refuses connections
    :ivar seen: VMs that were on the VM list at some time
    """

    kept: store.Store
    peers: peer.Peers
    listing: vm_listing.Reader
    refuses: Refuses
    seen: set[ids.VmId] = dataclasses.field(default_factory=set)


def prover(watcher: Watcher) -> rollout_run.Gone:
    """Make the function that says whether a member is proven gone."""

    async def gone(member: roster.Member) -> bool:
        try:
            return await _gone(watcher, member)
        except (errors.CallFailed, errors.StoreConflict):
            return False

    return gone


async def _gone(watcher: Watcher, member: roster.Member) -> bool:
    known, _ = await change.read(watcher.kept, store.ROSTER_KEY, roster.EMPTY)
    if not roster.holds(known, member.incarnation):
        return True
    if await _ended(watcher, member):
        return True
    if await watcher.kept.get(roster.member_key(member)) is not None:
        return False
    others = tuple(
        other
        for other in roster.in_region(known, member.region)
        if other.incarnation != member.incarnation
    )
    return await _unheard(watcher, member, others)


async def refuses(address: ids.Address) -> bool:
    """Say whether an address is reached and refuses connections."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            await sock.connect(http.split_address(address))
    except ConnectionRefusedError:
        return True
    except (OSError, curio.TaskTimeout):
        return False
    finally:
        await http.close(sock)
    return False


async def _ended(watcher: Watcher, member: roster.Member) -> bool:
    if await watcher.refuses(member.peer):
        return True
    return await _vm_gone(watcher, member)


async def _vm_gone(watcher: Watcher, member: roster.Member) -> bool:
    """Say whether the VM was on the list, which lags, and isn't any more."""
    listing = await vm_listing.read(watcher.listing)
    listed = {vm.vm for vm in listing.vms}
    watcher.seen |= listed
    return member.vm in watcher.seen and member.vm not in listed


async def _unheard(
    watcher: Watcher,
    member: roster.Member,
    others: tuple[roster.Member, ...],
) -> bool:
    """Say whether no other member heard of it for long enough.

    Each has to answer by itself, or have ended: two that are cut off
    together may keep up each other's contact.
    """
    place = member.data_centre
    empty = fleet.Shard(place, ids.Revision(0), 0)
    shard, item = await change.read(
        watcher.kept, fleet.shard_key(place), empty
    )
    if item is None:
        return False
    request = messages.ReleaseRequest(shard, place)
    async with curio.TaskGroup() as group:
        for other in others:
            await group.spawn(_quiet, watcher, other, member, request)
    return all(group.results)


async def _quiet(
    watcher: Watcher,
    other: roster.Member,
    member: roster.Member,
    request: messages.ReleaseRequest,
) -> bool:
    try:
        reply = await watcher.peers.release(other.peer, request)
    except errors.CallFailed:
        return await _ended(watcher, other)
    if reply.incarnation != other.incarnation:
        return False
    age_s = reply.heard_ages_s.get(member.incarnation, reply.up_s)
    return age_s >= isolation.QUIET_S
