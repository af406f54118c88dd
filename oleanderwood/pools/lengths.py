"""How long tasks really take, against what callers guess. Pure.

Load it answers: guesses are off by up to nine tenths either way. Real times
of one queue differ far less than its guesses, so a guess that stands out is
mostly wrong: of small jobs a guess twice as long meant a time longer by a
seventh (slope 0.2 of the logarithms, correlation 0.45), of large ones by a
third (0.45, 0.65), measured on 6,500 steps.
"""

import collections.abc
import dataclasses
import math

from oleanderwood.jobs import ledger as ledgers

LEARNING = 0.05
"""Weight of one task in the means: the last 20 or so count."""

LEAST = 0.2
MOST = 5.0
"""Bounds of the factor; beyond them a guess isn't one."""

REMEMBERED_TASKS = 400.0
"""Tasks that a line is fitted to: some 60 steps, since the tasks of one step
are alike."""

LEAST_TASKS = 8.0
"""Fewer tasks than this tell nothing; guesses are then taken as they are."""

PRIOR_TASKS = 20.0
PRIOR_VARIANCE = 0.5
PRIOR_SLOPE = 0.4
"""What a line is taken to be before it is learned: it counts as so many
tasks, of guesses that differ as users' do."""

SHORTEST_S = 0.001
"""Shorter times count as this; they have no logarithm."""

REFIT_TASKS = 50
"""Tasks after which what is expected of known jobs is worked out anew."""


@dataclasses.dataclass
class Means:
    """Of one queue's tasks, what was guessed and what they took.

    The sums are of logarithms, and fade.
    """

    guess_s: float
    real_s: float
    weight: float = 0.0
    guesses: float = 0.0
    reals: float = 0.0
    guesses_squared: float = 0.0
    products: float = 0.0


@dataclasses.dataclass
class Lengths:
    """What is known, by queue.

    :ivar tasks: how many were noted
    """

    means: dict[str, Means] = dataclasses.field(default_factory=dict)
    tasks: int = 0


def note(lengths: Lengths, group: ledgers.Group, length_s: float) -> None:
    """Note how long a task of a step took."""
    guess_s = group.step.guess_ms / 1000
    if guess_s <= 0:
        return
    name = group.entry.job.queue.name
    means = lengths.means.setdefault(name, Means(guess_s, guess_s))
    means.guess_s += LEARNING * (guess_s - means.guess_s)
    means.real_s += LEARNING * (length_s - means.real_s)
    _fit(means, guess_s, length_s)
    lengths.tasks += 1


def _fit(means: Means, guess_s: float, length_s: float) -> None:
    """Take a task into the sums that the line is fitted to."""
    kept = 1.0 - 1.0 / REMEMBERED_TASKS
    guess = math.log(max(SHORTEST_S, guess_s))
    real = math.log(max(SHORTEST_S, length_s))
    means.weight = kept * means.weight + 1.0
    means.guesses = kept * means.guesses + guess
    means.reals = kept * means.reals + real
    means.guesses_squared = kept * means.guesses_squared + guess * guess
    means.products = kept * means.products + guess * real


def factor(lengths: Lengths, queue: str) -> float:
    """Give by what to multiply a queue's guesses."""
    means = lengths.means.get(queue)
    if means is None:
        return 1.0
    return min(MOST, max(LEAST, means.real_s / means.guess_s))


def expected_s(lengths: Lengths, queue: str, guess_s: float) -> float:
    """Give how long a task takes whose caller guesses a time."""
    means = lengths.means.get(queue)
    if means is None or means.weight < LEAST_TASKS or guess_s <= 0:
        return guess_s
    guess = means.guesses / means.weight
    real = means.reals / means.weight
    stands_out = math.log(max(SHORTEST_S, guess_s)) - guess
    return math.exp(real + _slope(means) * stands_out)


def _slope(means: Means) -> float:
    """Give by how much real times follow guesses, both as logarithms."""
    guess = means.guesses / means.weight
    real = means.reals / means.weight
    variance = means.guesses_squared - means.weight * guess * guess
    covariance = means.products - means.weight * guess * real
    prior = PRIOR_TASKS * PRIOR_VARIANCE
    slope = (covariance + prior * PRIOR_SLOPE) / (variance + prior)
    return min(1.0, max(0.0, slope))


def of_job(
    lengths: Lengths, entry: ledgers.Entry
) -> collections.abc.Sequence[float]:
    """Give how long a task of each of a job's steps takes, in seconds."""
    version = lengths.tasks // REFIT_TASKS
    if entry.expected_version != version:
        queue = entry.job.queue.name
        entry.expected_version = version
        entry.expected_s = tuple(
            expected_s(lengths, queue, step.guess_ms / 1000)
            for step in entry.job.work.steps
        )
    return entry.expected_s
