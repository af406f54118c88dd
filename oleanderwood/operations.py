"""Access to what became of a store write whose answer was lost.

Each value is kept in an envelope with the last writes of its key: the
operation id of each, and the version that it was written over. Versions
only grow, so at most one write succeeds over a given version, and the
envelope tells which.
"""

import dataclasses
import enum

import msgspec

from oleanderwood import ids
from oleanderwood import store

KEPT_WRITES = 32
"""Writes that an envelope remembers."""

MAX_BODY_BYTES = 1_000_000 - 4096
"""Largest body, so that the envelope fits in a value of the store."""


class Write(msgspec.Struct, frozen=True, array_like=True):
    """One write of a key; ``over`` is the version that it replaced."""

    operation: ids.OperationId
    over: int


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A value as the store keeps it; ``writes`` ends with its own."""

    writes: tuple[Write, ...]
    body: bytes


class Outcome(enum.Enum):
    """What reading back shows of a write."""

    RAN = 'ran'
    REPEAT = 'repeat'
    """It hasn't run so far; the same write may be sent again."""

    CONFLICT = 'conflict'
    """Another write took the version; this one can't run any more."""

    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Resolution:
    """An outcome; ``version`` is what the write made if it ran."""

    outcome: Outcome
    version: int = store.ABSENT


@dataclasses.dataclass(frozen=True)
class Seen:
    """A key as it was read: its version and its last writes."""

    version: int
    writes: tuple[Write, ...]


def wrap(
    earlier: tuple[Write, ...],
    operation: ids.OperationId,
    over: int,
    body: bytes,
) -> tuple[bytes, tuple[Write, ...]]:
    """Put a body into an envelope.

    :param earlier: writes of the value that is replaced
    :returns: the value, and its writes
    :raises ValueError: the body doesn't fit the store
    """
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f'{len(body)} bytes are too many for one value')
    writes = (earlier + (Write(operation, over),))[-KEPT_WRITES:]
    return msgspec.msgpack.encode(Envelope(writes, body)), writes


def unwrap(value: bytes) -> Envelope:
    """Take a value of the store apart.

    :raises msgspec.MsgspecError: it isn't an envelope
    """
    return msgspec.msgpack.decode(value, type=Envelope)


def resolve_write(
    operation: ids.OperationId, over: int, seen: Seen | None
) -> Resolution:
    """Say what became of a write.

    :param over: the version that it was to replace
    :param seen: the key as read after the write's answer was lost, None
        if it doesn't exist
    """
    if seen is None:
        if over == store.ABSENT:
            return Resolution(Outcome.REPEAT)
        return Resolution(Outcome.UNKNOWN)
    version = _version_made(operation, seen)
    if version is not None:
        return Resolution(Outcome.RAN, version)
    if seen.version == over:
        return Resolution(Outcome.REPEAT)
    if _replaced(over, seen):
        return Resolution(Outcome.CONFLICT)
    return Resolution(Outcome.UNKNOWN)


def resolve_delete(version: int, seen: Seen | None) -> Outcome:
    """Say what became of a deletion at ``version``.

    A key that is absent counts as deleted by whoever asked for it.
    """
    if seen is None:
        return Outcome.RAN
    if seen.version == version:
        return Outcome.REPEAT
    if _replaced(version, seen):
        return Outcome.CONFLICT
    return Outcome.UNKNOWN


def _version_made(operation: ids.OperationId, seen: Seen) -> int | None:
    """Give the version that a write made, None if it isn't known."""
    for index, write in enumerate(seen.writes):
        if write.operation != operation:
            continue
        if index + 1 < len(seen.writes):
            return seen.writes[index + 1].over
        return seen.version
    return None


def _replaced(version: int, seen: Seen) -> bool:
    """Say whether a remembered write replaced ``version``.

    Being absent isn't a version: a key may be created many times.
    """
    if version == store.ABSENT:
        return False
    return any(write.over == version for write in seen.writes)
