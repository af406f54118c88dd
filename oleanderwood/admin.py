"""Access to the daemon `oleander-admin`: the administration API."""

import dataclasses
import functools
import logging
import os
import socket
import typing
import uuid

import curio
import prometheus_client

from oleanderwood import absence
from oleanderwood import admin_api
from oleanderwood import admin_metrics
from oleanderwood import daemon
from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import operators
from oleanderwood import peer
from oleanderwood import peer_grpc
from oleanderwood import platform_http
from oleanderwood import rollout_run
from oleanderwood import settings
from oleanderwood import store
from oleanderwood import store_http
from oleanderwood import traffic
from oleanderwood import upkeep
from oleanderwood import vm_listing

LOG = logging.getLogger('admin')

CALLS_PER_S = 20.0
"""Calls to the store a second, after a burst; an apply makes about 20."""


@dataclasses.dataclass(frozen=True)
class Limits:
    """How long an apply may take, and the least time of a reboot."""

    prepare_s: float
    commit_s: float
    fastest_cycle_s: float


def new_operation() -> ids.OperationId:
    """Make an operation id unlike all others."""
    return ids.OperationId(uuid.uuid4().hex)


def make_api(
    kept: store.Store,
    peers: peer.Peers,
    list_vms: vm_listing.ListVms,
    limits: Limits,
    token: str,
    registry: prometheus_client.CollectorRegistry,
) -> admin_api.Api:
    """Put the API together."""
    listing = vm_listing.Reader(list_vms)
    watcher = absence.Watcher(kept, peers, listing, absence.refuses)
    links = rollout_run.Links(
        kept=kept,
        peers=peers,
        gone=absence.prover(watcher),
        prepare_limit_s=limits.prepare_s,
        commit_limit_s=limits.commit_s,
    )
    breaches = invariants.create(registry)
    desk = operators.Desk(
        links,
        listing,
        new_operation,
        limits.fastest_cycle_s,
        report=functools.partial(invariants.report, breaches),
    )

    def dump() -> dict[str, typing.Any]:
        return {
            'process': os.getpid(),
            'host': socket.gethostname(),
            'vm_list_version': listing.newest.version,
            'vms': len(listing.newest.vms),
            'highest_revision': desk.highest,
            'parts_held': len(desk.held),
            'limits': dataclasses.asdict(limits),
            'invariants': invariants.dump(breaches),
        }

    return admin_api.Api(desk, token, dump)


def _upkeep(desk: operators.Desk) -> upkeep.Upkeep:
    stale_s = 2 * desk.links.prepare_limit_s + upkeep.SLACK_S
    return upkeep.Upkeep(desk.links.kept, desk.new_operation, stale_s)


async def serve(
    listen: ids.Address,
    probes_listen: ids.Address,
    api: admin_api.Api,
    registry: prometheus_client.CollectorRegistry,
) -> None:
    """Serve until a signal asks to stop; calls in progress are finished."""
    metrics = admin_metrics.create(registry)
    api.desk.applied = functools.partial(admin_metrics.count_apply, metrics)
    handler = admin_metrics.counted(metrics, admin_api.make_handler(api))
    await _serve(listen, probes_listen, api, handler, registry)


async def _serve(
    listen: ids.Address,
    probes_listen: ids.Address,
    api: admin_api.Api,
    handler: http.Handler,
    registry: prometheus_client.CollectorRegistry,
) -> None:
    server = http_server.listen(listen, handler)
    LOG.info('Operators are served on %s.', server.address)
    probes = daemon.Probes(api.dump, lambda: '', registry)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(http_server.run, server)
        await group.spawn(daemon.serve_probes, probes_listen, probes)
        await group.spawn(upkeep.run, _upkeep(api.desk))
        stopping = await group.spawn(daemon.until_stopped)
        await stopping.wait()
        await http_server.stop(server)
    LOG.info('Stopped.')


APP = settings.application(
    'oleander-admin', 'Serve the administration API to operators.'
)


@APP.default
def start(
    *,
    listen: str,
    admin_listen: str,
    store: settings.Many,
    platform: str,
    region: str,
    data_centre: str,
    token: str = '',
    prepare_limit_s: float = 20.0,
    commit_limit_s: float = 8.0,
    fastest_cycle_s: float = 60.0,
    log_level: str = 'info',
) -> None:
    """Serve the administration API to operators.

    :param listen: address for operators
    :param admin_listen: address of probes, metrics and the state dump
    :param store: addresses of the platform's store
    :param platform: address of the platform's other interfaces
    :param region: where this VM is
    :param data_centre: where this VM is
    :param token: what writing calls must bring; '' asks for none
    :param prepare_limit_s: how long entries may take to acknowledge
    :param commit_limit_s: how long a roll-out is followed once accepted
    :param fastest_cycle_s: least time from a VM's drain to its return
    :param log_level: debug, info, warning or error
    """
    settings.validate(
        [
            settings.address('--listen', listen),
            settings.address('--admin-listen', admin_listen),
            *settings.addresses('--store', store),
            settings.address('--platform', platform),
            settings.name('--region', region),
            settings.name('--data-centre', data_centre),
            settings.between('--prepare-limit-s', prepare_limit_s, 0.1, 600),
            settings.between('--commit-limit-s', commit_limit_s, 0.1, 600),
            settings.between('--fastest-cycle-s', fastest_cycle_s, 0, 86400),
            settings.log_level(log_level),
        ]
    )
    daemon.log_to_stderr(log_level)
    limits = Limits(prepare_limit_s, commit_limit_s, fastest_cycle_s)
    curio.run(
        _main,
        ids.Address(listen),
        ids.Address(admin_listen),
        [ids.Address(address) for address in store],
        ids.Address(platform),
        limits,
        token,
    )


async def _main(
    listen: ids.Address,
    probes_listen: ids.Address,
    stores: list[ids.Address],
    platform: ids.Address,
    limits: Limits,
    token: str,
) -> None:
    registry = prometheus_client.CollectorRegistry()
    counts = traffic.register(registry)
    kept = store_http.connect(
        stores,
        registry,
        calls_per_s=CALLS_PER_S,
        count=counts.store,
    )
    client = peer_grpc.connect(counts.peers)
    listing = platform_http.connect(platform, count=counts.platform)
    list_vms = listing.list_vms
    calls = peer_grpc.calls(client)
    api = make_api(kept, calls, list_vms, limits, token, registry)
    try:
        await serve(listen, probes_listen, api, registry)
    finally:
        peer_grpc.close(client)


def main() -> None:
    """Run the daemon."""
    settings.run(APP)


if __name__ == '__main__':
    main()
