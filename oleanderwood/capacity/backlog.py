"""Compute how many cores a pool's waiting work needs to meet its deadlines.

Large jobs wait by the dozen at the end of a burst with seconds to spare, while
small jobs of another pool have to end within two seconds. Work with a later
deadline needs fewer machines for a longer time. The functions have no side
effects.
"""

import collections.abc
import dataclasses

MIN_LEFT_S = 1.5
"""Smallest time until a deadline that is counted with: a machine that is
requested now arrives no earlier."""


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
