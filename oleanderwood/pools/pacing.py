"""How fast tasks that use leftovers may work beside tasks that serve. Pure.

Load it answers: on one worker, tasks that take what others leave slow the
serving ones down, by amounts that change within seconds. They are held back
before a serving task is over its target: a renewal is up to a second old,
and harm is told after some seconds on end.
"""

import dataclasses

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

HOLD_BACK_AT = 0.8
"""Part of its target at which a serving task's latency halves the pace."""

STOP_AT = 0.95
"""Part of the target at which the others stop working altogether."""

RELEASE_AT = 0.55
"""Part of the target below which the pace is raised in whole steps."""

RAISE_PERCENT = 20
"""Step by which the pace is raised; from nothing to all in five renewals."""

LEAST_PERCENT = 10
"""Paces below this are nothing: they harm and don't get on. What stands still
is let on at this pace below ``HOLD_BACK_AT``: its share in the latency is
none, so that nothing else would ever raise it."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """A pace for one task."""

    task: ledgers.Task
    percent: int


def decide(worker: workers_.Worker) -> list[Pace]:
    """Give new paces for the tasks of a worker that use leftovers."""
    strain = _strain(worker)
    paces = []
    for task in worker.runs.values():
        run = task.run
        if run is None or not task.group.step.uses_leftover:
            continue
        percent = 100
        if strain is not None:
            known = run.pace_percent
            percent = _next(100 if known is None else known, strain)
        if percent != run.pace_percent:
            paces.append(Pace(task, percent))
    return paces


def _strain(worker: workers_.Worker) -> float | None:
    """Give the worst latency against its target; None if nothing serves."""
    strains = [
        task.run.latency_or_cpu / task.group.step.latency_target_ms
        for task in worker.runs.values()
        if task.run is not None and task.group.step.latency_target_ms > 0
    ]
    return max(strains, default=None)


def _next(percent: int, strain: float) -> int:
    if strain >= STOP_AT:
        return 0
    if strain >= HOLD_BACK_AT:
        half = percent // 2
        return half if half >= LEAST_PERCENT else 0
    if strain <= RELEASE_AT:
        return min(100, percent + RAISE_PERCENT)
    return max(percent, LEAST_PERCENT)
