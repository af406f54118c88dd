"""Decides from a task's crashes whether it crashes its workers. Pure.

A crashed worker doesn't report what it ran, and most of its runs are
unrelated to the crash. A single crash is therefore weak evidence: runs that
were started just before it are suspected, and are next started where no other
run could have caused a crash.
"""

import collections.abc

import msgspec

EARLY_CRASH_MS = 60
"""A single crash makes a run of at most this age suspected. Orders reach a
worker some milliseconds apart, so few of its runs are this young at any
moment."""

SETTLED_S = 1.0
"""Age from which a run isn't suspected if a suspected run is on its worker:
tasks that crash their workers do so as they start up."""

MAX_AGE_DOUBT_MS = 60
"""Largest uncertainty of a run's age at which ages are compared."""

SIMILAR_AGE_MS = 20
SIMILAR_AGE_FACTOR = 0.05
"""Two ages are similar if they differ by at most this constant plus this
fraction of the age."""

CONCLUSIVE_POINTS = 8
"""Points at which a task's job fails. Reached by two early crashes at similar
ages, the second isolated; by three crashes at similar ages; or by two
isolated crashes after two that other runs could have caused."""

NOT_ISOLATED_POINTS = 1
ISOLATED_POINTS = 3
EARLY_POINTS = 1
SIMILAR_AGE_POINTS = 3
"""Points of a crash: the first if other runs could have caused it, the second
if none could; the third in addition if it was early, the fourth if an earlier
crash came at a similar age."""

MIN_PROBATION_S = 0.3
MAX_PROBATION_S = 1.0
"""Bounds of the time for which a suspected run is isolated."""

UNREPORTED = 0
"""Attempt number of a start whose end the leader may never learn of; numbers
of real attempts begin with 1."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a worker while it may have run a task.

    :ivar attempt: number of the run
    :ivar age_ms: upper bound of the run's age; -1 if unknown
    :ivar doubt_ms: by how much the run may have been younger
    :ivar isolated: no other run on the worker could have caused the crash
    """

    attempt: int
    age_ms: int = -1
    doubt_ms: int = 0
    isolated: bool = False


Crashes = collections.abc.Collection[Crash]


def is_suspected(crashes: Crashes) -> bool:
    """Return whether a task has to be started isolated from others."""
    return len(crashes) > 1 or any(_is_early(row) for row in crashes)


def is_conclusive(crashes: Crashes) -> bool:
    """Return whether the evidence suffices to fail the task's job."""
    rows = sorted(crashes, key=lambda crash: crash.attempt)
    points = 0
    for number, row in enumerate(rows):
        points += ISOLATED_POINTS if row.isolated else NOT_ISOLATED_POINTS
        if _is_early(row):
            points += EARLY_POINTS
        if any(_have_similar_ages(row, other) for other in rows[:number]):
            points += SIMILAR_AGE_POINTS
    return len(rows) > 1 and points >= CONCLUSIVE_POINTS


def _is_early(crash: Crash) -> bool:
    return 0 <= crash.age_ms <= EARLY_CRASH_MS


def _have_similar_ages(crash: Crash, other: Crash) -> bool:
    if not (_is_age_comparable(crash) and _is_age_comparable(other)):
        return False
    tolerance_ms = SIMILAR_AGE_MS + SIMILAR_AGE_FACTOR * crash.age_ms
    return abs(crash.age_ms - other.age_ms) <= tolerance_ms


def _is_age_comparable(crash: Crash) -> bool:
    return crash.age_ms >= 0 and crash.doubt_ms <= MAX_AGE_DOUBT_MS


def probation_s(crashes: Crashes) -> float:
    """Return how long a run must survive until it is no longer suspected.

    This is twice the highest age at a crash, within bounds; the upper bound
    if an age is unknown.
    """
    ages = [crash.age_ms for crash in crashes]
    if min(ages, default=-1) < 0:
        return MAX_PROBATION_S
    longest_s = 2 * max(ages) / 1000
    return min(MAX_PROBATION_S, max(MIN_PROBATION_S, longest_s))
