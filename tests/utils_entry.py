"""Builders of test data for the request path."""

import collections
import dataclasses
import random
import typing

import curio
import h11
import prometheus_client

from oleanderwood import configuration
from oleanderwood import connections
from oleanderwood import dispatch
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import permissions
from oleanderwood import proxy as proxies
from oleanderwood import request_headers
from oleanderwood import tickets
from oleanderwood import upstreams

EPOCH = ids.Epoch(3)
TEAM = 'crew'


@dataclasses.dataclass
class World:
    """An entry between a test and its upstreams.

    :ivar allowed: whether the permissions let requests be sent
    :ivar in_flight: requests by VM and epoch, as the permissions count them
    """

    proxy: proxies.Proxy = None
    server: http_server.Server = None
    upstreams: list[http_server.Server] = dataclasses.field(
        default_factory=list
    )
    allowed: bool = True
    in_flight: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    tasks: list[curio.Task] = dataclasses.field(default_factory=list)


def service(**changes: typing.Any) -> configuration.Service:
    """Make a service at ``/s`` that isn't idempotent."""
    fields = {'name': 's', 'path_prefix': '/s', 'timeout_s': 5.0, **changes}
    return configuration.Service(**fields)


def row(number: int, address: str) -> fleet.VmRow:
    """Make the row of a serving VM."""
    return fleet.VmRow(
        vm=ids.VmId(f'vm-{number}'),
        pool=ids.PoolId('p'),
        state=fleet.VmState.SERVING,
        epoch=EPOCH,
        rack=ids.Rack('r'),
        address=ids.Address(address),
    )


def fake_permissions(world: World) -> permissions.Permissions:
    """Make permissions that obey the world's ``allowed``."""

    def count(step: int) -> permissions.Count:
        def change(vm: ids.VmId, epoch: ids.Epoch) -> None:
            world.in_flight[vm, epoch] += step

        return change

    return permissions.Permissions(
        may_send=lambda vm, epoch, now_s: world.allowed,
        begin=count(1),
        end=count(-1),
    )


def make_proxy(
    world: World, served: configuration.Service, addresses: list[str]
) -> proxies.Proxy:
    """Make a request path whose upstreams are at the addresses."""
    rows = [row(number, address) for number, address in enumerate(addresses)]
    proxy = proxies.create(
        ids.EntryId('e'),
        '1',
        ids.DataCentre('a'),
        fake_permissions(world),
        prometheus_client.CollectorRegistry(),
        random.Random(1),
    )
    upstreams.take_over(proxy, facts(served, rows), 0.0)
    return proxy


def facts(
    served: configuration.Service, rows: list[fleet.VmRow]
) -> upstreams.Facts:
    """Make facts with one service, one pool and one team."""
    pool = configuration.Pool(
        name='p',
        service=served.name,
        region='r',
        data_centres=('a',),
        size=1,
        min_up=0,
    )
    team = configuration.Team(name=TEAM, requests_per_s=1e6)
    return upstreams.Facts(
        content=configuration.Configuration(
            pools=(pool,), services=(served,), teams=(team,)
        ),
        region=ids.Region('r'),
        entries={ids.EntryId('e'): ids.DataCentre('a')},
        data_centres={r.vm: ids.DataCentre('a') for r in rows},
        serving=lambda pool: tuple(rows),
    )


async def _serve(
    world: World, handler: http.Handler, **changes: typing.Any
) -> http_server.Server:
    server = http_server.listen(ids.Address('127.0.0.1:0'), handler, **changes)
    world.tasks.append(await curio.spawn(http_server.run, server))
    return server


async def raw_upstream(world: World, talk: typing.Any) -> str:
    """Serve connections with a coroutine function of the socket."""
    sock = curio.socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(16)

    async def one(client: typing.Any) -> None:
        try:
            await talk(client)
        finally:
            await client.close()

    async def accept() -> None:
        while True:
            client, _ = await sock.accept()
            world.tasks.append(await curio.spawn(one, client))

    world.tasks.append(await curio.spawn(accept))
    return '{}:{}'.format(*sock.getsockname())


async def _run(
    served: configuration.Service,
    handlers: list[typing.Any],
    use: typing.Any,
    raw: bool,
) -> tuple[World, typing.Any]:
    world = World()
    addresses = []
    for handler in handlers:
        if raw:
            addresses.append(await raw_upstream(world, handler))
        else:
            server = await _serve(world, handler)
            world.upstreams.append(server)
            addresses.append(server.address)
    world.proxy = make_proxy(world, served, addresses)
    world.server = await _serve(world, proxies.make_handler(world.proxy))
    world.server.refusal_headers = proxies.REFUSAL_HEADERS
    world.tasks.append(await curio.spawn(tickets.run, world.proxy.tickets))
    try:
        result = await use(world)
        await settled(world)
    finally:
        for task in world.tasks:
            await task.cancel()
        await connections.drop_idle(world.proxy.path.connections, 1e18)
    return world, result


async def settled(world: World) -> None:
    """Wait, for a bounded time, until nothing is in flight."""
    for _ in range(200):
        if not world.proxy.active:
            return
        await curio.sleep(0.01)


def run(
    use: typing.Any,
    *handlers: typing.Any,
    raw: bool = False,
    **changes: typing.Any,
) -> typing.Any:
    """Run a test against an entry, and check what must hold after it.

    :param use: coroutine function of the :class:`World`
    :param handlers: one for each upstream
    :param raw: whether they talk on sockets
    :param changes: to the service
    """
    world, result = curio.run(
        _run, service(**changes), list(handlers), use, raw
    )
    assert not world.proxy.active
    assert not any(world.in_flight.values()), world.in_flight
    state = world.proxy.tickets.state
    assert not state.requests and not world.proxy.tickets.active
    assert not +state.breaches, state.breaches
    assert not world.proxy.path.invariants.recent
    assert not world.proxy.path.connections.opened
    assert dispatch.is_idle(state)
    return result


def team_headers(*more: tuple[bytes, bytes]) -> http.Headers:
    """Make the headers of a caller with a quota."""
    return [(request_headers.TEAM, TEAM.encode()), *more]


def chunked_request(target: str) -> h11.Request:
    """Make the head of a request whose body is of unknown length."""
    headers = [(b'host', b'a'), (b'transfer-encoding', b'chunked')]
    return h11.Request(
        method='POST', target=target, headers=team_headers(*headers)
    )
