"""Access to the platform over HTTP, in the wire form of docs/PLATFORM.md.

All calls may be repeated: orders carry an operation id and tasks an epoch,
by which the platform tells a repeat. So a call that met a connection which
the platform had closed meanwhile is sent once more on a new one.
"""

import collections.abc
import dataclasses
import typing

import curio
import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import traffic
from oleanderwood import verdict as verdicts

TIMEOUT_S = 3.0
LISTING_TIMEOUT_S = 10.0
MAX_IDLE_CONNECTIONS = 4
MAX_BODY_BYTES = 8 << 20

OK = 200
ACCEPTED = 202
NOT_MODIFIED = 304
REFUSALS = frozenset((400, 404, 409, 507))
"""Statuses by which the platform promises that it did nothing."""

OnCall = collections.abc.Callable[[str, str], None]
"""Told of each call: its name, and how it ended (for metrics)."""


class EpochBody(msgspec.Struct, frozen=True):
    """Body of the calls on one task."""

    epoch: ids.Epoch


@dataclasses.dataclass
class Link:
    """The connections to the platform that wait for another call."""

    address: ids.Address
    timeout_s: float
    on_call: OnCall
    count: traffic.Count = traffic.uncounted
    idle: list[http_client.Connection] = dataclasses.field(
        default_factory=list
    )


def _ignore(name: str, outcome: str) -> None:
    """Take no notice of a call."""


def connect(
    address: ids.Address,
    timeout_s: float = TIMEOUT_S,
    on_call: OnCall = _ignore,
    count: traffic.Count = traffic.uncounted,
) -> platform_api.Platform:
    """Make the platform's calls; connections are opened when needed.

    :param address: where the platform's interfaces listen
    :param timeout_s: bound of one call; the VM list has a longer one
    :param on_call: told of each call and how it ended
    :param count: told of the bytes of each call
    """
    link = Link(address, timeout_s, on_call, count)
    return platform_api.Platform(
        list_vms=_list_vms(link),
        vm_status=_vm_status(link),
        drain=_command(link, 'drain'),
        undrain=_command(link, 'undrain'),
        reboot=_command(link, 'reboot'),
        replace=_command(link, 'replace'),
        start_task=_start_task(link),
        stop_task=_task_call(link, 'stop'),
        checkpoint_task=_task_call(link, 'checkpoint'),
        throttle_task=_task_call(link, 'throttle'),
        usage=_usage(link),
    )


def _list_vms(link: Link) -> typing.Any:
    async def list_vms(
        known_version: int,
    ) -> platform_api.VmListing | None:
        target = f'/v1/vms?since={known_version}'
        response = await _call(
            link, 'list_vms', 'GET', target, timeout_s=LISTING_TIMEOUT_S
        )
        if response.status == NOT_MODIFIED:
            return None
        return _decode(response, platform_api.VmListing)

    return list_vms


def _vm_status(link: Link) -> typing.Any:
    async def vm_status(vm: ids.VmId) -> platform_api.PlatformVm:
        response = await _call(link, 'vm_status', 'GET', f'/v1/vms/{vm}')
        return _decode(response, platform_api.PlatformVm)

    return vm_status


def _command(link: Link, name: str) -> typing.Any:
    async def command(vm: ids.VmId, order: platform_api.Command) -> None:
        await _call(link, name, 'POST', f'/v1/vms/{vm}/{name}', order)

    return command


def _start_task(link: Link) -> typing.Any:
    async def start_task(
        worker: ids.VmId, start: platform_api.TaskStart
    ) -> None:
        target = f'/v1/workers/{worker}/tasks'
        await _call(link, 'start_task', 'POST', target, start)

    return start_task


def _task_call(link: Link, name: str) -> typing.Any:
    async def task_call(worker: ids.VmId, task: str, epoch: ids.Epoch) -> None:
        target = f'/v1/workers/{worker}/tasks/{task}/{name}'
        body = EpochBody(epoch)
        await _call(link, f'{name}_task', 'POST', target, body)

    return task_call


def _usage(link: Link) -> typing.Any:
    async def usage() -> platform_api.UsageReport:
        response = await _call(link, 'usage', 'GET', '/v1/usage')
        return _decode(response, platform_api.UsageReport)

    return usage


async def _call(
    link: Link,
    name: str,
    method: str,
    target: str,
    body: typing.Any = None,
    timeout_s: float | None = None,
) -> http.Response:
    data = b'' if body is None else codec.to_json(body)
    try:
        async with curio.timeout_after(timeout_s or link.timeout_s):
            response = await _exchange(link, method, target, data)
        _check(name, response)
    except curio.TaskTimeout as error:
        link.on_call(name, 'timeout')
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, f'{name}: no answer in time'
        ) from error
    except errors.CallFailed as error:
        link.on_call(name, error.verdict.value)
        raise
    link.on_call(name, 'ran')
    return response


async def _exchange(
    link: Link, method: str, target: str, data: bytes
) -> http.Response:
    if not link.idle:
        return await _on_new(link, method, target, data)
    try:
        return await _on(link, link.idle.pop(), method, target, data)
    except errors.CallFailed as first:
        # The platform may have closed it while it was idle.
        try:
            return await _on_new(link, method, target, data)
        except errors.CallFailed as second:
            # What the first attempt did isn't known, whatever the second did.
            raise first from second


async def _on_new(
    link: Link, method: str, target: str, data: bytes
) -> http.Response:
    connection = await http_client.connect(link.address, link.timeout_s)
    return await _on(link, connection, method, target, data)


async def _on(
    link: Link,
    connection: http_client.Connection,
    method: str,
    target: str,
    data: bytes,
) -> http.Response:
    keep = False
    headers = [(b'host', link.address.encode('ascii'))]
    try:
        response = await http_client.exchange(
            connection, method, target, headers, data
        )
        whole = await http.read_all(response.body, MAX_BODY_BYTES)
        keep = http_client.usable(connection)
        link.count(
            traffic.request_bytes(link.address, target, data),
            traffic.message_bytes(response.headers, whole),
        )
    except ValueError as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, str(error)
        ) from error
    finally:
        if keep and len(link.idle) < MAX_IDLE_CONNECTIONS:
            link.idle.append(connection)
        else:
            await http.close(connection.sock)
    return http.Response(response.status, response.headers, whole)


def _check(name: str, response: http.Response) -> None:
    status = response.status
    if status in (OK, ACCEPTED, NOT_MODIFIED):
        return
    reason = f'{name}: the platform answered {status}'
    if status in REFUSALS:
        raise platform_api.Refused(status, reason)
    raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, reason)


def _decode(response: http.Response, kind: type) -> typing.Any:
    try:
        return codec.from_json(response.body, kind)
    except msgspec.DecodeError as error:
        raise errors.CallFailed(
            verdicts.Verdict.RAN, f'answer is not a {kind.__name__}: {error}'
        ) from error
