"""Validation of request heads, and the errors reported to callers."""

import re

import h11

from oleanderwood import errors
from oleanderwood.web import http

MAX_TARGET_BYTES = 8192
"""Size limit of a target; RFC 9112 recommends at least 8,000."""

MAX_REASON_CHARS = 200
"""Length limit of a reason sent to a caller; it may quote the request."""

VERSIONS = (b'1.0', b'1.1')

_NONSTANDARD_LINE_END = re.compile(rb'(?<!\r)\n|\r(?!\n)|\n[ \t]')
"""A line end other than CR LF, or a folded header line.

Other implementations may end such a line elsewhere and so parse another
request from the same bytes (request smuggling).
"""


def check(raw: bytes, event: h11.Request) -> None:
    """Reject a head that h11 accepts but others may parse differently.

    :param raw: the head as received
    :raises errors.BadMessage: the head is invalid or too large
    """
    if event.http_version not in VERSIONS:
        raise errors.BadMessage(400, 'only HTTP/1.0 and 1.1 are spoken')
    if len(event.target) > MAX_TARGET_BYTES:
        raise errors.BadMessage(414, 'the target is too long')
    if len(raw) > http.MAX_HEAD_BYTES:
        raise errors.BadMessage(431, 'the head is too large')
    if _NONSTANDARD_LINE_END.search(raw):
        raise errors.BadMessage(400, 'a line does not end with CR and LF')
    names = {name for name, _value in event.headers}
    if b'transfer-encoding' not in names:
        return
    if b'content-length' in names:
        raise errors.BadMessage(400, 'both a length and a transfer coding')
    if event.http_version == b'1.0':
        raise errors.BadMessage(400, 'a transfer coding in HTTP/1.0')


def to_bad_message(
    error: h11.RemoteProtocolError, raw: bytes
) -> errors.BadMessage:
    """Convert an error of h11 to the error that is sent to the caller.

    :param raw: received bytes that were not parsed before
    """
    status = error.error_status_hint
    if status == 431 and b'\n' not in raw:
        return errors.BadMessage(414, 'the target is too long')
    if status >= 500:
        # A status of 5xx would invite the caller to retry the same request.
        status = 400
    return errors.BadMessage(status, str(error)[:MAX_REASON_CHARS])
