"""Ranks waiting work by what it is still worth to its caller. Pure.

Designed for bursts: each queue submits five times its mean load in a burst,
more than its pool can hold, and almost nothing between bursts.
"""

import collections.abc
import enum

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.pools import lengths as lengths_


LATE_FACTOR = 3.0
"""A job is still useful to its caller up to this multiple of its objective."""


LATENESS_MARGIN = 1.25
"""A job counts as late once the time left for its next step is less than this
multiple of the step's expected duration. Without a margin, every second job
that is started at the last moment ends late."""


BEGUN_LEAD_S = 0.5
"""Time in seconds by which jobs that have begun go before others of the same
latest start. Their remaining steps wait for a free core several times, which
the expected time of the chain doesn't contain."""


def queue_of(
    entry: ledgers.Entry, known: dict[str, queues.Queue]
) -> queues.Queue:
    """Return a job's queue as defined by the latest configuration.

    A queue that was removed stays as it was when the job was submitted.
    """
    return known.get(entry.job.queue.name, entry.job.queue)


def objective_s(
    entry: ledgers.Entry, queue: queues.Queue, lengths: lengths_.Lengths
) -> float:
    """Return a job's objective in seconds, based on its expected duration."""
    chain_s = lengths_.times_of_job(lengths, entry).chain_s
    return queue.stretch * chain_s + queue.objective_ms / 1000


def time_left_s(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
) -> float:
    """Return the time left for a step if its job is to meet its objective."""
    entry = group.entry
    expected = lengths_.times_of_job(lengths, entry)
    number = group.number
    after_s = expected.remaining_s[number] - expected.steps_s[number]
    age_s = now_s - entry.arrived_s
    return objective_s(entry, queue, lengths) - age_s - after_s


def is_too_late(
    entry: ledgers.Entry,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
) -> bool:
    """Return whether a job is too late to be of use to its caller."""
    if entry.job.work.steps[0].is_long_running:
        return False
    age_s = now_s - entry.arrived_s
    return age_s > LATE_FACTOR * objective_s(entry, queue, lengths)


class Tier(enum.IntEnum):
    """Tiers of waiting work in a burst, in the order in which it is served.

    The last three get little while others wait. Among them, jobs that can
    still end in time go first.
    """

    IN_TIME = 0
    LATE = 1
    BEYOND_RATE_IN_TIME = 2
    BEYOND_RATE = 3
    TOO_LATE = 4


def rank(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
    chosen: collections.abc.Container[ids.JobId] | None = None,
):
    """Return the sort key of a group in its pool; lower keys go first.

    Long-running tasks go first, since every second they do not run counts.
    The others are ordered by priority, then by tier: jobs that can still meet
    their objective, jobs that cannot, and last jobs that are too late to be of
    use or exceed their tenant's rate. Within a tier, earlier arrivals go
    first.

    Jobs about to miss their objective do not go first: a job started at the
    last moment would end late and delay the next one, and in a burst larger
    than the pool every job would be late.

    :param chosen: jobs that can end in time behind each other, if the pool
        can't serve all that waits. The tier then goes before the priority, as
        a job that ends late is of little use, and the chosen jobs are ordered
        by their latest start.
    """
    entry = group.entry
    if group.step.is_long_running:
        return (0, queue.priority, 0, entry.arrived_s, group.number)
    if chosen is not None:
        tier = _burst_tier(group, queue, lengths, now_s, chosen)
        at_s = entry.arrived_s
        if entry.job.job in chosen:
            length_s = lengths_.of_job(lengths, entry)[group.number]
            left = time_left_s(group, queue, lengths, now_s)
            lead_s = BEGUN_LEAD_S if ledgers.has_begun(entry) else 0.0
            at_s = now_s + left - length_s - lead_s
        return (1, tier, queue.priority, at_s, group.number)
    tier = 0
    if entry.over_rate or is_too_late(entry, queue, lengths, now_s):
        tier = 2
    elif _is_late(group, queue, lengths, now_s):
        tier = 1
    return (1, queue.priority, tier, entry.arrived_s, group.number)


def _burst_tier(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
    chosen: collections.abc.Container[ids.JobId],
) -> Tier:
    """Return the tier of a step whose pool can't serve all that waits."""
    entry = group.entry
    if is_too_late(entry, queue, lengths, now_s):
        return Tier.TOO_LATE
    is_chosen = entry.job.job in chosen
    if entry.over_rate:
        return Tier.BEYOND_RATE_IN_TIME if is_chosen else Tier.BEYOND_RATE
    return Tier.IN_TIME if is_chosen else Tier.LATE


def _is_late(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
) -> bool:
    """Return whether a job would miss its objective if the step began now."""
    length_s = lengths_.of_job(lengths, group.entry)[group.number]
    left = time_left_s(group, queue, lengths, now_s)
    return left < LATENESS_MARGIN * length_s
