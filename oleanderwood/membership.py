"""Access to an entry's place in the store: roster, leased key, resignation.

The order matters, see docs/MEMBERSHIP.md: write the roster, then read the
shards; hold grants only after both.
"""

import collections.abc
import contextlib
import logging

import curio

from oleanderwood import catch_up
from oleanderwood import change
from oleanderwood import errors
from oleanderwood import isolation
from oleanderwood import key_table
from oleanderwood import neighbours
from oleanderwood import node as nodes
from oleanderwood import roster as rosters
from oleanderwood import store
from oleanderwood import view as views

LOG = logging.getLogger('membership')


async def keep(node: nodes.Node) -> None:
    """Do one round: join if need be, else renew.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    view = node.view
    if view.stopping:
        return
    if node.lease is None or not view.granted or view.sponsor:
        await establish(node)
        return
    await _renew(node)
    await _remove_superseded(node)


async def establish(node: nodes.Node) -> None:
    """Join, and hold grants from then on.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    view = node.view
    member = view.member
    await change_roster(node, lambda found: rosters.join(found, member))
    await _lease(node)
    sent_s = nodes.now_s(node)
    if await node.store.keep_alive(node.lease) <= 0:
        node.lease = None
        return
    await catch_up.join_config(node)
    # Copies that came from peers count too, though nothing is routed there.
    for data_centre in {*views.followed(view), *view.grants.shards}:
        await catch_up.read_shard(node, data_centre)
    with contextlib.suppress(errors.StoreConflict):
        await key_table.read(node)
    views.contact(view, sent_s, nodes.now_s(node))
    views.grant(view)
    LOG.info('Joined as %s.', member.incarnation)


async def _lease(node: nodes.Node) -> None:
    """Keep the member's key under a lease; its absence tells the leader."""
    if node.lease is not None:
        return
    key = rosters.member_key(node.view.member)
    lease = await node.store.grant(isolation.MEMBER_TTL_S)
    item = await node.store.get(key)
    version = store.ABSENT if item is None else item.version
    operation = nodes.operation(node)
    await node.store.swap(key, b'', version, operation, lease)
    node.lease = lease


async def _renew(node: nodes.Node) -> None:
    """Renew the lease; only this is contact, as only this leaves a trace."""
    sent_s = nodes.now_s(node)
    if await node.store.keep_alive(node.lease) > 0:
        views.contact(node.view, sent_s, nodes.now_s(node))
        return
    LOG.warning('The lease has lapsed.')
    node.lease = None
    await establish(node)


async def change_roster(
    node: nodes.Node,
    transform: collections.abc.Callable[[rosters.Roster], rosters.Roster],
) -> None:
    """Change the roster by compare-and-swap, and follow it.

    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: others were always faster
    """
    found = await change.change(
        node.store,
        store.ROSTER_KEY,
        rosters.EMPTY,
        transform,
        nodes.operation(node),
    )
    catch_up.take_roster(node, found)


async def _remove_superseded(node: nodes.Node) -> None:
    """Take processes off the roster whose peer address is ours by now."""
    member = node.view.member
    up_s = neighbours.up_s(node.neighbours, nodes.now_s(node))
    if up_s < isolation.QUIET_S:
        return
    if not rosters.superseded(node.view.roster, member):
        return

    def without(found: rosters.Roster) -> rosters.Roster:
        for other in rosters.superseded(found, member):
            found = rosters.leave(found, other.incarnation)
        return found

    await change_roster(node, without)


async def resign(node: nodes.Node) -> bool:
    """Give up all grants and leave the roster.

    To be called once no request is in flight. Waits until no sponsored
    entry can hold grants through this one any more.

    :returns: whether the roster is known not to hold this process
    """
    view = node.view
    view.stopping = True
    view.granted = False
    while neighbours.sponsored(node.neighbours, nodes.now_s(node)):
        await curio.sleep(node.settings.tick_s)
    incarnation = view.member.incarnation
    try:
        await change_roster(
            node, lambda found: rosters.leave(found, incarnation)
        )
    except (errors.StoreUnavailable, errors.StoreConflict) as error:
        LOG.warning('Left without resigning: %s.', error)
        return False
    return not rosters.holds(view.roster, incarnation)
