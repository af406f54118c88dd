"""Tests of how pools share a fleet that is too small for all of them.

Cause: the pool of the first burst kept most machines, with one or two tasks
each, half of them beyond their customer's rate, while the next pool had a
twentieth of what it needed and its callers waited until they gave up.
"""

import math
import statistics
import types

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.capacity import contention
from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.leading import pool_loop
from oleanderwood.leading import state as states
from oleanderwood import server_metrics
from tests import utils_contention as play
from tests import utils_leading

SEEDS = (1, 2, 3)
LIGHT = (
    play.Burst(play.LARGE, 0.0, 1.0, 24, 1.0, checkpoints=True),
    play.Burst(play.SMALL, 5.0, 8.0, 8, 0.5),
)


def _claim(name, priority=0, **fields):
    values = dict.fromkeys(('held', 'assured', 'late', 'excess'), 0.0)
    values['min_up'] = 0
    return contention.Claim(
        ids.ServiceId(name), priority, **{**values, **fields}
    )


@strategies.composite
def _claims(draw, max_min_up=0, max_reserve=0.0):
    machines = strategies.floats(0.0, 40.0)
    rows = []
    for number in range(draw(strategies.integers(1, 6))):
        held_long_running = draw(machines)
        row = _claim(
            f'p{number}',
            draw(strategies.integers(0, 2)),
            held_long_running=held_long_running,
            held=held_long_running + draw(machines),
            assured=draw(machines),
            late=draw(machines),
            excess=draw(machines),
            min_up=draw(strategies.integers(0, max_min_up)),
            reserve=draw(strategies.floats(0.0, max_reserve)),
        )
        rows.append(row)
    return rows


ANY = _claims(max_min_up=8, max_reserve=9.0)
FLEETS = strategies.integers(0, 300)


def _most(claim):
    """Return how many machines a pool asks for at most."""
    return contention.asked(claim) + math.ceil(claim.reserve)


def _check_bounds(claims, count, granted):
    assert sum(granted.values()) <= count
    for claim in claims:
        assert 0 <= granted[claim.service] <= _most(claim)


@hypothesis.given(ANY, FLEETS)
def test_grants_exceed_neither_the_fleet_nor_what_is_asked(claims, count):
    """Guards against machines that are promised to two pools."""
    granted = contention.grants(claims, count)
    _check_bounds(claims, count, granted)
    if sum(granted.values()) < count:
        for claim in claims:
            assert granted[claim.service] >= contention.asked(claim)


@hypothesis.given(_claims(), FLEETS)
def test_assured_work_goes_before_late_and_excess_work(claims, count):
    """Guards against late work that holds machines of work in time."""
    granted = contention.grants(claims, count)
    lacking = [
        claim.priority
        for claim in claims
        if granted[claim.service] + 1e-3
        < claim.held_long_running + claim.assured
    ]
    for claim in claims:
        if lacking:
            most = claim.held_long_running + claim.assured
            if claim.priority > min(lacking):
                most = claim.held_long_running
            assert granted[claim.service] <= math.ceil(most)


@hypothesis.given(_claims(), FLEETS)
def test_excess_work_goes_after_all_other_work(claims, count):
    """Guards customers within their rates against one that presses."""
    granted = contention.grants(claims, count)
    within = {
        claim.service: claim.held + claim.assured + claim.late
        for claim in claims
    }
    if any(granted[name] + 1e-3 < asked for name, asked in within.items()):
        for name, asked in within.items():
            assert granted[name] <= math.ceil(asked)


@hypothesis.given(ANY, FLEETS)
def test_promised_machines_come_first(claims, count):
    """Guards the minimum that operators have set."""
    granted = contention.grants(claims, count)
    if sum(claim.min_up for claim in claims) <= count:
        for claim in claims:
            assert granted[claim.service] >= claim.min_up


@hypothesis.given(ANY, strategies.integers(0, 50))
def test_nothing_changes_while_the_fleet_suffices(claims, spare):
    """Guards days of normal load against a change of behaviour."""
    count = sum(map(contention.asked, claims)) + spare
    assert contention.allocate(claims, count, {}) == {}
    whole = sum(map(_most, claims))
    granted = contention.grants(claims, whole)
    for claim in claims:
        assert granted[claim.service] >= contention.asked(claim)


@hypothesis.given(ANY, ANY, FLEETS, FLEETS)
def test_steady_grants_stay_within_the_same_bounds(
    before, claims, old_count, count
):
    """Guards the hysteresis against keeping what a lost rack had."""
    previous = contention.allocate(before, old_count, {})
    granted = contention.allocate(claims, count, previous)
    if not granted:
        return
    _check_bounds(claims, count, granted)
    target = contention.grants(claims, count)
    for claim in claims:
        least = min(target[claim.service], claim.min_up)
        assert granted[claim.service] >= least
    assert contention.allocate(claims, count, granted) == granted


def test_chance_differences_move_no_machine():
    """Guards against a machine that moves back and forth."""
    first = [_claim('a', assured=60.0), _claim('b', assured=60.0)]
    previous = contention.allocate(first, 100, {})
    assert previous == {'a': 50, 'b': 50}
    second = [_claim('a', assured=56.0), _claim('b', assured=60.0)]
    assert contention.grants(second, 100)['a'] == 48
    assert contention.allocate(second, 100, previous) == previous
    third = [_claim('a', assured=45.0), _claim('b', assured=60.0)]
    assert contention.allocate(third, 100, previous) == {'a': 43, 'b': 57}


def test_small_falls_make_room_for_a_pool_that_needs_far_more():
    """Guards a new burst against pools that each keep a little more."""
    names = [f'p{number}' for number in range(10)]
    claims = [_claim(name, assured=12.0) for name in names]
    previous = {ids.ServiceId(name): 10 for name in names}
    claims.append(_claim('new', assured=12.0))
    granted = contention.allocate(claims, 100, previous)
    assert granted['new'] >= 9


def test_guess_for_a_burst_is_no_contention_by_itself():
    """Guards days of normal load against grants at the start of a burst."""
    claims = [_claim('a', assured=60.0, unmeasured=50.0), _claim('b', held=9)]
    assert contention.allocate(claims, 40, {}) == {}
    claims = [_claim('a', assured=60.0, unmeasured=20.0), _claim('b', held=9)]
    assert contention.allocate(claims, 40, {}) == {'a': 40, 'b': 0}


def test_backlog_beyond_the_fleet_displaces_no_other_pool():
    """Guards a pool against the backlog of several seconds of another."""
    claims = [_claim('a', assured=900.0), _claim('b', assured=30.0)]
    granted = contention.grants(claims, 60)
    assert granted == {'a': 40, 'b': 20}


def test_excess_arrivals_count_apart_and_in_the_demand_as_before():
    """Guards the prediction of bursts against a customer that presses."""
    plain, marked = demand.ArrivalHistory(), demand.ArrivalHistory()
    for number in range(40):
        at_s = number * 0.1
        demand.record_arrival(plain, 'a', at_s, 4.0)
        demand.record_arrival(marked, 'a', at_s, 4.0, number % 4 == 0)
    history = marked.by_pool['a']
    assert 0.15 < demand.excess_share(history, 3.9) < 0.35
    assert demand.excess_share(plain.by_pool['a'], 3.9) == 0.0
    assert demand.expected_cores(history, 3.9) == demand.expected_cores(
        plain.by_pool['a'], 3.9
    )
    assert demand.excess_share(history, 30.0) == 0.0


def _play(balancing, **fields):
    return [play.play(play.Plan(seed, balancing, **fields)) for seed in SEEDS]


def _mean_share(played, pool=play.SMALL):
    return statistics.fmean(row.share(pool) for row in played)


def _in_time(played):
    """Return the share of all callers within their rates served in time."""
    return statistics.fmean(
        in_time
        for row in played
        for _pool, is_assured, in_time in row.rows.values()
        if is_assured
    )


@pytest.fixture(scope='module')
def before():
    return _play(balancing=False)


@pytest.fixture(scope='module')
def after():
    return _play(balancing=True)


def _wait_s(played, machines):
    """Return the time from the second burst until its pool has machines."""
    begin_s = play.Plan(1, True).bursts[1].begin_s
    return next(
        (
            at_s - begin_s
            for at_s, sizes in sorted(played.sizes.items())
            if at_s >= begin_s and sizes[play.SMALL] >= machines
        ),
        math.inf,
    )


def test_second_pool_has_its_machines_before_its_burst_is_over(before, after):
    # 12 of 40 machines: after 9.8 s without grants, as the burst of 8 s is
    # over, and after 2.6 s with them: 0.6 s to detect it, 0.4 s to stop tasks
    # and 1.5 s to move.
    assert min(_wait_s(row, 12) for row in before) > 6.0
    assert max(_wait_s(row, 12) for row in after) < 3.5


def test_more_callers_are_in_time(before, after):
    # Of the second pool 0.07 and 0.69; of both 0.19 and 0.66.
    assert _mean_share(before) < 0.2
    assert _mean_share(after) > 0.6
    assert _in_time(after) > 3 * _in_time(before)
    # The first pool keeps part of its callers: 0.98 and 0.47.
    assert _mean_share(after, play.LARGE) > 0.4


def test_calls_within_their_rates_go_before_others(after):
    excess = statistics.fmean(
        row.share(play.LARGE, assured=False) for row in after
    )
    assert excess < _mean_share(after, play.LARGE)


def test_chosen_machines_stay_chosen(before, after):
    # 35 of 35 were released without grants, 16 of 75 with them.
    for rows, most in ((before, 1.0), (after, 0.35)):
        chosen = sum(row.events['worker emptied'] for row in rows)
        released = sum(row.events['worker not-emptied'] for row in rows)
        assert released <= most * chosen


def test_grants_never_exceed_the_fleet(before, after):
    assert not any(grants for row in before for grants in row.grants.values())
    for row in after:
        assert any(row.grants.values())
        for at_s, grants in row.grants.items():
            assert sum(grants.values()) <= row.fleet[at_s]


def test_contention_is_logged_once_a_second(after):
    for row in after:
        contended_s = 0.2 * sum(map(bool, row.grants.values()))
        assert 1 <= row.events['fleet contended'] <= contended_s + 2


def test_stops_that_take_long_still_pay():
    """Guards the second customer, whose tasks take 0.9 s to stop."""
    slow = {'stop_s': 0.9, 'restore_s': 0.6}
    assert _mean_share(_play(False, **slow)) < 0.2
    assert _mean_share(_play(True, **slow)) > 0.5


def test_load_that_fits_is_served_as_without_grants():
    """Guards days of normal load against a change of behaviour."""
    plain, shared = (_play(on, bursts=LIGHT) for on in (False, True))
    for one, other in zip(plain, shared, strict=True):
        assert not any(other.grants.values())
        assert one.sizes == other.sizes
        assert one.rows == other.rows


def test_lost_rack_shrinks_the_grants_in_the_next_pass(before):
    """Guards against grants for machines that have gone."""
    played = _play(True, rack_fails_s=6.5)
    for row in played:
        assert row.fleet[6.4] - row.fleet[6.6] == 8
        assert 0 < sum(row.grants[6.6].values()) <= row.fleet[6.6]
        for at_s, grants in row.grants.items():
            assert sum(grants.values()) <= row.fleet[at_s]
    assert _mean_share(played) > 2 * _mean_share(before)


def test_next_leader_computes_grants_from_its_ledger(before):
    """Guards against a new leader that lets the first pool keep all."""
    played = _play(True, leader_changes_s=6.0)
    for row in played:
        first_s = min(at_s for at_s in row.grants if at_s > 6.0)
        assert first_s == 8.6
        assert row.grants[first_s]
    assert _mean_share(played) > 2 * _mean_share(before)


def test_stale_list_moves_and_promises_nothing(before):
    """Guards against orders by a list that is seconds old."""
    played = _play(True, list_stale_s=(6.5, 9.5))
    for row in played:
        # The list is used until it is one second old.
        stale = [at_s for at_s in row.grants if 7.5 < at_s < 9.5]
        assert len(stale) > 8
        for at_s in stale:
            assert not row.grants[at_s]
            assert not row.drained[at_s]
        assert not any(7.5 < at_s < 9.5 for at_s in row.moves_s)
        assert row.grants[9.6]
    assert _mean_share(played) > 2 * _mean_share(before)


def test_pool_with_all_its_grant_is_logged_as_short(monkeypatch):
    """Guards `oleanderctl causes`, which goes by these lines."""
    events = utils_leading.record_events(monkeypatch)
    leader = types.SimpleNamespace(fleet=states.Fleet())
    pool = ids.ServiceId('a')
    members = [rebalancing.Member(f'm{i}', 32.0, None) for i in range(3)]
    decision = rebalancing.Decision(
        [],
        {pool: rebalancing.Need(9, 3, 3)},
        asked={pool: 9},
        grants={pool: 3},
    )
    view = rebalancing.PoolView(pool, members)
    pool_loop._log_shortage(leader, [view], decision, 5.0)
    ((part, event, fields),) = events
    assert (part, event) == ('fleet', 'short')
    assert fields['pools']['a']['has'] == 3
    assert fields['pools']['a']['needs'] == 9


def _granted_metric(pool):
    return server_metrics.REGISTRY.get_sample_value(
        'oleander_server_granted_machines', {'pool': pool}
    )


def test_metric_shows_grants_only_during_contention():
    leader = types.SimpleNamespace(fleet=states.Fleet())
    pool_loop._record_grants(leader, {ids.ServiceId('a'): 7})
    assert _granted_metric('a') == 7
    pool_loop._record_grants(leader, {})
    assert _granted_metric('a') is None
    assert leader.fleet.grants == {}
