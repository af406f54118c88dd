"""Sorts a pool's workers by speed, to prefer normal ones. Pure.

Designed for workers that are four to eight times slower for some seconds. Far
below the factor from which a worker gets nothing, its tasks already end late.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_

SLOWER_FACTOR = 1.35
"""A worker this many times slower than its pool is in class 1: a job's
objective allows 1.6 times its expected time. Smaller differences are within
the error of the estimates."""

MUCH_SLOWER_FACTOR = 1.8
"""A worker this many times slower than its pool is in class 2: most jobs with
a step there end late."""

PRIOR_STEPS = 4.0
"""Weight of the assumption that a worker is as fast as its pool, in steps.
With estimates off by 0.9, the mean of four steps is off by 0.45, more than the
logarithm of ``SLOWER_FACTOR``."""

MIN_MEASURED = 3
"""Measured workers that a pool needs for its median to mean anything."""

MAX_REPORT_GAP_S = 1.0
"""Time in seconds within which a run's progress is reported again. After
that, a run without a change has made no progress."""

BEHIND_FACTOR = 1.8
"""A run that takes this many times longer than its siblings is far behind.
Tasks of a step differ by less."""

SIBLING_STEPS = 6.0
"""Weight of a step that is compared with its own tasks elsewhere, in steps.
The error of the estimate falls away; startup and the moment at which the
worker turned slow leave 0.3 to 0.4, which has this many times less variance
than 0.9."""

MIN_SIBLINGS = 2
"""Tasks that must have ended elsewhere to compare a run with them."""


class SpeedClass(enum.IntEnum):
    """How much slower than its pool a worker is."""

    NORMAL = 0
    SLOWER = 1
    MUCH_SLOWER = 2


@dataclasses.dataclass(frozen=True)
class Speeds:
    """Speeds of a pool's workers as placement weighs them.

    :ivar classes: workers that are not normal
    :ivar long_groups: steps whose tasks take longer than the pool's median
    :ivar packs: the pool will give machines away, so that a machine without
        runs is worth more than a short run's time
    """

    classes: collections.abc.Mapping[ids.VmId, SpeedClass]
    long_groups: collections.abc.Set[ledgers.Group] = frozenset()
    packs: bool = False


@dataclasses.dataclass
class StepTimes:
    """Times of recently ended tasks by step, oldest first.

    :ivar ended: time of the end and step of each task
    :ivar by_step: worker and time in seconds of each task
    """

    ended: collections.deque[tuple[float, ledgers.Group]] = dataclasses.field(
        default_factory=collections.deque
    )
    by_step: dict[ledgers.Group, collections.deque[tuple[ids.VmId, float]]] = (
        dataclasses.field(default_factory=dict)
    )


ExpectedOf = collections.abc.Callable[[ledgers.Group], float]
"""Returns the expected time of one task of a step, in seconds."""


def record_end(
    times: StepTimes,
    group: ledgers.Group,
    worker: ids.VmId,
    took_s: float,
    now_s: float,
) -> None:
    """Record a task that has ended successfully, and drop old ones."""
    times.ended.append((now_s, group))
    rows = times.by_step.setdefault(group, collections.deque())
    rows.append((worker, took_s))
    while times.ended[0][0] < now_s - slowness.MEMORY_S:
        _at_s, old = times.ended.popleft()
        times.by_step[old].popleft()
        if not times.by_step[old]:
            del times.by_step[old]


def measure(
    speed: slowness.Speed,
    worker: workers_.Worker,
    times: StepTimes,
    expected_of: ExpectedOf,
    now_s: float,
) -> slowness.Measurement | None:
    """Measure a worker by its recent tasks; None if there are none.

    All tasks of a step are off alike, so each step counts once. A step with a
    run that is far behind its siblings is compared with them.
    """
    took_s: dict[ledgers.Group, list[float]] = {}
    behind: dict[ledgers.Group, float] = {}
    for row in speed.ended:
        if row.at_s >= now_s - slowness.MEMORY_S:
            took_s.setdefault(row.group, []).append(row.took_s)
    for task in worker.runs.values():
        total_s = _projected_s(task, now_s)
        if total_s is None:
            continue
        group = task.group
        ratio = _ratio_to_siblings(worker, group, times, total_s)
        if ratio >= math.log(BEHIND_FACTOR):
            behind[group] = max(ratio, behind.get(group, 0.0))
        if _shows_its_time(task, total_s, expected_of(group)):
            took_s.setdefault(group, []).append(total_s)
    ratio_sum = weight = 0.0
    for group, rows in took_s.items():
        expected_s = expected_of(group)
        if expected_s > 0 and group not in behind:
            ratio_sum += statistics.fmean(map(math.log, rows)) - math.log(
                expected_s
            )
            weight += 1.0
    ratio_sum += SIBLING_STEPS * sum(behind.values())
    weight += SIBLING_STEPS * len(behind)
    return slowness.Measurement(ratio_sum / weight, weight) if weight else None


def _projected_s(task: ledgers.Task, now_s: float) -> float | None:
    """Return the projected total time of a run; None if unknown.

    A run whose progress has stalled takes longer with every moment.
    """
    total_s = slowness.projected_s(task, now_s)
    if total_s is None or task.run.percent <= 0:
        return total_s
    if now_s - task.run.last_progress_s > MAX_REPORT_GAP_S:
        return (now_s - task.run.begun_s) / task.run.percent * 100
    return total_s


def _shows_its_time(
    task: ledgers.Task, total_s: float, expected_s: float
) -> bool:
    """Return whether a run's time can be told yet.

    Before its first progress only a lower bound is known, which says nothing
    until the run takes longer than expected.
    """
    return task.run.percent > 0 or total_s > expected_s


def _ratio_to_siblings(
    worker: workers_.Worker,
    group: ledgers.Group,
    times: StepTimes,
    total_s: float,
) -> float:
    """Return the log ratio of a run's time to that of its siblings.

    0 if too few siblings have ended on other workers.
    """
    others_s = [
        took_s
        for name, took_s in times.by_step.get(group, ())
        if name != worker.entry.worker
    ]
    if len(others_s) < MIN_SIBLINGS:
        return 0.0
    return math.log(total_s / statistics.median(others_s))


def classify(
    measured: collections.abc.Mapping[ids.VmId, slowness.Measurement],
) -> dict[ids.VmId, SpeedClass]:
    """Return the workers of a pool that are not normal, with their class.

    A worker's ratio is shrunk towards the pool's median by the number of its
    steps. Workers that are not measured, as they are new or idle, are normal.
    """
    if len(measured) < MIN_MEASURED:
        return {}
    median = statistics.median(row.ratio for row in measured.values())
    found = {}
    for name, row in measured.items():
        excess = (row.ratio - median) * row.steps / (row.steps + PRIOR_STEPS)
        speed_class = _class_of(excess)
        if speed_class is not SpeedClass.NORMAL:
            found[name] = speed_class
    return found


def _class_of(excess: float) -> SpeedClass:
    if excess >= math.log(MUCH_SLOWER_FACTOR):
        return SpeedClass.MUCH_SLOWER
    if excess >= math.log(SLOWER_FACTOR):
        return SpeedClass.SLOWER
    return SpeedClass.NORMAL


def preference(
    speeds: Speeds,
    speed_class: SpeedClass,
    task: ledgers.Task,
    is_unused: bool,
) -> int:
    """Return the rank of a worker by its speed; lower ranks go first.

    A long or restarted run is kept off all slower workers while another fits.
    A long-running task outlasts a slow worker's seconds, so speed does not
    count for it.

    :param is_unused: nothing runs on the worker
    """
    if task.group.step.is_long_running:
        return 0
    if speed_class is SpeedClass.MUCH_SLOWER:
        return 3
    avoids = task.group in speeds.long_groups or is_restarted(task)
    if speed_class is SpeedClass.SLOWER:
        return 3 if avoids else 1
    return 2 if is_unused and speeds.packs and not avoids else 0


def is_restarted(task: ledgers.Task) -> bool:
    """Return whether a run of a task is over, and the task starts again."""
    return task.last_ended_attempt > 0


def long_groups(
    groups: collections.abc.Iterable[ledgers.Group],
    running: collections.abc.Iterable[ledgers.Group],
    expected_of: ExpectedOf,
) -> frozenset[ledgers.Group]:
    """Return the groups whose tasks take longer than the pool's median.

    :param groups: waiting groups of the pool
    :param running: groups with tasks that run there
    """
    expected_s = {group: expected_of(group) for group in groups}
    others_s = [
        expected_of(group) for group in set(running) - expected_s.keys()
    ]
    if not expected_s:
        return frozenset()
    median_s = statistics.median([*expected_s.values(), *others_s])
    return frozenset(
        group for group, took_s in expected_s.items() if took_s > median_s
    )
