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


def _decide(members, count=9, wanted=9, rules=draining.Rules()):
    surplus = draining.Surplus(SERVICE, members, count)
    return draining.decide([surplus], wanted, NOW_S, rules)


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


KEEPING = draining.measured_rules(900.0, 600.0)


def test_drained_machine_is_not_released_for_one_that_is_sooner_empty():
    """Guards against machines that are chosen and released in turn."""
    sooner = {'guess_ms': 500.0}
    members = [_member('m1', SAVED, SAVED), _member('m2', sooner)]
    members[0].worker.is_reclaimed = True
    assert _names(members, wanted=1) == ['m2']
    assert _names(members, wanted=1, rules=KEEPING) == ['m1']
    # It stays even where nobody asks any more, or a task takes longer.
    assert _names(members, wanted=0, rules=KEEPING) == ['m1']
    slower = _member('m3', LONG)
    slower.worker.is_reclaimed = True
    assert _names([slower], wanted=1, rules=KEEPING) == ['m3']


def test_drained_machines_count_towards_what_is_wanted():
    """Guards against more machines drained than other pools lack."""
    members = [_member(f'm{i}', SAVED) for i in range(6)]
    for member in members[:2]:
        member.worker.is_reclaimed = True
    assert _names(members, wanted=3, rules=KEEPING) == ['m0', 'm1', 'm2']


def test_pool_that_needs_its_machines_gets_drained_ones_back():
    """Guards a pool against draining below what it needs or is granted."""
    members = [_member(f'm{i}', SAVED) for i in range(3)]
    for member in members:
        member.worker.is_reclaimed = True
    assert len(_names(members, count=1, rules=KEEPING)) == 1
    assert _names(members, count=-1, rules=KEEPING) == []


def test_stop_that_takes_long_has_to_save_more():
    """Guards against stops that cost a task more than they save others."""
    members = [_member('m1', {'guess_ms': 1700.0, 'checkpoints': True})]
    (today,) = _decide(members)
    (measured,) = _decide(members, rules=KEEPING)
    # 1.5 s are left; a stop and a restore take as long.
    assert today.stops and not measured.stops


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
