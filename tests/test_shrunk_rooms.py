"""Rooms that shrink while their workers run.

What users would see: a worker that starts whatever it is told to is filled
beyond what it has, seconds after its room has shrunk. Order of events: the
store is away, and a leader goes on without it, confirmed by the others; a
worker's room shrinks, or had shrunk since its last entry; the leader starts
tasks by the room that it heard of last.

Cause: what was heard of a worker had no age. And as the store comes back, its
entries are as old as its outage was long: workers write them at their beat.
Evidence: on 2 of 60 emulated
days with eight such troubles and four others a start brought a worker over its
room, each time without the store, more than 4.5 s after the change; on 30 calm
days none did.
"""

import pytest

from emulator import day
from emulator import features
from emulator import troubles
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import placing
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build

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


def _placed(ledger, worker, now_s, name=build.JOB):
    group = build.task(ledger, name=name).group
    return placing.decide([group], [worker], now_s, 9)


def test_worker_that_had_no_room_is_not_asked_again_at_once():
    """Its entry tells of its room within a heartbeat.

    Each refusal was forgotten: the fullest worker by its entry was asked again
    each 0.15 s, for each task.
    """
    ledger = build.ledger_with(build.job(build.step(cpu=2000)))
    small = build.job(build.step(cpu=1000), name='b' * 16)
    ledgers.add(ledger, small, 0.0)
    worker = build.worker()
    assert _placed(ledger, worker, 9.0)
    workers_.record_rejection(worker, model.Resources(2000, 100), 9.0)
    assert not _placed(ledger, worker, 9.1)
    assert _placed(ledger, worker, 9.1, 'b' * 16)
    assert _placed(ledger, worker, 9.0 + workers_.REJECTION_MEMORY_S)


def test_rooms_are_followed_both_ways():
    result = _day(3, 0, (features.Feature.UNGUARDED,))
    assert not result.breaches and not result.unfinished
    sizes = [row.sizes for row in result.evidence.places.values() if row.sizes]
    assert sizes
