"""Which runs make no headway and are better begun elsewhere. Pure.

Load it answers: tasks on some workers stand still, while these report and
renew as always.
"""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

STALLED_S = 3.0
"""Time without any headway after which a run has stalled; headway is told in
percent, at least once a second."""

LONG_FACTOR = 0.5
"""Part of the guessed time that a run may make no headway, if that is more:
tasks of minutes move by less than a percent a second."""

STARTUP_S = 6.0
"""Time in which a long-running task has to be at work."""


def stalled(worker: workers_.Worker, now_s: float) -> list[ledgers.Task]:
    """Give the tasks whose runs on a worker have stalled."""
    return [
        task
        for task in worker.runs.values()
        if task.run is not None
        and task.run.phase is ledgers.RunPhase.RUNNING
        and _is_stalled(task, task.run, now_s)
    ]


def _is_stalled(task: ledgers.Task, run: ledgers.Run, now_s: float) -> bool:
    if run.pace_percent != 100 or run.moved_on_s == 0:
        return False
    still_s = now_s - _moved_on_s(task, run)
    if task.group.step.lasting:
        return run.at_work_since_s is None and still_s > STARTUP_S
    guess_s = task.group.step.guess_ms / 1000
    return still_s > max(STALLED_S, LONG_FACTOR * guess_s)


def _moved_on_s(task: ledgers.Task, run: ledgers.Run) -> float:
    """Give when a run got on last; of a gang, when any of its members did.

    A gang ends as a whole: a member that is done with its part waits for those
    that are slower, and its end would break theirs.
    """
    if not task.group.step.gang:
        return run.moved_on_s
    runs = [member.run for member in task.group.tasks if member.run]
    return max(row.moved_on_s for row in runs)
