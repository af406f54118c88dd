"""Access to what one entry knows of idempotency keys and their owners."""

import dataclasses

import curio

from oleanderwood import buckets
from oleanderwood import idempotency
from oleanderwood import ids
from oleanderwood import roster as rosters
from oleanderwood import view as views


@dataclasses.dataclass
class Keys:
    """The keys that an entry owns, and the table of all owners.

    :ivar table: the newest one seen, None if there is none yet
    :ivar joins: the joining (``View.joins``) under which the ledger's
        buckets were confirmed in the store; 0 for none
    :ivar leaving: its buckets are handed over for good
    :ivar settling: settlements that aren't delivered yet
    :ivar doubtful: revision of a table that this entry wrote without
        learning whether it was taken
    """

    ledger: idempotency.Ledger
    table: buckets.Table | None = None
    joins: int = 0
    leaving: bool = False
    settling: set[curio.Task] = dataclasses.field(default_factory=set)
    doubtful: ids.Revision = ids.Revision(0)


def owner(member: rosters.Member) -> buckets.Owner:
    """Name a process as an owner."""
    return buckets.Owner(member.entry, member.incarnation)


def make(member: rosters.Member) -> Keys:
    """Make the state of a process that owns nothing yet."""
    return Keys(idempotency.Ledger(owner(member)))


def owns(keys: Keys, view: views.View, now_s: float) -> bool:
    """Say whether the ledger's buckets are this entry's at this moment.

    Nobody else takes them while this holds: that needs the proof that
    this process ended, or was isolated. One that was confirms its buckets
    anew before it grants again (``key_owner``).
    """
    if not view.granted or view.sponsor or view.stopping:
        return False
    return keys.joins == view.joins and not views.isolated(view, now_s)


def follow(keys: Keys, table: buckets.Table, wall_s: float) -> None:
    """Take in a newer table; older ones change nothing."""
    if keys.table is None or table.revision > keys.table.revision:
        keys.table = table
    idempotency.follow(keys.ledger, table, wall_s)


def owner_of(
    keys: Keys, roster: rosters.Roster, key: ids.RequestKey
) -> tuple[ids.Epoch, rosters.Member] | None:
    """Find who owns a key: the epoch of its bucket and the member."""
    if keys.table is None:
        return None
    bucket = keys.table.buckets[buckets.bucket_of(key)]
    for member in roster.members:
        if owner(member) == bucket.owner:
            return bucket.epoch, member
    return None
