"""JSON encoding of messages between users, servers and the command line."""

import typing

import msgspec

T = typing.TypeVar('T')


def to_json(value: typing.Any) -> bytes:
    """Encode a struct or plain data as JSON."""
    return msgspec.json.encode(value)


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode and validate JSON.

    :raises msgspec.ValidationError: the data doesn't match ``kind``
    """
    return msgspec.json.decode(data, type=kind, strict=True)
