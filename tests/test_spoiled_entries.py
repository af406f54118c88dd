"""Workers in use whose entries in the store are spoiled.

Another writer may write over a worker's entry. It proves nothing: what runs
on the worker is held and renewed, and nothing new is started there until
the entry is good again.
"""

import json

import curio
import pytest

from emulator import day
from emulator import executors
from emulator import store as stores
from oleanderwood.leading import state as states
from tests import utils_entries as build
from tests import utils_leading as leading
from tests import utils_servers
from tests import utils_spoiled as spoiled

KEY = 'servers/i-1'
ELSEWHERE = '10.128.0.77:8080'
"""Nobody answers there."""

HELD_S = 8.0
"""Longer than a worker's lease of 5 s: without renewals the runs lapse. Short
jobs take as long to hand in and end."""


def _with(executor, **fields):
    value = {**json.loads(executors.entry(executor)), **fields}
    return json.dumps(value).encode()


def _other_address(scene, executor):
    """Give the address of another executor, which is asked and answers."""
    for machine in scene.fleet.machines.values():
        if machine.executor is not executor:
            return _with(executor, addr=machine.address)
    raise AssertionError('there is no other')


KINDS = {
    'bytes': lambda scene, executor: b'\xff\xfe',
    'no state': lambda scene, executor: build.without('state'),
    'a state': lambda scene, executor: _with(executor, state='banana'),
    'a service': lambda scene, executor: _with(executor, service='nowhere'),
    'no address': lambda scene, executor: _with(executor, addr='no address'),
    'nobody there': lambda scene, executor: _with(executor, addr=ELSEWHERE),
    'another there': _other_address,
    'a machine': lambda scene, executor: _with(executor, machine='m99'),
    'capacity': lambda scene, executor: _with(
        executor, capacity={'cpu': -5, 'mem_mb': 100, 'gpu': 0}
    ),
}

kinds = pytest.mark.parametrize('kind', KINDS)


@kinds
def test_runs_are_held_and_nothing_is_started_until_it_is_good(kind):
    async def main(scene):
        executor = spoiled.busiest(scene)
        held = spoiled.runs(executor)
        assert held
        since_s = spoiled.now_s()
        await spoiled.put(scene, executor, KINDS[kind](scene, executor))
        await curio.sleep(0.5)
        since_s = spoiled.now_s()
        await spoiled.hand_in_short(scene)
        assert spoiled.runs(executor) == held
        assert not spoiled.started_on(scene, executor, since_s)
        since_s = spoiled.now_s()
        await spoiled.mend(scene, executor)
        await spoiled.hand_in_short(scene, spoiled.WIDE)
        assert spoiled.started_on(scene, executor, since_s)
        assert spoiled.runs(executor) == held

    spoiled.play(main)


@kinds
def test_next_leader_holds_the_runs_as_well(kind):
    async def main(scene):
        executor = spoiled.busiest(scene)
        held = spoiled.runs(executor)
        await spoiled.put(scene, executor, KINDS[kind](scene, executor))
        await curio.sleep(0.5)
        since_s = spoiled.now_s()
        await spoiled.kill_leader(scene)
        await spoiled.hand_in_short(scene)
        assert spoiled.runs(executor) == held
        assert not spoiled.started_on(scene, executor, since_s)
        since_s = spoiled.now_s()
        await spoiled.mend(scene, executor)
        await spoiled.hand_in_short(scene, spoiled.WIDE)
        assert spoiled.started_on(scene, executor, since_s)
        assert spoiled.runs(executor) == held

    spoiled.play(main)


@kinds
def test_runs_go_elsewhere_once_a_silent_worker_has_lost_its_lease(kind):
    async def main(scene):
        executor = spoiled.busiest(scene)
        held = spoiled.runs(executor)
        executor.dark = True
        await spoiled.put(scene, executor, KINDS[kind](scene, executor))
        await curio.sleep(HELD_S)
        assert not spoiled.runs(executor)
        others = [
            task
            for machine in scene.fleet.machines.values()
            for task in spoiled.runs(machine.executor)
        ]
        assert set(held) <= set(others)
        executor.dark = False
        since_s = spoiled.now_s()
        await spoiled.mend(scene, executor)
        await spoiled.hand_in_short(scene, spoiled.WIDE)
        assert spoiled.started_on(scene, executor, since_s)

    spoiled.play(main)


def test_worker_is_met_whose_first_entry_named_another_place():
    async def main(world):
        await stores.put(world.store, KEY, build.encode(addr=ELSEWHERE))
        leader = await leading.lead(world)
        assert not leader.workers['i-1'].fenced
        await stores.put(world.store, KEY, build.encode())
        await curio.sleep(1.0)
        worker = leader.workers['i-1']
        assert worker.fenced and worker.listed
        assert worker.is_in_stored_list
        roster = world.store.items['ow/workers/drafts'].value
        assert leading.ADDRESS.encode() in roster
        assert ELSEWHERE.encode() not in roster

    utils_servers.run(main, day.configuration())


def test_place_is_taken_from_the_entry_once_no_lease_can_last():
    # An earlier leader has met the worker by a spoiled entry: its roster
    # names a place at which nobody answers.
    async def main(world):
        row = {
            'worker': 'i-1',
            'service': 'drafts',
            'address': ELSEWHERE,
            'machine': '',
        }
        roster = json.dumps([row]).encode()
        await stores.put(world.store, 'ow/workers/drafts', roster)
        await stores.put(world.store, KEY, build.encode())
        leader = await leading.lead(world)
        assert leader.workers['i-1'].entry.address == ELSEWHERE
        await curio.sleep(6.0)
        await stores.put(world.store, KEY, build.encode(seq=9))
        await curio.sleep(1.0)
        worker = leader.workers['i-1']
        assert worker.entry.address == leading.ADDRESS
        assert worker.fenced and worker.listed

    utils_servers.run(main, day.configuration())


@pytest.mark.parametrize('address', ['no address', '', 'ü:1'])
def test_roster_with_an_address_that_can_not_be_called_ends_no_term(
    address, monkeypatch
):
    events = leading.record_events(monkeypatch)

    async def main(world):
        row = {'worker': 'i-1', 'service': 'drafts', 'address': address}
        other = {**row, 'worker': 'ü', 'address': leading.ADDRESS}
        roster = json.dumps([row, other]).encode()
        await stores.put(world.store, 'ow/workers/drafts', roster)
        leader = await leading.lead(world)
        assert not leader.workers

    utils_servers.run(main, day.configuration())
    assert not any(event == 'fault' for _part, event, _row in events)


def test_wrong_place_is_said_once(monkeypatch):
    events = leading.record_events(monkeypatch)

    async def main(world):
        await stores.put(world.store, KEY, build.encode())
        leader = await leading.lead(world)
        for seq in range(5):
            value = build.encode(addr=ELSEWHERE, seq=seq)
            await stores.put(world.store, KEY, value)
            await curio.sleep(0.2)
        assert leader.workers['i-1'].entry.address == leading.ADDRESS
        assert not leader.workers['i-1'].listed

    utils_servers.run(main, day.configuration())
    lines = [row for _p, event, row in events if event == 'contradicted']
    assert len(lines) == 1 and lines[0]['known']


def test_orders_reach_a_worker_that_was_met_three_times_at_once():
    # Its entry named another place, and the first again, before the leader
    # heard of any: each was met and given up before its loops began. The
    # sender of a former life then took the orders of the last one, and
    # dropped them: a task that was placed there was never started.
    asked = []

    async def note(source, method, target, body, headers):
        asked.append((target, body))
        return await leading.idle(source, method, target, body, headers)

    async def main(world):
        leader = await leading.lead(world)
        world.network.handlers[leading.ADDRESS] = note
        world.store.down = 'busy'
        for address in (leading.ADDRESS, ELSEWHERE, leading.ADDRESS):
            await stores.put(world.store, KEY, build.encode(addr=address))
        await curio.sleep(0.3)
        world.store.down = ''
        await curio.sleep(1.0)
        assert leader.workers['i-1'].fenced
        for attempt in (1, 2, 3):
            order = states.StopOrder('a.0.0.0', attempt)
            await leader.orders['i-1'].put(order)
        await curio.sleep(1.0)
        stops = [body for target, body in asked if target == '/run-stop']
        assert len(stops) == 3

    utils_servers.run(main, day.configuration())
