"""Access to the requests of callers, as the decisions see them."""

import dataclasses
import math
import random

import msgspec

from oleanderwood import admission
from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import verdict as verdicts

STATUS_NO_SERVICE = 404
STATUS_OVER_QUOTA = 429
STATUS_UNAVAILABLE = 503
STATUS_LATE = 504

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
RETRY_AFTER_SPREAD = 1.5
"""Callers are told up to this much more, so that they don't come at once."""


class Ask(msgspec.Struct, frozen=True):
    """A caller's request.

    :ivar ticket: the entry's number for it, never used twice
    :ivar deadline_s: when the answer is due, on the clock of ``now_s``
    """

    ticket: int
    service: ids.ServiceId
    team: ids.TeamId
    priority: configuration.Priority
    deadline_s: float
    idempotent: bool


class Outcome(msgspec.Struct, frozen=True):
    """How one attempt ended.

    :ivar status: the upstream's status, 0 for none
    :ivar latency_s: from the start of the attempt
    :ivar repeatable: whether the request is still there to be sent again
    :ivar upstream_failed: whether a failure was the upstream's
    """

    verdict: verdicts.Verdict
    status: int
    latency_s: float
    repeatable: bool = True
    upstream_failed: bool = True


class Start(msgspec.Struct, frozen=True):
    """Send the request to an upstream."""

    ticket: int
    upstream: ids.VmId


class Refuse(msgspec.Struct, frozen=True):
    """Give the caller this final answer; the ticket is done with.

    :ivar retry_after_s: 0.0 when a repeat makes no sense
    """

    ticket: int
    status: int
    reason: str
    verdict: verdicts.Verdict
    retry_after_s: float


Decision = Start | Refuse


@dataclasses.dataclass
class Request:
    """A request between its arrival and its final answer.

    :ivar upstream: where it runs, ``None`` while it waits
    :ivar verdict: what is known of the attempts that ended
    :ivar tried: where it was sent
    """

    ask: Ask
    waiting: admission.Waiting | None = None
    upstream: ids.VmId | None = None
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    attempts: int = 0
    tried: set[ids.VmId] = dataclasses.field(default_factory=set)


def refuse_for_good(
    ask: Ask,
    status: int,
    reason: str,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
) -> Refuse:
    """Make the final answer of a request that makes no sense to repeat."""
    return Refuse(ask.ticket, status, reason, verdict, 0.0)


def refuse_for_now(
    request: Request,
    status: int,
    reason: str,
    after_s: float,
    rng: random.Random,
) -> Refuse:
    """Make the final answer of a request that may be repeated later.

    :param after_s: when the repeat would be admitted, as things stand
    """
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s))
    spread_s = bounded_s * rng.uniform(1.0, RETRY_AFTER_SPREAD)
    return Refuse(
        request.ask.ticket,
        status,
        reason,
        request.verdict,
        float(math.ceil(spread_s)),
    )
