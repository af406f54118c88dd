"""Access to the controller's metrics."""

import dataclasses

import prometheus_client


@dataclasses.dataclass(frozen=True)
class Metrics:
    """What a controller counts and shows."""

    leads: prometheus_client.Gauge
    passes: prometheus_client.Counter
    pass_s: prometheus_client.Counter
    shard_writes: prometheus_client.Counter
    row_changes: prometheus_client.Counter
    platform_calls: prometheus_client.Counter
    rows: prometheus_client.Gauge
    blocked: prometheus_client.Gauge
    short: prometheus_client.Gauge
    spent_s: prometheus_client.Gauge


def create(registry: prometheus_client.CollectorRegistry) -> Metrics:
    """Make the metrics; once for each registry."""

    def counter(name: str, text: str, *labels: str):
        return prometheus_client.Counter(
            f'oleander_controller_{name}', text, labels, registry=registry
        )

    def gauge(name: str, text: str, *labels: str):
        return prometheus_client.Gauge(
            f'oleander_controller_{name}', text, labels, registry=registry
        )

    return Metrics(
        leads=gauge('leads', '1 while it leads its region.'),
        passes=counter('passes', 'Passes over the region.', 'outcome'),
        pass_s=counter('pass_cpu_seconds', 'Processor time of passes.'),
        shard_writes=counter('shard_writes', 'Writes of shards.'),
        row_changes=counter('row_changes', 'Changes of rows.', 'cause'),
        platform_calls=counter(
            'platform_calls', 'Calls to the platform.', 'name', 'outcome'
        ),
        rows=gauge('rows', 'VMs of the region.', 'state'),
        blocked=gauge('blocked_releases', 'VMs whose release is blocked.'),
        short=gauge('pool_short_vms', 'VMs below the pool size.', 'pool'),
        spent_s=gauge(
            'pool_unavailable_seconds',
            'VM-seconds below its size that a pool spent this quarter.',
            'pool',
        ),
    )
