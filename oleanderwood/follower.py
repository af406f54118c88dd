"""Access to the tasks that keep an entry's view up to date.

An entry makes a view (:mod:`view`), a node (:mod:`node`), serves
``peer_answers.handlers(node)``, and runs :func:`run`; at its end, with no
request in flight, it cancels that and calls ``membership.resign(node)``.
"""

import collections.abc
import logging

import curio
import msgspec

from oleanderwood import buckets
from oleanderwood import catch_up
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import gossip
from oleanderwood import grants
from oleanderwood import ids
from oleanderwood import key_owner
from oleanderwood import key_table
from oleanderwood import membership
from oleanderwood import node as nodes
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import ticks
from oleanderwood import view as views

LOG = logging.getLogger('follower')

Step = collections.abc.Callable[[], collections.abc.Awaitable[None]]
Take = collections.abc.Callable[
    [store.Item | None, float], collections.abc.Awaitable[None]
]

RETRY_S = 1.0
"""Pause after a failed round."""

SPONSOR_S = 1.0
HEAD_POLL_S = 1.0
"""How often the head is read while a revision is staged."""


async def run(node: nodes.Node) -> None:
    """Follow the store and the peers until cancelled."""
    settings = node.settings
    async with curio.TaskGroup(wait=all) as group:

        async def every(name: str, pause_s: float, step: Step) -> None:
            await group.spawn(_repeat, node, name, pause_s, step)

        async def tick(name: str, pause_s: float, step: Step) -> None:
            await group.spawn(_tick, name, pause_s, step)

        await every('keep', settings.renew_s, lambda: membership.keep(node))
        await group.spawn(_gossip, node)
        await tick('sponsor', SPONSOR_S, lambda: gossip.seek_sponsor(node))
        await every('keys', settings.tick_s, lambda: key_owner.keep(node))
        await tick('lapse', settings.tick_s, lambda: _lapse(node))
        await tick('staged', HEAD_POLL_S, lambda: _poll_head(node))
        await tick('outcome', HEAD_POLL_S, lambda: gossip.ask_outcome(node))
        if settings.list_vms is not None:
            await every('vms', settings.list_poll_s, lambda: poll_list(node))
        await group.spawn(_watch_head, node)
        await group.spawn(_watch_roster, node)
        await group.spawn(_watch_buckets, node)
        await _watch_shards(node, group)


async def _repeat(
    node: nodes.Node, name: str, pause_s: float, step: Step
) -> None:
    """Run a step for ever; a failure is logged and the next one is due."""
    rng = node.settings.rng
    while True:
        await _guarded(name, step)
        await curio.sleep(pause_s * rng.uniform(0.9, 1.1))


async def _gossip(node: nodes.Node) -> None:
    rng = node.settings.rng
    while True:
        await _guarded('gossip', lambda: gossip.tell_next(node))
        await curio.sleep(gossip.pause_s(node) * rng.uniform(0.9, 1.1))


async def _tick(name: str, pause_s: float, step: Step) -> None:
    """Run a step for ever that seldom has anything to do."""
    while True:
        await _guarded(name, step)
        await ticks.pause(pause_s)


async def _guarded(name: str, step: Step) -> bool:
    """Run a step; say whether it went well."""
    try:
        await step()
    except (errors.CallFailed, errors.StoreConflict) as error:
        LOG.warning('%s: %s.', name, error)
    except (errors.BadMessage, msgspec.MsgspecError) as error:
        LOG.error('%s: damaged: %s.', name, error)
    except Exception:
        LOG.exception('%s failed.', name)
    else:
        return True
    return False


async def _lapse(node: nodes.Node) -> None:
    views.lapse(node.view, nodes.now_s(node))
    node.publish()


async def _poll_head(node: nodes.Node) -> None:
    if node.view.config.stages:
        await catch_up.read_config(node)


async def poll_list(node: nodes.Node) -> None:
    """Read the VM list if it is newer than ours."""
    version = node.view.grants.listing_version
    listing = await node.settings.list_vms(version)
    if listing is not None:
        grants.apply_listing(node.view.grants, listing)


async def _watch_head(node: nodes.Node) -> None:
    async def take(item: store.Item | None, sent_s: float) -> None:
        await catch_up.take_head(node, item, sent_s)

    await _watch(node, store.CONFIG_HEAD_KEY, take)


async def _watch_roster(node: nodes.Node) -> None:
    async def take(item: store.Item | None, sent_s: float) -> None:
        if item is not None:
            found = codec.unpack(item.value, roster.Roster)
            catch_up.take_roster(node, found)

    await _watch(node, store.ROSTER_KEY, take)


async def _watch_buckets(node: nodes.Node) -> None:
    async def take(item: store.Item | None, sent_s: float) -> None:
        if item is not None:
            key_table.follow(node, codec.unpack(item.value, buckets.Table))

    await _watch(node, buckets.table_key(node.view.member.region), take)


async def _watch_shards(node: nodes.Node, group: curio.TaskGroup) -> None:
    """Watch the shards of all data centres that are followed."""
    watched: set[ids.DataCentre] = set()
    while True:
        for data_centre in views.followed(node.view):
            if data_centre not in watched:
                watched.add(data_centre)
                await group.spawn(_watch_shard, node, data_centre)
        await ticks.pause(node.settings.tick_s)


async def _watch_shard(node: nodes.Node, data_centre: ids.DataCentre) -> None:
    async def take(item: store.Item | None, sent_s: float) -> None:
        if item is not None:
            shard = codec.unpack(item.value, fleet.Shard)
            catch_up.take_shard(node, shard)

    await _watch(node, fleet.shard_key(data_centre), take)


async def _watch(node: nodes.Node, key: str, take: Take) -> None:
    """Give each newer value of a key to ``take``, for ever.

    The version moves on only once the value was taken in.
    """
    rng = node.settings.rng
    seen = [store.ABSENT]

    async def step() -> None:
        sent_s = nodes.now_s(node)
        wait_s = node.settings.watch_s * rng.uniform(0.8, 1.0)
        try:
            item = await node.store.watch(key, seen[0], wait_s)
        except TimeoutError:
            return
        await take(item, sent_s)
        seen[0] = store.ABSENT if item is None else item.version

    while True:
        if not await _guarded(key, step):
            await curio.sleep(RETRY_S * rng.uniform(0.5, 1.0))
