"""Tests of what callers get of a pool with slow workers or a failing rack."""

import random

import pytest

from emulator import day
from emulator import troubles
from oleanderwood.capacity import rebalancing
from oleanderwood import event_log
from oleanderwood.leading import load_control
from oleanderwood.leading import schedule
from oleanderwood.pools import slowness
from oleanderwood.pools import spreading
from tests import utils_jobs as build
from tests import utils_uneven as uneven

SEEDS = range(1, 7)
MANY_SEEDS = range(1, 25)
"""Where what a rack holds by chance decides: over 60 seeds, 674 late jobs
before and 665 after; over the first six, 59 and 66."""


@pytest.fixture(autouse=True)
def quiet(monkeypatch):
    """Keep some hundred log lines of each load out of the output."""
    monkeypatch.setattr(event_log, 'emit', lambda *args, **fields: None)


def _slow(seed):
    """Slow a sixth of the workers down to a fifth for six seconds."""
    chosen = random.Random(seed + 99).sample(range(18), 3)
    return uneven.Trouble(frozenset(f'w{number}' for number in chosen))


def _failing(seed):
    return uneven.Trouble(uneven.names(seed % 3), from_s=6.0, slowdown=0.0)


def _play(trouble, placement, seeds=SEEDS, **fields):
    return [
        uneven.play(uneven.Load(seed, trouble(seed), placement, **fields))
        for seed in seeds
    ]


def _late(played):
    return sum(row.late for row in played)


@pytest.mark.parametrize(
    ('jobs_per_s', 'has_spare', 'part'),
    [(6.0, False, 0.6), (12.0, False, 0.6), (12.0, True, 0.7)],
)
def test_slow_workers_make_fewer_jobs_late(jobs_per_s, has_spare, part):
    """Guards against new tasks for workers that have just turned slow.

    Late jobs of six seeds: 74 before and 35 after at 6 jobs per second, 132
    and 62 at 12, and 73 at 12 where the pool will give machines away.
    """
    load = {'jobs_per_s': jobs_per_s, 'has_spare': has_spare}
    before = _play(_slow, False, **load)
    after = _play(_slow, True, **load)
    assert _late(after) < part * _late(before)
    assert max(row.late for row in after) <= max(row.late for row in before)


def test_jobs_of_a_full_pool_are_not_later():
    """Guards against slow workers left idle while the pool lacks capacity.

    At 20 jobs per second, with a sixth of the workers slow, work waits: 281
    late jobs before, 233 after.
    """
    before = _play(_slow, False, jobs_per_s=20.0)
    assert _late(_play(_slow, True, jobs_per_s=20.0)) < _late(before)


def test_even_pool_is_served_as_before():
    """Guards against a cost of measuring where nothing is slow."""
    for placement in (False, True):
        played = _play(lambda seed: uneven.Trouble(frozenset()), placement)
        assert _late(played) <= 1


def test_failing_rack_makes_no_more_jobs_late():
    """Guards against a cost of the speed classes when a rack fails."""
    before, after = (
        _play(_failing, value, MANY_SEEDS) for value in (False, True)
    )
    assert _late(after) <= 1.1 * _late(before)


def test_spreading_batch_tasks_makes_more_jobs_late(monkeypatch):
    """Guards the choice of ``spreading.SPREADS_BATCH``.

    A job is late as soon as one of its tasks is lost. If this fails, spreading
    has become worthwhile.
    """
    packed = _play(_failing, True)
    monkeypatch.setattr(spreading, 'SPREADS_BATCH', True)
    spread = _play(_failing, True)
    assert max(max(row.lost_tasks.values()) for row in spread) < max(
        max(row.lost_tasks.values()) for row in packed
    )
    assert _late(spread) > _late(packed)


def _unevenness(placement=True, **fields):
    load = uneven.Load(1, uneven.Trouble(frozenset()), placement, **fields)
    leader = uneven.leader_of(load)
    pool = list(leader.workers.values())
    for worker in pool:
        speed = slowness.Speed(measured=slowness.Measurement(0.0, 8.0))
        leader.speeds[worker.entry.worker] = speed
    return leader, pool


def test_new_worker_counts_as_normal():
    """Guards against a new machine that gets nothing until it is measured."""
    leader, pool = _unevenness()
    leader.speeds.pop(pool[0].entry.worker)
    slow = leader.speeds[pool[1].entry.worker]
    slow.measured = slowness.Measurement(1.6, 8.0)
    found = schedule.unevenness(leader, build.POOL, pool, [])
    assert list(found.speeds.classes) == [pool[1].entry.worker]


@pytest.mark.parametrize(
    ('need', 'packs'),
    [
        (rebalancing.Need(18, 18, 18), False),
        (rebalancing.Need(17, 17, 18), True),
        (None, True),
    ],
)
def test_pool_packs_if_it_may_give_machines_away(need, packs):
    """Guards against spreading before a new leader knows the needs."""
    leader, pool = _unevenness()
    leader.fleet.needs = {build.POOL: need} if need else {}
    found = schedule.unevenness(leader, build.POOL, pool, [])
    assert found.speeds.packs is packs
    assert found.is_spread is not packs


@pytest.mark.parametrize('seed', [3, 4, 5])
def test_emulated_day_with_slow_workers_is_sound(monkeypatch, seed):
    """Guards against faults of the wiring in a whole server."""
    switches = load_control.Switches(placement=True)
    monkeypatch.setattr(load_control, 'decide', lambda *args: switches)
    slow = troubles.Trouble(troubles.Kind.EXECUTORS_SLOW, 3.0, 12.0)
    result = day.play(
        day.Plan(seed, length_s=16.0, jobs_per_s=5.0, troubles=(slow,))
    )
    assert not result.breaches and not result.unfinished
