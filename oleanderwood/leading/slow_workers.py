"""Measures workers' speed, and finds tasks to move off slow workers."""

import collections.abc
import functools

from oleanderwood import event_log
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import load_control
from oleanderwood.leading import state as states
from oleanderwood.pools import lengths
from oleanderwood.pools import slowness
from oleanderwood.pools import worker_speed
from oleanderwood.pools import workers as workers_


def _correction_factor(leader: states.Leader, entry: ledgers.Entry) -> float:
    return lengths.correction_factor(leader.lengths, entry.job.queue.name)


def record_lengths(
    leader: states.Leader,
    worker: workers_.Worker,
    rows: list[tuple[ledgers.Task, float]],
    now_s: float,
) -> None:
    """Record the lengths of completed tasks.

    They correct the estimates of other tasks' lengths, and show the worker's
    speed.

    :param rows: tasks, each with its length in seconds
    """
    speed = leader.speeds.setdefault(worker.entry.worker, slowness.Speed())
    compares_steps = load_control.switches(leader).placement
    for task, length_s in rows:
        factor = _correction_factor(leader, task.group.entry)
        slowness.record_end(speed, task, length_s, factor, now_s)
        if compares_steps:
            worker_speed.record_end(
                leader.step_times,
                task.group,
                worker.entry.worker,
                length_s,
                now_s,
            )
        lengths.record(leader.lengths, task.group, length_s)


def tasks_to_move(
    leader: states.Leader, worker: workers_.Worker, now_s: float
) -> list[ledgers.Task]:
    """Measure a worker's speed; return tasks to restart on other workers.

    These are the tasks on a slow worker that would end sooner elsewhere.
    """
    factor_of = functools.partial(_correction_factor, leader)
    speed = leader.speeds[worker.entry.worker]
    slowness.measure(speed, worker, factor_of, now_s)
    if load_control.switches(leader).placement:
        expected_of = functools.partial(expected_s, leader)
        speed.measured = worker_speed.measure(
            speed, worker, leader.step_times, expected_of, now_s
        )
    _update_slow_flag(leader, worker, speed)
    if not worker.slow:
        return []
    tasks = slowness.runs_to_restart(
        worker, factor_of, now_s, _min_gain_s(leader)
    )
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


def _min_gain_s(leader: states.Leader) -> float:
    """Return the time that a restart must save."""
    if not load_control.switches(leader).balancing:
        return slowness.MIN_GAIN_S
    settings = leader.server.settings
    return slowness.min_gain_s(settings.task_stop_ms, settings.task_restore_ms)


def expected_s(leader: states.Leader, group: ledgers.Group) -> float:
    """Return the expected time of one task of a step, in seconds.

    The regression on estimates halves their error, compared with a factor.
    """
    return lengths.of_job(leader.lengths, group.entry)[group.number]


def speeds(
    leader: states.Leader,
    pool: list[workers_.Worker],
    groups: collections.abc.Iterable[ledgers.Group],
    packs: bool,
) -> worker_speed.Speeds:
    """Return the speeds of a pool's workers, for the placement of groups.

    :param packs: the pool will give machines away
    """
    measured = {}
    for worker in pool:
        speed = leader.speeds.get(worker.entry.worker)
        if speed is not None and speed.measured is not None:
            measured[worker.entry.worker] = speed.measured
    classes = worker_speed.classify(measured)
    if not classes:
        return worker_speed.Speeds(classes, packs=packs)
    running = (
        task.group
        for worker in pool
        for task in worker.runs.values()
        if not task.group.step.is_long_running
    )
    long_groups = worker_speed.long_groups(
        groups, running, functools.partial(expected_s, leader)
    )
    return worker_speed.Speeds(classes, long_groups, packs)


def _update_slow_flag(
    leader: states.Leader, worker: workers_.Worker, speed: slowness.Speed
) -> None:
    """Set whether a worker is slow compared with others of its pool."""
    if speed.ratio is not None:
        slowness.judge(speed, _pool_ratios(leader, worker))
    if speed.slow == worker.slow:
        return
    worker.slow = speed.slow
    event_log.emit(
        'worker',
        'slow' if speed.slow else 'not-slow',
        worker=worker.entry.worker,
        service=worker.entry.service,
        ratio=speed.ratio and round(speed.ratio, 2),
    )


def _pool_ratios(
    leader: states.Leader, worker: workers_.Worker
) -> list[float]:
    """Return the ratios of the other workers of the pool that have one.

    See ``slowness.Speed`` for the ratio.
    """
    return [
        leader.speeds[name].ratio
        for name, row in leader.workers.items()
        if row.entry.service == worker.entry.service
        and row is not worker
        and name in leader.speeds
        and leader.speeds[name].ratio is not None
    ]
