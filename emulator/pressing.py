"""Small jobs handed in while a leader changes or the store comes back."""

import collections.abc
import random

import curio

from emulator import scenes
from oleanderwood import clock

LOOK_S = 0.005
"""Time between two looks at the store and at who leads."""

BEFORE_S = 0.05
"""How long before the store's return callers begin to press."""

AFTER_S = 0.15
"""How long after a change callers press on: a former leader learns of the
next one within as much."""

HandIn = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
"""Takes what the job asks for."""


async def press_always(
    scene: scenes.Scene,
    gap_s: float,
    rng: random.Random,
    hand_in: HandIn,
    changes_s: list[float],
) -> None:
    """Hand in small jobs around each change, until cancelled.

    :param gap_s: time between two jobs
    :param changes_s: gets the times at which another server leads
    """
    leading = scenes.leading(scene)
    before = (scene.store.down, leading)
    until_s = next_s = 0.0
    while True:
        await curio.sleep(LOOK_S)
        now_s = clock.now_s()
        now = (scene.store.down, scenes.leading(scene))
        if set(now[1]) - set(before[1]):
            changes_s.append(now_s)
        if now != before:
            until_s = now_s + AFTER_S
        before = now
        if now_s >= next_s and _is_time(scene, now_s, until_s):
            next_s = now_s + gap_s
            await hand_in(_spec(rng))


def _is_time(scene: scenes.Scene, now_s: float, until_s: float) -> bool:
    """Say whether a change is under way, or was a moment ago."""
    if scene.store.down:
        return now_s >= scene.back_s - BEFORE_S
    return now_s < until_s or len(scenes.leading(scene)) != 1


def _spec(rng: random.Random) -> dict:
    step = {
        'count': rng.randint(1, 2),
        'cpu': 500,
        'mem_mb': 100,
        'estimate_ms': rng.randint(200, 800),
    }
    return {'phases': [step]}
