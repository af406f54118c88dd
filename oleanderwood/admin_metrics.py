"""Access to the metrics of the administration API."""

import collections.abc
import dataclasses
import time

import prometheus_client

from oleanderwood import apply
from oleanderwood import http
from oleanderwood import rollout


@dataclasses.dataclass(frozen=True)
class Metrics:
    """What the API counts."""

    calls: prometheus_client.Counter
    seconds: prometheus_client.Histogram
    applies: prometheus_client.Counter
    in_force_seconds: prometheus_client.Histogram


def create(registry: prometheus_client.CollectorRegistry) -> Metrics:
    """Make the metrics of one process."""
    calls = prometheus_client.Counter(
        'oleander_admin_calls',
        'Calls of operators, by path and status.',
        ['path', 'status'],
        registry=registry,
    )
    seconds = prometheus_client.Histogram(
        'oleander_admin_call_seconds',
        'How long calls of operators took.',
        ['path'],
        registry=registry,
        buckets=(0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0),
    )
    applies = prometheus_client.Counter(
        'oleander_applies',
        'Applies of sound files, by outcome.',
        ['outcome'],
        registry=registry,
    )
    in_force_seconds = prometheus_client.Histogram(
        'oleander_apply_in_force_seconds',
        'Time from acceptance until all entries had it in force.',
        registry=registry,
        buckets=(0.03, 0.1, 0.3, 1.0, 2.0, 4.0, 8.0),
    )
    return Metrics(calls, seconds, applies, in_force_seconds)


def count_apply(metrics: Metrics, applied: apply.Applied) -> None:
    """Count an apply."""
    metrics.applies.labels(applied.outcome.value).inc()
    if applied.outcome is rollout.Outcome.ACCEPTED and not applied.missing:
        metrics.in_force_seconds.observe(applied.in_force_s)


def counted(
    metrics: Metrics,
    handler: http.Handler,
    clock: collections.abc.Callable[[], float] = time.monotonic,
) -> http.Handler:
    """Count a handler's calls; unknown paths are counted as one."""

    async def handle(request: http.Request) -> http.Response | None:
        started_s = clock()
        response = await handler(request)
        path = _path(request, response)
        metrics.calls.labels(path, str(response.status)).inc()
        metrics.seconds.labels(path).observe(clock() - started_s)
        return response

    return handle


def _path(request: http.Request, response: http.Response) -> str:
    if response.status == 404:
        return 'unknown'
    path = request.target.partition('?')[0]
    if path.startswith('/v1/waves/'):
        return '/v1/waves'
    return path
