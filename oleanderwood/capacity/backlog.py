"""How many cores end a pool's waiting work in time. Pure.

Load it answers: large jobs wait by the dozen at the end of their turn, with
seconds to spare, while small ones of another pool must end within two. What
can wait needs fewer machines for longer.
"""

import collections.abc
import dataclasses

LEAST_LEFT_S = 1.5
"""Work that is due sooner counts as due by then: machines that are called for
it come no earlier."""


@dataclasses.dataclass(frozen=True)
class Waiting:
    """Tasks of one step that wait.

    :ivar cores: that all of them need at the same time
    :ivar length_s: of one task
    :ivar left_s: time in which they have to end
    """

    cores: float
    length_s: float
    left_s: float


def cores(rows: collections.abc.Iterable[Waiting]) -> float:
    """Give the least cores with which all rows end in time.

    Work that is due by a time has to be done by then; the time that asks
    most decides. A task runs on its cores for its whole length, so a row
    never counts for more than its cores.
    """
    work = most = 0.0
    for row in sorted(rows, key=_due_s):
        work += row.cores * row.length_s
        most = max(most, work / _due_s(row))
    return most


def _due_s(row: Waiting) -> float:
    return max(LEAST_LEFT_S, row.length_s, row.left_s)
