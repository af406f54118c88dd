"""Tests of which busy machines are drained for another pool."""

from oleanderwood.capacity import draining
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from tests import utils_jobs as build

NOW_S = 10.0
SERVICE = ids.ServiceId('drafts')


def _member(name, *tasks, fixed=False):
    """Build a machine that runs one job for each task, all started recently.

    :param tasks: fields in which each task's step differs from the default
    """
    worker = build.worker(f'w-{name}')
    for number, fields in enumerate(tasks):
        job = f'{name}-{number}'
        ledger = build.ledger_with(build.job(build.step(**fields), name=job))
        task = build.task(ledger, name=job)
        build.start(ledger, task, worker, NOW_S - 0.2)
    return rebalancing.Member(name, 8.0, worker, fixed)


def _decide(members, count=9, wanted=9):
    surplus = draining.Surplus(SERVICE, members, count)
    return draining.decide([surplus], wanted, NOW_S)


def _names(members, **numbers):
    return [row.machine for row in _decide(members, **numbers)]


LONG = {'guess_ms': 5000.0}
SAVED = {'guess_ms': 5000.0, 'checkpoints': True}
SHORT = {'guess_ms': 700.0}


def test_task_with_checkpoints_makes_room_at_once():
    (emptied,) = _decide([_member('m1', SAVED)])
    assert [task.name for task in emptied.stops] == ['m1-0.0.0.0']


def test_task_that_would_lose_its_work_is_never_stopped():
    assert _names([_member('m1', LONG)]) == []
    (emptied,) = _decide([_member('m1', SHORT)])
    assert emptied.stops == []


def test_task_that_ends_soon_is_left_to_end():
    soon = {'guess_ms': 900.0, 'checkpoints': True}
    (emptied,) = _decide([_member('m1', soon)])
    assert emptied.stops == []


def test_long_running_tasks_hold_their_machine():
    long_lived = {'is_long_running': True, 'checkpoints': True}
    assert _names([_member('m1', long_lived, SAVED)]) == []


def test_gangs_hold_their_machine():
    assert _names([_member('m1', {**SAVED, 'gang': True})]) == []


def test_machine_of_a_wave_is_left_alone():
    assert _names([_member('m1', SAVED, fixed=True)]) == []


def test_machines_with_the_least_work_go_first():
    members = [
        _member('m1', SAVED, SAVED),
        _member('m2', SAVED),
        _member('m3', SHORT, SHORT, SHORT),
    ]
    assert _names(members, wanted=2) == ['m2', 'm1']


def test_pool_gives_no_more_than_its_surplus():
    members = [_member(f'm{i}', SAVED) for i in range(4)]
    assert len(_decide(members, count=1)) == 1
    assert _decide(members, count=-2) == []
    assert _decide(members, wanted=0) == []


def test_machine_that_is_being_emptied_stays_chosen():
    members = [_member('m1', SAVED), _member('m2', SAVED, SAVED)]
    chosen = _names(members, wanted=1)
    members[0].worker.is_reclaimed = True
    assert _names(members, wanted=1) == chosen == ['m1']


def test_pool_in_need_gets_machines_that_a_past_burst_holds():
    past = rebalancing.PoolView(
        ids.ServiceId('past'),
        [_member(f'p{i}', {**SAVED, 'cpu': 500}) for i in range(6)],
        busy_cores=3.0,
    )
    lacking = rebalancing.PoolView(
        ids.ServiceId('now'), [_member('n1', LONG)], busy_cores=20.0
    )
    standby = {ids.ServiceId('off'): []}
    decision = rebalancing.decide(
        [past, lacking],
        standby,
        rebalancing.demand.ArrivalHistory(),
        1.5,
        NOW_S,
    )
    # Twenty cores take three machines of eight; one is there.
    assert len(decision.to_drain) == 2
    assert not decision.moves


def _preempting(first_priority):
    """Count the machines drained for a pool of the given priority."""
    past = rebalancing.PoolView(
        ids.ServiceId('past'),
        [_member(f'p{i}', {**SAVED, 'cpu': 7000}) for i in range(10)],
        busy_cores=70.0,
        priority=1,
    )
    lacking = rebalancing.PoolView(
        ids.ServiceId('now'),
        [_member('n1', LONG)],
        busy_cores=40.0,
        priority=first_priority,
    )
    decision = rebalancing.decide(
        [past, lacking],
        {ids.ServiceId('off'): []},
        rebalancing.demand.ArrivalHistory(),
        1.5,
        NOW_S,
    )
    return len(decision.to_drain)


def test_pool_whose_work_goes_first_gets_machines_that_are_needed_elsewhere():
    # The other needs all its ten; it keeps six tenths of eleven.
    assert _preempting(first_priority=0) == 3
    assert _preempting(first_priority=1) == 0
