"""Hands crashes that the store lacks from an earlier leader to the next one.

A leader that the store refuses, while it answers others, cannot store the
crashes that it sees before another server takes over.
"""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states

MAX_TASKS = 500
"""Largest number of tasks whose crashes are handed over, to limit the size of
the answer."""


def unstored(ledger: ledgers.Ledger) -> crashes_.CrashesByTask:
    """Return the crashes of jobs for which the store may lack some."""
    rows = [
        (task.name, list(task.crashes.values()))
        for entry in ledger.entries.values()
        if not isolation.are_crashes_stored(entry)
        for group in entry.groups.values()
        for task in group.tasks
        if task.crashes and not task.done
    ]
    return dict(rows[:MAX_TASKS])


async def adopt(
    leader: states.Leader, term: int, crashes: crashes_.CrashesByTask
) -> None:
    """Record crashes that an earlier leader has handed over.

    :param term: term of that leader
    """
    now_s = clock.now_s()
    adopted = {}
    for name, rows in crashes.items():
        task = ledgers.find(leader.ledger, name)
        if task is None:
            continue
        unknown = [row for row in rows if _is_news(task, row)]
        for row in unknown:
            isolation.record_crash(leader.ledger, task, row, now_s)
        if unknown:
            adopted[name] = [row.attempt for row in unknown]
    if adopted:
        event_log.emit('leader', 'crashes-adopted', term=term, crashes=adopted)
        await leader.progress_changed.set()
        await leader.placement_due.set()


def _is_news(task: ledgers.Task, crash: crashes_.Crash) -> bool:
    """Return whether a crash is unknown, and its run isn't known to go on."""
    if task.run is not None and task.run.attempt == crash.attempt:
        return False
    return crash.attempt not in task.crashes
