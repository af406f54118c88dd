"""Access to the platform: the VM list, pool and worker interfaces.

The records of functions are brought by :mod:`oleanderwood.platform_http`
in the daemons, and by fakes in tests. docs/PLATFORM.md has the wire form.
"""

import collections.abc
import dataclasses
import enum

import msgspec

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import verdict as verdicts

NO_SUCH = 404
NOT_POSSIBLE = 409
NO_ROOM = 507


class Refused(errors.CallFailed):
    """The platform refused a call, and did nothing.

    :ivar status: ``NO_SUCH``, ``NOT_POSSIBLE`` or ``NO_ROOM``
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(verdicts.Verdict.NOT_RUN, reason)
        self.status = status


class VmStatus(enum.Enum):
    """What the VM list, which lags, says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedVm(msgspec.Struct, frozen=True):
    """One row of the VM list."""

    vm: ids.VmId
    region: ids.Region
    data_centre: ids.DataCentre
    rack: ids.Rack
    address: ids.Address
    """Where its upstream takes requests."""

    status: VmStatus = VmStatus.LIVE
    boot_id: str = ''
    cores: float = 16.0
    memory_gib: float = 64.0
    accelerators: int = 0


class VmListing(msgspec.Struct, frozen=True):
    """The whole VM list at one version; versions only grow."""

    version: int
    vms: tuple[ListedVm, ...]


class PlatformVmState(enum.Enum):
    """What the pool interface says that a VM does."""

    UP = 'up'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'
    FAILED = 'failed'


class PlatformVm(msgspec.Struct, frozen=True):
    """A VM as the pool interface sees it now.

    ``boot_id`` changes at each boot; ``operations`` are the ids of the last
    commands that the platform took, newest last.
    """

    vm: ids.VmId
    state: PlatformVmState
    boot_id: str
    healthy: bool
    operations: tuple[str, ...] = ()


class Command(msgspec.Struct, frozen=True):
    """An order for a VM; a repeat of the same operation is no new order."""

    operation: ids.OperationId


class TaskState(enum.Enum):
    """Where a task stands on its worker."""

    RUNNING = 'running'
    THROTTLED = 'throttled'
    CHECKPOINTED = 'checkpointed'
    FAILED = 'failed'
    DONE = 'done'
    STOPPED = 'stopped'


class TaskStart(msgspec.Struct, frozen=True):
    """Starts a task under a lease.

    A worker refuses an epoch if it has seen a higher one for the task.
    """

    task: str
    job: ids.JobId
    epoch: ids.Epoch
    operation: ids.OperationId
    cores: float
    memory_gib: float
    accelerators: int = 0
    lease_ttl_s: float = 30.0


class TaskReport(msgspec.Struct, frozen=True):
    """A task as its worker reports it, with a lag."""

    task: str
    job: ids.JobId
    worker: ids.VmId
    epoch: ids.Epoch
    state: TaskState
    used_cores: float = 0.0
    used_memory_gib: float = 0.0
    run_s: float = 0.0
    reason: str = ''


class UsageReport(msgspec.Struct, frozen=True):
    """All tasks of the workers asked for, and how old the report is."""

    age_s: float
    tasks: tuple[TaskReport, ...] = ()


@dataclasses.dataclass(frozen=True)
class Platform:
    """The platform's calls; all are coroutine functions.

    All raise :class:`oleanderwood.errors.CallFailed`; :class:`Refused` is
    the platform's promise that it did nothing.

    ``list_vms(known_version)`` gives a :class:`VmListing`, or None if it is
    still at ``known_version``. ``vm_status(vm)`` gives a
    :class:`PlatformVm`. ``drain``, ``undrain``, ``reboot`` and ``replace``
    take ``(vm, Command)`` and return once the platform took the order.
    ``start_task(worker, TaskStart)``, ``stop_task``, ``checkpoint_task``
    and ``throttle_task`` take ``(worker, task, epoch)``.
    ``usage()`` gives a :class:`UsageReport` of all workers.
    """

    list_vms: collections.abc.Callable[
        [int], collections.abc.Awaitable[VmListing | None]
    ]
    vm_status: collections.abc.Callable[
        [ids.VmId], collections.abc.Awaitable[PlatformVm]
    ]
    drain: collections.abc.Callable[
        [ids.VmId, Command], collections.abc.Awaitable[None]
    ]
    undrain: collections.abc.Callable[
        [ids.VmId, Command], collections.abc.Awaitable[None]
    ]
    reboot: collections.abc.Callable[
        [ids.VmId, Command], collections.abc.Awaitable[None]
    ]
    replace: collections.abc.Callable[
        [ids.VmId, Command], collections.abc.Awaitable[None]
    ]
    start_task: collections.abc.Callable[
        [ids.VmId, TaskStart], collections.abc.Awaitable[None]
    ]
    stop_task: collections.abc.Callable[
        [ids.VmId, str, ids.Epoch], collections.abc.Awaitable[None]
    ]
    checkpoint_task: collections.abc.Callable[
        [ids.VmId, str, ids.Epoch], collections.abc.Awaitable[None]
    ]
    throttle_task: collections.abc.Callable[
        [ids.VmId, str, ids.Epoch], collections.abc.Awaitable[None]
    ]
    usage: collections.abc.Callable[[], collections.abc.Awaitable[UsageReport]]
