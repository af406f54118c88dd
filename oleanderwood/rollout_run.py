"""Access to carrying out a roll-out: what :mod:`rollout` decides."""

import collections.abc
import dataclasses
import logging
import time

import curio

from oleanderwood import change
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import messages
from oleanderwood import peer
from oleanderwood import rollout
from oleanderwood import roster
from oleanderwood import staging
from oleanderwood import store

LOG = logging.getLogger('rollout')

RETRY_S = 0.5
DROP_LIMIT_S = 1.0

Gone = collections.abc.Callable[
    [roster.Member], collections.abc.Awaitable[bool]
]


@dataclasses.dataclass(frozen=True)
class Links:
    """What a roll-out reaches.

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
class Ended:
    """How a roll-out ended, and the time since the swap of the head."""

    end: rollout.End
    took_s: float


@dataclasses.dataclass
class _Run:
    """One roll-out at work."""

    links: Links
    current: staging.Current
    staged: configuration.Head
    whole: configuration.Configuration
    events: curio.Queue


async def run(
    links: Links,
    current: staging.Current,
    staged: configuration.Head,
    whole: configuration.Configuration,
) -> Ended:
    """Carry out a roll-out to its end.

    :param current: the head that ``staged`` is based on
    """
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
                    return Ended(end, took_s)
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
            return rollout.Refused(member, reply.revision)
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
    return dataclasses.replace(
        end, winner=head, reason=_why(end, head, running.staged)
    )


def _why(
    end: rollout.End, head: configuration.Head, staged: configuration.Head
) -> str:
    """Say what is odd about a conflict, '' if another was just faster."""
    if end.in_force > head.revision:
        return (
            f'the store was set back: an entry has {end.in_force} in force; '
            'apply again to go above it'
        )
    if head.revision == staged.base:
        return 'the head was fenced; apply again'
    return ''


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
