"""Measuring workers' speed, and detecting slow workers."""

import functools

from oleanderwood import event_log
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states
from oleanderwood.pools import lengths
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_


def _factor_of(leader: states.Leader, entry: ledgers.Entry) -> float:
    return lengths.correction_factor(leader.lengths, entry.job.queue.name)


def note_lengths(
    leader: states.Leader,
    worker: workers_.Worker,
    rows: list[tuple[ledgers.Task, float]],
    now_s: float,
) -> None:
    """Update length estimates and the worker's speed by completed tasks."""
    pace = leader.paces.setdefault(worker.entry.worker, slowness.Speed())
    for task, length_s in rows:
        factor = _factor_of(leader, task.group.entry)
        slowness.record_end(pace, task, length_s, factor, now_s)
        lengths.record(leader.lengths, task.group, length_s)


def tasks_to_move(
    leader: states.Leader, worker: workers_.Worker, now_s: float
) -> list[ledgers.Task]:
    """Re-evaluate a worker; return tasks that would end sooner elsewhere."""
    factor_of = functools.partial(_factor_of, leader)
    pace = leader.paces[worker.entry.worker]
    slowness.measure(pace, worker, factor_of, now_s)
    _judge(leader, worker, pace)
    if not worker.slow:
        return []
    tasks = slowness.runs_to_restart(worker, factor_of, now_s)
    for task in tasks:
        event_log.emit(
            'run',
            'too-slow',
            task=task.name,
            attempt=task.run.attempt,
            worker=worker.entry.worker,
            percent=task.run.percent,
        )
    return tasks


def _judge(
    leader: states.Leader, worker: workers_.Worker, pace: slowness.Speed
) -> None:
    """Compare a worker's speed with the other workers of its pool."""
    if pace.ratio is not None:
        slowness.judge(pace, _pool_ratios(leader, worker))
    if pace.slow == worker.slow:
        return
    worker.slow = pace.slow
    event_log.emit(
        'worker',
        'slow' if pace.slow else 'not-slow',
        worker=worker.entry.worker,
        service=worker.entry.service,
        ratio=pace.ratio and round(pace.ratio, 2),
    )


def _pool_ratios(
    leader: states.Leader, worker: workers_.Worker
) -> list[float]:
    """Return the known speed ratios of the other workers of the pool."""
    return [
        leader.paces[name].ratio
        for name, row in leader.workers.items()
        if row.entry.service == worker.entry.service
        and row is not worker
        and name in leader.paces
        and leader.paces[name].ratio is not None
    ]
