"""Access to applying a configuration: carries out what rollout decides."""

import collections.abc
import dataclasses
import logging
import time

import curio
import msgspec

from oleanderwood import change
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import parts
from oleanderwood import peer
from oleanderwood import rollout
from oleanderwood import roster
from oleanderwood import staging
from oleanderwood import store
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('apply')

RETRY_S = 0.5
DROP_LIMIT_S = 1.0

Gone = collections.abc.Callable[
    [roster.Member], collections.abc.Awaitable[bool]
]


@dataclasses.dataclass(frozen=True)
class Links:
    """What an apply reaches.

    :ivar gone: says whether a member is proven gone or isolated
    :ivar prepare_limit_s: how long members may take to acknowledge
    :ivar commit_limit_s: how long the roll-out is followed once accepted
    :ivar retry_s: pause before a member is asked again
    """

    kept: store.Store
    peers: peer.Peers
    gone: Gone
    prepare_limit_s: float = 20.0
    commit_limit_s: float = 8.0
    retry_s: float = RETRY_S
    clock: collections.abc.Callable[[], float] = time.monotonic
    wall_clock: collections.abc.Callable[[], float] = time.time


@dataclasses.dataclass(frozen=True)
class Wish:
    """What an operator wants applied."""

    whole: configuration.Configuration
    operation: ids.OperationId
    author: str = ''


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """How an apply ended.

    ``revision`` is the one accepted, or in the store at a conflict, with
    its ``author``. ``in_force_s`` is the time from the swap until all
    members had it in force; ``missing`` names those not known to.
    """

    outcome: rollout.Outcome
    operation: ids.OperationId
    base: ids.Revision
    revision: ids.Revision
    author: str = ''
    reason: str = ''
    in_force_s: float = 0.0
    missing: tuple[ids.EntryId, ...] = ()


async def run(links: Links, current: staging.Current, wish: Wish) -> Applied:
    """Apply a configuration that was validated against ``current``.

    :raises errors.StoreUnavailable: ``NOT_RUN``, before the roll-out began
    :raises errors.StoreConflict: the operation id is that of another
        apply, or too many are undecided; nothing ran
    """
    wanted = parts.canonical(wish.whole)
    if wanted == current.whole and current.head.revision:
        return _unchanged(current, wish)
    split = parts.split(wanted)
    references = parts.refer(split, current.head.parts, wish.operation)
    staged = configuration.Head(
        revision=ids.Revision(current.head.revision + 1),
        base=current.head.revision,
        parts=references,
        operation=wish.operation,
        author=wish.author,
        accepted_at_s=links.wall_clock(),
    )
    try:
        await _stage(links, current, staged, wanted)
        await _write_parts(links, staged, split)
    except errors.CallFailed as error:
        raise errors.StoreUnavailable(
            verdicts.Verdict.NOT_RUN, error.reason
        ) from error
    applied = await _roll_out(links, current, staged, wanted)
    if applied.outcome is rollout.Outcome.NOT_RUN:
        await staging.withdraw(links.kept, staged)
    else:
        await staging.settle(links.kept, wish.operation)
    return applied


async def _stage(
    links: Links,
    current: staging.Current,
    staged: configuration.Head,
    wanted: configuration.Configuration,
) -> None:
    try:
        await staging.stage(links.kept, current, staged, wanted)
    except staging.TooMany:
        await staging.clear(links.kept, staged.operation)
        raise


async def _write_parts(
    links: Links, staged: configuration.Head, split: dict[str, bytes]
) -> None:
    try:
        await staging.write_parts(links.kept, staged, split)
    except errors.CallFailed:
        await staging.withdraw(links.kept, staged)
        raise


def _unchanged(current: staging.Current, wish: Wish) -> Applied:
    return Applied(
        outcome=rollout.Outcome.ACCEPTED,
        operation=wish.operation,
        base=current.head.revision,
        revision=current.head.revision,
        author=current.head.author,
        reason='the file is in force already',
    )


@dataclasses.dataclass
class _Run:
    """One roll-out at work."""

    links: Links
    current: staging.Current
    staged: configuration.Head
    whole: configuration.Configuration
    events: curio.Queue


async def _roll_out(
    links: Links,
    current: staging.Current,
    staged: configuration.Head,
    whole: configuration.Configuration,
) -> Applied:
    running = _Run(links, current, staged, whole, curio.Queue())
    state, actions = rollout.start(staged, current.head)
    deadline_s = links.clock() + links.prepare_limit_s
    swapped_at_s = 0.0
    async with curio.TaskGroup() as group:
        while True:
            for action in actions:
                if isinstance(action, rollout.End):
                    took_s = links.clock() - swapped_at_s
                    await group.cancel_remaining()
                    await _drop_all(running, actions)
                    end = await _with_winner(running, action)
                    return _applied(running, end, took_s)
                if not isinstance(action, rollout.Drop):
                    await group.spawn(_act, running, action)
            event = await _next_event(running, state, deadline_s)
            before = state.phase
            state, actions = rollout.decide(state, event)
            committing = state.phase is rollout.Phase.COMMITTING
            if committing and before is not state.phase:
                swapped_at_s = links.clock()
                deadline_s = swapped_at_s + links.commit_limit_s


async def _next_event(
    running: _Run, state: rollout.Rollout, deadline_s: float
) -> rollout.Event:
    """Wait for an event; a swap that was sent is waited for to its end."""
    if state.phase is rollout.Phase.SWAPPING:
        return await running.events.get()
    left_s = max(0.0, deadline_s - running.links.clock())
    try:
        return await curio.timeout_after(left_s, running.events.get)
    except curio.TaskTimeout:
        return rollout.TimedOut()


async def _act(running: _Run, action: rollout.Action) -> None:
    match action:
        case rollout.ReadRoster():
            event = await _read_roster(running)
        case rollout.Prepare(member):
            event = await _prepare(running, member)
        case rollout.Swap():
            event = await _swap(running)
        case rollout.Commit(member):
            event = await _commit(running, member)
    await running.events.put(event)


async def _read_roster(running: _Run) -> rollout.Event:
    while True:
        try:
            known, _ = await change.read(
                running.links.kept, store.ROSTER_KEY, roster.EMPTY
            )
        except errors.CallFailed as error:
            LOG.warning('Roster not read: %s.', error)
            await curio.sleep(running.links.retry_s)
            continue
        return rollout.RosterRead(known.members)


async def _prepare(running: _Run, member: roster.Member) -> rollout.Event:
    request = _prepare_request(running)
    while True:
        try:
            reply = await running.links.peers.prepare(member.peer, request)
        except errors.CallFailed as error:
            LOG.info('%s did not acknowledge: %s.', member.entry, error)
            if await running.links.gone(member):
                return rollout.Gone(member)
            await curio.sleep(running.links.retry_s)
            continue
        if reply.acknowledged:
            return rollout.Acknowledged(member)
        if reply.revision >= running.staged.revision:
            return rollout.Refused(member, reply.reason)
        LOG.info('%s can not yet: %s.', member.entry, reply.reason)
        if await running.links.gone(member):
            return rollout.Gone(member)
        await curio.sleep(running.links.retry_s)


def _prepare_request(running: _Run) -> messages.PrepareRequest:
    return messages.PrepareRequest(
        running.staged, running.whole, running.current.version
    )


async def _commit(running: _Run, member: roster.Member) -> rollout.Event:
    """Tell a member; one that lost the staged revision is given it anew."""
    links, staged = running.links, running.staged
    request = messages.CommitRequest(staged.revision, staged.operation, True)
    while True:
        try:
            reply = await links.peers.commit(member.peer, request)
            if reply.revision >= staged.revision:
                return rollout.InForce(member, reply.revision)
            await links.peers.prepare(member.peer, _prepare_request(running))
        except errors.CallFailed as error:
            LOG.info('%s did not answer: %s.', member.entry, error)
            if await links.gone(member):
                return rollout.Gone(member)
        await curio.sleep(links.retry_s)


async def _swap(running: _Run) -> rollout.Event:
    kept, staged = running.links.kept, running.staged
    try:
        await kept.swap(
            store.CONFIG_HEAD_KEY,
            codec.pack(staged),
            running.current.version,
            staged.operation,
            None,
        )
    except errors.StoreConflict:
        return rollout.Swapped(rollout.Outcome.CONFLICT)
    except errors.CallFailed as error:
        outcome = rollout.Outcome(error.verdict.value)
        return rollout.Swapped(outcome, reason=error.reason)
    return rollout.Swapped(rollout.Outcome.ACCEPTED)


async def _with_winner(running: _Run, end: rollout.End) -> rollout.End:
    """Name who came first, where another did."""
    if end.outcome is not rollout.Outcome.CONFLICT:
        return end
    try:
        head, _ = await change.read(
            running.links.kept, store.CONFIG_HEAD_KEY, staging.NO_HEAD
        )
    except errors.CallFailed as error:
        return dataclasses.replace(end, reason=error.reason)
    fenced = head.revision == running.staged.base
    reason = 'the head was fenced; apply again' if fenced else ''
    return dataclasses.replace(end, winner=head, reason=reason)


async def _drop_all(
    running: _Run, actions: tuple[rollout.Action, ...]
) -> None:
    staged = running.staged
    request = messages.CommitRequest(staged.revision, staged.operation, False)
    async with curio.ignore_after(DROP_LIMIT_S):
        async with curio.TaskGroup() as group:
            for action in actions:
                if isinstance(action, rollout.Drop):
                    await group.spawn(_drop, running, action.member, request)


async def _drop(
    running: _Run, member: roster.Member, request: messages.CommitRequest
) -> None:
    try:
        await running.links.peers.commit(member.peer, request)
    except errors.CallFailed as error:
        LOG.info('%s was not told of the drop: %s.', member.entry, error)


def _applied(running: _Run, end: rollout.End, took_s: float) -> Applied:
    staged = running.staged
    accepted = end.outcome is rollout.Outcome.ACCEPTED
    standing = staged if accepted else end.winner or running.current.head
    return Applied(
        outcome=end.outcome,
        operation=staged.operation,
        base=staged.base,
        revision=standing.revision,
        author=standing.author,
        reason=end.reason,
        in_force_s=took_s if accepted else 0.0,
        missing=tuple(member.entry for member in end.missing),
    )
