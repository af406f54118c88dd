"""Which heads of requests are refused, and how faults are told."""

import re

import h11

from oleanderwood import errors
from oleanderwood.web import http

MAX_TARGET_BYTES = 8192
"""Longest target that is accepted; RFC 9112 asks for 8,000 at least."""

MAX_REASON_CHARS = 200
"""Longest reason that a caller is told; faults repeat what was sent."""

VERSIONS = (b'1.0', b'1.1')

_LOOSE = re.compile(rb'(?<!\r)\n|\r(?!\n)|\n[ \t]')
"""A line end that isn't CR and LF, or a line that goes on in the next.

Others end such a line elsewhere, and see another request in the same bytes.
"""


def check(raw: bytes, event: h11.Request) -> None:
    """Refuse a head that h11 takes, but that others may read otherwise.

    :param raw: the head as it arrived
    :raises errors.BadMessage: what is wrong
    """
    if event.http_version not in VERSIONS:
        raise errors.BadMessage(400, 'only HTTP/1.0 and 1.1 are spoken')
    if len(event.target) > MAX_TARGET_BYTES:
        raise errors.BadMessage(414, 'the target is too long')
    if len(raw) > http.MAX_HEAD_BYTES:
        raise errors.BadMessage(431, 'the head is too large')
    if _LOOSE.search(raw):
        raise errors.BadMessage(400, 'a line does not end with CR and LF')
    names = {name for name, _value in event.headers}
    if b'transfer-encoding' not in names:
        return
    if b'content-length' in names:
        raise errors.BadMessage(400, 'both a length and a transfer coding')
    if event.http_version == b'1.0':
        raise errors.BadMessage(400, 'a transfer coding in HTTP/1.0')


def fault(error: h11.RemoteProtocolError, raw: bytes) -> errors.BadMessage:
    """Tell a fault that h11 found.

    :param raw: what had arrived, and was not taken before
    """
    status = error.error_status_hint
    if status == 431 and b'\n' not in raw:
        return errors.BadMessage(414, 'the target is too long')
    if status >= 500:
        # A 5xx would invite the caller to send the same again.
        status = 400
    return errors.BadMessage(status, str(error)[:MAX_REASON_CHARS])
