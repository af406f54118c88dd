"""Access to a stand-in of the platform's balancer: TCP forwarding.

It forwards each connection to the next entry whose ``/readyz`` answers 200.
The control address takes ``POST /entries`` with the entries, ``POST /cut``
with a share of connections that are cut after some bytes, and the paths of
:mod:`standins.faults`.
"""

import dataclasses
import itertools
import random
import socket

import curio
import cyclopts
import msgspec

from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import http_server
from oleanderwood import ids
from standins import faults

PROBE_EVERY_S = 0.2
PROBE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
PIECE_BYTES = 65536
CUT_WITHIN_BYTES = 4096


class Entry(msgspec.Struct, frozen=True):
    """An entry: where callers' connections go, and where it is probed."""

    name: str
    listen: ids.Address
    probes: ids.Address


class Cut(msgspec.Struct, forbid_unknown_fields=True):
    """Share of connections that are cut, by ``seed``."""

    share: float = 0.0
    seed: int = 1


@dataclasses.dataclass
class State:
    """The entries and which of them are ready."""

    control: faults.Control
    entries: tuple[Entry, ...] = ()
    ready: set[str] = dataclasses.field(default_factory=set)
    turn: itertools.count = dataclasses.field(default_factory=itertools.count)
    cut: Cut = dataclasses.field(default_factory=Cut)
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )


def control_handler(state: State) -> http.Handler:
    """Make the handler of the control address."""

    async def handle(request: http.Request) -> http.Response:
        body = await http.read_all(request.body, faults.MAX_ORDER_BYTES)
        match request.method, request.target:
            case 'GET', '/entries':
                return daemon.json_response(200, sorted(state.ready))
            case 'POST', '/entries':
                state.entries = faults.decode(body, tuple[Entry, ...])
                return http.Response(202, [], b'')
            case 'POST', '/cut':
                state.cut = faults.decode(body, Cut)
                state.rng = random.Random(state.cut.seed)
                return http.Response(202, [], b'')
        raise errors.BadMessage(404, 'no such path')

    return handle


async def probe(state: State) -> None:
    """Ask all entries whether they are ready, until cancelled."""
    while True:
        for entry in state.entries:
            await curio.spawn(_probe, state, entry, daemon=True)
        await curio.sleep(PROBE_EVERY_S)


async def _probe(state: State, entry: Entry) -> None:
    try:
        answer = await http_client.call(
            entry.probes, 'GET', '/readyz', timeout_s=PROBE_TIMEOUT_S
        )
    except errors.CallFailed:
        _mark(state, entry, False)
        return
    _mark(state, entry, answer.status == 200)


def _mark(state: State, entry: Entry, ready: bool) -> None:
    if ready == (entry.name in state.ready):
        return
    faults.record(
        state.control, kind='ready' if ready else 'unready', entry=entry.name
    )
    if ready:
        state.ready.add(entry.name)
    else:
        state.ready.discard(entry.name)


async def forward(sock: curio.io.Socket, state: State) -> None:
    """Carry one connection to a ready entry until either side ends it."""
    there = await _connect(state)
    if there is None:
        await http.close(sock)
        return
    limit_bytes = None
    if state.rng.random() < state.cut.share:
        limit_bytes = state.rng.randint(1, CUT_WITHIN_BYTES)
    async with curio.TaskGroup(wait=all) as group:
        await group.spawn(_copy, sock, there, limit_bytes)
        await group.spawn(_copy, there, sock, limit_bytes)
    await http.close(sock)
    await http.close(there)


async def _connect(state: State) -> curio.io.Socket | None:
    ready = [entry for entry in state.entries if entry.name in state.ready]
    for _ in ready:
        entry = ready[next(state.turn) % len(ready)]
        try:
            connection = await http_client.connect(
                entry.listen, CONNECT_TIMEOUT_S
            )
        except errors.CallFailed:
            continue
        return connection.sock
    return None


async def _copy(
    source: curio.io.Socket,
    target: curio.io.Socket,
    limit_bytes: int | None,
) -> None:
    left_bytes = limit_bytes
    try:
        while data := await source.recv(PIECE_BYTES):
            if left_bytes is not None:
                data = data[:left_bytes]
                left_bytes -= len(data)
            await target.sendall(data)
            if left_bytes == 0:
                _shut(source, socket.SHUT_RDWR)
                _shut(target, socket.SHUT_RDWR)
                return
        _shut(target, socket.SHUT_WR)
    except OSError:
        _shut(source, socket.SHUT_RDWR)
        _shut(target, socket.SHUT_RDWR)


def _shut(sock: curio.io.Socket, how: int) -> None:
    try:
        sock._socket.shutdown(how)
    except OSError:
        return


async def accept(sock: curio.io.Socket, state: State) -> None:
    """Forward each connection to the socket, until cancelled."""
    while True:
        connection, _ = await sock.accept()
        await curio.spawn(forward, connection, state, daemon=True)


async def run(listen: ids.Address, control: ids.Address) -> None:
    """Forward until a signal; print the address, then the control one."""
    state = State(faults.Control())
    host, port = http.split_address(listen)
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.bind((host, port))
    sock.listen(http_server.BACKLOG)
    faults.say('{}:{}'.format(*sock.getsockname()))
    await curio.spawn(accept, sock, state, daemon=True)
    await curio.spawn(probe, state, daemon=True)
    await faults.serve(control, state.control, control_handler(state))


def main(*, listen: str = '127.0.0.1:0', control: str = '127.0.0.1:0') -> None:
    """Run a stand-in of the balancer."""
    curio.run(run, ids.Address(listen), ids.Address(control))


if __name__ == '__main__':
    cyclopts.run(main)
