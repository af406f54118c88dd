"""Access to the bound on how many calls a second a daemon makes."""

import dataclasses

import prometheus_client


@dataclasses.dataclass
class CallBudget:
    """A token bucket.

    :ivar rate_per_s: calls a second in the long run
    :ivar burst: calls that may be made at once after a rest
    :ivar tokens: calls that may be made now; below 0 when some wait
    """

    rate_per_s: float
    burst: float
    tokens: float
    updated_s: float


@dataclasses.dataclass(frozen=True)
class Metrics:
    """Counts of calls and of the time spent waiting for the budget."""

    calls: prometheus_client.Counter
    failures: prometheus_client.Counter
    waited_s: prometheus_client.Counter


def make(rate_per_s: float, burst: float, now_s: float) -> CallBudget:
    """Make a full bucket."""
    return CallBudget(rate_per_s, burst, burst, now_s)


def metrics(registry: prometheus_client.CollectorRegistry) -> Metrics:
    """Register the counters of the store's calls."""
    return Metrics(
        calls=prometheus_client.Counter(
            'oleander_store_calls',
            'Calls to the store; a waiting watch counts as one.',
            ['kind'],
            registry=registry,
        ),
        failures=prometheus_client.Counter(
            'oleander_store_call_failures',
            'Calls to the store that brought no answer.',
            ['kind'],
            registry=registry,
        ),
        waited_s=prometheus_client.Counter(
            'oleander_store_budget_wait_seconds',
            'Time that calls waited for the budget of calls.',
            registry=registry,
        ),
    )


def take(budget: CallBudget, now_s: float) -> float:
    """Take one call from the budget.

    :returns: seconds to wait before the call, 0 if it may go at once
    """
    passed_s = max(0.0, now_s - budget.updated_s)
    refilled = budget.tokens + passed_s * budget.rate_per_s
    budget.tokens = min(budget.burst, refilled) - 1.0
    budget.updated_s = now_s
    return max(0.0, -budget.tokens / budget.rate_per_s)
