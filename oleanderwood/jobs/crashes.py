"""Whether a task crashes the workers that start it, by when they went. Pure.

A worker that crashes says nothing of what it ran, and most of that was just
there. So one crash proves little: what had only just been started is
suspected, and started next where no other could be to blame.
"""

import collections.abc

import msgspec

AT_ONCE_MS = 60
"""Age of a run up to which it is suspected by one crash: a worker's orders
come some milliseconds apart, and few are so young at any moment."""

SETTLED_S = 1.0
"""Age from which a run isn't suspected beside one that is: tasks that crash
their workers do so as they start up."""

SHARP_MS = 60
"""Most doubt about a run's age that leaves it comparable to others."""

ALIKE_MS = 20
ALIKE_FACTOR = 0.05
"""How far two ages may lie apart that count as the same: so much, and such a
part of them."""

GUILTY_POINTS = 8
"""What speaks against a task until it is given up: two crashes that came at
once and at the same age, the second with no other explanation; three at the
same age; two that can't be explained after two that can."""

BESIDE_POINTS = 1
ISOLATED_POINTS = 3
AT_ONCE_POINTS = 1
ALIKE_POINTS = 3
"""For each crash; for one with no other explanation; for one at once, and
for one at the age of an earlier one, beside these."""

LEAST_PROBATION_S = 0.3
MOST_PROBATION_S = 1.0
"""Bounds of the time in which a suspected run is kept apart."""

UNHEARD = 0
"""Stands for the attempt of a start whose end the leader may never hear of;
attempts begin with 1."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A worker that went while a run of a task was there.

    :ivar attempt: of the run
    :ivar age_ms: of the run, at most; -1 if it isn't known
    :ivar doubt_ms: by how much it may have been younger
    :ivar isolated: nothing else there could be to blame
    """

    attempt: int
    age_ms: int = -1
    doubt_ms: int = 0
    isolated: bool = False


Crashes = collections.abc.Collection[Crash]


def is_suspected(crashes: Crashes) -> bool:
    """Say whether a task has to be started apart from others."""
    return len(crashes) > 1 or any(_came_at_once(row) for row in crashes)


def is_guilty(crashes: Crashes) -> bool:
    """Say whether a task is given up."""
    rows = sorted(crashes, key=lambda crash: crash.attempt)
    points = 0
    for number, row in enumerate(rows):
        points += ISOLATED_POINTS if row.isolated else BESIDE_POINTS
        if _came_at_once(row):
            points += AT_ONCE_POINTS
        if any(_are_alike(row, other) for other in rows[:number]):
            points += ALIKE_POINTS
    return len(rows) > 1 and points >= GUILTY_POINTS


def _came_at_once(crash: Crash) -> bool:
    return 0 <= crash.age_ms <= AT_ONCE_MS


def _are_alike(crash: Crash, other: Crash) -> bool:
    if not (_is_sharp(crash) and _is_sharp(other)):
        return False
    apart_ms = ALIKE_MS + ALIKE_FACTOR * crash.age_ms
    return abs(crash.age_ms - other.age_ms) <= apart_ms


def _is_sharp(crash: Crash) -> bool:
    return crash.age_ms >= 0 and crash.doubt_ms <= SHARP_MS


def probation_s(crashes: Crashes) -> float:
    """Give how long a run has to go on until it isn't suspected any more.

    Twice as long as any that a worker went under.
    """
    ages = [crash.age_ms for crash in crashes]
    if min(ages, default=-1) < 0:
        return MOST_PROBATION_S
    longest_s = 2 * max(ages) / 1000
    return min(MOST_PROBATION_S, max(LEAST_PROBATION_S, longest_s))
