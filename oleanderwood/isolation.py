"""Access to the proof that entries hold nothing of a shard any more.

The leader writes the shard first, then reads the roster, then asks each
member. What it may conclude, and why, is in docs/MEMBERSHIP.md.
"""

import collections.abc
import dataclasses
import enum

from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import roster

ISOLATED_S = 6.0
"""An entry whose contact is older sends nothing new."""

QUIET_S = 8.0
"""What others must not have heard for; clocks may differ by a tenth."""

MEMBER_TTL_S = 8.0
"""Lease of a member's key: its absence is as old as this at least."""

REQUEST_TIMEOUT_S = 30.0
"""How long after its last contact an entry cuts what it has in flight."""


class Status(enum.Enum):
    """Where a process stands towards a revision of a shard."""

    RELEASED = 'released'
    HOLDING = 'holding'
    """It follows the revision, and has requests in flight at some VMs."""

    UNKNOWN = 'unknown'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True)
class Answer:
    """A reply to a release call, by the asker's monotonic clock."""

    reply: messages.ReleaseReply
    received_s: float


@dataclasses.dataclass(frozen=True)
class Absence:
    """A member's key that isn't in the store.

    :ivar since_s: receipt of the first read that found it absent, with no
        gap of :data:`MEMBER_TTL_S` or more between reads since
    :ivar checked_s: sending of the last read that found it absent
    """

    since_s: float
    checked_s: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What the leader knows after a round of release calls.

    :ivar revision: of the shard; entries must follow it
    :ivar members: of the region, read from the store after the shard was
        written at ``revision``
    :ivar no_loss_since_s: since when no member has left the roster
    :ivar answers: by the peer address that was asked
    :ivar absences: by incarnation
    :ivar vm_gone_since_s: since when a VM that had been on the VM list
        isn't any more
    :ivar request_timeout_s: by when an entry without contact has cut what
        it had in flight
    """

    revision: ids.Revision
    members: tuple[roster.Member, ...]
    no_loss_since_s: float
    answers: collections.abc.Mapping[ids.Address, Answer]
    absences: collections.abc.Mapping[str, Absence]
    vm_gone_since_s: collections.abc.Mapping[ids.VmId, float]
    request_timeout_s: float = REQUEST_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class Standing:
    """What is known of one process.

    :ivar vms: where it has requests in flight, if it is holding
    :ivar reason: why it is gone or unknown
    """

    member: roster.Member
    status: Status
    vms: tuple[ids.VmId, ...] = ()
    reason: str = ''


def required(
    members: tuple[roster.Member, ...],
    answers: collections.abc.Mapping[ids.Address, Answer],
) -> tuple[roster.Member, ...]:
    """Give all processes to be asked: members and whom they sponsor."""
    found = {member.incarnation: member for member in members}
    for answer in answers.values():
        for member in answer.reply.sponsored:
            found.setdefault(member.incarnation, member)
    return tuple(found.values())


def standing(evidence: Evidence, now_s: float) -> tuple[Standing, ...]:
    """Say of each process that may hold grants where it stands.

    :param now_s: the asker's monotonic clock
    """
    asked = required(evidence.members, evidence.answers)
    return tuple(_standing(evidence, member, now_s) for member in asked)


def blocking(
    standings: tuple[Standing, ...], vm: ids.VmId
) -> tuple[Standing, ...]:
    """Give those by which a VM may not be drained, rebooted or moved."""
    return tuple(
        found
        for found in standings
        if found.status is Status.UNKNOWN
        or (found.status is Status.HOLDING and vm in found.vms)
    )


def removable(
    evidence: Evidence, standings: tuple[Standing, ...], now_s: float
) -> tuple[str, ...]:
    """Give the incarnations that may be taken off the roster.

    One that was isolated has to have been so at one moment for sure: all
    were quiet for long, and asked within a short time. It joins anew
    before it holds grants again.
    """
    oldest_s = min(
        (answer.received_s for answer in evidence.answers.values()),
        default=now_s,
    )
    if now_s - oldest_s >= QUIET_S:
        return ()
    if evidence.request_timeout_s < 2 * QUIET_S:
        return ()
    return tuple(
        found.member.incarnation
        for found in standings
        if found.status is Status.GONE
    )


def describe(found: Standing, vm: ids.VmId) -> str:
    """Tell operators who blocks the release of a VM, and by what."""
    entry = found.member.entry
    if found.status is Status.HOLDING:
        return f'{entry} has requests in flight at {vm}'
    return f'{entry} at {found.member.peer} is unknown: {found.reason}'


def _standing(
    evidence: Evidence, member: roster.Member, now_s: float
) -> Standing:
    reply = _own_reply(evidence, member)
    if reply is not None:
        return _replied(evidence, member, reply)
    reason = _ended(evidence, member, now_s)
    if not reason and _isolated(evidence, member, now_s):
        reason = 'isolated'
    if reason:
        return Standing(member, Status.GONE, reason=reason)
    return Standing(member, Status.UNKNOWN, reason='no answer, no proof')


def _replied(
    evidence: Evidence, member: roster.Member, reply: messages.ReleaseReply
) -> Standing:
    if reply.revision < evidence.revision:
        reason = f'follows revision {reply.revision}'
        return Standing(member, Status.UNKNOWN, reason=reason)
    vms = tuple(
        ids.VmId(vm) for vm, count in reply.in_flight.items() if count > 0
    )
    status = Status.HOLDING if vms else Status.RELEASED
    return Standing(member, status, vms)


def _own_reply(
    evidence: Evidence, member: roster.Member
) -> messages.ReleaseReply | None:
    """Give the reply of this very process, None if there is none."""
    answer = evidence.answers.get(member.peer)
    if answer is None or answer.reply.incarnation != member.incarnation:
        return None
    return answer.reply


def _ended(evidence: Evidence, member: roster.Member, now_s: float) -> str:
    """Say why the process ended, at least ``QUIET_S`` ago, '' if unproven.

    The time lets entries that it sponsored, or that counted contact with
    it, become isolated.
    """
    answer = evidence.answers.get(member.peer)
    if answer is not None and answer.reply.up_s >= QUIET_S:
        return f'superseded by {answer.reply.entry}'
    since_s = evidence.vm_gone_since_s.get(member.vm)
    if since_s is not None and now_s - since_s >= QUIET_S:
        return 'its VM is gone'
    return ''


def _isolated(evidence: Evidence, member: roster.Member, now_s: float) -> bool:
    """Say whether the process had no contact for long enough.

    Its key must have been found absent after all others had answered: it
    may come back by the store only after reading the shards anew.
    """
    if not roster_holds(evidence.members, member):
        return False
    if now_s - evidence.no_loss_since_s < QUIET_S:
        return False
    absence = evidence.absences.get(member.incarnation)
    if absence is None:
        return False
    if now_s - absence.since_s < evidence.request_timeout_s:
        return False
    return all(
        _quiet(evidence, other, member, absence.checked_s, now_s)
        for other in evidence.members
        if other.incarnation != member.incarnation
    )


def roster_holds(
    members: tuple[roster.Member, ...], member: roster.Member
) -> bool:
    """Say whether a process is a member itself, not only sponsored."""
    return any(other.incarnation == member.incarnation for other in members)


def _quiet(
    evidence: Evidence,
    other: roster.Member,
    member: roster.Member,
    checked_s: float,
    now_s: float,
) -> bool:
    """Say whether ``other`` can't have given ``member`` contact of late.

    Its report counts only if it follows the revision itself: whoever it
    gives contact later must follow that too.
    """
    reply = _own_reply(evidence, other)
    if reply is None:
        return bool(_ended(evidence, other, now_s))
    if reply.revision < evidence.revision:
        return False
    if evidence.answers[other.peer].received_s > checked_s:
        return False
    age_s = reply.heard_ages_s.get(member.incarnation, reply.up_s)
    return age_s >= QUIET_S + evidence.request_timeout_s
