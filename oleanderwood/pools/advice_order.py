"""Chooses the step about which advice is asked next. Pure.

Designed for queues with advice that have more waiting steps than the advice
service can answer while their tickets are valid. It answers one question after
another, a few a second, so a question about a step that cannot start anyway
delays the steps that could.
"""

import collections.abc
import dataclasses
import enum

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import advised
from oleanderwood.pools import placing
from oleanderwood.pools import shortage

MAX_PREFETCHED = 8
"""Number of steps of a pool that are asked about before they fit on a worker,
so that free capacity is used at once; those that go first."""

HOPELESS_RETRY_S = 15.0
"""Time between two questions about a step that its pool could not start even
if it were idle. Which other machines could run it is learned only by
asking."""


class Nearness(enum.IntEnum):
    """How near the start of a step is, in the order of the questions."""

    NOW = 0
    """It fits on a worker, or its runs are about to move."""

    NEXT = 1
    """It is among the first in its pool that wait for capacity."""

    LATER = 2
    """Other steps of its pool go first."""

    HOPELESS = 3
    """Its pool could not start it even if it were idle."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A step that lacks advice.

    :ivar since_s: when it was last asked about, or began to wait for advice
    """

    group: ledgers.Group
    queue: str
    nearness: Nearness
    since_s: float


@dataclasses.dataclass
class Turns:
    """When each queue, and each tenant of a queue, was last asked about."""

    queues: dict[str, float] = dataclasses.field(default_factory=dict)
    tenants: dict[tuple[str, ids.TenantId], float] = dataclasses.field(
        default_factory=dict
    )


def choose(
    candidates: collections.abc.Iterable[Candidate],
    turns: Turns,
    now_s: float,
) -> Candidate | None:
    """Return the step to ask about; None if no question is due.

    Steps that could start now go before all others. Queues take turns, then
    the tenants of a queue, so that the steps of one cannot keep the others
    from being asked about. Within these, the step goes first that has waited
    longest since it was last asked about.
    """
    due = [row for row in candidates if _is_due(row, now_s)]
    return min(due, key=lambda row: _order(row, turns), default=None)


def _is_due(row: Candidate, now_s: float) -> bool:
    if row.nearness is Nearness.LATER:
        return False
    if row.nearness is Nearness.HOPELESS and row.group.asked:
        return now_s - row.since_s >= HOPELESS_RETRY_S
    return True


def _order(row: Candidate, turns: Turns) -> tuple:
    tenant = row.group.entry.job.tenant
    return (
        row.nearness,
        turns.queues.get(row.queue, 0.0),
        turns.tenants.get((row.queue, tenant), 0.0),
        row.since_s,
    )


def note_asked(
    turns: Turns, queue: str, group: ledgers.Group, now_s: float
) -> None:
    """Record that a step of a queue is asked about."""
    turns.queues[queue] = now_s
    turns.tenants[queue, group.entry.job.tenant] = now_s
    group.advice_since_s = now_s


@dataclasses.dataclass
class PoolCapacity:
    """Capacity of one pool, as its workers are now.

    :ivar free: free capacity of the workers that accept tasks
    :ivar idle: capacity of all workers as if they were idle
    :ivar held: number of steps met so far that wait for free capacity
    :ivar known: whether requests fit, by what only depends on the request
    """

    free: list[placing.FreeCapacity]
    idle: list[placing.FreeCapacity]
    held: int = 0
    known: dict[tuple, bool] = dataclasses.field(default_factory=dict)


def nearness(
    capacity: PoolCapacity,
    group: ledgers.Group,
    is_allowed: bool,
    now_s: float,
) -> Nearness:
    """Return how near the start of a waiting step is.

    Steps have to be passed in the order in which they go first in their pool.

    :param is_allowed: quotas and limits allow one more task of the step
    """
    refused = advised.refused_machines(group, now_s)

    def fits(candidates: list[placing.FreeCapacity], name: str) -> bool:
        return _may_fit(
            capacity, candidates, name, group
        ) and not shortage.fits_nowhere(group, candidates, refused)

    if is_allowed and fits(capacity.free, 'free'):
        return Nearness.NOW
    if not fits(capacity.idle, 'idle'):
        return Nearness.HOPELESS
    if not is_allowed:
        return Nearness.LATER
    capacity.held += 1
    return Nearness.NEXT if capacity.held <= MAX_PREFETCHED else Nearness.LATER


def _may_fit(
    capacity: PoolCapacity,
    candidates: list[placing.FreeCapacity],
    name: str,
    group: ledgers.Group,
) -> bool:
    """Return whether a task of a step has room, whatever the advice says.

    Equal requests are looked at once: in a burst, thousands wait.
    """
    step = group.step
    kind = step.uses_leftover, step.is_long_running
    key = name, step.needs, step.label, kind
    if step.max_per_worker or key not in capacity.known:
        capacity.known[key] = any(
            placing.has_capacity(candidate, group) for candidate in candidates
        )
    return capacity.known[key]
