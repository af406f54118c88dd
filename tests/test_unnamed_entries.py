"""Tests of entries whose service the configuration doesn't name yet."""

import curio
import pytest

from emulator import day
from emulator import store as stores
from oleanderwood.pools import entries as entries_
from tests import utils_entries as build
from tests import utils_jobs
from tests import utils_leading as leading
from tests import utils_servers

KEY = 'servers/i-1'


def test_worker_of_a_service_that_nobody_named_is_not_met():
    async def main(world):
        await stores.put(world.store, KEY, build.encode(service='nowhere'))
        leader = await leading.lead(world)
        assert not leader.workers
        assert 'ow/workers/nowhere' not in world.store.items

    utils_servers.run(main, day.configuration())


def test_worker_is_met_once_its_service_is_named():
    async def main(world):
        await stores.put(world.store, KEY, build.encode(service='later'))
        leader = await leading.lead(world)
        assert not leader.workers
        named = day.configuration((*day.POOLS, 'later'))
        await stores.put(world.store, 'op/config', named)
        await curio.sleep(0.5)
        assert leader.workers['i-1'].fenced
        assert not leader.entries.waiting

    utils_servers.run(main, day.configuration())


@pytest.mark.parametrize('lost', [False, True], ids=['told', 'history lost'])
def test_entry_that_goes_before_its_service_is_named_is_not_met(lost):
    async def main(world):
        await stores.put(world.store, KEY, build.encode(service='later'))
        leader = await leading.lead(world)
        await stores.remove(world.store, KEY)
        if lost:
            stores.lose_history(world.store)
        await curio.sleep(2.0)
        named = day.configuration((*day.POOLS, 'later'))
        await stores.put(world.store, 'op/config', named)
        await curio.sleep(0.5)
        assert not leader.workers

    utils_servers.run(main, day.configuration())


def test_worker_stays_whose_service_is_named_no_more():
    async def main(world):
        await stores.put(world.store, KEY, build.encode())
        leader = await leading.lead(world)
        assert leader.workers['i-1'].fenced
        await stores.put(world.store, 'op/config', day.configuration(('x',)))
        await stores.put(world.store, KEY, build.encode(state='draining'))
        await curio.sleep(0.5)
        assert leader.workers['i-1'].entry.draining
        assert leader.workers['i-1'].listed

    utils_servers.run(main, day.configuration())


def test_memory_of_waiting_entries_is_bounded():
    book = entries_.UnusedEntries()
    for number in range(entries_.MAX_WAITING + 5):
        entries_.hold(book, utils_jobs.entry(f'w{number}'))
    assert len(book.waiting) == entries_.MAX_WAITING
    assert 'w0' not in book.waiting
