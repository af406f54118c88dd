"""Executors: tasks under leases, fences, ends until they are acknowledged."""

import collections
import collections.abc
import dataclasses
import json
import random

import curio

from emulator import advice
from emulator import checkpoints
from emulator import crashing
from emulator import evidence as evidences
from emulator import gangs
from emulator import network as networks
from emulator import sharing
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

REMOTE_FACTOR = 3.0
"""How many times longer a task takes away from its data, or a gang that has
to stay in one rack in several."""


@dataclasses.dataclass(eq=False)
class Running:
    """One run.

    :ivar begun_s: when it would have begun if it had always worked at full
        speed
    :ivar came_s: when it was started
    :ivar saved: the value of its last saved work
    """

    task: str
    attempt: int
    spec: dict
    begun_s: float
    lasts: bool
    length_s: float
    fails: bool
    came_s: float = 0.0
    stopped_s: float | None = None
    saved: str = ''
    gang: gangs.Gang | None = None
    pace: float = 1.0
    paces: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    harmed: bool = False


@dataclasses.dataclass(eq=False)
class Executor:
    """One life of a machine's executor.

    :ivar name: of this life alone, for the evidence
    :ivar ident: the id by which it is called; lives may share one
    :ivar resets: connections that wait for it are reset as it dies
    :ivar born: its birth as it tells it; None if it doesn't
    :ivar clock_s: how far its clock is ahead; :ivar rate: how fast it is
    :ivar dark: it runs, but nobody hears it
    :ivar grey: part of its runs that fail
    :ivar slow_factor: how many times slower than others it works
    :ivar kind: of its machine
    :ivar guards: it rejects what doesn't fit
    :ivar told: the size that its entry tells, which is written once a beat
    :ivar tails_ms: response times of its serving tasks, each tick
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
    kind: str = 'a'
    ident: str = ''
    born: int | None = None
    resets: bool = False
    guards: bool = True
    told: tuple[int, int] | None = None
    draining: bool = False
    fence: int = 0
    deadline_ms: float = 0.0
    lapsed: bool = True
    number: int = 0
    running: dict[str, Running] = dataclasses.field(default_factory=dict)
    over: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: list[list] = dataclasses.field(default_factory=list)
    noted: int = 0
    tails_ms: list[float] = dataclasses.field(default_factory=list)
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)


@dataclasses.dataclass
class World:
    """What executors share.

    :ivar jobs: what callers handed in, by id; the executors learn from it
        how long tasks really take
    :ivar gang_runs: runs of gangs, on all executors
    :ivar advising: what gives the tickets that starts need; None: none do
    :ivar refused: starts that were rejected, by reason
    :ivar crash: lets a task crash an executor; None: no task can
    """

    evidence: evidences.Evidence
    store: stores.Store
    rng: random.Random
    jobs: dict[str, dict] = dataclasses.field(default_factory=dict)
    gang_runs: gangs.Gangs = dataclasses.field(default_factory=dict)
    advising: advice.Service | None = None
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    crash: (
        collections.abc.Callable[[Executor], collections.abc.Awaitable[None]]
        | None
    ) = None


def clock_ms(executor: Executor) -> float:
    """Give the executor's own clock."""
    return (executor.clock_s + clock.now_s() * executor.rate) * 1000


def _told(executor: Executor) -> dict:
    """Give when it was born, if it tells."""
    return {} if executor.born is None else {'born': executor.born}


def key(executor: Executor) -> str:
    """Give the key of the executor's entry in the store."""
    return f'servers/{executor.ident}'


def entry(executor: Executor) -> bytes:
    """Give the executor's entry in the store."""
    cores, memory_mb = executor.told or (executor.cores, executor.memory_mb)
    return json.dumps(
        {
            **_told(executor),
            'service': executor.service,
            'addr': executor.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if executor.draining else 'ready',
            'cold_left_ms': 0,
            'capacity': {
                'cpu': cores * 1000,
                'mem_mb': memory_mb,
                'gpu': 0,
            },
            'labels': [executor.kind, executor.rack],
            'machine': executor.machine,
            'seq': 1,
        }
    ).encode()


def make_handler(world: World, executor: Executor):
    """Make the handler of an executor's address."""

    async def handle(source, method, target, body, headers):
        if not executor.up or executor.dark:
            await virtual.forever()
        if headers.get('expect-instance') != executor.ident:
            return transport.Answer(421, b'')
        asked = json.loads(body)
        if asked.get('fence', 0) < executor.fence:
            return _answer(executor, 409, reason='fence')
        executor.fence = asked.get('fence', 0)
        if target == '/run-start':
            how = 'late' if networks.LATE_HEADER in headers else ''
            answer = _start(world, executor, source, asked, how)
            if answer.status == 200:
                await crashing.arm(world, executor, asked['task'])
            return answer
        if target == '/run-stop':
            return _stop(world, executor, asked)
        if target == '/pace':
            return _pace(executor, asked)
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
    ticket = asked.get('ticket', '')
    if world.advising is not None and not advice.is_valid(
        world.advising, ticket, name, executor.ident
    ):
        world.refused['ticket'] += 1
        return _answer(executor, 409, reason='ticket')
    if executor.guards and not _fits(executor, spec):
        world.refused['room'] += 1
        return _answer(executor, 409, reason='room')
    checkpoint = asked.get('checkpoint', '')
    run = _run(world, executor, name, attempt, spec)
    if checkpoint:
        worked_s = checkpoints.worked_s(name, spec, checkpoint)
        run.begun_s += checkpoints.RESTORE_S - worked_s
        run.saved = checkpoint
    if spec.get('gang'):
        run.gang = gangs.join(world.gang_runs, executor, run, checkpoint)
    executor.running[name] = run
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
        saved=checkpoint,
    )
    return _answer(executor, 200)


def _fits(executor, spec) -> bool:
    runs = executor.running.values()
    cpu = sum(run.spec['cpu'] for run in runs if not sharing.fills(run))
    if not spec.get('fills'):
        cpu += spec['cpu']
    memory_mb = sum(run.spec['mem_mb'] for run in runs)
    return (
        cpu <= executor.cores * 1000
        and memory_mb + spec['mem_mb'] <= executor.memory_mb
    )


def _run(world, executor, name, attempt, spec) -> Running:
    rng = random.Random(checkpoints.unit(name, spec))
    length_s = spec['estimate_ms'] / 1000 * rng.uniform(0.7, 1.6)
    fails = spec.get('poison', False) or world.rng.random() < max(
        0.01, executor.grey
    )
    lasts = spec.get('long_running', False)
    now_s = clock.now_s()
    return Running(name, attempt, spec, now_s, lasts, length_s, fails, now_s)


def _stop(world, executor, asked):
    name, attempt = asked['task'], asked['attempt']
    run = executor.running.get(name)
    if run is not None and run.attempt == attempt:
        if run.stopped_s is None:
            run.stopped_s = clock.now_s()
    else:
        executor.over[name] = max(executor.over.get(name, 0), attempt)
    return _answer(executor, 200)


def _pace(executor, asked):
    run = executor.running.get(asked['task'])
    if run is None or run.attempt != asked['attempt']:
        return _answer(executor, 409, reason='old')
    sharing.order_pace(run, asked['percent'])
    return _answer(executor, 200)


async def _hold(world, executor, asked):
    _extend(executor, asked)
    _note(world, executor, asked.get('last_seen', 0))
    if not executor.ended and asked.get('wait_ms'):
        async with curio.ignore_after(asked['wait_ms'] / 1000):
            await executor.changed.wait()
        if not executor.up and executor.resets:
            raise networks.Reset
        if not executor.up or executor.dark:
            await virtual.forever()
    now_s = clock.now_s()
    rows = [
        [
            run.task,
            run.attempt,
            run.saved,
            _percent(run, now_s),
            sharing.told_ms(executor)
            if sharing.serves(run)
            else run.spec['cpu'],
        ]
        for run in executor.running.values()
    ]
    return _answer(
        executor,
        200,
        **_told(executor),
        running=rows,
        finished=executor.ended[:500],
    )


def _percent(run, now_s) -> float:
    if run.lasts:
        return min(100.0, (now_s - run.begun_s) / STARTUP_S * 100)
    return max(0.0, min(99.0, (now_s - run.begun_s) / run.length_s * 100))


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
    row = [executor.number, run.task, run.attempt, how, run.saved]
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
        if lapsed and not executor.lapsed:
            evidences.note(
                world.evidence,
                now_s,
                evidences.Kind.LAPSED,
                place=executor.name,
            )
        executor.lapsed = lapsed
        _measure(world, executor, now_s)
        for run in list(executor.running.values()):
            if executor.running.get(run.task) is not run:
                # It ended with the rest of its gang.
                continue
            # What a slow one doesn't do in a tick, it does later.
            run.begun_s += TICK_S * (1 - _speed(executor, run))
            how = _how(run, now_s, lapsed)
            if run.spec.get('checkpointing'):
                _save(world, executor, run, now_s, how == 'stopped')
            if how:
                await _finish(world, executor, run, how)


def _measure(world, executor, now_s) -> None:
    """Measure how tasks that serve fare beside those that fill."""
    serving = [run for run in executor.running.values() if sharing.serves(run)]
    if not serving:
        return
    executor.tails_ms.append(sharing.tail_ms(executor))
    for run in serving:
        harmed = sharing.is_harmed(executor, run)
        if harmed != run.harmed:
            run.harmed = harmed
            kind = evidences.Kind.HARMED if harmed else evidences.Kind.EASED
            evidences.note(
                world.evidence,
                now_s,
                kind,
                task=run.task,
                attempt=run.attempt,
                place=executor.name,
            )


def _speed(executor, run) -> float:
    """Give the share of full speed at which a run works."""
    factor = executor.slow_factor
    near = run.spec.get('affinity')
    if near and near != executor.rack:
        factor *= REMOTE_FACTOR
    if run.gang is not None:
        if not run.gang.whole:
            return 0.0
        if gangs.is_remote(run.gang, run):
            factor *= REMOTE_FACTOR
    if sharing.fills(run):
        share = sharing.leftover(executor)
        return share * sharing.pace(run, clock.now_s()) / factor
    return 1 / factor


def _save(world, executor, run, now_s, stopped) -> None:
    """Save a run's work, each time that it has done some more."""
    worked_s = now_s - run.begun_s
    before_s = checkpoints.worked_s(run.task, run.spec, run.saved)
    if worked_s < before_s + (0.001 if stopped else checkpoints.INTERVAL_S):
        return
    run.saved = checkpoints.value(run.task, run.spec, worked_s)
    evidences.note(
        world.evidence,
        now_s,
        evidences.Kind.SAVED,
        task=run.task,
        attempt=run.attempt,
        place=executor.name,
        saved=run.saved,
    )


def _how(run, now_s, lapsed) -> str:
    if run.stopped_s is not None and now_s - run.stopped_s >= STOP_S:
        return 'stopped'
    if lapsed:
        return 'lapsed'
    if run.gang is not None:
        return _how_gang(run, now_s)
    if not run.lasts and now_s - run.begun_s >= run.length_s:
        return 'failed' if run.fails else 'done'
    return ''


def _how_gang(run, now_s) -> str:
    gang = run.gang
    if gang.broken:
        return 'broken'
    if not gang.whole:
        late = now_s - run.came_s >= gangs.GANG_TIMEOUT_S
        return 'alone' if late else ''
    if all(
        now_s - other.begun_s >= other.length_s
        for _place, other in gang.members.values()
    ):
        return 'done'
    return ''


async def _finish(world, executor, run, how) -> None:
    """End a run; those of a gang that has done its work end together."""
    gang = run.gang
    if gang is None:
        await _end(world, executor, run, how)
        return
    if how != 'done':
        gangs.leave(gang, run.task)
        await _end(world, executor, run, how)
        return
    members = list(gang.members.values())
    gang.members.clear()
    failing = [other for _place, other in members if other.fails]
    bad = world.rng.choice(failing) if failing else None
    for place, other in members:
        how = 'done'
        if bad is not None:
            how = 'failed' if other is bad else 'broken'
        await _end(world, place, other, how)


def die(world: World, executor: Executor, how: str) -> None:
    """End an executor's life and all that runs there."""
    executor.up = False
    for run in executor.running.values():
        if run.gang is not None:
            gangs.leave(run.gang, run.task)
    executor.running.clear()
    evidences.note(
        world.evidence,
        clock.now_s(),
        evidences.Kind.DIED,
        place=executor.name,
        how=how,
    )
