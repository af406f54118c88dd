"""Access to the metrics of the request path."""

import dataclasses
import functools

import prometheus_client

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

UNROUTED = '-'
"""Service label of requests that no route takes."""


@dataclasses.dataclass(frozen=True)
class Metrics:
    """The metrics of one entry."""

    requests: prometheus_client.Counter
    refused: prometheus_client.Counter
    attempts: prometheus_client.Counter
    abandoned: prometheus_client.Counter
    claims: prometheus_client.Counter
    in_flight: prometheus_client.Gauge
    latency: prometheus_client.Histogram


def create(registry: prometheus_client.CollectorRegistry) -> Metrics:
    """Make the metrics of a process; once for each registry."""
    counter = functools.partial(prometheus_client.Counter, registry=registry)
    return Metrics(
        requests=counter(
            'oleander_requests',
            'Requests that got a final answer.',
            ['service', 'verdict'],
        ),
        refused=counter(
            'oleander_refused',
            'Requests that were refused or failed.',
            ['service', 'reason'],
        ),
        attempts=counter(
            'oleander_attempts',
            'Attempts at upstreams.',
            ['service', 'verdict'],
        ),
        abandoned=counter(
            'oleander_abandoned',
            'Requests whose caller left or whose answer was cut.',
            ['service'],
        ),
        claims=counter(
            'oleander_idempotency_claims',
            'Requests with an idempotency key, by what its owner said.',
            ['service', 'outcome'],
        ),
        in_flight=prometheus_client.Gauge(
            'oleander_in_flight',
            'Requests between arrival and final answer.',
            registry=registry,
        ),
        latency=prometheus_client.Histogram(
            'oleander_latency_seconds',
            'Time from arrival to the end of the answer.',
            ['service'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        ),
    )
