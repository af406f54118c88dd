"""Fences: the number in each order below which an executor does nothing. Pure.

The term tells a former leader's orders from ours. Our own orders are told from
each other by a number that rises within the term: one that was left unanswered
may be carried out seconds later, by the executor's next life too, and is
refused there once that has answered a call with a higher number.

A term stands for the fences above those of the term that it follows, its own
the last of them. So a leader that counts terms one by one, as those of earlier
releases do, follows one that doesn't, and the other way round.
"""

import dataclasses

from oleanderwood import ids

NUMBERS = 256
"""Numbers in a term. A term that has used them up for one executor ends."""

RESERVED = 16
"""Numbers that are left for the calls of a term that is about to end."""

KEPT_S = 60.0
"""Time for which an executor that is gone keeps its number. Calls are carried
out seconds late, and an executor may be met again under its id."""


@dataclasses.dataclass
class Fences:
    """The fences that one term gives.

    :ivar numbers: the last number that each executor was given
    :ivar gone_s: when executors that are gone were forgotten
    """

    term: int
    numbers: dict[ids.ExecutorId, int] = dataclasses.field(
        default_factory=dict
    )
    gone_s: dict[ids.ExecutorId, float] = dataclasses.field(
        default_factory=dict
    )


def next_term(term: int) -> int:
    """Give the term that follows another."""
    return term + NUMBERS


def make(term: int, number: int) -> ids.Fence:
    """Make a fence of a term and a number in it, from 1 on."""
    return ids.Fence(term - NUMBERS + number)


def number(fences: Fences, executor: ids.ExecutorId) -> int:
    """Give the number of the next order to an executor."""
    return fences.numbers.setdefault(executor, 1)


def current(fences: Fences, executor: ids.ExecutorId) -> ids.Fence:
    """Give the fence of the next order to an executor."""
    return make(fences.term, number(fences, executor))


def raise_fence(fences: Fences, executor: ids.ExecutorId) -> None:
    """Let an executor's next order have a higher fence than all before."""
    last = fences.numbers.get(executor, 0)
    fences.numbers[executor] = min(last + 1, NUMBERS)
    fences.gone_s.pop(executor, None)


def is_overtaken(
    fences: Fences, executor: ids.ExecutorId, fence: ids.Fence
) -> bool:
    """Say whether a higher fence than an order's was given to its executor.

    Refused for its fence, such an order may be sent again: a later call of
    ours came first.
    """
    return fence < current(fences, executor)


def are_used_up(fences: Fences, executor: ids.ExecutorId) -> bool:
    """Say whether hardly any numbers are left for an executor."""
    return number(fences, executor) > NUMBERS - RESERVED


def forget(fences: Fences, executor: ids.ExecutorId, now_s: float) -> None:
    """Note that an executor is gone; its number is kept for a while."""
    fences.gone_s[executor] = now_s
    for other, gone_s in list(fences.gone_s.items()):
        if now_s - gone_s > KEPT_S:
            del fences.gone_s[other]
            fences.numbers.pop(other, None)
