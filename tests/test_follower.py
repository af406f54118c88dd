"""Tests of entries that follow the store and each other."""

import dataclasses

import curio
import prometheus_client

from oleanderwood import codec
from oleanderwood import config_state
from oleanderwood import fleet
from oleanderwood import follower
from oleanderwood import gossip
from oleanderwood import grants
from oleanderwood import history
from oleanderwood import invariants
from oleanderwood import membership
from oleanderwood import messages
from oleanderwood import node as nodes
from oleanderwood import node_metrics
from oleanderwood import peer_answers
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import view
from tests import utils_membership as build
from tests import utils_network
from tests import utils_store


def _roster(network):
    body = utils_store.body(network.fake, store.ROSTER_KEY)
    return codec.unpack(body, roster.Roster)


def _may_send(node, epoch=1):
    return view.may_send(node.view, 'vm-1', epoch, nodes.now_s(node))


async def _both_ready(network, one, two):
    await utils_network.publish(network, shard=build.shard(1))
    await utils_network.until(lambda: utils_network.ready(one))
    await utils_network.until(lambda: utils_network.ready(two))


def test_entries_join_follow_and_resign():
    network = utils_network.Network()
    one, two = (utils_network.add(network, name) for name in ('e1', 'e2'))

    async def scenario():
        await _both_ready(network, one, two)
        assert len(_roster(network).members) == 2
        assert _may_send(one)
        row = build.row(epoch=2, state=fleet.VmState.RELEASING)
        await utils_network.put_shard(network, build.shard(2, [row]))
        await utils_network.until(
            lambda: not (_may_send(one) or _may_send(two))
        )
        await utils_network.publish(network, 2, size=2)
        await utils_network.until(lambda: one.view.config.head.revision == 2)
        assert await membership.resign(one)
        assert [m.entry for m in _roster(network).members] == ['e2']

    utils_network.run(network, scenario)


def test_lapsed_lease_is_noticed_and_joined_anew():
    network = utils_network.Network()
    node = utils_network.add(network)

    async def scenario():
        await utils_network.publish(network, shard=build.shard(1))
        await utils_network.until(lambda: utils_network.ready(node))
        before = node.lease
        utils_store.lapse(network.fake, before)
        await utils_network.until(lambda: node.lease not in (None, before))
        key = roster.member_key(node.view.member)
        await utils_network.until(lambda: key in network.fake.items)

    utils_network.run(network, scenario)


def test_entry_started_in_an_outage_is_sponsored_until_it_joins():
    network = utils_network.Network()
    old = utils_network.add(network, 'e1')
    down = utils_store.FakeStore(down=True)
    kept = utils_store.connect(down)
    new = utils_network.add(network, 'e2', kept, seeds=(old.view.member.peer,))

    async def scenario():
        await utils_network.publish(network, shard=build.shard(1))
        await utils_network.until(lambda: utils_network.ready(new))
        assert new.view.sponsor == old.view.member.incarnation
        assert _may_send(new)
        assert not view.vouches(new.view, nodes.now_s(new))
        asked = messages.ReleaseRequest(build.shard(2, []), build.DATA_CENTRE)
        reply = peer_answers.release(old, asked)
        assert reply.sponsored == (new.view.member,)
        new.store = utils_store.connect(network.fake)
        await utils_network.until(lambda: new.view.sponsor == '')
        assert not _may_send(new)
        assert len(_roster(network).members) == 2

    utils_network.run(network, scenario)


def test_outage_stops_nothing_while_peers_answer():
    network = utils_network.Network()
    one, two = (utils_network.add(network, name) for name in ('e1', 'e2'))

    async def scenario():
        await _both_ready(network, one, two)
        network.fake.down = True
        before = one.view.contact_s
        await utils_network.until(lambda: one.view.contact_s > before + 0.2)
        assert _may_send(one) and _may_send(two)

    utils_network.run(network, scenario)


def test_shard_comes_from_a_peer_when_the_store_is_down():
    network = utils_network.Network()
    one, two = (utils_network.add(network, name) for name in ('e1', 'e2'))

    async def scenario():
        await _both_ready(network, one, two)
        network.fake.down = True
        await curio.sleep(0.05)
        row = build.row(epoch=2, state=fleet.VmState.RELEASING)
        asked = messages.ReleaseRequest(
            build.shard(2, [row]), build.DATA_CENTRE
        )
        peer_answers.release(one, asked)
        await utils_network.until(
            lambda: grants.revision(two.view.grants, build.DATA_CENTRE) == 2
        )
        assert not _may_send(two)

    utils_network.run(network, scenario)


def test_restart_on_one_address_is_superseded_after_a_while():
    network = utils_network.Network()
    node = utils_network.add(network)
    earlier = build.member('e1', 'e1-0')

    async def scenario():
        kept = utils_store.connect(network.fake)
        before = roster.join(roster.EMPTY, earlier)
        await kept.swap(store.ROSTER_KEY, codec.pack(before), 0, 'x', None)
        await utils_network.publish(network, shard=build.shard(1))
        await utils_network.until(lambda: utils_network.ready(node))
        assert len(_roster(network).members) == 2
        node.neighbours.started_s -= 10.0
        await utils_network.until(lambda: len(_roster(network).members) == 1)

    utils_network.run(network, scenario)


def test_store_restored_from_an_old_copy_is_refused():
    network = utils_network.Network()
    node = utils_network.add(network)

    async def scenario():
        await utils_network.publish(network, 5, shard=build.shard(5))
        await utils_network.until(lambda: utils_network.ready(node))
        await utils_network.publish(
            network, 4, size=9, shard=build.shard(4, [])
        )
        counts = node.view.counts.refusals
        await utils_network.until(
            lambda: counts['configuration'] and counts['shard']
        )
        assert node.view.config.content.pools[0].size == 1
        assert _may_send(node)

    utils_network.run(network, scenario)


def test_listing_is_polled():
    network = utils_network.Network()

    async def list_vms(version):
        return None if version == 3 else listing

    listing = build.leaving('vm-1', version=3)
    node = utils_network.add(network, list_vms=list_vms)
    node.store = utils_store.connect(utils_store.FakeStore(down=True))
    curio.run(follower.poll_list, node)
    curio.run(follower.poll_list, node)
    assert node.view.grants.leaving == {'vm-1'}


def test_entry_in_doubt_asks_all_members():
    network = utils_network.Network()
    one, two = (utils_network.add(network, name) for name in ('e1', 'e2'))

    async def scenario():
        await _both_ready(network, one, two)
        await utils_network.until(lambda: nodes.all_peers(one))
        staged = messages.PrepareRequest(build.head(2), build.content())
        state = one.view.config
        for node in (one, two):
            assert peer_answers.prepare(node, staged).acknowledged
        state.checked_s -= 100.0
        await gossip.ask_outcome(one)
        assert nodes.now_s(one) - state.checked_s < 50.0
        peer_answers.commit(two, messages.CommitRequest(2, 'apply-2', True))
        state.checked_s -= 100.0
        await gossip.ask_outcome(one)
        assert state.head.revision == 2

    utils_network.run(network, scenario)


def test_joining_entry_knows_of_applies_under_way():
    network = utils_network.Network()
    node = utils_network.add(network)
    record = history.Record(
        operation='apply-2',
        author='',
        base=1,
        base_operation='apply-1',
        revision=2,
        staged_at_s=0.0,
        changes='',
    )

    async def scenario():
        kept = utils_store.connect(network.fake)
        value = codec.pack(history.History((record,)))
        await kept.swap(history.KEY, value, 0, 'x', None)
        await utils_network.publish(network, shard=build.shard(1))
        await utils_network.until(lambda: utils_network.ready(node))
        state = node.view.config
        assert config_state.lowest_staged(state) == 2
        assert config_state.in_doubt(state, state.checked_s + 4.0) == 2
        assert not config_state.commit(state, 2, 'apply-2')
        config_state.check(state, 0.0, version=99)
        assert state.stages == {}

    utils_network.run(network, scenario)


def test_metrics_report_breaches_once():
    network = utils_network.Network()
    node = utils_network.add(network)
    registry = prometheus_client.CollectorRegistry()
    broken = invariants.create(registry)
    node_metrics.attach(node, registry, broken)
    node.view.counts.breaches['epoch fell'] += 2
    node.view.counts.refusals['shard'] += 1
    node.publish()
    node.publish()
    assert broken.count == 2
    labels = {'kind': 'shard'}
    name = 'oleander_refused_revisions_total'
    assert registry.get_sample_value(name, labels) == 1.0


def test_other_regions_are_asked_about_the_configuration_alone():
    network = utils_network.Network()
    one, far = (utils_network.add(network, name) for name in ('e1', 'e2'))
    far.view = build.joined('e2')
    member = build.member('e2', region='elsewhere')
    known = roster.join(roster.EMPTY, member)
    view.apply_roster(one.view, roster.join(known, one.view.member))
    staged = messages.PrepareRequest(build.head(2), build.content())
    peer_answers.prepare(one, staged)
    one.view.config.stages['apply-2'] = dataclasses.replace(
        one.view.config.stages['apply-2'], since_s=0.0
    )
    curio.run(gossip.ask_outcome, one)
    assert one.view.config.head.revision == 1
    assert one.view.config.checked_s > 0.0
    assert one.view.grants.shards == {}
