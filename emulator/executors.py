"""Executors: tasks under leases, fences, ends until they are acknowledged."""

import dataclasses
import json
import random

import curio

from emulator import evidence as evidences
from emulator import network as networks
from emulator import store as stores
from emulator import virtual
from oleanderwood import clock
from oleanderwood.platform import transport

MAX_LEASE_MS = 6000.0
STOP_S = 0.1
"""Time that a stop takes."""

HEARTBEAT_S = 1.5
LINGER_S = 4.0
"""Time that a leaving executor goes on after its notice."""

TICK_S = 0.02
STARTUP_S = 0.4
"""Time until a task that lasts is at work."""


@dataclasses.dataclass(eq=False)
class Running:
    """One run."""

    task: str
    attempt: int
    spec: dict
    begun_s: float
    lasts: bool
    length_s: float
    fails: bool
    stopped_s: float | None = None


@dataclasses.dataclass(eq=False)
class Executor:
    """One life of a machine's executor.

    :ivar clock_s: how far its clock is ahead; :ivar rate: how fast it is
    :ivar dark: it runs, but nobody hears it
    :ivar grey: part of its runs that fail
    :ivar slow_factor: how many times slower than others it works
    """

    name: str
    machine: str
    service: str
    address: str
    cores: int
    memory_mb: int
    rack: str
    clock_s: float
    rate: float
    up: bool = True
    dark: bool = False
    grey: float = 0.0
    slow_factor: float = 1.0
    draining: bool = False
    fence: int = 0
    deadline_ms: float = 0.0
    number: int = 0
    running: dict[str, Running] = dataclasses.field(default_factory=dict)
    over: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: list[list] = dataclasses.field(default_factory=list)
    noted: int = 0
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)


@dataclasses.dataclass
class World:
    """What executors share.

    :ivar jobs: what callers handed in, by id; the executors learn from it
        how long tasks really take
    """

    evidence: evidences.Evidence
    store: stores.Store
    rng: random.Random
    jobs: dict[str, dict] = dataclasses.field(default_factory=dict)


def clock_ms(executor: Executor) -> float:
    """Give the executor's own clock."""
    return (executor.clock_s + clock.now_s() * executor.rate) * 1000


def entry(executor: Executor) -> bytes:
    """Give the executor's entry in the store."""
    return json.dumps(
        {
            'service': executor.service,
            'addr': executor.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if executor.draining else 'ready',
            'cold_left_ms': 0,
            'capacity': {
                'cpu': executor.cores * 1000,
                'mem_mb': executor.memory_mb,
                'gpu': 0,
            },
            'labels': ['a', executor.rack],
            'machine': executor.machine,
            'seq': 1,
        }
    ).encode()


def make_handler(world: World, executor: Executor):
    """Make the handler of an executor's address."""

    async def handle(source, method, target, body, headers):
        if not executor.up or executor.dark:
            await virtual.forever()
        if headers.get('expect-instance') != executor.name:
            return transport.Answer(421, b'')
        asked = json.loads(body)
        if asked.get('fence', 0) < executor.fence:
            return _answer(executor, 409, reason='fence')
        executor.fence = asked.get('fence', 0)
        if target == '/run-start':
            how = 'late' if networks.LATE_HEADER in headers else ''
            return _start(world, executor, source, asked, how)
        if target == '/run-stop':
            return _stop(world, executor, asked)
        if target == '/pace':
            return _answer(executor, 200)
        return await _hold(world, executor, asked)

    return handle


def _answer(executor, status, **fields):
    value = {'clock_ms': clock_ms(executor), **fields}
    return transport.Answer(status, json.dumps(value).encode())


def _extend(executor, asked) -> None:
    until = asked.get('deadline_ms')
    if until is not None:
        until = min(until, clock_ms(executor) + MAX_LEASE_MS)
        executor.deadline_ms = max(executor.deadline_ms, until)


def _start(world, executor, source, asked, how):
    name, attempt = asked['task'], asked['attempt']
    known = executor.running.get(name)
    if known is not None and known.attempt == attempt:
        return _answer(executor, 200)
    if attempt <= executor.over.get(name, 0) or known is not None:
        _extend(executor, asked)
        return _answer(executor, 409, reason='old')
    if asked['deadline_ms'] <= clock_ms(executor):
        return _answer(executor, 409, reason='late')
    _extend(executor, asked)
    job, _occurrence, step, _index = name.split('.')
    spec = world.jobs[job]['phases'][int(step)]
    used = sum(run.spec['cpu'] for run in executor.running.values())
    if used + spec['cpu'] > executor.cores * 1000:
        return _answer(executor, 409, reason='room')
    executor.running[name] = _run(world, executor, name, attempt, spec)
    evidences.note(
        world.evidence,
        clock.now_s(),
        evidences.Kind.STARTED,
        job=job,
        task=name,
        attempt=attempt,
        place=executor.name,
        how=how,
        by=source,
    )
    return _answer(executor, 200)


def _run(world, executor, name, attempt, spec) -> Running:
    rng = random.Random(name)
    length_s = spec['estimate_ms'] / 1000 * rng.uniform(0.7, 1.6)
    fails = spec.get('poison', False) or world.rng.random() < max(
        0.01, executor.grey
    )
    lasts = spec.get('long_running', False)
    return Running(name, attempt, spec, clock.now_s(), lasts, length_s, fails)


def _stop(world, executor, asked):
    name, attempt = asked['task'], asked['attempt']
    run = executor.running.get(name)
    if run is not None and run.attempt == attempt:
        if run.stopped_s is None:
            run.stopped_s = clock.now_s()
    else:
        executor.over[name] = max(executor.over.get(name, 0), attempt)
    return _answer(executor, 200)


async def _hold(world, executor, asked):
    _extend(executor, asked)
    _note(world, executor, asked.get('last_seen', 0))
    if not executor.ended and asked.get('wait_ms'):
        async with curio.ignore_after(asked['wait_ms'] / 1000):
            await executor.changed.wait()
        if not executor.up or executor.dark:
            await virtual.forever()
    now_s = clock.now_s()
    rows = [
        [run.task, run.attempt, '', _percent(run, now_s), run.spec['cpu']]
        for run in executor.running.values()
    ]
    return _answer(executor, 200, running=rows, finished=executor.ended[:500])


def _percent(run, now_s) -> float:
    if run.lasts:
        return min(100.0, (now_s - run.begun_s) / STARTUP_S * 100)
    return min(99.0, (now_s - run.begun_s) / run.length_s * 100)


def _note(world, executor, last_seen) -> None:
    for number, task, attempt, how, _saved in executor.ended:
        if executor.noted < number <= last_seen:
            evidences.note(
                world.evidence,
                clock.now_s(),
                evidences.Kind.NOTED,
                task=task,
                attempt=attempt,
                place=executor.name,
                how=how,
            )
    executor.noted = max(executor.noted, last_seen)
    executor.ended = [row for row in executor.ended if row[0] > last_seen]


async def _end(world, executor, run, how) -> None:
    del executor.running[run.task]
    executor.over[run.task] = max(executor.over.get(run.task, 0), run.attempt)
    executor.number += 1
    row = [executor.number, run.task, run.attempt, how, '']
    executor.ended.append(row)
    evidences.note(
        world.evidence,
        clock.now_s(),
        evidences.Kind.ENDED,
        job=run.task.partition('.')[0],
        task=run.task,
        attempt=run.attempt,
        place=executor.name,
        how=how,
    )
    event, executor.changed = executor.changed, curio.Event()
    await event.set()


async def live(world: World, executor: Executor) -> None:
    """Let an executor's runs go on, end and lapse, while it is up."""
    while executor.up:
        await curio.sleep(TICK_S)
        now_s = clock.now_s()
        lapsed = clock_ms(executor) > executor.deadline_ms
        for run in list(executor.running.values()):
            # What a slow one doesn't do in a tick, it does later.
            run.begun_s += TICK_S * (1 - 1 / executor.slow_factor)
            how = _how(run, now_s, lapsed)
            if how:
                await _end(world, executor, run, how)


def _how(run, now_s, lapsed) -> str:
    if run.stopped_s is not None and now_s - run.stopped_s >= STOP_S:
        return 'stopped'
    if lapsed:
        return 'lapsed'
    if not run.lasts and now_s - run.begun_s >= run.length_s:
        return 'failed' if run.fails else 'done'
    return ''


def die(world: World, executor: Executor, how: str) -> None:
    """End an executor's life and all that runs there."""
    executor.up = False
    executor.running.clear()
    evidences.note(
        world.evidence,
        clock.now_s(),
        evidences.Kind.DIED,
        place=executor.name,
        how=how,
    )
