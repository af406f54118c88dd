"""Access to the upstreams that requests may go to, as the view has them.

Takes over configuration, entries and VMs into the dispatcher's state and
the routes, whenever one of them changed.
"""

import collections
import collections.abc
import dataclasses

from oleanderwood import configuration
from oleanderwood import dispatch
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import proxy as proxies
from oleanderwood import routes

Serving = collections.abc.Callable[[ids.PoolId], tuple[fleet.VmRow, ...]]


@dataclasses.dataclass(frozen=True)
class Facts:
    """What the request path needs to know of the world.

    :ivar region: the entry's own
    :ivar entries: those that share the region's upstreams, and where
    :ivar data_centres: where the VMs are
    :ivar serving: gives the rows of a pool's VMs that may get new work
    """

    content: configuration.Configuration
    region: ids.Region
    entries: dict[ids.EntryId, ids.DataCentre]
    data_centres: dict[ids.VmId, ids.DataCentre]
    serving: Serving


def take_over(proxy: proxies.Proxy, facts: Facts, now_s: float) -> None:
    """Bring the request path up to date; only what changed is set."""
    state = proxy.tickets.state
    if facts.content != proxy.content:
        dispatch.set_configuration(state, facts.content, now_s)
        proxy.table = routes.make(facts.content.services)
        proxy.content = facts.content
        proxy.upstreams = {}
    if facts.entries != proxy.entries:
        dispatch.set_entries(state, facts.entries, now_s)
        proxy.entries = facts.entries
    by_service = _rows_by_service(facts)
    proxy.rows = {row.vm: row for rows in by_service.values() for row in rows}
    for service in facts.content.services:
        rows = tuple(
            _upstream(service, row, facts.data_centres)
            for row in by_service.get(service.name, ())
        )
        if rows != proxy.upstreams.get(service.name):
            name = ids.ServiceId(service.name)
            dispatch.set_upstreams(state, name, rows, now_s)
            proxy.upstreams[service.name] = rows


def _rows_by_service(facts: Facts) -> dict[str, list[fleet.VmRow]]:
    found = collections.defaultdict(list)
    for pool in facts.content.pools:
        if pool.region == facts.region:
            found[pool.service].extend(facts.serving(ids.PoolId(pool.name)))
    return found


def _upstream(
    service: configuration.Service,
    row: fleet.VmRow,
    data_centres: dict[ids.VmId, ids.DataCentre],
) -> dispatch.UpstreamRow:
    return dispatch.UpstreamRow(
        vm=row.vm,
        epoch=row.epoch,
        data_centre=data_centres.get(row.vm, ids.DataCentre('')),
        slots=service.slots,
        connections=service.connections,
    )
