"""How long tasks really take, against what callers guess. Pure."""

import dataclasses

from oleanderwood.jobs import ledger as ledgers

LEARNING = 0.05
"""Weight of one task in the mean: the last 20 or so count."""

LEAST = 0.2
MOST = 5.0
"""Bounds of the factor; callers' guesses are off by up to 0.9 of the time."""


@dataclasses.dataclass
class Lengths:
    """By queue: mean of the real time over the guessed one."""

    factors: dict[str, float] = dataclasses.field(default_factory=dict)


def note(lengths: Lengths, group: ledgers.Group, length_s: float) -> None:
    """Note how long a task of a step took."""
    guess_s = group.step.estimate_ms / 1000
    if guess_s <= 0:
        return
    name = group.entry.job.queue.name
    seen = min(MOST, max(LEAST, length_s / guess_s))
    known = lengths.factors.get(name, 1.0)
    lengths.factors[name] = known + LEARNING * (seen - known)


def factor(lengths: Lengths, queue: str) -> float:
    """Give by what to multiply a queue's guesses."""
    return lengths.factors.get(queue, 1.0)
