"""Jobs as callers hand them in: steps of equal tasks."""

import collections.abc
import enum

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import queues
from oleanderwood.jobs import stored


class State(enum.Enum):
    """What a caller is told of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL = (State.COMPLETED, State.FAILED, State.CANCELLED)
"""States that a job doesn't leave."""


class Resources(msgspec.Struct, frozen=True):
    """What a task needs, or what a worker has."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


def asks_as_much(needs: Resources, least: Resources) -> bool:
    """Say whether needs are at least as large as others in each resource."""
    return (
        needs.cpu_millicores >= least.cpu_millicores
        and needs.memory_mb >= least.memory_mb
        and needs.gpus >= least.gpus
    )


def total(rows: collections.abc.Iterable[Resources]) -> Resources:
    """Give the sum of several."""
    cpu = memory = gpus = 0
    for row in rows:
        cpu += row.cpu_millicores
        memory += row.memory_mb
        gpus += row.gpus
    return Resources(cpu, memory, gpus)


class Step(msgspec.Struct, frozen=True, rename=stored.STEP):
    """Equal tasks of a job.

    :ivar guess_ms: the caller's rough guess of one task's time
    :ivar after: numbers of the steps that must be done before
    :ivar checkpoints: a task can go on from where it was stopped
    :ivar gang: the tasks run at the same time or not at all
    :ivar one_rack: a gang is slow when it spans racks
    :ivar label: a worker must have it; '' if any will do
    :ivar near_rack: where the data lies; elsewhere a task is slow
    :ivar max_per_worker: most tasks of the step on one worker; 0: no limit
    :ivar speculative: copies of a task may run at the same time
    :ivar lasting: the tasks run until the job is cancelled
    :ivar latency_target_ms: what a serving task's latency must stay below
    :ivar uses_leftover: its processor time is what others leave
    :ivar most_away: tasks that may be away at once through our own orders
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
    lasting: bool = False
    image: str = ''
    latency_target_ms: float = 0.0
    uses_leftover: bool = False
    most_away: int = 0


class Work(msgspec.Struct, frozen=True, rename=stored.WORK):
    """What a caller asks for.

    :ivar text: opaque to us, passed on to each task
    :ivar repeats: how often the steps run; 0: once, as soon as possible
    :ivar first_due_ms: when the first repetition is due, since 1970
    """

    text: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: float = 0.0
    repeat_every_ms: float = 0.0


class Job(msgspec.Struct, frozen=True):
    """An accepted job, as it lies in the store.

    :ivar queue: the queue as it was when the job was handed in; what the
        newest configuration says of it goes first
    :ivar handed_in_ms: when, since 1970, by the clock of the process that
        took it
    :ivar tenant: whose key handed it in; '' if none was needed
    :ivar term: under which it was accepted; the store has checked it in the
        same write. No leader of an earlier term may start it. 0: not known
    """

    job: ids.JobId
    queue: queues.Queue
    work: Work
    handed_in_ms: float = 0.0
    term: int = 0
    tenant: ids.TenantId = ids.TenantId('')


class Owned(msgspec.Struct, frozen=True):
    """Whose a job is, read from its stored form alone."""

    tenant: ids.TenantId = ids.TenantId('')


def occurrences(job: Job) -> int:
    """Give how often the job's steps run."""
    return max(1, job.work.repeats)


def due_ms(job: Job, occurrence: int) -> float:
    """Give when an occurrence is due, in milliseconds since 1970."""
    if job.work.repeats == 0:
        return 0.0
    return job.work.first_due_ms + occurrence * job.work.repeat_every_ms


def longest_chain_s(
    work: Work, lengths_s: collections.abc.Sequence[float]
) -> float:
    """Give the least time that the steps take one after another.

    :param lengths_s: of a task, by step
    """
    ends_s: list[float] = []
    for step, length_s in zip(work.steps, lengths_s, strict=True):
        begin_s = max((ends_s[other] for other in step.after), default=0.0)
        ends_s.append(begin_s + length_s)
    return max(ends_s, default=0.0)


def remaining_chain_s(
    work: Work, number: int, lengths_s: collections.abc.Sequence[float]
) -> float:
    """Give the least time from the begin of a step to the end of the job."""
    rest_s: dict[int, float] = {}
    for index in range(len(work.steps) - 1, number - 1, -1):
        after_s = [
            rest_s[later]
            for later in rest_s
            if index in work.steps[later].after
        ]
        rest_s[index] = lengths_s[index] + max(after_s, default=0.0)
    return rest_s[number]


def task_name(
    job: ids.JobId, occurrence: int, step: int, index: int
) -> ids.TaskId:
    """Name a task, as executors report it."""
    return ids.TaskId(f'{job}.{occurrence}.{step}.{index}')
