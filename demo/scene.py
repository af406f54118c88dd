"""Access to what a demonstration and a soak share: callers and evidence."""

import collections.abc
import dataclasses
import random
import time

import curio

from demo import callers
from demo import deployments
from demo import evidence
from demo import marker

CALLERS = 8
PROBE_EVERY_S = 0.5
LARGE_BYTES = 300_000
SMALL_BYTES = 2_000


@dataclasses.dataclass
class Scene:
    """One deployment with its callers, and what they saw.

    :ivar probes: of each entry: start, end, entry, marker's number
    """

    deployment: deployments.Deployment
    seed: int
    markers: marker.Markers
    attempts: list[callers.Attempt] = dataclasses.field(default_factory=list)
    probes: list[marker.Sighting] = dataclasses.field(default_factory=list)
    asking: list[callers.Caller] = dataclasses.field(default_factory=list)
    tasks: list[curio.Task] = dataclasses.field(default_factory=list)
    probing: curio.Task | None = None
    began_s: float = 0.0


def make(deployment: deployments.Deployment, seed: int) -> Scene:
    """Make a scene in which nothing happened yet."""
    team = deployment.whole.teams[0].name
    return Scene(deployment, seed, marker.Markers(team))


def kinds(
    deployment: deployments.Deployment,
) -> tuple[callers.Kind, ...]:
    """Give the kinds of requests that callers make of a deployment.

    The service whose route marks the configuration is left out.
    """
    teams = [team.name for team in deployment.whole.teams]
    services = [
        service
        for service in deployment.whole.services
        if service.name != marker.service(deployment.whole)
    ]
    return tuple(
        kind
        for number, service in enumerate(services)
        for kind in _kinds(
            service.path_prefix, service.idempotent, teams, number
        )
    )


def _kinds(
    path: str, idempotent: bool, teams: list[str], number: int
) -> collections.abc.Iterator[callers.Kind]:
    team = teams[number % len(teams)] if teams else ''
    small = callers.Kind(
        path=f'{path}/sheet', idempotent=idempotent, team=team, weight=10.0
    )
    yield small
    yield dataclasses.replace(
        small, priority='urgent', weight=3.0, body_bytes=SMALL_BYTES
    )
    yield dataclasses.replace(
        small, weight=1.0, body_bytes=LARGE_BYTES, answer_bytes=SMALL_BYTES
    )
    yield dataclasses.replace(small, weight=1.0, answer_bytes=LARGE_BYTES)
    yield dataclasses.replace(small, weight=1.0, work_ms=400)


async def begin(
    scene: Scene,
    count: int = CALLERS,
    repeat_doubtful: bool = False,
    work_ms: int | None = None,
) -> None:
    """Start the callers and the probes of the configuration.

    :param work_ms: how long upstreams work on each request, None for some
        of each kind
    """
    scene.began_s = time.monotonic()
    rng = random.Random(scene.seed)
    of_deployment = kinds(scene.deployment)
    if work_ms is not None:
        of_deployment = tuple(
            dataclasses.replace(kind, work_ms=work_ms)
            for kind in of_deployment
        )
    for _ in range(count):
        caller = callers.Caller(
            scene.deployment.callers,
            of_deployment,
            random.Random(rng.random()),
            scene.attempts,
            repeat_doubtful=repeat_doubtful,
        )
        scene.asking.append(caller)
        scene.tasks.append(await curio.spawn(callers.run, caller))
    scene.probing = await curio.spawn(_probe, scene)


async def end(scene: Scene) -> None:
    """Stop the callers, each after the end of its request."""
    for caller in scene.asking:
        caller.stopping = True
    await scene.probing.cancel()
    for task in scene.tasks:
        await task.join()
    scene.asking.clear()
    scene.tasks.clear()


async def _probe(scene: Scene) -> None:
    while True:
        for vm in scene.deployment.vms:
            seen = await marker.look(scene.markers, vm.name, vm.listen)
            if seen is not None:
                scene.probes.append(seen)
        await curio.sleep(PROBE_EVERY_S)


async def gather(scene: Scene) -> evidence.Evidence:
    """Collect what callers, upstreams, store and platform saw."""
    deployment = scene.deployment
    writes = await evidence.fetch_log(deployment.store, evidence.StoreWrite)
    return evidence.Evidence(
        attempts=scene.attempts,
        requests=await evidence.fetch_log(
            deployment.upstreams, evidence.UpstreamRequest
        ),
        writes=writes,
        events=await evidence.fetch_log(
            deployment.platform, evidence.PlatformEvent
        ),
        probes=marker.revisions(scene.probes, writes),
        min_up={pool.name: pool.min_up for pool in deployment.whole.pools},
    )
