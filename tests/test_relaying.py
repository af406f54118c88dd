"""Jobs submitted and cancelled at servers that can't reach the store."""

import json

import curio

from emulator import callers as callers_
from emulator import day
from emulator import servers
from emulator import troubles
from oleanderwood.jobs import model
from tests import utils_servers as build

JOB = 'a' * 16
BODY = json.dumps(
    {'spec': 'x', 'phases': [{'count': 1, 'cpu': 100, 'estimate_ms': 500}]}
).encode()


async def _call(world, process, method):
    handler = world.network.handlers[process.callers]
    headers = {'host': callers_.HOST}
    body = BODY if method == 'POST' else b''
    answer = await handler('c', method, f'/drafts/{JOB}', body, headers)
    return answer.status


async def _two_servers(world):
    first = await build.start(world, 's1')
    second = await build.start(world, 's2')
    await curio.sleep(4.0)
    return first, second


def _cut(world, *processes):
    for process in processes:
        world.network.cuts.add((process.name, servers.STORE_ADDRESS))


def test_server_without_the_store_submits_through_another():
    async def main(world):
        _first, second = await _two_servers(world)
        _cut(world, second)
        await curio.sleep(2.0)
        assert await _call(world, second, 'POST') == 200
        assert f'ow/in/job/{JOB}' in world.store.items
        assert await _call(world, second, 'GET') == 200
        assert await _call(world, second, 'DELETE') == 200
        assert f'ow/in/cancel/{JOB}' in world.store.items

    build.run(main, day.configuration())


def test_first_job_after_the_cut_is_submitted_in_time():
    async def main(world):
        _first, second = await _two_servers(world)
        _cut(world, second)
        began_s = await curio.clock()
        assert await _call(world, second, 'POST') == 200
        assert await curio.clock() - began_s < 2.9

    build.run(main, day.configuration())


def test_without_any_way_to_the_store_a_job_is_refused_at_once():
    async def main(world):
        processes = await _two_servers(world)
        _cut(world, *processes)
        await curio.sleep(2.0)
        began_s = await curio.clock()
        assert await _call(world, processes[0], 'POST') == 503
        assert await _call(world, processes[0], 'DELETE') == 503
        assert await curio.clock() - began_s < 0.1
        for pair in list(world.network.cuts):
            world.network.cuts.discard(pair)
        await curio.sleep(5.0)
        assert f'ow/in/job/{JOB}' not in world.store.items

    build.run(main, day.configuration())


def test_callers_are_served_while_all_servers_but_one_are_cut_off():
    cut = troubles.Trouble(troubles.Kind.SERVERS_CUT, 2.0, 8.0)
    result = day.play(day.Plan(3, troubles=(cut,)))
    assert not result.breaches and not result.unfinished
    assert result.accepted == result.handed_in


def test_cancelled_job_is_stopped_without_watch_events():
    async def main(world):
        first, second = await _two_servers(world)
        assert await _call(world, second, 'POST') == 200
        # The leader is notified at about the time that the caller is answered.
        await curio.sleep(0.01)
        entry = first.state.leader.ledger.entries[JOB]
        # The leader's watches get no more changes.
        _cut(world, first)
        assert await _call(world, second, 'DELETE') == 200
        await curio.sleep(0.1)
        assert entry.state is model.State.CANCELLED

    build.run(main, day.configuration())


def test_uncertain_cancel_is_not_reported_as_not_done():
    async def main(world):
        _first, second = await _two_servers(world)
        assert await _call(world, second, 'POST') == 200
        # The mark is written and its answer lost; after that no server gets an
        # answer from the store.
        world.network.lost_share[servers.STORE_ADDRESS] = 1.0
        assert await _call(world, second, 'DELETE') == 504

    build.run(main, day.configuration())
