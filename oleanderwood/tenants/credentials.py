"""The key that a request's head carries, of which only a digest is kept."""

import enum
import hashlib

from oleanderwood import ids

SCHEME = b'token'
"""In lower case; schemes are compared without regard to case."""

MAX_KEY_BYTES = 256
"""Longer keys are refused unhashed."""


class Denial(enum.Enum):
    """Why a request is not allowed."""

    NO_KEY = 'no key'
    MALFORMED = 'a malformed header'
    OTHER_SCHEME = 'another scheme'
    TWO_HEADERS = 'two headers'
    UNKNOWN = 'an unknown key'
    REVOKED = 'a revoked key'


def digest(key: bytes) -> ids.KeyDigest:
    """Give what is kept of a key.

    Looking a digest up tells nothing of a key by the time that it takes.
    """
    return ids.KeyDigest(hashlib.sha256(key).digest())


def parse(values: list[bytes]) -> ids.KeyDigest | Denial:
    """Read the values of a request's ``Authorization`` headers.

    The key itself is compared to the letter; white space around it isn't
    part of it.
    """
    if not values:
        return Denial.NO_KEY
    if len(values) > 1:
        return Denial.TWO_HEADERS
    words = values[0].split()
    if not words:
        return Denial.MALFORMED
    if words[0].lower() != SCHEME:
        return Denial.OTHER_SCHEME
    if len(words) != 2 or len(words[1]) > MAX_KEY_BYTES:
        return Denial.MALFORMED
    return digest(words[1])
