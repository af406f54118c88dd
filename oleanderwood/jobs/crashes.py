"""Decides from a task's crashes whether it crashes its workers. Pure.

A crashed worker doesn't report what it ran, and most of its runs are
unrelated to the crash. A single crash is therefore weak evidence: runs that
were started just before it are suspected, and are next started where no other
run could have caused a crash.
"""

import collections.abc
import math

import msgspec

from oleanderwood import ids

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
SAME_AGE_MS = 5
SAME_AGE_FACTOR = 0.01
"""Two ages are similar, or the same, if they differ by at most this constant
plus this fraction of the age."""

CONCLUSIVE_POINTS = 8
"""Points at which a task's job fails. Reached by two early crashes at similar
ages, the second isolated; by three crashes at similar ages, one isolated; by
two at the same age, the second isolated, after any other; or by two isolated
crashes after two that other runs could have caused, three if they may be a
coincidence."""

NOT_ISOLATED_POINTS = 1
ISOLATED_POINTS = 3
EARLY_POINTS = 1
SIMILAR_AGE_POINTS = 2
SAME_AGE_POINTS = 3
"""Points of a crash: the first if other runs could have caused it, the second
if none could; the third in addition if it was early, the fourth if an earlier
crash came at a similar age, the fifth instead if one came at the same age.
Restarts for other causes come at a similar age now and then."""

COINCIDENCE_POINTS = 1
"""Points taken off once if the isolated crashes may be a coincidence."""

MIN_PROBATION_S = 0.3
MAX_PROBATION_S = 1.0
"""Bounds of the time for which a suspected run is isolated."""

UNREPORTED = 0
"""Attempt number of a start whose end the leader may never learn of; numbers
of real attempts begin with 1."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a worker while it may have run a task.

    :ivar attempt: number of the run
    :ivar age_ms: upper bound of the run's age; -1 if it is unknown or, as the
        worker went down together with others, no evidence
    :ivar doubt_ms: by how much the run may have been younger
    :ivar isolated: no other run on the worker could have caused the crash
    :ivar in_unrest: workers crashed at that time that no run had crashed
    :ivar common_age_ms: the age if the worker went down together with others;
        evidence only once a later crash comes at the same age
    """

    attempt: int
    age_ms: int = -1
    doubt_ms: int = 0
    isolated: bool = False
    in_unrest: bool = False
    common_age_ms: int = -1


def as_common(crash: Crash) -> Crash:
    """Return a crash as one of a worker that went down with others."""
    return msgspec.structs.replace(
        crash, age_ms=-1, isolated=False, common_age_ms=known_age_ms(crash)
    )


Crashes = collections.abc.Collection[Crash]

CrashesByTask = dict[ids.TaskId, list[Crash]]


def is_suspected(crashes: Crashes) -> bool:
    """Return whether a task has to be started isolated from others."""
    return len(crashes) > 1 or any(_is_early(row) for row in crashes)


def is_conclusive(crashes: Crashes) -> bool:
    """Return whether the evidence suffices to fail the task's job."""
    return len(crashes) > 1 and points_of(crashes) >= CONCLUSIVE_POINTS


def points_of(crashes: Crashes) -> int:
    """Return how strong the evidence against a task is."""
    rows = sorted(crashes, key=lambda crash: crash.attempt)
    points = -COINCIDENCE_POINTS if _may_be_coincidence(rows) else 0
    for number, row in enumerate(rows):
        points += ISOLATED_POINTS if row.isolated else NOT_ISOLATED_POINTS
        if _is_early(row):
            points += EARLY_POINTS
        points += _points_for_age(row, rows[:number])
    return points


def _is_early(crash: Crash) -> bool:
    return 0 <= crash.age_ms <= EARLY_CRASH_MS


def _may_be_coincidence(rows: list[Crash]) -> bool:
    """Return whether the isolated crashes may have other causes than the task.

    Workers crashed for other causes at the time of each, and no two crashes
    came at similar ages. A task that crashes its workers tends to do so at
    one age.
    """
    isolated = [row for row in rows if row.isolated]
    in_unrest = bool(isolated) and all(row.in_unrest for row in isolated)
    return in_unrest and not any(
        _points_for_age(row, rows[:number]) for number, row in enumerate(rows)
    )


def _points_for_age(crash: Crash, earlier: Crashes) -> int:
    """Return the points of a crash for coming at the age of an earlier one."""
    if crash.age_ms < 0 or not _is_age_comparable(crash):
        return 0
    difference_ms = min(
        (
            abs(crash.age_ms - known_age_ms(other))
            for other in earlier
            if _is_age_comparable(other)
        ),
        default=math.inf,
    )
    if difference_ms <= SAME_AGE_MS + SAME_AGE_FACTOR * crash.age_ms:
        return SAME_AGE_POINTS
    if difference_ms <= SIMILAR_AGE_MS + SIMILAR_AGE_FACTOR * crash.age_ms:
        return SIMILAR_AGE_POINTS
    return 0


def _is_age_comparable(crash: Crash) -> bool:
    return known_age_ms(crash) >= 0 and crash.doubt_ms <= MAX_AGE_DOUBT_MS


def known_age_ms(crash: Crash) -> int:
    """Return the age of a run at a crash; -1 if it is unknown."""
    return max(crash.age_ms, crash.common_age_ms)


def probation_s(crashes: Crashes) -> float:
    """Return how long a run must survive until it is no longer suspected.

    This is twice the highest age at a crash, within bounds; the upper bound
    if an age is unknown.
    """
    ages = [known_age_ms(crash) for crash in crashes]
    if min(ages, default=-1) < 0:
        return MAX_PROBATION_S
    longest_s = 2 * max(ages) / 1000
    return min(MAX_PROBATION_S, max(MIN_PROBATION_S, longest_s))


def is_expected_age(age_ms: int, crashes: Crashes) -> bool:
    """Return whether a suspected task would crash its worker at an age."""
    crash = Crash(UNREPORTED, age_ms)
    return _is_early(crash) or _points_for_age(crash, crashes) > 0
