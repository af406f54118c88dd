"""Emulated days around changes of leader."""

import collections.abc

from emulator import day
from emulator import troubles

LENGTH_S = 6.0
TROUBLES = 2


def takeover_day(
    seed: int,
    kinds: collections.abc.Sequence[troubles.Kind] = troubles.TAKEOVER_KINDS,
) -> day.Plan:
    """Draw a day on which callers press and servers are apart."""
    drawn = troubles.draw(seed, LENGTH_S, TROUBLES, kinds)
    return day.Plan(
        seed,
        length_s=LENGTH_S,
        jobs_per_s=1.0,
        troubles=tuple(drawn),
        finish_s=24.0,
        press_gap_s=0.01,
        away_s=0.03,
        jitter_s=0.005,
    )
