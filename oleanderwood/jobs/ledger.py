"""State of all jobs and of the runs of their tasks.

Pure: no clock, socket or log. A task is started again only once all its
earlier runs are known to be over; the functions here enforce this.
"""

import collections.abc
import dataclasses
import enum
import heapq

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import memory
from oleanderwood.jobs import model
from oleanderwood.jobs import ranges
from oleanderwood.pools import reports

ATTEMPTS_PER_TERM = 1000
"""Attempt numbers that each term reserves for a task.

A leader can't know which numbers earlier leaders used on workers that have
died since, so the attempts of each term are numbered from a base of its own.
"""


MAX_SHARE_OF_ONE_JOB = 1 / 32
"""Largest part of the memory for jobs that the open occurrences of a repeated
job may take. One whose tasks cannot be started would otherwise keep out all
others."""

MAX_OPENED_PER_PASS = 500
"""Largest number of occurrences that are opened at once; after an outage, many
are due."""

SERVING_PERCENT = 100.0
"""Progress that a long-running task reports once it serves."""


class RunPhase(enum.Enum):
    """Phase of a run that may be going on."""

    ORDERED = 'ordered'
    """The order to start it is under way."""

    RUNNING = 'running'
    """Its worker has confirmed that it runs."""

    UNCONFIRMED = 'doubtful'
    """The order to start it got no answer, or a report doesn't list it."""

    STOPPING = 'stopping'
    """The order to stop it was sent."""


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """A run that may be going on.

    :ivar phase_since_s: when the phase began
    :ivar checkpoint: checkpoint from which the run resumes
    :ivar ticket: advice ticket under which it was started; '' if none is
        needed
    :ivar stop_answered_s: when its worker acknowledged the order to stop it
    :ivar serving_since_s: since when a long-running task serves; None if it
        doesn't
    :ivar percent: progress that the worker reported last
    :ivar last_progress_s: when the run was confirmed or its reported progress
        last changed; 0 before
    :ivar pace_percent: part of its speed at which the worker was told to run
        it; None if unknown, as for an adopted run that uses leftover
        processor time: an earlier leader may have set a pace or not
    :ivar sampled_at_s: when its progress was last sampled;
        ``sampled_percent`` is the progress at that time
    :ivar starved_left_s: estimated time to its end while other runs starve it;
        None if it isn't starved
    :ivar sent: the order to start it may have left the leader, at ``sent_s``
        (None if the time is unknown)
    :ivar seen: its worker has listed it, so the order to start it was
        executed
    :ivar proven: it has run for so long that it is no longer suspected of
        crashing its worker
    """

    worker: ids.VmId
    attempt: int
    phase: RunPhase
    begun_s: float
    phase_since_s: float
    checkpoint: str = ''
    ticket: str = ''
    stop_answered_s: float | None = None
    serving_since_s: float | None = None
    percent: float = 0.0
    last_progress_s: float = 0.0
    latency_or_cpu: float = 0.0
    pace_percent: int | None = 100
    sampled_at_s: float | None = None
    sampled_percent: float = 0.0
    starved_left_s: float | None = None
    sent: bool = False
    sent_s: float | None = None
    seen: bool = False
    proven: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class Task:
    """One task.

    :ivar run: the run that may be going on
    :ivar last_attempt: highest attempt number used so far
    :ivar last_ended_attempt: all runs up to this attempt number are over
    :ivar failed_attempts: attempt numbers of the runs that failed
    :ivar failed_on: worker on which a run of it last failed or stalled
    :ivar not_before_s: earliest time of the next start
    :ivar not_serving_since_s: since when a long-running task hasn't served
    :ivar presumed_over: a run of it was considered over without a report from
        its worker
    :ivar crashes: crashes of workers that may have run it, by attempt
    :ivar crash_count: number of crashes since it last worked long enough, also
        of those that are no longer in ``crashes``
    :ivar backoff_until_s: end of the pause after its latest crash
    :ivar blamed_with: the other runs blamed for each of these crashes, as
        pairs of task and attempt, unless they were recorded by an earlier
        leader
    :ivar crashed_workers: the worker that each of these crashes took down,
        unless it was recorded by an earlier leader
    :ivar losses: number of its runs that may have ended with their worker
    :ivar relocated: number of its runs that were stopped to be restarted
        elsewhere because other runs starved them
    """

    name: ids.TaskId
    group: 'Group'
    index: int
    run: Run | None = None
    done: bool = False
    last_attempt: int = 0
    last_ended_attempt: int = 0
    failed_attempts: set[int] = dataclasses.field(default_factory=set)
    failed_on: ids.VmId = ids.VmId('')
    checkpoint: str = ''
    not_before_s: float = 0.0
    not_serving_since_s: float = 0.0
    presumed_over: bool = False
    crashes: dict[int, crashes_.Crash] = dataclasses.field(
        default_factory=dict
    )
    crash_count: int = 0
    backoff_until_s: float = 0.0
    blamed_with: dict[int, list[tuple[ids.TaskId, int]]] = dataclasses.field(
        default_factory=dict
    )
    crashed_workers: dict[int, ids.VmId] = dataclasses.field(
        default_factory=dict
    )
    losses: int = 0
    relocated: int = 0


@dataclasses.dataclass(eq=False, slots=True)
class Group:
    """The tasks of one step in one occurrence of a job.

    :ivar number: index of the step in the job
    :ivar waiting: tasks that wait to be started, by index
    :ivar left: number of tasks that aren't done
    :ivar blockers: number of steps that it waits for and that aren't done
    :ivar tickets: if the queue needs advice, the workers that may run the
        step, with the ticket that a start must carry; None until the advice
        has answered
    :ivar advised_until_s: when the tickets expire
    :ivar asked: workers about which the advice was asked
    :ivar advice_since_s: when it was last asked about, or else since when it
        has waited for advice; None if it doesn't wait
    :ivar refused_until_s: machines whose workers the advice refused for the
        step, with the time until which that counts
    :ivar suspects: tasks suspected of crashing their workers, by index
    """

    entry: 'Entry'
    occurrence: int
    number: int
    step: model.Step
    tasks: list[Task] = dataclasses.field(default_factory=list)
    waiting: dict[int, Task] = dataclasses.field(default_factory=dict)
    left: int = 0
    blockers: int = 0
    tickets: dict[ids.VmId, str] | None = None
    advised_until_s: float = 0.0
    asked: frozenset[ids.VmId] = frozenset()
    advice_since_s: float | None = None
    refused_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    suspects: dict[int, Task] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(eq=False, slots=True)
class Entry:
    """One job.

    :ivar arrived_s: when this leader received it
    :ivar inherited: an earlier leader may have started tasks of it
    :ivar groups: those of open occurrences, by occurrence and index of the
        step
    :ivar next_occurrence: the first occurrence that may not have been opened
    :ivar groups_left: number of groups that aren't done, by open occurrence
    :ivar open_bytes: estimated memory of the open occurrences
    :ivar done_groups: numbers of the groups that are done, see
        :func:`group_number`, of closed occurrences as well
    :ivar left: number of groups of all occurrences that aren't done
    :ivar has_run: a run of one of its tasks was seen: a worker took the order
        to start it, or listed it or its end
    :ivar state: present state
    :ivar stored_state: state that the store holds
    :ivar cause: why it has failed
    :ivar more_pools: pools in which its tasks may be started, in addition to
        the pool of its queue at submission
    :ivar more_pools_stored: the part of ``more_pools`` that the store holds
    :ivar crash_revision: number of changes to the crashes recorded for its
        tasks; the store holds the first ``stored_crash_revision`` of them
    :ivar crash_storage_due_s: time until which even tasks that aren't
        suspected wait until the store holds their crashes
    :ivar over_rate: it arrived when its tenant had used up its guaranteed rate
    :ivar first_unwritten: number of its first change that the store lacks
    :ivar dependents: indices of the steps that wait for each step
    :ivar expected: expected times of its steps, computed from version
        ``expected_version`` of the measured lengths
    """

    job: model.Job
    arrived_s: float
    inherited: bool
    groups: dict[tuple[int, int], Group] = dataclasses.field(
        default_factory=dict
    )
    next_occurrence: int = 0
    groups_left: dict[int, int] = dataclasses.field(default_factory=dict)
    open_bytes: int = 0
    done_groups: list[ranges.Range] = dataclasses.field(default_factory=list)
    left: int = 0
    has_run: bool = False
    state: model.State = model.State.QUEUED
    stored_state: model.State = model.State.QUEUED
    cause: str = ''
    more_pools: set[ids.ServiceId] = dataclasses.field(default_factory=set)
    more_pools_stored: set[ids.ServiceId] = dataclasses.field(
        default_factory=set
    )
    crash_revision: int = 0
    stored_crash_revision: int = 0
    crash_storage_due_s: float = 0.0
    over_rate: bool = False
    first_unwritten: int = 0
    ended_s: float = 0.0
    dependents: tuple[tuple[int, ...], ...] = ()
    expected: model.ExpectedTimes | None = None
    expected_version: int = -1


@dataclasses.dataclass(slots=True)
class Running:
    """Sum of the resources of a tenant's tasks that may be running."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


@dataclasses.dataclass(eq=False)
class Ledger:
    """All jobs.

    :ivar open_groups: groups with waiting tasks, in the order in which they
        were opened
    :ivar calendar: repeated jobs by the time at which their next occurrence is
        due, as a heap; jobs that have ended stay until then
    :ivar overdue: repeated jobs with an occurrence that is due and not open
    :ivar over: open occurrences of which all groups are done
    :ivar open_bytes: estimated memory of all open occurrences of jobs that
        haven't ended
    :ivar claimed_bytes: estimated memory of one occurrence of each job that
        hasn't ended
    :ivar max_open_bytes: memory beyond which a job with an open occurrence
        gets no further one
    :ivar dirty: jobs with changes that must be written
    :ivar under_way: jobs that are being written, with the number of the first
        change in that write
    :ivar changes: number of changes so far that must be written
    :ivar running: by tenant; updated as runs begin and end, since a pass over
        all runs takes milliseconds in a large fleet
    """

    term: int = 1
    entries: dict[ids.JobId, Entry] = dataclasses.field(default_factory=dict)
    open_groups: dict[Group, None] = dataclasses.field(default_factory=dict)
    calendar: list[tuple[float, ids.JobId]] = dataclasses.field(
        default_factory=list
    )
    overdue: dict[Entry, None] = dataclasses.field(default_factory=dict)
    over: dict[tuple[Entry, int], None] = dataclasses.field(
        default_factory=dict
    )
    open_bytes: int = 0
    claimed_bytes: int = 0
    max_open_bytes: float = memory.max_open_bytes(0)
    dirty: dict[ids.JobId, Entry] = dataclasses.field(default_factory=dict)
    under_way: dict[ids.JobId, int] = dataclasses.field(default_factory=dict)
    changes: int = 0
    running: dict[ids.TenantId, Running] = dataclasses.field(
        default_factory=dict
    )


def add(ledger: Ledger, job: model.Job, now_s: float) -> Entry:
    """Add a job, or return its entry unchanged if it is already known.

    A job that was accepted under an earlier term counts as inherited even if
    the store didn't hold it when this leader read it: an earlier leader may
    still act for a while after that.
    """
    known = ledger.entries.get(job.job)
    if known is not None:
        return known
    entry = Entry(job, now_s, inherited=job.term < ledger.term)
    entry.dependents = model.dependents(job.work)
    entry.left = model.occurrences(job) * len(job.work.steps)
    ledger.entries[job.job] = entry
    ledger.claimed_bytes += model.open_bytes(job.work)
    if job.work.repeats:
        _schedule_next(ledger, entry)
    else:
        _open(ledger, entry, 0)
    return entry


def set_done(ledger: Ledger, entry: Entry, done: list[ranges.Range]) -> None:
    """Set which groups of a job that was just added are done.

    :param done: their numbers, see :func:`group_number`
    """
    if not done:
        return
    entry.done_groups = done
    entry.left -= ranges.count(done)
    for group in entry.groups.values():
        ledger.open_groups.pop(group, None)
    entry.groups.clear()
    for occurrence in list(entry.groups_left):
        del entry.groups_left[occurrence]
        _add_open_bytes(ledger, entry, -1)
        _open(ledger, entry, occurrence)


def open_due(ledger: Ledger, wall_ms: float) -> None:
    """Open occurrences that are due, and close those that are over.

    Only open occurrences have groups and tasks, so that memory and the time of
    a pass follow what is due and not what callers ask for in advance. Jobs
    with several overdue occurrences take turns.
    """
    _close_over(ledger)
    while ledger.calendar and ledger.calendar[0][0] <= wall_ms:
        _due_ms, job = heapq.heappop(ledger.calendar)
        entry = ledger.entries.get(job)
        if entry is not None:
            ledger.overdue[entry] = None
    opened = 0
    waiting = list(ledger.overdue)
    while waiting and opened < MAX_OPENED_PER_PASS:
        waiting = [
            entry
            for entry in waiting
            if _has_memory(ledger, entry)
            and _open_next_due(ledger, entry, wall_ms)
        ]
        opened += len(waiting)


def _has_memory(ledger: Ledger, entry: Entry) -> bool:
    """Return whether a further occurrence of a job may be opened.

    One of each job always may: without it, the job would stand still.
    """
    if not entry.groups:
        return True
    size_bytes = model.open_bytes(entry.job.work)
    max_bytes = ledger.max_open_bytes
    return (
        entry.open_bytes + size_bytes <= MAX_SHARE_OF_ONE_JOB * max_bytes
        and ledger.open_bytes + size_bytes <= max_bytes
    )


def _open_next_due(ledger: Ledger, entry: Entry, wall_ms: float) -> bool:
    """Open a job's next occurrence; return False if none is due any more."""
    _skip_known(entry)
    is_over = is_final(entry) or (
        entry.next_occurrence >= model.occurrences(entry.job)
    )
    if is_over or model.due_ms(entry.job, entry.next_occurrence) > wall_ms:
        del ledger.overdue[entry]
        if not is_over:
            _schedule_next(ledger, entry)
        return False
    _open(ledger, entry, entry.next_occurrence)
    return True


def _schedule_next(ledger: Ledger, entry: Entry) -> None:
    due_ms = model.due_ms(entry.job, entry.next_occurrence)
    heapq.heappush(ledger.calendar, (due_ms, entry.job.job))


def _skip_known(entry: Entry) -> None:
    """Advance a job's next occurrence past those that are open or done."""
    steps = len(entry.job.work.steps)
    while True:
        number = entry.next_occurrence
        end = ranges.end_of(entry.done_groups, number * steps)
        if number in entry.groups_left:
            entry.next_occurrence += 1
        elif end is not None and end >= (number + 1) * steps - 1:
            entry.next_occurrence = (end + 1) // steps
        else:
            return


def _open(ledger: Ledger, entry: Entry, occurrence: int) -> None:
    """Make the groups and tasks of an occurrence; they wait unless done."""
    job = entry.job
    entry.groups_left[occurrence] = 0
    for number, step in enumerate(job.work.steps):
        group = Group(entry, occurrence, number, step)
        entry.groups[occurrence, number] = group
        is_done = ranges.contains(entry.done_groups, group_number(group))
        for index in range(step.tasks):
            name = model.task_name(job.job, occurrence, number, index)
            task = Task(name, group, index, done=is_done)
            task.not_serving_since_s = entry.arrived_s
            group.tasks.append(task)
        if is_done:
            continue
        group.left = step.tasks
        group.blockers = sum(
            entry.groups[occurrence, earlier].left > 0
            for earlier in set(step.after)
        )
        entry.groups_left[occurrence] += 1
        if not is_final(entry):
            group.waiting = dict(enumerate(group.tasks))
            ledger.open_groups[group] = None
    _add_open_bytes(ledger, entry, 1)
    if not entry.groups_left[occurrence]:
        ledger.over[entry, occurrence] = None


def _add_open_bytes(ledger: Ledger, entry: Entry, sign: int) -> None:
    """Add the memory of one occurrence of a job; -1 removes it."""
    size_bytes = sign * model.open_bytes(entry.job.work)
    entry.open_bytes += size_bytes
    ledger.open_bytes += size_bytes


def _close_over(ledger: Ledger) -> None:
    """Drop the groups of occurrences that are over, once nothing runs."""
    for entry, occurrence in list(ledger.over):
        numbers = range(len(entry.job.work.steps))
        groups = [entry.groups[occurrence, number] for number in numbers]
        if any(task.run for group in groups for task in group.tasks):
            continue
        del ledger.over[entry, occurrence]
        if is_final(entry) and not memory.is_large(entry.job.work):
            # Operators ask about jobs that have just ended.
            continue
        for group in groups:
            del entry.groups[occurrence, group.number]
        del entry.groups_left[occurrence]
        if not is_final(entry):
            _add_open_bytes(ledger, entry, -1)


def group_number(group: Group) -> int:
    """Return the number of a group, by occurrence and then by step."""
    steps = len(group.entry.job.work.steps)
    return group.occurrence * steps + group.number


def may_start_in(entry: Entry, pool: ids.ServiceId) -> bool:
    """Return whether a job's tasks may be started in a pool now.

    A pool other than the job's own must have been written first, so that a
    later leader knows where its tasks may run.
    """
    return pool == entry.job.queue.service or pool in entry.more_pools_stored


def open_pool(ledger: Ledger, entry: Entry, pool: ids.ServiceId) -> None:
    """Allow a job's tasks in a pool as soon as the store holds this."""
    if pool not in entry.more_pools:
        entry.more_pools.add(pool)
        touch(ledger, entry)


def stored_pools(entry: Entry) -> set[ids.ServiceId]:
    """Return the pools in which a job's tasks may have been started."""
    return {entry.job.queue.service, *entry.more_pools_stored}


def is_final(entry: Entry) -> bool:
    """Return whether a job is completed, failed or cancelled."""
    return entry.state in model.FINAL


def is_ready(group: Group, wall_ms: float) -> bool:
    """Return whether a group is due and the steps before it are done."""
    return not group.blockers and wall_ms >= model.due_ms(
        group.entry.job, group.occurrence
    )


def find(ledger: Ledger, name: ids.TaskId) -> Task | None:
    """Return the task with a name, or None if there is no such task."""
    parts = name.split('.')
    entry = ledger.entries.get(ids.JobId(parts[0]))
    if entry is None or len(parts) != 4:
        return None
    occurrence, number, index = map(int, parts[1:])
    if not 0 <= occurrence < model.occurrences(entry.job):
        return None
    if number not in range(len(entry.job.work.steps)):
        return None
    if occurrence not in entry.groups_left and is_final(entry):
        return None
    group = open_group(ledger, entry, occurrence, number)
    return group.tasks[index] if 0 <= index < len(group.tasks) else None


def open_group(
    ledger: Ledger, entry: Entry, occurrence: int, number: int
) -> Group:
    """Return a group; its occurrence is opened if it isn't.

    An earlier leader may have opened it before it is due by this clock, or
    further ones of a job than this leader has room for.
    """
    if occurrence not in entry.groups_left:
        _open(ledger, entry, occurrence)
    return entry.groups[occurrence, number]


def begin_run(
    ledger: Ledger,
    task: Task,
    worker: ids.VmId,
    now_s: float,
    attempt: int | None = None,
) -> Run:
    """Record a run whose start is about to be ordered.

    :param attempt: number shared by the members of a gang; None for the
        task's next one
    :raises errors.InvariantBreach: the task may be running, is done, or
        its job has ended
    """
    if task.run is not None or task.done or is_final(task.group.entry):
        raise errors.InvariantBreach(f'task {task.name} must not be started')
    _count_run(ledger, task, 1)
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
    _remove_waiting(ledger, task)
    entry = task.group.entry
    if entry.state is model.State.QUEUED:
        entry.state = model.State.RUNNING
    return task.run


def _count_run(ledger: Ledger, task: Task, sign: int) -> None:
    """Add a run to its tenant's resources in use; -1 removes it."""
    tenant = task.group.entry.job.tenant
    if not tenant:
        return
    needs = task.group.step.needs
    running = ledger.running.setdefault(tenant, Running())
    running.cpu_millicores += sign * needs.cpu_millicores
    running.memory_mb += sign * needs.memory_mb
    running.gpus += sign * needs.gpus


def next_attempt(ledger: Ledger, task: Task) -> int:
    """Return the attempt number of a task's next run."""
    base = 0
    if task.group.entry.inherited:
        base = (ledger.term - 1) * ATTEMPTS_PER_TERM
    return max(task.last_attempt, task.last_ended_attempt, base) + 1


def adopt(
    ledger: Ledger, task: Task, worker: ids.VmId, attempt: int, now_s: float
) -> Run:
    """Record a run that an earlier leader started and a worker reports."""
    if task.run is None:
        _count_run(ledger, task, 1)
    task.last_attempt = max(task.last_attempt, attempt)
    task.run = Run(worker, attempt, RunPhase.RUNNING, now_s, now_s)
    task.run.last_progress_s = now_s
    task.run.sent = task.run.seen = True
    if task.group.step.uses_leftover:
        task.run.pace_percent = None
    _remove_waiting(ledger, task)
    entry = task.group.entry
    entry.has_run = True
    if entry.state is model.State.QUEUED:
        entry.state = model.State.RUNNING
    return task.run


def set_phase(run: Run, phase: RunPhase, now_s: float) -> None:
    """Set the phase of a run, and when it began."""
    run.phase = phase
    run.phase_since_s = now_s


def end_run(
    ledger: Ledger,
    task: Task,
    now_s: float,
    checkpoint: str = '',
) -> None:
    """Record that a task's run is over; the task waits unless it is done."""
    run = task.run
    if run is None:
        return
    _count_run(ledger, task, -1)
    task.last_ended_attempt = max(task.last_ended_attempt, run.attempt)
    note_checkpoint(task, checkpoint)
    task.not_serving_since_s = now_s
    task.run = None
    if run.seen or run.phase is RunPhase.RUNNING:
        task.group.entry.has_run = True
    if not task.done and not is_final(task.group.entry):
        task.group.waiting[task.index] = task
        ledger.open_groups[task.group] = None


def note_checkpoint(task: Task, checkpoint: str) -> None:
    """Record a task's checkpoint; the members of a gang share it."""
    if not checkpoint:
        return
    members = task.group.tasks if task.group.step.gang else (task,)
    for member in members:
        member.checkpoint = checkpoint


def mark_done(ledger: Ledger, task: Task, now_s: float) -> bool:
    """Record that a task is done; return False if that was known.

    Another run that may be going on stays recorded, as it must be stopped.
    """
    if task.done:
        return False
    task.done = True
    group = task.group
    _remove_waiting(ledger, task)
    group.left -= 1
    touch(ledger, group.entry)
    if not group.left:
        _note_group_done(ledger, group)
    end_if_completed(ledger, group.entry, now_s)
    return True


def _note_group_done(ledger: Ledger, group: Group) -> None:
    """Record that all tasks of a group are done."""
    entry, occurrence = group.entry, group.occurrence
    if ranges.add(entry.done_groups, group_number(group)):
        entry.left -= 1
    for number in entry.dependents[group.number]:
        entry.groups[occurrence, number].blockers -= 1
    entry.groups_left[occurrence] -= 1
    if not entry.groups_left[occurrence]:
        ledger.over[entry, occurrence] = None


def mark_failed(
    ledger: Ledger,
    task: Task,
    worker: ids.VmId,
    attempt: int,
    most_attempts: int,
    now_s: float,
) -> bool:
    """Record that a run failed; return False if that was known.

    The job fails once the task has failed ``most_attempts`` times, unless the
    task is long-running.
    """
    if attempt in task.failed_attempts:
        return False
    task.failed_attempts.add(attempt)
    task.failed_on = worker
    entry = task.group.entry
    touch(ledger, entry)
    if task.group.step.is_long_running or task.done or is_final(entry):
        return True
    failures = _failures(task)
    if failures >= most_attempts:
        entry.cause = f'{task.name} failed {failures} times'
        end(ledger, entry, model.State.FAILED, now_s)
    return True


def _failures(task: Task) -> int:
    """Return the number of a task's failed runs; a gang fails as a whole."""
    if not task.group.step.gang:
        return len(task.failed_attempts)
    members = task.group.tasks
    return len(set().union(*(row.failed_attempts for row in members)))


def end(
    ledger: Ledger, entry: Entry, state: model.State, now_s: float
) -> None:
    """Set a job's final state, and drop its tasks that wait."""
    if is_final(entry):
        return
    entry.state = state
    entry.ended_s = now_s
    ledger.claimed_bytes -= model.open_bytes(entry.job.work)
    ledger.open_bytes -= entry.open_bytes
    entry.open_bytes = 0
    for group in entry.groups.values():
        group.waiting.clear()
        ledger.open_groups.pop(group, None)
    if memory.is_large(entry.job.work):
        for occurrence in entry.groups_left:
            ledger.over[entry, occurrence] = None
    touch(ledger, entry)


def shown_state(entry: Entry) -> model.State:
    """Return the state for callers: a final one only once it is stored."""
    if is_final(entry) and entry.stored_state is not entry.state:
        return model.State.RUNNING
    return state_to_store(entry)


def state_to_store(entry: Entry) -> model.State:
    """Return the state that later leaders and callers may rely on.

    A job is queued until a run of it is seen, whatever starts were decided.
    """
    if is_final(entry) or entry.has_run:
        return entry.state
    return model.State.QUEUED


def has_begun(entry: Entry) -> bool:
    """Return whether a start of any task of a job has been decided."""
    return entry.state is not model.State.QUEUED


def is_pending(entry: Entry) -> bool:
    """Return whether no task of a job has begun, as callers count it.

    An order to start one proves nothing: its worker may refuse it, or be lost
    before it takes it.
    """
    return not entry.has_run and not is_final(entry)


def forget(ledger: Ledger, job: ids.JobId) -> None:
    """Remove a job that callers no longer ask for."""
    entry = ledger.entries.pop(job, None)
    ledger.dirty.pop(job, None)
    if entry is None:
        return
    if not is_final(entry):
        ledger.claimed_bytes -= model.open_bytes(entry.job.work)
    for group in entry.groups.values():
        ledger.open_groups.pop(group, None)
    ledger.open_bytes -= entry.open_bytes
    ledger.overdue.pop(entry, None)
    for occurrence in entry.groups_left:
        ledger.over.pop((entry, occurrence), None)


def runs(entry: Entry) -> collections.abc.Iterator[Task]:
    """Yield the tasks of a job that may be running."""
    for group in entry.groups.values():
        for task in group.tasks:
            if task.run is not None:
                yield task


def end_if_completed(ledger: Ledger, entry: Entry, now_s: float) -> None:
    """End a job of which all groups are done."""
    if not entry.left and not is_final(entry):
        end(ledger, entry, model.State.COMPLETED, now_s)


def touch(ledger: Ledger, entry: Entry) -> None:
    """Mark a job as changed, so that it is written."""
    ledger.changes += 1
    if entry.job.job not in ledger.dirty:
        entry.first_unwritten = ledger.changes
        ledger.dirty[entry.job.job] = entry


def _remove_waiting(ledger: Ledger, task: Task) -> None:
    group = task.group
    group.waiting.pop(task.index, None)
    if not group.waiting:
        ledger.open_groups.pop(group, None)


def apply_report(task: Task, row: reports.Running, now_s: float) -> None:
    """Update a task's run from a worker's report."""
    run = task.run
    if run is None:
        return
    if row.percent != run.percent:
        run.last_progress_s = now_s
    run.percent = row.percent
    run.latency_or_cpu = row.latency_or_cpu
    note_checkpoint(task, row.checkpoint)
    if task.group.step.is_long_running:
        _update_serving(task, run, now_s)


def _update_serving(task: Task, run: Run, now_s: float) -> None:
    if run.percent >= SERVING_PERCENT:
        if run.serving_since_s is None:
            run.serving_since_s = now_s
    elif run.serving_since_s is not None:
        run.serving_since_s = None
        task.not_serving_since_s = now_s
