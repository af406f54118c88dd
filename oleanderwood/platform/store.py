"""The platform's key-value store: items, ranges, watches, leases, writes."""

import base64
import dataclasses
import urllib.parse

import msgspec

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.platform import transport
from oleanderwood.web import connections

CALL_TIMEOUT_S = 1.5
"""Longest wait for an answer; a calm store takes 4 ms, a slow one 60 times
as long."""

PAGE_S = 20.0
"""Longest time for a page of a range, about 1 MB, that keeps arriving: a slow
link must not end the reading of a takeover."""

WATCH_SLACK_S = 1.0
"""How much longer than asked a watch may take before it counts as cut."""

MAX_WRITES = 32
"""Entries that one transaction takes: conditions, writes and removals."""


MAX_KEY_BYTES = 200
"""Longest key that the platform's store takes, in UTF-8."""


class Item(msgspec.Struct, frozen=True):
    """One value of the store; a removed one has no value.

    :ivar revision: the store's counter at the item's last change
    :ivar created: the store's counter when the key came into being
    """

    key: str
    value: bytes = b''
    revision: int = 0
    created: int = 0
    lease: int = 0
    removed: bool = False


class Items(msgspec.Struct, frozen=True):
    """Items, or changes of items, read at a revision of the store."""

    items: list[Item]
    revision: int


class Conflict(errors.OleanderError):
    """A condition of a transaction didn't hold; nothing was written.

    :ivar items: the items of the conditions as they are
    """

    def __init__(self, items: list[Item]) -> None:
        super().__init__(f'conflict on {[item.key for item in items]}')
        self.items = items


class HistoryLost(errors.OleanderError):
    """The changes since the revision asked for aren't kept any more."""


class LeaseEnded(errors.OleanderError):
    """The lease doesn't exist any more."""


@dataclasses.dataclass
class Store:
    """the store of one address."""

    address: ids.Address
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


class _WireItem(msgspec.Struct):
    key: str
    value: str | None = None
    revision: int = 0
    created: int = 0
    lease: int = 0
    removed: bool = False
    current_rev: int = 0


class _WireRange(msgspec.Struct):
    items: list[_WireItem] = []
    has_more: bool = False
    current_rev: int = 0


class _WireEvents(msgspec.Struct):
    events: list[_WireItem] = []
    current_rev: int = 0


class _WireConflict(msgspec.Struct):
    items: list[_WireItem] = []


class _WireWritten(msgspec.Struct):
    revision: int


class _WireLease(msgspec.Struct):
    lease: int
    ttl_ms: float


def _item(wire: _WireItem) -> Item:
    try:
        value = base64.b64decode(wire.value) if wire.value else b''
    except ValueError as error:
        raise transport.not_understood(error) from error
    gone = wire.removed or wire.value is None
    return Item(wire.key, value, wire.revision, wire.created, wire.lease, gone)


async def read(
    store: Store, key: str, timeout_s: float = CALL_TIMEOUT_S
) -> Item | None:
    """Read one item; None if there is none.

    :raises errors.CallFailed: the store didn't answer
    """
    query = urllib.parse.urlencode({'key': key})
    answer = await _call(store, 'GET', f'/kv-key?{query}', timeout_s=timeout_s)
    if answer.status == 404:
        return None
    return _item(_decoded(answer, _WireItem, 'read'))


async def read_range(
    store: Store, prefix: str, head_s: float = CALL_TIMEOUT_S
) -> Items:
    """Read all items below a prefix, page after page.

    The revision is that of the first page: a watch from there misses
    nothing.

    :param head_s: longest time until a page begins to arrive

    :raises errors.CallFailed: the store didn't answer
    """
    items: list[Item] = []
    after = ''
    revision = 0
    while True:
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        target = f'/kv-range?{urllib.parse.urlencode(query)}'
        answer = await _call(
            store, 'GET', target, whole_s=PAGE_S, head_s=head_s
        )
        page = _decoded(answer, _WireRange, 'range')
        revision = revision or page.current_rev
        items += [_item(wire) for wire in page.items]
        if not page.has_more or not page.items:
            return Items(items, revision)
        after = page.items[-1].key


async def watch(
    store: Store, prefix: str, revision: int, wait_s: float
) -> Items:
    """Wait for changes below a prefix after a revision.

    :raises HistoryLost: read the range anew
    :raises errors.CallFailed: the store didn't answer
    """
    query = urllib.parse.urlencode(
        {'prefix': prefix, 'after': revision, 'wait_ms': int(wait_s * 1000)}
    )
    answer = await _call(
        store, 'GET', f'/kv-watch?{query}', timeout_s=wait_s + WATCH_SLACK_S
    )
    if answer.status == 410:
        raise HistoryLost(prefix)
    events = _decoded(answer, _WireEvents, 'watch')
    items = [_item(wire) for wire in events.events]
    return Items(items, events.current_rev)


async def write(
    store: Store,
    conditions: dict[str, int],
    writes: dict[str, bytes],
    removed: tuple[str, ...] = (),
    leases: dict[str, int] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> int:
    """Write all or nothing; gives the store's revision.

    :param conditions: the revision each key must have; 0: no such key
    :param leases: for keys that end with a lease, its number
    :raises Conflict: a condition didn't hold
    :raises LeaseEnded: a lease doesn't exist
    :raises errors.CallFailed: with the verdict
    """
    leases = leases or {}
    body = {
        'precondition': [
            {'key': key, 'revision': revision}
            for key, revision in conditions.items()
        ],
        'writes': [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'lease': leases.get(key, 0),
            }
            for key, value in writes.items()
        ],
        'remove': list(removed),
    }
    encoded = msgspec.json.encode(body)
    answer = await _call(store, 'POST', '/kv-txn', encoded, timeout_s)
    if answer.status == 412:
        found = _decode(answer, _WireConflict)
        raise Conflict([_item(wire) for wire in found.items])
    if answer.status == 404:
        raise LeaseEnded(str(leases))
    return _decoded(answer, _WireWritten, 'write').revision


async def grant(
    store: Store, ttl_s: float, timeout_s: float = CALL_TIMEOUT_S
) -> int:
    """Take a new lease; gives its number.

    :raises errors.CallFailed: with the verdict
    """
    body = msgspec.json.encode({'ttl_ms': int(ttl_s * 1000)})
    answer = await _call(store, 'POST', '/kv-lease', body, timeout_s)
    return _decoded(answer, _WireLease, 'lease').lease


async def renew(store: Store, lease: int, timeout_s: float) -> None:
    """Renew a lease for its time.

    :raises LeaseEnded: it doesn't exist any more
    :raises errors.CallFailed: with the verdict
    """
    target = f'/kv-keep/{lease}'
    answer = await _call(store, 'POST', target, timeout_s=timeout_s)
    if answer.status == 404:
        raise LeaseEnded(str(lease))
    if answer.status != 200:
        raise transport.refused(answer, 'renewal')


async def end_lease(store: Store, lease: int) -> None:
    """End a lease; its keys go.

    :raises errors.CallFailed: with the verdict
    """
    await _call(store, 'DELETE', f'/kv-lease-end/{lease}', timeout_s=0.5)


async def _call(
    store: Store,
    method: str,
    target: str,
    body: bytes = b'',
    timeout_s: float = CALL_TIMEOUT_S,
    whole_s: float = 0.0,
    head_s: float = 0.0,
) -> transport.Answer:
    return await transport.call(
        store.kept,
        store.address,
        method,
        target,
        body,
        timeout_s=timeout_s,
        whole_s=whole_s,
        head_s=head_s,
    )


def _decoded(answer, kind, what):
    if answer.status != 200:
        raise transport.refused(answer, what)
    return _decode(answer, kind)


def _decode(answer, kind):
    return transport.decoded(answer, kind)
