"""Report refused calls: all in metrics, a few a second in the log."""

import dataclasses

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import server_metrics
from oleanderwood.tenants import access

MAX_LINES_PER_S = 5
"""Log lines on refused calls; unknown callers may send thousands a second."""


@dataclasses.dataclass
class Denials:
    """Log lines of the current second.

    :ivar suppressed: refused calls that were not logged since the last log
        line
    """

    since_s: float = -1e9
    line_count: int = 0
    suppressed: int = 0


def record(
    denials: Denials, denied: access.Denied, method: str, job: str
) -> None:
    """Record a refused call; the credential itself is not logged."""
    server_metrics.DENIED.labels(denied.reason.name.lower()).inc()
    now_s = clock.now_s()
    if now_s - denials.since_s >= 1.0:
        denials.since_s = now_s
        denials.line_count = 0
    if denials.line_count >= MAX_LINES_PER_S:
        denials.suppressed += 1
        return
    denials.line_count += 1
    event_log.emit(
        'caller',
        'denied',
        job=job,
        method=method,
        why=denied.reason.value,
        tenant=denied.tenant,
        version=denied.version,
        untold=denials.suppressed,
    )
    denials.suppressed = 0
