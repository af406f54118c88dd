"""Access to the parts of an entry, put together.

A server for callers (:mod:`proxy`), the tasks that follow the store and
the peers (:mod:`follower`), a server for peers, and what the probes tell.
"""

import dataclasses
import functools
import random
import time
import typing
import uuid

import curio
import prometheus_client

from oleanderwood import config_state
from oleanderwood import dispatch
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import node as nodes
from oleanderwood import node_metrics
from oleanderwood import peer_grpc
from oleanderwood import permissions
from oleanderwood import platform_http
from oleanderwood import proxy as proxies
from oleanderwood import roster
from oleanderwood import store_http
from oleanderwood import traffic
from oleanderwood import upstreams
from oleanderwood import view as views

Mark = tuple[typing.Any, ...]


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings of one entry."""

    entry_id: ids.EntryId
    listen: ids.Address
    admin_listen: ids.Address
    peer_listen: ids.Address
    region: ids.Region
    data_centre: ids.DataCentre
    vm: ids.VmId
    store: tuple[ids.Address, ...]
    platform: ids.Address | None
    peers: tuple[ids.Address, ...]
    drain_notice_s: float
    max_connections: int


@dataclasses.dataclass
class Entry:
    """The parts of a running entry.

    :ivar mark: what the request path took over of the view last
    :ivar following: keeps the view up to date
    """

    settings: Settings
    registry: prometheus_client.CollectorRegistry
    node: nodes.Node
    proxy: proxies.Proxy
    server: http_server.Server
    peer_server: peer_grpc.Server
    peer_client: peer_grpc.Client
    mark: Mark = ()
    following: curio.Task | None = None


def create(wanted: Settings) -> Entry:
    """Bind all addresses and make the parts; :func:`run` starts them.

    :raises OSError: an address can't be bound
    """
    registry = prometheus_client.CollectorRegistry()
    rng = random.Random()
    counts = traffic.register(registry)
    peer_server = peer_grpc.listen(wanted.peer_listen, counts.peers)
    peer_client = peer_grpc.connect(counts.peers)
    member = roster.Member(
        entry=wanted.entry_id,
        incarnation=uuid.uuid4().hex[:12],
        region=wanted.region,
        data_centre=wanted.data_centre,
        vm=wanted.vm,
        peer=peer_server.address,
    )
    view = views.make(member)
    proxy = proxies.create(
        wanted.entry_id,
        member.incarnation,
        wanted.data_centre,
        _permissions(view),
        registry,
        rng,
    )
    node = nodes.make(
        _node_settings(wanted, proxy, rng, counts.platform),
        store_http.connect(
            wanted.store,
            registry,
            count=counts.store,
            burst_calls=store_http.ENTRY_BURST_CALLS,
        ),
        peer_grpc.calls(peer_client),
        view,
    )
    server = http_server.listen(
        wanted.listen, proxies.make_handler(proxy), wanted.max_connections
    )
    server.refusal_headers = proxies.REFUSAL_HEADERS
    node_metrics.attach(node, registry, proxy.path.invariants)
    entry = Entry(
        wanted, registry, node, proxy, server, peer_server, peer_client
    )
    proxy.refresh = functools.partial(take_over, entry)
    return entry


def _permissions(view: views.View) -> permissions.Permissions:
    return permissions.Permissions(
        may_send=functools.partial(views.may_send, view),
        begin=functools.partial(views.begin, view),
        end=functools.partial(views.end, view),
    )


def _node_settings(
    wanted: Settings,
    proxy: proxies.Proxy,
    rng: random.Random,
    count_platform: traffic.Count,
) -> nodes.Settings:
    state = proxy.tickets.state
    list_vms = None
    if wanted.platform is not None:
        platform = platform_http.connect(wanted.platform, count=count_platform)
        list_vms = platform.list_vms

    def take_loads(entry: ids.EntryId, loads: typing.Any) -> None:
        dispatch.set_peer_loads(state, entry, loads, time.monotonic())

    return nodes.Settings(
        seeds=wanted.peers,
        list_vms=list_vms,
        give_loads=functools.partial(dispatch.own_loads, state),
        take_loads=take_loads,
        rng=rng,
    )


def take_over(entry: Entry) -> None:
    """Bring the request path up to date with the view, if that changed."""
    view = entry.node.view
    now_s = time.monotonic()
    mark = _mark(view, now_s)
    if mark == entry.mark or view.config.content is None:
        return
    entry.mark = mark
    upstreams.take_over(entry.proxy, _facts(view, now_s), now_s)


def _may_serve(view: views.View, now_s: float) -> bool:
    return view.granted and not views.isolated(view, now_s)


def _mark(view: views.View, now_s: float) -> Mark:
    """Give what changes with anything that the request path takes over."""
    held = view.grants
    return (
        config_state.revision(view.config),
        view.roster.revision,
        held.listing_version,
        _may_serve(view, now_s),
        *[(name, shard.revision) for name, shard in held.shards.items()],
    )


def _facts(view: views.View, now_s: float) -> upstreams.Facts:
    region = view.member.region
    serving = functools.partial(views.serving, view)
    if not _may_serve(view, now_s):
        serving = _nothing
    return upstreams.Facts(
        content=view.config.content,
        region=region,
        entries={
            member.entry: member.data_centre
            for member in roster.in_region(view.roster, region)
        },
        data_centres={
            row.vm: shard.data_centre
            for shard in view.grants.shards.values()
            for row in shard.rows
        },
        serving=serving,
    )


def _nothing(pool: ids.PoolId) -> tuple[()]:
    return ()


def ready(entry: Entry) -> str:
    """Give '' if the entry may take callers' requests, else why not."""
    if entry.server.closing:
        return 'stopping'
    # What is ready must be so for the very next request.
    take_over(entry)
    return views.ready(entry.node.view, time.monotonic())


def dump(entry: Entry) -> dict[str, typing.Any]:
    """Give the state as plain data, for the state dump."""
    return {
        'listen': entry.server.address,
        'peer_listen': entry.peer_server.address,
        'open_connections': len(entry.server.connections),
        'membership': nodes.dump(entry.node),
        'request_path': proxies.dump(entry.proxy),
        'dispatch_breaches': dict(entry.proxy.tickets.state.breaches),
    }
