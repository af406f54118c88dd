"""Tests of which waiting task starts on which worker."""

import hypothesis
from hypothesis import strategies

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import waiting_order
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build


def _decide(ledger, pool, now_s=1.0):
    queues = {'q': build.queue()}
    ready = waiting_order.ready_by_pool(
        ledger, queues, lengths.Lengths(), 0.0, now_s
    )
    return placing.decide(ready.get(build.POOL, []), pool, now_s, 100)


def test_no_worker_gets_more_than_it_holds():
    ledger = build.ledger_with(build.job(build.step(10, cpu=3000)))
    pool = [build.worker('w1'), build.worker('w2')]
    decided = _decide(ledger, pool)
    assert len(decided) == 4


def test_what_runs_counts():
    ledger = build.ledger_with(build.job(build.step(10, cpu=3000)))
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0, 0), worker)
    assert len(_decide(ledger, [worker])) == 1


def test_unavailable_workers_get_nothing():
    ledger = build.ledger_with(build.job())
    silent = build.worker('w2')
    silent.silent_since_s = 0.5
    closed = build.worker('w3')
    closed.closed = True
    unfenced = build.worker('w4')
    unfenced.fenced = False
    unlisted = build.worker('w5')
    unlisted.listed = False
    leaving = build.worker('w1', draining=True)
    pool = [leaving, silent, closed, unfenced, unlisted]
    assert not _decide(ledger, pool)


def test_step_is_spread_as_asked():
    ledger = build.ledger_with(build.job(build.step(6, max_per_worker=2)))
    decided = _decide(ledger, [build.worker('w1'), build.worker('w2')])
    names = [row.worker.entry.worker for row in decided]
    assert sorted(names) == ['w1', 'w1', 'w2', 'w2']


def test_label_is_obeyed():
    ledger = build.ledger_with(build.job(build.step(label='b')))
    assert not _decide(ledger, [build.worker()])
    fitting = build.worker('w2', labels=('b', 'r1'))
    assert len(_decide(ledger, [fitting])) == 1


def test_step_is_placed_near_its_data():
    ledger = build.ledger_with(build.job(build.step(near_rack='r2')))
    pool = [build.worker('w1'), build.worker('w2', labels=('a', 'r2'))]
    assert _decide(ledger, pool)[0].worker is pool[1]


def test_task_is_not_tried_again_where_it_failed():
    ledger = build.ledger_with(build.job())
    build.task(ledger).failed_on = 'w1'
    pool = [build.worker('w1'), build.worker('w2')]
    assert _decide(ledger, pool)[0].worker is pool[1]


def test_gang_starts_whole_or_not_at_all():
    ledger = build.ledger_with(build.job(build.step(3, cpu=5000, gang=True)))
    pool = [build.worker('w1'), build.worker('w2')]
    assert not _decide(ledger, pool)
    assert len(_decide(ledger, [*pool, build.worker('w3')])) == 3


def test_gang_stays_in_one_rack_if_it_can():
    step = build.step(2, cpu=5000, gang=True, one_rack=True)
    ledger = build.ledger_with(build.job(step))
    pool = [
        build.worker('w1', labels=('a', 'r1')),
        build.worker('w2', labels=('a', 'r2')),
        build.worker('w3', labels=('a', 'r2')),
    ]
    assert {row.worker.entry.worker for row in _decide(ledger, pool)} == {
        'w2',
        'w3',
    }


def test_jobs_that_can_be_in_time_go_before_late_ones():
    late = build.job(build.step(8), name='1' * 16)
    fresh = build.job(build.step(8), name='2' * 16)
    ledger = ledgers.Ledger()
    ledgers.add(ledger, late, 0.0)
    ledgers.add(ledger, fresh, 9.0)
    decided = _decide(ledger, [build.worker()], now_s=10.0)
    assert {row.task.group.entry.job.job for row in decided} == {'2' * 16}


def test_job_that_would_start_too_late_to_end_in_time_goes_last():
    # One second of work; the objective is 2.2 s, and the margin is a quarter
    # of the work.
    old = build.job(build.step(8), name='1' * 16)
    fresh = build.job(build.step(8), name='2' * 16)
    ledger = ledgers.Ledger()
    ledgers.add(ledger, old, 0.0)
    ledgers.add(ledger, fresh, 0.8)
    first = _decide(ledger, [build.worker()], now_s=0.9)
    assert {row.task.group.entry.job.job for row in first} == {'1' * 16}
    later = _decide(ledger, [build.worker()], now_s=1.0)
    assert {row.task.group.entry.job.job for row in later} == {'2' * 16}


def test_job_that_fits_nowhere_blocks_no_other():
    huge = build.job(build.step(cpu=99_000), name='1' * 16)
    ledger = build.ledger_with(huge, build.job(name='2' * 16))
    decided = _decide(ledger, [build.worker()])
    assert [row.task.group.entry.job.job for row in decided] == ['2' * 16]


@hypothesis.settings(derandomize=True, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 6), strategies.integers(100, 9000)
        ),
        min_size=1,
        max_size=6,
    ),
    strategies.integers(1, 4),
)
def test_room_is_never_overdrawn(steps, count):
    jobs = [
        build.job(build.step(tasks, cpu=cpu), name=f'{number:016x}')
        for number, (tasks, cpu) in enumerate(steps)
    ]
    ledger = build.ledger_with(*jobs)
    pool = [build.worker(f'w{number}') for number in range(count)]
    used = dict.fromkeys((row.entry.worker for row in pool), 0)
    for row in _decide(ledger, pool):
        needs = row.task.group.step.needs
        used[row.worker.entry.worker] += needs.cpu_millicores
    assert all(cpu <= 8000 for cpu in used.values())


def _suspect(name):
    worker = build.worker(name)
    worker.failed_tasks.update(
        f'{job}.0.0.0' for job in ('1' * 16, '2' * 16, '3' * 16)
    )
    return worker


def test_suspect_worker_with_long_running_tasks_gets_one_more_task():
    # Guards against a pool whose workers are all suspect and all run
    # long-running tasks: no batch task was started there any more.
    worker = _suspect('w1')
    ledger = build.ledger_with(
        build.job(build.step(is_long_running=True), name='1' * 16),
        build.job(build.step(3), name='2' * 16),
    )
    build.start(ledger, build.task(ledger, name='1' * 16), worker)
    assert len(_decide(ledger, [worker])) == 1


def test_failures_of_one_job_make_no_worker_suspect():
    ledger = build.ledger_with(build.job(build.step(6)))
    worker = build.worker()
    for index in range(6):
        build.start(ledger, build.task(ledger, 0, index), worker)
    ends = [
        (n + 1, build.task(ledger, 0, n).name, 1, reports.How.FAILED)
        for n in range(6)
    ]
    build.take(ledger, worker, build.report(ended=ends))
    assert len(worker.failed_tasks) == 6
    assert not workers_.is_suspect(worker)
