"""Access to the count of bytes that a daemon spends for control.

Heads are counted by the length of their lines, gRPC messages by their
payload and :data:`RPC_OVERHEAD_BYTES`; TCP and IP are not counted.
"""

import collections.abc
import enum

import prometheus_client

from oleanderwood import http
from oleanderwood import ids

RPC_OVERHEAD_BYTES = 120
"""Frames and compressed headers of one gRPC message, in one direction."""

LINE_BYTES = 4
"""What separates a header's name and value, and ends its line."""

START_LINE_BYTES = 32
"""A request's or response's first line and the empty line, roughly."""

Count = collections.abc.Callable[[int, int], None]
"""Counts bytes sent and received."""


class Channel(enum.Enum):
    """Whom the bytes are exchanged with."""

    STORE = 'store'
    PLATFORM = 'platform'
    PEERS = 'peers'


def counter(
    registry: prometheus_client.CollectorRegistry,
) -> prometheus_client.Counter:
    """Register the counter of control bytes."""
    return prometheus_client.Counter(
        'oleander_control_bytes',
        'Bytes exchanged for control, by channel and direction.',
        ['channel', 'direction'],
        registry=registry,
    )


def counts(bytes_total: prometheus_client.Counter, channel: Channel) -> Count:
    """Make the function that counts the bytes of one channel."""
    sent = bytes_total.labels(channel.value, 'sent')
    received = bytes_total.labels(channel.value, 'received')

    def count(sent_bytes: int, received_bytes: int) -> None:
        sent.inc(sent_bytes)
        received.inc(received_bytes)

    return count


def uncounted(sent_bytes: int, received_bytes: int) -> None:
    """Count nothing; for tests and tools without metrics."""


def request_bytes(address: ids.Address, target: str, body: bytes) -> int:
    """Give the length of a request on the wire, roughly."""
    headers = [(b'host', address.encode('ascii'))]
    return len(target) + message_bytes(headers, body)


def message_bytes(headers: http.Headers, body: bytes) -> int:
    """Give the length of an HTTP message on the wire, roughly."""
    lines = sum(len(name) + len(value) + LINE_BYTES for name, value in headers)
    return START_LINE_BYTES + lines + len(body)
