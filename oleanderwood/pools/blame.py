"""Decides which tasks are blamed for the crash of their worker. Pure."""

import collections.abc
import dataclasses

from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

ORDERED_PHASES = (ledgers.RunPhase.ORDERED, ledgers.RunPhase.UNCONFIRMED)
"""Phases of a run whose start its worker hasn't confirmed."""

COMMON_CAUSE_WINDOW_S = 0.1
COMMON_CAUSE_WORKERS = 3
"""When this many workers go down within this time of each other, the cause is
a common one: a rack, a switch or a site's power."""

UNREST_WORKERS = 2
UNREST_FRACTION = 0.2
"""Workers are in unrest if at least this many, and this fraction of all, have
crashed lately without a run that is likely to have caused it. A worker on
which a suspected task is tried may then crash without being crashed by it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A worker that went down without an order.

    Only a reset connection tells exactly when: a worker whose calls time out
    went down at some time since its last answer.

    :ivar after_s: when it went down at the earliest
    :ivar at_s: when it went down at the latest
    :ivar unexplained: nothing on it is likely to have crashed it, as far as
        this leader knows
    :ivar on_trial: a suspected task that was tried there crashed it
    :ivar early: a run there may only just have been started
    """

    after_s: float
    at_s: float
    unexplained: bool
    on_trial: bool = False
    early: bool = False


def is_same_moment(departure: Departure, other: Departure) -> bool:
    """Return whether two workers were found down at the same time."""
    return abs(departure.at_s - other.at_s) <= COMMON_CAUSE_WINDOW_S


def may_be_same_moment(departure: Departure, other: Departure) -> bool:
    """Return whether another worker may have gone down together with one.

    Only the time of the other one is taken as uncertain. If both were, tasks
    that crash workers side by side would hide each other's crashes.
    """
    earliest_s = other.after_s - COMMON_CAUSE_WINDOW_S
    latest_s = other.at_s + COMMON_CAUSE_WINDOW_S
    return earliest_s <= departure.at_s <= latest_s


def may_share_cause(departure: Departure, other: Departure) -> bool:
    """Return whether another worker may have gone for the same cause as one.

    It doesn't count if a task that was tried there explains it: tasks of
    several jobs are tried at once. Beside a task that has just crashed its
    worker on trial, it doesn't count either where a run may only just have
    been started: that may be of the same kind. One that only may have gone
    down at that moment counts if nothing that ran there explains it.
    """
    if is_same_moment(departure, other):
        return not other.on_trial and not (departure.on_trial and other.early)
    return may_be_same_moment(departure, other) and has_outside_cause(other)


def has_outside_cause(departure: Departure) -> bool:
    """Return whether no run on a worker can have crashed it."""
    return departure.unexplained and not departure.early


def has_common_cause(
    departure: Departure, others: collections.abc.Iterable[Departure]
) -> bool:
    """Return whether a worker went down together with others.

    :param others: all others that went down recently
    """
    count = sum(may_share_cause(departure, other) for other in others)
    return count + 1 >= COMMON_CAUSE_WORKERS


def is_explained(losses: list[workers_.Loss]) -> bool:
    """Return whether a run lost with a worker is likely to have crashed it.

    It was on probation, or had only just been started.
    """
    return any(
        isolation.is_on_probation(row.task) or _is_early(row) for row in losses
    )


def are_in_unrest(unexplained: int, workers: int) -> bool:
    """Return whether workers crash for other causes than their runs.

    :param unexplained: how many crashed lately with no run to explain it
    :param workers: number of all workers
    """
    return unexplained >= max(UNREST_WORKERS, UNREST_FRACTION * workers)


def crashed_on_trial(worker: workers_.Worker, gone_s: float) -> bool:
    """Return whether a task on probation explains the crash of its worker.

    It does if it crashed early, or at the age at which it did before.

    :param gone_s: when the worker went down
    """
    return any(
        isolation.is_on_probation(task)
        and task.run.worker == worker.entry.worker
        and _crashed_as_before(task, gone_s)
        for task in worker.runs.values()
    )


def may_have_early_run(worker: workers_.Worker, gone_s: float) -> bool:
    """Return whether a worker may have gone down just after a run began there.

    :param gone_s: when it went down at the latest
    """
    after_s = worker.clock_at_s
    if worker.silent_since_s is not None:
        after_s = worker.silent_after_s
    return any(
        task.run is not None
        and task.run.worker == worker.entry.worker
        and task.run.sent_s is not None
        and task.run.sent_s <= gone_s
        and (after_s - task.run.sent_s) * 1000 <= crashes_.EARLY_CRASH_MS
        for task in worker.runs.values()
    )


def _crashed_as_before(task: ledgers.Task, gone_s: float) -> bool:
    if task.run.sent_s is None:
        return False
    age_ms = round((gone_s - task.run.sent_s) * 1000)
    return crashes_.is_expected_age(
        age_ms, isolation.crashes_of(task).values()
    )


def attribute(
    ledger: ledgers.Ledger,
    losses: list[workers_.Loss],
    common: bool,
    now_s: float,
    in_unrest: bool = False,
) -> list[ledgers.Task]:
    """Attribute the crash of a worker to tasks; return those now suspected.

    If a task was on probation there, it is blamed, together with tasks started
    shortly before the crash. Otherwise all tasks whose runs are not proven are
    blamed, or all tasks if there are none. Long-running tasks that have been
    at work long enough are never blamed.

    :param common: the worker went down together with others, so the age of a
        run proves nothing by itself
    :param in_unrest: other workers crash at present for other causes
    """
    losses = [
        row for row in losses if not workers_.is_established(row.task, now_s)
    ]
    on_probation = [
        row for row in losses if isolation.is_on_probation(row.task)
    ]
    unproven = [row for row in losses if not row.task.run.proven]
    if on_probation:
        others = [row for row in unproven if row not in on_probation]
        unsettled = [row for row in others if not _is_settled(row)]
        blamed = on_probation + unsettled
        probation_units = {_blamed_unit(row.task) for row in on_probation}
        isolated = (
            len(probation_units) == 1
            and not unsettled
            and not common
            and any(_has_probably_started(row) for row in on_probation)
        )
    else:
        blamed = unproven or losses
        isolated = False
    suspected = []
    runs = [(row.task.name, row.task.run.attempt) for row in blamed]
    for row in blamed:
        task = row.task
        task.blamed_with[task.run.attempt] = runs
        task.crashed_workers[task.run.attempt] = task.run.worker
        age_ms = -1 if row.age_s is None else round(row.age_s * 1000)
        crash = crashes_.Crash(
            task.run.attempt,
            age_ms=-1 if common else age_ms,
            doubt_ms=round(row.doubt_s * 1000),
            isolated=isolated,
            in_unrest=in_unrest,
            common_age_ms=age_ms if common else -1,
        )
        isolation.record_crash(ledger, task, crash, now_s)
        if task.index in task.group.suspects:
            suspected.append(task)
    for task in suspected:
        if isolation.crashes_workers(task):
            _clear_others(ledger, task)
    return suspected


def _clear_others(ledger: ledgers.Ledger, task: ledgers.Task) -> None:
    """Clear other jobs' tasks of the crashes that a task has caused.

    These are its crashes at an age at which it crashes workers. What the store
    holds of them is removed by the next writes of those jobs. A task that is
    on trial, or under which several workers have crashed, is not cleared: it
    may crash them as well.
    """
    for attempt, crash in task.crashes.items():
        rest = [row for row in task.crashes.values() if row is not crash]
        if not crashes_.is_expected_age(crash.age_ms, rest):
            continue
        for name, other_attempt in task.blamed_with.get(attempt, ()):
            other = ledgers.find(ledger, name)
            if other is None or other.group.entry is task.group.entry:
                continue
            if len(other.crashes) > 1 or isolation.is_on_probation(other):
                continue
            if other.crashes.pop(other_attempt, None) is not None:
                isolation.update_suspects(other)


def are_settled(losses: list[workers_.Loss]) -> bool:
    """Return whether no run lost with a worker was started recently."""
    return all(_is_settled(row) for row in losses)


def _is_settled(row: workers_.Loss) -> bool:
    return row.age_s is not None and row.age_s >= crashes_.SETTLED_S


def _is_early(row: workers_.Loss) -> bool:
    return (
        row.age_s is not None and row.age_s * 1000 <= crashes_.EARLY_CRASH_MS
    )


def _has_probably_started(row: workers_.Loss) -> bool:
    """Return whether a run lost with a worker has probably started there.

    An order that got no answer was probably not carried out if the worker was
    up long after it was sent. One that crashes its worker at once gets none
    either.
    """
    run = row.task.run
    if row.age_s is None or run.seen or run.phase not in ORDERED_PHASES:
        return True
    least_ms = (row.age_s - row.doubt_s) * 1000
    return least_ms <= crashes_.EARLY_CRASH_MS


def _blamed_unit(task: ledgers.Task) -> ledgers.Group | str:
    """Return what is blamed as a unit: a gang, or else a task."""
    return task.group if task.group.step.gang else task.name
