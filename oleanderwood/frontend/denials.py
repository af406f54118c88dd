"""Report refused calls: all in metrics, a few a second in the log."""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import log_limit
from oleanderwood import server_metrics
from oleanderwood.tenants import access

MAX_LINES_PER_S = 5
"""Log lines on refused calls; unknown callers may send thousands a second."""


def record(
    limit: log_limit.LineLimit,
    denied: access.Denied,
    method: str,
    job: str,
) -> None:
    """Record a refused call; the credential itself is not logged."""
    server_metrics.DENIED.labels(denied.reason.name.lower()).inc()
    if not log_limit.allows(limit, MAX_LINES_PER_S, clock.now_s()):
        return
    event_log.emit(
        'caller',
        'denied',
        job=job,
        method=method,
        why=denied.reason.value,
        tenant=denied.tenant,
        version=denied.version,
        untold=log_limit.take_suppressed(limit),
    )
