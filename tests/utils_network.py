"""Entries in one process: a fake store, and peer calls without a wire."""

import dataclasses
import random

import curio

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import follower
from oleanderwood import node as nodes
from oleanderwood import parts
from oleanderwood import peer
from oleanderwood import peer_answers
from oleanderwood import store
from oleanderwood import verdict as verdicts
from oleanderwood import view
from tests import utils_membership as build
from tests import utils_store

RENEW_S = 0.02


@dataclasses.dataclass
class Network:
    """Processes by peer address.

    :ivar cut: addresses that can't be reached
    """

    fake: utils_store.FakeStore = dataclasses.field(
        default_factory=utils_store.FakeStore
    )
    members: dict[str, nodes.Node] = dataclasses.field(default_factory=dict)
    cut: set[str] = dataclasses.field(default_factory=set)


def calls(network, own=''):
    """Make peer calls that reach the network's processes directly."""

    def call(name):
        async def send(address, request):
            await curio.sleep(0)
            if {address, own} & network.cut or address not in network.members:
                raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'cut')
            handlers = peer_answers.handlers(network.members[address])
            return await handlers[name](request)

        return send

    return peer.Peers(**{m.name: call(m.name) for m in peer.METHODS})


def add(network, name='e1', kept=None, **settings):
    """Add an entry process; nothing of it runs yet."""
    member = build.member(name)
    made = nodes.Settings(
        rng=random.Random(1),
        renew_s=RENEW_S,
        gossip_per_s=100.0,
        tick_s=0.005,
        watch_s=1.0,
        **settings,
    )
    kept = kept or utils_store.connect(network.fake)
    peers = calls(network, member.peer)
    node = nodes.make(made, kept, peers, view.make(member))
    network.members[member.peer] = node
    return node


async def publish(network, revision=1, size=1, shard=None):
    """Write a configuration and a shard to the store."""
    kept = utils_store.connect(network.fake)
    split = parts.split(build.content(size=size))
    references = parts.refer(split, {}, f'apply-{revision}')
    for part, reference in references.items():
        await _put(kept, parts.key(reference), split[part])
    made = build.head(revision)
    head = type(made)(revision, revision - 1, references, made.operation)
    await _put(kept, store.CONFIG_HEAD_KEY, codec.pack(head))
    if shard is not None:
        await put_shard(network, shard)


async def put_shard(network, shard):
    """Write a shard to the store."""
    kept = utils_store.connect(network.fake)
    await _put(kept, f'shards/{shard.data_centre}', codec.pack(shard))


async def _put(kept, key, value):
    item = await kept.get(key)
    version = store.ABSENT if item is None else item.version
    await kept.swap(key, value, version, f'test-{key}-{version}', None)


async def until(condition, limit_s=3.0):
    """Wait until a condition holds."""
    async with curio.timeout_after(limit_s):
        while not condition():
            await curio.sleep(0.005)


def ready(node):
    """Say whether an entry is ready."""
    return view.ready(node.view, nodes.now_s(node)) == ''


def run(network, scenario):
    """Run a scenario with all entries that were added following."""

    async def main():
        tasks = [
            await curio.spawn(follower.run, node)
            for node in network.members.values()
        ]
        try:
            await scenario()
        finally:
            for task in tasks:
                await task.cancel()

    curio.run(main)
