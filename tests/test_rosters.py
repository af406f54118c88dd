"""Workers that are met while their pool's roster is on its way."""

import json

import curio
import pytest

from emulator import day
from emulator import store as stores
from tests import utils_entries as build
from tests import utils_leading as leading
from tests import utils_servers

ADDRESSES = [f'10.128.0.{number}:8080' for number in (1, 2, 3)]


async def _put_all(world, gap_s):
    for number, address in enumerate(ADDRESSES, 1):
        value = build.encode(addr=address)
        await stores.put(world.store, f'servers/i-{number}', value)
        await curio.sleep(gap_s)


def _check(world, leader):
    names = {'i-1', 'i-2', 'i-3'}
    assert {name for name, row in leader.workers.items() if row.fenced} == (
        names
    )
    roster = json.loads(world.store.items['ow/workers/drafts'].value)
    assert {row['worker'] for row in roster} == names
    assert leader.rostered == names


@pytest.mark.parametrize('gap_s', [0.02, 0.05, 0.1, 0.2])
def test_worker_met_during_a_write_of_its_roster_gets_into_it(gap_s):
    # Three workers of a pool entered the store one after another while its
    # answers took 0.2 s. The second and third were met while the roster with
    # the first was written; the end of that write took the pool for written,
    # and they were never given a task.
    async def main(world):
        for address in ADDRESSES:
            world.network.handlers[address] = leading.idle
        leader = await leading.lead(world, ADDRESSES[0])
        world.store.slow_s = 0.2
        await _put_all(world, gap_s)
        await curio.sleep(3.0)
        _check(world, leader)

    utils_servers.run(main, day.configuration())


def test_roster_is_written_again_after_a_write_that_failed():
    async def main(world):
        for address in ADDRESSES:
            world.network.handlers[address] = leading.idle
        leader = await leading.lead(world, ADDRESSES[0])
        world.store.slow_s = 0.2
        await _put_all(world, 0.05)
        await curio.sleep(0.1)
        world.store.down = 'busy'
        await curio.sleep(0.4)
        world.store.down = ''
        await curio.sleep(3.0)
        _check(world, leader)

    utils_servers.run(main, day.configuration())
