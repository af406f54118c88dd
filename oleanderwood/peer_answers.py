"""Access to an entry's answers to the calls of its peers and leaders."""

import collections.abc
import logging
import typing

from oleanderwood import catch_up
from oleanderwood import config_state
from oleanderwood import grants
from oleanderwood import key_owner
from oleanderwood import load_vectors
from oleanderwood import messages
from oleanderwood import neighbours
from oleanderwood import node as nodes
from oleanderwood import peer
from oleanderwood import view as views

LOG = logging.getLogger('peer-answers')

Answer = collections.abc.Callable[[nodes.Node, typing.Any], typing.Any]


def handlers(node: nodes.Node) -> dict[str, peer.Handler]:
    """Give the handlers of all methods, for a server of peer calls."""
    answers: dict[str, Answer] = {
        'gossip': gossip,
        'fetch': fetch,
        'sponsor': sponsor,
        'prepare': prepare,
        'commit': commit,
        'release': release,
        'claim': key_owner.claim,
        'settle': key_owner.settle,
        'hand_over': key_owner.receive,
    }
    return {name: _bound(node, answer) for name, answer in answers.items()}


def _bound(node: nodes.Node, answer: Answer) -> peer.Handler:
    async def handle(request: typing.Any) -> typing.Any:
        return answer(node, request)

    return handle


def gossip(
    node: nodes.Node, request: messages.GossipRequest
) -> messages.GossipReply:
    """Take a peer's news and give ours."""
    now_s = nodes.now_s(node)
    theirs = request.standing
    neighbours.hear(node.neighbours, theirs.incarnation, now_s)
    held = node.view.grants
    loads = load_vectors.unpack(request.loads, held)
    node.settings.take_loads(theirs.entry, loads)
    if request.loads:
        node.neighbours.loads_s = now_s
    if views.offers(node.view, theirs):
        node.neighbours.ahead[request.peer] = theirs
    return messages.GossipReply(
        views.standing(node.view, now_s),
        load_vectors.pack(node.settings.give_loads(), held),
    )


def fetch(
    node: nodes.Node, request: messages.FetchRequest
) -> messages.FetchReply:
    """Give copies of what is asked for."""
    view = node.view
    held = view.grants.shards
    return messages.FetchReply(
        head=view.config.head if request.config else None,
        configuration=view.config.content if request.config else None,
        shards=tuple(held[name] for name in request.shards if name in held),
        roster=view.roster if request.roster else None,
        buckets=node.keys.table if request.buckets else None,
    )


def sponsor(
    node: nodes.Node, request: messages.SponsorRequest
) -> messages.SponsorReply:
    """Answer for a process that can't join now, if we stand well."""
    view = node.view
    now_s = nodes.now_s(node)
    member = request.member
    neighbours.hear(node.neighbours, member.incarnation, now_s)
    reason = _no_sponsor(node, now_s)
    if not reason and member.region != view.member.region:
        reason = f'of region {view.member.region}'
    if not reason:
        neighbours.sponsor(node.neighbours, member, now_s)
    return messages.SponsorReply(
        not reason, views.standing(view, now_s), reason
    )


def _no_sponsor(node: nodes.Node, now_s: float) -> str:
    """Say why this entry can't sponsor, '' if it can."""
    if not views.vouches(node.view, now_s):
        return 'no good standing'
    return views.ready(node.view, now_s)


def prepare(
    node: nodes.Node, request: messages.PrepareRequest
) -> messages.PrepareReply:
    """Hold a staged revision ready."""
    state = node.view.config
    reason = 'stopping' if node.view.stopping else ''
    if not reason:
        reason = config_state.stage(
            state,
            request.head,
            request.configuration,
            nodes.now_s(node),
            request.base_version,
        )
    number = config_state.revision(state)
    return messages.PrepareReply(not reason, number, reason)


def commit(
    node: nodes.Node, request: messages.CommitRequest
) -> messages.CommitReply:
    """Put a staged revision in force, or drop it."""
    state = node.view.config
    if not request.accepted:
        config_state.drop(state, request.operation)
    elif config_state.commit(state, request.revision, request.operation):
        LOG.info('Configuration %d is in force.', request.revision)
    return messages.CommitReply(config_state.revision(state))


def release(
    node: nodes.Node, request: messages.ReleaseRequest
) -> messages.ReleaseReply:
    """Follow the shard if one is offered, and say what is still held."""
    view = node.view
    now_s = nodes.now_s(node)
    if request.shard is not None:
        catch_up.take_shard(node, request.shard)
    return messages.ReleaseReply(
        entry=view.member.entry,
        incarnation=view.member.incarnation,
        revision=grants.revision(view.grants, request.data_centre),
        in_flight=grants.held(view.grants),
        heard_ages_s=neighbours.ages_s(node.neighbours, now_s),
        up_s=neighbours.up_s(node.neighbours, now_s),
        sponsored=neighbours.sponsored(node.neighbours, now_s),
    )
