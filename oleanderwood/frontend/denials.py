"""Telling of refused calls: counted all, logged a few a second."""

import dataclasses

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import server_metrics
from oleanderwood.tenants import access

LINES_A_SECOND = 5
"""Log lines on refused calls; strangers may send thousands a second."""


@dataclasses.dataclass
class Denials:
    """What was told in the present second.

    :ivar untold: refused calls without a line of their own since the last one
    """

    since_s: float = -1e9
    lines: int = 0
    untold: int = 0


def note(
    denials: Denials, denied: access.Denied, method: str, job: str
) -> None:
    """Note a refused call; what was shown as a key is told to nobody."""
    server_metrics.DENIED.labels(denied.reason.name.lower()).inc()
    now_s = clock.now_s()
    if now_s - denials.since_s >= 1.0:
        denials.since_s = now_s
        denials.lines = 0
    if denials.lines >= LINES_A_SECOND:
        denials.untold += 1
        return
    denials.lines += 1
    event_log.emit(
        'caller',
        'denied',
        job=job,
        method=method,
        why=denied.reason.value,
        tenant=denied.tenant,
        version=denied.version,
        untold=denials.untold,
    )
    denials.untold = 0
