"""Tasks that are suspected of crashing their workers, and when they start.

Pure. One of a step starts at a time, beside nothing that is young, until it
has gone on for a while; then more, and at last the rest of the step.
"""

from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model


def crashes_of(task: ledgers.Task) -> dict[int, crashes_.Crash]:
    """Give the crashes under a task by attempt; a gang's count together."""
    if not task.group.step.gang:
        return task.crashes
    found: dict[int, crashes_.Crash] = {}
    for member in task.group.tasks:
        found.update(member.crashes)
    return found


def note(
    ledger: ledgers.Ledger,
    task: ledgers.Task,
    crash: crashes_.Crash,
    now_s: float,
) -> None:
    """Note a crash under a task, which may end its job."""
    entry = task.group.entry
    if task.done or ledgers.final(entry):
        return
    task.crashes[crash.attempt] = crash
    set_suspected(task)
    entry.crashes_noted += 1
    ledgers.touch(ledger, entry)
    if is_guilty(task):
        found = len(crashes_of(task))
        entry.cause = f'{task.name} crashed {found} workers'
        ledgers.end(ledger, entry, model.State.FAILED, now_s)


def is_guilty(task: ledgers.Task) -> bool:
    """Say whether a task is given up.

    Whatever speaks against its gang, two workers have to have gone under one
    task of it, as far as is known.
    """
    members = task.group.tasks if task.group.step.gang else [task]
    heard = max(
        sum(attempt != crashes_.UNHEARD for attempt in member.crashes)
        for member in members
    )
    return heard > 1 and crashes_.is_guilty(crashes_of(task).values())


def set_suspected(task: ledgers.Task) -> None:
    """Set who is suspected by the crashes that are known."""
    suspects = task.group.suspects
    suspected = crashes_.is_suspected(crashes_of(task).values())
    tasks = task.group.tasks if task.group.step.gang else [task]
    for row in tasks:
        if suspected:
            suspects[row.index] = row
        else:
            suspects.pop(row.index, None)


def clear(task: ledgers.Task, attempt: int | None = None) -> None:
    """Forget the crash of a run that is heard of; None: all of a task's.

    What the store holds of it goes with the next write of the job.
    """
    if not task.crashes:
        return
    if attempt is None:
        task.crashes.clear()
    elif attempt >= max(task.crashes):
        task.crashes.pop(attempt, None)
        task.crashes.pop(crashes_.UNHEARD, None)
    else:
        task.crashes.pop(attempt, None)
    set_suspected(task)


def to_keep(task: ledgers.Task) -> list[crashes_.Crash]:
    """Give what the store has to hold of the crashes under a task.

    The next start is held against it before it is made: a leader that dies
    then may leave a crash behind that nobody has heard of.
    """
    kept = {crashes_.UNHEARD: crashes_.Crash(crashes_.UNHEARD)}
    return list((kept | task.crashes).values())


def is_on_probation(task: ledgers.Task) -> bool:
    """Say whether a run of a suspected task isn't known to have gone on."""
    return (
        task.run is not None
        and task.index in task.group.suspects
        and not task.run.proven
    )


def probation_s(task: ledgers.Task) -> float:
    """Give how long a run of a task has to go on until it is trusted."""
    return crashes_.probation_s(crashes_of(task).values())


def note_going_on(task: ledgers.Task, age_s: float) -> bool:
    """Note that a run goes on; says whether its probation ends by that.

    :param age_s: for how long it has gone on, at least
    """
    if not is_on_probation(task) or age_s < probation_s(task):
        return False
    task.run.proven = True
    return True


def is_kept(entry: ledgers.Entry) -> bool:
    """Say whether the store holds the crashes by which tasks are suspected.

    Before that none of them starts: a later leader would count from none.
    """
    return entry.crashes_kept >= entry.crashes_noted


def startable(group: ledgers.Group) -> list[ledgers.Task]:
    """Give the waiting tasks of a step that may be started now, in order.

    With each suspected task that goes on, one more may be tried beside it.
    """
    waiting = group.waiting
    if not group.suspects:
        return list(waiting.values())
    if not is_kept(group.entry):
        return []
    tried = [task for task in group.suspects.values() if not is_waiting(task)]
    under_way = sum(is_on_probation(task) for task in tried)
    untried = [task for task in group.suspects.values() if is_waiting(task)]
    if not untried and not under_way:
        return list(waiting.values())
    allowed = 1 + len(tried) - 2 * under_way
    untried.sort(key=lambda task: (-len(task.crashes), task.index))
    return untried[: max(0, allowed)]


def is_waiting(task: ledgers.Task) -> bool:
    """Say whether a task waits to be started."""
    return task.index in task.group.waiting
