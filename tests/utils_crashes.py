"""Tasks that crash their workers, in virtual time."""

import curio

from emulator import crashing
from emulator import day
from emulator import evidence as evidences
from tests import utils_takeover as build

LONG_MS = 20_000
SETTLE_S = 8.0
"""Time for some crashes, and the first starts after them."""


def crashing_step(how: dict, count: int = 4, **fields) -> dict:
    """Build a step with tasks that crash their workers."""
    return {**build.step(count, 2000, 400), crashing.FIELD: how, **fields}


async def submit(scene: build.Scene, count: int, after_s: float) -> None:
    """Hand in jobs whose one long task crashes its worker after each start."""
    step = crashing_step(crashing.crash(after_s), 1, estimate_ms=LONG_MS)
    for _ in range(count):
        await build.submit_job(scene, build.leader(scene), step)


def play(steps: list[dict], plan: day.Plan = build.PLAN) -> day.Result:
    """Hand in a job for each step, in a calm system."""

    async def story(scene):
        for step in steps:
            await build.submit_job(scene, build.leader(scene), step)
        await curio.sleep(SETTLE_S)

    return build.play(story, plan)


def shown(result: day.Result) -> set[str]:
    """Give the last states that callers were shown."""
    last = {
        sight.job: sight.how
        for sight in result.evidence.sights
        if sight.kind is evidences.Kind.SHOWN
    }
    return set(last.values())


def count(result: day.Result, kind: evidences.Kind) -> int:
    """Count what was seen of a kind."""
    return sum(sight.kind is kind for sight in result.evidence.sights)


def crashes(scene: build.Scene) -> int:
    """Count the workers that tasks have crashed so far."""
    sights = scene.callers.world.evidence.sights
    return sum(sight.kind is evidences.Kind.CRASHED for sight in sights)
