"""Access to builders of test data for idempotency keys."""

import uuid

from oleanderwood import buckets
from oleanderwood import idempotency
from oleanderwood import ids

START_S = 1_000_000.0


def make_key(number: int, stamp_s: float | None) -> ids.RequestKey:
    """Make a key; with a time stamp it is a UUIDv7."""
    if stamp_s is None:
        name = f'key-{number}'
    else:
        bits = (int(stamp_s * 1000) << 80) | (7 << 76) | (2 << 62) | number
        name = str(uuid.UUID(int=bits))
    return idempotency.scope('drama', 'finals', name)


def make_owner(entry: int, incarnation: int = 1) -> buckets.Owner:
    """Make one run of an entry."""
    return buckets.Owner(ids.EntryId(f'e-{entry}'), str(incarnation))


def make_ledger(
    table: buckets.Table, owner: buckets.Owner, now_s: float
) -> idempotency.Ledger:
    """Make the ledger of an owner that follows a table."""
    ledger = idempotency.Ledger(owner)
    idempotency.follow(ledger, table, now_s)
    return ledger


def make_claim(
    table: buckets.Table, key: ids.RequestKey, claim: str = 'c', of: str = 'f'
) -> idempotency.Claim:
    """Make a claim by a table; ``of`` is the request's fingerprint."""
    bucket = table.buckets[buckets.bucket_of(key)]
    return idempotency.Claim(bucket.epoch, key, claim, of)
