"""State of one worker: its lease, its runs and its use of resources.

Pure. A run counts as over only on proof: its worker lists its end, the worker
took the order to stop it and reports without it, the worker is gone, or the
last lease that it can hold has ended.
"""

import collections.abc
import dataclasses
import typing

from oleanderwood import ids
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import reports

SLOW_CLOCK_RATE = 0.98
"""Lowest rate of a worker's steady clock that the platform guarantees."""

STOP_REPEAT_S = 1.0
"""Time after which a stop is ordered again while its run is still listed. A
stop takes 0.2 s."""

REJECTION_MEMORY_S = 1.5
"""Time for which a rejection for lack of resources is remembered: one
heartbeat, within which the worker's entry reports its reduced capacity."""

MIN_AT_WORK_S = 1.0
"""Time at work after which a long-running task counts as healthy."""

FAILED_TASKS = 3
FAILED_JOBS = 2
"""A worker on which this many tasks of this many jobs have failed, without a
successful run in between, gets one task at a time. Both numbers are needed,
since all tasks of a job that cannot succeed fail on any worker."""


class RunName(typing.NamedTuple):
    """Identifies one run of a task."""

    task: ids.TaskId
    attempt: int


@dataclasses.dataclass(eq=False, slots=True)
class Worker:
    """State of one worker as its leader knows it.

    :ivar listed: its entry is in the store and is usable
    :ivar is_in_stored_list: the stored list of workers is known to name it at
        its current place
    :ivar fenced: it has answered under this term, so it refuses orders of
        earlier terms
    :ivar has_reported: it has reported all its runs and ends under this term
    :ivar silent_since_s: when calls to it began to fail; None: it answers
    :ivar silent_after_s: earliest time at which it may have become unreachable
    :ivar gone: it is proven that nothing runs on it any more, nor will
    :ivar own_clock_ms, clock_at_s: its clock, and when that was read
    :ivar lease_end_s: time by which any lease that it may hold has ended
    :ivar seen_end: number of the last end that was processed
    :ivar stored_end: number of the last end that is stored
    :ivar maintenance_due: its machine is due for maintenance
    :ivar closed: accepts no tasks, as its machine is about to go down or move
    :ivar is_reclaimed: accepts no tasks, as another pool needs its machine
    :ivar rejected_needs: smallest request that it recently rejected for lack
        of resources; valid until ``rejected_until_s``
    :ivar failures: failed runs since the last successful one
    :ivar stalled: stalled runs since the last successful one
    :ivar slow: it is several times slower than its pool
    :ivar orphan_stops_s: when each orphaned run was last ordered to stop
    :ivar unmanaged: steps of unmanaged runs that it lists; they use resources
        until they have been stopped
    :ivar has_unknown_runs: it lists a run of an unknown job, whose needs are
        unknown too
    :ivar unconfirmed_runs: runs whose start order got no answer and that the
        worker has not listed. They may begin late, in this or the next
        incarnation of the executor
    :ivar provisional: added when it answered a call meant for an earlier
        incarnation; its pool is not certain until its own entry is read
    :ivar first_contact_s: when it was first contacted
    """

    entry: reports.Entry
    listed: bool = True
    is_in_stored_list: bool = False
    fenced: bool = False
    has_reported: bool = False
    silent_since_s: float | None = None
    silent_after_s: float = 0.0
    gone: bool = False
    own_clock_ms: float = 0.0
    clock_at_s: float = 0.0
    lease_end_s: float = 0.0
    seen_end: int = 0
    stored_end: int = 0
    maintenance_due: bool = False
    closed: bool = False
    is_reclaimed: bool = False
    unhealthy_until_s: float = 0.0
    rejected_needs: model.Resources | None = None
    rejected_until_s: float = 0.0
    failures: int = 0
    failed_tasks: set[str] = dataclasses.field(default_factory=set)
    stalled: int = 0
    slow: bool = False
    runs: dict[ids.TaskId, ledgers.Task] = dataclasses.field(
        default_factory=dict
    )
    orphan_stops_s: dict[RunName, float] = dataclasses.field(
        default_factory=dict
    )
    unmanaged: list[ledgers.Group] = dataclasses.field(default_factory=list)
    has_unknown_runs: bool = False
    unconfirmed_runs: dict[RunName, None] = dataclasses.field(
        default_factory=dict
    )
    provisional: bool = False
    idle_since_s: float = 0.0
    first_contact_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunEvent:
    """Log event about a run, derived from a report."""

    event: str
    task: ids.TaskId
    attempt: int
    why: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A run that may have been lost with its worker.

    :ivar age_s: time from its start order to the first sign that the worker
        was gone; None if the time of the order is unknown
    :ivar doubt_s: by how much the age may be overestimated
    :ivar losses: runs of its task that were lost this way, including this one
    """

    task: ledgers.Task
    age_s: float | None
    doubt_s: float
    losses: int


@dataclasses.dataclass
class Outcome:
    """Actions that follow from a report.

    :ivar stops: runs to stop on this worker
    :ivar stop_elsewhere: tasks whose run on another worker is to be stopped:
        they are done, or this worker reports a second run
    :ivar lengths: tasks that are done, and how long they took in seconds
    :ivar changed: whether tasks became ready or resources were freed
    :ivar events: events for the log
    """

    stops: list[RunName] = dataclasses.field(default_factory=list)
    stop_elsewhere: list[ledgers.Task] = dataclasses.field(
        default_factory=list
    )
    lengths: list[tuple[ledgers.Task, float]] = dataclasses.field(
        default_factory=list
    )
    changed: bool = False
    events: list[RunEvent] = dataclasses.field(default_factory=list)


def clock_now_ms(worker: Worker, now_s: float) -> float:
    """Return an estimate of the worker's clock."""
    return worker.own_clock_ms + (now_s - worker.clock_at_s) * 1000


def record_lease(worker: Worker, lease_end_clock_ms: float) -> None:
    """Record that the worker may get a lease up to a time of its clock."""
    left_s = (lease_end_clock_ms - worker.own_clock_ms) / 1000
    end_s = worker.clock_at_s + left_s / SLOW_CLOCK_RATE
    worker.lease_end_s = max(worker.lease_end_s, end_s)


def record_answer(
    worker: Worker, report: reports.Report, now_s: float
) -> None:
    """Record that the worker answered under this term."""
    worker.fenced = True
    worker.has_reported = worker.has_reported or report.whole
    worker.silent_since_s = None
    worker.own_clock_ms = report.own_clock_ms
    worker.clock_at_s = now_s


def process_report(
    ledger: ledgers.Ledger,
    worker: Worker,
    report: reports.Report,
    sent_s: float,
    now_s: float,
    most_attempts: collections.abc.Callable[[ledgers.Entry], int],
) -> Outcome:
    """Apply a worker's report.

    :param sent_s: when the call that the report answers was sent
    :param most_attempts: returns the number of failures of a task at which its
        job fails
    """
    outcome = Outcome()
    for row in [*report.ended, *report.running]:
        worker.unconfirmed_runs.pop(RunName(row.task, row.attempt), None)
    for row in report.ended:
        if row.number > worker.seen_end:
            worker.seen_end = row.number
            _apply_end(ledger, worker, row, now_s, most_attempts, outcome)
    listed = set()
    for row in report.running:
        listed.add((row.task, row.attempt))
        _apply_running(ledger, worker, row, sent_s, now_s, outcome)
    for name, task in list(worker.runs.items()):
        run = task.run
        if run is None or run.worker != worker.entry.worker:
            del worker.runs[name]
        elif report.whole and (name, run.attempt) not in listed:
            _apply_absence(ledger, worker, task, sent_s, now_s, outcome)
    _record_unmanaged(ledger, worker, report)
    return outcome


def _record_unmanaged(ledger, worker, report) -> None:
    """Record the worker's runs that this leader does not manage."""
    worker.unmanaged = []
    worker.has_unknown_runs = False
    for row in report.running:
        task = ledgers.find(ledger, row.task)
        if task is None:
            worker.has_unknown_runs = True
        elif not is_current(worker, task, row.attempt):
            worker.unmanaged.append(task.group)


def _apply_end(ledger, worker, row, now_s, most_attempts, outcome) -> None:
    outcome.changed = True
    outcome.events.append(RunEvent(row.how.value, row.task, row.attempt))
    task = ledgers.find(ledger, row.task)
    if task is None:
        outcome.events.append(
            RunEvent(
                'stray-end', row.task, row.attempt, 'its job is not known'
            )
        )
        return
    task.group.entry.has_run = True
    # Its worker listed this end, so it did not crash.
    isolation.clear(ledger, task, row.attempt)
    current = is_current(worker, task, row.attempt)
    expected = current and task.run.phase is not ledgers.RunPhase.STOPPING
    if row.how is reports.How.DONE:
        worker.failures = 0
        worker.stalled = 0
        worker.failed_tasks.clear()
        if current:
            length_s = now_s - task.run.begun_s
            outcome.lengths.append((task, length_s))
        members = [task]
        if task.group.step.gang:
            members = task.group.tasks
        for member in members:
            if ledgers.mark_done(ledger, member, now_s):
                _stop_elsewhere(worker, member, row.attempt, outcome)
    elif row.how is reports.How.FAILED:
        if expected:
            worker.failures += 1
            worker.failed_tasks.add(row.task)
        ledgers.mark_failed(
            ledger,
            task,
            worker.entry.worker,
            row.attempt,
            most_attempts(task.group.entry),
            now_s,
        )
    if current:
        end_run(ledger, worker, task, now_s, row.checkpoint)


def _stop_elsewhere(worker, task, attempt, outcome) -> None:
    run = task.run
    if run is None:
        return
    if run.worker != worker.entry.worker or run.attempt != attempt:
        outcome.stop_elsewhere.append(task)


def is_current(worker: Worker, task: ledgers.Task, attempt: int) -> bool:
    """Return whether this is the task's current run."""
    run = task.run
    return (
        run is not None
        and run.worker == worker.entry.worker
        and run.attempt == attempt
    )


def end_run(
    ledger: ledgers.Ledger,
    worker: Worker,
    task: ledgers.Task,
    now_s: float,
    checkpoint: str = '',
) -> None:
    """Record that the task's run on this worker is over."""
    worker.runs.pop(task.name, None)
    if not worker.runs:
        worker.idle_since_s = now_s
    ledgers.end_run(ledger, task, now_s, checkpoint)


def _apply_running(ledger, worker, row, sent_s, now_s, outcome) -> None:
    task = ledgers.find(ledger, row.task)
    why = _reason_unwanted(task)
    if why:
        _stop_orphan(worker, row, now_s, outcome, why)
        return
    isolation.clear(ledger, task, row.attempt)
    if is_current(worker, task, row.attempt):
        run = task.run
        run.seen = task.group.entry.has_run = True
        if isolation.update_probation(task, sent_s - run.begun_s):
            outcome.changed = True
            outcome.events.append(RunEvent('trusted', row.task, row.attempt))
        if run.phase in (
            ledgers.RunPhase.ORDERED,
            ledgers.RunPhase.UNCONFIRMED,
        ):
            ledgers.set_phase(run, ledgers.RunPhase.RUNNING, now_s)
            run.last_progress_s = now_s
        ledgers.apply_report(task, row, now_s)
        if is_established(task, now_s):
            isolation.clear(ledger, task)
        if (
            run.phase is ledgers.RunPhase.STOPPING
            and now_s - run.phase_since_s > STOP_REPEAT_S
        ):
            ledgers.set_phase(run, run.phase, now_s)
            outcome.stops.append(RunName(row.task, row.attempt))
        return
    if row.attempt <= task.last_ended_attempt:
        _stop_orphan(worker, row, now_s, outcome, 'over')
        return
    if task.run is not None and row.attempt <= task.run.attempt:
        _stop_orphan(worker, row, now_s, outcome, 'older')
        return
    if task.run is not None:
        outcome.stop_elsewhere.append(task)
        _stop_orphan(worker, row, now_s, outcome, 'second')
        return
    ledgers.adopt(ledger, task, worker.entry.worker, row.attempt, now_s)
    worker.runs[task.name] = task
    ledgers.apply_report(task, row, now_s)
    outcome.events.append(RunEvent('adopted', row.task, row.attempt))


def is_established(task: ledgers.Task, now_s: float) -> bool:
    """Return whether a long-running task has been at work long enough.

    Such a task is trusted and not blamed for a crash: every worker crashes at
    some time, and over a long run several may.
    """
    if not task.group.step.is_long_running:
        return False
    since_s = task.run.serving_since_s
    return since_s is not None and now_s - since_s >= MIN_AT_WORK_S


def _reason_unwanted(task: ledgers.Task | None) -> str:
    """Return why no run of a task is wanted; '' if one is."""
    if task is None:
        return 'its job is not known'
    if task.done:
        return 'its task is done'
    if ledgers.is_final(task.group.entry):
        return 'its job has ended'
    return ''


def _stop_orphan(worker, row, now_s, outcome, why) -> None:
    key = RunName(row.task, row.attempt)
    if now_s - worker.orphan_stops_s.get(key, -STOP_REPEAT_S) < STOP_REPEAT_S:
        return
    worker.orphan_stops_s[key] = now_s
    outcome.stops.append(key)
    outcome.events.append(RunEvent('stray', row.task, row.attempt, why))


def _apply_absence(ledger, worker, task, sent_s, now_s, outcome) -> None:
    """Update a known run that is missing from a report."""
    run = task.run
    if run.phase is ledgers.RunPhase.STOPPING:
        if run.stop_answered_s is not None and sent_s >= run.stop_answered_s:
            outcome.events.append(RunEvent('settled', task.name, run.attempt))
            outcome.changed = True
            end_run(ledger, worker, task, now_s)
        elif now_s - run.phase_since_s > STOP_REPEAT_S:
            ledgers.set_phase(run, run.phase, now_s)
            outcome.stops.append(RunName(task.name, run.attempt))
        return
    if run.phase is ledgers.RunPhase.ORDERED or sent_s < run.phase_since_s:
        return
    # It may still begin there until the worker has taken a stop.
    ledgers.set_phase(run, ledgers.RunPhase.STOPPING, now_s)
    run.stop_answered_s = None
    outcome.stops.append(RunName(task.name, run.attempt))
    outcome.events.append(RunEvent('absent', task.name, run.attempt))


def transfer_runs(
    ledger: ledgers.Ledger,
    previous: Worker,
    worker: Worker,
    report: reports.Report,
    now_s: float,
) -> list[RunName]:
    """Transfer the runs of an executor's incarnation to its next one.

    All that ran in the earlier incarnation is over. A start order in flight
    may still be carried out by the later incarnation, which knows of no stop
    taken before. A run that was never listed is therefore kept as a run of the
    later incarnation until that lists it or has taken the order to stop it.

    :param report: report of the later incarnation
    :return: runs that the later incarnation has to refuse
    """
    rows = [*report.running, *report.ended]
    listed = {RunName(row.task, row.attempt) for row in rows}
    to_refuse = dict(previous.unconfirmed_runs)
    for task in list(previous.runs.values()):
        run = task.run
        if run is None or run.worker != previous.entry.worker:
            continue
        name = RunName(task.name, run.attempt)
        surely_over = run.seen or not run.sent
        if surely_over and name not in listed:
            end_run(ledger, previous, task, now_s)
            continue
        run.worker = worker.entry.worker
        worker.runs[task.name] = task
        if name not in listed:
            worker.unconfirmed_runs[name] = None
        if run.phase is ledgers.RunPhase.STOPPING:
            # Only the earlier incarnation may have taken that stop.
            run.stop_answered_s = None
            to_refuse[name] = None
    previous.runs.clear()
    worker.unconfirmed_runs.update(to_refuse)
    return [name for name in to_refuse if name not in listed]


def record_losses(worker: Worker, now_s: float) -> list[Loss]:
    """Record which runs are lost with a worker that is gone."""
    losses = losses_if_gone(worker, now_s)
    for row in losses:
        row.task.losses = row.losses
    return losses


def gone_between_s(worker: Worker, now_s: float) -> tuple[float, float]:
    """Return when a worker went down at the earliest and at the latest."""
    if worker.silent_since_s is None:
        return worker.clock_at_s, now_s
    return worker.silent_after_s, worker.silent_since_s


def losses_if_gone(worker: Worker, now_s: float) -> list[Loss]:
    """Return the runs that are lost with a worker if it is gone."""
    after_s, gone_s = gone_between_s(worker, now_s)
    losses = []
    for task in worker.runs.values():
        run = task.run
        if run is None or run.worker != worker.entry.worker or not run.sent:
            continue
        age_s = None
        if run.sent_s is not None:
            age_s = max(0.0, gone_s - run.sent_s)
        doubt_s = min(gone_s - after_s, age_s or 0.0)
        losses.append(Loss(task, age_s, doubt_s, task.losses + 1))
    return losses


def end_all_runs(
    ledger: ledgers.Ledger, worker: Worker, now_s: float
) -> list[ledgers.Task]:
    """Record that all runs on a worker are over; return their tasks."""
    tasks = []
    for task in list(worker.runs.values()):
        if task.run is not None and task.run.worker == worker.entry.worker:
            tasks.append(task)
            end_run(ledger, worker, task, now_s)
    worker.runs.clear()
    return tasks


def record_rejection(
    worker: Worker, needs: model.Resources, now_s: float
) -> None:
    """Record that a worker rejected a request that should have fitted.

    Its capacity has shrunk, and its entry does not show that yet.
    """
    worker.rejected_needs = needs
    worker.rejected_until_s = now_s + REJECTION_MEMORY_S


def recent_rejection(worker: Worker, now_s: float) -> model.Resources | None:
    """Return the smallest recently rejected request, if any."""
    return worker.rejected_needs if now_s < worker.rejected_until_s else None


def used_resources(worker: Worker) -> model.Resources:
    """Return the resources that the runs on a worker use.

    The CPU of runs that use leftover capacity does not count.
    """
    cpu = memory = gpus = 0
    groups = [task.group for task in worker.runs.values()]
    for group in groups + worker.unmanaged:
        needs = group.step.needs
        if not group.step.uses_leftover:
            cpu += needs.cpu_millicores
        memory += needs.memory_mb
        gpus += needs.gpus
    return model.Resources(cpu, memory, gpus)


def may_run(worker: Worker, now_s: float) -> bool:
    """Return whether a worker may run anything, known to the leader or not."""
    return worker.fenced or now_s <= worker.lease_end_s


def accepts(worker: Worker, now_s: float) -> bool:
    """Return whether a worker may be given new tasks now."""
    return (
        worker.fenced
        and worker.listed
        and not worker.gone
        and not worker.closed
        and not worker.is_reclaimed
        and not worker.has_unknown_runs
        and worker.silent_since_s is None
        and not worker.entry.draining
        and now_s >= worker.unhealthy_until_s
    )


def is_suspect(worker: Worker) -> bool:
    """Return whether a worker seems to fail or stall all that it runs."""
    if worker.stalled > 0:
        return True
    if len(worker.failed_tasks) < FAILED_TASKS:
        return False
    jobs = {task.partition('.')[0] for task in worker.failed_tasks}
    return len(jobs) >= FAILED_JOBS
