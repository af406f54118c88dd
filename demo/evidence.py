"""Access to what callers, upstreams, store and platform saw of a run.

Nothing here comes from the daemons' own counters or dumps. The store's
values are decoded without the code that wrote them.
"""

import base64
import collections.abc
import dataclasses
import typing
import zlib

import msgspec

from demo import callers
from oleanderwood import http_client
from oleanderwood import ids

SERVING = 'serving'
SHARD_PREFIX = 'shards/'
HEAD_KEY = 'config/head'


class UpstreamRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its upstream saw it; times are monotonic.

    :ivar ran: whether its effect was made
    :ivar sent: whether its answer was sent to the end
    """

    at_s: float
    vm: str
    nonce: str
    pool: str
    epoch: str
    ran: bool
    sent: bool
    in_flight: int
    request: str = ''
    body_sha256: str = ''
    end_s: float = 0.0


class StoreWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A write of the store; ``value`` is base64, None for a deletion."""

    at_s: float
    key: str
    version: int
    value: str | None


class PlatformEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An order that the platform took, or something that befell a VM."""

    at_s: float
    kind: str
    vm: str = ''
    in_flight: int = 0
    task: str = ''
    epoch: int = 0
    running_on: str = ''
    healthy: bool = True


class Probe(msgspec.Struct, frozen=True):
    """The configuration that one entry was seen to follow."""

    start_s: float
    end_s: float
    entry: str
    revision: int


class Row(msgspec.Struct, frozen=True):
    """A VM's row as the store had it."""

    pool: str
    state: str
    epoch: int


@dataclasses.dataclass
class Evidence:
    """All that was seen of one deployment.

    :ivar min_up: per pool, VMs that must serve
    :ivar leaving_s: how long after a VM began to leave new work may come
    :ivar in_force_s: how long an accepted configuration may take
    """

    attempts: list[callers.Attempt] = dataclasses.field(default_factory=list)
    requests: list[UpstreamRequest] = dataclasses.field(default_factory=list)
    writes: list[StoreWrite] = dataclasses.field(default_factory=list)
    events: list[PlatformEvent] = dataclasses.field(default_factory=list)
    probes: list[Probe] = dataclasses.field(default_factory=list)
    min_up: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving_s: float = 8.0
    in_force_s: float = 8.0


async def fetch_log(
    address: ids.Address, kind: type[msgspec.Struct]
) -> list[typing.Any]:
    """Read a stand-in's whole log, page by page."""
    entries: list[typing.Any] = []
    start = 0
    while True:
        answer = await http_client.call(
            address, 'GET', f'/log?since={start}', timeout_s=10.0
        )
        page = msgspec.json.decode(answer.body)
        if not page['entries']:
            return entries
        entries += msgspec.convert(page['entries'], list[kind])
        start = page['next']


def body_of(write: StoreWrite) -> typing.Any:
    """Decode a write's value to plain data, None for a deletion."""
    if write.value is None:
        return None
    _, body = msgspec.msgpack.decode(base64.b64decode(write.value))
    return msgspec.msgpack.decode(zlib.decompress(body))


def rows_of(write: StoreWrite) -> dict[str, Row]:
    """Decode a shard's rows by VM."""
    shard = body_of(write) or {'rows': []}
    return {row[0]: Row(row[1], row[2], row[3]) for row in shard['rows']}


@dataclasses.dataclass
class Fleet:
    """All rows at one moment, by data centre and VM."""

    shards: dict[str, dict[str, Row]] = dataclasses.field(default_factory=dict)


def fleets(
    writes: collections.abc.Iterable[StoreWrite],
) -> collections.abc.Iterator[tuple[StoreWrite, Fleet, Fleet]]:
    """Give for each write of a shard the fleet before and after it."""
    before = Fleet()
    for write in writes:
        if not write.key.startswith(SHARD_PREFIX):
            continue
        after = Fleet({**before.shards, write.key: rows_of(write)})
        yield write, before, after
        before = after


@dataclasses.dataclass(frozen=True)
class Stay:
    """A row's time in one state; ``end_s`` is infinite for the last."""

    row: Row
    start_s: float
    end_s: float


def stays(
    writes: collections.abc.Iterable[StoreWrite],
) -> dict[str, list[Stay]]:
    """Give each VM's rows over time."""
    changes: dict[str, list[tuple[float, Row | None]]] = {}
    for write, before, after in fleets(writes):
        known = before.shards.get(write.key, {})
        now = after.shards[write.key]
        for vm in known.keys() | now.keys():
            if known.get(vm) != now.get(vm):
                changes.setdefault(vm, []).append((write.at_s, now.get(vm)))
    return {vm: _stays(of_vm) for vm, of_vm in changes.items()}


def _stays(changes: list[tuple[float, Row | None]]) -> list[Stay]:
    ends = [at_s for at_s, _ in changes[1:]] + [float('inf')]
    return [
        Stay(row, start_s, end_s)
        for (start_s, row), end_s in zip(changes, ends)
        if row is not None
    ]
