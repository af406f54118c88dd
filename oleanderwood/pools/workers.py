"""What is known of one worker: its lease, its runs, its room.

Pure. A run is over only on proof: its worker lists its end, the worker took
the order to stop it and reports without it, the worker is gone, or the last
lease that it can hold has ended.
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
"""Rate of the slowest steady clock of a worker, by the platform's promise."""

STOP_REPEAT_S = 1.0
"""Time after which a stop is ordered again while its run is still listed;
a stop takes 0.2 s."""

REFUSED_S = 1.5
"""Time for which a refusal for want of room is remembered: a heartbeat, within
which the worker's entry tells of its room."""

SERVES_S = 1.0
"""Time at work after which a long-running task counts as sound."""

FAILURES_IN_A_ROW = 3
FAILED_JOBS = 2
"""Failed runs of different tasks, and of different jobs, with no good one
between, after which a worker is tried with one task at a time: all tasks of a
job that can't be done fail."""


class RunName(typing.NamedTuple):
    """One run of a task."""

    task: ids.TaskId
    attempt: int


@dataclasses.dataclass(eq=False, slots=True)
class Worker:
    """One worker.

    :ivar listed: its entry in the store is there and can be used
    :ivar rostered: the roster in the store surely names it where it is
    :ivar fenced: it has answered under this term, so that orders of an
        earlier one are refused there
    :ivar heard: it has told under this term of all that runs and has ended
    :ivar silent_since_s: since when calls to it fail; None: it answers
    :ivar silent_after_s: from when on it may have been so
    :ivar gone: proven: nothing runs there any more, and nothing will
    :ivar own_clock_ms, clock_at_s: its clock, and when it was read
    :ivar lease_end_s: by when any lease that it may hold has ended
    :ivar seen_end: number of the last end taken in
    :ivar kept_end: number of the last end that is in the store
    :ivar due: its machine is due for maintenance
    :ivar closed: no new tasks, its machine is about to go down or move
    :ivar emptying: no new tasks, another pool wants its machine
    :ivar refused: the least needs that it lately had no room for, until
        ``refused_until_s``
    :ivar failures: failed runs since the last good one
    :ivar stalled: runs that made no headway, since the last good one
    :ivar slow: it is several times slower than its pool
    :ivar foreign: steps of runs that it lists and that aren't ours; they take
        room until they have been stopped
    :ivar crowded: it lists a run of which nothing is known
    :ivar doubtful: runs whose order got no answer and that it hasn't listed;
        they may begin late, in this life or the executor's next
    :ivar provisional: it was met by its answer, where its executor's earlier
        life had been; where it belongs, its own entry tells
    """

    entry: reports.Entry
    listed: bool = True
    rostered: bool = False
    fenced: bool = False
    heard: bool = False
    silent_since_s: float | None = None
    silent_after_s: float = 0.0
    gone: bool = False
    own_clock_ms: float = 0.0
    clock_at_s: float = 0.0
    lease_end_s: float = 0.0
    seen_end: int = 0
    kept_end: int = 0
    due: bool = False
    closed: bool = False
    emptying: bool = False
    unhealthy_until_s: float = 0.0
    refused: model.Resources | None = None
    refused_until_s: float = 0.0
    failures: int = 0
    failed_tasks: set[str] = dataclasses.field(default_factory=set)
    stalled: int = 0
    slow: bool = False
    runs: dict[ids.TaskId, ledgers.Task] = dataclasses.field(
        default_factory=dict
    )
    strays: dict[RunName, float] = dataclasses.field(default_factory=dict)
    foreign: list[ledgers.Group] = dataclasses.field(default_factory=list)
    crowded: bool = False
    doubtful: dict[RunName, None] = dataclasses.field(default_factory=dict)
    provisional: bool = False
    idle_since_s: float = 0.0
    met_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """What a report told of a run, for the log."""

    event: str
    task: ids.TaskId
    attempt: int
    why: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A run that a worker may have taken along as it went.

    :ivar age_s: time from its order to the first sign that the worker is gone;
        None if it isn't known when that was sent
    :ivar doubt_s: by how much it may have been younger
    :ivar losses: runs of its task that were lost so, this one among them
    """

    task: ledgers.Task
    age_s: float | None
    doubt_s: float
    losses: int


@dataclasses.dataclass
class Outcome:
    """What a report makes necessary.

    :ivar stops: runs to stop at this worker
    :ivar elsewhere: tasks that are done whose run elsewhere is to be stopped
    :ivar lengths: tasks that are done, and how long they took
    :ivar changed: whether tasks became ready or room became free
    :ivar notes: for the log
    """

    stops: list[RunName] = dataclasses.field(default_factory=list)
    elsewhere: list[ledgers.Task] = dataclasses.field(default_factory=list)
    lengths: list[tuple[ledgers.Task, float]] = dataclasses.field(
        default_factory=list
    )
    changed: bool = False
    notes: list[Note] = dataclasses.field(default_factory=list)


def clock_now_ms(worker: Worker, now_s: float) -> float:
    """Estimate the worker's clock."""
    return worker.own_clock_ms + (now_s - worker.clock_at_s) * 1000


def note_lease(worker: Worker, lease_end_clock_ms: float) -> None:
    """Note that the worker may get a lease up to a time of its clock."""
    left_s = (lease_end_clock_ms - worker.own_clock_ms) / 1000
    end_s = worker.clock_at_s + left_s / SLOW_CLOCK_RATE
    worker.lease_end_s = max(worker.lease_end_s, end_s)


def note_answer(worker: Worker, report: reports.Report, now_s: float) -> None:
    """Note that the worker answered under this term."""
    worker.fenced = True
    worker.heard = worker.heard or report.whole
    worker.silent_since_s = None
    worker.own_clock_ms = report.own_clock_ms
    worker.clock_at_s = now_s


def take_report(
    ledger: ledgers.Ledger,
    worker: Worker,
    report: reports.Report,
    sent_s: float,
    now_s: float,
    most_attempts: collections.abc.Callable[[ledgers.Entry], int],
) -> Outcome:
    """Take over a worker's report.

    :param sent_s: when the call was sent that the report answers
    :param most_attempts: how often a job's task may fail
    """
    outcome = Outcome()
    for row in [*report.ended, *report.running]:
        worker.doubtful.pop(RunName(row.task, row.attempt), None)
    for row in report.ended:
        if row.number > worker.seen_end:
            worker.seen_end = row.number
            _take_end(ledger, worker, row, now_s, most_attempts, outcome)
    listed = set()
    for row in report.running:
        listed.add((row.task, row.attempt))
        _take_running(ledger, worker, row, sent_s, now_s, outcome)
    for name, task in list(worker.runs.items()):
        run = task.run
        if run is None or run.worker != worker.entry.worker:
            del worker.runs[name]
        elif report.whole and (name, run.attempt) not in listed:
            _take_absence(ledger, worker, task, sent_s, now_s, outcome)
    _note_foreign(ledger, worker, report)
    return outcome


def _note_foreign(ledger, worker, report) -> None:
    """Note what runs on a worker beside the runs that are ours."""
    worker.foreign = []
    worker.crowded = False
    for row in report.running:
        task = ledgers.find(ledger, row.task)
        if task is None:
            worker.crowded = True
        elif not is_current(worker, task, row.attempt):
            worker.foreign.append(task.group)


def _take_end(ledger, worker, row, now_s, most_attempts, outcome) -> None:
    outcome.changed = True
    outcome.notes.append(Note(row.how.value, row.task, row.attempt))
    task = ledgers.find(ledger, row.task)
    if task is None:
        outcome.notes.append(
            Note('stray-end', row.task, row.attempt, 'its job is not known')
        )
        return
    # It is listed, so its worker didn't go.
    isolation.clear(task, row.attempt)
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
        outcome.elsewhere.append(task)


def is_current(worker: Worker, task: ledgers.Task, attempt: int) -> bool:
    """Say whether this is the task's run that we know of."""
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
    """Note that the task's run on this worker is over."""
    worker.runs.pop(task.name, None)
    if not worker.runs:
        worker.idle_since_s = now_s
    ledgers.over(ledger, task, now_s, checkpoint)


def _take_running(ledger, worker, row, sent_s, now_s, outcome) -> None:
    task = ledgers.find(ledger, row.task)
    why = _why_unwanted(task)
    if why:
        _stop_stray(worker, row, now_s, outcome, why)
        return
    isolation.clear(task, row.attempt)
    if is_current(worker, task, row.attempt):
        run = task.run
        run.seen = True
        if isolation.note_going_on(task, sent_s - run.begun_s):
            outcome.changed = True
            outcome.notes.append(Note('trusted', row.task, row.attempt))
        if run.phase in (
            ledgers.RunPhase.ORDERED,
            ledgers.RunPhase.DOUBTFUL,
        ):
            ledgers.set_phase(run, ledgers.RunPhase.RUNNING, now_s)
            run.moved_on_s = now_s
        ledgers.apply_report(task, row, now_s)
        if serves(task, now_s):
            isolation.clear(task)
        if (
            run.phase is ledgers.RunPhase.STOPPING
            and now_s - run.phase_since_s > STOP_REPEAT_S
        ):
            ledgers.set_phase(run, run.phase, now_s)
            outcome.stops.append(RunName(row.task, row.attempt))
        return
    if row.attempt <= task.over_attempt:
        _stop_stray(worker, row, now_s, outcome, 'over')
        return
    if task.run is not None and row.attempt <= task.run.attempt:
        _stop_stray(worker, row, now_s, outcome, 'older')
        return
    if task.run is not None:
        outcome.elsewhere.append(task)
        _stop_stray(worker, row, now_s, outcome, 'second')
        return
    ledgers.adopt(ledger, task, worker.entry.worker, row.attempt, now_s)
    worker.runs[task.name] = task
    ledgers.apply_report(task, row, now_s)
    outcome.notes.append(Note('adopted', row.task, row.attempt))


def serves(task: ledgers.Task, now_s: float) -> bool:
    """Say whether a task that lasts works, so that no crash is its doing.

    Its worker will crash some day, and so may the next ones in a long life.
    """
    if not task.group.step.lasting:
        return False
    since_s = task.run.at_work_since_s
    return since_s is not None and now_s - since_s >= SERVES_S


def _why_unwanted(task: ledgers.Task | None) -> str:
    """Say why no run of a task is wanted; '' if one is."""
    if task is None:
        return 'its job is not known'
    if task.done:
        return 'its task is done'
    if ledgers.final(task.group.entry):
        return 'its job has ended'
    return ''


def _stop_stray(worker, row, now_s, outcome, why) -> None:
    key = RunName(row.task, row.attempt)
    if now_s - worker.strays.get(key, -STOP_REPEAT_S) < STOP_REPEAT_S:
        return
    worker.strays[key] = now_s
    outcome.stops.append(key)
    outcome.notes.append(Note('stray', row.task, row.attempt, why))


def _take_absence(ledger, worker, task, sent_s, now_s, outcome) -> None:
    """Draw conclusions from a report that lacks a run that we know of."""
    run = task.run
    if run.phase is ledgers.RunPhase.STOPPING:
        if run.stop_answered_s is not None and sent_s >= run.stop_answered_s:
            outcome.notes.append(Note('settled', task.name, run.attempt))
            outcome.changed = True
            end_run(ledger, worker, task, now_s)
        elif now_s - run.phase_since_s > STOP_REPEAT_S:
            ledgers.set_phase(run, run.phase, now_s)
            outcome.stops.append(RunName(task.name, run.attempt))
        return
    if run.phase is ledgers.RunPhase.ORDERED or sent_s < run.phase_since_s:
        return
    # It may yet begin there; once a stop was taken, it can't.
    ledgers.set_phase(run, ledgers.RunPhase.STOPPING, now_s)
    run.stop_answered_s = None
    outcome.stops.append(RunName(task.name, run.attempt))
    outcome.notes.append(Note('absent', task.name, run.attempt))


def succeed(
    ledger: ledgers.Ledger,
    former: Worker,
    worker: Worker,
    report: reports.Report,
    now_s: float,
) -> list[RunName]:
    """Let a later life of an executor answer for what an earlier one ran.

    All that ran in the earlier life is over. An order that was under way may
    yet be carried out, by the later life: it knows nothing of stops before.
    So what was never listed goes on as a run of the later life, until that
    lists it or has taken the order to stop it.

    :param report: of the later life
    :return: runs that the later life is to refuse
    """
    rows = [*report.running, *report.ended]
    listed = {RunName(row.task, row.attempt) for row in rows}
    refused = dict(former.doubtful)
    for task in list(former.runs.values()):
        run = task.run
        if run is None or run.worker != former.entry.worker:
            continue
        name = RunName(task.name, run.attempt)
        surely_over = run.seen or not run.sent
        if surely_over and name not in listed:
            end_run(ledger, former, task, now_s)
            continue
        run.worker = worker.entry.worker
        worker.runs[task.name] = task
        if name not in listed:
            worker.doubtful[name] = None
        if run.phase is ledgers.RunPhase.STOPPING:
            # The earlier life took that order, if any did.
            run.stop_answered_s = None
            refused[name] = None
    former.runs.clear()
    worker.doubtful.update(refused)
    return [name for name in refused if name not in listed]


def note_losses(worker: Worker, now_s: float) -> list[Loss]:
    """Note which runs a worker takes along that is found to be gone."""
    gone_s, after_s = now_s, worker.clock_at_s
    if worker.silent_since_s is not None:
        gone_s, after_s = worker.silent_since_s, worker.silent_after_s
    losses = []
    for task in worker.runs.values():
        run = task.run
        if run is None or run.worker != worker.entry.worker or not run.sent:
            continue
        task.losses += 1
        age_s = None
        if run.sent_s is not None:
            age_s = max(0.0, gone_s - run.sent_s)
        doubt_s = min(gone_s - after_s, age_s or 0.0)
        losses.append(Loss(task, age_s, doubt_s, task.losses))
    return losses


def lost(
    ledger: ledgers.Ledger, worker: Worker, now_s: float
) -> list[ledgers.Task]:
    """Note that all runs on a worker are over; gives their tasks."""
    tasks = []
    for task in list(worker.runs.values()):
        if task.run is not None and task.run.worker == worker.entry.worker:
            tasks.append(task)
            end_run(ledger, worker, task, now_s)
    worker.runs.clear()
    return tasks


def note_no_room(worker: Worker, needs: model.Resources, now_s: float) -> None:
    """Note that a worker had no room for what should have fitted.

    Its room has shrunk, and its entry doesn't tell so yet.
    """
    worker.refused = needs
    worker.refused_until_s = now_s + REFUSED_S


def refused(worker: Worker, now_s: float) -> model.Resources | None:
    """Give the least needs that a worker lately had no room for, if any."""
    return worker.refused if now_s < worker.refused_until_s else None


def used(worker: Worker) -> model.Resources:
    """Give what the runs on a worker take, as far as it counts."""
    cpu = memory = gpus = 0
    groups = [task.group for task in worker.runs.values()]
    for group in groups + worker.foreign:
        needs = group.step.needs
        if not group.step.uses_leftover:
            cpu += needs.cpu_millicores
        memory += needs.memory_mb
        gpus += needs.gpus
    return model.Resources(cpu, memory, gpus)


def may_run(worker: Worker, now_s: float) -> bool:
    """Say whether something may run on a worker, known to us or not."""
    return worker.fenced or now_s <= worker.lease_end_s


def accepts(worker: Worker, now_s: float) -> bool:
    """Say whether a worker may be given new tasks now."""
    return (
        worker.fenced
        and worker.listed
        and not worker.gone
        and not worker.closed
        and not worker.emptying
        and not worker.crowded
        and worker.silent_since_s is None
        and not worker.entry.draining
        and now_s >= worker.unhealthy_until_s
    )


def suspect(worker: Worker) -> bool:
    """Say whether a worker seems to fail or stall whatever it runs."""
    if worker.stalled > 0:
        return True
    if len(worker.failed_tasks) < FAILURES_IN_A_ROW:
        return False
    jobs = {task.partition('.')[0] for task in worker.failed_tasks}
    return len(jobs) >= FAILED_JOBS
