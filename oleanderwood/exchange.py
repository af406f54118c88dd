"""Access to a caller's request on its way to its final answer."""

import dataclasses
import math

from oleanderwood import configuration
from oleanderwood import connections
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import permissions
from oleanderwood import verdict as verdicts


@dataclasses.dataclass
class Exchange:
    """One caller's request on its way to its final answer.

    :ivar kept_body: the body, if it is small and was read before
    :ivar length_bytes: the declared length of the body, None for chunked
    :ivar deadline_s: monotonic time of the caller's deadline
    :ivar attempts: verdicts of the attempts that ended
    :ivar key: the caller's idempotency key, None if it doesn't count
    :ivar sent: whether a byte may have gone to an upstream
    :ivar body_started: whether a streamed body was read from
    :ivar answering: whether bytes of the answer may have left
    :ivar connection: to the upstream, while an attempt uses it
    """

    request_id: str
    request: http.Request
    target: str
    service: configuration.Service
    arrived_s: float
    deadline_s: float = math.inf
    kept_body: bytes | None = None
    length_bytes: int | None = 0
    attempts: list[verdicts.Verdict] = dataclasses.field(default_factory=list)
    key: ids.RequestKey | None = None
    sent: bool = False
    body_started: bool = False
    answering: bool = False
    connection: http_client.Connection | None = None


@dataclasses.dataclass
class Path:
    """What all attempts of an entry share."""

    connections: connections.Connections
    permissions: permissions.Permissions
    invariants: invariants.Invariants


class TimedOut(errors.CallFailed):
    """The upstream's answer did not come in time.

    :ivar hurried: whether the caller's deadline ended it, before the time
        that the service allows an upstream
    """

    def __init__(
        self, verdict: verdicts.Verdict, reason: str, hurried: bool
    ) -> None:
        super().__init__(verdict, reason)
        self.hurried = hurried


class CallerFault(errors.OleanderError):
    """The caller's body can't be had; ``verdict`` says what was sent.

    :ivar message: what to tell the caller, None if it is gone
    """

    def __init__(
        self,
        verdict: verdicts.Verdict,
        message: errors.BadMessage | None,
    ) -> None:
        super().__init__(str(message or 'the caller is gone'))
        self.verdict = verdict
        self.message = message


def proven(
    path: Path, exchange: Exchange, verdict: verdicts.Verdict
) -> verdicts.Verdict:
    """Give a verdict, but ``NOT_RUN`` only if each attempt proved it."""
    not_run = verdicts.Verdict.NOT_RUN
    holds = verdict is not not_run or all(
        earlier is not_run for earlier in exchange.attempts
    )
    detail = f'{exchange.request_id} after {exchange.attempts}'
    name = 'not-run-is-proven'
    if invariants.check(path.invariants, holds, name, detail):
        return verdict
    return verdicts.Verdict.MAY_HAVE_RUN
