"""Access to the encoding of values in the store and between processes."""

import typing
import zlib

import msgspec

T = typing.TypeVar('T')

_COMPRESSION_LEVEL = 6

_COMPRESS_FROM_BYTES = 512
"""Shorter messages aren't worth the processor time."""

_COMPRESSED = b'x'
"""First byte of zlib's output; no struct's encoding begins with it."""


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


def pack_message(value: typing.Any) -> bytes:
    """Encode a struct for a peer; compressed only if it is long."""
    plain = msgspec.msgpack.encode(value)
    if len(plain) < _COMPRESS_FROM_BYTES:
        return plain
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def unpack_message(data: bytes, kind: type[T]) -> T:
    """Decode and check what :func:`pack_message` made.

    :raises msgspec.DecodeError: the data is damaged
    :raises msgspec.ValidationError: the data doesn't fit ``kind``
    """
    if data.startswith(_COMPRESSED):
        return unpack(data, kind)
    return msgspec.msgpack.decode(data, type=kind)
