"""Finds runs that use leftover capacity and are starved of CPU. Pure.

Designed for a pool that has given machines away. On the workers that are left,
such runs are paced down next to latency-sensitive tasks, long-running tasks
use all CPU, or too many runs share the leftover capacity. Nothing on these
workers would free CPU for them.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import placing
from oleanderwood.pools import workers as workers_

WINDOW_S = 5.0
"""Window in seconds over which progress is measured. The CPU that
latency-sensitive tasks leave over changes within seconds, so a run that
progresses intermittently does not count as starved."""

MIN_PROGRESS_PART = 0.5
"""A run that makes at least this part of its full rate of progress does not
count as starved. Expected durations may be too long by up to a half."""

RESTART_COST_S = 1.0
"""Time in seconds that a relocation takes in addition to the work: 0.2 to
0.4 s for the stop, up to 0.25 s for resuming from a checkpoint."""


MAX_RELOCATIONS = 3
"""Times that a task is relocated. The capacity found elsewhere may be taken by
the time it gets there, and without checkpoints every relocation starts from
the beginning. After that many the task stays and runs at the pace that it is
given."""


@dataclasses.dataclass(frozen=True)
class StarvedRun:
    """A starved run that would end sooner on another worker.

    :ivar left_s: time it would still take on its current worker
    """

    task: ledgers.Task
    left_s: float


TaskLength = collections.abc.Callable[[ledgers.Task], float]
"""Returns how long a task is expected to take, in seconds."""


def measure(
    worker: workers_.Worker, length_of: TaskLength, now_s: float
) -> list[StarvedRun]:
    """Measure the progress of a worker's runs; return the starved ones."""
    tasks = [task for task in worker.runs.values() if _is_measured(task)]
    contended = bool(tasks) and _is_contended(worker)
    found = []
    for task in tasks:
        run = task.run
        if not contended or run.sampled_at_s is None:
            run.starved_left_s = None
            _sample(run, now_s)
        elif now_s - run.sampled_at_s >= WINDOW_S:
            run.starved_left_s = _left_s(task, length_of(task), now_s)
            _sample(run, now_s)
        if run.starved_left_s is not None:
            found.append(StarvedRun(task, run.starved_left_s))
    return found


def _is_measured(task: ledgers.Task) -> bool:
    run = task.run
    step = task.group.step
    return (
        run is not None
        and run.phase is ledgers.RunPhase.RUNNING
        and step.uses_leftover
        and not step.is_long_running
    )


def _sample(run: ledgers.Run, now_s: float) -> None:
    run.sampled_at_s = now_s
    run.sampled_percent = run.percent


def _left_s(task: ledgers.Task, length_s: float, now_s: float) -> float | None:
    """Return the time a run still takes; None unless relocation is faster."""
    run = task.run
    progress_percent = run.percent - run.sampled_percent
    rate = progress_percent / (now_s - run.sampled_at_s)
    if rate * length_s >= 100 * MIN_PROGRESS_PART:
        return None
    remaining_percent = 100 - run.percent
    left_s = remaining_percent / rate if rate > 0 else float('inf')
    restart_s = length_s * (
        remaining_percent / 100 if task.group.step.checkpoints else 1.0
    )
    return left_s if left_s > restart_s + RESTART_COST_S else None


def _is_contended(worker: workers_.Worker) -> bool:
    """Return whether runs that use leftover capacity may be starved here.

    Either latency-sensitive tasks go first, or too many runs share what is
    left: sixteen on one idle machine took 60 s for tasks of 2 s.
    """
    left = worker.entry.capacity.cpu_millicores
    asked = 0
    for task in worker.runs.values():
        step = task.group.step
        if step.latency_target_ms > 0:
            return True
        if step.uses_leftover:
            asked += step.needs.cpu_millicores
        else:
            left -= step.needs.cpu_millicores
    return left < MIN_PROGRESS_PART * asked


def runs_to_relocate(
    rows: collections.abc.Sequence[StarvedRun],
    others: list[workers_.Worker],
    now_s: float,
) -> list[ledgers.Task]:
    """Return the runs to relocate to workers without latency-sensitive tasks.

    Steps that need advice already have it. The members of a gang are relocated
    together or not at all.

    :param others: the other workers of their pool
    """
    free = [
        candidate
        for candidate in placing.free_capacity(others, now_s)
        if not candidate.has_latency_tasks and not candidate.suspect
    ]
    leaving: list[ledgers.Task] = []
    seen: set[ids.TaskId] = set()
    for row in sorted(rows, key=lambda row: -row.left_s):
        if row.task.name in seen:
            continue
        tasks = [row.task]
        if row.task.group.step.gang:
            tasks = [task for task in row.task.group.tasks if not task.done]
        seen.update(task.name for task in tasks)
        if any(task.relocated >= MAX_RELOCATIONS for task in tasks):
            continue
        if _reserve(row.task.group, tasks, free):
            leaving += tasks
    return leaving


def _reserve(
    group: ledgers.Group,
    tasks: list[ledgers.Task],
    free: list[placing.FreeCapacity],
) -> bool:
    """Reserve capacity for some tasks of a step; return whether they fit.

    A gang that should stay in one rack is only relocated to a single rack:
    spread over several, it would run slower than it does starved.
    """
    with_leftover = [
        candidate
        for candidate in free
        if candidate.cpu_millicores > candidate.leftover_demand_millicores
    ]
    choices = placing.candidates_by_rack(group, with_leftover) or [
        with_leftover
    ]
    return any(placing.place_all(group, tasks, choice) for choice in choices)
