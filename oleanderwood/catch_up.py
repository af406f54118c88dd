"""Access to newer revisions: read from the store, or fetched from a peer."""

import logging

from oleanderwood import change
from oleanderwood import codec
from oleanderwood import config_state
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import history
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import node as nodes
from oleanderwood import parts
from oleanderwood import roster
from oleanderwood import staging
from oleanderwood import store
from oleanderwood import view as views

LOG = logging.getLogger('catch-up')


async def read_config(node: nodes.Node) -> None:
    """Read the head from the store, and put it in force."""
    sent_s = nodes.now_s(node)
    item = await node.store.get(store.CONFIG_HEAD_KEY)
    await take_head(node, item, sent_s)


async def join_config(node: nodes.Node) -> None:
    """Read the head as a process that has just joined.

    An apply writes its record, then reads the roster; this process wrote
    itself into the roster, and now reads the records: it is asked, or it
    knows of what it wasn't asked for.
    """
    state = node.view.config
    known, _ = await change.read(node.store, history.KEY, history.History())
    sent_s = nodes.now_s(node)
    item = await node.store.get(store.CONFIG_HEAD_KEY)
    head, version = staging.NO_HEAD, store.ABSENT
    if item is not None:
        head = codec.unpack(item.value, configuration.Head)
        version = item.version
    for record in history.undecided(known, head):
        staged = configuration.Head(
            record.revision, record.base, {}, record.operation
        )
        config_state.note(state, staged, sent_s, version)
    await take_head(node, item, sent_s)


async def take_head(
    node: nodes.Node, item: store.Item | None, sent_s: float
) -> None:
    """Put a head that was read from the store in force.

    :param sent_s: when the read was sent
    """
    state = node.view.config
    if item is None:
        config_state.check(state, sent_s)
        return
    head = codec.unpack(item.value, configuration.Head)
    if head.revision > config_state.revision(state):
        content = await _content(node, head)
        if content is None:
            return
        if config_state.apply(state, head, content):
            LOG.info('Configuration %d is in force.', head.revision)
    elif not _confirmed(state, head):
        return
    config_state.check(state, sent_s, item.version)


def _confirmed(
    state: config_state.ConfigState, head: configuration.Head
) -> bool:
    """Say whether a head is the one in force; others are reported."""
    config_state.apply(state, head, state.content)
    ours = (config_state.revision(state), state.head.operation)
    if ours == (head.revision, head.operation):
        return True
    LOG.error(
        'Store offers configuration %d in place of %d; refused.',
        head.revision,
        config_state.revision(state),
    )
    return False


async def _content(
    node: nodes.Node, head: configuration.Head
) -> configuration.Configuration | None:
    """Give the content of a head, None if the head has moved on."""
    content = config_state.staged(node.view.config, head)
    if content is not None:
        return content
    # Joining and the watch find a head at once; the second reads nothing.
    async with node.fetching:
        content = await parts.fetch(node.store, head, node.parts)
        _forget_parts(node, head)
    return content


def _forget_parts(node: nodes.Node, head: configuration.Head) -> None:
    named = set(head.parts.values())
    node.parts = {
        reference: value
        for reference, value in node.parts.items()
        if reference in named
    }


async def read_shard(node: nodes.Node, data_centre: ids.DataCentre) -> None:
    """Read a shard from the store and follow it."""
    item = await node.store.get(fleet.shard_key(data_centre))
    if item is not None:
        take_shard(node, codec.unpack(item.value, fleet.Shard))


def take_shard(node: nodes.Node, shard: fleet.Shard) -> None:
    """Follow a shard; a lower revision is refused and reported."""
    known = grants.revision(node.view.grants, shard.data_centre)
    grants.apply_shard(node.view.grants, shard)
    if shard.revision < known:
        LOG.error(
            'Shard %s offered at %d below %d; refused.',
            shard.data_centre,
            shard.revision,
            known,
        )


def take_roster(node: nodes.Node, found: roster.Roster) -> None:
    """Follow the roster; a lower revision is refused and reported."""
    known = node.view.roster.revision
    views.apply_roster(node.view, found)
    if found.revision < known:
        LOG.error('Roster %d below %d; refused.', found.revision, known)


async def fetch(
    node: nodes.Node, address: ids.Address, theirs: messages.Standing
) -> None:
    """Fetch from a peer what it follows further.

    :raises errors.CallFailed: the peer didn't answer
    """
    state = node.view.config
    request = messages.FetchRequest(
        config=theirs.config_revision > config_state.revision(state),
        shards=views.behind(node.view, theirs),
        roster=theirs.roster_revision > node.view.roster.revision,
    )
    if request == messages.FetchRequest():
        return
    reply = await node.peers.fetch(address, request)
    _take_peers_head(node, reply)
    for shard in reply.shards:
        if shard.revision > grants.revision(
            node.view.grants, shard.data_centre
        ):
            take_shard(node, shard)
    found = reply.roster
    if found is not None and found.revision > node.view.roster.revision:
        take_roster(node, found)


def _take_peers_head(node: nodes.Node, reply: messages.FetchReply) -> None:
    state = node.view.config
    if reply.head is None or reply.configuration is None:
        return
    if reply.head.revision <= config_state.revision(state):
        return
    config_state.apply(state, reply.head, reply.configuration)
    LOG.info('Configuration %d came from a peer.', reply.head.revision)
