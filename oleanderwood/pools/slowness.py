"""Which workers are slow, and which of their runs are better begun anew. Pure.

Load it answers: some workers turn six or seven times slower for some seconds,
while they report and renew as always. Guesses of single tasks are off by up
to nine tenths, and the tasks of a step are off alike, so several steps on a
worker are held against those on the other workers of its pool.
"""

import collections
import collections.abc
import dataclasses
import math
import statistics

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

SLOW_FACTOR = 3.0
"""How many times slower than its pool a worker counts as slow; halfway, by
logarithm, to what users have seen."""

LEAST_STEPS = 4
"""Steps that a worker is judged by at least; with guesses off by 0.9 their
mean is off by 0.45, and the logarithm of the factor is 1.1."""

REMEMBERED_S = 4.0
"""Time for which an ended task tells of its worker."""

LEAST_RUN_S = 0.4
"""Time after which a run tells of its worker; its start takes some of it."""

GAIN_S = 0.5
"""Time that beginning anew must save; a stop and a start take 0.3 s."""

Factor = collections.abc.Callable[[ledgers.Entry], float]
"""Gives by what to multiply the guesses of a job's queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How long an ended task took against its guess, as a logarithm."""

    at_s: float
    group: ledgers.Group
    ratio: float


@dataclasses.dataclass
class Pace:
    """What is known of one worker's pace.

    :ivar ratio: mean logarithm of real over guessed times; None if too few
        steps tell
    :ivar slow: it is slow against its pool
    """

    ended: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    ratio: float | None = None
    slow: bool = False


def note_end(
    pace: Pace, task: ledgers.Task, took_s: float, factor: float, now_s: float
) -> None:
    """Note a task that has ended as done."""
    guess_s = _guess_s(task, factor)
    if guess_s > 0 and took_s > 0:
        ratio = math.log(took_s / guess_s)
        pace.ended.append(Ended(now_s, task.group, ratio))


def _guess_s(task: ledgers.Task, factor: float) -> float:
    return task.group.step.guess_ms / 1000 * factor


def measure(
    pace: Pace, worker: workers_.Worker, factor_of: Factor, now_s: float
) -> None:
    """Measure a worker anew, by its runs and what has ended lately."""
    while pace.ended and pace.ended[0].at_s < now_s - REMEMBERED_S:
        pace.ended.popleft()
    ratios: dict[ledgers.Group, list[float]] = {}
    for row in pace.ended:
        ratios.setdefault(row.group, []).append(row.ratio)
    for task in worker.runs.values():
        total_s = _projected_s(task, now_s)
        guess_s = _guess_s(task, factor_of(task.group.entry))
        if total_s is not None and guess_s > 0:
            ratio = math.log(total_s / guess_s)
            ratios.setdefault(task.group, []).append(ratio)
    pace.ratio = None
    if len(ratios) >= LEAST_STEPS:
        pace.ratio = statistics.fmean(map(statistics.fmean, ratios.values()))


def _projected_s(task: ledgers.Task, now_s: float) -> float | None:
    """Give how long a run will have taken in all; None if nothing tells."""
    run = task.run
    if (
        run is None
        or task.group.step.lasting
        or task.group.step.uses_leftover
        or run.phase is not ledgers.RunPhase.RUNNING
        or now_s - run.begun_s < LEAST_RUN_S
    ):
        return None
    if run.percent <= 0:
        return now_s - run.begun_s
    if run.moved_on_s <= run.begun_s:
        # It was found so far by a new leader, and hasn't got on since.
        return None
    return (run.moved_on_s - run.begun_s) / run.percent * 100


def left_s(task: ledgers.Task, now_s: float) -> float:
    """Give how much longer a run takes, by its headway or else its guess."""
    if task.run is None:
        return 0.0
    total_s = _projected_s(task, now_s)
    if total_s is None:
        total_s = task.group.step.guess_ms / 1000
    return max(0.0, total_s - (now_s - task.run.begun_s))


def judge(pace: Pace, others: list[float]) -> None:
    """Judge a worker against the others of its pool.

    :param others: their ratios
    """
    if pace.ratio is None or len(others) < 2:
        pace.slow = False
        return
    usual = statistics.median(others)
    pace.slow = pace.ratio - usual >= math.log(SLOW_FACTOR)


def to_begin_anew(
    worker: workers_.Worker, factor_of: Factor, now_s: float
) -> list[ledgers.Task]:
    """Give the tasks on a slow worker that would end sooner elsewhere."""
    found = []
    for task in worker.runs.values():
        total_s = _projected_s(task, now_s)
        if total_s is None:
            continue
        left_s = total_s - (now_s - task.run.begun_s)
        again_s = _guess_s(task, factor_of(task.group.entry))
        if left_s > again_s + GAIN_S:
            found.append(task)
    return found
