"""Tasks suspected of crashing their workers, and when they may start.

Pure. At first one suspected task of a step starts at a time, on a worker
without young runs, until it has survived its probation. Each one that does
allows one more to start beside it, and finally the rest of the step.
"""

from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model


def crashes_of(task: ledgers.Task) -> dict[int, crashes_.Crash]:
    """Return a task's crashes by attempt; those of a gang are merged."""
    if not task.group.step.gang:
        return task.crashes
    found: dict[int, crashes_.Crash] = {}
    for member in task.group.tasks:
        found.update(member.crashes)
    return found


def record_crash(
    ledger: ledgers.Ledger,
    task: ledgers.Task,
    crash: crashes_.Crash,
    now_s: float,
) -> None:
    """Record a crash that a task may have caused.

    The task's job fails if the evidence against the task now suffices.
    """
    entry = task.group.entry
    if task.done or ledgers.is_final(entry):
        return
    _put_crash(ledger, task, crash)
    if crashes_workers(task):
        found = len(crashes_of(task))
        entry.cause = f'{task.name} crashed {found} workers'
        ledgers.end(ledger, entry, model.State.FAILED, now_s)


def mark_common(
    ledger: ledgers.Ledger, task: ledgers.Task, attempt: int
) -> None:
    """Record that the worker of a crash went down together with others."""
    _put_crash(ledger, task, crashes_.as_common(task.crashes[attempt]))


def _put_crash(
    ledger: ledgers.Ledger, task: ledgers.Task, crash: crashes_.Crash
) -> None:
    """Set a crash of a task, and have the job's crashes stored."""
    task.crashes[crash.attempt] = crash
    update_suspects(task)
    task.group.entry.crash_revision += 1
    ledgers.touch(ledger, task.group.entry)


def crashes_workers(task: ledgers.Task) -> bool:
    """Return whether the evidence shows that a task crashes its workers.

    Even if the evidence against its gang suffices, one member must have at
    least two known crashes of its own.
    """
    members = task.group.tasks if task.group.step.gang else [task]
    known = max(
        sum(attempt != crashes_.UNREPORTED for attempt in member.crashes)
        for member in members
    )
    return known > 1 and crashes_.is_conclusive(crashes_of(task).values())


def update_suspects(task: ledgers.Task) -> None:
    """Add the task or its gang to the step's suspects, or remove them."""
    suspects = task.group.suspects
    suspected = crashes_.is_suspected(crashes_of(task).values())
    tasks = task.group.tasks if task.group.step.gang else [task]
    for row in tasks:
        if suspected:
            suspects[row.index] = row
        else:
            suspects.pop(row.index, None)


def clear(
    ledger: ledgers.Ledger, task: ledgers.Task, attempt: int | None = None
) -> None:
    """Drop the crash recorded for a run that was reported again.

    Its copy in the store is removed by the next write of the job.

    :param attempt: number of the run; None drops all crashes of the task
    """
    if not task.crashes:
        return
    if attempt is None:
        task.crashes.clear()
    else:
        if _is_start_counted_ahead(ledger, task, attempt):
            task.crashes.pop(crashes_.UNREPORTED, None)
        task.crashes.pop(attempt, None)
    update_suspects(task)


def _is_start_counted_ahead(
    ledger: ledgers.Ledger, task: ledgers.Task, attempt: int
) -> bool:
    """Return whether a run may be the one recorded before it was started.

    Only an earlier leader can have recorded it: a run that this leader started
    does not show how the earlier one ended.
    """
    last_earlier = (ledger.term - 1) * ledgers.ATTEMPTS_PER_TERM
    known = [number for number in task.crashes if number <= last_earlier]
    return max(known, default=0) <= attempt <= last_earlier


def crashes_to_store(task: ledgers.Task) -> list[crashes_.Crash]:
    """Return the crashes of a task that the store has to hold.

    They include one for the next start, recorded before it is made: if the
    leader fails then, the next leader may never learn of a crash.
    """
    stored = {crashes_.UNREPORTED: crashes_.Crash(crashes_.UNREPORTED)}
    return list((stored | task.crashes).values())


def is_on_probation(task: ledgers.Task) -> bool:
    """Return whether a suspected task runs and hasn't survived probation."""
    return (
        task.run is not None
        and task.index in task.group.suspects
        and not task.run.proven
    )


def probation_s(task: ledgers.Task) -> float:
    """Return how long a run of a task must survive until it is trusted."""
    return crashes_.probation_s(crashes_of(task).values())


def update_probation(task: ledgers.Task, age_s: float) -> bool:
    """Record that a run still goes on; return whether this ends probation.

    :param age_s: lower bound of the run's age
    """
    if not is_on_probation(task) or age_s < probation_s(task):
        return False
    task.run.proven = True
    return True


def are_crashes_stored(entry: ledgers.Entry) -> bool:
    """Return whether the store holds all crashes recorded for a job.

    Suspected tasks don't start before that: otherwise the next leader would
    count their crashes from zero.
    """
    return entry.stored_crash_revision >= entry.crash_revision


def awaits_storage(task: ledgers.Task, now_s: float) -> bool:
    """Return whether a task waits until the store holds its crashes.

    If the leader fails, the next one knows only of those. A suspected task
    waits for as long as it takes, any other for a limited time.
    """
    entry = task.group.entry
    if not task.crashes or are_crashes_stored(entry):
        return False
    suspected = task.index in task.group.suspects
    return suspected or now_s < entry.crash_storage_due_s


def startable(group: ledgers.Group) -> list[ledgers.Task]:
    """Return the waiting tasks of a step that may start now, in order.

    Each suspected task that survives its probation allows one more to be
    tried beside it.
    """
    waiting = group.waiting
    if not group.suspects:
        return list(waiting.values())
    if not are_crashes_stored(group.entry):
        return []
    tried = [task for task in group.suspects.values() if not is_waiting(task)]
    on_probation = sum(is_on_probation(task) for task in tried)
    untried = [task for task in group.suspects.values() if is_waiting(task)]
    if not untried and not on_probation:
        return list(waiting.values())
    allowed = 1 + len(tried) - 2 * on_probation
    untried.sort(key=lambda task: (-len(task.crashes), task.index))
    return untried[: max(0, allowed)]


def is_waiting(task: ledgers.Task) -> bool:
    """Return whether a task waits to be started."""
    return task.index in task.group.waiting
