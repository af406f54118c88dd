"""Tests of leftover runs that are starved by other tasks on their worker."""

from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.pools import starvation
from tests import utils_jobs as build

TASK_S = 1.0
"""Duration of a task in seconds."""

NOW_S = 1.0 + 2 * starvation.WINDOW_S


def _length_s(_task):
    return TASK_S


def _next_to_long_running_task(with_target=True, percent=10.0, **fields):
    """Build a worker with a long-running task and a leftover run.

    :param with_target: the long-running task has a latency target
    :param percent: progress of the leftover run within its window
    """
    long_running = build.step(
        is_long_running=True, latency_target_ms=100.0 * with_target
    )
    leftover = build.step(uses_leftover=True, **fields)
    ledger = build.ledger_with(build.job(long_running, leftover))
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0), worker)
    run = build.start(ledger, build.task(ledger, 1), worker)
    assert starvation.measure(worker, _length_s, 1.0) == []
    run.percent = percent
    return ledger, worker


def _measured(worker, now_s=NOW_S):
    return starvation.measure(worker, _length_s, now_s)


def test_run_without_progress_next_to_a_latency_task_is_starved():
    _ledger, worker = _next_to_long_running_task()
    rows = _measured(worker)
    assert [row.task.group.number for row in rows] == [1]
    assert rows[0].left_s == 90.0


def test_nothing_is_starved_within_the_window():
    _ledger, worker = _next_to_long_running_task(percent=0.0)
    assert _measured(worker, 1.0 + starvation.WINDOW_S / 2) == []


def test_run_that_progresses_is_not_starved():
    _ledger, worker = _next_to_long_running_task(percent=95.0)
    assert _measured(worker) == []


def test_slow_run_without_contention_is_not_starved():
    """Without contention, another worker would not make the run faster."""
    _ledger, worker = _next_to_long_running_task(with_target=False)
    assert _measured(worker) == []


def test_run_without_any_cpu_is_starved():
    """Long-running tasks use all of the worker's CPU."""
    long_running = build.step(is_long_running=True, cpu=8000)
    ledger = build.ledger_with(
        build.job(long_running, build.step(uses_leftover=True))
    )
    worker = build.worker()
    for number in (0, 1):
        build.start(ledger, build.task(ledger, number), worker)
    assert _measured(worker, 1.0) == []
    assert [row.left_s for row in _measured(worker)] == [float('inf')]


def test_starved_run_moves_to_a_worker_without_latency_targets():
    _ledger, worker = _next_to_long_running_task()
    rows = _measured(worker)
    busy = _next_to_long_running_task()[1]
    assert starvation.runs_to_relocate(rows, [busy], NOW_S) == []
    leaving = starvation.runs_to_relocate(
        rows, [busy, build.worker('w2')], NOW_S
    )
    assert leaving == [rows[0].task]


def test_task_is_relocated_a_limited_number_of_times():
    _ledger, worker = _next_to_long_running_task()
    rows = _measured(worker)
    rows[0].task.relocated = starvation.MAX_RELOCATIONS
    assert starvation.runs_to_relocate(rows, [build.worker('w2')], NOW_S) == []


def test_gang_is_relocated_whole_or_not_at_all():
    latency_step = build.step(is_long_running=True, latency_target_ms=100.0)
    gang = build.step(2, uses_leftover=True, gang=True, mem=600)
    ledger = build.ledger_with(build.job(latency_step, gang))
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0), worker)
    for index in (0, 1):
        build.start(ledger, build.task(ledger, 1, index), worker)
    _measured(worker, 1.0)
    rows = _measured(worker)
    small = build.worker('w2', capacity=_capacity(1000))
    assert starvation.runs_to_relocate(rows, [small], NOW_S) == []
    large = build.worker('w3', capacity=_capacity(1200))
    leaving = starvation.runs_to_relocate(rows, [large], NOW_S)
    assert [task.index for task in leaving] == [0, 1]


def _capacity(memory_mb):
    return build.entry().capacity.__class__(8000, memory_mb)


def _member(name, label, service=build.POOL, idle=True):
    worker = build.worker(name, service=service)
    if not idle:
        ledger = build.ledger_with(build.job(build.step(is_long_running=True)))
        build.start(ledger, build.task(ledger), worker)
    return rebalancing.Member(name, 8.0, worker, labels=(label,))


def _moves(pools, standby=()):
    rows = {ids.ServiceId('standby'): list(standby)}
    decision = rebalancing.decide(
        pools, rows, demand.ArrivalHistory(), 1.5, NOW_S
    )
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
    """Each pool had kept the kind that the other one waited for."""
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
    decision = rebalancing.decide(
        [pool], rows, demand.ArrivalHistory(), 1.5, 1e3
    )
    assert {move.machine for move in decision.moves} <= {'w4', 'w5'}
