"""Access to the retry budget: retries as a share of fresh requests."""

import dataclasses

from oleanderwood import verdict as verdicts

MAX_ATTEMPTS = 3
"""Attempts of one request, the first one included."""

INITIAL_RETRIES = 1.0
"""Retries that a service may use before its first fresh request."""

MAX_SAVED_RETRIES = 10.0
"""Unused retries that are kept for a burst of failures."""


@dataclasses.dataclass
class Budget:
    """The retries that one service may use at one entry.

    ``retries <= share * fresh + INITIAL_RETRIES`` holds at all times.
    """

    share: float
    balance: float = INITIAL_RETRIES
    fresh: int = 0
    retries: int = 0


def earn(budget: Budget) -> None:
    """Count one fresh request."""
    budget.fresh += 1
    budget.balance = min(MAX_SAVED_RETRIES, budget.balance + budget.share)


def spend(budget: Budget) -> bool:
    """Use one retry if the budget has it."""
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    budget.retries += 1
    return True


def holds(budget: Budget, share: float) -> bool:
    """Say whether the budget was kept, for a share that never changed."""
    return budget.retries <= share * budget.fresh + INITIAL_RETRIES + 1e-6


def allowed(
    verdict: verdicts.Verdict, idempotent: bool, attempts: int
) -> bool:
    """Say whether the request itself permits another attempt."""
    if attempts >= MAX_ATTEMPTS:
        return False
    return verdicts.may_retry(verdict, idempotent)


def combine(
    earlier: verdicts.Verdict, latest: verdicts.Verdict
) -> verdicts.Verdict:
    """Give the verdict of a request from those of two attempts."""
    if verdicts.Verdict.RAN in (earlier, latest):
        return verdicts.Verdict.RAN
    if verdicts.Verdict.MAY_HAVE_RUN in (earlier, latest):
        return verdicts.Verdict.MAY_HAVE_RUN
    return verdicts.Verdict.NOT_RUN
