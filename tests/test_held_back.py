"""Runs that use leftovers and stand still beside others."""

from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.pools import held_back
from tests import utils_jobs as build

WHOLE_S = 1.0
"""What a task takes."""

NOW_S = 1.0 + 2 * held_back.WINDOW_S


def _length_s(_task):
    return WHOLE_S


def _beside(serving=True, percent=10.0, **fields):
    """Build a worker with a run that has got on in its window or hasn't."""
    first = build.step(lasting=True, latency_target_ms=100.0 * serving)
    using = build.step(uses_leftover=True, **fields)
    ledger = build.ledger_with(build.job(first, using))
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0), worker)
    run = build.start(ledger, build.task(ledger, 1), worker)
    assert held_back.measure(worker, _length_s, 1.0) == []
    run.percent = percent
    return ledger, worker


def _measured(worker, now_s=NOW_S):
    return held_back.measure(worker, _length_s, now_s)


def test_run_without_headway_beside_a_serving_task_is_held_back():
    _ledger, worker = _beside()
    rows = _measured(worker)
    assert [row.task.group.number for row in rows] == [1]
    assert rows[0].left_s == 90.0


def test_nothing_is_told_within_the_window():
    _ledger, worker = _beside(percent=0.0)
    assert _measured(worker, 1.0 + held_back.WINDOW_S / 2) == []


def test_run_that_gets_on_is_not_held_back():
    _ledger, worker = _beside(percent=95.0)
    assert _measured(worker) == []


def test_slow_run_where_nothing_serves_is_left_alone():
    """Whatever makes it slow there isn't found elsewhere either."""
    _ledger, worker = _beside(serving=False)
    assert _measured(worker) == []


def test_run_without_any_processor_time_is_held_back():
    """Tasks that last have taken all of it."""
    whole = build.step(lasting=True, cpu=8000)
    ledger = build.ledger_with(
        build.job(whole, build.step(uses_leftover=True))
    )
    worker = build.worker()
    for number in (0, 1):
        build.start(ledger, build.task(ledger, number), worker)
    assert _measured(worker, 1.0) == []
    assert [row.left_s for row in _measured(worker)] == [float('inf')]


def test_it_leaves_for_a_worker_where_nothing_serves():
    _ledger, worker = _beside()
    rows = _measured(worker)
    serving = _beside()[1]
    assert held_back.to_leave(rows, [serving], NOW_S) == []
    leaving = held_back.to_leave(rows, [serving, build.worker('w2')], NOW_S)
    assert leaving == [rows[0].task]


def test_it_leaves_so_many_times_at_most():
    _ledger, worker = _beside()
    rows = _measured(worker)
    rows[0].task.relocated = held_back.MOST_RELOCATIONS
    assert held_back.to_leave(rows, [build.worker('w2')], NOW_S) == []


def test_gang_leaves_whole_or_not_at_all():
    serving = build.step(lasting=True, latency_target_ms=100.0)
    gang = build.step(2, uses_leftover=True, gang=True, mem=600)
    ledger = build.ledger_with(build.job(serving, gang))
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0), worker)
    for index in (0, 1):
        build.start(ledger, build.task(ledger, 1, index), worker)
    _measured(worker, 1.0)
    rows = _measured(worker)
    small = build.worker('w2', capacity=_capacity(1000))
    assert held_back.to_leave(rows, [small], NOW_S) == []
    large = build.worker('w3', capacity=_capacity(1200))
    leaving = held_back.to_leave(rows, [large], NOW_S)
    assert [task.index for task in leaving] == [0, 1]


def _capacity(memory_mb):
    return build.entry().capacity.__class__(8000, memory_mb)


def _member(name, label, service=build.POOL, idle=True):
    worker = build.worker(name, service=service)
    if not idle:
        ledger = build.ledger_with(build.job(build.step(lasting=True)))
        build.start(ledger, build.task(ledger), worker)
    return rebalancing.Member(name, 8.0, worker, labels=(label,))


def _moves(pools, standby=()):
    rows = {ids.ServiceId('standby'): list(standby)}
    decision = rebalancing.decide(pools, rows, demand.Turns(), 1.5, NOW_S)
    return [
        (move.machine, move.target)
        for move in decision.moves
        if move.target != 'standby'
    ]


def test_pool_gets_a_machine_with_the_label_that_it_lacks():
    pool = rebalancing.PoolView(build.POOL, [_member('w1', 'a', idle=False)])
    pool.lacks_labels.add('b')
    standby = [_member('w2', 'a'), _member('w3', 'b')]
    assert _moves([pool], standby) == [('w3', build.POOL)]


def test_two_pools_exchange_the_kinds_that_they_lack():
    """Each had kept what the other one waited for."""
    other = ids.ServiceId('finals')
    pools = []
    for service, label, lacked in (
        (build.POOL, 'a', 'b'),
        (other, 'b', 'a'),
    ):
        members = [_member(f'{label}0', label, service, idle=False)]
        members += [_member(f'{label}{i}', label, service) for i in (1, 2, 3)]
        view = rebalancing.PoolView(service, members)
        view.lacks_labels.add(lacked)
        pools.append(view)
    targets = {(name[0], target) for name, target in _moves(pools)}
    assert targets == {('b', build.POOL), ('a', other)}


def test_machine_with_a_lacked_label_stays():
    here = _member('w2', 'b')
    pool = rebalancing.PoolView(build.POOL, [here, _member('w3', 'b')])
    pool.members += [_member('w4', 'a'), _member('w5', 'a')]
    pool.lacks_labels.add('b')
    rows = {ids.ServiceId('standby'): []}
    decision = rebalancing.decide([pool], rows, demand.Turns(), 1.5, 1e3)
    assert {move.machine for move in decision.moves} <= {'w4', 'w5'}
