"""Tests of store_client and operations over the fake store."""

import dataclasses
import random

import curio
import pytest

from oleanderwood import call_budget
from oleanderwood import errors
from oleanderwood import operations
from oleanderwood import store_client
from oleanderwood import verdict as verdicts
from tests import utils_store

KEY = 'shards/a'


def _run(function, *arguments):
    return curio.run(function, *arguments)


def test_swap_hides_the_envelope():
    fake = utils_store.FakeStore()
    client = utils_store.connect(fake)

    async def use():
        version = await client.swap(KEY, b'one', 0, 'op-1', None)
        version = await client.swap(KEY, b'two', version, 'op-2', None)
        return version, await client.get(KEY)

    version, item = _run(use)
    assert (item.version, item.value) == (version, b'two')


def test_lost_answer_is_resolved_after_others_wrote():
    fake = utils_store.FakeStore()
    writer = utils_store.connect(fake)
    other = utils_store.connect(fake)

    async def use():
        await writer.swap(KEY, b'one', 0, 'op-1', None)
        fake.drop_answers = 1
        await writer.swap(KEY, b'two', 1, 'op-2', None)
        await other.swap(KEY, b'three', 2, 'op-3', None)

    _run(use)
    assert len(fake.history) == 3


def test_late_write_takes_effect_once():
    fake = utils_store.FakeStore()
    client = utils_store.connect(fake)

    async def use():
        await client.swap(KEY, b'one', 0, 'op-1', None)
        fake.hold_writes = 1
        version = await client.swap(KEY, b'two', 1, 'op-2', None)
        utils_store.deliver_held(fake)
        return version

    assert _run(use) == 2
    assert utils_store.body(fake, KEY) == b'two'
    assert len(fake.history) == 2


def test_conflict_after_lost_answer_is_proven():
    fake = utils_store.FakeStore()
    writer = utils_store.connect(fake)
    other = utils_store.connect(fake)

    async def use():
        await writer.swap(KEY, b'one', 0, 'op-1', None)
        await other.swap(KEY, b'two', 1, 'op-2', None)
        fake.hold_writes = 1
        with pytest.raises(errors.StoreConflict):
            await writer.swap(KEY, b'three', 1, 'op-3', None)
        utils_store.deliver_held(fake)

    _run(use)
    assert utils_store.body(fake, KEY) == b'two'


def test_unreachable_store_is_not_run():
    fake = utils_store.FakeStore(down=True)
    client = utils_store.connect(fake)
    with pytest.raises(errors.StoreUnavailable) as caught:
        _run(client.swap, KEY, b'one', 0, 'op-1', None)
    assert caught.value.verdict is verdicts.Verdict.NOT_RUN


def test_creation_over_a_deletion_is_unknown():
    seen = operations.Seen(3, (operations.Write('op-2', 0),))
    found = operations.resolve_write('op-1', 0, seen)
    assert found.outcome is operations.Outcome.UNKNOWN


def test_lapsed_lease_deletes_its_keys():
    fake = utils_store.FakeStore()
    client = utils_store.connect(fake)

    async def use():
        lease = await client.grant(8.0)
        await client.swap('members/a', b'', 0, 'op-1', lease)
        utils_store.lapse(fake, lease)
        return await client.get('members/a'), await client.keep_alive(lease)

    assert _run(use) == (None, 0.0)


def test_read_without_an_answer_is_not_run():
    async def lose(key):
        raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'lost')

    fake = utils_store.FakeStore()
    client = utils_store.connect(fake, replaced={'get': lose})
    with pytest.raises(errors.StoreUnavailable) as caught:
        _run(client.get, KEY)
    assert caught.value.verdict is verdicts.Verdict.NOT_RUN


def test_unanswered_watches_pause_longer_from_call_to_call():
    fake = utils_store.FakeStore()
    pauses = []
    answered = [False] * 20 + [True, False, True]

    async def watch(key, version, wait_s):
        if answered.pop(0):
            raise TimeoutError(key)
        raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'down')

    async def sleep(pause_s):
        pauses.append(pause_s)

    timing = store_client.Timing(
        clock=lambda: sum(pauses), sleep=sleep, rng=random.Random(1)
    )
    transport = dataclasses.replace(utils_store.transport(fake), watch=watch)
    budget = call_budget.make(1e6, 1e6, 0.0)
    client = store_client.make(transport, budget, None, timing)

    async def until_answered():
        while True:
            try:
                await client.watch(KEY, 0, 1.0)
            except errors.StoreUnavailable:
                continue
            except TimeoutError:
                return

    _run(until_answered)
    assert len(pauses) > 6
    assert all(pause_s >= 1.0 for pause_s in pauses[3:])
    pauses.clear()
    _run(until_answered)
    assert [pause_s < 0.5 for pause_s in pauses] == [True]
