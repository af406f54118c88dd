"""Access to the headers that requests and responses carry through."""

import dataclasses
import math

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import ids
from oleanderwood import verdict as verdicts

TEAM = b'oleander-team'
PRIORITY = b'oleander-priority'
TIMEOUT_MS = b'oleander-timeout-ms'
IDEMPOTENCY_KEY = b'idempotency-key'
REQUEST_ID = b'oleander-request-id'
POOL = b'oleander-pool'
EPOCH = b'oleander-epoch'
REPLAYED = b'oleander-replayed'
REPLAYED_STATUS = b'oleander-replayed-status'
VERDICT = verdicts.HEADER.lower().encode('ascii')

_OWN_PREFIX = b'oleander-'
_FROM_CALLERS = frozenset((TEAM, PRIORITY))
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_MAX_TIMEOUT_MS = 86_400_000


@dataclasses.dataclass(frozen=True)
class Wishes:
    """What a caller says of its request.

    :ivar timeout_s: the caller's deadline, from the request's arrival
    """

    team: ids.TeamId
    priority: configuration.Priority
    timeout_s: float


def wishes(headers: http.Headers) -> Wishes:
    """Read what a caller says of its request.

    :raises errors.BadMessage: a header has no allowed value
    """
    found = {
        name: value.decode('latin-1')
        for name, value in headers
        if name.startswith(_OWN_PREFIX)
    }
    return Wishes(
        team=ids.TeamId(found.get(TEAM, '')),
        priority=_priority(found.get(PRIORITY)),
        timeout_s=_timeout_s(found.get(TIMEOUT_MS)),
    )


def _priority(text: str | None) -> configuration.Priority:
    if text is None:
        return configuration.Priority.NORMAL
    try:
        return configuration.Priority(text)
    except ValueError as error:
        raise errors.BadMessage(
            400, f'oleander-priority: {text!r} is not allowed'
        ) from error


def _timeout_s(text: str | None) -> float:
    if text is None:
        return math.inf
    if not (text.isascii() and text.isdigit()):
        raise errors.BadMessage(
            400, f'oleander-timeout-ms: {text!r} is not a whole number'
        )
    return min(int(text[:10]), _MAX_TIMEOUT_MS) / 1000


def check_framing(headers: http.Headers) -> None:
    """Refuse a request whose length two readers could see differently.

    h11 refuses differing lengths and unknown encodings by itself.

    :raises errors.BadMessage: it has a length and an encoding
    """
    names = [name for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise errors.BadMessage(
            400, 'content-length and transfer-encoding exclude each other'
        )


def content_length(headers: http.Headers) -> int | None:
    """Give the declared length of a body in bytes.

    None means that the length shows only as the body arrives.
    """
    for name, value in headers:
        if name == b'content-length':
            return int(value)
        if name == b'transfer-encoding':
            return None
    return 0


def end_to_end(headers: http.Headers) -> http.Headers:
    """Give the headers that aren't for the next hop alone."""
    named = _HOP_BY_HOP
    for name, value in headers:
        if name == b'connection':
            options = value.lower().split(b',')
            named = named.union(option.strip() for option in options)
    return [pair for pair in headers if pair[0] not in named]


def for_upstream(
    headers: http.Headers, host: ids.Address, own: http.Headers
) -> http.Headers:
    """Make the headers of a forwarded request, without its length.

    :param host: sent where the caller named none (HTTP/1.0)
    :param own: the entry's headers, added at the end
    """
    kept = [
        (name, value)
        for name, value in end_to_end(headers)
        if name not in (b'content-length', b'expect')
        and (not name.startswith(_OWN_PREFIX) or name in _FROM_CALLERS)
    ]
    if not any(name == b'host' for name, _ in kept):
        kept.insert(0, (b'host', host.encode('ascii')))
    return kept + own


def for_caller(headers: http.Headers, own: http.Headers) -> http.Headers:
    """Make the headers of a forwarded response.

    :param own: the entry's headers, added at the end
    """
    kept = [
        pair
        for pair in end_to_end(headers)
        if not pair[0].startswith(_OWN_PREFIX)
    ]
    return kept + own
