"""Access to the roster: which entries may hold grants."""

import msgspec

from oleanderwood import ids


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One entry process.

    ``incarnation`` is new at every start and unlike all others; it names
    the process, where ``entry`` only names the place that it runs in.
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


EMPTY = Roster(ids.Revision(0))


def member_key(member: Member) -> str:
    """Name the store's key that a member keeps under a lease."""
    return f'members/{member.entry}.{member.incarnation}'


def join(roster: Roster, member: Member) -> Roster:
    """Add a member; earlier ones stay until they are proven gone.

    A member of the same entry id or peer address may still hold grants, or
    have sponsored others that do (see :func:`superseded`).
    """
    if holds(roster, member.incarnation):
        return roster
    return _next(roster, roster.members + (member,))


def leave(roster: Roster, incarnation: str) -> Roster:
    """Remove one process; others of its entry id stay."""
    kept = tuple(
        other for other in roster.members if other.incarnation != incarnation
    )
    if len(kept) == len(roster.members):
        return roster
    return _next(roster, kept)


def holds(roster: Roster | None, incarnation: str) -> bool:
    """Say whether a process is on the roster."""
    if roster is None:
        return False
    return any(other.incarnation == incarnation for other in roster.members)


def in_region(roster: Roster, region: ids.Region) -> tuple[Member, ...]:
    """Give the members of one region."""
    return tuple(
        member for member in roster.members if member.region == region
    )


def superseded(roster: Roster, member: Member) -> tuple[Member, ...]:
    """Give the members whose peer address ``member`` listens on now.

    Their processes ended before ``member`` bound the address. It removes
    them once it has run for ``isolation.QUIET_S`` itself: until then an
    entry that one of them sponsored may still hold grants.
    """
    return tuple(
        other
        for other in roster.members
        if other.peer == member.peer
        and other.incarnation != member.incarnation
    )


def _next(roster: Roster, members: tuple[Member, ...]) -> Roster:
    return Roster(ids.Revision(roster.revision + 1), members)
