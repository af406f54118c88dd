"""Access to the daemon ``oleander-entry``: the request path of one entry."""

import functools
import logging
import time

import curio

from oleanderwood import attempt
from oleanderwood import connections
from oleanderwood import daemon
from oleanderwood import entry_parts
from oleanderwood import follower
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import key_owner
from oleanderwood import membership
from oleanderwood import peer_answers
from oleanderwood import peer_grpc
from oleanderwood import settings
from oleanderwood import tickets
from oleanderwood import ticks
from oleanderwood import view as views

LOG = logging.getLogger('entry')

FOLLOW_S = 0.2
"""How often the request path looks for changes of the view."""

SWEEP_S = 1.0
"""How often idle connections to upstreams are looked through."""

RESIGN_TIMEOUT_S = 10.0
HAND_OVER_TIMEOUT_S = 5.0


async def run(entry: entry_parts.Entry) -> None:
    """Serve until SIGTERM or SIGINT, then stop in an orderly way."""
    stopping = await curio.spawn(daemon.until_stopped)
    tasks = await _start(entry)
    LOG.info('Callers are served on %s.', entry.server.address)
    print(f'listen {entry.server.address}', flush=True)
    try:
        await stopping.join()
        await stop(entry)
    finally:
        for task in reversed(tasks):
            await task.cancel()
        await connections.drop_idle(
            entry.proxy.path.connections, time.monotonic()
        )
        peer_grpc.close(entry.peer_client)
        await peer_grpc.stop(entry.peer_server)
    LOG.info('Stopped.')


async def _start(entry: entry_parts.Entry) -> list[curio.Task]:
    node = entry.node
    probes = daemon.Probes(
        dump=functools.partial(entry_parts.dump, entry),
        ready=functools.partial(entry_parts.ready, entry),
        registry=entry.registry,
    )
    listen = entry.settings.admin_listen
    handlers = peer_answers.handlers(node)
    entry.following = await curio.spawn(follower.run, node)
    return [
        await curio.spawn(daemon.serve_probes, listen, probes),
        await curio.spawn(peer_grpc.run, entry.peer_server, handlers),
        entry.following,
        await curio.spawn(_follow, entry),
        await curio.spawn(_sweep, entry),
        await curio.spawn(tickets.run, entry.proxy.tickets),
        await curio.spawn(http_server.run, entry.server),
    ]


async def _follow(entry: entry_parts.Entry) -> None:
    while True:
        entry_parts.take_over(entry)
        await _cut_if_due(entry)
        entry_parts.report_breaches(entry)
        await ticks.pause(FOLLOW_S)


async def _cut_if_due(entry: entry_parts.Entry) -> None:
    """Cut what is in flight once the entry was without contact for long."""
    if not views.must_cut(entry.node.view, time.monotonic()):
        return
    for exchange in list(entry.proxy.active.values()):
        LOG.warning('%s is cut: no contact.', exchange.request_id)
        await attempt.cut(exchange)


async def _sweep(entry: entry_parts.Entry) -> None:
    while True:
        await ticks.pause(SWEEP_S)
        since_s = time.monotonic() - connections.IDLE_S
        await connections.drop_idle(entry.proxy.path.connections, since_s)


async def stop(entry: entry_parts.Entry) -> None:
    """Stop without cutting a request: notice, drain, resignation.

    Not ready at once, so that the balancer sends no more; callers are
    still accepted until it has seen that.
    """
    http_server.retire(entry.server)
    await curio.sleep(entry.settings.drain_notice_s)
    await http_server.stop(entry.server)
    _check_drained(entry)
    LOG.info('The last request has its answer.')
    async with curio.ignore_after(HAND_OVER_TIMEOUT_S):
        await key_owner.leave(entry.node)
    # It would join again.
    await entry.following.cancel()
    async with curio.ignore_after(RESIGN_TIMEOUT_S):
        await membership.resign(entry.node)


def _check_drained(entry: entry_parts.Entry) -> None:
    """Report requests that a stop would cut."""
    left = len(entry.proxy.active)
    in_flight = entry.node.view.grants.in_flight.total()
    invariants.check(
        entry.proxy.path.invariants,
        not left and not in_flight,
        'stop-cuts-nothing',
        f'{left} requests left, {in_flight} in flight',
    )


APP = settings.application(
    'oleander-entry', 'Carry requests of callers to upstreams.'
)


@APP.default
def start(
    *,
    entry_id: str,
    region: str,
    data_centre: str,
    vm: str,
    store: settings.Many,
    listen: str = '127.0.0.1:0',
    admin_listen: str = '127.0.0.1:0',
    peer_listen: str = '127.0.0.1:0',
    platform: str = '',
    peer: settings.Many | None = None,
    drain_notice_s: float = 5.0,
    max_connections: int = http_server.MAX_CONNECTIONS,
    log_level: str = 'info',
) -> None:
    """Carry requests of callers to upstreams.

    :param entry_id: name of this process, unlike all others
    :param region: where this VM is
    :param data_centre: where this VM is
    :param vm: id of this VM in the platform's VM list
    :param store: addresses of the platform's store
    :param listen: address for callers
    :param admin_listen: address of probes, metrics and the state dump
    :param peer_listen: address for the other processes
    :param platform: address of the VM list; '' to do without it
    :param peer: peer addresses to ask while the store is down
    :param drain_notice_s: how long callers are accepted once stopping
    :param max_connections: callers' connections that are open at once
    :param log_level: debug, info, warning or error
    """
    peers = peer or []
    settings.validate(
        [
            settings.name('--entry-id', entry_id),
            settings.name('--region', region),
            settings.name('--data-centre', data_centre),
            settings.name('--vm', vm),
            *settings.addresses('--store', store),
            settings.address('--listen', listen),
            settings.address('--admin-listen', admin_listen),
            settings.address('--peer-listen', peer_listen),
            *settings.addresses('--platform', [platform] if platform else []),
            *settings.addresses('--peer', peers),
            settings.between('--drain-notice-s', drain_notice_s, 0, 600),
            settings.between('--max-connections', max_connections, 1, 100000),
            settings.log_level(log_level),
        ]
    )
    daemon.log_to_stderr(log_level)
    wanted = entry_parts.Settings(
        entry_id=ids.EntryId(entry_id),
        listen=ids.Address(listen),
        admin_listen=ids.Address(admin_listen),
        peer_listen=ids.Address(peer_listen),
        region=ids.Region(region),
        data_centre=ids.DataCentre(data_centre),
        vm=ids.VmId(vm),
        store=tuple(ids.Address(address) for address in store),
        platform=ids.Address(platform) if platform else None,
        peers=tuple(ids.Address(address) for address in peers),
        drain_notice_s=drain_notice_s,
        max_connections=max_connections,
    )
    curio.run(_main, wanted)


async def _main(wanted: entry_parts.Settings) -> None:
    await run(entry_parts.create(wanted))


def main() -> None:
    """Run the daemon."""
    settings.run(APP)


if __name__ == '__main__':
    main()
