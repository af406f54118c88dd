"""Passes over a pool of hundreds of workers that a burst has filled.

Guards against job ends that come late because the leader reads workers' ends
and answers late: 150 steps wait for a full pool, something ends up to a
hundred times a second, and each time every step is checked against every
worker. On an emulated day of this kind, half of a leader's CPU time was spent
there.

The tests count checks. CPU time of a pass with 150 waiting steps (two runs on
a busy machine, means of 20 passes) fell from 9.0 and 9.8 ms to 2.7 and 2.9 ms
with 276 full workers, and from 24 and 28 ms to 5.4 and 5.6 ms with 1,000.
"""

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import waiting_order
from tests import utils_jobs as build

QUEUES = {'q': build.queue()}


def _waiting(steps):
    jobs = [
        build.job(step, name=f'{number:016x}')
        for number, step in enumerate(steps)
    ]
    ledger = build.ledger_with(*jobs)
    ready = waiting_order.ready_by_pool(
        ledger, QUEUES, lengths.Lengths(), 0.0, 1.0
    )
    return ready.get(build.POOL, [])


def _full_pool(count):
    """Build workers with 500 of 8,000 millicores free."""
    ledger = build.ledger_with(
        build.job(build.step(count, cpu=7500), name='f' * 16)
    )
    pool = [build.worker(f'w{number}') for number in range(count)]
    for index, worker in enumerate(pool):
        build.start(ledger, build.task(ledger, 0, index, 'f' * 16), worker)
    return pool


@pytest.mark.parametrize('count', [276, 1000])
def test_full_pool_is_checked_a_few_times_a_pass(monkeypatch, count):
    checks = []
    fits = placing.fits

    def count_check(room, group):
        checks.append(room)
        return fits(room, group)

    monkeypatch.setattr(placing, 'fits', count_check)
    steps = [build.step(8, cpu=1000 + number) for number in range(150)]
    assert not placing.decide(_waiting(steps), _full_pool(count), 1.0, 200)
    assert len(checks) <= 3 * count


STEPS = strategies.builds(
    build.step,
    strategies.integers(1, 6),
    cpu=strategies.integers(100, 9000),
    mem=strategies.integers(100, 70_000),
    is_long_running=strategies.booleans(),
    uses_leftover=strategies.booleans(),
    gang=strategies.booleans(),
    label=strategies.sampled_from(['', 'a', 'b']),
    max_per_worker=strategies.integers(0, 2),
)


@hypothesis.given(
    strategies.lists(STEPS, min_size=1, max_size=12),
    strategies.lists(strategies.booleans(), min_size=1, max_size=4),
)
def test_what_is_known_not_to_fit_changes_no_decision(steps, slow):
    def decide():
        pool = [build.worker(f'w{number}') for number in range(len(slow))]
        for worker, is_slow in zip(pool, slow):
            worker.slow = is_slow
        placed = placing.decide(_waiting(steps), pool, 1.0, 100)
        return [(row.task.name, row.worker.entry.worker) for row in placed]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(placing, '_is_unmet', lambda unmet, group: False)
        looked_everywhere = decide()
    assert decide() == looked_everywhere


def test_only_requested_pools_are_ranked():
    steps = [build.step(), build.step()]
    jobs = [
        build.job(step, name=f'{number:016x}')
        for number, step in enumerate(steps)
    ]
    ledger = build.ledger_with(*jobs)
    known = lengths.Lengths()
    assert waiting_order.ready_by_pool(
        ledger, QUEUES, known, 0.0, 1.0, {build.POOL}
    )
    assert not waiting_order.ready_by_pool(
        ledger, QUEUES, known, 0.0, 1.0, {'other'}
    )
