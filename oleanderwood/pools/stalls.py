"""Finds runs that make no progress and should be restarted elsewhere. Pure.

Designed for workers whose tasks stand still while they report and renew
normally.
"""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

STALLED_S = 3.0
"""Time in seconds without progress after which a run has stalled. Progress is
reported in percent, at least once a second."""

MAX_NO_PROGRESS_FACTOR = 0.5
"""Part of the estimated duration for which a run may make no progress, if that
is longer than ``STALLED_S``: a task of minutes progresses by less than one
percent a second."""

STARTUP_S = 6.0
"""Time in seconds within which a long-running task has to be at work."""


def stalled_tasks(worker: workers_.Worker, now_s: float) -> list[ledgers.Task]:
    """Return the tasks whose runs on a worker have stalled."""
    return [
        task
        for task in worker.runs.values()
        if task.run is not None
        and task.run.phase is ledgers.RunPhase.RUNNING
        and _is_stalled(task, task.run, now_s)
    ]


def _is_stalled(task: ledgers.Task, run: ledgers.Run, now_s: float) -> bool:
    if run.pace_percent != 100 or run.last_progress_s == 0:
        return False
    no_progress_s = now_s - _last_progress_s(task, run)
    if task.group.step.is_long_running:
        return run.serving_since_s is None and no_progress_s > STARTUP_S
    estimate_s = task.group.step.guess_ms / 1000
    return no_progress_s > max(STALLED_S, MAX_NO_PROGRESS_FACTOR * estimate_s)


def _last_progress_s(task: ledgers.Task, run: ledgers.Run) -> float:
    """Return when a run, or any member of its gang, last made progress.

    A gang ends as a whole: a member that has finished its part waits for the
    slower ones, and stopping it would end their runs too.
    """
    if not task.group.step.gang:
        return run.last_progress_s
    runs = [member.run for member in task.group.tasks if member.run]
    return max(row.last_progress_s for row in runs)
