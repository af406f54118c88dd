"""Learns how long tasks take, compared with callers' estimates. Pure.

Estimates are off by up to 90% either way. Actual durations of one queue differ
far less than its estimates, so an estimate far from the mean is mostly wrong.
On 6,500 steps, an estimate twice as long meant a duration longer by a seventh
for small jobs (slope 0.2 of the logarithms, correlation 0.45), and by a third
for large ones (0.45, 0.65).
"""

import collections.abc
import dataclasses
import math

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model

LEARNING_RATE = 0.05
"""Weight of one task in the moving means: about the last 20 tasks count."""

MIN_FACTOR = 0.2
MAX_FACTOR = 5.0
"""Bounds of the correction factor; estimates beyond them are not credible."""

REMEMBERED_TASKS = 400.0
"""Tasks that the regression is fitted to: some 60 steps, since the tasks of
one step are alike."""

MIN_TASKS = 8.0
"""Below this number of tasks, estimates are used uncorrected."""

PRIOR_TASKS = 20.0
PRIOR_VARIANCE = 0.5
PRIOR_SLOPE = 0.4
"""Prior of the regression, counted as this many tasks with this variance of
their estimates, which is that of users' estimates."""

MIN_LENGTH_S = 0.001
"""Shorter durations are raised to this, since zero has no logarithm."""

REFIT_TASKS = 50
"""Tasks after which the expected durations of known jobs are recomputed."""


@dataclasses.dataclass
class QueueStats:
    """Estimated and actual durations of the tasks of one queue.

    Sums are of logarithms and decay exponentially.

    :ivar weight: number of tasks in the sums, decayed like them
    """

    mean_estimate_s: float
    mean_length_s: float
    weight: float = 0.0
    log_estimates: float = 0.0
    log_lengths: float = 0.0
    log_estimates_squared: float = 0.0
    log_products: float = 0.0


@dataclasses.dataclass
class Lengths:
    """Duration statistics by queue.

    :ivar tasks: number of tasks recorded
    """

    queues: dict[str, QueueStats] = dataclasses.field(default_factory=dict)
    tasks: int = 0


def record(lengths: Lengths, group: ledgers.Group, length_s: float) -> None:
    """Record how long a task of a step took."""
    estimate_s = group.step.guess_ms / 1000
    if estimate_s <= 0:
        return
    name = group.entry.job.queue.name
    stats = lengths.queues.setdefault(name, QueueStats(estimate_s, estimate_s))
    stats.mean_estimate_s += LEARNING_RATE * (
        estimate_s - stats.mean_estimate_s
    )
    stats.mean_length_s += LEARNING_RATE * (length_s - stats.mean_length_s)
    _fit(stats, estimate_s, length_s)
    lengths.tasks += 1


def _fit(stats: QueueStats, estimate_s: float, length_s: float) -> None:
    """Add a task to the sums that the regression is fitted to."""
    decay = 1.0 - 1.0 / REMEMBERED_TASKS
    log_estimate = math.log(max(MIN_LENGTH_S, estimate_s))
    log_length = math.log(max(MIN_LENGTH_S, length_s))
    stats.weight = decay * stats.weight + 1.0
    stats.log_estimates = decay * stats.log_estimates + log_estimate
    stats.log_lengths = decay * stats.log_lengths + log_length
    stats.log_estimates_squared = (
        decay * stats.log_estimates_squared + log_estimate * log_estimate
    )
    stats.log_products = decay * stats.log_products + log_estimate * log_length


def correction_factor(lengths: Lengths, queue: str) -> float:
    """Return the factor by which to multiply a queue's estimates."""
    stats = lengths.queues.get(queue)
    if stats is None:
        return 1.0
    return min(
        MAX_FACTOR,
        max(MIN_FACTOR, stats.mean_length_s / stats.mean_estimate_s),
    )


def expected_s(lengths: Lengths, queue: str, estimate_s: float) -> float:
    """Return the expected duration of a task with the given estimate."""
    stats = lengths.queues.get(queue)
    if stats is None or stats.weight < MIN_TASKS or estimate_s <= 0:
        return estimate_s
    log_estimate = stats.log_estimates / stats.weight
    log_length = stats.log_lengths / stats.weight
    log_deviation = math.log(max(MIN_LENGTH_S, estimate_s)) - log_estimate
    return math.exp(log_length + _slope(stats) * log_deviation)


def _slope(stats: QueueStats) -> float:
    """Return the slope of log duration over log estimate, between 0 and 1."""
    log_estimate = stats.log_estimates / stats.weight
    log_length = stats.log_lengths / stats.weight
    variance = (
        stats.log_estimates_squared
        - stats.weight * log_estimate * log_estimate
    )
    covariance = stats.log_products - stats.weight * log_estimate * log_length
    prior = PRIOR_TASKS * PRIOR_VARIANCE
    slope = (covariance + prior * PRIOR_SLOPE) / (variance + prior)
    return min(1.0, max(0.0, slope))


def of_job(
    lengths: Lengths, entry: ledgers.Entry
) -> collections.abc.Sequence[float]:
    """Return the expected duration of a task of each step, in seconds."""
    return times_of_job(lengths, entry).steps_s


def times_of_job(
    lengths: Lengths, entry: ledgers.Entry
) -> model.ExpectedTimes:
    """Return the expected times of a job's steps.

    They are computed once per job and version of the measured durations: a
    scheduling pass needs them for each step that is ready.
    """
    version = lengths.tasks // REFIT_TASKS
    if entry.expected is None or entry.expected_version != version:
        queue = entry.job.queue.name
        entry.expected_version = version
        entry.expected = model.expected_times(
            entry.job.work,
            [
                expected_s(lengths, queue, step.guess_ms / 1000)
                for step in entry.job.work.steps
            ],
        )
    return entry.expected
