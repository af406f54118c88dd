"""Tasks that crash the executor which starts them."""

import collections
import dataclasses
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


@dataclasses.dataclass(frozen=True)
class Figures:
    """What tasks that crash executors cost on a day.

    :ivar jobs: with tasks that have crashed some
    :ivar crashes: executors that they crashed
    :ivar started_again: starts, beyond the first of each task, of jobs that
        crash nothing
    :ivar wronged: jobs that crash nothing, and were failed by crashes
    """

    jobs: int
    crashes: int
    started_again: int
    wronged: int


def figures(
    evidence: evidences.Evidence, most_attempts: int, jobs: dict[str, dict]
) -> Figures:
    """Count what tasks that crash executors cost."""
    crashed = [
        sight.job
        for sight in evidence.sights
        if sight.kind is evidences.Kind.CRASHED
    ]
    starts = collections.Counter(
        sight.task
        for sight in evidence.sights
        if sight.kind is evidences.Kind.STARTED
    )
    failed = collections.Counter(
        sight.task
        for sight in evidence.sights
        if sight.kind is evidences.Kind.ENDED and sight.how == 'failed'
    )
    spent = {
        task.partition('.')[0]
        for task, count in failed.items()
        if count >= most_attempts
    }
    shown = {
        sight.job
        for sight in evidence.sights
        if sight.kind is evidences.Kind.SHOWN and sight.how == 'failed'
    }
    innocent = set(jobs) - set(crashed)
    again = sum(
        count - 1
        for task, count in starts.items()
        if task.partition('.')[0] in innocent
    )
    wronged = {
        job
        for job in innocent & shown - spent
        if not any(step.get('gang') for step in jobs[job]['phases'])
    }
    return Figures(len(set(crashed)), len(crashed), again, len(wronged))
