"""Access to the metrics of an entry's control side."""

import collections
import dataclasses
import functools

import prometheus_client

from oleanderwood import config_state
from oleanderwood import invariants
from oleanderwood import neighbours
from oleanderwood import node as nodes
from oleanderwood import view as views


@dataclasses.dataclass
class Metrics:
    """What is exported; ``counted`` is what was already."""

    contact_age_s: prometheus_client.Gauge
    holds_grants: prometheus_client.Gauge
    config_revision: prometheus_client.Gauge
    staged: prometheus_client.Gauge
    shard_revision: prometheus_client.Gauge
    sponsored: prometheus_client.Gauge
    key_buckets: prometheus_client.Gauge
    refusals: prometheus_client.Counter
    invariants: invariants.Invariants
    counted: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def attach(
    node: nodes.Node,
    registry: prometheus_client.CollectorRegistry,
    broken: invariants.Invariants,
) -> None:
    """Export a node's state from now on.

    :param broken: takes the invariants that the view finds broken
    """

    def gauge(name: str, text: str, *labels: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f'oleander_{name}', text, labels, registry=registry
        )

    metrics = Metrics(
        contact_age_s=gauge('contact_age_seconds', 'Age of the last contact.'),
        holds_grants=gauge('holds_grants', '1 while new work may be sent.'),
        config_revision=gauge(
            'config_revision', 'Revision of the configuration in force.'
        ),
        staged=gauge('staged_revisions', 'Revisions of unknown outcome.'),
        shard_revision=gauge(
            'shard_revision', 'Revision followed.', 'data_centre'
        ),
        sponsored=gauge('sponsored', 'Entries sponsored by this one.'),
        key_buckets=gauge(
            'key_buckets', 'Buckets of idempotency keys owned by this one.'
        ),
        refusals=prometheus_client.Counter(
            'oleander_refused_revisions',
            'Offers of revisions lower than one already seen.',
            ['kind'],
            registry=registry,
        ),
        invariants=broken,
    )
    node.publish = functools.partial(publish, metrics, node)


def publish(metrics: Metrics, node: nodes.Node) -> None:
    """Bring the metrics up to date."""
    view = node.view
    now_s = nodes.now_s(node)
    holds = view.granted and not views.isolated(view, now_s)
    metrics.contact_age_s.set(now_s - view.contact_s)
    metrics.holds_grants.set(holds)
    metrics.config_revision.set(config_state.revision(view.config))
    metrics.staged.set(len(view.config.stages))
    for data_centre, shard in view.grants.shards.items():
        metrics.shard_revision.labels(data_centre).set(shard.revision)
    known = neighbours.sponsored(node.neighbours, now_s)
    metrics.sponsored.set(len(known))
    metrics.key_buckets.set(len(node.keys.ledger.held))
    for kind, number in view.counts.refusals.items():
        grown = _grown(metrics, f'refused {kind}', number)
        metrics.refusals.labels(kind).inc(grown)
    breaches = view.counts.breaches + node.keys.ledger.breaches
    for kind, number in breaches.items():
        for _ in range(_grown(metrics, kind, number)):
            name = kind.replace(' ', '-')
            invariants.report(metrics.invariants, name, 'in the view')


def _grown(metrics: Metrics, what: str, number: int) -> int:
    """Give by how much a count has grown since it was last asked for."""
    grown = number - metrics.counted[what]
    metrics.counted[what] = number
    return grown
