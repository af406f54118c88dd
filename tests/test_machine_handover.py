"""Tests of the rate of machine orders, and of the handover of machines."""

import types

import msgspec
import pytest

from oleanderwood import clock
from oleanderwood.leading import machine_handover
from oleanderwood.leading import state as states


@pytest.fixture
def leader(monkeypatch):
    now = types.SimpleNamespace(s=100.0)
    monkeypatch.setattr(clock, 'now_s', lambda: now.s)
    settings = types.SimpleNamespace(
        machine_orders_per_s=64.0, machine_turn_ms=3000.0
    )
    return types.SimpleNamespace(
        now=now,
        server=types.SimpleNamespace(settings=settings),
        fleet=states.Fleet(),
    )


def test_orders_come_at_the_platforms_rate_with_some_to_spare(leader):
    assert machine_handover.allowance(leader) == 25
    leader.fleet.orders_left -= 25
    assert machine_handover.allowance(leader) == 0
    sent = 0
    for _ in range(100):
        leader.now.s += 0.1
        count = machine_handover.allowance(leader)
        leader.fleet.orders_left -= count
        sent += count
    assert 500 <= sent <= 0.8 * 64 * 10 + 1


def test_what_is_not_used_is_not_saved_up(leader):
    machine_handover.allowance(leader)
    leader.now.s += 60.0
    assert machine_handover.allowance(leader) == 25


def test_unreadable_announcements_hold_all_machines_for_a_pause(leader):
    machine_handover.restore_or_wait(leader, b'no JSON')
    assert not machine_handover.may_order(leader, 'm1')
    leader.now.s += 3.4
    assert not machine_handover.may_order(leader, 'm1')
    leader.now.s += 0.2
    assert machine_handover.may_order(leader, 'm1')


def test_later_leader_learns_what_pools_had_before_the_first_move(leader):
    stored = machine_handover.Announcements(
        {'m1': 0.0}, {'drafts': 6}, {'drafts': 384.0}
    )
    machine_handover.restore(leader, msgspec.json.encode(stored))
    assert leader.fleet.first_sizes == {'drafts': 6}
    assert leader.fleet.arrival_history.pool_cores == {'drafts': 384.0}


def test_pause_is_counted_by_the_age_that_the_writer_told(leader):
    stored = machine_handover.Announcements(
        {'m1': 9e9, 'm2': 0.0, 'm3': 0.0},
        ages_ms={'m1': 0.0, 'm2': 2000.0, 'm3': 4000.0},
    )
    machine_handover.restore(leader, msgspec.json.encode(stored))
    assert leader.fleet.order_after_s == {'m1': 103.5, 'm2': 101.5}


def test_announcements_of_an_earlier_release_are_read(leader):
    machine_handover.restore(leader, b'{"wall_ms":{"m1":0.0}}')
    # Its age is not known, as times of day are unreliable.
    assert leader.fleet.announced == {'m1': 100.0}
    assert leader.fleet.order_after_s == {'m1': 103.5}
    assert leader.fleet.first_sizes == {}


def test_later_leader_learns_what_may_be_down_for_maintenance(leader):
    """An order may be held up for longer than the pause between leaders."""
    stored = machine_handover.Announcements(
        {'m1': 0.0, 'm2': 0.0, 'm3': 0.0},
        ages_ms={'m1': 0.0, 'm2': 0.0, 'm3': 9000.0},
        maintained=['m1', 'm3'],
    )
    machine_handover.restore(leader, msgspec.json.encode(stored))
    assert leader.fleet.inherited_maintenance == {'m1', 'm3'}
    leader.now.s += 4.0
    assert leader.fleet.inherited_maintenance == {'m1', 'm3'}
