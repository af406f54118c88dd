"""Stand-ins for the cases 4 to 8: store, executors, machines, clients.

They use the standard library only and speak what the users' PROTOCOL.md says.
The servers are the project's own, started as separate processes with the
command of the deploy file, on loopback addresses and the real clock.
"""

import asyncio
import base64
import collections.abc
import contextlib
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ['python3.11', '-m', 'oleanderwood']
"""As in the deploy file."""

PASSED_ON = ('PATH', 'HOME', 'LANG')
"""Variables of the environment that a server receives."""

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.1
STARTUP_S = 0.4
MAINTENANCE_S = 2.0
MOVE_S = 1.5
GANG_TIMEOUT_S = 3.0

RESET = object()
"""Answer of a handler: the connection is reset."""

HANG = object()
"""Answer of a handler: nothing is ever answered on this connection."""

Answer = typing.Any


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began_s = time.monotonic()
        self.file = (folder / 'record.txt').open('w')

    def note(self, text: str) -> None:
        """Write one line with the time since the start of the case."""
        at_s = time.monotonic() - self.began_s
        self.file.write(f'{at_s:8.3f} {text}\n')
        self.file.flush()


FIRST_PORT = 11_000
PORTS = 20_000
"""Below the ports that the system gives to outgoing connections."""


def free_port() -> int:
    """Return a port that nobody listens on now."""
    while True:
        port = FIRST_PORT + secrets.randbelow(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


class HttpServer:
    """A small HTTP/1.1 server; the handler decides what is answered."""

    def __init__(
        self,
        handler: collections.abc.Callable[
            [str, str, dict, bytes], collections.abc.Awaitable[Answer]
        ],
        port: int = 0,
    ) -> None:
        self.handler = handler
        self.port = port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address on which it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=1 << 24
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            abort(writer)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _version = lines[0].split(' ')
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    if name:
                        headers[name.lower()] = value.strip()
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                answer = await self.handler(method, target, headers, body)
                if answer is RESET:
                    abort(writer)
                    return
                if answer is HANG:
                    await asyncio.sleep(3600)
                status, value = answer
                data = b'' if value is None else json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has gone, or the case has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )
    writer.transport.abort()


class Link:
    """The way from one server to an address; it can be cut for a while.

    As with TCP over a partition: what was sent on a connection that was open
    before the cut is held up, and it arrives after the cut, also if the sender
    has closed the connection meanwhile. Connections that are opened during the
    cut never come about.

    :ivar sent: called with each piece that a server sends
    """

    def __init__(self, target: HttpServer) -> None:
        self.target = target
        self.port = 0
        self.sent: typing.Any = None
        self.server: asyncio.Server | None = None
        self.whole = asyncio.Event()
        self.whole.set()

    @property
    def address(self) -> str:
        """Return the address on which it listens."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._carry, '127.0.0.1', 0, limit=1 << 24
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _carry(self, reader, writer) -> None:
        if not self.whole.is_set():
            await self.whole.wait()
            abort(writer)
            return
        try:
            far = await asyncio.open_connection('127.0.0.1', self.target.port)
        except OSError:
            abort(writer)
            return
        await asyncio.gather(
            self._pump(reader, far[1], self.sent),
            self._pump(far[0], writer, None),
        )

    async def _pump(self, reader, writer, sent) -> None:
        try:
            while data := await reader.read(1 << 16):
                if sent is not None:
                    sent(data)
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
            await self.whole.wait()
            writer.write_eof()
        except (OSError, RuntimeError, asyncio.CancelledError):
            writer.close()


class Store:
    """The platform's key-value store.

    :ivar before: called with method, path, query and body before each call;
        what it returns is the answer, unless it is None
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 100
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.before: typing.Any = None
        self.http = HttpServer(self._handle)

    async def run_leases(self) -> None:
        """End leases whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for number, (_ttl_s, end_s) in list(self.leases.items()):
                if end_s <= now_s:
                    self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key, item in list(self.items.items()):
            if item['lease'] == number:
                self.remove(key)

    def put(self, key: str, value: typing.Any, lease: int = 0) -> int:
        """Write a value as the operator or an executor does."""
        self.revision += 1
        self._set(key, json.dumps(value).encode(), lease)
        return self.revision

    def value(self, key: str) -> typing.Any:
        """Return the decoded value of a key, None if there is none."""
        item = self.items.get(key)
        if item is None:
            return None
        return json.loads(base64.b64decode(item['value']))

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._unset(key)

    def _set(self, key: str, value: bytes, lease: int) -> None:
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self._note(dict(self.items[key]))

    def _unset(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def _note(self, row: dict) -> None:
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, method, target, headers, body) -> Answer:
        path, _, query = target.partition('?')
        asked = dict(urllib.parse.parse_qsl(query))
        if self.before is not None:
            answer = await self.before(method, path, asked, body)
            if answer is not None:
                return answer
        await asyncio.sleep(0.004)
        return await self.answer(method, path, asked, body)

    async def answer(self, method, path, asked, body) -> Answer:
        """Carry out a call."""
        if path == '/kv-key':
            item = self.items.get(asked['key'])
            if item is None:
                return 404, None
            return 200, {**item, 'current_rev': self.revision}
        if path == '/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(asked['prefix'])
                and key > asked.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'current_rev': self.revision,
            }
        if path == '/kv-watch':
            return await self._watch(asked)
        if path == '/kv-txn':
            return self._transaction(json.loads(body))
        if path == '/kv-lease':
            ttl_s = json.loads(body)['ttl_ms'] / 1000
            number, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[number] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {'lease': number, 'ttl_ms': ttl_s * 1000}
        number = int(path.rpartition('/')[2])
        if number not in self.leases:
            return 404, None
        if method == 'DELETE':
            self._end_lease(number)
            return 200, {}
        self.leases[number][1] = time.monotonic() + self.leases[number][0]
        return 200, {'ttl_ms': self.leases[number][0] * 1000}

    async def _watch(self, asked) -> Answer:
        after = int(asked['after'])
        end_s = time.monotonic() + int(asked['wait_ms']) / 1000
        while True:
            events = [
                row
                for row in self.history
                if row['revision'] > after
                and row['key'].startswith(asked['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _transaction(self, asked) -> Answer:
        if sum(len(rows) for rows in asked.values()) > 32:
            return 400, None
        wrong = False
        found = []
        for row in asked['precondition']:
            item = self.items.get(row['key'])
            if item is not None:
                found.append(item)
            have = item['revision'] if item is not None else 0
            wrong |= have != row['revision']
        if wrong:
            return 412, {'items': found}
        leases = {row.get('lease', 0) for row in asked['writes']} - {0}
        if leases - set(self.leases):
            return 404, None
        self.revision += 1
        for row in asked['writes']:
            value = base64.b64decode(row['value'])
            self._set(row['key'], value, row.get('lease', 0))
        for key in asked['remove']:
            self._unset(key)
        return 200, {'revision': self.revision}


class Run:
    """One run of a task on an executor."""

    def __init__(self, task: str, attempt: int, phase: dict, spec: str):
        self.task = task
        self.attempt = attempt
        self.phase = phase
        self.spec = spec
        self.began_s = time.monotonic()
        self.stopped_s: float | None = None


class Machine:
    """A machine and its executor, one life of which is up at a time.

    :ivar orders: called with path and body before each order; what it returns
        is the answer, unless it is None
    :ivar dark: it has crashed, and nothing is heard of it
    :ivar cut: it runs on, but no server reaches it
    :ivar born: when it was born, as it tells; None if it doesn't tell
    """

    def __init__(self, world: 'World', name: str, pool: str, labels: list):
        self.world = world
        self.name = name
        self.pool = pool
        self.labels = labels
        self.state = 'up'
        self.lives = 0
        self.ident = ''
        self.up = False
        self.dark = False
        self.cut = False
        self.born: int | None = None
        self.clock_from_s = 0.0
        self.waves: set[int] = set()
        self.orders: typing.Any = None
        self.http = HttpServer(self._handle)
        self.capacity = {'cpu': 16_000, 'mem_mb': 65_536, 'gpu': 0}
        self.beat: asyncio.Task | None = None
        self._reset()

    def _reset(self) -> None:
        self.fence = 0
        self.deadline_ms = 0.0
        self.running: dict[str, Run] = {}
        self.over: dict[str, int] = {}
        self.ends: list[list] = []
        self.number = 0
        self.changed = asyncio.Event()

    async def begin(self) -> None:
        """Begin a life of the executor, under a new id."""
        self.lives += 1
        self._reset()
        self.ident = f'i-{self.name}-{self.lives}'
        self.state = 'up'
        self.up = True
        self.dark = False
        await self.http.start()
        self.world.note(f'executor {self.ident} is up, pool {self.pool}')
        self.beat = asyncio.create_task(self._live(self.ident))

    async def end(self, why: str, state: str = 'down') -> None:
        """End the life: all that runs is gone, connections are reset."""
        if not self.up:
            return
        self.up = False
        self.state = state
        lost = sorted(self.running)
        self.running.clear()
        await self.http.stop()
        self.world.note(f'executor {self.ident} ends: {why}; lost {lost}')

    def fall_silent(self, why: str) -> None:
        """End the life without a sign: nothing is answered any more."""
        self.up = False
        self.dark = True
        self.state = 'down'
        lost = sorted(self.running)
        self.running.clear()
        self.world.note(f'executor {self.ident} is silent: {why}; lost {lost}')

    async def _live(self, ident: str) -> None:
        """Keep the entry in the store, and let runs end, until it ends."""
        store = self.world.store
        key = f'servers/{ident}'
        store.put(key, self._entry(ident))
        while self.up and self.ident == ident:
            await asyncio.sleep(0.01)
            self._advance()
        await asyncio.sleep(3 * HEARTBEAT_S)
        store.remove(key)

    def _entry(self, ident: str) -> dict:
        return {
            **self._told(),
            'service': self.pool,
            'addr': self.http.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': self.capacity,
            'labels': self.labels,
            'machine': self.name,
            'seq': 1,
        }

    def clock_ms(self) -> float:
        """Return the executor's own clock."""
        return (time.monotonic() - self.clock_from_s) * 1000

    def restart(self) -> None:
        """Begin another life under the same id, unheard behind a cut."""
        lost = sorted(self.running)
        self._reset()
        self.clock_from_s = time.monotonic()
        self.born = round(time.time() * 1000)
        self.world.note(f'{self.ident} starts again, lost {lost}')
        self.world.store.put(f'servers/{self.ident}', self._entry(self.ident))

    def heal(self) -> None:
        """End a cut; of the connections of before nobody knows any more."""
        self.cut = False
        for writer in list(self.http.writers):
            abort(writer)
        self.world.note(f'{self.ident} is reached again')

    def _told(self) -> dict:
        return {} if self.born is None else {'born': self.born}

    def _advance(self) -> None:
        now_s = time.monotonic()
        lapsed = self.clock_ms() > self.deadline_ms
        for run in list(self.running.values()):
            work_s = run.phase['estimate_ms'] / 1000
            if run.stopped_s is not None and now_s - run.stopped_s >= STOP_S:
                self._finish(run, 'stopped')
            elif lapsed:
                self._finish(run, 'lapsed')
            elif run.phase.get('long_running'):
                continue
            elif now_s - run.began_s >= work_s:
                self._finish(run, 'done')

    def fail(self, task: str) -> None:
        """Let a run end as failed, through a fault of its own."""
        self._finish(self.running[task], 'failed')

    def _finish(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.attempt)
        self.number += 1
        self.ends.append([self.number, run.task, run.attempt, how, ''])
        self.world.ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _percent(self, run: Run) -> float:
        age_s = time.monotonic() - run.began_s
        if run.phase.get('long_running'):
            return min(100, int(age_s / STARTUP_S * 100))
        whole_s = run.phase['estimate_ms'] / 1000
        return min(99, int(age_s / whole_s * 100))

    def _answer(self, status: int, **fields) -> Answer:
        return status, {'clock_ms': int(self.clock_ms()), **fields}

    async def _handle(self, method, target, headers, body) -> Answer:
        if self.cut:
            return HANG
        if self.dark:
            self.world.note(f'never arrives at {self.ident}: {target}')
            return HANG
        if headers.get('expect-instance', self.ident) != self.ident:
            return 421, None
        asked = json.loads(body)
        if self.orders is not None:
            answer = await self.orders(target, asked)
            if answer is not None:
                return answer
        return await self.carry_out(target, asked)

    async def carry_out(self, target: str, asked: dict) -> Answer:
        """Carry out an order."""
        if asked.get('fence', 0) < self.fence:
            return self._answer(409, reason='fence')
        self.fence = asked.get('fence', 0)
        if target == '/run-start':
            return self._start(asked)
        if target == '/run-stop':
            return self._stop(asked)
        if target == '/pace':
            return self._answer(200)
        return await self._hold(asked)

    def _extend(self, asked) -> None:
        until = asked.get('deadline_ms')
        if until is not None:
            until = min(until, self.clock_ms() + MAX_HOLD_MS)
            self.deadline_ms = max(self.deadline_ms, until)

    def _start(self, asked) -> Answer:
        task, attempt = asked['task'], asked['attempt']
        known = self.running.get(task)
        if known is not None and known.attempt == attempt:
            return self._answer(200)
        if known is not None or attempt <= self.over.get(task, 0):
            self._extend(asked)
            return self._answer(409, reason='old')
        if asked['deadline_ms'] <= self.clock_ms():
            return self._answer(409, reason='late')
        self._extend(asked)
        job, _occurrence, step, _index = task.split('.')
        phase = self.world.jobs[job]['phases'][int(step)]
        for what in ('cpu', 'mem_mb'):
            used = sum(run.phase.get(what, 0) for run in self.running.values())
            if used + phase.get(what, 0) > self.capacity[what]:
                return self._answer(409, reason='room')
        run = Run(task, attempt, phase, asked['spec'])
        self.running[task] = run
        self.world.started(self, run)
        return self._answer(200)

    def _stop(self, asked) -> Answer:
        task, attempt = asked['task'], asked['attempt']
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            if run.stopped_s is None:
                run.stopped_s = time.monotonic()
        else:
            self.over[task] = max(self.over.get(task, 0), attempt)
        return self._answer(200)

    async def _hold(self, asked) -> Answer:
        self._extend(asked)
        seen = asked.get('last_seen', 0)
        self.ends = [row for row in self.ends if row[0] > seen]
        if not self.ends and asked.get('wait_ms'):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), asked['wait_ms'] / 1000
                )
        if self.dark or self.cut:
            return HANG
        rows = [
            [run.task, run.attempt, '', self._percent(run), 0]
            for run in self.running.values()
        ]
        return self._answer(
            200, **self._told(), running=rows, finished=self.ends[:500]
        )


class Cloud:
    """The platform's list of machines, and the orders for them.

    :ivar before: called with path and body before each order; what it returns
        is the answer, unless it is None
    :ivar arrived: machine, fencing token and holder of each order
    :ivar begun: machine of each upkeep that began, and the machines that were
        down for theirs
    """

    def __init__(self, world: 'World') -> None:
        self.world = world
        self.before: typing.Any = None
        self.arrived: list[tuple[str, int, str]] = []
        self.begun: list[tuple[str, list[str]]] = []
        self.http = HttpServer(self._handle)

    async def _handle(self, method, target, headers, body) -> Answer:
        if method == 'GET':
            rows = [
                {
                    'machine': row.name,
                    'pool': row.pool,
                    'state': row.state,
                    'zone': 'zone-a',
                    'labels': row.labels,
                    'capacity': row.capacity,
                    'id': row.ident if row.up else '',
                }
                for row in self.world.machines.values()
            ]
            return 200, {'machines': rows, 'next_token': None}
        asked = json.loads(body)
        token, holder = int(headers['fencing-token']), headers['duty-holder']
        self.arrived.append((asked['machine'], token, holder))
        by = f'{holder}, token {token}'
        self.world.note(f'machine order {target} {asked} of {by}')
        if self.before is not None:
            answer = await self.before(target, asked)
            if answer is not None:
                return answer
        answer = await self.carry_out(target, asked)
        self.world.note(f'machine order {target} {asked} -> {answer}')
        return answer

    async def carry_out(self, target: str, asked: dict) -> Answer:
        """Carry out an order for a machine."""
        machine = self.world.machines.get(asked['machine'])
        if machine is None:
            return 400, None
        if target == '/machine-move':
            if machine.pool == asked['pool']:
                return 200, {}
            if machine.state != 'up':
                return 409, {'reason': 'busy'}
            machine.pool = asked['pool']
            await self._turn(machine, 'moving', MOVE_S)
            return 200, {}
        number = asked['wave']
        wave = self.world.store.value(f'op/wave/{number}') or {}
        if machine.name not in wave.get('machines', ()):
            return 409, {'reason': 'wave'}
        if number in machine.waves:
            return 200, {}
        if machine.state != 'up':
            return 409, {'reason': 'busy'}
        machine.waves.add(number)
        down = [
            row.name
            for row in self.world.machines.values()
            if row.state == 'upkeep'
        ]
        self.begun.append((machine.name, down))
        self.world.note(f'upkeep of {machine.name} begins, wave {number}')
        await self._turn(machine, 'upkeep', MAINTENANCE_S)
        return 200, {}

    async def _turn(self, machine: Machine, state: str, for_s: float) -> None:
        await machine.end('by order', state)

        async def back() -> None:
            await asyncio.sleep(for_s)
            await machine.begin()

        self.world.spawn(back())


class Server:
    """One of the project's servers, as a process."""

    def __init__(self, world: 'World', name: str, folder: pathlib.Path):
        self.world = world
        self.name = name
        self.path = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        self.port = free_port()
        self.ready = free_port()
        self.inner = free_port()
        self.store_link = Link(world.store.http)
        self.cloud_link = Link(world.cloud.http)
        self.popen: subprocess.Popen | None = None

    def start(self, **changes) -> None:
        """Start the process with the settings of a small deployment."""
        values = {
            'name': self.name,
            'ip': '127.0.0.1',
            'data_centre': 'zone-a',
            'callers_listen': f'127.0.0.1:{self.port}',
            'ready_listen': f'127.0.0.1:{self.ready}',
            'inner_port': self.inner,
            'store_address': self.store_link.address,
            'store_writes_per_s': 400,
            'store_reads_per_s': 2000,
            'store_lease_min_ms': 1000,
            'machines_address': self.cloud_link.address,
            'machine_orders_per_s': 64.0,
            'machine_reads_per_s': 64.0,
            'heartbeat_ms': 1500,
            'stop_time_s': 6,
            'max_task_lease_ms': MAX_HOLD_MS,
            'contact_ms': 3000,
            'task_stop_ms': 200,
            'task_restore_ms': 250,
            'machine_turn_ms': 3000,
            'maintenance_s': MAINTENANCE_S,
            'move_s': MOVE_S,
            'job_retention_s': 120,
            'contracts': [
                *('base', 'drain', 'config', 'cost', 'recover', 'sched'),
                *('platform', 'upkeep', 'sharing'),
            ],
            **changes,
        }
        self.path.write_text(json.dumps(values))
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env={
                    **{
                        name: os.environ[name]
                        for name in PASSED_ON
                        if name in os.environ
                    },
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'OLEANDERWOOD_BOOT': str(self.path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.world.note(f'server {self.name} started')

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)
            self.world.note(f'server {self.name}: {number.name}')

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.popen is not None:
            if self.popen.poll() is None:
                self.popen.kill()
                self.world.note(f'server {self.name} killed')
            self.popen.wait()
            self.popen = None

    def events(self, part: str, event: str) -> list[dict]:
        """Return the events of a kind that the process has logged."""
        rows = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row.get('part') == part and row.get('event') == event:
                    rows.append(row)
        return rows


class World:
    """All that runs in one case."""

    def __init__(self, folder: pathlib.Path, server_count: int = 3) -> None:
        self.record = Record(folder)
        self.note = self.record.note
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.cloud = Cloud(self)
        self.machines: dict[str, Machine] = {}
        self.servers = [
            Server(self, f's{number + 1}', self.temporary)
            for number in range(server_count)
        ]
        self.jobs: dict[str, dict] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, part: collections.abc.Coroutine) -> asyncio.Task:
        """Run something in the background until the case ends."""
        task = asyncio.create_task(part)
        self.tasks.add(task)
        return task

    def started(self, machine: Machine, run: Run) -> None:
        """Note that an executor has begun a run."""
        now_s = time.monotonic()
        self.starts.append((now_s, run.task, run.attempt, machine.ident))
        self.note(f'run {run.task} #{run.attempt} begins at {machine.ident}')

    def ended(self, machine: Machine, run: Run, how: str) -> None:
        """Note that a run has ended."""
        now_s = time.monotonic()
        self.ends.append((now_s, run.task, run.attempt, machine.ident, how))
        self.note(
            f'run {run.task} #{run.attempt} ends {how} at {machine.ident}'
        )

    def add(self, name: str, pool: str, labels: list) -> Machine:
        """Add a machine."""
        self.machines[name] = Machine(self, name, pool, labels)
        return self.machines[name]

    async def start(
        self, pools: list[str], tenants: list[dict] | None = None, **settings
    ) -> None:
        """Start everything, with one queue a pool, and wait for a leader.

        A queue's prefix is ``/POOL/``; its host is ``jobs.example``.

        :param tenants: None if callers need no keys
        """
        await self.store.http.start()
        self.spawn(self.store.run_leases())
        await self.cloud.http.start()
        self.configure(1, pools, tenants=tenants)
        for machine in self.machines.values():
            await machine.begin()
        for server in self.servers:
            await server.store_link.start()
            await server.cloud_link.start()
            server.start(**settings)
        await self.until_led()

    def configure(self, version: int, pools: list[str], **fields) -> None:
        """Write a configuration as the operator does."""
        routes = [
            {
                'name': f'q-{pool}',
                'host': 'jobs.example',
                'prefix': f'/{pool}/',
                'service': pool,
                'target_duration_ms': 600,
                'priority': 0,
                'max_attempts': 4,
                'stretch': 1.6,
            }
            for pool in pools
        ]
        services = [{'name': pool, 'admission_check': True} for pool in pools]
        value = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {},
            **fields,
        }
        self.store.put('op/config', value)

    async def until_led(self, for_s: float = 20.0) -> str:
        """Wait until a server leads; return its name."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            alive = self.store.items.get('ow/roles/alive')
            if alive is not None:
                process = base64.b64decode(alive['value']).decode()
                await asyncio.sleep(1.0)
                return process.partition('/')[0]
            await asyncio.sleep(0.05)
        raise Unplayable('no server leads')

    def leader(self) -> Server:
        """Return the server that leads now."""
        alive = self.store.items.get('ow/roles/alive')
        if alive is None:
            raise Unplayable('no server leads')
        name = base64.b64decode(alive['value']).decode().partition('/')[0]
        return next(row for row in self.servers if row.name == name)

    async def hand_in(self, server: Server, pool: str, job: str, work: dict):
        """Hand a job in; return the status."""
        self.jobs[job] = work
        return await self.call(server, 'POST', f'/{pool}/{job}', work)

    async def call(
        self,
        server: Server,
        method: str,
        path: str,
        value: typing.Any = None,
        timeout_s: float = 3.0,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        """Call a server as a client does; 0 stands for no answer."""
        try:
            answer = await asyncio.wait_for(
                exchange(server.port, method, path, value, headers or {}),
                timeout_s,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = (0, None)
        self.note(f'{method} {path} at {server.name} -> {answer}')
        return answer

    async def state(self, server: Server, pool: str, job: str) -> str:
        """Ask for a job's state; '' if there is no answer."""
        status, value = await self.call(server, 'GET', f'/{pool}/{job}')
        return value['state'] if status == 200 else ''

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for server in self.servers:
            server.kill()
        for task in self.tasks:
            task.cancel()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


class Unplayable(Exception):
    """The case couldn't run."""


async def exchange(port, method, path, value, headers):
    """Make one call on a new connection; return status and decoded body."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        body = b'' if value is None else json.dumps(value).encode()
        lines = [
            f'{method} {path} HTTP/1.1',
            'host: jobs.example',
            'content-type: application/json',
            f'content-length: {len(body)}',
            *(f'{name}: {text}' for name, text in headers.items()),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        head = await reader.readuntil(b'\r\n\r\n')
        rows = head.decode('latin-1').split('\r\n')
        status = int(rows[0].split(' ')[1])
        length = 0
        for line in rows[1:]:
            name, _, text = line.partition(':')
            if name.lower() == 'content-length':
                length = int(text)
        data = await reader.readexactly(length)
    finally:
        writer.close()
    try:
        return status, json.loads(data) if data else None
    except ValueError:
        return status, None


def note_fault(world: World, context: dict) -> None:
    """Note what a stand-in did not handle; connections end as cases do."""
    error = context.get('exception')
    if not isinstance(error, asyncio.CancelledError):
        world.note(f'fault of a stand-in: {context["message"]} {error!r}')


Case = collections.abc.Callable[[World, bool], collections.abc.Awaitable[bool]]


def main(
    folder: pathlib.Path, case: Case, limit_s: float = 110.0, **options
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, else 2."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        world = World(folder, **options)
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _loop, context: note_fault(world, context)
        )
        try:
            held = await asyncio.wait_for(case(world, trouble), limit_s)
        except (Unplayable, asyncio.TimeoutError, OSError) as error:
            world.note(f'the case could not run: {error!r}')
            return 2
        finally:
            await world.close()
        world.note('the rule held' if held else 'the rule was broken')
        return 0 if held else 1

    code = asyncio.run(run())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.exit(code)
