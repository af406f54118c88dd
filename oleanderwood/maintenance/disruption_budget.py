"""How many tasks that last may be taken away by our own orders. Pure."""

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

SETTLED_S = 0.5
"""How long a task must have worked before it counts as back: reports are up
to a renewal old."""


def at_work(task: ledgers.Task, now_s: float) -> bool:
    """Say whether a long-running task surely works now."""
    run = task.run
    return (
        run is not None
        and run.phase is ledgers.RunPhase.RUNNING
        and run.at_work_since_s is not None
        and now_s - run.at_work_since_s >= SETTLED_S
    )


def away(group: ledgers.Group, now_s: float) -> int:
    """Count the tasks of a step that may not be at work."""
    return sum(not at_work(task, now_s) for task in group.tasks)


def spares(group: ledgers.Group, now_s: float) -> int:
    """Count the tasks of a step that we may take away now.

    A step without an allowance may lose one at a time: maintenance has to
    go on.
    """
    return max(1, group.step.most_away) - away(group, now_s)


def note_order(worker: workers_.Worker, now_s: float) -> None:
    """Count all that runs on a worker as away: an order may end it."""
    for task in worker.runs.values():
        if task.run is not None:
            task.run.at_work_since_s = None
            task.away_since_s = now_s


def may_end_all(worker: workers_.Worker, now_s: float) -> bool:
    """Say whether all that runs on a worker may be ended by an order."""
    groups = {
        task.group
        for task in worker.runs.values()
        if task.group.step.lasting and not ledgers.final(task.group.entry)
    }
    return all(_may_end(group, worker, now_s) for group in groups)


def _may_end(
    group: ledgers.Group, worker: workers_.Worker, now_s: float
) -> bool:
    """Weigh one step: those here that may work against those away.

    Reports are up to a renewal old, so each run here may be at work by now;
    elsewhere a task counts as away until it surely is.
    """
    ended = away = 0
    for task in group.tasks:
        if task.name in worker.runs and task.run is not None:
            ended += 1
        elif not at_work(task, now_s):
            away += 1
    return ended == 0 or ended + away <= max(1, group.step.most_away)
