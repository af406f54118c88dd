"""A suspended process does nothing, and finds its clock gone on."""

import random

import curio
import pytest

from emulator import network as networks
from emulator import virtual
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood.platform import transport
from oleanderwood.web import connections

ADDRESS = '10.0.0.9:1'


async def _handle(source, method, target, body, headers):
    await curio.sleep(0.1)
    return transport.Answer(200, b'%.1f' % clock.now_s())


def _network(home=virtual.WORLD):
    network = networks.Network(random.Random(1))
    network.handlers[ADDRESS] = _handle
    network.homes[ADDRESS] = home
    return network


async def _call(timeout_s=5.0):
    kept = connections.Connections()
    answer = await transport.call(
        kept, ADDRESS, 'GET', '/', timeout_s=timeout_s
    )
    return answer.body


def _played(main, network=None):
    """Play a process, suspended from 1 s to 3 s; gives what it noted."""
    notes = []

    async def play():
        with networks.installed(network or _network()):
            await virtual.start_process('p', main, notes)
            await curio.sleep(1.0)
            virtual.suspend_process('p', 2.0)
            await curio.sleep(9.0)

    virtual.run(play)
    return notes


def test_timers_of_a_suspended_process_come_when_it_wakes():
    async def tick(notes):
        for _ in range(8):
            await curio.sleep(0.4)
            notes.append(round(clock.now_s(), 1))

    assert _played(tick) == [0.4, 0.8, 3.0, 3.4, 3.8, 4.2, 4.6, 5.0]


def test_answer_that_came_meanwhile_is_there_when_it_wakes():
    async def ask(notes):
        await curio.sleep(0.95)
        notes.append(await _call())
        notes.append(round(clock.now_s(), 1))

    assert _played(ask) == [b'1.1', 3.0]


def test_call_whose_time_ran_out_fails_when_it_wakes():
    async def ask(notes):
        await curio.sleep(0.95)
        try:
            await _call(timeout_s=0.08)
        except errors.CallFailed:
            notes.append(round(clock.now_s(), 1))

    assert _played(ask) == [3.0]


def test_timeout_and_result_that_came_meanwhile_are_both_found():
    async def wait(notes):
        event = curio.Event()

        async def later():
            await curio.sleep(1.2)
            await event.set()

        await virtual.spawn_in_world(later)
        async with curio.timeout_after(2.0):
            await event.wait()
            notes.append('set')
            with pytest.raises(curio.TaskTimeout):
                await curio.sleep(0.1)
        notes.append(round(clock.now_s(), 1))

    assert _played(wait) == ['set', 3.0]


def test_calls_to_a_suspended_process_wait_for_it():
    async def idle(notes):
        await curio.sleep(2.0)

    network = _network('p')
    notes = []

    async def play():
        with networks.installed(network):
            await virtual.start_process('p', idle, notes)
            virtual.suspend_process('p', 2.0)
            notes.append(await _call())
            with pytest.raises(errors.CallFailed):
                virtual.suspend_process('p', 2.0)
                await _call(timeout_s=1.0)

    virtual.run(play)
    assert notes == [b'2.1']


def test_killed_while_suspended_is_dead_at_once():
    notes = []

    async def live():
        try:
            await curio.sleep(1.0)
        finally:
            notes.append(round(clock.now_s(), 1))

    async def play():
        await virtual.start_process('p', live)
        await curio.sleep(0.5)
        virtual.suspend_process('p', 5.0)
        await curio.sleep(1.0)
        await virtual.kill_process('p')
        await curio.sleep(1.0)

    virtual.run(play)
    assert notes == [1.5]
