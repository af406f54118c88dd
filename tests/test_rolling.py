"""Tests of which machine of a wave goes down next."""

from oleanderwood.maintenance import disruption_budget
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build

MAINTENANCE_S = 2.0


def _machines(*names, state=fleet.State.UP):
    return {
        name: fleet.Machine(name, build.POOL, state, worker=f'w-{name}')
        for name in names
    }


def _progress(*names, most=2, time_s=60.0):
    wave = fleet.Wave(1, names, time_s, most)
    return rolling.Progress(wave, 0.0)


def _decide(progress, machines, workers=(), now_s=10.0):
    return rolling.decide(
        progress, machines, dict(workers), MAINTENANCE_S, now_s
    )


def _serving(*workers, tasks, **fields):
    """Let a step of long-running tasks work on some workers in turn."""
    step = build.step(tasks, lasting=True, **fields)
    ledger = build.ledger_with(build.job(step))
    for index in range(tasks):
        worker = workers[index % len(workers)]
        run = build.start(ledger, build.task(ledger, 0, index), worker)
        run.at_work_since_s = 1.0
    return ledger


def test_not_more_go_down_than_may():
    progress = _progress('a', 'b', 'c', most=2)
    decision = _decide(progress, _machines('a', 'b', 'c'))
    assert len(decision.order) == 2


def test_those_that_are_down_count():
    progress = _progress('a', 'b', 'c', most=2)
    progress.down['a'] = rolling.Ordered('w-a', 9.0, True)
    progress.begun.add('a')
    decision = _decide(progress, _machines('a', 'b', 'c'))
    assert len(decision.order) == 1


def test_one_that_an_earlier_leader_may_just_take_down_counts():
    """Its order may be under way while the list still shows it up."""
    progress = _progress('a', 'b', 'c', most=2)
    decision = rolling.decide(
        progress,
        _machines('a', 'b', 'c', 'd'),
        {},
        MAINTENANCE_S,
        10.0,
        perhaps_down={'a', 'd'},
    )
    assert len(decision.order) == 1


def test_one_ordered_by_an_earlier_leader_counts():
    progress = _progress('a', 'b', most=1)
    machines = _machines('b')
    machines.update(_machines('a', state=fleet.State.MAINTAINED))
    assert not _decide(progress, machines).order


def test_machine_with_work_is_closed_and_waited_for():
    progress = _progress('a')
    worker = build.worker()
    ledger = build.ledger_with(build.job())
    build.start(ledger, build.task(ledger), worker)
    decision = _decide(progress, _machines('a'), {'a': worker})
    assert not decision.order and decision.close == {'a'}
    workers_.lost(ledger, worker, 2.0)
    decision = _decide(progress, _machines('a'), {'a': worker})
    assert decision.order == ['a']


def test_machine_with_work_goes_down_when_time_is_short():
    progress = _progress('a', time_s=12.0)
    worker = build.worker()
    ledger = build.ledger_with(build.job())
    build.start(ledger, build.task(ledger), worker)
    decision = _decide(progress, _machines('a'), {'a': worker})
    assert decision.order == ['a']


def test_serving_tasks_stay_within_their_allowance():
    first, second = build.worker('w1'), build.worker('w2')
    _serving(first, second, tasks=2, most_away=1)
    assert disruption_budget.may_end_all(first, 10.0)
    disruption_budget.note_order(first, 10.0)
    assert not disruption_budget.may_end_all(second, 10.0)


def test_orders_of_one_pass_share_the_allowance():
    first, second = build.worker('w1'), build.worker('w2')
    _serving(first, second, tasks=2, most_away=1)
    progress = _progress('a', 'b', most=2)
    workers = {'a': first, 'b': second}
    decision = _decide(progress, _machines('a', 'b'), workers)
    done = []
    for name in decision.order:
        if disruption_budget.may_end_all(workers[name], 10.0):
            disruption_budget.note_order(workers[name], 10.0)
            done.append(name)
    assert len(done) == 1


def test_task_that_came_back_just_now_counts_as_away():
    worker = build.worker()
    ledger = _serving(worker, tasks=1)
    run = build.task(ledger).run
    run.at_work_since_s = 9.9
    assert not disruption_budget.at_work(build.task(ledger), 10.0)
    assert disruption_budget.at_work(build.task(ledger), 10.5)


def test_crowded_machine_has_a_task_relocated():
    first, second = build.worker('w1'), build.worker('w2')
    ledger = _serving(first, second, tasks=4, most_away=1)
    decision = _decide(_progress('a'), _machines('a'), {'a': first})
    assert not decision.order
    assert decision.relocate in set(first.runs.values())
    build.task(ledger, 0, 1).run.at_work_since_s = None
    decision = _decide(_progress('a'), _machines('a'), {'a': first})
    assert decision.relocate is None


def test_wave_is_completed_when_all_are_back():
    progress = _progress('a')
    progress.begun.add('a')
    progress.down['a'] = rolling.Ordered('w-a', 9.0, True)
    assert not _decide(progress, _machines('a')).completed
    rolling.note_returns(progress, _returned('a'), 11.2, MAINTENANCE_S)
    assert _decide(progress, _machines('a')).completed


def _returned(name):
    """Give the list with a machine in its next life."""
    machine = fleet.Machine(name, build.POOL, fleet.State.UP, worker='next')
    return {name: machine}


def test_machine_that_is_off_returns_by_time():
    progress = _progress('a')
    progress.down['a'] = rolling.Ordered('', 9.0, True)
    machines = {'a': fleet.Machine('a', build.POOL, fleet.State.UP)}
    rolling.note_returns(progress, machines, 10.0, MAINTENANCE_S)
    assert progress.down
    rolling.note_returns(progress, machines, 12.0, MAINTENANCE_S)
    assert not progress.down


def test_order_without_an_answer_stays_counted():
    progress = _progress('a')
    progress.down['a'] = rolling.Ordered('w-a', 9.0)
    rolling.note_returns(progress, _returned('a'), 20.0, MAINTENANCE_S)
    assert progress.down


def test_tasks_just_taken_over_from_an_earlier_leader_count_as_working():
    worker = build.worker('w1')
    ledger = _serving(worker, tasks=2, most_away=1)
    for index in range(2):
        build.task(ledger, 0, index).run.at_work_since_s = 9.95
    assert not disruption_budget.may_end_all(worker, 10.0)


def test_tasks_that_started_up_at_the_last_report_count_as_working():
    worker = build.worker('w1')
    ledger = _serving(worker, tasks=2, most_away=1)
    for index in range(2):
        build.task(ledger, 0, index).run.at_work_since_s = None
    assert not disruption_budget.may_end_all(worker, 10.0)


def test_machine_whose_worker_has_not_answered_stays_up():
    worker = build.worker('w1')
    worker.fenced = False
    decision = _decide(_progress('a'), _machines('a'), {'a': worker})
    assert not decision.order
    worker.fenced = True
    worker.silent_since_s = 9.0
    decision = _decide(_progress('a'), _machines('a'), {'a': worker})
    assert not decision.order
    worker.silent_since_s = None
    assert _decide(_progress('a'), _machines('a'), {'a': worker}).order


def _bound(progress, machines, workers=(), now_s=10.0, **fields):
    return rolling.decide(
        progress,
        machines,
        dict(workers),
        MAINTENANCE_S,
        now_s,
        rolling.Bounds(**fields),
    )


def test_pool_keeps_the_machines_that_operators_promise():
    progress = _progress('a', 'b', most=2)
    machines = _machines('a', 'b', 'c')
    kept = {build.POOL: 2}
    decision = _bound(progress, machines, min_up=kept)
    assert decision.order == ['a']
    assert decision.waits['b'] == 'its pool has no machine to spare'
    progress.down['c'] = rolling.Ordered('w-c', 9.0, True)
    assert not _bound(progress, machines, min_up=kept).order


def test_nothing_goes_down_while_operators_hold_maintenance():
    progress = _progress('a', time_s=10.5)
    assert not _bound(progress, _machines('a'), hold=True).order


def test_quiet_hours_bind_a_wave_until_it_must_hurry():
    progress = _progress('a', time_s=60.0)
    assert not _bound(progress, _machines('a'), quiet=True).order
    late = _bound(progress, _machines('a'), now_s=58.0, quiet=True)
    assert late.order == ['a']


def test_pool_in_its_turn_is_spared_until_the_wave_must_hurry():
    progress = _progress('a', 'b', most=2, time_s=60.0)
    machines = _machines('a', 'b')
    needed = {build.POOL: 2}
    decision = _bound(progress, machines, needed=needed)
    assert not decision.order and not decision.close
    late = _bound(progress, machines, now_s=58.0, needed=needed)
    assert late.order == ['a', 'b']


def test_no_more_machines_are_closed_than_a_pool_can_spare():
    progress = _progress('a', 'b', 'c', most=3)
    workers = {}
    for name in 'abc':
        worker = build.worker(f'w-{name}')
        ledger = build.ledger_with(build.job())
        build.start(ledger, build.task(ledger), worker)
        workers[name] = worker
    decision = _bound(
        progress, _machines('a', 'b', 'c'), workers, needed={build.POOL: 2}
    )
    assert len(decision.close) == 1


def test_machines_with_long_running_tasks_go_before_idle_ones():
    """Others of their step wait for them, and idle ones for nobody."""
    serving = build.worker('w-c')
    _serving(serving, tasks=1, most_away=2)
    idle = build.worker('w-a')
    decision = _decide(
        _progress('a', 'b', 'c', most=1),
        _machines('a', 'b', 'c'),
        {'a': idle, 'c': serving},
    )
    assert decision.order == ['c']
