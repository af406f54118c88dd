"""Finds slow workers, and their runs that would end sooner elsewhere. Pure.

Designed for workers that become six or seven times slower for some seconds,
while they report and renew normally. Estimates of single tasks are off by up
to 90%, and all tasks of a step are off alike, so several steps on a worker are
compared with those on the other workers of its pool.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

SLOW_FACTOR = 3.0
"""A worker this many times slower than its pool counts as slow. On a
logarithmic scale, this is half of the slowdown that users have reported."""

MIN_STEPS = 4
"""Steps that are needed to judge a worker. With estimates off by 0.9, their
mean is off by 0.45; the logarithm of the factor is 1.1."""

MEMORY_S = 4.0
"""Time in seconds for which an ended task counts for its worker."""

MIN_RUN_S = 0.4
"""Time in seconds after which a run counts for its worker. Its start takes
part of that time."""

MIN_GAIN_S = 0.5
"""Time in seconds that a restart must save; a stop and a start take 0.3 s."""

GAIN_MARGIN_S = 0.2
"""Time in seconds beyond those of a stop and a restore that a restart must
save."""

FactorOf = collections.abc.Callable[[ledgers.Entry], float]
"""Returns the factor by which the estimates of a job's queue are corrected."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """Duration of an ended task.

    :ivar ratio: logarithm of actual over estimated duration
    """

    at_s: float
    group: ledgers.Group
    ratio: float
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Mean log ratio of actual to expected time on a worker.

    :ivar steps: number of steps that it is the mean of, weighted
    """

    ratio: float
    steps: float


@dataclasses.dataclass
class Speed:
    """Measured speed of one worker.

    :ivar ended: tasks that ended recently
    :ivar ratio: mean logarithm of actual over estimated durations; None if
        there are too few steps
    :ivar slow: it is slow compared with its pool
    :ivar measured: what placement weighs; None if there is nothing yet
    """

    ended: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    ratio: float | None = None
    slow: bool = False
    measured: Measurement | None = None


def record_end(
    speed: Speed,
    task: ledgers.Task,
    took_s: float,
    factor: float,
    now_s: float,
) -> None:
    """Record a task that has ended successfully."""
    estimate_s = _estimated_s(task, factor)
    if estimate_s > 0 and took_s > 0:
        ratio = math.log(took_s / estimate_s)
        speed.ended.append(EndedTask(now_s, task.group, ratio, took_s))


def _estimated_s(task: ledgers.Task, factor: float) -> float:
    return task.group.step.guess_ms / 1000 * factor


def measure(
    speed: Speed, worker: workers_.Worker, factor_of: FactorOf, now_s: float
) -> None:
    """Measure a worker again, by its runs and its recently ended tasks."""
    while speed.ended and speed.ended[0].at_s < now_s - MEMORY_S:
        speed.ended.popleft()
    ratios: dict[ledgers.Group, list[float]] = {}
    for row in speed.ended:
        ratios.setdefault(row.group, []).append(row.ratio)
    for task in worker.runs.values():
        total_s = projected_s(task, now_s)
        estimate_s = _estimated_s(task, factor_of(task.group.entry))
        if total_s is not None and estimate_s > 0:
            ratio = math.log(total_s / estimate_s)
            ratios.setdefault(task.group, []).append(ratio)
    speed.ratio = None
    if len(ratios) >= MIN_STEPS:
        speed.ratio = statistics.fmean(map(statistics.fmean, ratios.values()))


def projected_s(task: ledgers.Task, now_s: float) -> float | None:
    """Return the projected total duration of a run; None if unknown.

    Before its first progress, this is the time that it has taken so far.
    """
    run = task.run
    if (
        run is None
        or task.group.step.is_long_running
        or task.group.step.uses_leftover
        or run.phase is not ledgers.RunPhase.RUNNING
        or now_s - run.begun_s < MIN_RUN_S
    ):
        return None
    if run.percent <= 0:
        return now_s - run.begun_s
    if run.last_progress_s <= run.begun_s:
        # A new leader adopted it at this percentage; no progress since.
        return None
    return (run.last_progress_s - run.begun_s) / run.percent * 100


def left_s(task: ledgers.Task, now_s: float) -> float:
    """Return the time a run still takes, by its progress or its estimate."""
    if task.run is None:
        return 0.0
    total_s = projected_s(task, now_s)
    if total_s is None:
        total_s = task.group.step.guess_ms / 1000
    return max(0.0, total_s - (now_s - task.run.begun_s))


def judge(speed: Speed, others: list[float]) -> None:
    """Compare a worker with the others of its pool and set whether it is slow.

    :param others: ratios of the other workers
    """
    if speed.ratio is None or len(others) < 2:
        speed.slow = False
        return
    pool_ratio = statistics.median(others)
    speed.slow = speed.ratio - pool_ratio >= math.log(SLOW_FACTOR)


def min_gain_s(task_stop_ms: float, task_restore_ms: float) -> float:
    """Return the time that a restart must save by the times of its parts."""
    return (task_stop_ms + task_restore_ms) / 1000 + GAIN_MARGIN_S


def runs_to_restart(
    worker: workers_.Worker,
    factor_of: FactorOf,
    now_s: float,
    least_gain_s: float = MIN_GAIN_S,
) -> list[ledgers.Task]:
    """Return the tasks on a slow worker that would end sooner elsewhere.

    :param least_gain_s: time that a restart must save
    """
    found = []
    for task in worker.runs.values():
        total_s = projected_s(task, now_s)
        if total_s is None:
            continue
        left_s = total_s - (now_s - task.run.begun_s)
        restart_s = _estimated_s(task, factor_of(task.group.entry))
        if left_s > restart_s + least_gain_s:
            found.append(task)
    return found
