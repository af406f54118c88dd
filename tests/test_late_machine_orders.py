"""The pause between two leaders' orders for a machine, on a slow platform.

Orders that are announced together are sent one after another, each as slow as
the platform answers. The next announcements gave their age from the moment at
which they were announced, so the next leader waited too little: its order for
a machine came 2.2 s after the former one's where 3 s are asked.
"""

import types

import curio
import msgspec
import pytest

from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import fleet_loop
from oleanderwood.leading import machine_handover
from oleanderwood.leading import pool_loop
from oleanderwood.leading import state as states
from oleanderwood.maintenance import rolling
from oleanderwood.platform import machines as machine_calls
from oleanderwood import verdict as verdicts

CALL_S = 4.0
"""Time that the platform takes for an order."""

TURN_S = 3.0
"""Pause that the platform asks for between two leaders' orders."""


def _leader():
    settings = types.SimpleNamespace(
        machine_orders_per_s=64.0, machine_turn_ms=TURN_S * 1000
    )
    machine = types.SimpleNamespace(worker='w1')
    fleet = states.Fleet()
    fleet.machines = {'m1': machine, 'm2': machine}
    return types.SimpleNamespace(
        server=types.SimpleNamespace(settings=settings),
        fleet=fleet,
        incarnations={},
        workers={},
        machine_calls=None,
        term=256,
    )


@pytest.fixture
def now(monkeypatch):
    """Return the time, which an order takes on; announcements are kept."""
    found = types.SimpleNamespace(s=100.0, stored=b'', fails=False)

    async def write(leader, values, part, event):
        (found.stored,) = values.values()
        return True

    async def order(*_arguments):
        found.s += CALL_S
        if found.fails:
            raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'silent')
        return machine_calls.Outcome.DONE

    monkeypatch.setattr(clock, 'now_s', lambda: found.s)
    monkeypatch.setattr(fenced_writes, 'try_write', write)
    monkeypatch.setattr(states, 'holds_lease', lambda leader: True)
    monkeypatch.setattr(machine_calls, 'maintain', order)
    monkeypatch.setattr(machine_calls, 'move', order)
    return found


async def _maintain(leader):
    wave = types.SimpleNamespace(wave=1, machines=['m1', 'm2'])
    progress = rolling.Progress(wave, 0.0)
    await fleet_loop._maintain(leader, progress, 'm1', None)


async def _move(leader):
    move = rebalancing.Move('m1', 'drafts', 'finals', 'short')
    await pool_loop._send_move(leader, move)


ORDERS = {'maintenance': _maintain, 'move': _move}


@pytest.mark.parametrize('fails', (False, True), ids=('done', 'unanswered'))
@pytest.mark.parametrize('order', ORDERS.values(), ids=ORDERS)
def test_next_leader_waits_for_the_whole_pause(now, order, fails):
    """It counts from when the platform may last have taken the order."""
    now.fails = fails
    leader = _leader()

    async def play():
        await machine_handover.announce(leader, ['m1'])
        await order(leader)
        await machine_handover.announce(leader, ['m2'])

    curio.run(play)
    ended_s = now.s
    later = _leader()
    machine_handover.restore(later, now.stored)
    assert not machine_handover.may_order(later, 'm1')
    now.s = ended_s + TURN_S - 0.01
    assert not machine_handover.may_order(later, 'm1')
    now.s = ended_s + TURN_S + machine_handover.SEND_WINDOW_MS / 1000
    assert machine_handover.may_order(later, 'm1')


def test_order_under_way_is_not_dropped_from_the_announcements(now):
    """An announcement is kept for a time, which a slow order may outlast."""
    leader = _leader()

    async def play():
        await machine_handover.announce(leader, ['m1'])
        now.s += machine_handover.RETENTION_S
        machine_handover.record_order(leader, 'm1')
        await machine_handover.announce(leader, ['m2'])

    curio.run(play)
    stored = msgspec.json.decode(
        now.stored, type=machine_handover.Announcements
    )
    assert set(stored.ages_ms) == {'m1', 'm2'}
