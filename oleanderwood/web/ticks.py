"""Sleeps that end at common times, so that a process wakes up less often."""

import math
import time

import curio

GRID_S = 0.2
"""Interval in seconds between the times at which sleeps end."""

_PHASE_S = time.monotonic() % GRID_S
"""Offset of the grid in this process, so that the processes of one VM don't
all wake up at the same time."""


async def pause(wanted_s: float) -> None:
    """Sleep until the last grid time within ``wanted_s``.

    The sleep is shorter than wanted by less than ``GRID_S``. A sleep shorter
    than the grid is not changed.
    """
    now_s = time.monotonic() - _PHASE_S
    await curio.sleep(aligned_sleep_s(wanted_s, now_s))


def aligned_sleep_s(wanted_s: float, now_s: float) -> float:
    """Return the time until the last grid time within a sleep."""
    if wanted_s < GRID_S:
        return wanted_s
    last_s = math.floor((now_s + wanted_s) / GRID_S) * GRID_S
    return max(0.0, last_s - now_s)
