"""Parses the key of a request's headers; only its digest is retained."""

import enum
import hashlib

from oleanderwood import ids

SCHEME = b'token'
"""Authorization scheme in lower case; schemes are case-insensitive."""

MAX_KEY_BYTES = 256
"""Longer keys are rejected without being hashed."""


class Denial(enum.Enum):
    """Reason for which a request is denied."""

    NO_KEY = 'no key'
    MALFORMED = 'a malformed header'
    OTHER_SCHEME = 'another scheme'
    TWO_HEADERS = 'two headers'
    UNKNOWN = 'an unknown key'
    REVOKED = 'a revoked key'


def digest(key: bytes) -> ids.KeyDigest:
    """Return the digest of a key, the only form in which it is retained.

    The time that the lookup of a digest takes reveals nothing about the key.
    """
    return ids.KeyDigest(hashlib.sha256(key).digest())


def parse(values: list[bytes]) -> ids.KeyDigest | Denial:
    """Return the key's digest from a request's ``Authorization`` headers.

    The key is case-sensitive; surrounding white space isn't part of it.

    :return: the digest, or why there is no well-formed key
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
