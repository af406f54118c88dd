"""Tests of predicted bursts and of machines that change their pool."""

from emulator import day
from oleanderwood.capacity import backlog
from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.policy import model as policies
from tests import utils_jobs as build

BURST_S = 4.0
MOVE_S = 1.5
POOLS = ('a', 'b', 'c')
OFF = ids.ServiceId('off')


def _record_bursts(history, until_s, from_s=0.0, per_s=5.0, core_s=20.0):
    """Record arrivals of pools that have bursts in rotation, at one rate."""
    count = int((until_s - from_s) * per_s)
    for number in range(count):
        at_s = from_s + number / per_s
        pool = POOLS[int(at_s / BURST_S) % len(POOLS)]
        demand.record_arrival(history, pool, at_s, core_s)


def test_burst_is_detected_within_its_first_second():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 5.0)
    assert history.by_pool['b'].in_burst
    assert history.by_pool['b'].starts_s[0] <= 5.0


def test_burst_ends_when_nothing_arrives():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 4.0)
    demand.update_burst_state(history, 'a', 6.0)
    assert not history.by_pool['a'].in_burst


def test_burst_is_predicted_from_its_start_and_not_its_detection():
    history = demand.ArrivalHistory(
        pools=frozenset(POOLS), pool_cores={'b': 400.0}
    )
    for number in range(40):
        demand.record_arrival(history, 'a', number * 0.2, 20.0)
    # Large jobs, first one and then two a second.
    for at_s in (8.0, 9.0, 9.6, 10.1, 10.4, 10.6):
        demand.record_arrival(history, 'b', at_s, 60.0)
    assert history.by_pool['b'].starts_s == [8.0]
    assert history.start_gaps_s == [8.0]


def test_next_burst_is_predicted_after_one_cycle():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    now_s = 11.0
    _record_bursts(history, now_s)
    first = demand.next_burst(history, 'a', now_s)
    second = demand.next_burst(history, 'b', now_s)
    assert abs(first.earliest_s - 12.0) < 1.0
    assert abs(second.earliest_s - 16.0) < 1.5


def test_nothing_is_predicted_before_a_cycle_is_seen():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    now_s = 3.0
    _record_bursts(history, now_s)
    assert demand.next_burst(history, 'a', now_s) is None


def test_single_arrivals_are_no_burst():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    for number in range(10):
        demand.record_arrival(history, 'a', number * 3.0, 20.0)
    assert not history.by_pool['a'].in_burst


def test_current_rate_gives_the_cores_it_keeps_busy():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 3.0)
    cores = demand.current_cores(history.by_pool['a'], 2.9)
    assert 80.0 <= cores <= 120.0


def _member(name, busy=False, idle_s=5.0, now_s=10.0, fixed=False):
    worker = build.worker(f'w-{name}')
    worker.idle_since_s = now_s - idle_s
    if busy:
        ledger = build.ledger_with(build.job())
        build.start(ledger, build.task(ledger), worker)
    return rebalancing.Member(name, 8.0, worker, fixed)


def _standby(*names):
    return {OFF: [rebalancing.Member(name, 8.0, None) for name in names]}


def _pool(service, members, busy_cores=0.0, held_cores=0.0):
    return rebalancing.PoolView(
        ids.ServiceId(service), members, busy_cores, held_cores
    )


def _decide(pools, standby=None, history=None, now_s=10.0):
    return rebalancing.decide(
        pools, standby or {}, history or demand.ArrivalHistory(), MOVE_S, now_s
    ).moves


def test_pool_in_need_gets_machines_from_standby_first():
    pools = [
        _pool('a', [_member('m1', busy=True)], busy_cores=16.0),
        _pool('b', [_member(f'n{i}') for i in range(5)]),
    ]
    moves = _decide(pools, _standby('s1', 's2'))
    needed = [move.machine for move in moves if move.why == 'needed']
    assert needed == ['s1', 's2']


def test_idle_machines_of_others_help_when_standby_is_empty():
    pools = [
        _pool('a', [_member('m1', busy=True)], busy_cores=12.0),
        _pool('b', [_member(f'n{i}') for i in range(3)]),
    ]
    moves = _decide(pools)
    assert moves and all(move.source == 'b' for move in moves)


def test_machine_with_work_or_of_a_wave_never_moves():
    pools = [
        _pool('a', [_member('m1', busy=True)], busy_cores=40.0),
        _pool(
            'b',
            [_member('n1', busy=True), _member('n2', fixed=True)],
        ),
    ]
    assert not _decide(pools)


def test_pool_keeps_what_its_own_work_needs():
    pools = [
        _pool('a', [_member('m1', busy=True)], busy_cores=40.0),
        _pool('b', [_member('n1'), _member('n2')], busy_cores=14.0),
    ]
    assert not _decide(pools)


def test_idle_machines_go_to_standby_only_if_their_burst_is_far():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    now_s = 18.0
    _record_bursts(history, now_s)
    for pool in POOLS:
        demand.update_burst_state(history, pool, 16.8)
    pools = [
        _pool(
            name,
            [_member(f'{name}{i}', now_s=now_s, idle_s=3.0) for i in range(4)],
        )
        for name in ('a', 'c')
    ]
    moves = _decide(pools, {OFF: []}, history, now_s=now_s)
    sent_to_standby = {move.source for move in moves if move.why == 'idle'}
    assert sent_to_standby == {'a'}


def test_machines_arrive_ahead_of_a_predicted_burst():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 10.9)
    pools = [_pool('a', [_member('m1')])]
    moves = _decide(pools, _standby('s1', 's2', 's3'), history, now_s=10.9)
    assert [move.target for move in moves] == ['a'] * 3


def test_lull_within_a_burst_starts_no_other():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    for at_s in (0.0, 0.2, 0.4, 0.6, 3.0, 3.2, 3.4, 6.4, 6.6, 6.8):
        demand.record_arrival(history, 'a', at_s, 20.0)
    assert len(history.by_pool['a'].starts_s) == 1
    assert demand.next_burst(history, 'a', 7.0) is None


def _count_lent(history, now_s):
    """Count how many of six machines a pool lends before its first burst."""
    members = [_member(f'n{i}', now_s=now_s) for i in range(6)]
    lacking = _pool('a', [_member('m1', busy=True)], busy_cores=90.0)
    other = _pool('b', members)
    other.first_size = 6
    moves = _decide([lacking, other], history=history, now_s=now_s)
    return len([move for move in moves if move.source == 'b'])


def test_pool_lends_machines_during_a_burst_of_another():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 2.0)
    assert _count_lent(history, 2.0) == 5


def test_pool_keeps_its_machines_when_its_first_burst_may_start():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 2.0)
    demand.update_burst_state(history, 'a', 4.0)
    # The burst of pool a is over, and another pool follows; which one is
    # unknown.
    assert _count_lent(history, 4.0) == 0


def test_pool_keeps_its_machines_once_a_burst_is_as_long_as_others():
    history = demand.ArrivalHistory(pools=frozenset((*POOLS, 'd')))
    for pool, start_s in (('c', 0.0), ('d', 8.0)):
        for number in range(30):
            demand.record_arrival(history, pool, start_s + number * 0.2, 20.0)
    began_s = history.by_pool['d'].starts_s[0]
    assert _count_lent(history, began_s + 4.0) == 5
    assert _count_lent(history, began_s + 7.0) == 0


def test_present_need_goes_before_a_predicted_burst():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    now_s = 23.0
    _record_bursts(history, now_s)
    waiting = _pool('a', [_member(f'n{i}', now_s=now_s) for i in range(4)])
    lacking = _pool('c', [_member('m1', busy=True)], busy_cores=90.0)
    moves = _decide([waiting, lacking], history=history, now_s=now_s)
    assert moves and all(move.target == 'c' for move in moves)


def test_pool_keeps_the_machines_that_operators_promise():
    lacking = _pool('a', [_member('m1', busy=True)], busy_cores=90.0)
    other = _pool('b', [_member(f'n{i}') for i in range(5)])
    other.min_up = 4
    assert len(_decide([lacking, other])) == 1


def test_weights_set_how_long_an_idle_machine_waits_for_a_burst():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    now_s = 18.0
    _record_bursts(history, now_s)
    for pool in POOLS:
        demand.update_burst_state(history, pool, 16.8)
    members = [_member(f'a{i}', now_s=now_s, idle_s=3.0) for i in range(4)]

    def sent_to_standby(**weights):
        decision = rebalancing.decide(
            [_pool('a', members)],
            {OFF: []},
            history,
            MOVE_S,
            now_s,
            policies.Weights(**weights),
        )
        return len(decision.moves)

    assert sent_to_standby() == 3
    assert sent_to_standby(moves=2.0) == 0
    assert sent_to_standby(moves=2.0, buffer=2.0) == 3


def test_first_burst_gets_machines_before_it_can_be_measured():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    for at_s in (0.0, 0.2, 0.3):
        demand.record_arrival(history, 'a', at_s, 20.0)
    assert history.by_pool['a'].in_burst
    pool = _pool('a', [_member(f'm{i}') for i in range(6)], busy_cores=20.0)
    pool.first_size = 6
    rest = _standby(*(f's{i}' for i in range(9)))
    moves = _decide([pool], rest, history, now_s=0.4)
    # Measured bursts needed up to twice the initial machines of a pool.
    assert [move.target for move in moves] == ['a'] * 6


def test_burst_that_can_be_measured_is_sized_by_measurement():
    history = demand.ArrivalHistory(pools=frozenset('a'))
    for number in range(30):
        demand.record_arrival(history, 'a', number * 0.2, 4.0)
    pool = _pool('a', [_member(f'm{i}') for i in range(6)], busy_cores=20.0)
    pool.first_size = 6
    assert history.by_pool['a'].in_burst
    assert not _decide([pool], _standby('s1', 's2'), history, now_s=5.9)


def test_one_huge_job_does_not_count_as_a_rate():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 3.0)
    before = demand.expected_cores(history.by_pool['a'], 3.0)
    demand.record_arrival(history, 'a', 3.0, 400.0)
    after = demand.expected_cores(history.by_pool['a'], 3.0)
    # Sizes of jobs differ by several times; this job of 400 core-seconds came
    # after 300 core-seconds in all.
    assert after < 2.5 * before


def test_machine_that_a_burst_did_not_need_goes_to_standby():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 3.5)
    now_s = 3.5
    busy = [_member(f'b{i}', busy=True) for i in range(14)]
    waiting = [
        _member(f'w{i}', idle_s=idle_s, now_s=now_s)
        for i, idle_s in enumerate((0.5, 1.5, 2.5, 3.0))
    ]
    moves = _decide(
        [_pool('a', [*busy, *waiting], busy_cores=20.0)],
        {OFF: []},
        history,
        now_s,
    )
    assert sorted(move.machine for move in moves) == ['w2', 'w3']


def test_burst_that_did_not_come_keeps_no_machine():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 11.9)
    for pool in POOLS:
        demand.update_burst_state(history, pool, 14.0)
    assert demand.next_burst(history, 'a', 12.5) is not None
    assert demand.next_burst(history, 'a', 18.0) is None
    members = [_member(f'a{i}', now_s=18.0) for i in range(3)]
    moves = _decide([_pool('a', members)], {OFF: []}, history, now_s=18.0)
    assert [move.why for move in moves] == ['idle', 'idle']


def test_first_size_is_not_taken_from_a_list_that_is_still_filling():
    # Ten machines come up one after another; a leader that took the initial
    # sizes from the first list reserved nothing for a pool's first burst.
    result = day.play(
        day.Plan(3, machines_a_pool=5, lead_s=6.0, jobs_per_s=0.5)
    )
    moved = [
        sight
        for sight in result.evidence.sights
        if sight.kind.value == 'ordered' and sight.at_s < 6.0
    ]
    assert not moved


def _count_sent_to_standby(now_s, ended_s=None):
    """Count how many of eight idle machines a pool sends to standby.

    The pool had six machines at first, and no burst yet.
    """
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, min(now_s, 3.0))
    if ended_s is not None:
        demand.update_burst_state(history, 'a', ended_s)
    pool = _pool('b', [_member(f'n{i}', now_s=now_s) for i in range(8)])
    pool.first_size = 6
    return len(_decide([pool], {OFF: []}, history, now_s=now_s))


def test_pool_shrinks_to_half_during_a_burst_of_another():
    assert _count_sent_to_standby(3.0) == 5


def test_pool_keeps_its_first_machines_when_its_burst_may_start():
    # The other pool's burst is over; of eight machines, six are the initial
    # size.
    assert _count_sent_to_standby(5.0, ended_s=5.0) <= 2


def test_first_burst_is_expected_to_be_as_large_as_others():
    history = demand.ArrivalHistory(
        pools=frozenset(POOLS), pool_cores={'a': 100.0, 'b': 48.0}
    )
    _record_bursts(history, 4.0)
    for at_s in (4.0, 4.1, 4.2, 4.3):
        demand.record_arrival(history, 'b', at_s, 20.0)
    # A burst of 80 to 100 cores on a pool of 100; pool b has six machines of
    # eight cores.
    seen = demand.largest_burst_share(history)
    assert 0.7 < seen < 1.2
    pool = _pool('b', [_member(f'm{i}') for i in range(6)], busy_cores=9.0)
    pool.first_size = 6
    rest = _standby(*(f's{i}' for i in range(9)))
    moves = _decide([pool], rest, history, now_s=4.3)
    assert len(moves) < 6


def test_chance_arrivals_of_small_jobs_are_no_burst():
    history = demand.ArrivalHistory(
        pools=frozenset(POOLS), pool_cores={'a': 400.0}
    )
    for at_s in (2.0, 3.0, 4.0, 4.6):
        demand.record_arrival(history, 'a', at_s, 20.0)
    # 1.7 jobs a second of 20 core-seconds keep a twelfth of the pool's cores
    # busy.
    assert not history.by_pool['a'].in_burst
    for number in range(12):
        demand.record_arrival(history, 'a', 16.0 + number * 0.1, 20.0)
    assert history.by_pool['a'].in_burst


def test_machines_for_a_first_burst_come_when_it_may_start():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 2.0)
    demand.update_burst_state(history, 'a', 4.0)
    pools = []
    for name in ('b', 'c'):
        members = [_member(f'{name}{i}', now_s=4.0) for i in range(3)]
        pools.append(_pool(name, members))
        pools[-1].first_size = 3
    rest = _standby('s1', 's2', 's3', 's4')
    moves = _decide(pools, rest, history, now_s=4.0)
    # Which of the two comes next is unknown, so both get the same.

    assert sorted(move.target for move in moves) == ['b', 'b', 'c', 'c']


def test_uneven_bursts_are_expected_from_shortest_to_longest_gap():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    starts = {'a': 0.0, 'b': 8.0, 'c': 20.0}
    for pool, start_s in starts.items():
        for number in range(10):
            demand.record_arrival(history, pool, start_s + number * 0.2, 20.0)
    for pool in POOLS:
        demand.update_burst_state(history, pool, 25.0)
    found = demand.next_burst(history, 'a', 25.0)
    assert abs(found.earliest_s - 28.0) < 1.0
    assert abs(found.latest_s - 32.0) < 1.0
    members = [_member(f'a{i}', now_s=31.0) for i in range(2)]
    moves = _decide([_pool('a', members)], {OFF: []}, history, now_s=31.0)
    assert not moves


def test_all_machines_that_a_burst_lacks_move_in_one_pass():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    for at_s in (0.0, 0.2, 0.3):
        demand.record_arrival(history, 'a', at_s, 20.0)
    pool = _pool('a', [_member(f'm{i}') for i in range(40)])
    pool.first_size = 40
    rest = _standby(*(f's{i}' for i in range(50)))
    assert len(_decide([pool], rest, history, now_s=0.4)) == 40


def test_burst_counts_at_its_expected_peak_while_it_ramps_up():
    history = demand.ArrivalHistory(pools=frozenset(POOLS))
    _record_bursts(history, 3.0, per_s=3.0, core_s=4.0)
    pool = _pool('a', [_member(f'm{i}') for i in range(6)], busy_cores=20.0)
    pool.first_size = 6
    moves = _decide([pool], _standby('s1', 's2'), history, now_s=3.0)
    assert [move.target for move in moves] == ['a', 'a']


def test_rate_of_a_large_fleet_follows_its_rise_within_a_second():
    history = demand.ArrivalHistory(pools=frozenset('a'))
    for number in range(160):
        demand.record_arrival(history, 'a', number * 0.025, 10.0)
    steady = demand.expected_cores(history.by_pool['a'], 4.0)
    for number in range(90):
        demand.record_arrival(history, 'a', 4.0 + number * 0.0083, 10.0)
    risen = demand.expected_cores(history.by_pool['a'], 4.75)
    # The rate is three times as high, and machines take 1.5 s to arrive.
    assert risen > 2.5 * steady


def test_machines_on_their_way_do_not_count_towards_the_minimum():
    lacking = _pool('a', [_member('m1', busy=True)], busy_cores=90.0)
    incoming = [rebalancing.Member(f'c{i}', 8.0, None) for i in range(3)]
    other = _pool('b', [*incoming, *(_member(f'n{i}') for i in range(4))])
    other.min_up = 4
    assert not _decide([lacking, other])


def _needed(unavailable_cores, waiting_cores):
    """Return how many machines a pool of two eight-core machines needs."""
    members = [
        rebalancing.Member(f'm{number}', 8.0, None, unavailable_cores=cores)
        for number, cores in enumerate(unavailable_cores)
    ]
    rows = (
        [backlog.WaitingTasks(waiting_cores, 3.0, 0.0)]
        if waiting_cores
        else []
    )
    pool = rebalancing.PoolView(ids.ServiceId('a'), members, waiting=rows)
    decision = rebalancing.decide(
        [pool], {}, demand.ArrivalHistory(), MOVE_S, 10.0
    )
    return decision.needs['a'].now


def test_machines_make_up_for_capacity_that_workers_lack():
    """A pool waited for capacity that its idle machines didn't have.

    Its machines sufficed by their number, but their workers couldn't use all
    cores.
    """
    assert _needed((0.0, 0.0), 10.0) == 2
    assert _needed((8.0, 0.0), 10.0) == 3
    assert _needed((4.0, 4.0), 10.0) == 3
    # Where nothing waits, nothing is missing.
    assert _needed((8.0, 8.0), 0.0) == 0
