"""Access to the worker interface of the platform's stand-in."""

import collections
import collections.abc
import dataclasses
import time
import typing

import msgspec

from oleanderwood import daemon
from oleanderwood import http
from oleanderwood import ids
from oleanderwood import platform_api
from standins import faults

KEPT_S = 60.0
ACCEPTED = 202
NOT_FOUND = 404
NOT_POSSIBLE = 409
NO_ROOM = 507

STATES = {
    'stop': platform_api.TaskState.STOPPED,
    'checkpoint': platform_api.TaskState.CHECKPOINTED,
    'throttle': platform_api.TaskState.THROTTLED,
}
ON_WORKER = (
    platform_api.TaskState.RUNNING,
    platform_api.TaskState.THROTTLED,
)


@dataclasses.dataclass
class Workers:
    """All tasks ever started, and the reports of the last minute.

    :ivar epochs: highest epoch seen of each task
    """

    control: faults.Control
    tasks: dict[str, platform_api.TaskReport] = dataclasses.field(
        default_factory=dict
    )
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    reports: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


def start(
    workers: Workers,
    vm: platform_api.ListedVm,
    up: bool,
    order: platform_api.TaskStart,
) -> http.Response:
    """Start a task; a repeat of the same epoch is no second start."""
    known = workers.tasks.get(order.task)
    if not up or order.epoch < workers.epochs.get(order.task, 0):
        return _answer(NOT_POSSIBLE)
    if known is not None and known.epoch == order.epoch:
        return _answer(ACCEPTED if known.worker == vm.vm else NOT_POSSIBLE)
    if not _has_room(workers, vm, order):
        return _answer(NO_ROOM)
    running = known is not None and known.state in ON_WORKER
    workers.epochs[order.task] = order.epoch
    workers.tasks[order.task] = platform_api.TaskReport(
        task=order.task,
        job=order.job,
        worker=vm.vm,
        epoch=order.epoch,
        state=platform_api.TaskState.RUNNING,
        used_cores=order.cores,
        used_memory_gib=order.memory_gib,
    )
    running_on = known.worker if running else ''
    _note(workers, 'task-start', order.task, running_on)
    return _answer(ACCEPTED)


def _answer(status: int) -> http.Response:
    return http.Response(status, [], b'')


def _has_room(
    workers: Workers,
    vm: platform_api.ListedVm,
    order: platform_api.TaskStart,
) -> bool:
    here = [
        task
        for task in workers.tasks.values()
        if task.worker == vm.vm and task.state in ON_WORKER
    ]
    cores = order.cores + sum(task.used_cores for task in here)
    memory_gib = order.memory_gib + sum(t.used_memory_gib for t in here)
    return cores <= vm.cores and memory_gib <= vm.memory_gib


def steer(
    workers: Workers, worker: str, name: str, order: str, epoch: int
) -> http.Response:
    """Stop, checkpoint or throttle a task."""
    task = workers.tasks.get(name)
    if task is None or task.worker != worker:
        return _answer(NOT_FOUND)
    if epoch < workers.epochs[name] or order not in STATES:
        return _answer(NOT_POSSIBLE)
    workers.epochs[name] = epoch
    workers.tasks[name] = msgspec.structs.replace(
        task, state=STATES[order], epoch=ids.Epoch(epoch)
    )
    _note(workers, f'task-{order}', name, '')
    return _answer(ACCEPTED)


def end_all(
    workers: Workers, worker: str, ending: platform_api.TaskState
) -> None:
    """End the tasks of a worker that drains, reboots or fails."""
    for name, task in workers.tasks.items():
        if task.worker == worker and task.state in ON_WORKER:
            workers.tasks[name] = msgspec.structs.replace(task, state=ending)
            _note(workers, f'task-{ending.value}', name, '')


def _note(workers: Workers, kind: str, name: str, running_on: str) -> None:
    task = workers.tasks[name]
    faults.record(
        workers.control,
        kind=kind,
        vm=task.worker,
        task=name,
        epoch=task.epoch,
        running_on=running_on,
    )
    now_s = time.monotonic()
    workers.reports.append((now_s, tuple(workers.tasks.values())))
    while now_s - workers.reports[0][0] > KEPT_S:
        workers.reports.popleft()


def usage(workers: Workers) -> http.Response:
    """Report the tasks as they were some time ago."""
    lag_s = workers.control.faults.lag_s
    tasks = as_of(workers.reports, lag_s) or ()
    return daemon.json_response(200, platform_api.UsageReport(lag_s, tasks))


def as_of(
    kept: collections.abc.Iterable[tuple[float, typing.Any]], lag_s: float
) -> typing.Any:
    """Give the newest of some values that is old enough, else the oldest.

    :param kept: values with the times that they were made, oldest first
    """
    known = None
    for at_s, value in kept:
        if known is None or at_s <= time.monotonic() - lag_s:
            known = value
    return known
