"""Jobs as callers submit them: steps of equal tasks."""

import collections.abc
import enum

import msgspec

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.jobs import queues
from oleanderwood.jobs import stored


class State(enum.Enum):
    """State of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL = (State.COMPLETED, State.FAILED, State.CANCELLED)
"""States that a job never leaves."""


MAX_TASKS = 20_000
"""Tasks of one job over all its occurrences."""

STEP_BYTES = 2300
TASK_BYTES = 700
"""Memory in which a leader holds a step of one occurrence of a job, without
its tasks, and one task, with the containers that name them."""


class Resources(msgspec.Struct, frozen=True):
    """Resources that a task needs or a worker has."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


def needs_at_least(needs: Resources, minimum: Resources) -> bool:
    """Return whether needs reach a minimum in each resource."""
    return (
        needs.cpu_millicores >= minimum.cpu_millicores
        and needs.memory_mb >= minimum.memory_mb
        and needs.gpus >= minimum.gpus
    )


def total(rows: collections.abc.Iterable[Resources]) -> Resources:
    """Return the sum of several resources."""
    cpu = memory = gpus = 0
    for row in rows:
        cpu += row.cpu_millicores
        memory += row.memory_mb
        gpus += row.gpus
    return Resources(cpu, memory, gpus)


class Step(msgspec.Struct, frozen=True, rename=stored.STEP):
    """Equal tasks of a job.

    :ivar tasks: number of tasks
    :ivar needs: resources that each task needs
    :ivar guess_ms: the caller's rough estimate of one task's time
    :ivar after: indices of the steps that must be done before
    :ivar checkpoints: a task can resume from a checkpoint
    :ivar gang: the tasks run at the same time or not at all
    :ivar one_rack: a gang is slow if it spans racks
    :ivar label: label that a worker must have; '' if none is needed
    :ivar near_rack: rack that holds the data; tasks are slow in other racks
    :ivar max_per_worker: maximal number of tasks of the step on one worker;
        0 for no limit
    :ivar speculative: copies of a task may run at the same time
    :ivar is_long_running: the tasks run until the job is cancelled
    :ivar latency_target_ms: limit of a serving task's latency; 0 if the tasks
        don't serve
    :ivar uses_leftover: the tasks use the processor time that others leave
    :ivar max_unavailable: maximal number of tasks that may be down at once
        because of the leader's own orders
    """

    tasks: int
    needs: Resources = Resources()
    guess_ms: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ''
    near_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    is_long_running: bool = False
    image: str = ''
    latency_target_ms: float = 0.0
    uses_leftover: bool = False
    max_unavailable: int = 0


class Work(msgspec.Struct, frozen=True, rename=stored.WORK):
    """The work that a caller requests.

    :ivar text: opaque text that is passed to each task
    :ivar repeats: how often the steps run; 0 for once, as soon as possible
    :ivar first_due_ms: when the first occurrence is due, in milliseconds
        since 1970
    :ivar repeat_every_ms: time between two occurrences
    """

    text: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: float = 0.0
    repeat_every_ms: float = 0.0


class Job(msgspec.Struct, frozen=True):
    """An accepted job, as the store holds it.

    :ivar queue: the queue as it was when the job was submitted; the newest
        configuration of the queue takes precedence
    :ivar handed_in_ms: time of submission, in milliseconds since 1970, by the
        clock of the process that accepted it
    :ivar term: the term under which it was accepted, which the store checked
        in the same write; no leader of an earlier term may start it. 0 if
        unknown
    :ivar tenant: the tenant whose key submitted it; '' if none was needed
    """

    job: ids.JobId
    queue: queues.Queue
    work: Work
    handed_in_ms: float = 0.0
    term: int = 0
    tenant: ids.TenantId = ids.TenantId('')


class BadWork(errors.OleanderError):
    """A caller's work that cannot be run."""


def check(work: Work) -> None:
    """Check what types cannot express of a caller's work.

    :raises BadWork: with what is wrong
    """
    if not work.steps or any(step.tasks < 1 for step in work.steps):
        raise BadWork('a job needs steps with tasks')
    for number, step in enumerate(work.steps):
        if any(not 0 <= other < number for other in step.after):
            raise BadWork(f'step {number} waits for a later')
    tasks = sum(step.tasks for step in work.steps)
    if tasks * max(1, work.repeats) > MAX_TASKS:
        raise BadWork(f'more than {MAX_TASKS} tasks')


class JobOwner(msgspec.Struct, frozen=True):
    """The tenant of a job, decoded without the rest of the stored job."""

    tenant: ids.TenantId = ids.TenantId('')


def occurrences(job: Job) -> int:
    """Return how often a job's steps run."""
    return max(1, job.work.repeats)


def open_bytes(work: Work) -> int:
    """Return the memory that a leader needs for one occurrence of a job."""
    tasks = sum(step.tasks for step in work.steps)
    return STEP_BYTES * len(work.steps) + TASK_BYTES * tasks


def due_ms(job: Job, occurrence: int) -> float:
    """Return when an occurrence is due, in milliseconds since 1970."""
    if job.work.repeats == 0:
        return 0.0
    return job.work.first_due_ms + occurrence * job.work.repeat_every_ms


class ExpectedTimes(msgspec.Struct, frozen=True):
    """Expected times of a job's steps, in seconds.

    :ivar steps_s: time of one task, by step
    :ivar remaining_s: critical path from the start of a step to the job's
        end, by step
    :ivar chain_s: critical path through the whole job
    """

    steps_s: tuple[float, ...]
    remaining_s: tuple[float, ...]
    chain_s: float


def expected_times(
    work: Work, lengths_s: collections.abc.Sequence[float]
) -> ExpectedTimes:
    """Return what follows from the expected time of each step's tasks.

    :param lengths_s: time of one task, by step
    """
    return ExpectedTimes(
        tuple(lengths_s),
        remaining_chains_s(work, lengths_s),
        longest_chain_s(work, lengths_s),
    )


def longest_chain_s(
    work: Work, lengths_s: collections.abc.Sequence[float]
) -> float:
    """Return the length of the critical path through a job's steps.

    :param lengths_s: time of one task, by step
    """
    ends_s: list[float] = []
    for step, length_s in zip(work.steps, lengths_s, strict=True):
        begin_s = max((ends_s[other] for other in step.after), default=0.0)
        ends_s.append(begin_s + length_s)
    return max(ends_s, default=0.0)


def remaining_chain_s(
    work: Work, number: int, lengths_s: collections.abc.Sequence[float]
) -> float:
    """Return the critical path from the start of a step to the job's end.

    :param lengths_s: time of one task, by step
    """
    return remaining_chains_s(work, lengths_s)[number]


def remaining_chains_s(
    work: Work, lengths_s: collections.abc.Sequence[float]
) -> tuple[float, ...]:
    """Return the critical path from the start of each step to the job's end.

    Takes time linear in the steps and in the steps that they wait for.

    :param lengths_s: time of one task, by step
    """
    rest_s = [0.0] * len(work.steps)
    for index in range(len(work.steps) - 1, -1, -1):
        # What waits for this step has a higher index and is complete.
        rest_s[index] += lengths_s[index]
        for earlier in work.steps[index].after:
            rest_s[earlier] = max(rest_s[earlier], rest_s[index])
    return tuple(rest_s)


def dependents(work: Work) -> tuple[tuple[int, ...], ...]:
    """Return the indices of the steps that wait for each step."""
    found: list[list[int]] = [[] for _ in work.steps]
    for index, step in enumerate(work.steps):
        for earlier in set(step.after):
            found[earlier].append(index)
    return tuple(map(tuple, found))


def task_name(
    job: ids.JobId, occurrence: int, step: int, index: int
) -> ids.TaskId:
    """Return the name of a task, as executors report it."""
    return ids.TaskId(f'{job}.{occurrence}.{step}.{index}')
