"""Access to stand-ins of upstreams: many VMs in one process.

The first line printed is the control address: ``GET /vms`` gives each VM's
address, ``POST /vms/VM/stop`` cuts what is in flight there and gives its
count, ``POST /vms/VM/start`` brings it back. An answer is made of the
caller's ``caller-nonce`` throughout (:func:`answer_body`), so that a caller
sees whether it is whole and its own. Query: ``work_ms`` and
``answer_bytes``.
"""

import collections.abc
import dataclasses
import hashlib
import socket
import time

import curio
import cyclopts

from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import ids
from standins import faults

PIECE_BYTES = 64
"""Length of one hexadecimal SHA-256, of which answers are made."""

SEND_PIECES = 256
"""Pieces sent in one go."""


@dataclasses.dataclass
class Vm:
    """One upstream VM.

    :ivar control: its own faults beside those of the whole process
    """

    name: str
    up: bool = True
    boot: int = 1
    in_flight: int = 0
    server: http_server.Server | None = None
    control: faults.Control = dataclasses.field(default_factory=faults.Control)


@dataclasses.dataclass
class State:
    """All upstreams of the process."""

    control: faults.Control
    vms: dict[str, Vm] = dataclasses.field(default_factory=dict)


def answer_body(nonce: str, size_bytes: int) -> bytes:
    """Make the answer to a caller's nonce, each part bound to it."""
    pieces = _pieces(nonce, size_bytes)
    return b''.join(pieces)[:size_bytes]


def _pieces(nonce: str, size_bytes: int) -> collections.abc.Iterator[bytes]:
    for number in range(-(-size_bytes // PIECE_BYTES)):
        text = f'{nonce}/{number}'.encode()
        yield hashlib.sha256(text).hexdigest().encode('ascii')


def vm_handler(state: State, vm: Vm) -> http.Handler:
    """Make the handler of one VM: it notes each request, then works."""

    async def handle(request: http.Request) -> http.Response:
        boot = vm.boot
        if not vm.up:
            raise ConnectionResetError('VM is down')
        entry = _record(state, vm, request)
        vm.in_flight += 1
        try:
            return await _work(vm, boot, entry, request)
        finally:
            vm.in_flight -= 1
            entry['end_s'] = time.monotonic()

    return faults.faulty(vm.control, faults.faulty(state.control, handle))


def _record(state: State, vm: Vm, request: http.Request) -> dict[str, object]:
    return faults.record(
        state.control,
        kind='request',
        vm=vm.name,
        boot=vm.boot,
        method=request.method,
        path=request.target.partition('?')[0],
        nonce=request.header('caller-nonce') or '',
        request=request.header('oleander-request-id') or '',
        pool=request.header('oleander-pool') or '',
        epoch=request.header('oleander-epoch') or '',
        ran=False,
        sent=False,
        in_flight=vm.in_flight + 1,
    )


async def _work(
    vm: Vm, boot: int, entry: dict[str, object], request: http.Request
) -> http.Response:
    digest = hashlib.sha256()
    async for piece in request.body:
        digest.update(piece)
    _check_up(vm, boot)
    entry['body_sha256'] = digest.hexdigest()
    entry['ran'] = True
    query = faults.query(request)
    await curio.sleep(float(query.get('work_ms', '0')) / 1000)
    _check_up(vm, boot)
    size_bytes = int(query.get('answer_bytes', '128'))
    headers = [
        (b'upstream-vm', vm.name.encode('ascii')),
        (b'content-length', b'%d' % size_bytes),
    ]
    body = _send(vm, boot, entry, size_bytes)
    return http.Response(200, headers, body)


def _check_up(vm: Vm, boot: int) -> None:
    if not vm.up or vm.boot != boot:
        raise ConnectionResetError('VM went down')


async def _send(
    vm: Vm, boot: int, entry: dict[str, object], size_bytes: int
) -> collections.abc.AsyncIterator[bytes]:
    left = size_bytes
    block = []
    for piece in _pieces(str(entry['nonce']), size_bytes):
        block.append(piece)
        if len(block) == SEND_PIECES:
            _check_up(vm, boot)
            yield b''.join(block)
            left -= SEND_PIECES * PIECE_BYTES
            block = []
    if left > 0:
        yield b''.join(block)[:left]
    entry['sent'] = True
    entry['end_s'] = time.monotonic()


def control_handler(state: State) -> http.Handler:
    """Make the handler of the control address."""

    async def handle(request: http.Request) -> http.Response:
        path = request.target.partition('?')[0]
        if path == '/vms':
            addresses = {
                vm.name: vm.server.address for vm in state.vms.values()
            }
            return daemon.json_response(200, addresses)
        _, _, name, order = (path + '///').split('/')[:4]
        if request.method != 'POST' or name not in state.vms:
            raise errors.BadMessage(404, 'no such VM')
        return await _order(state.vms[name], order, request)

    return handle


async def _order(vm: Vm, order: str, request: http.Request) -> http.Response:
    in_flight = vm.in_flight
    if order == 'stop':
        _stop(vm)
    elif order == 'start':
        _start(vm)
    elif order == 'faults':
        body = await http.read_all(request.body, faults.MAX_ORDER_BYTES)
        vm.control.faults = faults.decode(body, faults.Faults)
    else:
        raise errors.BadMessage(404, 'no such order')
    return daemon.json_response(200, {'in_flight': in_flight})


def _stop(vm: Vm) -> None:
    if not vm.up:
        return
    vm.up = False
    _shut(vm.server.sock)
    for connection in vm.server.connections:
        _shut(connection.sock)


def _shut(sock: curio.io.Socket) -> None:
    try:
        sock._socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def _start(vm: Vm) -> None:
    if vm.up:
        return
    vm.boot += 1
    vm.up = True
    vm.server.sock.listen(http_server.BACKLOG)


def _listen(state: State, vm: Vm) -> http_server.Server:
    """Listen on a port of the kernel's choice that stays bound.

    A port that was asked for by number outlives the ``shutdown`` by which
    the VM goes down, so that it can come back at its address.
    """
    found = http_server.listen(ids.Address('127.0.0.1:0'), None)
    found.sock._socket.close()
    return http_server.listen(found.address, vm_handler(state, vm))


async def add(state: State, name: str) -> None:
    """Add a VM, and serve on a port of its own."""
    vm = Vm(name)
    vm.server = _listen(state, vm)
    state.vms[name] = vm
    await curio.spawn(http_server.run, vm.server, daemon=True)


async def run(listen: ids.Address, names: list[str]) -> None:
    """Serve all VMs, each on a port of its own, until a signal."""
    state = State(faults.Control())
    for name in names:
        await add(state, name)
    await faults.serve(listen, state.control, control_handler(state))


def main(*, vms: str, listen: str = '127.0.0.1:0') -> None:
    """Run stand-ins of upstreams.

    :param vms: names of the VMs, with commas between
    """
    curio.run(run, ids.Address(listen), vms.split(','))


if __name__ == '__main__':
    cyclopts.run(main)
