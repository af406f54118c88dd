"""Access to the upstreams of one service as one entry sees them."""

import collections.abc
import dataclasses

import msgspec

from oleanderwood import ejection
from oleanderwood import ids
from oleanderwood import routing

INITIAL_LATENCY_S = 0.1

LATENCY_WEIGHT = 0.05
"""Weight of one latency in the moving average of a service."""


class UpstreamRow(msgspec.Struct, frozen=True):
    """An upstream as the entry's grants and the configuration give it."""

    vm: ids.VmId
    epoch: ids.Epoch
    data_centre: ids.DataCentre
    slots: int
    connections: int


@dataclasses.dataclass
class UpstreamSet:
    """Upstreams, their health and this entry's requests there.

    :ivar by_vm: those that serve, and others while requests are there
    :ivar healths: of those that serve
    :ivar in_flight: this entry's requests at all of them
    :ivar latency_s: moving average of the answers
    """

    by_vm: dict[ids.VmId, routing.Upstream] = dataclasses.field(
        default_factory=dict
    )
    healths: dict[ids.VmId, ejection.Health] = dataclasses.field(
        default_factory=dict
    )
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S


def replace(
    upstreams: UpstreamSet, rows: collections.abc.Iterable[UpstreamRow]
) -> None:
    """Set which upstreams serve.

    A new epoch starts without the failures of the earlier one. Requests
    in flight at an upstream that is gone go on.
    """
    for upstream in upstreams.by_vm.values():
        upstream.serving = False
    for row in rows:
        upstream = upstreams.by_vm.get(row.vm)
        if upstream is None:
            upstream = routing.Upstream(
                row.vm, row.epoch, row.data_centre, row.slots, row.connections
            )
            upstreams.by_vm[row.vm] = upstream
        if row.vm not in upstreams.healths or upstream.epoch != row.epoch:
            upstreams.healths[row.vm] = ejection.Health()
        upstream.epoch = row.epoch
        upstream.data_centre = row.data_centre
        upstream.slots = row.slots
        upstream.connections = row.connections
        upstream.serving = True
    gone = [vm for vm, up in upstreams.by_vm.items() if not up.serving]
    for vm in gone:
        upstreams.healths.pop(vm, None)
        _forget_if_idle(upstreams, vm)


def serving(upstreams: UpstreamSet) -> list[routing.Upstream]:
    """List the upstreams that may get new work, the ejected included."""
    return [up for up in upstreams.by_vm.values() if up.serving]


def set_allowed(
    upstreams: collections.abc.Iterable[routing.Upstream],
    limit: routing.Limit,
    entries: int,
) -> None:
    """Set what one of some entries may have at each upstream."""
    for upstream in upstreams:
        upstream.allowed = min(
            limit(upstream, entries),
            routing.connection_limit(upstream.connections, entries),
        )


def candidates(upstreams: UpstreamSet, now_s: float) -> list[routing.Upstream]:
    """List the upstreams that may be used, with their limits set."""
    found = []
    for vm, health in upstreams.healths.items():
        upstream = upstreams.by_vm[vm]
        upstream.limit = upstream.allowed
        upstream.doubtful = False
        if not ejection.is_sound(health):
            upstream.doubtful = ejection.is_doubtful(health, now_s)
            upstream.limit = ejection.usable_slots(
                health, upstream.allowed, now_s
            )
        if upstream.limit:
            found.append(upstream)
    return found


def has_hope(
    upstreams: UpstreamSet,
    tried: collections.abc.Container[ids.VmId],
    now_s: float,
) -> bool:
    """Say whether an upstream is left whose last answer was good."""
    return any(
        vm not in tried
        and not ejection.is_ejected(health, now_s)
        and not ejection.is_doubtful(health, now_s)
        for vm, health in upstreams.healths.items()
    )


def enter(upstreams: UpstreamSet, upstream: routing.Upstream) -> bool:
    """Count a request in; say whether the upstream's limit was kept."""
    upstream.in_flight += 1
    upstreams.in_flight += 1
    return upstream.in_flight <= upstream.limit


def leave(upstreams: UpstreamSet, vm: ids.VmId) -> None:
    """Count a request out."""
    upstreams.in_flight -= 1
    upstreams.by_vm[vm].in_flight -= 1
    _forget_if_idle(upstreams, vm)


def answered(
    upstreams: UpstreamSet, vm: ids.VmId, latency_s: float, now_s: float
) -> None:
    """Learn from a good answer."""
    learn_latency(upstreams, latency_s)
    if vm in upstreams.healths:
        ejection.succeeded(upstreams.healths, vm, now_s)


def learn_latency(upstreams: UpstreamSet, latency_s: float) -> None:
    """Take one latency into the moving average."""
    change_s = latency_s - upstreams.latency_s
    upstreams.latency_s += LATENCY_WEIGHT * change_s


def failed(upstreams: UpstreamSet, vm: ids.VmId, now_s: float) -> None:
    """Learn from a failure that was the upstream's."""
    if vm in upstreams.healths:
        ejection.failed(upstreams.healths, vm, now_s)


def _forget_if_idle(upstreams: UpstreamSet, vm: ids.VmId) -> None:
    upstream = upstreams.by_vm[vm]
    if not upstream.serving and not upstream.in_flight:
        del upstreams.by_vm[vm]
