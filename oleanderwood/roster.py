"""Access to the roster: which entries may hold grants."""

import msgspec

from oleanderwood import ids


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One entry process.

    ``incarnation`` is new at every start, so that a restart on the same
    peer address proves that the earlier process is gone.
    """

    entry: ids.EntryId
    incarnation: str
    region: ids.Region
    data_centre: ids.DataCentre
    vm: ids.VmId
    peer: ids.Address


class Roster(msgspec.Struct, frozen=True):
    """All entries that joined and weren't yet proven gone."""

    revision: ids.Revision
    members: tuple[Member, ...] = ()


def join(roster: Roster, member: Member) -> Roster:
    """Add a member; it supersedes those of its id or peer address."""
    kept = tuple(
        other
        for other in roster.members
        if other.entry != member.entry and other.peer != member.peer
    )
    return Roster(
        revision=ids.Revision(roster.revision + 1),
        members=kept + (member,),
    )


def leave(roster: Roster, entry: ids.EntryId, incarnation: str) -> Roster:
    """Remove one incarnation of an entry; others of its id stay."""
    kept = tuple(
        other
        for other in roster.members
        if (other.entry, other.incarnation) != (entry, incarnation)
    )
    return Roster(revision=ids.Revision(roster.revision + 1), members=kept)
