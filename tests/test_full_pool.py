"""Passes over a pool of hundreds of workers in a turn that it can't hold.

What callers saw: jobs that ended late as ends and answers of workers were read
late. Order of events: 150 steps wait for a pool that is full, something ends
somewhere up to a hundred times a second, and each time the leader looks for
room for each step at each worker.
Half of a leader's processor time went there on an emulated day of this kind.
The tests count looks. A pass with 150 steps that wait took 9.0 and 9.8 ms of
processor time with 276 full workers, 24 and 28 ms with 1,000 (two runs on a
busy machine, means of 20 passes); now 2.7 and 2.9 ms, 5.4 and 5.6 ms.
"""

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from tests import utils_jobs as build

QUEUES = {'q': build.queue()}


def _waiting(steps):
    jobs = [
        build.job(step, name=f'{number:016x}')
        for number, step in enumerate(steps)
    ]
    ledger = build.ledger_with(*jobs)
    ready = placing.by_service(ledger, QUEUES, lengths.Lengths(), 0.0, 1.0)
    return ready.get(build.POOL, [])


def _full_pool(count):
    """Build workers on which 500 of 8,000 thousandths of a core are free."""
    ledger = build.ledger_with(
        build.job(build.step(count, cpu=7500), name='f' * 16)
    )
    pool = [build.worker(f'w{number}') for number in range(count)]
    for index, worker in enumerate(pool):
        build.start(ledger, build.task(ledger, 0, index, 'f' * 16), worker)
    return pool


@pytest.mark.parametrize('count', [276, 1000])
def test_full_pool_is_looked_over_a_few_times_a_pass(monkeypatch, count):
    looks = []
    fits = placing.fits

    def note(room, group):
        looks.append(room)
        return fits(room, group)

    monkeypatch.setattr(placing, 'fits', note)
    steps = [build.step(8, cpu=1000 + number) for number in range(150)]
    assert not placing.decide(_waiting(steps), _full_pool(count), 1.0, 200)
    assert len(looks) <= 3 * count


STEPS = strategies.builds(
    build.step,
    strategies.integers(1, 6),
    cpu=strategies.integers(100, 9000),
    mem=strategies.integers(100, 70_000),
    lasting=strategies.booleans(),
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


def test_only_the_pools_that_are_asked_for_are_ranked():
    steps = [build.step(), build.step()]
    jobs = [
        build.job(step, name=f'{number:016x}')
        for number, step in enumerate(steps)
    ]
    ledger = build.ledger_with(*jobs)
    known = lengths.Lengths()
    assert placing.by_service(ledger, QUEUES, known, 0.0, 1.0, {build.POOL})
    assert not placing.by_service(ledger, QUEUES, known, 0.0, 1.0, {'other'})
