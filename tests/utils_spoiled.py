"""Servers beside a small fleet, some of whose entries are spoiled."""

import dataclasses
import random

import curio

from emulator import callers as callers_
from emulator import checker
from emulator import day
from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import servers
from emulator import store as stores
from oleanderwood import clock
from tests import utils_servers

PLAN = day.Plan(1, pools=('drafts',), machines_a_pool=3, machines_on_standby=0)
SHORT = {
    'phases': [{'count': 3, 'cpu': 1000, 'mem_mb': 500, 'estimate_ms': 400}]
}
WIDE = {
    'phases': [{'count': 40, 'cpu': 1000, 'mem_mb': 50, 'estimate_ms': 400}]
}
"""Takes all of the fleet at once."""


@dataclasses.dataclass
class Scene:
    """What a test acts on."""

    world: utils_servers.World
    fleet: fleets.Fleet
    callers: callers_.Callers
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(7)
    )

    @property
    def evidence(self) -> evidences.Evidence:
        return self.fleet.world.evidence


def play(main):
    """Run ``main(scene)`` beside a leader and a job whose tasks last."""

    async def begin(world):
        seen = executors.World(
            evidences.Evidence(), world.store, random.Random(1)
        )
        fleet = fleets.Fleet(seen, world.network)
        world.network.handlers[servers.MACHINES_ADDRESS] = fleets.make_handler(
            fleet
        )
        await day.build_fleet(fleet, PLAN)
        await utils_servers.start(world, 's1')
        await utils_servers.start(world, 's2')
        callers = callers_.Callers(
            world.network, seen, world.processes, random.Random(2)
        )
        scene = Scene(world, fleet, callers)
        await curio.sleep(4.0)
        await hand_in(scene, day._lasting_spec())
        await curio.sleep(2.0)
        await main(scene)
        breaches = checker.check(
            scene.evidence, seen.jobs, day.MAX_ATTEMPTS, {}, 2.0
        )
        assert not breaches, breaches[:5]

    utils_servers.run(begin, day.configuration(PLAN.pools))


async def hand_in(scene: Scene, spec: dict) -> str:
    """Hand a job in; gives its id."""
    job = f'{scene.rng.getrandbits(64):016x}'
    await curio.spawn(
        callers_.hand_in,
        scene.callers,
        day.prefix('drafts'),
        job,
        spec,
        daemon=True,
    )
    return job


async def hand_in_short(scene: Scene, spec: dict = SHORT) -> None:
    """Hand short jobs in, one after another, and let them end."""
    jobs = []
    for _ in range(10):
        jobs.append(await hand_in(scene, spec))
        await curio.sleep(0.2)
    await curio.sleep(6.0)
    assert set(jobs) <= set(scene.callers.finished_s)


def busiest(scene: Scene) -> executors.Executor:
    """Give the executor with most runs."""
    rows = [row.executor for row in scene.fleet.machines.values()]
    return max(rows, key=lambda row: len(row.running))


def runs(executor: executors.Executor) -> dict[str, int]:
    """Give what lasts on an executor: attempts by task."""
    return {
        name: run.attempt
        for name, run in executor.running.items()
        if run.lasts
    }


async def put(scene: Scene, executor: executors.Executor, value: bytes):
    """Write over an executor's entry."""
    key = f'servers/{executor.name}'
    await stores.put(scene.world.store, key, value)


async def mend(scene: Scene, executor: executors.Executor) -> None:
    """Let an executor write its entry again."""
    await put(scene, executor, executors.entry(executor))


def started_on(scene: Scene, executor: executors.Executor, since_s: float):
    """Give the starts on an executor since a time."""
    return [
        sight.task
        for sight in scene.evidence.sights
        if sight.kind is evidences.Kind.STARTED
        and sight.place == executor.name
        and sight.at_s >= since_s
    ]


async def kill_leader(scene: Scene) -> None:
    """End the life of the server that leads."""
    for process in scene.world.processes:
        if servers.leads(process):
            await utils_servers.kill(scene.world, process)


def now_s() -> float:
    """Give the emulated time."""
    return clock.now_s()
