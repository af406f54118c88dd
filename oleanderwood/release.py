"""Access to the release of VMs: who of the roster still holds work where.

The shard is written first, then the roster is read, then all members are
asked, then the keys of those that didn't answer are read; in that order, no
entry that joins meanwhile is missed. What the answers prove is decided by
:mod:`oleanderwood.isolation`.
"""

import collections.abc
import dataclasses
import logging
import uuid

import curio

from oleanderwood import change
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import inventory
from oleanderwood import isolation
from oleanderwood import lifecycle
from oleanderwood import messages
from oleanderwood import orders
from oleanderwood import ownership
from oleanderwood import peer
from oleanderwood import roster
from oleanderwood import store as stores

LOG = logging.getLogger('release')

GRACE_S = 4.0
"""How long the roster has to answer whole before any VM is taken."""

FIRST_PAUSE_S = 0.5
LAG_PAUSE_S = 0.1
"""How long an entry gets to follow a write by its own watch."""

LONGEST_PAUSE_S = 3.0
"""Pauses between rounds that bring nothing new, doubled from the first."""


@dataclasses.dataclass
class Releases:
    """What the members have said so far; times are monotonic.

    :ivar released: VMs, by epoch, at which no entry holds work; final
    :ivar blocked: who blocks the other VMs that wait, for operators
    :ivar whole_since_s: since when all members have answered or been
        proven gone, None if one has not
    :ivar members: of the region, as read last, by incarnation
    :ivar no_loss_since_s: since when none of them has left the roster
    :ivar absences: of the members' keys, by incarnation
    :ivar seen_vms: VMs that the VM list has shown
    :ivar vm_gone_since_s: those of them that it shows no more
    :ivar waiting: VMs that the last round left waiting, by epoch
    :ivar pause_s: from the last round to the next, unless others wait
    :ivar next_round_s: when that is over
    """

    released: set[tuple[ids.VmId, ids.Epoch]] = dataclasses.field(
        default_factory=set
    )
    blocked: dict[ids.VmId, str] = dataclasses.field(default_factory=dict)
    whole_since_s: float | None = None
    members: dict[str, roster.Member] = dataclasses.field(default_factory=dict)
    no_loss_since_s: float = 0.0
    absences: dict[str, isolation.Absence] = dataclasses.field(
        default_factory=dict
    )
    seen_vms: set[ids.VmId] = dataclasses.field(default_factory=set)
    vm_gone_since_s: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )
    waiting: frozenset[tuple[ids.VmId, ids.Epoch]] = frozenset()
    pause_s: float = FIRST_PAUSE_S
    next_round_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Asker:
    """Who asks: what it reaches, its clock and its shards."""

    store: stores.Store
    peers: peer.Peers
    region: ids.Region
    now_s: collections.abc.Callable[[], float]
    lag_pause_s: float
    request_timeout_s: float = isolation.REQUEST_TIMEOUT_S


def begin_anew(earlier: Releases, now_s: float) -> Releases:
    """Make the state of a leader that gains its footing now.

    What the VM list has shown stays known.
    """
    return Releases(
        no_loss_since_s=now_s,
        seen_vms=earlier.seen_vms,
        vm_gone_since_s=earlier.vm_gone_since_s,
    )


def settled(releases: Releases, now_s: float) -> bool:
    """Say whether the roster has answered whole for long enough."""
    since_s = releases.whole_since_s
    return since_s is not None and now_s - since_s >= GRACE_S


def waits(row: fleet.VmRow) -> bool:
    """Say whether a row can't go on before its VM is released."""
    if lifecycle.is_replaced(row):
        return False
    return row.state in (
        fleet.VmState.RELEASING,
        fleet.VmState.BROKEN,
    ) and ownership.may_hold_work(row)


def waiting(shard: fleet.Shard, releases: Releases) -> list[fleet.VmRow]:
    """Give the rows of a shard whose release isn't known yet."""
    return [
        row
        for row in shard.rows
        if waits(row) and (row.vm, row.epoch) not in releases.released
    ]


def follow_list(
    releases: Releases, sighting: inventory.Sighting, now_s: float
) -> None:
    """Note which VMs have gone from the VM list."""
    listed = sighting.listed.keys()
    for vm in releases.seen_vms - listed:
        releases.vm_gone_since_s.setdefault(vm, now_s)
    for vm in releases.vm_gone_since_s.keys() & listed:
        del releases.vm_gone_since_s[vm]
    releases.seen_vms |= listed


def forget(releases: Releases, shards: ownership.Shards) -> None:
    """Drop what was known of epochs that are over."""
    releases.released &= {
        (row.vm, row.epoch) for _, row in ownership.rows_of(shards)
    }


async def ask(
    asker: Asker, shards: ownership.Shards, releases: Releases
) -> None:
    """Ask all members of the region about the VMs that wait.

    Until the roster is settled all shards are asked about.

    :raises errors.StoreUnavailable: the roster can't be read
    """
    was_settled = settled(releases, asker.now_s())
    asked = [
        shard
        for shard in shards.values()
        if waiting(shard, releases) or not was_settled
    ]
    if not asked:
        releases.blocked = {}
        return
    if not _due(releases, asked, asker.now_s()):
        return
    releases.blocked = {}
    await _read_members(asker, releases)
    whole = True
    for shard in asked:
        standings = await _round(asker, shard, releases)
        _conclude(shard, standings, releases)
        whole = whole and not any(map(_unknown, standings))
    if not whole and not was_settled:
        releases.whole_since_s = None
    elif releases.whole_since_s is None:
        releases.whole_since_s = asker.now_s()
    _plan_next(releases, asked, asker.now_s())


def _waiting_in(
    shards: collections.abc.Iterable[fleet.Shard], releases: Releases
) -> frozenset[tuple[ids.VmId, ids.Epoch]]:
    return frozenset(
        (row.vm, row.epoch)
        for shard in shards
        for row in waiting(shard, releases)
    )


def _due(releases: Releases, asked: list[fleet.Shard], now_s: float) -> bool:
    """Say whether it is time for a round: at once for VMs that are new."""
    if now_s >= releases.next_round_s:
        return True
    return not _waiting_in(asked, releases) <= releases.waiting


def _plan_next(
    releases: Releases, asked: list[fleet.Shard], now_s: float
) -> None:
    left = _waiting_in(asked, releases)
    stuck = bool(left) and left == releases.waiting
    pause_s = min(releases.pause_s * 2, LONGEST_PAUSE_S)
    releases.pause_s = pause_s if stuck else FIRST_PAUSE_S
    releases.next_round_s = now_s + releases.pause_s
    releases.waiting = left


def _unknown(found: isolation.Standing) -> bool:
    return found.status is isolation.Status.UNKNOWN


async def _read_members(asker: Asker, releases: Releases) -> None:
    item = await asker.store.get(stores.ROSTER_KEY)
    whole = roster.EMPTY
    if item is not None:
        whole = codec.unpack(item.value, roster.Roster)
    members = {
        member.incarnation: member
        for member in roster.in_region(whole, asker.region)
    }
    if releases.members.keys() - members.keys():
        releases.no_loss_since_s = asker.now_s()
    releases.members = members
    for incarnation in releases.absences.keys() - members.keys():
        del releases.absences[incarnation]


async def _round(
    asker: Asker, shard: fleet.Shard, releases: Releases
) -> tuple[isolation.Standing, ...]:
    """Ask all about one shard, those whom members sponsor as well."""
    members = tuple(releases.members.values())
    answers: dict[ids.Address, isolation.Answer] = {}
    await _ask_members(asker, shard, members, answers)
    sponsored = [
        member
        for member in isolation.required(members, answers)
        if member.incarnation not in releases.members
    ]
    await _ask_members(asker, shard, sponsored, answers)
    await _read_absences(asker, members, answers, releases)
    evidence = isolation.Evidence(
        revision=shard.revision,
        members=members,
        no_loss_since_s=releases.no_loss_since_s,
        answers=answers,
        absences=releases.absences,
        vm_gone_since_s=releases.vm_gone_since_s,
        request_timeout_s=asker.request_timeout_s,
    )
    now_s = asker.now_s()
    standings = isolation.standing(evidence, now_s)
    await _remove(asker, isolation.removable(evidence, standings, now_s))
    return standings


async def _remove(asker: Asker, incarnations: tuple[str, ...]) -> None:
    """Take members that are proven gone off the roster."""
    if not incarnations:
        return

    def without(found: roster.Roster) -> roster.Roster:
        for incarnation in incarnations:
            found = roster.leave(found, incarnation)
        return found

    operation = ids.OperationId(f'remove-{uuid.uuid4().hex}')
    try:
        await change.change(
            asker.store, stores.ROSTER_KEY, roster.EMPTY, without, operation
        )
    except errors.StoreConflict:
        LOG.info('The roster is written by others; removal is left.')


async def _ask_members(
    asker: Asker,
    shard: fleet.Shard,
    members: collections.abc.Iterable[roster.Member],
    answers: dict[ids.Address, isolation.Answer],
) -> None:
    async def one(address: ids.Address) -> None:
        try:
            reply = await _ask_one(asker, address, shard)
        except errors.CallFailed:
            return
        answers[address] = isolation.Answer(reply, asker.now_s())

    await orders.for_each(dict.fromkeys(m.peer for m in members), one)


async def _ask_one(
    asker: Asker, address: ids.Address, shard: fleet.Shard
) -> messages.ReleaseReply:
    """Ask one process; only one that lags is sent the rows.

    :raises errors.CallFailed: it didn't answer
    """
    place = shard.data_centre
    brief = messages.ReleaseRequest(None, place)
    for pause_s in (asker.lag_pause_s, 0.0):
        reply = await asker.peers.release(address, brief)
        if reply.revision >= shard.revision:
            return reply
        await curio.sleep(pause_s)
    offer = messages.ReleaseRequest(shard, place)
    return await asker.peers.release(address, offer)


async def _read_absences(
    asker: Asker,
    members: collections.abc.Iterable[roster.Member],
    answers: collections.abc.Mapping[ids.Address, isolation.Answer],
    releases: Releases,
) -> None:
    """Look for the leased keys of members that didn't answer."""
    for member in members:
        answer = answers.get(member.peer)
        name = member.incarnation
        if answer is not None and answer.reply.incarnation == name:
            releases.absences.pop(name, None)
            continue
        asked_at_s = asker.now_s()
        if await asker.store.get(roster.member_key(member)) is not None:
            releases.absences.pop(name, None)
            continue
        since_s = asker.now_s()
        known = releases.absences.get(name)
        if known is not None:
            gap_s = since_s - known.checked_s
            if gap_s < isolation.MEMBER_TTL_S:
                since_s = known.since_s
        releases.absences[name] = isolation.Absence(since_s, asked_at_s)


def _conclude(
    shard: fleet.Shard,
    standings: tuple[isolation.Standing, ...],
    releases: Releases,
) -> None:
    for row in waiting(shard, releases):
        blocking = isolation.blocking(standings, row.vm)
        if blocking:
            releases.blocked[row.vm] = ', '.join(
                isolation.describe(found, row.vm) for found in blocking
            )
        else:
            releases.released.add((row.vm, row.epoch))
