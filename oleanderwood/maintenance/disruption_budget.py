"""Limit how many long-running tasks our own orders interrupt at a time."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

MIN_WORKING_S = 0.5
"""Time for which a task must have worked before it counts as available again:
reports are up to one lease renewal old."""


def is_working(task: ledgers.Task, now_s: float) -> bool:
    """Return whether a long-running task is known to be working now."""
    run = task.run
    return (
        run is not None
        and run.phase is ledgers.RunPhase.RUNNING
        and run.serving_since_s is not None
        and now_s - run.serving_since_s >= MIN_WORKING_S
    )


def count_unavailable(group: ledgers.Group, now_s: float) -> int:
    """Count the tasks of a step that aren't known to be working."""
    return sum(not is_working(task, now_s) for task in group.tasks)


def remaining_budget(group: ledgers.Group, now_s: float) -> int:
    """Return how many tasks of a step may be interrupted now.

    A step without an allowance may lose one task at a time, so that
    maintenance can proceed.
    """
    return max(1, group.step.max_unavailable) - count_unavailable(group, now_s)


def mark_unavailable(worker: workers_.Worker, now_s: float) -> None:
    """Mark all tasks on a worker as unavailable, as an order may end them."""
    for task in worker.runs.values():
        if task.run is not None:
            task.run.serving_since_s = None
            task.not_serving_since_s = now_s


def may_interrupt_all(worker: workers_.Worker, now_s: float) -> bool:
    """Return whether an order may end all tasks that run on a worker.

    The budget of each of their steps has to allow it.
    """
    groups = {
        task.group
        for task in worker.runs.values()
        if task.group.step.is_long_running
        and not ledgers.is_final(task.group.entry)
    }
    return all(_may_interrupt_step(group, worker, now_s) for group in groups)


def _may_interrupt_step(
    group: ledgers.Group, worker: workers_.Worker, now_s: float
) -> bool:
    """Return whether a step's budget allows its tasks on this worker to end.

    Reports are up to one lease renewal old, so each run on this worker may be
    working by now; elsewhere a task counts as unavailable until it is known to
    be working.
    """
    ended = unavailable = 0
    for task in group.tasks:
        if task.name in worker.runs and task.run is not None:
            ended += 1
        elif not is_working(task, now_s):
            unavailable += 1
    return ended == 0 or ended + unavailable <= max(
        1, group.step.max_unavailable
    )
