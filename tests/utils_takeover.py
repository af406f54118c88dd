"""A takeover in virtual time while the former leader still acts."""

import dataclasses
import functools
import json
import random

import curio

from emulator import callers as callers_
from emulator import day
from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import network as networks
from emulator import servers
from emulator import store as stores
from emulator import virtual
from oleanderwood.leading import state as states

PLAN = day.Plan(
    seed=1,
    server_count=3,
    machines_a_pool=3,
    machines_on_standby=0,
    pools=('drafts',),
)

TWO_POOLS = dataclasses.replace(PLAN, pools=('drafts', 'finals'))

CALM_S = 4.0
"""Time until one server leads and has met all workers."""

AFTER_S = 0.3
"""Time after the store's return in which jobs are handed in."""

GAP_S = 0.01
"""Time between two of them."""

FINISH_S = 35.0
"""Time after a story: longer than the longest wait for a former leader,
18.8 s, and two runs of a task of up to 6.4 s, as one in a hundred fails."""

LONG_MS = 1000
BRIEF_MS = 40
"""Guesses of the length of a task."""


@dataclasses.dataclass
class Scene:
    """All that a story acts on."""

    network: networks.Network
    store: stores.Store
    fleet: fleets.Fleet
    callers: callers_.Callers
    processes: list[servers.Process]
    jobs: int = 0


def play(story, plan: day.Plan = PLAN) -> day.Result:
    """Let ``story(scene)`` act on a calm system; gives what came of it."""
    return virtual.run(lambda: _play(story, plan))


async def _play(story, plan) -> day.Result:
    network = networks.Network(random.Random(2))
    store = stores.Store()
    world = executors.World(evidences.Evidence(), store, random.Random(1))
    fleet = fleets.Fleet(world, network)
    processes = [
        servers.Process(f's{i}', f'10.0.0.{i}:1', f'10.0.0.{i}:2')
        for i in range(plan.server_count)
    ]
    network.handlers[servers.STORE_ADDRESS] = stores.make_handler(store)
    network.handlers[servers.MACHINES_ADDRESS] = fleets.make_handler(fleet)
    callers = callers_.Callers(network, world, processes, random.Random(3))
    scene = Scene(network, store, fleet, callers, processes)
    with networks.installed(network):
        await curio.spawn(stores.run_leases, store, daemon=True)
        await stores.put(store, 'op/config', day.configuration(plan.pools))
        await day.build_fleet(fleet, plan)
        fleets.let_tasks_crash(fleet, random.Random(4))
        for process in processes:
            await servers.start(network, process)
        await curio.sleep(CALM_S)
        await story(scene)
        await curio.sleep(FINISH_S)
    return day.judge(callers, fleet, store)


def leader(scene: Scene) -> servers.Process:
    """Give the server that leads."""
    return next(row for row in scene.processes if servers.leads(row))


async def lose_store(scene: Scene, away_s: float) -> None:
    """Let the store answer 503 for a while; leases run out meanwhile."""
    scene.store.down, scene.store.lapses = 'busy', True
    await curio.sleep(away_s)
    scene.store.down, scene.store.lapses = '', False


def hold_up_orders(
    scene: Scene, former: servers.Process, machine: str, delay_s: float
) -> None:
    """Let all servers but one reach a machine's worker later."""
    address = scene.fleet.machines[machine].address
    handler = scene.network.handlers[address]

    async def later(source, *rest):
        if source != former.name:
            await curio.sleep(delay_s)
        return await handler(source, *rest)

    scene.network.handlers[address] = later


def hold_up_jobs(
    scene: Scene, former: servers.Process, delay_s: float
) -> None:
    """Let all servers but one hear of new jobs later, once they have read.

    Each reads the jobs once as it takes over; what it asks for after that is
    answered late.
    """
    handler = scene.network.handlers[servers.STORE_ADDRESS]
    read: set[str] = set()

    async def later(source, method, target, *rest):
        if source != former.name and 'ow%2Fin' in target:
            if source in read:
                await curio.sleep(delay_s)
            read.add(source)
        return await handler(source, method, target, *rest)

    scene.network.handlers[servers.STORE_ADDRESS] = later


async def hand_in_often(
    scene: Scene, at: servers.Process, estimate_ms: int
) -> None:
    """Hand one small job after another in at one server, for a while."""
    for _ in range(round(AFTER_S / GAP_S)):
        await hand_in(scene, at, step(2, 1500, estimate_ms))
        await curio.sleep(GAP_S)


def step(count: int, cpu: int, estimate_ms: int) -> dict:
    """Build a step as callers send it; ``cpu`` in thousandths of a core."""
    return {
        'count': count,
        'cpu': cpu,
        'mem_mb': 500,
        'estimate_ms': estimate_ms,
    }


async def hand_in(scene: Scene, at: servers.Process, step_: dict) -> None:
    """Let a caller hand a job of one step in at one server."""
    callers = dataclasses.replace(scene.callers, processes=[at])
    scene.jobs += 1
    job = f'{scene.jobs:016x}'
    prefix = day.prefix('drafts')
    work = {'phases': [step_]}
    await curio.spawn(
        callers_.hand_in, callers, prefix, job, work, daemon=True
    )


def on_start(scene: Scene, machine: str, act) -> None:
    """Let ``act()`` be awaited once a machine's worker has begun a task."""
    address = scene.fleet.machines[machine].address
    handler = scene.network.handlers[address]

    async def handle(source, method, target, *rest):
        answer = await handler(source, method, target, *rest)
        if target == '/run-start' and answer.status == 200:
            await act()
        return answer

    scene.network.handlers[address] = handle


def note_starts(scene: Scene, begun: list[str]) -> None:
    """Note the address of each worker that begins a task, as it does.

    Those that aren't on yet are left out.
    """

    async def note(address: str) -> None:
        begun.append(address)

    for name, machine in scene.fleet.machines.items():
        if machine.address in scene.network.handlers:
            on_start(scene, name, functools.partial(note, machine.address))


def cut_off_runs(scene: Scene, former: servers.Process) -> None:
    """Let only one server reach the workers that run something."""
    for machine in scene.fleet.machines.values():
        if machine.executor is None or not machine.executor.running:
            continue
        for process in scene.processes:
            if process is not former:
                scene.network.cuts.add((process.name, machine.address))


async def send_queue_to(scene: Scene, pool: str) -> None:
    """Let the operator give all queues one pool."""
    value = json.loads(scene.store.items['op/config'].value)
    value['version'] += 1
    for route in value['routes']:
        route['service'] = pool
    for spec in scene.callers.world.jobs.values():
        spec['later_services'] = [pool]
    await stores.put(scene.store, 'op/config', json.dumps(value).encode())


async def kill(scene: Scene, process: servers.Process) -> None:
    """End a server's life without a last word."""
    await servers.kill(scene.network, process)


def cut_apart(
    scene: Scene,
    left: list[servers.Process],
    right: list[servers.Process],
    address: str,
    harm: networks.Harm | None = None,
) -> None:
    """Leave one worker to some servers, and all else to the others.

    :param harm: how calls across the cut fail; None: in silence
    """
    pairs = ways_across(scene, left, right, address)
    if harm is None:
        scene.network.cuts |= pairs
        return
    scene.network.cuts -= pairs
    scene.network.harms.update(dict.fromkeys(pairs, harm))


def ways_across(
    scene: Scene,
    left: list[servers.Process],
    right: list[servers.Process],
    address: str,
) -> set[tuple[str, str]]:
    """Give the ways that such a cut harms."""
    pairs = {(other.name, address) for other in right}
    for process in left:
        pairs.add((process.name, servers.STORE_ADDRESS))
        pairs.add((process.name, servers.MACHINES_ADDRESS))
        for machine in scene.fleet.machines.values():
            if machine.address != address:
                pairs.add((process.name, machine.address))
        for other in right:
            pairs.add((process.name, other.address))
            pairs.add((other.name, process.address))
    return pairs


def may_act(process: servers.Process) -> bool:
    """Say whether a server takes itself for the leader."""
    leading = process.state.leader if process.state else None
    return leading is not None and states.may_act(leading)
