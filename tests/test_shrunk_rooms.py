"""Rooms that shrink while their workers run.

What users would see: a worker that starts whatever it is told to is filled
beyond what it has, seconds after its room has shrunk. Order of events: the
store is away, and a leader goes on without it, confirmed by the others; a
worker's room shrinks, or had shrunk since its last entry; the leader starts
tasks by the room that it heard of last.

Cause: what was heard of a worker had no age. And as the store comes back, its
entries are as old as its outage was long: workers write them at their beat. Evidence: on 2 of 60 emulated
days with eight such troubles and four others a start brought a worker over its
room, each time without the store, more than 4.5 s after the change; on 30 calm
days none did.
"""

import pytest

from emulator import day
from emulator import features
from emulator import troubles

RESIZES = 8


def _day(seed, trouble_count, wanted=()):
    kinds = troubles.LAB_KINDS
    drawn = troubles.draw(seed, 12.0, trouble_count, kinds)
    drawn += troubles.draw(seed, 12.0, RESIZES, troubles.RESIZE_KINDS)
    plan = day.Plan(
        seed, troubles=tuple(drawn), features=wanted, jobs_per_s=4.0
    )
    return day.play(plan)


@pytest.mark.parametrize('seed', [27, 30])
def test_no_worker_is_filled_by_a_room_that_was_heard_of_long_ago(seed):
    result = _day(seed, 4, (features.Feature.UNGUARDED,))
    assert not result.breaches and not result.unfinished


def test_rooms_are_followed_both_ways():
    result = _day(3, 0, (features.Feature.UNGUARDED,))
    assert not result.breaches and not result.unfinished
    sizes = [row.sizes for row in result.evidence.places.values() if row.sizes]
    assert sizes
