"""Access to the reports of invariants that a running process broke.

A breach is logged and counted, and never raised into the request path:
the caller goes on with whatever is safe.
"""

import collections
import dataclasses
import logging

import prometheus_client

LOG = logging.getLogger('invariants')

KEPT_BREACHES = 20
"""How many breaches the state dump shows."""


@dataclasses.dataclass
class Invariants:
    """The breaches of one process.

    :ivar recent: the last breaches, each with its invariant and detail
    """

    breaches: prometheus_client.Counter
    recent: collections.deque[tuple[str, str]]
    count: int = 0


def create(registry: prometheus_client.CollectorRegistry) -> Invariants:
    """Make the state of a process; once for each registry."""
    breaches = prometheus_client.Counter(
        'oleander_invariant_breaches',
        'States reached that must never be reached.',
        ['invariant'],
        registry=registry,
    )
    return Invariants(breaches, collections.deque(maxlen=KEPT_BREACHES))


def report(state: Invariants, name: str, detail: str) -> None:
    """Log and count one breach.

    :param name: the invariant's fixed name, as in ``in-flight-exact``
    :param detail: what was seen, for people
    """
    LOG.error('Invariant %s is broken: %s', name, detail)
    state.count += 1
    state.breaches.labels(name).inc()
    state.recent.append((name, detail))


def check(state: Invariants, holds: bool, name: str, detail: str) -> bool:
    """Report a breach unless the invariant holds; give ``holds``."""
    if not holds:
        report(state, name, detail)
    return holds


def dump(state: Invariants) -> dict[str, object]:
    """Give the breaches as plain data for the state dump."""
    recent = [
        {'invariant': name, 'detail': detail} for name, detail in state.recent
    ]
    return {'breaches': state.count, 'recent': recent}
