"""A takeover in virtual time while the previous leader still acts."""

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

STARTUP_S = 4.0
"""Time until one server leads and has registered all workers, in seconds."""

SUBMIT_PERIOD_S = 0.3
"""Time after the store's return during which jobs are submitted, in
seconds."""

SUBMIT_INTERVAL_S = 0.01
"""Interval between two submitted jobs, in seconds."""

FINISH_S = 35.0
"""Time to run on after a scenario, in seconds: longer than the longest wait
for a previous leader, 18.8 s, and two runs of a task of up to 6.4 s, as one in
a hundred fails."""

MAX_POLLS = 1000

RESTART_S = 2.0
"""Time after which a killed server runs again, in seconds."""

LONG_MS = 1000
BRIEF_MS = 40
"""Estimated durations of tasks, in milliseconds."""


@dataclasses.dataclass
class Scene:
    """The emulated system that a scenario acts on."""

    network: networks.Network
    store: stores.Store
    fleet: fleets.Fleet
    callers: callers_.Callers
    processes: list[servers.Process]
    jobs: int = 0


def play(scenario, plan: day.Plan = PLAN) -> day.Result:
    """Run ``scenario(scene)`` on a settled system and return its result."""
    return virtual.run(lambda: _play(scenario, plan))


async def _play(scenario, plan) -> day.Result:
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
        await curio.sleep(STARTUP_S)
        await scenario(scene)
        await curio.sleep(FINISH_S)
    return day.judge(callers, fleet, store)


def leader(scene: Scene) -> servers.Process:
    """Return the server that leads."""
    return next(row for row in scene.processes if servers.leads(row))


async def wait_until(is_reached, poll_s: float = 0.01) -> None:
    """Wait until a condition holds, for at most a thousand polls."""
    for _ in range(MAX_POLLS):
        if is_reached():
            return
        await curio.sleep(poll_s)
    raise AssertionError('not reached in time')


def is_led(scene: Scene) -> bool:
    """Return whether a server leads."""
    return any(servers.leads(row) for row in scene.processes)


async def restart_leader(scene: Scene, poll_s: float = 0.01) -> None:
    """Kill the leader, and start it again once another server may lead."""
    killed = leader(scene)
    await kill(scene, killed)
    await curio.sleep(RESTART_S)
    await servers.start(scene.network, killed)
    await wait_until(lambda: is_led(scene), poll_s)


async def interrupt_store(scene: Scene, away_s: float) -> None:
    """Make the store answer 503 for a while; leases expire meanwhile."""
    scene.store.down, scene.store.lapses = 'busy', True
    await curio.sleep(away_s)
    scene.store.down, scene.store.lapses = '', False


def delay_orders(
    scene: Scene, previous: servers.Process, machine: str, delay_s: float
) -> None:
    """Delay the calls of all servers but one to a machine's worker."""
    address = scene.fleet.machines[machine].address
    handler = scene.network.handlers[address]

    async def delayed(source, *rest):
        if source != previous.name:
            await curio.sleep(delay_s)
        return await handler(source, *rest)

    scene.network.handlers[address] = delayed


def delay_jobs(
    scene: Scene, previous: servers.Process, delay_s: float
) -> None:
    """Delay new jobs for all servers but one after their first read.

    Each server reads the jobs once as it takes over; answers to its later
    reads are delayed.
    """
    handler = scene.network.handlers[servers.STORE_ADDRESS]
    read: set[str] = set()

    async def delayed(source, method, target, *rest):
        if source != previous.name and 'ow%2Fin' in target:
            if source in read:
                await curio.sleep(delay_s)
            read.add(source)
        return await handler(source, method, target, *rest)

    scene.network.handlers[servers.STORE_ADDRESS] = delayed


async def submit_often(
    scene: Scene, at: servers.Process, estimate_ms: int
) -> None:
    """Submit one small job after another at one server, for a while."""
    for _ in range(round(SUBMIT_PERIOD_S / SUBMIT_INTERVAL_S)):
        await submit_job(scene, at, step(2, 1500, estimate_ms))
        await curio.sleep(SUBMIT_INTERVAL_S)


def step(count: int, cpu: int, estimate_ms: int) -> dict:
    """Build a step as callers send it; ``cpu`` in thousandths of a core."""
    return {
        'count': count,
        'cpu': cpu,
        'mem_mb': 500,
        'estimate_ms': estimate_ms,
    }


async def submit_job(scene: Scene, at: servers.Process, step_: dict) -> None:
    """Submit a job of one step at one server, as a caller."""
    callers = dataclasses.replace(scene.callers, processes=[at])
    scene.jobs += 1
    job = f'{scene.jobs:016x}'
    prefix = day.prefix('drafts')
    work = {'phases': [step_]}
    await curio.spawn(
        callers_.hand_in, callers, prefix, job, work, daemon=True
    )


def on_start(scene: Scene, machine: str, act) -> None:
    """Await ``act()`` after a machine's worker has begun a task."""
    address = scene.fleet.machines[machine].address
    handler = scene.network.handlers[address]

    async def handle(source, method, target, *rest):
        answer = await handler(source, method, target, *rest)
        if target == '/run-start' and answer.status == 200:
            await act()
        return answer

    scene.network.handlers[address] = handle


def record_starts(scene: Scene, begun: list[str]) -> None:
    """Record the address of each worker that begins a task.

    Workers that have not been started yet are left out.
    """

    async def note(address: str) -> None:
        begun.append(address)

    for name, machine in scene.fleet.machines.items():
        if machine.address in scene.network.handlers:
            on_start(scene, name, functools.partial(note, machine.address))


def cut_off_runs(scene: Scene, previous: servers.Process) -> None:
    """Let only one server reach the workers that run something."""
    for machine in scene.fleet.machines.values():
        if machine.executor is None or not machine.executor.running:
            continue
        for process in scene.processes:
            if process is not previous:
                scene.network.cuts.add((process.name, machine.address))


async def move_queues_to(scene: Scene, pool: str) -> None:
    """Change the configuration so that all queues use one pool."""
    value = json.loads(scene.store.items['op/config'].value)
    value['version'] += 1
    for route in value['routes']:
        route['service'] = pool
    for spec in scene.callers.world.jobs.values():
        spec['later_services'] = [pool]
    await stores.put(scene.store, 'op/config', json.dumps(value).encode())


async def kill(scene: Scene, process: servers.Process) -> None:
    """End a server's process without notice."""
    await servers.kill(scene.network, process)


def partition(
    scene: Scene,
    left: list[servers.Process],
    right: list[servers.Process],
    address: str,
    harm: networks.Harm | None = None,
) -> None:
    """Leave one worker to some servers, and everything else to the others.

    :param harm: how calls across the cut fail; None: they are never answered
    """
    pairs = partition_pairs(scene, left, right, address)
    if harm is None:
        scene.network.cuts |= pairs
        return
    scene.network.cuts -= pairs
    scene.network.harms.update(dict.fromkeys(pairs, harm))


def partition_pairs(
    scene: Scene,
    left: list[servers.Process],
    right: list[servers.Process],
    address: str,
) -> set[tuple[str, str]]:
    """Return the (source, destination) pairs that such a cut affects."""
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
    """Return whether a server considers itself the leader."""
    leading = process.state.leader if process.state else None
    return leading is not None and states.may_act(leading)
