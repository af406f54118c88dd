"""Access to what operators ask for, apart from HTTP.

Each function reads what it needs from the store, the VM list and the
members, and gives one of :mod:`oleanderwood.admin_messages`.
"""

import collections.abc
import dataclasses
import logging

import curio

from oleanderwood import admin_messages
from oleanderwood import apply
from oleanderwood import change
from oleanderwood import configuration
from oleanderwood import difference
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import history
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import plan as plans
from oleanderwood import rollout
from oleanderwood import rollout_run
from oleanderwood import roster
from oleanderwood import staging
from oleanderwood import store
from oleanderwood import validation
from oleanderwood import vm_listing
from oleanderwood import wave_state

LOG = logging.getLogger('operators')

NewOperation = collections.abc.Callable[[], ids.OperationId]
Report = collections.abc.Callable[[str, str], None]
"""Takes the name of an invariant that is broken, and what was seen."""


def _log_breach(name: str, detail: str) -> None:
    LOG.error('Invariant %s is broken: %s', name, detail)


def _ignore(applied: apply.Applied) -> None:
    """Take no notice of an apply."""


@dataclasses.dataclass
class Desk:
    """What the operators' calls reach.

    :ivar held: parts of the configuration in force, by reference
    :ivar highest: the highest revision that was met
    :ivar applied: told of each apply that was tried
    """

    links: rollout_run.Links
    listing: vm_listing.Reader
    new_operation: NewOperation
    fastest_cycle_s: float = 60.0
    held: dict[str, bytes] = dataclasses.field(default_factory=dict)
    highest: ids.Revision = ids.Revision(0)
    report: Report = _log_breach
    applied: collections.abc.Callable[[apply.Applied], None] = _ignore


async def read_current(desk: Desk) -> staging.Current:
    """Read the head; parts are read once and kept while it names them."""
    held = dict(desk.held)
    current = await staging.read_current(desk.links.kept, held)
    named = current.head.parts.values()
    desk.held = {reference: held[reference] for reference in named}
    _meet(desk, current.head.revision)
    return current


def _meet(desk: Desk, revision: ids.Revision) -> None:
    """Note the head's revision; one below a known one is reported."""
    if revision < desk.highest:
        desk.report(
            'configuration-grows',
            f'the store offers {revision}, {desk.highest} was in force',
        )
    desk.highest = max(desk.highest, revision)


async def read_waves(
    desk: Desk, regions: collections.abc.Iterable[str]
) -> tuple[wave_state.Waves, ...]:
    """Read the waves of some regions."""
    found = []
    for region in sorted(set(regions)):
        name = ids.Region(region)
        empty = wave_state.Waves(region=name)
        waves, _ = await change.read(
            desk.links.kept, wave_state.key(name), empty
        )
        found.append(waves)
    return tuple(found)


def regions_of(whole: configuration.Configuration) -> set[str]:
    """Name the regions of a configuration."""
    return {pool.region for pool in whole.pools}


async def _checked(
    desk: Desk, text: str
) -> tuple[staging.Current, configuration.Configuration, validation.Vms]:
    """Read a file and check it against all there is.

    :raises errors.ConfigurationFault: it doesn't fit the types
    :raises ExceptionGroup: of :class:`errors.ConfigurationFault`
    """
    wanted = configuration.parse(text)
    current = await read_current(desk)
    listing = await vm_listing.read(desk.listing)
    vms = validation.live(listing.vms)
    waves = await read_waves(desk, regions_of(current.whole))
    situation = validation.Situation(
        vms=vms,
        current=current.whole,
        waves=waves,
        fastest_cycle_s=desk.fastest_cycle_s,
    )
    validation.validate(wanted, situation)
    return current, wanted, vms


async def validate(
    desk: Desk, body: admin_messages.FileBody
) -> admin_messages.ValidateReply:
    """Check a file."""
    current, wanted, _ = await _checked(desk, body.file)
    changes = difference.diff(current.whole, wanted)
    return admin_messages.ValidateReply(current.head.revision, len(changes))


async def diff(
    desk: Desk, body: admin_messages.FileBody
) -> admin_messages.DiffReply:
    """Say what a file would change."""
    current, wanted, _ = await _checked(desk, body.file)
    changes = difference.diff(current.whole, wanted)
    return admin_messages.DiffReply(current.head.revision, changes)


async def plan(
    desk: Desk, body: admin_messages.FileBody
) -> admin_messages.PlanReply:
    """Say what a file would change, and which VMs it would move."""
    current, wanted, vms = await _checked(desk, body.file)
    shards = await _shards(desk, vms)
    planned = await curio.run_in_thread(
        plans.make, current.whole, wanted, vms, shards
    )
    return admin_messages.PlanReply(current.head.revision, planned)


async def _shards(desk: Desk, vms: validation.Vms) -> tuple[fleet.Shard, ...]:
    found = []
    for place in sorted({vm.data_centre for vm in vms}):
        empty = fleet.Shard(place, ids.Revision(0), 0)
        shard, _ = await change.read(
            desk.links.kept, fleet.shard_key(place), empty
        )
        found.append(shard)
    return tuple(found)


async def run_apply(
    desk: Desk, body: admin_messages.ApplyBody
) -> apply.Applied:
    """Apply a file as a whole, if the head is still at the base."""
    current, wanted, _ = await _checked(desk, body.file)
    operation = body.operation or desk.new_operation()
    head = current.head
    if body.base is not None and body.base != head.revision:
        return apply.Applied(
            outcome=rollout.Outcome.CONFLICT,
            operation=operation,
            base=body.base,
            revision=head.revision,
            author=head.author,
        )
    wish = apply.Wish(wanted, operation, body.author, desk.highest)
    applied = await apply.run(desk.links, current, wish)
    desk.highest = max(desk.highest, applied.highest)
    desk.applied(applied)
    return applied


async def current_configuration(
    desk: Desk,
) -> admin_messages.ConfigurationReply:
    """Give the configuration in force."""
    current = await read_current(desk)
    return admin_messages.ConfigurationReply(
        revision=current.head.revision,
        author=current.head.author,
        accepted_at_s=current.head.accepted_at_s,
        configuration=current.whole,
    )


async def read_history(desk: Desk) -> admin_messages.HistoryReply:
    """Give the applies, newest first; settles what the head decides."""
    known = await staging.settle(desk.links.kept, desk.new_operation())
    if known is None:
        known, _ = await change.read(
            desk.links.kept, history.KEY, history.History()
        )
    return admin_messages.HistoryReply(known.records[::-1])


async def status(
    desk: Desk, operation: ids.OperationId
) -> admin_messages.StatusReply:
    """Give the state of the whole.

    :param operation: an apply to be looked up, '' for none
    """
    kept = desk.links.kept
    current = await read_current(desk)
    known, _ = await change.read(kept, store.ROSTER_KEY, roster.EMPTY)
    found = await _operation(desk, operation) if operation else None
    return admin_messages.StatusReply(
        revision=current.head.revision,
        author=current.head.author,
        accepted_at_s=current.head.accepted_at_s,
        members=await _members(desk, known),
        waves=await read_waves(desk, regions_of(current.whole)),
        operation=found,
    )


async def _operation(
    desk: Desk, operation: ids.OperationId
) -> admin_messages.OperationStatus:
    """Look an apply up; the head is read before the history."""
    kept = desk.links.kept
    head, _ = await change.read(kept, store.CONFIG_HEAD_KEY, staging.NO_HEAD)
    known, _ = await change.read(kept, history.KEY, history.History())
    settled, _ = history.settle(known, head)
    record = history.find(settled, operation)
    if record is None:
        return admin_messages.OperationStatus(operation, False)
    return admin_messages.OperationStatus(
        operation, True, record.outcome, record.revision
    )


async def _members(
    desk: Desk, known: roster.Roster
) -> tuple[admin_messages.MemberStatus, ...]:
    async with curio.TaskGroup() as group:
        for member in known.members:
            await group.spawn(_member, desk, member)
    return tuple(sorted(group.results, key=lambda status: status.entry))


async def _member(
    desk: Desk, member: roster.Member
) -> admin_messages.MemberStatus:
    revision, reason = None, ''
    try:
        request = messages.FetchRequest(config=True)
        reply = await desk.links.peers.fetch(member.peer, request)
        revision = ids.Revision(reply.head.revision if reply.head else 0)
    except errors.CallFailed as error:
        reason = error.reason
    return admin_messages.MemberStatus(
        member.entry, member.data_centre, revision, reason
    )
