"""Access to a stand-in of the platform's store, as in docs/PLATFORM.md."""

import base64
import collections
import dataclasses
import itertools
import time
import urllib.parse

import curio
import cyclopts

from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import ids
from standins import faults
from standins import tally

MAX_VALUE_BYTES = 1 << 20
LEASE_POLL_S = 0.05
KEPT_PREFIXES = ('config/', 'shards/', 'roster', 'leader/')
"""Keys whose values the log keeps."""


@dataclasses.dataclass
class Cell:
    """A key's value, None once deleted; the version outlives it."""

    version: int = 0
    value: bytes | None = None
    lease: str = ''


@dataclasses.dataclass
class Lease:
    """A lease; a lapsed one is gone."""

    ttl_s: float
    until_s: float


@dataclasses.dataclass
class State:
    """All that the store holds.

    :ivar counts: calls by kind
    :ivar calls: calls by kind and time, with those that a fault dropped
    """

    control: faults.Control
    cells: dict[str, Cell] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(Cell)
    )
    leases: dict[str, Lease] = dataclasses.field(default_factory=dict)
    lease_numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )
    changed: curio.Condition = dataclasses.field(
        default_factory=curio.Condition
    )
    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    calls: tally.Tally = dataclasses.field(default_factory=tally.Tally)


def handler(state: State) -> http.Handler:
    """Make the handler of the store's calls."""

    async def handle(request: http.Request) -> http.Response:
        path = urllib.parse.unquote(request.target.partition('?')[0])
        if path == '/counts':
            return daemon.json_response(200, dict(state.counts))
        if path == '/counts/bins':
            return daemon.json_response(200, list(state.calls.bins.values()))
        if path.startswith('/v1/keys/'):
            return await _key(state, request, path.removeprefix('/v1/keys/'))
        if request.method == 'POST' and path == '/v1/leases':
            return _grant(state, request)
        if request.method == 'POST' and path.startswith('/v1/leases/'):
            return _renew(state, path.removeprefix('/v1/leases/'))
        raise errors.BadMessage(404, 'no such path')

    return handle


def kind_of(request: http.Request) -> str:
    """Name a call's kind as in ``State.counts``; '' for a control path."""
    path = request.target.partition('?')[0]
    if path == '/v1/leases':
        return 'grant'
    if path.startswith('/v1/leases/'):
        return 'renew'
    if not path.startswith('/v1/keys/'):
        return ''
    if request.method == 'GET' and 'watch' in faults.query(request):
        return 'watch'
    return request.method.lower()


async def _key(state: State, request: http.Request, key: str) -> http.Response:
    query = faults.query(request)
    if request.method == 'GET' and 'watch' in query:
        state.counts['watch'] += 1
        wait_s = float(query.get('wait_s', '10'))
        return await _watch(state, key, int(query['watch']), wait_s)
    if request.method == 'GET':
        state.counts['get'] += 1
        return _get(state, key)
    if request.method == 'PUT':
        state.counts['put'] += 1
        return await _put(state, request, key, query)
    if request.method == 'DELETE':
        state.counts['delete'] += 1
        return await _delete(state, key, int(query['version']))
    raise errors.BadMessage(405, 'no such method')


def _get(state: State, key: str) -> http.Response:
    cell = state.cells[key]
    if cell.value is None:
        return http.Response(404, [], b'')
    headers = [(b'version', b'%d' % cell.version)]
    return http.Response(200, headers, cell.value)


def _version(cell: Cell) -> int:
    return 0 if cell.value is None else cell.version


async def _watch(
    state: State, key: str, known: int, wait_s: float
) -> http.Response:
    async with curio.ignore_after(wait_s):
        async with state.changed:
            while _version(state.cells[key]) == known:
                await state.changed.wait()
                if state.control.faults.down:
                    raise ConnectionResetError('went down')
    if _version(state.cells[key]) == known:
        return http.Response(304, [], b'')
    return _get(state, key)


async def _put(
    state: State, request: http.Request, key: str, query: dict[str, str]
) -> http.Response:
    try:
        value = await http.read_all(request.body, MAX_VALUE_BYTES)
    except ValueError as error:
        raise errors.BadMessage(413, str(error)) from error
    lease = query.get('lease', '')
    if lease and lease not in state.leases:
        return http.Response(409, [], b'lease lapsed')
    if _version(state.cells[key]) != int(query['version']):
        return http.Response(409, [], b'other version')
    await _set(state, key, value, lease)
    return _written(state, key)


def _written(state: State, key: str) -> http.Response:
    headers = [(b'version', b'%d' % state.cells[key].version)]
    return http.Response(200, headers, b'')


async def _set(
    state: State, key: str, value: bytes | None, lease: str
) -> None:
    cell = state.cells[key]
    cell.version += 1
    cell.value = value
    cell.lease = lease
    _log(state, key, cell)
    async with state.changed:
        await state.changed.notify_all()


def _log(state: State, key: str, cell: Cell) -> None:
    if not key.startswith(KEPT_PREFIXES):
        return
    text = None
    if cell.value is not None:
        text = base64.b64encode(cell.value).decode('ascii')
    faults.record(
        state.control, kind='write', key=key, version=cell.version, value=text
    )


async def _delete(state: State, key: str, version: int) -> http.Response:
    cell = state.cells[key]
    if cell.value is None:
        return http.Response(404, [], b'')
    if cell.version != version:
        return http.Response(409, [], b'other version')
    await _set(state, key, None, '')
    return http.Response(204, [], b'')


def _grant(state: State, request: http.Request) -> http.Response:
    state.counts['grant'] += 1
    ttl_s = float(faults.query(request)['ttl_s'])
    lease = f'lease-{next(state.lease_numbers)}'
    state.leases[lease] = Lease(ttl_s, time.monotonic() + ttl_s)
    return daemon.json_response(200, {'lease': lease})


def _renew(state: State, lease: str) -> http.Response:
    state.counts['renew'] += 1
    held = state.leases.get(lease)
    if held is None:
        return http.Response(404, [], b'')
    held.until_s = time.monotonic() + held.ttl_s
    return daemon.json_response(200, {'ttl_s': held.ttl_s})


async def lapse(state: State) -> None:
    """Delete the keys of lapsed leases, until cancelled.

    Watches that wait are woken while the store is down, which cuts them.
    """
    while True:
        if state.control.faults.down:
            async with state.changed:
                await state.changed.notify_all()
        now_s = time.monotonic()
        late = [n for n, held in state.leases.items() if held.until_s < now_s]
        for name in late:
            del state.leases[name]
        for key, cell in list(state.cells.items()):
            if cell.lease in late and cell.value is not None:
                await _set(state, key, None, '')
        await curio.sleep(LEASE_POLL_S)


async def run(listen: ids.Address) -> None:
    """Serve a store until a signal."""
    state = State(faults.Control())
    await curio.spawn(lapse, state, daemon=True)

    def observe(inner: http.Handler) -> http.Handler:
        return tally.observed(state.calls, kind_of, inner)

    await faults.serve(listen, state.control, handler(state), observe)


def main(*, listen: str = '127.0.0.1:0') -> None:
    """Run a stand-in of the store."""
    curio.run(run, ids.Address(listen))


if __name__ == '__main__':
    cyclopts.run(main)
