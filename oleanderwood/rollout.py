"""Access to the decisions of a roll-out: stage, acknowledge, commit.

Pure: events come in, actions go out; :mod:`oleanderwood.apply` carries
them out. All members of the roster acknowledge the staged revision, then
the head is swapped, then all are told. A member that joins reads the head
after it wrote itself into the roster; so the roster is read once more
before the swap, and once after it.
"""

import dataclasses
import enum

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import roster

Member = roster.Member


class Phase(enum.Enum):
    """How far a roll-out is."""

    PREPARING = 'preparing'
    SWAPPING = 'swapping'
    COMMITTING = 'committing'
    ENDED = 'ended'


class Outcome(enum.Enum):
    """How a roll-out ended."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    """Another revision took the place; nothing of this one is in force."""

    NOT_RUN = 'not-run'
    """Nothing was accepted."""

    MAY_HAVE_RUN = 'may-have-run'
    """The answer to the swap of the head was lost."""


# Events


@dataclasses.dataclass(frozen=True)
class RosterRead:
    """The roster as the store has it."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A member holds the staged revision ready."""

    member: Member


@dataclasses.dataclass(frozen=True)
class Refused:
    """A member has ``revision`` in force, as high as that or higher."""

    member: Member
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Gone:
    """A member is proven gone or isolated."""

    member: Member


@dataclasses.dataclass(frozen=True)
class Swapped:
    """What became of the swap of the head."""

    outcome: Outcome
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class InForce:
    """A member answered the commit with the revision in force there."""

    member: Member
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Failed:
    """Something that the roll-out needs can't be had."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """The time for the present phase is up."""


Event = (
    RosterRead
    | Acknowledged
    | Refused
    | Gone
    | Swapped
    | InForce
    | Failed
    | TimedOut
)

# Actions


@dataclasses.dataclass(frozen=True)
class ReadRoster:
    """Read the roster from the store."""


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Ask a member until it acknowledges, refuses or is gone."""

    member: Member


@dataclasses.dataclass(frozen=True)
class Swap:
    """Swap the head, if it is still at the version that was read first."""


@dataclasses.dataclass(frozen=True)
class Commit:
    """Tell a member that the revision was accepted, until it is in force.

    A member that doesn't hold it any more is to be prepared again.
    """

    member: Member


@dataclasses.dataclass(frozen=True)
class Drop:
    """Tell a member that the staged revision will never be accepted."""

    member: Member


@dataclasses.dataclass(frozen=True)
class End:
    """The roll-out is over.

    :ivar winner: the head that stands instead, if it is known
    :ivar missing: members at which it is not known to be in force
    :ivar in_force: at a conflict, what a member said is in force there
    """

    outcome: Outcome
    reason: str = ''
    winner: configuration.Head | None = None
    missing: tuple[Member, ...] = ()
    in_force: ids.Revision = ids.Revision(0)


Action = ReadRoster | Prepare | Swap | Commit | Drop | End
Step = tuple['Rollout', tuple[Action, ...]]


@dataclasses.dataclass(frozen=True)
class Rollout:
    """State of one roll-out.

    :ivar staged: the head that is to be
    :ivar asked: members that got the staged revision
    :ivar waiting: members whose answer is awaited in this phase
    :ivar roster_due: whether a reading of the roster is awaited
    """

    staged: configuration.Head
    phase: Phase = Phase.PREPARING
    asked: frozenset[Member] = frozenset()
    waiting: frozenset[Member] = frozenset()
    roster_due: bool = True


def start(staged: configuration.Head, seen: configuration.Head | None) -> Step:
    """Begin a roll-out.

    :param staged: the head that is to be
    :param seen: the head in the store, None if there is none yet
    """
    rollout = Rollout(staged)
    base = ids.Revision(0) if seen is None else seen.revision
    if staged.base != base or staged.revision <= base:
        return _end(rollout, End(Outcome.CONFLICT, winner=seen))
    return rollout, (ReadRoster(),)


def decide(rollout: Rollout, event: Event) -> Step:
    """Take one event; late ones of an earlier phase change nothing."""
    match rollout.phase, event:
        case Phase.PREPARING, RosterRead(members):
            return _roster_before(rollout, members)
        case Phase.PREPARING, Acknowledged(member) | Gone(member):
            return _answered(rollout, member)
        case Phase.PREPARING, Refused(_, revision):
            return _beaten(rollout, revision)
        case Phase.PREPARING, Failed(reason):
            return _give_up(rollout, reason)
        case Phase.PREPARING, TimedOut():
            return _give_up(rollout, _blocked(rollout))
        case Phase.SWAPPING, Swapped():
            return _swapped(rollout, event)
        case Phase.COMMITTING, RosterRead(members):
            return _roster_after(rollout, members)
        case Phase.COMMITTING, InForce(member, revision):
            if revision < rollout.staged.revision:
                return rollout, ()
            return _in_force(rollout, member)
        case Phase.COMMITTING, Gone(member):
            return _in_force(rollout, member)
        case Phase.COMMITTING, TimedOut():
            return _accepted(rollout)
    return rollout, ()


def blockers(rollout: Rollout) -> tuple[Member, ...]:
    """Give the members that are waited for, sorted."""
    return tuple(sorted(rollout.waiting, key=lambda m: m.entry))


def _blocked(rollout: Rollout) -> str:
    names = ', '.join(member.entry for member in blockers(rollout))
    if not names:
        return 'the roster could not be read in time'
    return f'no answer from {names}, which are not proven gone'


def _roster_before(rollout: Rollout, members: tuple[Member, ...]) -> Step:
    """Ask members that weren't asked; those that left need no answer."""
    fresh = frozenset(members) - rollout.asked
    after = dataclasses.replace(
        rollout,
        asked=rollout.asked | fresh,
        waiting=(rollout.waiting & frozenset(members)) | fresh,
        roster_due=False,
    )
    if not after.waiting:
        return dataclasses.replace(after, phase=Phase.SWAPPING), (Swap(),)
    return after, tuple(Prepare(member) for member in _sorted(fresh))


def _answered(rollout: Rollout, member: Member) -> Step:
    waiting = rollout.waiting - {member}
    after = dataclasses.replace(rollout, waiting=waiting)
    if waiting or rollout.roster_due:
        return after, ()
    return dataclasses.replace(after, roster_due=True), (ReadRoster(),)


def _give_up(rollout: Rollout, reason: str) -> Step:
    """End without a swap: none was sent, so members may drop it."""
    return _end(rollout, End(Outcome.NOT_RUN, reason), _drops(rollout))


def _beaten(rollout: Rollout, revision: ids.Revision) -> Step:
    """End without a swap: another revision was accepted meanwhile."""
    end = End(Outcome.CONFLICT, in_force=revision)
    return _end(rollout, end, _drops(rollout))


def _swapped(rollout: Rollout, event: Swapped) -> Step:
    if event.outcome is Outcome.ACCEPTED:
        after = dataclasses.replace(
            rollout,
            phase=Phase.COMMITTING,
            waiting=rollout.asked,
            roster_due=True,
        )
        commits = tuple(Commit(member) for member in _sorted(rollout.asked))
        return after, (ReadRoster(),) + commits
    end = End(event.outcome, event.reason)
    if event.outcome is Outcome.MAY_HAVE_RUN:
        return _end(rollout, end)
    return _end(rollout, end, _drops(rollout))


def _roster_after(rollout: Rollout, members: tuple[Member, ...]) -> Step:
    fresh = frozenset(members) - rollout.asked
    after = dataclasses.replace(
        rollout,
        asked=rollout.asked | fresh,
        waiting=(rollout.waiting & frozenset(members)) | fresh,
        roster_due=False,
    )
    if not after.waiting:
        return _accepted(after)
    return after, tuple(Commit(member) for member in _sorted(fresh))


def _in_force(rollout: Rollout, member: Member) -> Step:
    waiting = rollout.waiting - {member}
    after = dataclasses.replace(rollout, waiting=waiting)
    if waiting or rollout.roster_due:
        return after, ()
    return _accepted(after)


def _accepted(rollout: Rollout) -> Step:
    missing = blockers(rollout)
    reason = ''
    if rollout.roster_due:
        reason = 'the roster could not be read after the swap'
    return _end(rollout, End(Outcome.ACCEPTED, reason, missing=missing))


def _drops(rollout: Rollout) -> tuple[Action, ...]:
    return tuple(Drop(member) for member in _sorted(rollout.asked))


def _end(rollout: Rollout, end: End, before: tuple[Action, ...] = ()) -> Step:
    ended = dataclasses.replace(
        rollout, phase=Phase.ENDED, waiting=frozenset(), roster_due=False
    )
    return ended, before + (end,)


def _sorted(members: frozenset[Member]) -> list[Member]:
    return sorted(members, key=lambda member: member.entry)
