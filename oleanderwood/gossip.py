"""Access to the peers: telling them, catching up, and being sponsored."""

import logging
import math

import curio
import msgspec

from oleanderwood import catch_up
from oleanderwood import config_state
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import key_table
from oleanderwood import load_vectors
from oleanderwood import messages
from oleanderwood import neighbours
from oleanderwood import node as nodes
from oleanderwood import roster
from oleanderwood import view as views

LOG = logging.getLogger('gossip')

ASK_AFTER_S = 2.0
"""How long the store may fail to give the head before peers are asked."""


BUSY_FOR_S = 5.0
"""How long after the last load was told, by anyone, there may be more."""

FRESH_CONTACT_S = 0.5
"""Age of the contact after an exchange that went well."""

REST_SLOWER = 2.0
"""How much longer the pauses may be while there is nothing to tell."""

REST_ROTATION_S = 4.5
"""Time to go through all peers up to which the pauses may be longer.

Below ``peer_loads.MAX_AGE_S``: what a peer told doesn't age at rest.
"""


def pause_s(node: nodes.Node) -> float:
    """Give the pause until the next exchange; longer at rest.

    At rest: nobody told of requests in flight, the last exchange brought
    contact, and there is no revision whose outcome is to be passed on.
    """
    usual_s = 1.0 / node.settings.gossip_per_s
    now_s = nodes.now_s(node)
    view = node.view
    busy = now_s - node.neighbours.loads_s < BUSY_FOR_S
    stale = now_s - view.contact_s > FRESH_CONTACT_S
    settled = view.granted and not view.sponsor and not view.config.stages
    if busy or stale or not settled:
        return usual_s
    share_s = REST_ROTATION_S / max(1, len(nodes.region_peers(node)))
    return max(usual_s, min(REST_SLOWER * usual_s, share_s))


async def tell_next(node: nodes.Node) -> None:
    """Exchange news with the next peer in rotation.

    First fetches what a peer was seen to follow further: it may be unknown
    to our roster.
    """
    await _fetch_ahead(node)
    member = neighbours.next_peer(node.neighbours, nodes.region_peers(node))
    if member is None:
        return
    sent_s = nodes.now_s(node)
    request = messages.GossipRequest(
        views.standing(node.view, sent_s),
        node.view.member.peer,
        load_vectors.pack(node.settings.give_loads(), node.view.grants),
    )
    if request.loads:
        node.neighbours.loads_s = sent_s
    try:
        reply = await node.peers.gossip(member.peer, request)
        if reply.loads:
            node.neighbours.loads_s = nodes.now_s(node)
        if reply.standing.incarnation != member.incarnation:
            return
        loads = load_vectors.unpack(reply.loads, node.view.grants)
        node.settings.take_loads(reply.standing.entry, loads)
        await catch_up.fetch(node, member.peer, reply.standing)
    except errors.CallFailed as error:
        LOG.debug('No news from %s: %s.', member.entry, error)
        return
    now_s = nodes.now_s(node)
    views.peer_contact(node.view, reply.standing, sent_s, now_s)


async def ask_outcome(node: nodes.Node) -> None:
    """Ask all members what became of staged revisions.

    For when the store doesn't say. If each of them, of all regions, has
    none in force, then nobody has, and who gets one in force later tells
    the others within seconds.
    """
    state = node.view.config
    sent_s = nodes.now_s(node)
    lowest = config_state.lowest_staged(state)
    if lowest is None or sent_s - state.checked_s < ASK_AFTER_S:
        return
    async with curio.TaskGroup(wait=all) as group:
        for member in nodes.all_peers(node):
            await group.spawn(_ask_revision, node, member)
    found = group.results
    if found and all(number < lowest for number in found):
        config_state.check(state, sent_s)


async def _ask_revision(node: nodes.Node, member: roster.Member) -> float:
    """Give the revision in force at a member, infinite if unknown."""
    own = node.view.member
    ours = views.standing(node.view, nodes.now_s(node))
    request = messages.GossipRequest(_across(ours, own, member), own.peer)
    try:
        reply = await node.peers.gossip(member.peer, request)
        theirs = _across(reply.standing, own, member)
        await catch_up.fetch(node, member.peer, theirs)
    except errors.CallFailed:
        return math.inf
    if theirs.incarnation != member.incarnation:
        return math.inf
    return theirs.config_revision


def _across(
    standing: messages.Standing, own: roster.Member, other: roster.Member
) -> messages.Standing:
    """Leave out the shards between regions: they aren't followed there."""
    if own.region == other.region:
        return standing
    return msgspec.structs.replace(standing, shard_revisions={})


async def _fetch_ahead(node: nodes.Node) -> None:
    while node.neighbours.ahead:
        address, theirs = node.neighbours.ahead.popitem()
        try:
            await catch_up.fetch(node, address, theirs)
        except errors.CallFailed as error:
            LOG.debug('Nothing fetched from %s: %s.', address, error)


async def seek_sponsor(node: nodes.Node) -> None:
    """Ask for a sponsor, if the entry can't stand by itself.

    The present sponsor is asked first, so that a new one is sought only
    if it refuses or doesn't answer.
    """
    view = node.view
    if view.stopping or (view.granted and not view.sponsor):
        return
    for address in _candidates(node):
        if await _ask(node, address):
            return


def _candidates(node: nodes.Node) -> list[ids.Address]:
    """Give the peer addresses to ask, the present sponsor's first."""
    own = node.view.member
    members = nodes.region_peers(node)
    others = [member.peer for member in members]
    node.settings.rng.shuffle(others)
    seeds = [seed for seed in node.settings.seeds if seed not in others]
    present = [
        member.peer
        for member in members
        if member.incarnation == node.view.sponsor
    ]
    ordered = dict.fromkeys(present + others + seeds)
    return [address for address in ordered if address != own.peer]


async def _fetch_table(node: nodes.Node, address: ids.Address) -> None:
    """Fetch the table of idempotency keys' owners if we have none."""
    if node.keys.table is not None:
        return
    request = messages.FetchRequest(buckets=True)
    reply = await node.peers.fetch(address, request)
    if reply.buckets is not None:
        key_table.follow(node, reply.buckets)


async def _ask(node: nodes.Node, address: ids.Address) -> bool:
    """Ask one peer; catch up if it follows anything further."""
    request = messages.SponsorRequest(node.view.member)
    sent_s = nodes.now_s(node)
    try:
        reply = await node.peers.sponsor(address, request)
        if reply.sponsored:
            await catch_up.fetch(node, address, reply.standing)
            await _fetch_table(node, address)
    except errors.CallFailed as error:
        LOG.debug('%s does not sponsor: %s.', address, error)
        return False
    before = node.view.sponsor
    now_s = nodes.now_s(node)
    if not views.sponsor_contact(node.view, reply, sent_s, now_s):
        return False
    if before != node.view.sponsor:
        LOG.info('Sponsored by %s.', reply.standing.entry)
    return True
