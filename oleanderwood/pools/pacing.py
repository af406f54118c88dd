"""Sets the pace of leftover tasks next to latency-sensitive tasks. Pure.

Designed for workers where tasks that use leftover capacity slow down the
latency-sensitive ones by amounts that change within seconds. The pace is
reduced before a latency target is exceeded: a measurement is up to a second
old, and the platform reports harm after several seconds above the target.
"""

import dataclasses

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

REDUCE_AT = 0.8
"""Part of the latency target at which the pace is halved."""

STOP_AT = 0.95
"""Part of the latency target at which leftover tasks are paused (pace 0)."""

RELEASE_AT = 0.55
"""Part of the latency target below which the pace is raised by one step."""

RAISE_PERCENT = 20
"""Step by which the pace is raised: from 0 to 100 in five renewals."""

MIN_PERCENT = 10
"""Lower paces are set to 0: they do harm and make no progress. Below
``REDUCE_AT`` a paused task is resumed at this pace. It does not contribute to
the latency while paused, so nothing else would ever raise its pace."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """A pace for one task."""

    task: ledgers.Task
    percent: int


def decide(worker: workers_.Worker) -> list[Pace]:
    """Return the new paces of a worker's tasks that use leftover capacity."""
    latency_ratio = _latency_ratio(worker)
    paces = []
    for task in worker.runs.values():
        run = task.run
        if run is None or not task.group.step.uses_leftover:
            continue
        percent = 100
        if latency_ratio is not None:
            current = run.pace_percent
            percent = _next_percent(
                100 if current is None else current, latency_ratio
            )
        if percent != run.pace_percent:
            paces.append(Pace(task, percent))
    return paces


def _latency_ratio(worker: workers_.Worker) -> float | None:
    """Return the highest ratio of latency to target; None without targets."""
    ratios = [
        task.run.latency_or_cpu / task.group.step.latency_target_ms
        for task in worker.runs.values()
        if task.run is not None and task.group.step.latency_target_ms > 0
    ]
    return max(ratios, default=None)


def _next_percent(percent: int, latency_ratio: float) -> int:
    if latency_ratio >= STOP_AT:
        return 0
    if latency_ratio >= REDUCE_AT:
        halved = percent // 2
        return halved if halved >= MIN_PERCENT else 0
    if latency_ratio <= RELEASE_AT:
        return min(100, percent + RAISE_PERCENT)
    return max(percent, MIN_PERCENT)
