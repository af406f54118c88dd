"""A small deployment on loopback for the scripts of the review.

The servers are the project's own, started with the command of the deploy file
and with settings made from its template. Store, workers and machines are the
project's stand-ins (package ``emulator``), served over real sockets on the
real clock; the links to the store go through the proxies below.
"""

import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

import curio

from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import network as networks
from emulator import store as stores
from oleanderwood import clock
from oleanderwood.platform import transport
from oleanderwood.web import http
from soak import sockets
from soak import world as worlds

ROOT = pathlib.Path(__file__).resolve().parent.parent

HOST = 'callers.example'

BOUNDS: dict[str, typing.Any] = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'drain_ms': 2000,
    'grace_s': 6,
    'max_hold_ms': 6000,
    'stop_ms': 200,
    'restore_ms': 250,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'status_s': 120,
    'move_s': 1.5,
    'maintenance_s': 2,
    'lease_ms': 3000,
    'pace_ms': 100,
    'harm_ms': 4000,
}
"""Bounds of the small sites; a case may add those of its own site."""

HELD = 0.05
"""Pause in seconds between two looks of a task that waits for something."""


_STARTED: list[subprocess.Popen] = []
"""The servers' processes; all of them are ended with the script."""


class Unplayable(Exception):
    """The case couldn't run: the exit status is 2."""


@dataclasses.dataclass
class Record:
    """What was sent, answered and run, in order of time.

    :ivar began_s: time of the first line, on the clock of ``clock.now_s``
    """

    path: pathlib.Path
    began_s: float = dataclasses.field(default_factory=clock.now_s)
    lines: list[str] = dataclasses.field(default_factory=list)

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line, and show it."""
        at_s = clock.now_s() if at_s is None else at_s
        line = f'{at_s - self.began_s:8.3f}  {text}'
        self.lines.append(line)
        print(line, flush=True)

    def write(self) -> None:
        """Write all lines, ordered by their times."""
        lines = sorted(self.lines, key=lambda line: float(line.split()[0]))
        self.path.write_text('\n'.join(lines) + '\n')


@dataclasses.dataclass(eq=False)
class Link:
    """A proxy that passes bytes on, or holds them while it is cut.

    What is held is passed on as the cut ends, also what a sender wrote before
    it closed its connection: PROTOCOL and DEPLOY let a call without an answer
    be carried out seconds later.

    :ivar cut: nothing passes in either direction
    """

    listen: str
    target: str
    cut: bool = False


async def _open(link: Link) -> None:
    while link.cut:
        await curio.sleep(HELD)


async def _pump(link: Link, source: typing.Any, sink: typing.Any) -> None:
    while True:
        piece = await source.recv(65536)
        await _open(link)
        if not piece:
            await sink.shutdown(socket.SHUT_WR)
            return
        await sink.sendall(piece)


async def _carry(link: Link, caller: typing.Any) -> None:
    target = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await _open(link)
        await target.connect(http.split_address(link.target))
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        async with curio.TaskGroup(wait=all) as group:
            await group.spawn(_quietly, _pump(link, caller, target))
            await group.spawn(_quietly, _pump(link, target, caller))
    except OSError:
        pass
    finally:
        await http.close(caller)
        await http.close(target)


async def _quietly(part: typing.Any) -> None:
    try:
        await part
    except OSError:
        pass


async def run_link(link: Link) -> None:
    """Accept connections and pass them on until cancelled."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
    sock.bind(http.split_address(link.listen))
    sock.listen(256)
    while True:
        caller, _peer = await sock.accept()
        await curio.spawn(_carry, link, caller, daemon=True)


@dataclasses.dataclass(eq=False)
class Server:
    """One server's machine.

    :ivar link: its link to the store
    """

    name: str
    ip: str
    port: int
    link: Link
    settings: pathlib.Path
    log: pathlib.Path
    popen: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Where callers connect."""
        return f'{self.ip}:{self.port}'

    @property
    def ready(self) -> str:
        """Where the load balancer looks."""
        return f'{self.ip}:{self.port + 1}'


@dataclasses.dataclass
class Deployment:
    """All that runs.

    :ivar guard: keeps the ports from other scripts
    """

    guard: socket.socket
    record: Record
    folder: pathlib.Path
    store: stores.Store
    network: networks.Network
    world: executors.World
    fleet: fleets.Fleet
    servers: list[Server]
    rng: random.Random

    def leader(self) -> Server | None:
        """Give the server that leads, as the store says."""
        item = self.store.items.get('ow/roles/leader')
        alive = 'ow/roles/alive' in self.store.items
        holder = json.loads(item.value)['holder'] if item and alive else ''
        rows = [row for row in self.servers if row.name == holder]
        return rows[0] if rows else None


def render(template: str, values: dict) -> str:
    """Fill in the template of the settings, as DEPLOY.md tells."""

    def find(path: str) -> typing.Any:
        found: typing.Any = values
        for part in path.split('.'):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if found else None
        return found

    def section(match: re.Match) -> str:
        holds = bool(find(match[2]))
        return match[3] if holds == (match[1] == '#') else ''

    text = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, template)
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda match: json.dumps(find(match[1])),
        text,
    )


def _write_settings(server: Server, machines: str, bounds: dict) -> None:
    values = {
        'node': server.name,
        'ip': server.ip,
        'zone': 'zone-a',
        'listen': {'front': server.front, 'ready': server.ready},
        'port_range': [server.port + 2, server.port + 2],
        'platform': {
            'addr': server.link.listen,
            'writes_per_s': 400,
            'reads_per_s': 2000,
            'ttl_min_ms': 1000,
        },
        'cloud': {'addr': machines, 'duty_per_s': 64.0, 'rate_per_s': 64.0},
        'heartbeat_ms': 1500,
        'bounds': {**BOUNDS, **bounds},
        'limits': {'cpu_share': 0.537, 'cores': 2, 'max_fds': 4100},
        'contracts': bounds.get('contracts', []),
    }
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    template = deploy['roles']['oleander-server']['template']
    text = render((ROOT / template).read_text(), values)
    json.loads(text)
    server.settings.write_text(text)


def start(server: Server) -> None:
    """Start a server with the command of the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    kept = {
        name: os.environ[name]
        for name in ('PATH', 'HOME', 'LANG')
        if name in os.environ
    }
    with server.log.open('ab') as log:
        server.popen = subprocess.Popen(
            deploy['roles']['oleander-server']['run'].split(),
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'OLEANDERWOOD_BOOT': str(server.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    _STARTED.append(server.popen)


def send(server: Server, number: signal.Signals) -> None:
    """Send a signal to a server that this script started."""
    if server.popen is not None and server.popen.poll() is None:
        server.popen.send_signal(number)


def _end_servers() -> None:
    for popen in _STARTED:
        if popen.poll() is None:
            popen.kill()
            popen.wait()


def _reserve_ports() -> socket.socket:
    """Reserve three ports that nothing uses, for as long as it is open."""
    for _ in range(50):
        guard = worlds.reserve_port()
        port = guard.getsockname()[1]
        if all(_is_free(port + more) for more in range(3)):
            return guard
        guard.close()
    raise Unplayable('no ports are free')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.11.0.1', port))
        except OSError:
            return False
    return True


async def build(
    record: Record,
    folder: pathlib.Path,
    names: list[str],
    pools: dict[str, int],
    configuration: dict,
    bounds: dict | None = None,
    cores: int = 64,
) -> Deployment:
    """Build a deployment, and start its servers.

    :param pools: number of machines by pool
    """
    rng = random.Random(7)
    network = networks.Network(random.Random(8))
    store = stores.Store()
    world = executors.World(evidences.Evidence(), store, rng)
    fleet = fleets.Fleet(world, network, cores=cores, memory_mb=262144)
    network.handlers['store'] = stores.make_handler(store)
    network.handlers['machines'] = fleets.make_handler(fleet)
    await curio.spawn(stores.run_leases, store, daemon=True)
    await stores.put(store, 'op/config', json.dumps(configuration).encode())
    guard = _reserve_ports()
    at = worlds.Addresses(guard.getsockname()[1]).at
    await sockets.spawn(network, at(15, 1), 'machines', 'server')
    number = 0
    for pool, count in pools.items():
        for index in range(count):
            number += 1
            address = at(21, number)
            name = f'm{number}'
            fleet.machines[name] = fleets.Machine(
                name, pool, address, f'r-{index // 4}'
            )
            await sockets.spawn(network, address, address, 'server')
    servers = []
    for index, name in enumerate(names, 1):
        listen, behind = at(12, index), at(13, index)
        await sockets.spawn(network, behind, 'store', name)
        link = Link(listen, behind)
        await curio.spawn(run_link, link, daemon=True)
        ip, _, port = at(11, index).partition(':')
        server = Server(
            name,
            ip,
            int(port),
            link,
            folder / f'{name}.json',
            folder / f'{name}.log',
        )
        _write_settings(server, at(15, 1), bounds or {})
        servers.append(server)
    deployment = Deployment(
        guard, record, folder, store, network, world, fleet, servers, rng
    )
    for machine in fleet.machines.values():
        await fleets.begin_life(fleet, machine)
    for server in servers:
        start(server)
    await curio.spawn(_note_runs, deployment, daemon=True)
    await _await_ready(deployment)
    return deployment


async def _note_runs(deployment: Deployment) -> None:
    """Put what the workers saw into the record."""
    shown = {
        evidences.Kind.STARTED: 'run started',
        evidences.Kind.ENDED: 'run ended',
    }
    sights = deployment.world.evidence.sights
    seen = 0
    while True:
        await curio.sleep(HELD)
        while seen < len(sights):
            row = sights[seen]
            seen += 1
            if row.kind in shown:
                deployment.record.note(
                    f'{shown[row.kind]} task={row.task} run={row.attempt} '
                    f'worker={row.place} {row.how}'.rstrip(),
                    row.at_s,
                )


async def _await_ready(deployment: Deployment) -> None:
    """Wait until all servers are ready and one leads."""
    until_s = clock.now_s() + 20.0
    while clock.now_s() < until_s:
        await curio.sleep(0.2)
        looks = [
            await call(server.ready, 'GET', '/readiness', timeout_s=0.5)
            for server in deployment.servers
        ]
        if all(status == 200 for status, _ in looks) and deployment.leader():
            # The first renewals of all workers, and the stored lists of them.
            await curio.sleep(3.0)
            leader = deployment.leader()
            name = leader.name if leader else 'nobody'
            deployment.record.note(f'all servers are ready; {name} leads')
            return
    raise Unplayable('the servers did not become ready')


async def connect(address: str) -> typing.Any:
    """Open a connection that a caller keeps for several calls."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    await sock.connect(http.split_address(address))
    return sock


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    key: str = '',
    timeout_s: float = 3.0,
    kept: typing.Any = None,
) -> tuple[int, bytes]:
    """Make one call; status 0: no answer.

    The connection is closed when the time is over: the caller has left.

    :param kept: open connection to use; None: the call has one of its own
    """
    head = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
    if key:
        head += f'Authorization: Token {key}\r\n'
    if body:
        head += 'Content-Type: application/json\r\n'
        head += f'Content-Length: {len(body)}\r\n'
    sock = kept
    answered = False
    try:
        async with curio.timeout_after(timeout_s):
            if sock is None:
                sock = await connect(address)
            await sock.sendall(head.encode() + b'\r\n' + body)
            status, answer = await _read_answer(sock)
            answered = status != 0
            return status, answer
    except (OSError, curio.TaskTimeout, ValueError):
        return 0, b''
    finally:
        if sock is not None and not (kept is not None and answered):
            await http.close(sock)


async def _read_answer(sock: typing.Any) -> tuple[int, bytes]:
    data = b''
    while b'\r\n\r\n' not in data:
        piece = await sock.recv(65536)
        if not piece:
            return 0, b''
        data += piece
    head, _, rest = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n')[1:]:
        name, _, value = line.partition(b':')
        if name.strip().lower() == b'content-length':
            length = int(value)
    while len(rest) < length:
        piece = await sock.recv(65536)
        if not piece:
            return 0, b''
        rest += piece
    return int(head.split()[1]), rest


async def ask(
    deployment: Deployment,
    server: Server,
    method: str,
    path: str,
    body: bytes = b'',
    **options: typing.Any,
) -> tuple[int, bytes]:
    """Make a caller's call at a server, and note it."""
    began_s = clock.now_s()
    deployment.record.note(f'sent {method} {path} to {server.name}')
    status, answer = await call(server.front, method, path, body, **options)
    took_ms = round((clock.now_s() - began_s) * 1000)
    text = answer.decode('utf-8', 'replace').strip()
    said = f'{status} {text}' if status else 'no answer, the caller left'
    deployment.record.note(
        f'answer to {method} {path} from {server.name} after {took_ms} ms: '
        f'{said}'
    )
    return status, answer


def job_body(deployment: Deployment, job: str, phases: list[dict]) -> bytes:
    """Make a job's body, and let the workers know its tasks."""
    deployment.world.jobs[job] = {'phases': phases}
    return json.dumps({'spec': f'text of {job}', 'phases': phases}).encode()


def starts(deployment: Deployment, job: str) -> list[evidences.Sight]:
    """Give the starts of a job's tasks that workers saw."""
    return [
        row
        for row in deployment.world.evidence.sights
        if row.kind is evidences.Kind.STARTED and row.job == job
    ]


def refuse_starts(
    deployment: Deployment, machine: fleets.Machine, share: float
) -> typing.Callable[[], None]:
    """Let a machine's worker answer 503 to a share of the starts.

    :return: what ends it
    """
    handlers = deployment.network.handlers
    sound = handlers[machine.address]

    async def handle(source, method, target, body, headers):
        if target == '/run-start' and deployment.rng.random() < share:
            return transport.Answer(503, b'')
        return await sound(source, method, target, body, headers)

    def end() -> None:
        handlers[machine.address] = sound

    handlers[machine.address] = handle
    return end


def run(case: typing.Callable, folder: pathlib.Path) -> None:
    """Run a case; exit with 1 if it finds the rule broken, with 0 if not.

    :param case: coroutine function of the record, a temporary folder and
        whether there is trouble; gives whether the rule was broken
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    status = 2
    began_s = time.monotonic()
    signal.signal(signal.SIGTERM, _stop_now)
    try:
        with tempfile.TemporaryDirectory() as name:
            broken = curio.run(
                _play, case, record, pathlib.Path(name), trouble
            )
            status = 1 if broken else 0
            if os.environ.get('KEEP_LOGS'):
                for path in pathlib.Path(name).glob('*.log'):
                    target = pathlib.Path(os.environ['KEEP_LOGS']) / path.name
                    target.write_bytes(path.read_bytes())
    except Unplayable as error:
        record.note(f'could not run: {error}')
    finally:
        _end_servers()
    verdict = {0: 'the rule held', 1: 'THE RULE WAS BROKEN'}.get(
        status, 'could not run'
    )
    record.note(
        f'{verdict} (trouble: {"yes" if trouble else "no"}, '
        f'{time.monotonic() - began_s:.0f} s)'
    )
    record.write()
    sys.exit(status)


def _stop_now(number: int, frame: typing.Any) -> None:
    raise SystemExit(2)


async def _play(case, record, folder, trouble) -> bool:
    try:
        async with curio.timeout_after(110):
            return await case(record, folder, trouble)
    except curio.TaskTimeout as error:
        raise Unplayable('it took over 110 s') from error
    finally:
        _end_servers()
