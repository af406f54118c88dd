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


def _progress(*names, max_down=2, time_s=60.0):
    wave = fleet.Wave(1, names, time_s, max_down)
    return rolling.Progress(wave, 0.0)


def _decide(progress, machines, workers=(), now_s=10.0):
    return rolling.decide(
        progress, machines, dict(workers), MAINTENANCE_S, now_s
    )


def _start_long_running(*workers, tasks, **fields):
    """Start a step of long-running tasks on some workers, round robin."""
    step = build.step(tasks, is_long_running=True, **fields)
    ledger = build.ledger_with(build.job(step))
    for index in range(tasks):
        worker = workers[index % len(workers)]
        run = build.start(ledger, build.task(ledger, 0, index), worker)
        run.serving_since_s = 1.0
    return ledger


def test_no_more_machines_go_down_than_allowed():
    progress = _progress('a', 'b', 'c', max_down=2)
    decision = _decide(progress, _machines('a', 'b', 'c'))
    assert len(decision.order) == 2


def test_machines_that_are_down_count():
    progress = _progress('a', 'b', 'c', max_down=2)
    progress.down['a'] = rolling.MaintenanceOrder('w-a', 9.0, True)
    progress.begun.add('a')
    decision = _decide(progress, _machines('a', 'b', 'c'))
    assert len(decision.order) == 1


def test_machine_that_a_previous_leader_may_have_ordered_down_counts():
    """Its order may be in progress while the list shows the machine up."""
    progress = _progress('a', 'b', 'c', max_down=2)
    for name in ('a', 'd'):
        progress.down[name] = rolling.MaintenanceOrder('', 10.0)
    decision = _decide(progress, _machines('a', 'b', 'c'))
    assert len(set(decision.order) - {'a'}) == 1


def test_machine_ordered_down_by_a_previous_leader_counts():
    progress = _progress('a', 'b', max_down=1)
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
    workers_.end_all_runs(ledger, worker, 2.0)
    decision = _decide(progress, _machines('a'), {'a': worker})
    assert decision.order == ['a']


def test_machine_with_work_goes_down_when_time_is_short():
    progress = _progress('a', time_s=12.0)
    worker = build.worker()
    ledger = build.ledger_with(build.job())
    build.start(ledger, build.task(ledger), worker)
    decision = _decide(progress, _machines('a'), {'a': worker})
    assert decision.order == ['a']


def test_long_running_tasks_stay_within_their_budget():
    first, second = build.worker('w1'), build.worker('w2')
    _start_long_running(first, second, tasks=2, max_unavailable=1)
    assert disruption_budget.may_interrupt_all(first, 10.0)
    disruption_budget.mark_unavailable(first, 10.0)
    assert not disruption_budget.may_interrupt_all(second, 10.0)


def test_orders_of_one_pass_share_the_budget():
    first, second = build.worker('w1'), build.worker('w2')
    _start_long_running(first, second, tasks=2, max_unavailable=1)
    progress = _progress('a', 'b', max_down=2)
    workers = {'a': first, 'b': second}
    decision = _decide(progress, _machines('a', 'b'), workers)
    done = []
    for name in decision.order:
        if disruption_budget.may_interrupt_all(workers[name], 10.0):
            disruption_budget.mark_unavailable(workers[name], 10.0)
            done.append(name)
    assert len(done) == 1


def test_task_that_came_back_just_now_counts_as_away():
    worker = build.worker()
    ledger = _start_long_running(worker, tasks=1)
    run = build.task(ledger).run
    run.serving_since_s = 9.9
    assert not disruption_budget.is_working(build.task(ledger), 10.0)
    assert disruption_budget.is_working(build.task(ledger), 10.5)


def test_machine_with_too_many_tasks_of_a_step_has_one_relocated():
    first, second = build.worker('w1'), build.worker('w2')
    ledger = _start_long_running(first, second, tasks=4, max_unavailable=1)
    decision = _decide(_progress('a'), _machines('a'), {'a': first})
    assert not decision.order
    assert decision.relocate in set(first.runs.values())
    build.task(ledger, 0, 1).run.serving_since_s = None
    decision = _decide(_progress('a'), _machines('a'), {'a': first})
    assert decision.relocate is None


def test_wave_is_completed_when_all_are_back():
    progress = _progress('a')
    progress.begun.add('a')
    progress.down['a'] = rolling.MaintenanceOrder('w-a', 9.0, True)
    assert not _decide(progress, _machines('a')).completed
    rolling.remove_returned(
        progress, _list_with_new_worker('a'), 11.2, MAINTENANCE_S
    )
    assert _decide(progress, _machines('a')).completed


def _list_with_new_worker(name):
    """Return the list with a machine that has a new worker."""
    machine = fleet.Machine(name, build.POOL, fleet.State.UP, worker='next')
    return {name: machine}


def test_machine_that_is_off_returns_by_time():
    progress = _progress('a')
    progress.down['a'] = rolling.MaintenanceOrder('', 9.0, True)
    machines = {'a': fleet.Machine('a', build.POOL, fleet.State.UP)}
    rolling.remove_returned(progress, machines, 10.0, MAINTENANCE_S)
    assert progress.down
    rolling.remove_returned(progress, machines, 12.0, MAINTENANCE_S)
    assert not progress.down


def test_order_without_an_answer_stays_counted():
    progress = _progress('a')
    progress.down['a'] = rolling.MaintenanceOrder('w-a', 9.0)
    rolling.remove_returned(
        progress, _list_with_new_worker('a'), 20.0, MAINTENANCE_S
    )
    assert progress.down


def test_tasks_taken_over_from_a_previous_leader_count_as_working():
    worker = build.worker('w1')
    ledger = _start_long_running(worker, tasks=2, max_unavailable=1)
    for index in range(2):
        build.task(ledger, 0, index).run.serving_since_s = 9.95
    assert not disruption_budget.may_interrupt_all(worker, 10.0)


def test_tasks_that_started_up_at_the_last_report_count_as_working():
    worker = build.worker('w1')
    ledger = _start_long_running(worker, tasks=2, max_unavailable=1)
    for index in range(2):
        build.task(ledger, 0, index).run.serving_since_s = None
    assert not disruption_budget.may_interrupt_all(worker, 10.0)


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


def _decide_within(progress, machines, workers=(), now_s=10.0, **fields):
    return rolling.decide(
        progress,
        machines,
        dict(workers),
        MAINTENANCE_S,
        now_s,
        rolling.Bounds(**fields),
    )


def test_pool_keeps_the_machines_that_operators_promise():
    progress = _progress('a', 'b', max_down=2)
    machines = _machines('a', 'b', 'c')
    required = {build.POOL: 2}
    decision = _decide_within(progress, machines, min_up=required)
    assert decision.order == ['a']
    assert decision.waits['b'] == 'its pool has no machine to spare'
    progress.down['c'] = rolling.MaintenanceOrder('w-c', 9.0, True)
    assert not _decide_within(progress, machines, min_up=required).order


def test_nothing_goes_down_while_operators_hold_maintenance():
    progress = _progress('a', time_s=10.5)
    assert not _decide_within(progress, _machines('a'), hold=True).order


def test_quiet_hours_bind_a_wave_until_it_must_hurry():
    progress = _progress('a', time_s=60.0)
    assert not _decide_within(progress, _machines('a'), quiet=True).order
    near_deadline = _decide_within(
        progress, _machines('a'), now_s=58.0, quiet=True
    )
    assert near_deadline.order == ['a']


def test_busy_pool_is_spared_until_the_wave_must_hurry():
    progress = _progress('a', 'b', max_down=2, time_s=60.0)
    machines = _machines('a', 'b')
    needed = {build.POOL: 2}
    decision = _decide_within(progress, machines, needed=needed)
    assert not decision.order and not decision.close
    near_deadline = _decide_within(
        progress, machines, now_s=58.0, needed=needed
    )
    assert near_deadline.order == ['a', 'b']


def test_no_more_machines_are_closed_than_a_pool_can_spare():
    progress = _progress('a', 'b', 'c', max_down=3)
    workers = {}
    for name in 'abc':
        worker = build.worker(f'w-{name}')
        ledger = build.ledger_with(build.job())
        build.start(ledger, build.task(ledger), worker)
        workers[name] = worker
    decision = _decide_within(
        progress, _machines('a', 'b', 'c'), workers, needed={build.POOL: 2}
    )
    assert len(decision.close) == 1


def test_machines_with_long_running_tasks_go_before_idle_ones():
    """Other machines of their step wait for them; none waits for idle ones."""
    serving = build.worker('w-c')
    _start_long_running(serving, tasks=1, max_unavailable=2)
    idle = build.worker('w-a')
    decision = _decide(
        _progress('a', 'b', 'c', max_down=1),
        _machines('a', 'b', 'c'),
        {'a': idle, 'c': serving},
    )
    assert decision.order == ['c']
