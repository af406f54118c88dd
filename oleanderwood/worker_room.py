"""Access to the room that workers have left for tasks."""

import collections.abc
import dataclasses

import msgspec

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import platform_api

_EPSILON = 1e-9


class Worker(msgspec.Struct, frozen=True):
    """A VM that runs tasks of its pool's jobs."""

    vm: ids.VmId
    pool: ids.PoolId
    data_centre: ids.DataCentre
    rack: ids.Rack
    cores: float
    memory_gib: float
    accelerators: int = 0
    state: fleet.VmState = fleet.VmState.SERVING


@dataclasses.dataclass
class Room:
    """What is free on one worker, as planned.

    :ivar free_cores: free now; so too ``free_memory_gib``, and so on
    :ivar expected_cores: free once the ordered ends are through, and so on
    :ivar ready_at_s: when the ordered ends should be through
    :ivar domain: the failure domain that a job's tasks are spread over
    :ivar job_tasks: copies on the worker, by job
    """

    worker: Worker
    free_cores: float
    free_memory_gib: float
    free_accelerators: int
    expected_cores: float
    expected_memory_gib: float
    expected_accelerators: int
    ready_at_s: float = 0.0
    domain: str = ''
    job_tasks: dict[ids.JobId, int] = dataclasses.field(default_factory=dict)


def workers(
    shards: collections.abc.Iterable[fleet.Shard],
    listing: platform_api.VmListing,
) -> tuple[Worker, ...]:
    """Join the rows of VMs with the sizes that the VM list gives.

    A VM that the list calls leaving is drained, whatever its row says; one
    that it doesn't have is left out.
    """
    listed = {vm.vm: vm for vm in listing.vms}
    found = []
    for shard in shards:
        for row in shard.rows:
            vm = listed.get(row.vm)
            if vm is not None:
                found.append(_worker(shard.data_centre, row, vm))
    return tuple(found)


def _worker(
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
    vm: platform_api.ListedVm,
) -> Worker:
    state = row.state
    leaving = vm.status is platform_api.VmStatus.LEAVING
    if leaving and state is fleet.VmState.SERVING:
        state = fleet.VmState.DRAINING
    return Worker(
        row.vm,
        row.pool,
        data_centre,
        row.rack,
        vm.cores,
        vm.memory_gib,
        vm.accelerators,
        state,
    )


def empty(worker: Worker) -> Room:
    """Make the room of a worker without tasks."""
    return Room(
        worker,
        worker.cores,
        worker.memory_gib,
        worker.accelerators,
        worker.cores,
        worker.memory_gib,
        worker.accelerators,
    )


def take(
    room: Room,
    job: ids.JobId,
    cores: float,
    memory_gib: float,
    accelerators: int,
) -> None:
    """Count a copy that stays."""
    room.free_cores -= cores
    room.free_memory_gib -= memory_gib
    room.free_accelerators -= accelerators
    room.expected_cores -= cores
    room.expected_memory_gib -= memory_gib
    room.expected_accelerators -= accelerators
    room.job_tasks[job] = room.job_tasks.get(job, 0) + 1


def take_for_now(
    room: Room, cores: float, memory_gib: float, accelerators: int
) -> None:
    """Count a copy whose end was ordered."""
    room.free_cores -= cores
    room.free_memory_gib -= memory_gib
    room.free_accelerators -= accelerators


def fits(
    room: Room, cores: float, memory_gib: float, accelerators: int
) -> bool:
    """Say whether a task of this size has room now."""
    return (
        cores <= room.free_cores + _EPSILON
        and memory_gib <= room.free_memory_gib + _EPSILON
        and accelerators <= room.free_accelerators
    )


def will_fit(
    room: Room, cores: float, memory_gib: float, accelerators: int
) -> bool:
    """Say whether a task has room once the ordered ends are through."""
    return (
        cores <= room.expected_cores + _EPSILON
        and memory_gib <= room.expected_memory_gib + _EPSILON
        and accelerators <= room.expected_accelerators
    )


def give(
    room: Room, cores: float, memory_gib: float, accelerators: int
) -> None:
    """Count on what a copy holds whose end or throttling is ordered."""
    room.expected_cores += cores
    room.expected_memory_gib += memory_gib
    room.expected_accelerators += accelerators


def domain(worker: Worker, survives: configuration.Survives) -> str:
    """Name the failure domain that a job's tasks are spread over.

    '' if they aren't.
    """
    if survives is configuration.Survives.NOTHING:
        return ''
    if survives is configuration.Survives.DATA_CENTRE:
        return worker.data_centre
    if survives is configuration.Survives.RACK:
        return worker.rack
    return worker.vm
