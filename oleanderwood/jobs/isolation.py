"""Tasks suspected of crashing their workers, and when they may start.

Pure. At first one suspected task of a step starts at a time, on a worker
without young runs, until it has survived its probation. Each one that does
allows one more to start beside it, and finally the rest of the step. The other
tasks of a long-running step don't wait for this.
"""

import math

from oleanderwood.jobs import crash_backoff
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model

MAX_CRASHES = 10
"""Crashes of a task that are kept, the latest ones: enough for any verdict.
Without this bound, a task that is started again for days would have more than
one write of its job takes."""

MAX_ISOLATION_WAIT_S = 3.0
"""Time without a run after which a suspected task whose job isn't given up no
longer waits for a worker of its own."""


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

    If the evidence against the task now suffices, its job fails; or, if the
    job has long-running tasks, the task's next start is delayed.
    """
    entry = task.group.entry
    if task.done or ledgers.is_final(entry):
        return
    task.crash_count += 1
    _put_crash(ledger, task, crash)
    if not crashes_workers(task):
        return
    if crash_backoff.may_give_up(entry):
        found = len(crashes_of(task))
        entry.cause = f'{task.name} crashed {found} workers'
        ledgers.end(ledger, entry, model.State.FAILED, now_s)
    else:
        crash_backoff.begin(task, _crashed_s(task, crash, now_s))


def _crashed_s(
    task: ledgers.Task, crash: crashes_.Crash, now_s: float
) -> float:
    """Return when a task's worker crashed, at the latest.

    The leader may find a worker gone some seconds later, as its lease ends.
    """
    run = task.run
    age_ms = crashes_.known_age_ms(crash)
    if run is None or run.attempt != crash.attempt or run.sent_s is None:
        return now_s
    return now_s if age_ms < 0 else run.sent_s + age_ms / 1000


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
    for attempt in sorted(task.crashes)[:-MAX_CRASHES]:
        for known in (task.crashes, task.blamed_with, task.crashed_workers):
            known.pop(attempt, None)
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
    known = len(task.crashes)
    if attempt is None:
        task.crashes.clear()
    else:
        if _is_start_counted_ahead(ledger, task, attempt):
            task.crashes.pop(crashes_.UNREPORTED, None)
        task.crashes.pop(attempt, None)
    task.crash_count -= known - len(task.crashes)
    if not task.crashes:
        task.crash_count = 0
        task.backoff_until_s = 0.0
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

    That of a long-running task that crashes workers ends once it has been at
    work for long enough, as its crashes are then dropped.

    :param age_s: lower bound of the run's age
    """
    if not is_on_probation(task) or age_s < probation_s(task):
        return False
    if task.group.step.is_long_running and crashes_workers(task):
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
    waits for as long as it takes. Any other waits for a limited time, and so
    does one whose job isn't given up, whatever is known of it.
    """
    entry = task.group.entry
    if not task.crashes or are_crashes_stored(entry):
        return False
    suspected = task.index in task.group.suspects
    may_wait = suspected and crash_backoff.may_give_up(entry)
    return may_wait or now_s < entry.crash_storage_due_s


def startable(
    group: ledgers.Group, now_s: float = math.inf
) -> list[ledgers.Task]:
    """Return the waiting tasks of a step that may start now, in order.

    Each suspected task that survives its probation allows one more to be
    tried beside it.

    :param now_s: by default, all pauses between starts are over
    """
    waiting = group.waiting
    if not group.suspects:
        return list(waiting.values())
    if group.step.is_long_running:
        return _startable_long_running(group, now_s)
    if not are_crashes_stored(group.entry):
        return []
    untried = _untried(group, now_s)
    if not untried and not _count_on_probation(group):
        return list(waiting.values())
    untried.sort(key=lambda task: (-len(task.crashes), task.index))
    return untried[: _count_allowed(group)]


def _startable_long_running(
    group: ledgers.Group, now_s: float
) -> list[ledgers.Task]:
    """Return the tasks of a long-running step that may start now, in order.

    Those that aren't suspected start as ever. Of the suspected ones, those
    with the fewest crashes go first: a task that crashes its worker at each
    start must not keep the others waiting.
    """
    found = [
        task
        for task in group.waiting.values()
        if task.index not in group.suspects
    ]
    untried = _untried(group, now_s)
    untried.sort(key=lambda task: (task.crash_count, task.index))
    overdue = [task for task in untried if is_overdue(task, now_s)]
    in_time = [task for task in untried if not is_overdue(task, now_s)]
    return found + overdue + in_time[: _count_allowed(group)]


def _untried(group: ledgers.Group, now_s: float) -> list[ledgers.Task]:
    """Return the suspected tasks of a step that wait for a trial."""
    return [
        task
        for task in group.suspects.values()
        if is_waiting(task) and not crash_backoff.is_in_backoff(task, now_s)
    ]


def _count_on_probation(group: ledgers.Group) -> int:
    return sum(is_on_probation(task) for task in group.suspects.values())


def _count_allowed(group: ledgers.Group) -> int:
    """Return how many more suspected tasks of a step may be tried."""
    tried = sum(not is_waiting(task) for task in group.suspects.values())
    return max(0, 1 + tried - 2 * _count_on_probation(group))


def is_overdue(task: ledgers.Task, now_s: float) -> bool:
    """Return whether a task may start without being isolated.

    A task of a job that isn't given up has to start in the end, also where no
    worker can be kept free for it.
    """
    if crash_backoff.may_give_up(task.group.entry):
        return False
    since_s = task.not_serving_since_s
    if not task.group.step.is_long_running:
        since_s = max(since_s, task.backoff_until_s)
    return now_s - since_s >= MAX_ISOLATION_WAIT_S


def is_kept_apart(task: ledgers.Task) -> bool:
    """Return whether a task goes on that is known to crash its workers."""
    return task.index in task.group.suspects and crashes_workers(task)


def is_waiting(task: ledgers.Task) -> bool:
    """Return whether a task waits to be started."""
    return task.index in task.group.waiting
