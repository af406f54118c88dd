"""Access to the platform's store over HTTP/1.1 (docs/PLATFORM.md)."""

import collections.abc
import dataclasses
import time
import urllib.parse

import curio
import msgspec
import prometheus_client

from oleanderwood import call_budget
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import store
from oleanderwood import store_client
from oleanderwood import traffic
from oleanderwood import verdict as verdicts

ATTEMPT_TIMEOUT_S = 1.5
"""How long one attempt may take; a watch may wait on top of it."""

CALLS_PER_S = 20.0
"""Calls a second of one daemon: 24 daemons stay below 500 a second."""

BURST_CALLS = 60.0
"""Calls at once after a rest, of a daemon of which one works at a time."""

ENTRY_BURST_CALLS = 10.0
"""The same for an entry: all of them may start at once."""

IDLE_S = 30.0
"""Connections idle for longer are closed, before the store does."""

MAX_VALUE_BYTES = 1 << 20


class _Granted(msgspec.Struct, frozen=True):
    lease: str


class _Renewed(msgspec.Struct, frozen=True):
    ttl_s: float


@dataclasses.dataclass
class _Pool:
    """Connections to the store, one per call in progress.

    :ivar idle: connections not in use, with the time of their last use
    :ivar turn: index of the address in use; moves on at each failure
    """

    addresses: tuple[ids.Address, ...]
    timeout_s: float
    count: traffic.Count = traffic.uncounted
    idle: list[tuple[http_client.Connection, float]] = dataclasses.field(
        default_factory=list
    )
    turn: int = 0


def connect(
    addresses: collections.abc.Sequence[ids.Address],
    registry: prometheus_client.CollectorRegistry | None = None,
    calls_per_s: float = CALLS_PER_S,
    timeout_s: float = ATTEMPT_TIMEOUT_S,
    timing: store_client.Timing | None = None,
    count: traffic.Count = traffic.uncounted,
    burst_calls: float = BURST_CALLS,
) -> store.Store:
    """Make a client of the store; connections open when needed.

    :param addresses: of the store's front ends; any may answer
    :param registry: takes the counters of calls
    :param timeout_s: of one attempt
    :param count: told of the bytes of each call
    :param burst_calls: calls that may be made at once after a rest
    """
    pool = _Pool(tuple(addresses), timeout_s, count)
    budget = call_budget.make(calls_per_s, burst_calls, time.monotonic())
    metrics = None
    if registry is not None:
        metrics = call_budget.metrics(registry)
    transport = _transport(pool)
    return store_client.make(transport, budget, metrics, timing)


def _transport(pool: _Pool) -> store_client.Transport:
    async def get(key):
        response = await _call(pool, 'GET', _path(key))
        return _item(key, response)

    async def watch(key, version, wait_s):
        target = _path(key, watch=version, wait_s=wait_s)
        response = await _call(pool, 'GET', target, extra_s=wait_s)
        if response.status == 304:
            raise TimeoutError(f'{key} stayed at version {version}')
        return _item(key, response)

    async def put(key, value, version, lease):
        extra = {} if lease is None else {'lease': lease}
        target = _path(key, version=version, **extra)
        response = await _call(pool, 'PUT', target, value)
        _expect(response, 200, key)
        return int(response.header('version') or 0)

    async def delete(key, version):
        target = _path(key, version=version)
        _expect(await _call(pool, 'DELETE', target), 204, key)

    async def grant(ttl_s):
        response = await _call(pool, 'POST', f'/v1/leases?ttl_s={ttl_s}')
        _expect(response, 200, 'lease')
        return _decoded(response, _Granted).lease

    async def keep_alive(lease):
        response = await _call(pool, 'POST', f'/v1/leases/{lease}')
        if response.status == 404:
            return 0.0
        _expect(response, 200, 'lease')
        return _decoded(response, _Renewed).ttl_s

    return store_client.Transport(get, put, delete, watch, grant, keep_alive)


def _path(key: str, **query: object) -> str:
    path = '/v1/keys/' + urllib.parse.quote(key, safe='/')
    if query:
        path += '?' + urllib.parse.urlencode(query)
    return path


def _item(key: str, response: http.Response) -> store.Item | None:
    if response.status == 404:
        return None
    _expect(response, 200, key)
    version = int(response.header('version') or 0)
    return store.Item(key, response.body, version)


def _expect(response: http.Response, status: int, what: str) -> None:
    """Check a status.

    :raises errors.StoreConflict: 404 or 409 to a write
    :raises errors.CallFailed: any other one, which proves nothing
    """
    if response.status == status:
        return
    if response.status in (404, 409):
        raise errors.StoreConflict(f'{what}: status {response.status}')
    raise errors.CallFailed(
        verdicts.Verdict.MAY_HAVE_RUN, f'{what}: status {response.status}'
    )


def _decoded(response: http.Response, kind: type) -> object:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, f'bad answer: {error}'
        ) from error


async def _call(
    pool: _Pool,
    method: str,
    target: str,
    body: bytes = b'',
    extra_s: float = 0.0,
) -> http.Response:
    """Make one attempt on a pooled connection; the body is whole."""
    connection = await _open(pool)
    done = False
    try:
        async with curio.timeout_after(pool.timeout_s + extra_s):
            response = await _exchange(connection, method, target, body)
        done = http_client.usable(connection)
        pool.count(
            traffic.request_bytes(connection.address, target, body),
            traffic.message_bytes(response.headers, response.body),
        )
        return response
    except curio.TaskTimeout as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN,
            f'{connection.address}: no answer in time',
        ) from error
    finally:
        if done:
            pool.idle.append((connection, time.monotonic()))
        else:
            pool.turn += 1
            await http.close(connection.sock)


async def _exchange(
    connection: http_client.Connection,
    method: str,
    target: str,
    body: bytes,
) -> http.Response:
    headers = [(b'host', connection.address.encode('ascii'))]
    response = await http_client.exchange(
        connection, method, target, headers, body
    )
    try:
        whole = await http.read_all(response.body, MAX_VALUE_BYTES + 65536)
    except ValueError as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, str(error)
        ) from error
    return http.Response(response.status, response.headers, whole)


async def _open(pool: _Pool) -> http_client.Connection:
    now_s = time.monotonic()
    while pool.idle:
        connection, used_s = pool.idle.pop()
        if now_s - used_s < IDLE_S:
            return connection
        await http.close(connection.sock)
    address = pool.addresses[pool.turn % len(pool.addresses)]
    try:
        return await http_client.connect(address, pool.timeout_s)
    except errors.CallFailed:
        pool.turn += 1
        raise
