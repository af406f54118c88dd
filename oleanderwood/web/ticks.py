"""Pauses that end together, so that a process wakes up less."""

import math
import time

import curio

GRID_S = 0.2
"""Distance of the moments at which pauses end."""

_PHASE_S = time.monotonic() % GRID_S
"""Keeps the processes of one VM from waking up all at once."""


async def pause(wanted_s: float) -> None:
    """Sleep for at most the time wanted, and less by less than the grid.

    A pause that is shorter than the grid is slept as it is.
    """
    now_s = time.monotonic() - _PHASE_S
    await curio.sleep(shortened_s(wanted_s, now_s))


def shortened_s(wanted_s: float, now_s: float) -> float:
    """Give the time to the last moment of the grid within a pause."""
    if wanted_s < GRID_S:
        return wanted_s
    last_s = math.floor((now_s + wanted_s) / GRID_S) * GRID_S
    return max(0.0, last_s - now_s)
