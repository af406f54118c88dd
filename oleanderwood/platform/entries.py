"""The executors' entries in the store, checked field by field.

Whatever is wrong with one is a :class:`oleanderwood.pools.entries.BadEntry`.
"""

import re
import typing

import msgspec

from oleanderwood import codec
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.platform import executors
from oleanderwood.pools import entries
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports

MAX_ENTRY_BYTES = 64 << 10
"""Longest entry that is read; real ones have 300 bytes."""

MAX_NAME = 100
"""Longest name of a zone, version, machine or label, in bytes; real ones have
ten. The workers of a pool have to fit one value of the store together."""

MAX_SERVICE = 1000
"""Longest name of a service, in bytes; the platform gives no bound."""

MAX_LABELS = 8
"""Labels of one executor, which has two: its kind and its rack."""

MAX_AMOUNT = 10**9
"""Most of a resource, in its own unit; jobs can't ask for more either."""

STATES = ('ready', 'draining')

_ID = re.compile(r'[!-.0-~]{1,192}')
"""Text that can be sent as a header: printable ASCII without a slash."""

_ADDRESS = re.compile(
    r'(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):([1-9]\d{0,4})', re.ASCII
)

_Amount = typing.Annotated[int, msgspec.Meta(ge=0)]
_Time = typing.Annotated[float, msgspec.Meta(ge=0)]


class _WireCapacity(msgspec.Struct):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _WireEntry(msgspec.Struct):
    # Machines are named only where they can be moved or maintained.
    service: str
    addr: str
    zone: str
    version: str
    slots: _Amount
    state: str
    cold_left_ms: _Time
    seq: _Amount
    capacity: _WireCapacity
    labels: list[str]
    machine: str = ''
    remaining_ms: float | None = None
    born: executors.Born | msgspec.UnsetType = msgspec.UNSET


def decode(key: str, value: bytes) -> reports.Entry:
    """Decode an executor's entry.

    ``labels`` holds its kind and its rack in this order. Whether a service
    of that name exists isn't known here.

    :raises entries.BadEntry: it names no executor to use
    """
    name = key.removeprefix(executors.PREFIX)
    if not _ID.fullmatch(name):
        raise entries.BadEntry(entries.Fault.KEY, 'not the id of a worker')
    if len(value) > MAX_ENTRY_BYTES:
        raise entries.BadEntry(
            entries.Fault.TOO_LONG, f'more than {MAX_ENTRY_BYTES} bytes'
        )
    try:
        wire = codec.decode(value, _WireEntry)
    except codec.MalformedValue as error:
        raise entries.BadEntry(entries.Fault.MALFORMED, str(error)) from error
    _check(wire)
    born = None if wire.born is msgspec.UNSET else wire.born
    return reports.Entry(
        worker=incarnations.incarnation_name(ids.ExecutorId(name), born),
        service=ids.ServiceId(wire.service),
        address=ids.Address(wire.addr),
        data_centre=ids.DataCentre(wire.zone),
        capacity=model.Resources(
            wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu
        ),
        labels=tuple(wire.labels),
        machine=wire.machine,
        draining=wire.state == 'draining',
    )


def _check(wire: _WireEntry) -> None:
    if wire.state not in STATES:
        raise entries.BadEntry(entries.Fault.STATE, f'state {wire.state!r}')
    if not can_be_called(wire.addr):
        raise entries.BadEntry(
            entries.Fault.ADDRESS, f'address {wire.addr!r} can not be called'
        )
    amounts = (wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu)
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        raise entries.BadEntry(
            entries.Fault.CAPACITY, f'capacity not within 0 and {MAX_AMOUNT}'
        )
    if not wire.service:
        raise entries.BadEntry(entries.Fault.SERVICE, 'no service')
    _check_lengths(wire)


def _check_lengths(wire: _WireEntry) -> None:
    names = (wire.zone, wire.version, wire.machine, *wire.labels)
    if len(wire.labels) > MAX_LABELS:
        reason = f'{len(wire.labels)} labels'
    elif len(wire.service.encode()) > MAX_SERVICE:
        reason = f'a service of over {MAX_SERVICE} bytes'
    elif any(len(name.encode()) > MAX_NAME for name in names):
        reason = f'a name of over {MAX_NAME} bytes'
    else:
        return
    raise entries.BadEntry(entries.Fault.TOO_LONG, reason)


def can_be_called(address: str) -> bool:
    """Say whether text is the IPv4 number and port of one host."""
    match = _ADDRESS.fullmatch(address)
    if match is None:
        return False
    host, port = match.groups()[:4], int(match[5])
    if any(len(part) > 1 and part[0] == '0' for part in host):
        return False
    numbers = [int(part) for part in host]
    return 1 <= numbers[0] < 224 and max(numbers) < 256 and port < 65536


def is_callable(entry: reports.Entry) -> bool:
    """Say whether orders can be addressed to an entry's worker at all."""
    name = incarnations.executor_of(entry.worker)
    return bool(_ID.fullmatch(name)) and can_be_called(entry.address)
