"""Tests of how the tasks of a job are spread over racks."""

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import spreading
from tests import utils_jobs as build

SERVING = {'is_long_running': True}


def _pool(count=9, racks=3):
    """Build workers whose first three are in one rack, and so on."""
    return [
        build.worker(f'w{n}', labels=('a', f'r{n * racks // count}'))
        for n in range(count)
    ]


def _place(steps, pool, is_spread=True):
    jobs = [
        build.job(step, name=f'{number:016x}')
        for number, step in enumerate(steps)
    ]
    ledger = build.ledger_with(*jobs)
    groups = list(ledger.open_groups)
    return placing.decide(groups, pool, 1.0, 100, is_spread=is_spread)


def _tasks_by_rack(decided):
    found = {}
    for row in decided:
        rack = reports.rack(row.worker.entry)
        found[rack] = found.get(rack, 0) + 1
    return sorted(found.values())


@pytest.mark.parametrize(
    ('racks', 'machines', 'needed', 'expected'),
    [
        (['r1', 'r2', 'r3'], 3, 3, True),
        (['r1', 'r2', 'r3'], 4, 3, False),
        (['r1', 'r2', 'r3'], 3, None, False),
        (['r1', 'r2', 'r2'], 3, 3, False),
        (['r1', 'r2', ''], 3, 3, False),
    ],
)
def test_spreading_applies_only_where_packing_is_worth_nothing(
    racks, machines, needed, expected
):
    """Guards against machines that stay occupied where others need them."""
    assert spreading.applies(racks, machines, needed) is expected


def test_serving_tasks_are_on_several_racks():
    """Guards against a service that stops with one rack."""
    step = build.step(6, cpu=2000, **SERVING)
    assert _tasks_by_rack(_place([step], _pool(), False)) == [6]
    assert _tasks_by_rack(_place([step], _pool())) == [3, 3]


def test_tasks_that_run_already_count():
    """Guards against a restart into the rack that holds the others."""
    pool = _pool(3)
    ledger = build.ledger_with(build.job(build.step(2, cpu=5000, **SERVING)))
    build.start(ledger, build.task(ledger), pool[0])
    groups = list(ledger.open_groups)
    (row,) = placing.decide(groups, pool, 1.0, 100, is_spread=True)
    assert row.worker is not pool[0]


@pytest.mark.parametrize(
    'fields',
    [
        {'near_rack': 'r1', **SERVING},
        {'gang': True, **SERVING},
        {'gang': True, 'one_rack': True, **SERVING},
        {},
    ],
)
def test_steps_that_stay_together_are_placed_as_before(fields):
    """Guards against gangs over racks, and tasks far from their data."""
    step = build.step(6, cpu=2000, **fields)
    spread, packed = (
        [row.worker.entry.worker for row in _place([step], _pool(), value)]
        for value in (True, False)
    )
    assert spread == packed


def test_batch_tasks_are_spread_where_that_is_set(monkeypatch):
    """Guards the comparison of both against a setting without effect."""
    monkeypatch.setattr(spreading, 'SPREADS_BATCH', True)
    assert _tasks_by_rack(_place([build.step(6)], _pool())) == [2, 2, 2]


@hypothesis.given(
    strategies.lists(strategies.integers(1, 9), min_size=1, max_size=6),
    strategies.integers(500, 6000),
    strategies.lists(strategies.integers(0, 7000), min_size=9, max_size=9),
)
def test_spreading_needs_no_more_workers_for_long_running_tasks(
    tasks, cpu, busy
):
    """Guards against machines that can't be given away because of it."""

    def holders(is_spread):
        pool = _pool()
        for worker, used in zip(pool, busy):
            step = build.step(cpu=used)
            name = f'{9000 + len(worker.entry.worker):016x}'
            ledger = build.ledger_with(build.job(step, name=name))
            build.start(ledger, build.task(ledger, name=name), worker)
        steps = [build.step(count, cpu=cpu, **SERVING) for count in tasks]
        decided = _place(steps, pool, is_spread)
        return len(decided), {row.worker.entry.worker for row in decided}

    packed_tasks, packed = holders(False)
    spread_tasks, spread = holders(True)
    assert spread_tasks == packed_tasks
    assert len(spread) <= len(packed)
