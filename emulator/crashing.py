"""Tasks that crash the executor which starts them."""

import random

import curio

from emulator import evidence as evidences
from emulator import virtual
from oleanderwood import clock

FIELD = 'crashes'
"""What a step says of it to the executors alone: the time from a start to the
crash, the one task that does it or all, and the share of its starts."""

AWAY_S = 2.0
"""Time until a crashed executor is back."""

AFTER_S = (0.0, 0.005, 0.05, 0.4)
"""Times from a start to the crash that days draw from."""


def crash(
    after_s: float = 0.005, index: int | None = 0, share: float = 1.0
) -> dict:
    """Say which tasks of a step crash their executors, and how.

    :param index: of the task; None: each of them
    """
    return {'after_s': after_s, 'index': index, 'share': share}


def draw(rng: random.Random, count: int) -> dict:
    """Draw which of a step's tasks crash their executors, and how."""
    return crash(
        rng.choice(AFTER_S),
        rng.choice((None, rng.randrange(count))),
        rng.choice((1.0, 1.0, 0.5)),
    )


async def arm(world, executor, task: str) -> None:
    """Let a task that has just been started crash its executor, if it does."""
    run = executor.running.get(task)
    how = run.spec.get(FIELD) if run is not None else None
    if how is None or world.crash is None:
        return
    if how['index'] not in (None, int(task.rpartition('.')[2])):
        return
    if world.rng.random() < how['share']:
        await virtual.spawn_in_world(
            _crash, world, executor, run, how['after_s']
        )


async def _crash(world, executor, run, after_s) -> None:
    await curio.sleep(after_s)
    if not executor.up or executor.running.get(run.task) is not run:
        return
    evidences.note(
        world.evidence,
        clock.now_s(),
        evidences.Kind.CRASHED,
        job=run.task.partition('.')[0],
        task=run.task,
        attempt=run.attempt,
        place=executor.name,
    )
    await world.crash(executor)
