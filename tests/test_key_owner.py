"""Tests of key_owner, key_hand_over and key_claims over a fake network."""

import curio
import pytest

from oleanderwood import buckets
from oleanderwood import errors
from oleanderwood import idempotency
from oleanderwood import key_claims
from oleanderwood import key_owner
from oleanderwood import key_table
from oleanderwood import membership
from oleanderwood import once
from oleanderwood import store
from oleanderwood import verdict as verdicts
from tests import utils_keys as utils
from tests import utils_network
from tests import utils_store

RUN = idempotency.Answer.RUN
ENDED = idempotency.Answer.ENDED
UNKNOWN = idempotency.Answer.UNKNOWN
NOT_OWNER = idempotency.Answer.NOT_OWNER


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch):
    monkeypatch.setattr(key_claims, 'MOVING_S', 0.0)
    monkeypatch.setattr(key_claims, 'PAUSE_S', 0.0)


def _run(scenario, *names):
    """Run a scenario with entries that have joined and share buckets."""
    network = utils_network.Network()
    clock = utils.Clock()
    nodes = utils.entries(network, clock, *(names or ('e1', 'e2')))

    async def main():
        await utils.settle_down(clock, *nodes)
        await scenario(network, clock, *nodes)
        for node in nodes:
            assert not +node.keys.ledger.breaches
            for task in tuple(node.keys.settling):
                await task.cancel()

    curio.run(main)


def test_buckets_are_shared_among_those_who_join():
    async def scenario(network, clock, one, two, three):
        found = [utils.held(node) for node in (one, two, three)]
        assert sorted(map(len, found)) == [21, 21, 22]
        assert set().union(*found) == set(range(buckets.BUCKETS))

    _run(scenario, 'e1', 'e2', 'e3')


def test_first_table_of_a_region_takes_keys_for_new():
    network = utils_network.Network()
    clock = utils.Clock()
    (one,) = utils.entries(network, clock, 'e1')

    async def main():
        await membership.establish(one)
        await key_owner.keep(one)
        assert await utils.ask(one, utils.key_owned_by(one, clock), 'a') is RUN
        del network.fake.items[buckets.table_key(one.view.member.region)]
        with pytest.raises(errors.StoreConflict):
            await key_table.read(one)

    curio.run(main)


def test_repeat_through_the_other_entry_does_not_run():
    async def scenario(network, clock, one, two):
        for owner in (one, two):
            key = utils.key_owned_by(owner, clock)
            assert await utils.ask(one, key, 'one-1') is RUN
            assert await utils.ask(two, key, 'two-1') is UNKNOWN
            await utils.settle(one, key, 'one-1')
            reply = await key_claims.ask(two, key, 'two-2', 'f')
            assert reply == idempotency.ClaimReply(ENDED, 200, b'x')

    _run(scenario)


def test_what_did_not_run_may_run_through_the_other_entry():
    async def scenario(network, clock, one, two):
        key = utils.key_owned_by(one, clock)
        assert await utils.ask(one, key, 'one-1') is RUN
        not_run = verdicts.Verdict.NOT_RUN
        await utils.settle(one, key, 'one-1', not_run, None)
        assert await utils.ask(two, key, 'two-1') is RUN
        assert await utils.ask(one, key, 'one-2') is UNKNOWN

    _run(scenario)


def test_unreachable_owner_gives_no_grant():
    async def scenario(network, clock, one, two):
        key = utils.key_owned_by(one, clock)
        network.cut.add(one.view.member.peer)
        reply = await key_claims.ask(two, key, 'two-1', 'f')
        assert reply is None
        refuse = once.refusal(1, reply)
        assert (refuse.status, refuse.verdict.value) == (503, 'not-run')
        assert refuse.retry_after_s > 0
        network.cut.clear()
        assert await utils.ask(two, key, 'two-2') is RUN

    _run(scenario)


def test_claim_whose_answer_is_lost_is_withdrawn(monkeypatch):
    monkeypatch.setattr(key_claims, 'WITHDRAW_S', 0.0)

    async def scenario(network, clock, one, two):
        key = utils.key_owned_by(one, clock)
        answered = two.peers.claim

        async def lossy(address, request):
            reply = await answered(address, request)
            assert reply.answer is RUN
            raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'lost')

        changed = {**vars(two.peers), 'claim': lossy}
        two.peers = type(two.peers)(**changed)
        assert await utils.ask(two, key, 'two-1') is None
        assert await utils.ask(one, key, 'one-1') is UNKNOWN
        while two.keys.settling:
            await curio.sleep(0.005)
        assert await utils.ask(one, key, 'one-2') is RUN

    _run(scenario)


def test_lost_owner_is_replaced_and_its_keys_do_not_run_again():
    async def scenario(network, clock, one, two):
        ran = utils.key_owned_by(one, clock)
        assert await utils.ask(two, ran, 'two-1') is RUN
        network.cut.add(one.view.member.peer)
        await utils.keep_all(two)
        assert await utils.ask(two, ran, 'two-2') is None
        await utils.remove(two, one)
        await utils.keep_all(two)
        assert len(utils.held(two)) == buckets.BUCKETS
        assert await utils.ask(two, ran, 'two-3') is UNKNOWN
        clock.now_s += 60.0
        assert await utils.ask(two, ran, 'two-4') is UNKNOWN
        fresh = utils.key_owned_by(two, clock, 20_000)
        assert await utils.ask(two, fresh, 'two-5') is RUN

    _run(scenario)


def test_planned_stop_hands_the_keys_over():
    async def scenario(network, clock, one, two):
        ran, runs = (
            utils.key_owned_by(one, clock, first) for first in (0, 20_000)
        )
        assert await utils.ask(two, ran, 'two-1') is RUN
        await utils.settle(two, ran, 'two-1')
        assert await utils.ask(two, runs, 'two-2') is RUN
        assert await key_owner.leave(one)
        assert await membership.resign(one)
        assert utils.held(one) == set()
        await key_table.read(two)
        assert await utils.ask(two, ran, 'two-3') is ENDED
        assert await utils.ask(two, runs, 'two-4') is UNKNOWN
        await utils.settle(two, runs, 'two-2')
        assert await utils.ask(two, runs, 'two-5') is ENDED
        fresh = utils.key_owned_by(two, clock, 40_000)
        assert await utils.ask(two, fresh, 'two-6') is RUN

    _run(scenario)


def test_hand_over_that_is_not_taken_leaves_the_buckets_in_use():
    async def scenario(network, clock, one, two):
        before = utils.held(one)
        network.cut.add(two.view.member.peer)
        assert not await key_owner.leave(one)
        assert utils.held(one) == before
        assert await utils.ask(one, utils.key_owned_by(one, clock), 'a') is RUN

    _run(scenario)


def test_buckets_stay_frozen_while_the_table_may_still_change():
    async def scenario(network, clock, one, two):
        before = utils.held(one)
        network.fake.hold_writes = 100
        assert not await key_owner.leave(one)
        frozen = before - utils.held(one)
        key = utils.key_owned_by(one, clock, among=frozen)
        network.cut.add(two.view.member.peer)
        assert not await key_owner.leave(one)
        assert await utils.ask(one, key, 'one-1') is NOT_OWNER
        network.fake.hold_writes = 0
        utils_store.deliver_held(network.fake)
        await key_table.read(one)
        await key_table.read(two)
        assert not utils.held(one) & frozen
        assert await utils.ask(two, key, 'two-1') is RUN

    _run(scenario)


def test_store_outage_leaves_buckets_where_they_are():
    async def scenario(network, clock, one, two):
        network.fake.down = True
        for node in (one, two):
            await key_owner.keep(node)
        for owner in (one, two):
            key = utils.key_owned_by(owner, clock)
            assert await utils.ask(two, key, 'two-1') is RUN
            assert await utils.ask(one, key, 'one-1') is UNKNOWN

    _run(scenario)


def test_isolated_owner_grants_nothing_until_it_confirmed_its_buckets():
    async def scenario(network, clock, one, two):
        ran, new = (
            utils.key_owned_by(one, clock, first) for first in (0, 20_000)
        )
        assert await utils.ask(two, ran, 'two-1') is RUN
        utils.isolate(one)
        assert await utils.ask(two, new, 'two-2') is NOT_OWNER
        await membership.establish(one)
        assert await utils.ask(two, new, 'two-3') is NOT_OWNER
        await key_owner.keep(one)
        await key_table.read(two)
        assert await utils.ask(two, ran, 'two-4') is UNKNOWN
        assert await utils.ask(two, new, 'two-5') is RUN

    _run(scenario)


def test_owner_that_comes_back_loses_what_was_taken():
    async def scenario(network, clock, one, two):
        key = utils.key_owned_by(one, clock)
        epoch = utils.table(network).buckets[buckets.bucket_of(key)].epoch
        utils.isolate(one)
        await utils.remove(two, one)
        await key_owner.keep(two)
        await membership.establish(one)
        stale = idempotency.Claim(epoch, key, 'late', 'f')
        assert key_owner.claim(one, stale).answer is NOT_OWNER
        await key_owner.keep(one)
        assert key_owner.claim(one, stale).answer is NOT_OWNER
        assert not utils.held(one)

    _run(scenario)


def test_owner_that_comes_back_during_a_take_over():
    """The taker has read a roster without it, and swaps too late."""

    async def scenario(network, clock, one, two):
        key = utils.key_owned_by(one, clock)
        utils.isolate(one)
        await utils.remove(two, one)
        reads = []
        plain = utils_store.transport(network.fake)

        async def get(name):
            item = await plain.get(name)
            reads.append(name)
            if reads.count(store.ROSTER_KEY) == 1 and name == store.ROSTER_KEY:
                await membership.establish(one)
                await key_owner.keep(one)
            return item

        two.store = utils_store.connect(network.fake, replaced={'get': get})
        await key_owner.keep(two)
        assert reads[:2] == [
            buckets.table_key(two.view.member.region),
            store.ROSTER_KEY,
        ]
        assert not utils.held(one) & utils.held(two)
        assert len(utils.held(one) | utils.held(two)) == buckets.BUCKETS
        await membership.establish(two)
        assert await utils.ask(two, key, 'two-1') is RUN
        assert await utils.ask(one, key, 'one-1') is UNKNOWN

    _run(scenario)


def test_older_table_is_refused():
    async def scenario(network, clock, one, two):
        key = buckets.table_key(one.view.member.region)
        older = network.fake.items[key]
        await key_owner.leave(one)
        network.fake.items[key] = older
        try:
            await key_table.read(one)
        except errors.StoreConflict:
            return
        raise AssertionError('an older table was taken')

    _run(scenario)
