"""Access to the count of bytes that a daemon spends for control.

Heads are counted by the length of their lines, gRPC messages by their
payload and :data:`RPC_OVERHEAD_BYTES`; TCP and IP are not counted.
"""

import collections.abc
import dataclasses
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


@dataclasses.dataclass(frozen=True)
class Counts:
    """What counts the bytes of each channel."""

    store: Count
    platform: Count
    peers: Count


def register(registry: prometheus_client.CollectorRegistry) -> Counts:
    """Register the metric of control bytes; give what counts them."""
    total = prometheus_client.Counter(
        'oleander_control_bytes',
        'Bytes exchanged for control, by channel and direction.',
        ['channel', 'direction'],
        registry=registry,
    )
    return Counts(
        store=_count(total, Channel.STORE),
        platform=_count(total, Channel.PLATFORM),
        peers=_count(total, Channel.PEERS),
    )


def _count(bytes_total: prometheus_client.Counter, channel: Channel) -> Count:
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
