"""How long tasks really take, against what callers guess. Pure.

Load it answers: guesses are off by up to nine tenths either way. The mean of
real times over the mean of guesses tells by how much in all; the mean of
their ratios would be twice too long, as the shortest guesses weigh most.
"""

import dataclasses

from oleanderwood.jobs import ledger as ledgers

LEARNING = 0.05
"""Weight of one task in the means: the last 20 or so count."""

LEAST = 0.2
MOST = 5.0
"""Bounds of the factor; beyond them a guess isn't one."""


@dataclasses.dataclass
class Means:
    """Of one queue's tasks, what was guessed and what they took."""

    guess_s: float
    real_s: float


@dataclasses.dataclass
class Lengths:
    """What is known, by queue."""

    means: dict[str, Means] = dataclasses.field(default_factory=dict)


def note(lengths: Lengths, group: ledgers.Group, length_s: float) -> None:
    """Note how long a task of a step took."""
    guess_s = group.step.estimate_ms / 1000
    if guess_s <= 0:
        return
    name = group.entry.job.queue.name
    means = lengths.means.setdefault(name, Means(guess_s, guess_s))
    means.guess_s += LEARNING * (guess_s - means.guess_s)
    means.real_s += LEARNING * (length_s - means.real_s)


def factor(lengths: Lengths, queue: str) -> float:
    """Give by what to multiply a queue's guesses."""
    means = lengths.means.get(queue)
    if means is None:
        return 1.0
    return min(MOST, max(LEAST, means.real_s / means.guess_s))
