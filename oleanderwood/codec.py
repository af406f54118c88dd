"""JSON encoding of stored values and of messages between processes."""

import functools
import typing

import msgspec

T = typing.TypeVar('T')

MAX_REASON_CHARS = 200
"""Longest reason of an error; the text may quote the value."""


class MalformedValue(msgspec.DecodeError):
    """A value is not JSON, or not of the kind that is expected."""


def to_json(value: typing.Any) -> bytes:
    """Encode a struct or plain data as JSON."""
    return msgspec.json.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode and validate JSON that another process wrote.

    Any process may write anything, and one value that cannot be decoded must
    not end what follows the others.

    :raises MalformedValue: whatever is wrong with the data, also if it is
        nested too deeply or contains text that is not UTF-8
    """
    try:
        return _decoder(kind).decode(data)
    except (ValueError, RecursionError, OverflowError) as error:
        reason = str(error)[:MAX_REASON_CHARS]
        raise MalformedValue(reason or type(error).__name__) from error


@functools.cache
def _decoder(kind: type) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)
