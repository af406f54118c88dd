"""Keeps the tasks of a job on different racks. Pure.

Designed for racks that fail: a serving job whose tasks are all in one rack
stops serving, and one that is spread serves on. Spreading leaves fewer
machines empty, so it applies only where a pool will not give machines away.
"""

import collections
import collections.abc
import dataclasses

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model

MIN_RACKS = 3
"""Racks from which spreading is worthwhile. With two, a job loses half of its
tasks with either, and packing would be given up for that."""


def applies(
    racks: collections.abc.Iterable[str], machines: int, needed: int | None
) -> bool:
    """Return whether a pool spreads its jobs' tasks over racks.

    :param racks: racks of the pool's workers; '' if unknown
    :param machines: number of the pool's machines
    :param needed: number of machines that the pool needs; None if unknown
    """
    if needed is None or machines > needed:
        return False
    return len({rack for rack in racks if rack}) >= MIN_RACKS


SPREADS_BATCH = False
"""Whether tasks that end are spread too. A job of such tasks is late once it
loses one of them, so the more jobs a rack holds tasks of, the more jobs its
failure delays: with a third of 18 workers failing, over 12 seeds each, 44
late jobs became 74 at 6 jobs per second, 129 became 173 at 12, and 338 became
385 at 16, though the largest loss of one job fell from 8 tasks to 5."""


@dataclasses.dataclass
class RackCounts:
    """Number of each job's tasks by rack while starts are decided."""

    by_job: collections.Counter[tuple[ledgers.Entry, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


def add(
    counts: RackCounts, group: ledgers.Group, rack: str, tasks: int = 1
) -> None:
    """Add tasks of a step to a rack; a negative number removes them."""
    if not keeps_together(group.step):
        counts.by_job[group.entry, rack] += tasks


def preference(
    counts: RackCounts, group: ledgers.Group, rack: str, has_long_running: bool
) -> int:
    """Return the rank of a worker by its rack; lower ranks go first.

    A long-running task is spread only if it needs another worker anyway, so
    that no more workers hold such tasks.

    :param has_long_running: long-running tasks are on the worker
    """
    step = group.step
    if keeps_together(step) or (step.is_long_running and has_long_running):
        return 0
    return counts.by_job[group.entry, rack]


def keeps_together(step: model.Step) -> bool:
    """Return whether a step's tasks are not to be spread.

    Those near their data stay there. A gang ends when any of its members does,
    so more racks make it fail more often.
    For tasks that end, see ``SPREADS_BATCH``.
    """
    if step.near_rack or step.one_rack or step.gang:
        return True
    return not (step.is_long_running or SPREADS_BATCH)
