"""Compute how many cores a pool's waiting work needs to meet its deadlines.

Large jobs wait by the dozen at the end of a burst with seconds to spare, while
small jobs of another pool have to end within two seconds. Work with a later
deadline needs fewer machines for a longer time. The functions have no side
effects.
"""

import collections.abc
import dataclasses
import enum

MIN_LEFT_S = 1.5
"""Smallest time until a deadline that is counted with: a machine that is
requested now arrives no earlier."""


class Worth(enum.IntEnum):
    """What waiting work is worth to its callers; lower numbers go first."""

    ASSURED = 0
    """It is within its customer's rate and can be in time."""

    LATE = 1
    """It is within its customer's rate, and late."""

    EXCESS = 2
    """It is beyond its customer's rate."""


@dataclasses.dataclass(frozen=True)
class WaitingTasks:
    """Waiting tasks of one step.

    :ivar cores: cores that all tasks need to run at the same time
    :ivar length_s: expected run time of one task
    :ivar left_s: time until the tasks have to end
    """

    cores: float
    length_s: float
    left_s: float
    worth: Worth = Worth.ASSURED


def required_cores(rows: collections.abc.Iterable[WaitingTasks]) -> float:
    """Return the fewest cores with which all rows meet their deadlines.

    For each deadline, the work due by then has to be done; the deadline that
    needs the most cores decides. A task occupies its cores for its whole run
    time, so a row never counts for more than its cores.
    """
    work = most = 0.0
    for row in sorted(rows, key=_due_s):
        work += row.cores * row.length_s
        most = max(most, work / _due_s(row))
    return most


def _due_s(row: WaitingTasks) -> float:
    return max(MIN_LEFT_S, row.length_s, row.left_s)


def required_by_worth(
    rows: collections.abc.Collection[WaitingTasks],
) -> dict[Worth, float]:
    """Return the cores that work needs beside all work of higher worth."""
    found = {}
    before = 0.0
    for worth in Worth:
        cores = required_cores(row for row in rows if row.worth <= worth)
        found[worth] = max(0.0, cores - before)
        before = max(before, cores)
    return found
