"""Access to a stand-in of the platform: VM list, pools and workers.

Beside the calls of docs/PLATFORM.md: ``POST /fleet`` with a ``VmListing``
says which VMs there are, ``POST /vms/VM/{fail,mend,gone}`` makes one fail,
come back, or leave the VM list. VMs take their upstream along when they
reboot or fail, by its control address.
"""

import collections
import collections.abc
import dataclasses
import time

import curio
import cyclopts
import msgspec

from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import platform_api
from standins import faults
from standins import workers

UP = platform_api.PlatformVmState.UP
DRAINING = platform_api.PlatformVmState.DRAINING
DRAINED = platform_api.PlatformVmState.DRAINED
REBOOTING = platform_api.PlatformVmState.REBOOTING
FAILED = platform_api.PlatformVmState.FAILED

KEPT_OPERATIONS = 8
KEPT_LISTINGS_S = 60.0


@dataclasses.dataclass
class Vm:
    """One VM; ``operations`` are the commands that it took."""

    listed: platform_api.ListedVm
    state: platform_api.PlatformVmState = UP
    boot: int = 1
    healthy: bool = True
    operations: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class State:
    """The platform's VMs, tasks, and the VM lists of the last minute."""

    control: faults.Control
    tasks: workers.Workers
    upstream: ids.Address
    drain_s: float
    reboot_s: float
    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)
    listings: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    shown: platform_api.VmListing | None = None


def make(upstream: ids.Address, drain_s: float, reboot_s: float) -> State:
    """Make a platform without VMs."""
    control = faults.Control()
    tasks = workers.Workers(control)
    return State(control, tasks, upstream, drain_s, reboot_s)


def handler(state: State) -> http.Handler:
    """Make the handler of the platform's calls."""

    async def handle(request: http.Request) -> http.Response:
        path = request.target.partition('?')[0]
        parts = path.strip('/').split('/')
        body = await http.read_all(request.body, faults.MAX_ORDER_BYTES)
        match request.method, parts:
            case 'GET', ['v1', 'vms']:
                since = int(faults.query(request).get('since', '0'))
                return _listing(state, since)
            case 'GET', ['v1', 'vms', name]:
                return daemon.json_response(200, _status(_find(state, name)))
            case 'POST', ['v1', 'vms', name, order]:
                command = faults.decode(body, platform_api.Command)
                return await _command(state, name, order, command)
            case 'POST', ['v1', 'workers', name, 'tasks']:
                vm = _find(state, name)
                start = faults.decode(body, platform_api.TaskStart)
                return workers.start(
                    state.tasks, vm.listed, vm.state is UP, start
                )
            case 'POST', ['v1', 'workers', name, 'tasks', task, order]:
                epoch = faults.decode(body, dict[str, int])['epoch']
                return workers.steer(state.tasks, name, task, order, epoch)
            case 'GET', ['v1', 'usage']:
                return workers.usage(state.tasks)
            case 'POST', ['fleet']:
                return _fleet(state, body)
            case 'POST', ['vms', name, order]:
                return await _event(state, _find(state, name), order)
        raise errors.BadMessage(404, 'no such path')

    return handle


def _find(state: State, name: str) -> Vm:
    if name not in state.vms:
        raise errors.BadMessage(404, f'no VM {name}')
    return state.vms[name]


def _boot_id(vm: Vm) -> str:
    return f'{vm.listed.vm}-boot-{vm.boot}'


def _status(vm: Vm) -> platform_api.PlatformVm:
    return platform_api.PlatformVm(
        vm=vm.listed.vm,
        state=vm.state,
        boot_id=_boot_id(vm),
        healthy=vm.healthy,
        operations=tuple(vm.operations[-KEPT_OPERATIONS:]),
    )


def _fleet(state: State, body: bytes) -> http.Response:
    listing = faults.decode(body, platform_api.VmListing)
    for row in listing.vms:
        state.vms.setdefault(row.vm, Vm(row))
    _publish(state)
    return http.Response(202, [], b'')


def _publish(state: State) -> None:
    rows = tuple(
        msgspec.structs.replace(vm.listed, boot_id=_boot_id(vm))
        for vm in state.vms.values()
    )
    version = 1
    if state.listings:
        version = state.listings[-1][1].version + 1
    now_s = time.monotonic()
    listing = platform_api.VmListing(version, rows)
    state.listings.append((now_s, listing))
    while now_s - state.listings[0][0] > KEPT_LISTINGS_S:
        if len(state.listings) == 1:
            break
        state.listings.popleft()


def _listing(state: State, since: int) -> http.Response:
    shown = state.shown
    if not state.control.faults.repeat_list or shown is None:
        shown = workers.as_of(state.listings, state.control.faults.lag_s)
    state.shown = shown
    if shown is None or shown.version == since:
        return http.Response(304, [], b'')
    return daemon.json_response(200, shown)


async def _command(
    state: State, name: str, order: str, command: platform_api.Command
) -> http.Response:
    vm = _find(state, name)
    if command.operation in vm.operations:
        return http.Response(202, [], b'')
    if vm.state is REBOOTING or order not in ORDERS:
        return http.Response(409, [], b'not possible now')
    vm.operations.append(command.operation)
    faults.record(
        state.control,
        kind=order,
        vm=name,
        operation=command.operation,
        was=vm.state.value,
    )
    await ORDERS[order](state, vm)
    return http.Response(202, [], b'')


async def _drain(state: State, vm: Vm) -> None:
    vm.state = DRAINING

    async def end() -> None:
        await curio.sleep(state.drain_s)
        if vm.state is DRAINING:
            workers.end_all(
                state.tasks, vm.listed.vm, platform_api.TaskState.CHECKPOINTED
            )
            vm.state = DRAINED

    await curio.spawn(end, daemon=True)


async def _undrain(state: State, vm: Vm) -> None:
    vm.state = UP if vm.healthy else FAILED


async def _reboot(state: State, vm: Vm) -> None:
    vm.state = REBOOTING
    workers.end_all(state.tasks, vm.listed.vm, platform_api.TaskState.FAILED)
    await _upstream(state, vm, 'stop')

    async def end() -> None:
        await curio.sleep(state.reboot_s)
        vm.boot += 1
        vm.healthy = not faults.strikes(
            state.control, state.control.faults.fail_reboot
        )
        vm.state = UP if vm.healthy else FAILED
        if vm.healthy:
            await _upstream(state, vm, 'start')
        faults.record(
            state.control, kind='booted', vm=vm.listed.vm, healthy=vm.healthy
        )
        _publish(state)

    await curio.spawn(end, daemon=True)


ORDERS = {
    'drain': _drain,
    'undrain': _undrain,
    'reboot': _reboot,
    'replace': _reboot,
}


async def _upstream(state: State, vm: Vm, order: str) -> None:
    """Take the VM's upstream along; a lost call is logged as such."""
    target = f'/vms/{vm.listed.vm}/{order}'
    in_flight = -1
    if state.upstream:
        try:
            answer = await http_client.call(state.upstream, 'POST', target)
            in_flight = msgspec.json.decode(answer.body)['in_flight']
        except errors.CallFailed as error:
            faults.record(state.control, kind='lost', reason=str(error))
    faults.record(
        state.control, kind=order, vm=vm.listed.vm, in_flight=in_flight
    )


async def _event(state: State, vm: Vm, order: str) -> http.Response:
    if order == 'fail':
        vm.healthy = False
        vm.state = FAILED
        workers.end_all(
            state.tasks, vm.listed.vm, platform_api.TaskState.FAILED
        )
        await _upstream(state, vm, 'stop')
    elif order == 'mend':
        vm.healthy = True
        vm.state = UP
        vm.boot += 1
        await _upstream(state, vm, 'start')
    elif order == 'gone':
        del state.vms[vm.listed.vm]
        await _upstream(state, vm, 'stop')
    else:
        raise errors.BadMessage(404, 'no such event')
    faults.record(state.control, kind=order, vm=vm.listed.vm)
    _publish(state)
    return http.Response(202, [], b'')


async def run(listen: ids.Address, state: State) -> None:
    """Serve the platform until a signal."""
    await faults.serve(listen, state.control, handler(state))


def main(
    *,
    listen: str = '127.0.0.1:0',
    upstream: str = '',
    drain_s: float = 0.2,
    reboot_s: float = 1.0,
) -> None:
    """Run a stand-in of the platform.

    :param upstream: control address of the upstreams' stand-in
    :param drain_s: how long a drain takes
    :param reboot_s: how long a reboot takes
    """
    state = make(ids.Address(upstream), drain_s, reboot_s)
    curio.run(run, ids.Address(listen), state)


if __name__ == '__main__':
    cyclopts.run(main)
