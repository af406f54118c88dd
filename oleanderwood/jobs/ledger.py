"""What is known of all jobs and of the runs of their tasks.

Pure: no clock, socket or log. A task is started again only once each of its
earlier runs is known to be over; the functions here keep that.
"""

import collections.abc
import dataclasses
import enum

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import model
from oleanderwood.pools import reports

ATTEMPTS_PER_TERM = 1000
"""Attempts of one task under one term.

A later leader can't know the attempts that an earlier one gave on workers
that have died since, so each term numbers from a base of its own.
"""


AT_WORK_PERCENT = 100.0
"""What a long-running task reports once it serves."""


class RunPhase(enum.Enum):
    """What is known of a run that may be going on."""

    ORDERED = 'ordered'
    """Its start is under way."""

    RUNNING = 'running'
    """Its worker has answered that it runs."""

    DOUBTFUL = 'doubtful'
    """Its start got no answer, or a report lacks it."""

    STOPPING = 'stopping'
    """Its stop was ordered."""


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A run that may be going on.

    :ivar phase_since_s: when the phase began
    :ivar checkpoint: saved work that it goes on from
    :ivar ticket: by which its start was decided, '' if none is needed
    :ivar pace_percent: None: of a run that uses leftovers, to which an
        earlier leader gave one, or none
    :ivar stop_answered_s: when its worker took the order to stop it
    :ivar at_work_since_s: since when a long-running task works
    :ivar looked_at_s: when its headway was looked at last, and
        ``looked_percent`` how far it was
    :ivar sent: the order to start it may have left, at ``sent_s``; None if
        that isn't known
    :ivar seen: its worker has listed it, so that order was carried out
    :ivar proven: it has gone on for so long that it isn't suspected to crash
        its worker
    :ivar held_left_s: how much longer it takes if others hold it back; None
        if none do
    """

    worker: ids.VmId
    attempt: int
    phase: RunPhase
    begun_s: float
    phase_since_s: float
    checkpoint: str = ''
    ticket: str = ''
    stop_answered_s: float | None = None
    at_work_since_s: float | None = None
    percent: float = 0.0
    moved_on_s: float = 0.0
    latency_or_cpu: float = 0.0
    pace_percent: int | None = 100
    looked_at_s: float | None = None
    looked_percent: float = 0.0
    held_left_s: float | None = None
    sent: bool = False
    sent_s: float | None = None
    seen: bool = False
    proven: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class Task:
    """One task.

    :ivar over_attempt: all runs up to this one are over
    :ivar failed_attempts: runs that ended as failed
    :ivar away_since_s: since when a long-running task hasn't worked
    :ivar relocated: runs that were stopped to go on elsewhere, as others held
        them back
    :ivar crashes: workers that went while a run of it was there, by attempt
    :ivar losses: runs of it that a worker may have taken along as it went
    :ivar given_up: a run of it counts as over without its worker's word
    """

    name: ids.TaskId
    group: 'Group'
    index: int
    run: Run | None = None
    done: bool = False
    last_attempt: int = 0
    over_attempt: int = 0
    failed_attempts: set[int] = dataclasses.field(default_factory=set)
    failed_on: ids.VmId = ids.VmId('')
    checkpoint: str = ''
    not_before_s: float = 0.0
    away_since_s: float = 0.0
    given_up: bool = False
    crashes: dict[int, crashes_.Crash] = dataclasses.field(
        default_factory=dict
    )
    losses: int = 0
    relocated: int = 0


@dataclasses.dataclass(eq=False, slots=True)
class Group:
    """The tasks of one step in one occurrence of a job.

    :ivar tickets: workers that may run it, if its queue needs advice, with
        what a start must carry; None before they are known
    :ivar advised_until_s: until when the tickets are good
    :ivar asked: workers that the advice was asked about
    :ivar suspects: tasks that are suspected of crashing workers, by index
    """

    entry: 'Entry'
    occurrence: int
    number: int
    step: model.Step
    tasks: list[Task] = dataclasses.field(default_factory=list)
    waiting: dict[int, Task] = dataclasses.field(default_factory=dict)
    left: int = 0
    tickets: dict[ids.VmId, str] | None = None
    advised_until_s: float = 0.0
    asked: frozenset[ids.VmId] = frozenset()
    suspects: dict[int, Task] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(eq=False, slots=True)
class Entry:
    """One job.

    :ivar state: what is known now
    :ivar kept_state: what lies in the store
    :ivar inherited: an earlier leader may have started tasks of it
    :ivar cause: why it has failed
    :ivar more_pools: pools in which its tasks may be started beside the one
        that its queue had when it was handed in
    :ivar more_pools_kept: those that lie in the store
    :ivar crashes_noted: changes of what is known of crashes under its
        suspected tasks, of which ``crashes_kept`` lie in the store
    :ivar beyond: its tenant had sent as much as it may count on
    :ivar unwritten_since: number of the first change that must be written
    :ivar expected_s: how long a task of each step is expected to take, as
        known at ``expected_version``
    """

    job: model.Job
    arrived_s: float
    inherited: bool
    groups: dict[tuple[int, int], Group] = dataclasses.field(
        default_factory=dict
    )
    state: model.State = model.State.QUEUED
    kept_state: model.State = model.State.QUEUED
    cause: str = ''
    more_pools: set[ids.ServiceId] = dataclasses.field(default_factory=set)
    more_pools_kept: set[ids.ServiceId] = dataclasses.field(
        default_factory=set
    )
    crashes_noted: int = 0
    crashes_kept: int = 0
    beyond: bool = False
    unwritten_since: int = 0
    ended_s: float = 0.0
    expected_s: tuple[float, ...] = ()
    expected_version: int = -1


@dataclasses.dataclass(slots=True)
class Running:
    """What the tasks of a tenant need that may be running."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


@dataclasses.dataclass(eq=False)
class Ledger:
    """All jobs.

    :ivar open_groups: groups with waiting tasks, in order of arrival
    :ivar dirty: jobs of which something must be written
    :ivar under_way: jobs that are being written, with the number of the first
        change that goes with it
    :ivar changes: changes so far that must be written
    :ivar running: by tenant; kept as runs begin and end, since a pass over all
        runs takes milliseconds in a large fleet
    """

    term: int = 1
    entries: dict[ids.JobId, Entry] = dataclasses.field(default_factory=dict)
    open_groups: dict[Group, None] = dataclasses.field(default_factory=dict)
    dirty: dict[ids.JobId, Entry] = dataclasses.field(default_factory=dict)
    under_way: dict[ids.JobId, int] = dataclasses.field(default_factory=dict)
    changes: int = 0
    running: dict[ids.TenantId, Running] = dataclasses.field(
        default_factory=dict
    )


def add(ledger: Ledger, job: model.Job, now_s: float) -> Entry:
    """Take a job in; one that is known already stays as it is.

    That it wasn't there when this leader read the store proves nothing: an
    earlier leader may act for a while after that.
    """
    known = ledger.entries.get(job.job)
    if known is not None:
        return known
    entry = Entry(job, now_s, inherited=job.term < ledger.term)
    for occurrence in range(model.occurrences(job)):
        for number, step in enumerate(job.work.steps):
            group = Group(entry, occurrence, number, step, left=step.tasks)
            entry.groups[occurrence, number] = group
            for index in range(step.tasks):
                name = model.task_name(job.job, occurrence, number, index)
                task = Task(name, group, index, away_since_s=now_s)
                group.tasks.append(task)
                group.waiting[index] = task
            ledger.open_groups[group] = None
    ledger.entries[job.job] = entry
    return entry


def may_start_in(entry: Entry, pool: ids.ServiceId) -> bool:
    """Say whether a job's tasks may be started in a pool now.

    In another one than the job names they may be once that has been written,
    so that a later leader knows where they may run.
    """
    return pool == entry.job.queue.service or pool in entry.more_pools_kept


def open_pool(ledger: Ledger, entry: Entry, pool: ids.ServiceId) -> None:
    """Let it be written that a job's tasks may be started in a pool."""
    if pool not in entry.more_pools:
        entry.more_pools.add(pool)
        touch(ledger, entry)


def kept_pools(entry: Entry) -> set[ids.ServiceId]:
    """Give the pools in which tasks of a job may have been started."""
    return {entry.job.queue.service, *entry.more_pools_kept}


def final(entry: Entry) -> bool:
    """Say whether the job has reached its last state."""
    return entry.state in model.FINAL


def is_ready(group: Group, wall_ms: float) -> bool:
    """Say whether the turn of a group's tasks has come."""
    if wall_ms < model.due_ms(group.entry.job, group.occurrence):
        return False
    groups = group.entry.groups
    return all(
        groups[group.occurrence, number].left == 0
        for number in group.step.after
    )


def find(ledger: Ledger, name: ids.TaskId) -> Task | None:
    """Find a task by its name; None if there is no such task."""
    parts = name.split('.')
    entry = ledger.entries.get(ids.JobId(parts[0]))
    if entry is None or len(parts) != 4:
        return None
    group = entry.groups.get((int(parts[1]), int(parts[2])))
    index = int(parts[3])
    if group is None or not 0 <= index < len(group.tasks):
        return None
    return group.tasks[index]


def begin(
    ledger: Ledger,
    task: Task,
    worker: ids.VmId,
    now_s: float,
    attempt: int | None = None,
) -> Run:
    """Note a start that is about to be ordered.

    :param attempt: shared by the members of a gang; None: the next
    :raises errors.InvariantBreach: the task may be running, is done, or
        its job has ended
    """
    if task.run is not None or task.done or final(task.group.entry):
        raise errors.InvariantBreach(f'task {task.name} must not be started')
    _count(ledger, task, 1)
    attempt = attempt or next_attempt(ledger, task)
    task.last_attempt = attempt
    task.run = Run(
        worker,
        attempt,
        RunPhase.ORDERED,
        now_s,
        now_s,
        task.checkpoint,
        (task.group.tickets or {}).get(worker, ''),
    )
    _not_waiting(ledger, task)
    entry = task.group.entry
    if entry.state is model.State.QUEUED:
        entry.state = model.State.RUNNING
    return task.run


def _count(ledger: Ledger, task: Task, sign: int) -> None:
    """Note that a run of a task began, or with -1 that it is over."""
    tenant = task.group.entry.job.tenant
    if not tenant:
        return
    needs = task.group.step.needs
    running = ledger.running.setdefault(tenant, Running())
    running.cpu_millicores += sign * needs.cpu_millicores
    running.memory_mb += sign * needs.memory_mb
    running.gpus += sign * needs.gpus


def next_attempt(ledger: Ledger, task: Task) -> int:
    """Give the number of the task's next run."""
    base = 0
    if task.group.entry.inherited:
        base = (ledger.term - 1) * ATTEMPTS_PER_TERM
    return max(task.last_attempt, task.over_attempt, base) + 1


def adopt(
    ledger: Ledger, task: Task, worker: ids.VmId, attempt: int, now_s: float
) -> Run:
    """Note a run of an earlier leader that a worker reports."""
    if task.run is None:
        _count(ledger, task, 1)
    task.last_attempt = max(task.last_attempt, attempt)
    task.run = Run(worker, attempt, RunPhase.RUNNING, now_s, now_s)
    task.run.moved_on_s = now_s
    task.run.sent = task.run.seen = True
    if task.group.step.uses_leftover:
        task.run.pace_percent = None
    _not_waiting(ledger, task)
    entry = task.group.entry
    if entry.state is model.State.QUEUED:
        entry.state = model.State.RUNNING
    return task.run


def set_phase(run: Run, phase: RunPhase, now_s: float) -> None:
    """Note what became known of a run."""
    run.phase = phase
    run.phase_since_s = now_s


def over(
    ledger: Ledger, task: Task, now_s: float, checkpoint: str = ''
) -> None:
    """Note that the task's run is over and the task isn't done."""
    run = task.run
    if run is None:
        return
    _count(ledger, task, -1)
    task.over_attempt = max(task.over_attempt, run.attempt)
    note_checkpoint(task, checkpoint)
    task.away_since_s = now_s
    task.run = None
    if not task.done and not final(task.group.entry):
        task.group.waiting[task.index] = task
        ledger.open_groups[task.group] = None


def note_checkpoint(task: Task, checkpoint: str) -> None:
    """Note what a task has saved; a gang's members go on from the same."""
    if not checkpoint:
        return
    members = task.group.tasks if task.group.step.gang else (task,)
    for member in members:
        member.checkpoint = checkpoint


def mark_done(ledger: Ledger, task: Task, now_s: float) -> bool:
    """Note that a run of the task ended as done; False if known already.

    A run that may be going on elsewhere stays noted; it has to be stopped.
    """
    if task.done:
        return False
    task.done = True
    group = task.group
    _not_waiting(ledger, task)
    group.left -= 1
    touch(ledger, group.entry)
    _settle(ledger, group.entry, now_s)
    return True


def mark_failed(
    ledger: Ledger,
    task: Task,
    worker: ids.VmId,
    attempt: int,
    most_attempts: int,
    now_s: float,
) -> bool:
    """Note that a run ended as failed; False if that was known."""
    if attempt in task.failed_attempts:
        return False
    task.failed_attempts.add(attempt)
    task.failed_on = worker
    entry = task.group.entry
    touch(ledger, entry)
    if task.group.step.lasting or task.done or final(entry):
        return True
    failures = _failures(task)
    if failures >= most_attempts:
        entry.cause = f'{task.name} failed {failures} times'
        end(ledger, entry, model.State.FAILED, now_s)
    return True


def _failures(task: Task) -> int:
    """Count the failed runs of a task; a gang fails as one."""
    if not task.group.step.gang:
        return len(task.failed_attempts)
    members = task.group.tasks
    return len(set().union(*(row.failed_attempts for row in members)))


def end(
    ledger: Ledger, entry: Entry, state: model.State, now_s: float
) -> None:
    """Note that a job has reached a last state."""
    if final(entry):
        return
    entry.state = state
    entry.ended_s = now_s
    for group in entry.groups.values():
        group.waiting.clear()
        ledger.open_groups.pop(group, None)
    touch(ledger, entry)


def shown_state(entry: Entry) -> model.State:
    """Give what callers may be told: a last state only once it is kept."""
    if final(entry) and entry.kept_state is not entry.state:
        return model.State.RUNNING
    return entry.state


def has_begun(entry: Entry) -> bool:
    """Say whether any task of the job has been started."""
    return entry.state is not model.State.QUEUED


def forget(ledger: Ledger, job: ids.JobId) -> None:
    """Drop a job that nobody asks for any more."""
    entry = ledger.entries.pop(job, None)
    ledger.dirty.pop(job, None)
    if entry is not None:
        for group in entry.groups.values():
            ledger.open_groups.pop(group, None)


def runs(entry: Entry) -> collections.abc.Iterator[Task]:
    """Give the tasks of a job that may be running."""
    for group in entry.groups.values():
        for task in group.tasks:
            if task.run is not None:
                yield task


def _settle(ledger: Ledger, entry: Entry, now_s: float) -> None:
    if final(entry):
        return
    if all(group.left == 0 for group in entry.groups.values()):
        end(ledger, entry, model.State.COMPLETED, now_s)


def touch(ledger: Ledger, entry: Entry) -> None:
    """Note that a job has to be written."""
    ledger.changes += 1
    if entry.job.job not in ledger.dirty:
        entry.unwritten_since = ledger.changes
        ledger.dirty[entry.job.job] = entry


def _not_waiting(ledger: Ledger, task: Task) -> None:
    group = task.group
    group.waiting.pop(task.index, None)
    if not group.waiting:
        ledger.open_groups.pop(group, None)


def apply_report(task: Task, row: reports.Running, now_s: float) -> None:
    """Take over what a worker says of the task's current run."""
    run = task.run
    if run is None:
        return
    if row.percent != run.percent:
        run.moved_on_s = now_s
    run.percent = row.percent
    run.latency_or_cpu = row.latency_or_cpu
    note_checkpoint(task, row.checkpoint)
    if task.group.step.lasting:
        _note_work(task, run, now_s)


def _note_work(task: Task, run: Run, now_s: float) -> None:
    if run.percent >= AT_WORK_PERCENT:
        if run.at_work_since_s is None:
            run.at_work_since_s = now_s
    elif run.at_work_since_s is not None:
        run.at_work_since_s = None
        task.away_since_s = now_s
