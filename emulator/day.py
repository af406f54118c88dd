"""One emulated day: servers, machines, callers, troubles, and the verdict."""

import collections
import collections.abc
import dataclasses
import json
import math
import random

import curio

from emulator import advice
from emulator import callers as callers_
from emulator import checker
from emulator import evidence as evidences
from emulator import executors
from emulator import features as features_
from emulator import fleet as fleets
from emulator import network as networks
from emulator import pressing
from emulator import scenes
from emulator import servers
from emulator import sharing
from emulator import spoiling
from emulator import store as stores
from emulator import tenancy as tenancies
from emulator import tenant_rules
from emulator import troubles as troubles_
from emulator import virtual

MAX_ATTEMPTS = 3
LEAD_S = 4.0
"""Time between the servers' start and the first job."""

RESTART_S = 0.5
"""Time until a process that was struck by a call's fate starts again."""

FINISH_S = 30.0
"""Time after the last job in which all have to end."""

POOLS = ('drafts', 'finals')


@dataclasses.dataclass(frozen=True)
class Plan:
    """What a day is made of.

    :ivar jobs_per_s: of all queues together, in the mean
    :ivar turn_s: time of one queue's turn; 0: both ask alike
    :ivar features: what its jobs ask for beyond plain tasks
    :ivar away_s: the most by which a server's way to the store or to a
        machine takes longer
    :ivar jitter_s: the most by which any way takes longer
    :ivar press_gap_s: time between two small jobs while a leader changes or
        the store comes back; 0: none
    :ivar tenants: how many callers share the day; 0: callers need no keys
    :ivar pressure: the settings of real servers declare that callers may
        press, so that load control is in force
    :ivar tells_births: executors tell when they were born
    :ivar entries: what another writer writes, by the time from the first job
    """

    seed: int
    length_s: float = 12.0
    server_count: int = 3
    machines_a_pool: int = 4
    machines_on_standby: int = 2
    jobs_per_s: float = 2.0
    turn_s: float = 0.0
    lasting: bool = True
    pools: tuple[str, ...] = POOLS
    troubles: tuple[troubles_.Trouble, ...] = ()
    entries: tuple[spoiling.Written, ...] = ()
    lead_s: float = LEAD_S
    finish_s: float = FINISH_S
    features: tuple[features_.Feature, ...] = ()
    press_gap_s: float = 0.0
    away_s: float = 0.0
    jitter_s: float = 0.0
    tells_births: bool = False
    tenants: int = 0
    pressure: bool = False


@dataclasses.dataclass
class Result:
    """What a day came to.

    :ivar unfinished: accepted jobs that weren't shown as ended in time
    :ivar waits_s: time from handing in until shown as ended, by job
    :ivar met: starts that met each feature
    :ivar refused: starts that executors rejected, by reason
    :ivar changes_s: when another server led, from the first job on; only
        where callers press
    """

    breaches: list[str]
    handed_in: int
    accepted: int
    unfinished: list[str]
    waits_s: list[float]
    starts: int
    store_calls: int
    evidence: evidences.Evidence
    jobs: dict[str, dict]
    met: collections.Counter
    refused: collections.Counter
    changes_s: list[float] = dataclasses.field(default_factory=list)


def play(
    plan: Plan,
    fates: dict[int, networks.Fate] | None = None,
    watched: dict[int, float] | None = None,
) -> Result:
    """Play a day in virtual time.

    :param fates: of single calls, by their number
    :param watched: gets the times of the servers' calls from the first job
        on, by their number
    """
    return virtual.run(lambda: _play(plan, fates or {}, watched))


async def _play(plan, fates, watched) -> Result:
    rng = random.Random(plan.seed)
    network = networks.Network(
        random.Random(plan.seed + 1), fates=fates, jitter_s=plan.jitter_s
    )
    store = stores.Store()
    evidence = evidences.Evidence()
    world = executors.World(evidence, store, rng)
    fleet = fleets.Fleet(world, network)
    processes = [
        servers.Process(f's{i}', f'10.0.0.{i}:1', f'10.0.0.{i}:2')
        for i in range(plan.server_count)
    ]
    network.handlers[servers.STORE_ADDRESS] = stores.make_handler(store)
    network.handlers[servers.MACHINES_ADDRESS] = fleets.make_handler(fleet)
    if features_.Feature.ADVICE in plan.features:
        world.advising = advice.Service()
        network.handlers[servers.ADVICE_ADDRESS] = advice.make_handler(
            world.advising
        )
        for process in processes:
            process.advised = True
    scene = scenes.Scene(
        network, store, fleet, processes, random.Random(plan.seed + 2)
    )
    with networks.installed(network):
        await curio.spawn(stores.run_leases, store, daemon=True)
        scene.tenancy = await configure(plan, store)
        await build_fleet(fleet, plan)
        fleets.let_tasks_crash(fleet, random.Random(plan.seed + 6))
        _draw_ways(scene, plan)
        for process in processes:
            await servers.start(network, process)
        callers = callers_.Callers(
            network,
            world,
            processes,
            random.Random(plan.seed + 3),
            tenancy=scene.tenancy,
        )
        await curio.spawn(_strike_processes, network, processes, daemon=True)
        await curio.sleep(plan.lead_s)
        network.watched = watched
        for trouble in plan.troubles:
            late = dataclasses.replace(
                trouble, at_s=plan.lead_s + trouble.at_s
            )
            await curio.spawn(troubles_.strike, scene, late, daemon=True)
        if plan.tenants:
            await curio.spawn(
                callers_.disturb_always, callers, plan.pools, daemon=True
            )
        changes_s = await _press(scene, callers, plan)
        await curio.spawn(
            troubles_.spoil_entries, scene, plan.entries, daemon=True
        )
        await hand_in_jobs(callers, plan, rng)
        await curio.sleep(plan.finish_s)
    troubled = [
        (plan.lead_s + row.at_s, plan.lead_s + row.at_s + 2 * row.for_s)
        for row in plan.troubles
    ]
    result = judge(callers, fleet, store, troubled, plan.features)
    result.changes_s = changes_s
    return result


async def configure(
    plan: Plan, store: stores.Store
) -> tenancies.Tenancy | None:
    """Let the operator write a day's configuration; gives its tenants."""
    value = configuration(plan.pools, plan.features)
    if not plan.tenants:
        await stores.put(store, 'op/config', value)
        return None
    limit_cpu = tenancies.LIMIT_CPU
    if features_.Feature.GANGS in plan.features:
        limit_cpu = tenancies.GANGS_LIMIT_CPU
    tenancy = tenancies.make(value, plan.seed, plan.tenants, limit_cpu)
    await tenancies.write(tenancy, store)
    return tenancy


def _draw_ways(scene: scenes.Scene, plan: Plan) -> None:
    """Let servers be at different distances, if they are."""
    if not plan.away_s:
        return
    rng = random.Random(plan.seed + 5)
    addresses = [servers.STORE_ADDRESS, *scenes.executor_addresses(scene)]
    for process in scene.processes:
        for address in addresses:
            way = (process.name, address)
            scene.network.away_s[way] = rng.uniform(0.0, plan.away_s)


async def _press(
    scene: scenes.Scene, callers: callers_.Callers, plan: Plan
) -> list[float]:
    """Let callers press, if they do; gives when leaders change."""
    changes_s: list[float] = []
    if not plan.press_gap_s:
        return changes_s
    rng = random.Random(plan.seed + 4)

    async def hand_in(spec: dict) -> None:
        pool = rng.choice(plan.pools)
        await _hand_in(callers, pool, rng, spec, None)

    await curio.spawn(
        pressing.press_always,
        scene,
        plan.press_gap_s,
        rng,
        hand_in,
        changes_s,
        daemon=True,
    )
    return changes_s


async def _strike_processes(
    network: networks.Network, processes: list[servers.Process]
) -> None:
    """Kill the processes that a call's fate strikes, and start them anew."""
    while True:
        name = await network.struck.get()
        for process in processes:
            if process.name == name and process.state is not None:
                await servers.kill(network, process)
                await curio.sleep(RESTART_S)
                await servers.start(network, process)


def judge(
    callers: callers_.Callers,
    fleet: fleets.Fleet,
    store: stores.Store,
    troubled: collections.abc.Collection[tuple[float, float]] | None = None,
    features: features_.Features = (),
) -> Result:
    """Judge what was seen.

    :param troubled: spans with a trouble; None: all the time
    """
    world = callers.world
    evidence = world.evidence
    lasting = {
        job
        for job, spec in world.jobs.items()
        if any(step.get('long_running') for step in spec['phases'])
    }
    unfinished = sorted(
        set(callers.accepted) - set(callers.finished_s) - lasting
    )
    breaches = checker.check(
        evidence,
        world.jobs,
        MAX_ATTEMPTS,
        {number: wave['max_count'] for number, wave in fleet.waves.items()},
        fleets.MAINTENANCE_S,
        [(-math.inf, math.inf)] if troubled is None else troubled,
    )
    if callers.tenancy is not None:
        breaches += tenant_rules.check(callers.tenancy, evidence, world.jobs)
    return Result(
        breaches=breaches,
        handed_in=len(world.jobs) - len(callers.abandoned),
        accepted=len(callers.accepted),
        unfinished=unfinished,
        waits_s=sorted(callers.finished_s.values()),
        starts=sum(
            sight.kind is evidences.Kind.STARTED for sight in evidence.sights
        ),
        store_calls=store.calls,
        evidence=evidence,
        jobs=world.jobs,
        met=features_.met(evidence, world.jobs, features),
        refused=world.refused,
    )


def configuration(
    pools: tuple[str, ...] = POOLS, features: features_.Features = ()
) -> bytes:
    """Give the operator's configuration of a day."""
    routes = [
        {
            'name': f'queue-{pool}',
            'host': callers_.HOST,
            'prefix': prefix(pool),
            'kind': 'unsafe',
            'timeout_ms': 3000,
            'target_duration_ms': 600,
            'priority': 0,
            'service': pool,
            'max_attempts': MAX_ATTEMPTS,
            'stretch': 1.6,
        }
        for pool in pools
    ]
    if features_.Feature.PRIORITIES in features:
        routes += [
            {
                **route,
                'name': route['name'] + callers_.LATER,
                'prefix': prefix(route['service'], later=True),
                'priority': 1,
            }
            for route in routes
        ]
    if features_.Feature.ADVICE in features:
        for route in routes:
            route['advice'] = advice.FIELDS
    names = [*pools, fleets.STANDBY]
    services = [
        {
            'name': name,
            'admission_check': features_.Feature.UNGUARDED not in features,
            'standby': name == fleets.STANDBY,
        }
        for name in names
    ]
    value = {'version': 7, 'routes': routes, 'services': services}
    return json.dumps(value).encode()


def prefix(pool: str, later: bool = False) -> str:
    """Give what the paths of a pool's jobs begin with.

    :param later: those of jobs that may wait
    """
    return f'/{pool}{callers_.LATER if later else ""}/'


def _machine_address(number: int) -> str:
    return f'10.1.0.{number}:1'


async def build_fleet(
    fleet: fleets.Fleet,
    plan: Plan,
    address_of: collections.abc.Callable[[int], str] = _machine_address,
) -> None:
    """Start the machines of a day, and what runs on them."""
    fleet.guarded = features_.Feature.UNGUARDED not in plan.features
    fleet.tells_births = plan.tells_births
    kinds = ('a',)
    if features_.Feature.LABELS in plan.features:
        kinds = features_.KINDS
    rows = [(pool, plan.machines_a_pool) for pool in plan.pools]
    rows.append((fleets.STANDBY, plan.machines_on_standby))
    number = 0
    for pool, count in rows:
        for _ in range(count):
            number += 1
            machine = fleets.Machine(
                f'm{number}',
                pool,
                address_of(number),
                f'r{number % 3}',
                kind=kinds[number % len(kinds)],
            )
            fleet.machines[machine.name] = machine
            await fleets.begin_life(fleet, machine)


async def hand_in_jobs(
    callers: callers_.Callers, plan: Plan, rng: random.Random
) -> None:
    """Let callers hand in a day's jobs."""
    if plan.lasting:
        for pool in plan.pools:
            spec = _lasting_spec()
            if features_.Feature.LEFTOVERS in plan.features:
                spec['phases'][0]['target_ms'] = sharing.TARGET_MS
                spec['phases'][0]['image'] = 'web'
            await _hand_in(callers, pool, rng, spec, None)
    elapsed_s = 0.0
    while elapsed_s < plan.length_s:
        gap_s = rng.expovariate(plan.jobs_per_s)
        elapsed_s += gap_s
        await curio.sleep(gap_s)
        pool = rng.choice(plan.pools)
        if plan.turn_s:
            turn = int(elapsed_s / plan.turn_s)
            pool = plan.pools[turn % len(plan.pools)]
        cancel_s = rng.uniform(0.0, 2.0) if rng.random() < 0.1 else None
        spec = features_.adorn(rng, plan.features, _spec(rng))
        await _hand_in(callers, pool, rng, spec, cancel_s)


async def _hand_in(callers, pool, rng, spec, cancel_s) -> None:
    job = f'{rng.getrandbits(64):016x}'
    await curio.spawn(
        callers_.hand_in,
        callers,
        prefix(pool, spec.get('later', False)),
        job,
        spec,
        cancel_s,
        daemon=True,
    )


def _spec(rng: random.Random) -> dict:
    steps = [_step(rng)]
    if rng.random() < 0.5:
        steps.append({**_step(rng), 'after': [0]})
    if rng.random() < 0.05:
        steps[0]['poison'] = True
    return {'phases': steps}


def _step(rng: random.Random) -> dict:
    return {
        'count': rng.randint(1, 6),
        'cpu': rng.randint(500, 4000),
        'mem_mb': 500,
        'estimate_ms': rng.randint(200, 1500),
    }


def _lasting_spec() -> dict:
    step = {
        'count': 4,
        'cpu': 1000,
        'mem_mb': 500,
        'estimate_ms': 700,
        'long_running': True,
        'may_miss': 1,
    }
    return {'phases': [step]}
