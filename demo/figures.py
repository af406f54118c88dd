"""Access to the figures that a run shows to people."""

import collections
import statistics
import time

from demo import callers
from demo import evidence
from demo import scene as scenes
from oleanderwood import configuration

SPARE_PREFIX = 'spare.'


def outcomes(attempts: list[callers.Attempt]) -> collections.Counter:
    """Count attempts that have ended, by answer or verdict."""
    return collections.Counter(
        'answered' if a.status == 200 and a.whole else a.verdict or 'none'
        for a in attempts
        if a.end_s
    )


def moves(writes: list[evidence.StoreWrite], since_s: float) -> int:
    """Count how often VMs changed pools after a moment."""
    return sum(
        later.row.pool != earlier.row.pool and later.start_s > since_s
        for stays in evidence.stays(writes).values()
        for earlier, later in zip(stays, stays[1:])
    )


def spent_s(
    pool: configuration.Pool,
    writes: list[evidence.StoreWrite],
    since_s: float,
    until_s: float,
) -> float:
    """Sum the VM-seconds that a pool was below its size."""
    served_s = sum(
        max(0.0, min(stay.end_s, until_s) - max(stay.start_s, since_s))
        for stays in evidence.stays(writes).values()
        for stay in stays
        if stay.row.pool == pool.name and stay.row.state == evidence.SERVING
    )
    return max(0.0, pool.size * (until_s - since_s) - served_s)


def progress(scene: scenes.Scene, writes: list[evidence.StoreWrite]) -> str:
    """Give one line on how a run goes."""
    states = collections.Counter(
        stays[-1].row.state for stays in evidence.stays(writes).values()
    )
    counts = ' '.join(
        f'{k}={n}' for k, n in sorted(outcomes(scene.attempts).items())
    )
    vms = ' '.join(f'{k}={n}' for k, n in sorted(states.items()))
    return f'requests {counts}; VMs {vms}'


def lines(scene: scenes.Scene, seen: evidence.Evidence) -> list[str]:
    """Give some lines on what a run came to."""
    took_s = time.monotonic() - scene.began_s
    times_ms = sorted(
        (a.end_s - a.start_s) * 1000 for a in seen.attempts if a.own
    )
    found = [
        f'{len(times_ms)} answers in {took_s:.0f} s, {_quantiles(times_ms)}'
    ]
    for pool in scene.deployment.whole.pools:
        spent = spent_s(pool, seen.writes, scene.began_s, time.monotonic())
        if spent:
            found.append(
                f'pool {pool.name}: {spent:.1f} of '
                f'{pool.unavailability_budget_s:.0f} VM-seconds of the '
                f"quarter's budget spent"
            )
    return found


def _quantiles(times_ms: list[float]) -> str:
    if len(times_ms) < 2:
        return 'too few for quantiles'
    cuts = statistics.quantiles(times_ms, n=100)
    return f'median {cuts[49]:.0f} ms, 99 of 100 within {cuts[98]:.0f} ms'
