"""What tasks on one executor take from each other beyond its room."""

import math
import zlib

from oleanderwood import clock

TARGET_MS = 100
"""Response time that serving tasks must stay below."""

MEAN_MS = 38.0
SWING_MS = 22.0
SWING_S = 5.0
"""Response time of a serving task alone, and how it rises and falls."""

DISTURBED_MS = 30.0
"""What a task that fills adds at full pace, in the mean."""

ROUGH = 0.1
"""Part by which what is told of a response time may be wrong."""

PACE_S = 0.1
"""Time until a pace is in force."""


def wave(name: str, now_s: float) -> float:
    """Give a value between -1 and 1 that changes within seconds."""
    phase = zlib.crc32(name.encode()) % 1000 / 1000
    return math.sin(2 * math.pi * (now_s / SWING_S + phase))


def serves(run) -> bool:
    """Say whether a run serves users of its own."""
    return bool(run.spec.get('target_ms'))


def fills(run) -> bool:
    """Say whether a run takes what others leave."""
    return bool(run.spec.get('fills'))


def pace(run, now_s: float) -> float:
    """Give the share at which a run is let work."""
    while run.paces and run.paces[0][0] <= now_s:
        run.pace = run.paces.pop(0)[1] / 100
    return run.pace


def order_pace(run, percent: int) -> None:
    """Let a pace be in force a little later."""
    run.paces.append((clock.now_s() + PACE_S, percent))


def alone_ms(executor) -> float:
    """Give the response time of serving tasks without those that fill."""
    swing = SWING_MS * wave(executor.name, clock.now_s())
    return MEAN_MS + swing


def tail_ms(executor) -> float:
    """Give the response time of serving tasks as it is."""
    now_s = clock.now_s()
    disturbed = sum(
        pace(run, now_s) * (1 + 0.5 * wave(run.task, now_s))
        for run in executor.running.values()
        if fills(run)
    )
    return alone_ms(executor) + DISTURBED_MS * disturbed


def told_ms(executor) -> int:
    """Give the rough figure of the last half second."""
    recent = executor.tails_ms[-25:] or [0.0]
    rough = 1 + ROUGH * wave(executor.name + 'told', clock.now_s() * 7)
    return int(sum(recent) / len(recent) * rough)


def leftover(executor) -> float:
    """Give the share of what they ask for that tasks that fill get."""
    runs = executor.running.values()
    asked = sum(run.spec['cpu'] for run in runs if fills(run))
    used = sum(run.spec['cpu'] for run in runs if not fills(run))
    if not asked:
        return 1.0
    return min(1.0, max(0.0, executor.cores * 1000 - used) / asked)


def is_harmed(executor, run) -> bool:
    """Say whether tasks that fill, and work on, bring a run over its target.

    :param run: one that serves
    """
    target_ms = run.spec['target_ms']
    return (
        executor.tails_ms[-1] > target_ms
        and alone_ms(executor) <= target_ms
        and any(
            fills(other) and other.pace > 0
            for other in executor.running.values()
        )
    )
