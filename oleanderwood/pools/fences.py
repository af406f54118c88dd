"""Fences: numbers by which executors refuse outdated orders. Pure.

The term distinguishes the orders of a previous leader from those of this one.
Orders of one term are distinguished by a number that rises within the term: an
order that was left unanswered may be carried out seconds later, also by the
executor's next incarnation, and is refused there once that has answered a call
with a higher number.

A term owns the fences above those of the previous term, up to its own number.
A leader of an earlier release, which counts terms one by one, can therefore
follow a leader that does not, and the other way round.
"""

import dataclasses

from oleanderwood import ids

NUMBERS_PER_TERM = 256
"""Numbers in a term. A term that has used them up for one executor ends."""

RESERVED_NUMBERS = 16
"""Numbers that are reserved for the calls of a term that is about to end."""

RETENTION_S = 60.0
"""Time in seconds for which the number of an executor that is gone is kept.
Calls may be carried out seconds late, and an executor may return under its
id."""


@dataclasses.dataclass
class Fences:
    """The fences that one term has issued.

    :ivar numbers: the last number issued, by executor
    :ivar gone_s: when each executor that is gone was forgotten
    """

    term: int
    numbers: dict[ids.ExecutorId, int] = dataclasses.field(
        default_factory=dict
    )
    gone_s: dict[ids.ExecutorId, float] = dataclasses.field(
        default_factory=dict
    )


def next_term(term: int) -> int:
    """Return the term that follows another."""
    return term + NUMBERS_PER_TERM


def make(term: int, number: int) -> ids.Fence:
    """Return the fence of a number in a term; numbers begin at 1."""
    return ids.Fence(term - NUMBERS_PER_TERM + number)


def number(fences: Fences, executor: ids.ExecutorId) -> int:
    """Return the number of the next order to an executor."""
    return fences.numbers.setdefault(executor, 1)


def is_known(fences: Fences, executor: ids.ExecutorId) -> bool:
    """Return whether the term has issued a fence for an executor."""
    return executor in fences.numbers


def current(fences: Fences, executor: ids.ExecutorId) -> ids.Fence:
    """Return the fence of the next order to an executor."""
    return make(fences.term, number(fences, executor))


def raise_fence(fences: Fences, executor: ids.ExecutorId) -> None:
    """Raise the fence of an executor's next order above all earlier ones."""
    last = fences.numbers.get(executor, 0)
    fences.numbers[executor] = min(last + 1, NUMBERS_PER_TERM)
    fences.gone_s.pop(executor, None)


def is_superseded(
    fences: Fences, executor: ids.ExecutorId, fence: ids.Fence
) -> bool:
    """Return whether an executor was issued a higher fence than an order's.

    If such an order is refused for its fence, it may be sent again: it was
    overtaken by a later call of the same leader.
    """
    return fence < current(fences, executor)


def are_used_up(fences: Fences, executor: ids.ExecutorId) -> bool:
    """Return whether only reserved numbers are left for an executor."""
    return number(fences, executor) > NUMBERS_PER_TERM - RESERVED_NUMBERS


def forget(fences: Fences, executor: ids.ExecutorId, now_s: float) -> None:
    """Record that an executor is gone; its number is kept for a while."""
    fences.gone_s[executor] = now_s
    for other, gone_s in list(fences.gone_s.items()):
        if now_s - gone_s > RETENTION_S:
            del fences.gone_s[other]
            fences.numbers.pop(other, None)
