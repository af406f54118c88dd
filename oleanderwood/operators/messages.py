"""Messages of the administration API, JSON on the wire."""

import enum

import msgspec

from oleanderwood import ids
from oleanderwood import verdict as verdicts


class ErrorKind(enum.Enum):
    """Why a call was refused."""

    FAULTS = 'faults'
    """The file has faults."""

    BAD_REQUEST = 'bad-request'
    UNAUTHORISED = 'unauthorised'
    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    """Another apply came first."""

    NOT_LEADING = 'not-leading'
    """Only the leader knows; the answer names its address."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'


class ErrorReply(msgspec.Struct, frozen=True):
    """A refusal.

    :ivar verdict: whether the call may have changed anything
    :ivar details: faults of a file, a line each
    :ivar leader: where the leader listens, if that is known
    """

    error: ErrorKind
    message: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    details: tuple[str, ...] = ()
    leader: ids.Address = ids.Address('')


class FileBody(msgspec.Struct, frozen=True):
    """A file that is to be checked."""

    text: str


class ApplyBody(msgspec.Struct, frozen=True):
    """A file that is to come into force.

    :ivar base: number of the policy that the file was written against
    :ivar operation: chosen by the sender, another for each apply
    """

    text: str
    base: int
    author: str
    operation: ids.OperationId


class PlanReply(msgspec.Struct, frozen=True):
    """What a file would change.

    :ivar number: of the policy that it was compared with
    :ivar unknown: pools and queues that the platform doesn't have now
    """

    number: int
    changes: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()


class ApplyReply(msgspec.Struct, frozen=True):
    """A file that was accepted; the leader follows it at once."""

    number: int
    changes: tuple[str, ...] = ()


class PolicyReply(msgspec.Struct, frozen=True):
    """The policy in force, as it was applied."""

    number: int
    text: str
    author: str
    at_ms: float


class Record(msgspec.Struct, frozen=True):
    """One accepted apply."""

    number: int
    author: str
    operation: ids.OperationId
    at_ms: float
    changes: tuple[str, ...] = ()


class HistoryReply(msgspec.Struct, frozen=True):
    """Accepted applies, the newest first."""

    records: tuple[Record, ...] = ()


class PoolRow(msgspec.Struct, frozen=True):
    """One pool now.

    :ivar machines: that belong to it, up or not
    :ivar busy_cores: cores of the tasks that run there
    :ivar waiting_tasks: tasks whose turn has come and that don't run
    """

    pool: ids.ServiceId
    standby: bool
    machines: int
    up: int
    min_up: int
    busy_cores: float
    cores: float
    waiting_tasks: int


class WaveRow(msgspec.Struct, frozen=True):
    """One wave now.

    :ivar waits: why machines don't go down, by their name
    :ivar left_s: time left for it; negative once that is over
    """

    wave: int
    machines: int
    begun: int
    down: int
    completed: bool
    waits: dict[str, str] = {}
    left_s: float = 0.0


class StatusReply(msgspec.Struct, frozen=True):
    """The whole, as the leader sees it.

    :ivar policy: number of the policy that the leader follows
    """

    server: str
    term: int
    configuration_version: int
    policy: int
    servers: tuple[str, ...]
    jobs: dict[str, int]
    pools: tuple[PoolRow, ...] = ()
    waves: tuple[WaveRow, ...] = ()


class TenantRow(msgspec.Struct, frozen=True):
    """One tenant now, in all pools together; a limit of 0 is none.

    :ivar waiting_jobs: with a task whose turn has come and that doesn't run
    :ivar beyond_jobs: of these, sent beyond its weight in jobs a second
    """

    tenant: ids.TenantId
    weight: float
    running_cores: float
    limit_cores: float
    running_memory_mb: int
    limit_memory_mb: int
    running_gpus: int
    limit_gpus: int
    at_limit: bool
    waiting_jobs: int
    beyond_jobs: int


class TenantsReply(msgspec.Struct, frozen=True):
    """All tenants, as the leader sees them, by name."""

    tenants: tuple[TenantRow, ...] = ()


class StepRow(msgspec.Struct, frozen=True):
    """One step of a job, in one of its repetitions.

    :ivar crashes: number of workers that have crashed under each task since it
        last worked long enough
    :ivar kept_apart: tasks that are known to crash their workers, and are
        started again alone and after pauses
    """

    occurrence: int
    step: int
    tasks: int
    done: int
    running: dict[str, str]
    waiting: int
    failed_runs: int
    crashes: dict[str, int] = {}
    kept_apart: tuple[str, ...] = ()


class JobReply(msgspec.Struct, frozen=True):
    """One job, as the leader sees it.

    :ivar steps: those of open occurrences
    :ivar step_count: number of steps over all occurrences
    :ivar steps_done: how many of them are done
    """

    job: ids.JobId
    queue: str
    pool: ids.ServiceId
    state: str
    age_s: float
    cause: str
    steps: tuple[StepRow, ...] = ()
    step_count: int = 0
    steps_done: int = 0
