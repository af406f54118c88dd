"""Access to the encoding of values in the store and between processes."""

import typing
import zlib

import msgspec

T = typing.TypeVar('T')

_COMPRESSION_LEVEL = 6


def to_json(value: typing.Any) -> bytes:
    """Encode a struct as JSON, for people and for HTTP bodies."""
    return msgspec.json.encode(value)


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode and check JSON.

    :raises msgspec.ValidationError: the data doesn't fit ``kind``
    """
    return msgspec.json.decode(data, type=kind, strict=True)


def pack(value: typing.Any) -> bytes:
    """Encode a struct compactly, for the store and for peers."""
    return zlib.compress(msgspec.msgpack.encode(value), _COMPRESSION_LEVEL)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode and check what :func:`pack` made.

    :raises msgspec.DecodeError: the data is damaged
    :raises msgspec.ValidationError: the data doesn't fit ``kind``
    """
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        raise msgspec.DecodeError(f'not compressed: {error}') from error
    return msgspec.msgpack.decode(plain, type=kind)
