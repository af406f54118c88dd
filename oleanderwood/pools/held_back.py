"""Runs that use leftovers and get next to none. Pure.

Load it answers: a pool has given its machines away, and on those that are left
such runs are paced down beside tasks that serve, tasks that last have taken
all processor time, or too many of them share it. Nothing there would free
them.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import placing
from oleanderwood.pools import workers as workers_

WINDOW_S = 5.0
"""Time over which headway is measured. What serving tasks bear swings within
seconds; a run that gets on by turns isn't held back."""

LEAST_PART = 0.5
"""Part of its full headway with which a run isn't held back. Guesses of
lengths are off by up to a half upwards."""

RESTART_S = 1.0
"""Time that a stop and a start elsewhere take beside the work itself: 0.2 to
0.4 s for the stop, up to a quarter for going on from saved work."""


MOST_RELOCATIONS = 3
"""Times that a task is begun elsewhere. What it finds there may be taken in
the meantime, and without saved work each one begins from nothing; after these
it stays and gets on at the pace that it is given."""


@dataclasses.dataclass(frozen=True)
class HeldBack:
    """A run that would end sooner elsewhere.

    :ivar left_s: how much longer it takes where it is
    """

    task: ledgers.Task
    left_s: float


LengthOf = collections.abc.Callable[[ledgers.Task], float]
"""Gives how long a task should take, in seconds."""


def measure(
    worker: workers_.Worker, length_of: LengthOf, now_s: float
) -> list[HeldBack]:
    """Measure the headway of a worker's runs; gives those held back."""
    tasks = [task for task in worker.runs.values() if _counts(task)]
    tight = bool(tasks) and _is_tight(worker)
    found = []
    for task in tasks:
        run = task.run
        if not tight or run.looked_at_s is None:
            run.held_left_s = None
            _look(run, now_s)
        elif now_s - run.looked_at_s >= WINDOW_S:
            run.held_left_s = _left_s(task, length_of(task), now_s)
            _look(run, now_s)
        if run.held_left_s is not None:
            found.append(HeldBack(task, run.held_left_s))
    return found


def _counts(task: ledgers.Task) -> bool:
    run = task.run
    step = task.group.step
    return (
        run is not None
        and run.phase is ledgers.RunPhase.RUNNING
        and step.uses_leftover
        and not step.lasting
    )


def _look(run: ledgers.Run, now_s: float) -> None:
    run.looked_at_s = now_s
    run.looked_percent = run.percent


def _left_s(task: ledgers.Task, length_s: float, now_s: float) -> float | None:
    """Give how long a run still takes; None unless it's better elsewhere."""
    run = task.run
    moved = run.percent - run.looked_percent
    rate = moved / (now_s - run.looked_at_s)
    if rate * length_s >= 100 * LEAST_PART:
        return None
    rest = 100 - run.percent
    left_s = rest / rate if rate > 0 else float('inf')
    anew_s = length_s * (rest / 100 if task.group.step.checkpoints else 1.0)
    return left_s if left_s > anew_s + RESTART_S else None


def _is_tight(worker: workers_.Worker) -> bool:
    """Say whether runs that use leftovers may get too little on a worker.

    Others go first there, or too many of them share what is left: sixteen on
    one idle machine took 60 s for tasks of two.
    """
    left = worker.entry.capacity.cpu_millicores
    asked = 0
    for task in worker.runs.values():
        step = task.group.step
        if step.latency_target_ms > 0:
            return True
        if step.uses_leftover:
            asked += step.needs.cpu_millicores
        else:
            left -= step.needs.cpu_millicores
    return left < LEAST_PART * asked


def to_leave(
    rows: collections.abc.Sequence[HeldBack],
    others: list[workers_.Worker],
    now_s: float,
) -> list[ledgers.Task]:
    """Choose the runs for which there is room where nothing serves.

    Steps that need advice have it by now. A gang's members leave together or
    not at all.

    :param others: the other workers of their pool
    """
    free = [
        room
        for room in placing.rooms(others, now_s)
        if not room.serving and not room.suspect
    ]
    leaving: list[ledgers.Task] = []
    seen: set[ids.TaskId] = set()
    for row in sorted(rows, key=lambda row: -row.left_s):
        if row.task.name in seen:
            continue
        tasks = [row.task]
        if row.task.group.step.gang:
            tasks = [task for task in row.task.group.tasks if not task.done]
        seen.update(task.name for task in tasks)
        if any(task.relocated >= MOST_RELOCATIONS for task in tasks):
            continue
        if _place(row.task.group, tasks, free):
            leaving += tasks
    return leaving


def _place(
    group: ledgers.Group, tasks: list[ledgers.Task], free: list[placing.Room]
) -> bool:
    """Take room for some tasks of a step; says whether there was any.

    A gang that stays in one rack takes longer elsewhere than it is held back.
    """
    roomy = [room for room in free if room.cpu_millicores > room.filling]
    choices = placing.racks_for(group, roomy) or [roomy]
    return any(placing.place_all(group, tasks, choice) for choice in choices)
