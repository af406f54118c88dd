"""The platform's key-value store, as its published protocol tells."""

import base64
import dataclasses
import json
import urllib.parse

import curio

from emulator import virtual
from oleanderwood import clock
from oleanderwood.platform import transport

PAGE_ITEMS = 50
"""Items a page holds; smaller than the platform's 500, so that short runs
read several pages."""

MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 1 << 20
"""What is longer is refused."""

ANSWER_S = 0.004
"""Time that an answer takes."""


@dataclasses.dataclass
class Item:
    """One value with its history."""

    value: bytes
    revision: int
    created: int
    lease: int


@dataclasses.dataclass
class Lease:
    """A lease and when it ends."""

    ttl_s: float
    end_s: float


@dataclasses.dataclass
class Store:
    """The store and its troubles.

    :ivar down: '', or how it doesn't answer: ``busy`` or ``silent``
    :ivar lapses: leases run out while it is down
    :ivar refused: processes that it turns away with 503
    :ivar slow_s: time by which its answers are late
    :ivar floor: history up to this revision is lost
    :ivar largest: most entries that one transaction had
    """

    items: dict[str, Item] = dataclasses.field(default_factory=dict)
    revision: int = 100
    history: list[tuple[int, dict]] = dataclasses.field(default_factory=list)
    floor: int = 0
    leases: dict[int, Lease] = dataclasses.field(default_factory=dict)
    next_lease: int = 1
    down: str = ''
    lapses: bool = False
    refused: set[str] = dataclasses.field(default_factory=set)
    slow_s: float = 0.0
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)
    calls: int = 0
    largest: int = 0
    last_writer: str = ''


def make_handler(store: Store):
    """Make the handler of the store's address."""

    async def handle(source, method, target, body, headers):
        store.calls += 1
        if store.down == 'silent':
            await virtual.forever()
        if store.down == 'busy' or source in store.refused:
            return transport.Answer(503, b'')
        await curio.sleep(ANSWER_S + store.slow_s)
        if store.down:
            await virtual.forever()
        path, _, query = target.partition('?')
        asked = dict(urllib.parse.parse_qsl(query))
        if path == '/kv-watch':
            return await _watch(store, asked)
        return await _answer(store, source, method, path, asked, body)

    return handle


_ENTRIES = ('precondition', 'writes', 'remove')

MOST_ENTRIES = 32
"""Entries that a transaction may have, of all three kinds together."""


async def _answer(store, source, method, path, asked, body):
    if path == '/kv-key':
        item = store.items.get(asked['key'])
        if item is None:
            return transport.Answer(404, b'')
        row = row_of(asked['key'], item)
        row['current_rev'] = store.revision
        return _json(200, row)
    if path == '/kv-range':
        return _range(store, asked)
    if path == '/kv-txn':
        return await _transaction(store, source, json.loads(body))
    if path == '/kv-lease':
        ttl_s = json.loads(body)['ttl_ms'] / 1000
        number = store.next_lease
        store.next_lease += 1
        store.leases[number] = Lease(ttl_s, clock.now_s() + ttl_s)
        return _json(200, {'lease': number, 'ttl_ms': ttl_s * 1000})
    number = int(path.rpartition('/')[2])
    lease = store.leases.get(number)
    if lease is None:
        return transport.Answer(404, b'')
    if path.startswith('/kv-keep/'):
        lease.end_s = clock.now_s() + lease.ttl_s
        return _json(200, {'ttl_ms': lease.ttl_s * 1000})
    await end_lease(store, number)
    return _json(200, {})


def row_of(key: str, item: Item) -> dict:
    """Give an item as it goes over the wire."""
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def _json(status: int, value) -> transport.Answer:
    return transport.Answer(status, json.dumps(value).encode())


def _range(store, asked):
    keys = sorted(
        key
        for key in store.items
        if key.startswith(asked['prefix']) and key > asked.get('after', '')
    )
    page = keys[:PAGE_ITEMS]
    return _json(
        200,
        {
            'items': [row_of(key, store.items[key]) for key in page],
            'has_more': len(keys) > len(page),
            'current_rev': store.revision,
        },
    )


async def _watch(store, asked):
    after = int(asked['after'])
    end_s = clock.now_s() + int(asked['wait_ms']) / 1000
    while True:
        if after < store.floor:
            return transport.Answer(410, b'')
        events = [
            row
            for revision, row in store.history
            if revision > after and row['key'].startswith(asked['prefix'])
        ]
        left_s = end_s - clock.now_s()
        if events or left_s <= 0:
            value = {'events': events, 'current_rev': store.revision}
            return _json(200, value)
        async with curio.ignore_after(left_s):
            await store.changed.wait()
        if store.down:
            await virtual.forever()


def _too_long(asked) -> bool:
    keys = [row['key'] for row in asked['precondition'] + asked['writes']]
    longest = max((len(key.encode()) for key in keys), default=0)
    values = (len(row['value']) * 3 // 4 for row in asked['writes'])
    return longest > MAX_KEY_BYTES or max(values, default=0) > MAX_VALUE_BYTES


async def _transaction(store, source, asked):
    entries = sum(len(asked[kind]) for kind in _ENTRIES)
    store.largest = max(store.largest, entries)
    if entries > MOST_ENTRIES or _too_long(asked):
        return transport.Answer(400, b'')
    wrong = [
        row
        for row in asked['precondition']
        if _revision(store, row['key']) != row['revision']
    ]
    if wrong:
        found = [
            row_of(row['key'], store.items[row['key']])
            for row in asked['precondition']
            if row['key'] in store.items
        ]
        return _json(412, {'items': found})
    leases = {row.get('lease', 0) for row in asked['writes']} - {0}
    if leases - set(store.leases):
        return transport.Answer(404, b'')
    if asked['precondition']:
        store.last_writer = source
    store.revision += 1
    for row in asked['writes']:
        value = base64.b64decode(row['value'])
        await _set(store, row['key'], value, row.get('lease', 0))
    for key in asked['remove']:
        await _unset(store, key)
    return _json(200, {'revision': store.revision})


def _revision(store, key) -> int:
    item = store.items.get(key)
    return item.revision if item else 0


async def put(store: Store, key: str, value: bytes, lease: int = 0) -> None:
    """Write a value, as the operator or an executor does."""
    store.revision += 1
    await _set(store, key, value, lease)


async def _set(store: Store, key: str, value: bytes, lease: int) -> None:
    known = store.items.get(key)
    created = known.created if known else store.revision
    item = Item(value, store.revision, created, lease)
    store.items[key] = item
    await _note(store, row_of(key, item))


async def remove(store: Store, key: str) -> None:
    """Remove a key."""
    if key in store.items:
        store.revision += 1
        await _unset(store, key)


async def _unset(store: Store, key: str) -> None:
    if store.items.pop(key, None) is None:
        return
    row = {'key': key, 'revision': store.revision, 'removed': True}
    await _note(store, row)


async def _note(store, row) -> None:
    store.history.append((row['revision'], row))
    event, store.changed = store.changed, curio.Event()
    await event.set()


async def end_lease(store: Store, number: int) -> None:
    """End a lease; its keys go."""
    store.leases.pop(number, None)
    keys = [key for key, row in store.items.items() if row.lease == number]
    for key in keys:
        await remove(store, key)


async def run_leases(store: Store) -> None:
    """End leases whose time is over; most outages let none end."""
    while True:
        await curio.sleep(0.02)
        now_s = clock.now_s()
        if store.down and not store.lapses:
            for lease in store.leases.values():
                lease.end_s += 0.02
            continue
        for number, lease in list(store.leases.items()):
            if lease.end_s <= now_s:
                await end_lease(store, number)


def lose_history(store: Store) -> None:
    """Forget all changes."""
    store.floor = store.revision
    store.history.clear()
