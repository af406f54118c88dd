"""A small model of moving a VM while entries join, pause and lose contact.

Entry A may be paused between any two steps, and an answer may reach it at
any later time. Whatever isn't done in a run stands for what failed, so an
outage or a cut needs no step of its own. One tick is 4 s: an entry without
contact for two is isolated, and a lease that old has lapsed. Decisions are
made by the product's functions, on views built from the model's state.
Only A is ever proven isolated, from what B reports; the mirrored case is
the same.
"""

import functools
import typing

from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import isolation
from oleanderwood import messages
from oleanderwood import view
from tests import utils_membership as build

TICK_S = 4.0
OLD = 2
ASKED = -1
LATE = 'A is to follow'
NOW_S = 1000.0
A, B = (build.member(name) for name in 'ab')
VM = 'vm-1'

BEFORE, AFTER = 'before the last answer', 'after the last answer'
ABSENCES = {
    '': {},
    BEFORE: {A.incarnation: isolation.Absence(0.0, NOW_S - 2)},
    AFTER: {A.incarnation: isolation.Absence(0.0, NOW_S)},
}


class Entry(typing.NamedTuple):
    """``pending`` is an answer on its way; ``joining`` counts its steps."""

    granted: bool
    contact: int
    rev: int
    heard: int
    pending: tuple | None = None
    joining: int = 0


class Leader(typing.NamedTuple):
    """What the leader knows.

    ``answers`` has the age at which each entry last heard the other;
    ``absent`` says when A's key was found absent.
    """

    members: tuple | None = None
    answers: tuple = (None, None)
    absent: str = ''
    taken: bool = False


class State(typing.NamedTuple):
    """``leases`` and ages are in ticks."""

    entries: tuple
    roster: frozenset
    leases: tuple
    rev: int
    leader: Leader
    ticks: int


SERVES = Entry(True, 0, 1, OLD)
SILENT = SERVES._replace(contact=OLD)
"""Paused for long; proven isolated at an earlier move, and removed."""

STARTS = {
    'both serve': ((SERVES, SERVES), (0, 0)),
    'B is to join': ((SERVES, Entry(False, OLD, 0, OLD)), (0, OLD)),
    'A was removed': ((SILENT, SERVES), (OLD, 0)),
    'B was removed': ((SERVES, SILENT), (0, OLD)),
    'A is to follow': ((SERVES._replace(rev=0), SERVES), (OLD, 0)),
}
"""Entries and their leases; one without a lease isn't on the roster, but
for the last, where A has yet to follow the shard that it was asked to."""


def start(name):
    """Give a first state."""
    entries, leases = STARTS[name]
    on = {which for which in (0, 1) if leases[which] == 0}
    if name == LATE:
        on = {0, 1}
    return State(entries, frozenset(on), leases, 1, Leader(), 0)


def make(horizon, late=False, roster_first=False):
    """Give the model's steps and invariant.

    :param horizon: ticks that a run lasts
    :param late: A doesn't follow the shard when it joins anew
    :param roster_first: a defect: the leader reads the roster, then writes
    """
    members = (A, B)

    def shard(rev):
        state = fleet.VmState.SERVING if rev == 1 else fleet.VmState.RELEASING
        return build.shard(rev, [build.row(VM, rev, state)])

    def to_view(entry, which):
        made = view.make(members[which])
        if entry.rev:
            grants.apply_shard(made.grants, shard(entry.rev))
        made.granted = entry.granted
        made.contact_s = NOW_S - entry.contact * TICK_S
        return made

    def from_view(entry, made, **changes):
        age = min(OLD, int((NOW_S - made.contact_s) / TICK_S))
        rev = grants.revision(made.grants, build.DATA_CENTRE)
        return entry._replace(
            granted=made.granted, contact=age, rev=rev, **changes
        )

    @functools.cache
    def may_send(entry, which):
        return view.may_send(to_view(entry, which), VM, 1, NOW_S)

    @functools.cache
    def news(entry, which):
        return view.standing(to_view(entry, which), NOW_S)

    @functools.cache
    def offered(entry, which, rev):
        made = to_view(entry, which)
        grants.apply_shard(made.grants, shard(rev))
        return from_view(entry, made)

    @functools.cache
    def renewed(entry, which, age):
        made = to_view(entry, which)
        view.contact(made, NOW_S - age * TICK_S, NOW_S)
        return from_view(entry, made, pending=None)

    @functools.cache
    def told(entry, which, age, vouches, their_rev):
        made = to_view(entry, which)
        theirs = messages.Standing(
            'x', 'x', vouches, 0.0, 0, 0, {build.DATA_CENTRE: their_rev}
        )
        view.peer_contact(made, theirs, NOW_S - age * TICK_S, NOW_S)
        return from_view(entry, made, pending=None)

    @functools.cache
    def joined(entry, which, rev, age):
        made = to_view(entry, which)
        if rev:
            grants.apply_shard(made.grants, shard(rev))
        view.contact(made, NOW_S - age * TICK_S, NOW_S)
        view.grant(made)
        return from_view(entry, made, joining=0)

    @functools.cache
    def blocked(leader):
        replies = {}
        for which, heard in enumerate(leader.answers):
            if heard is not None:
                other = members[1 - which].incarnation
                reply = build.release_reply(
                    members[which], 2, {other: heard * TICK_S}
                )
                answer = isolation.Answer(reply, NOW_S - 1)
                replies[members[which].peer] = answer
        evidence = isolation.Evidence(
            revision=2,
            members=tuple(members[which] for which in leader.members),
            no_loss_since_s=0.0,
            answers=replies,
            absences=ABSENCES[leader.absent],
            vm_gone_since_s={},
            request_timeout_s=0.0,
        )
        found = isolation.standing(evidence, NOW_S)
        return bool(isolation.blocking(found, VM))

    def put(state, which, entry, **changes):
        first, second = state.entries
        entries = (first, entry) if which else (entry, second)
        return state._replace(entries=entries, **changes)

    @functools.cache
    def older(entry):
        pending = entry.pending
        if pending is not None and pending[0] != 'shard':
            pending = (pending[0], min(OLD, pending[1] + 1)) + pending[2:]
        return entry._replace(
            contact=min(OLD, entry.contact + 1),
            heard=min(OLD, entry.heard + (entry.heard != ASKED)),
            pending=pending,
        )

    def received(state, which):
        entry = state.entries[which]
        kind, *rest = entry.pending
        if kind == 'lease':
            return renewed(entry, which, rest[0])
        if kind == 'shard':
            return offered(entry, which, rest[0])._replace(pending=None)
        if rest[2] > entry.rev:
            other = state.entries[1 - which]
            entry = offered(entry, which, max(other.rev, entry.rev))
        return told(entry, which, *rest)

    def entry_steps(state, which):
        name = 'AB'[which]
        entry = state.entries[which]
        other = state.entries[1 - which]
        lease = state.leases[which]
        leases = list(state.leases)
        leases[which] = 0

        def sent(pending):
            return entry._replace(pending=pending)

        if entry.pending is not None:
            yield f'{name} receives', put(state, which, received(state, which))
        elif entry.granted and not entry.joining:
            if lease < OLD and (lease or entry.contact):
                after = put(
                    state, which, sent(('lease', 0)), leases=tuple(leases)
                )
                yield f'{name} renews', settle(after, which)
            if which == 0:
                known = news(other, 1)
                told_ = ('news', 0, known.vouches, other.rev)
                after = put(state, 0, sent(told_))
                yield 'A gossips', put(after, 1, other._replace(heard=0))
            if which == 0 and entry.rev < 2 and not late:
                yield 'A reads', put(state, 0, sent(('shard', state.rev)))
        if entry.joining == 0 and (not entry.granted or lease == OLD):
            after = entry._replace(joining=1)
            yield (
                f'{name} joins',
                put(state, which, after, roster=state.roster | {which}),
            )
        elif entry.joining == 1:
            after = entry._replace(joining=2)
            yield (
                f'{name} leases',
                put(state, which, after, leases=tuple(leases)),
            )
        elif entry.joining == 2:
            unknown = late and which == 0 and not entry.rev
            rev = 0 if unknown else state.rev
            after = joined(entry, which, rev, lease)
            yield f'{name} is in', put(state, which, after)

    def settle(state, which):
        """Let B get its answers at once; only A is paused."""
        if which == 0:
            return state
        return put(state, which, received(state, which))

    def leader_steps(state):
        leader = state.leader
        if leader.taken:
            return
        writes = state.rev == 1 and (
            leader.members is not None or not roster_first
        )
        if writes:
            yield 'leader writes', state._replace(rev=2)
        if leader.members is None and (state.rev == 2 or roster_first):
            read = leader._replace(members=tuple(sorted(state.roster)))
            yield 'leader reads roster', state._replace(leader=read)
        if state.rev == 1 or leader.members is None:
            return
        for which in leader.members:
            if leader.answers[which] is None:
                yield f'{"AB"[which]} answers', answered(state, which)
        if state.leases[0] == OLD and leader.absent != AFTER:
            after = leader._replace(absent=AFTER)
            yield 'leader sees no key', state._replace(leader=after)
        if not blocked(leader):
            yield 'VM is taken', taken(state)

    def answered(state, which):
        entry = state.entries[which]
        answers = list(state.leader.answers)
        answers[which] = entry.heard
        absent = BEFORE if state.leader.absent else ''
        leader = Leader(state.leader.members, tuple(answers), absent)
        return put(state, which, offered(entry, which, 2), leader=leader)

    def taken(state):
        entries = tuple(e._replace(heard=ASKED) for e in state.entries)
        return state._replace(entries=entries, leader=Leader(taken=True))

    def reduced(state):
        """Forget what was heard where nobody will ask any more."""
        for which, entry in enumerate(state.entries):
            asked = state.leader.answers[which] is not None
            if asked and entry.heard != ASKED:
                state = put(state, which, entry._replace(heard=ASKED))
        return state

    def steps(state):
        for name, after in all_steps(state):
            yield name, reduced(after)

    def all_steps(state):
        if state.ticks < horizon:
            entries = tuple(map(older, state.entries))
            leases = tuple(min(OLD, age + 1) for age in state.leases)
            yield (
                'tick',
                State(
                    entries,
                    state.roster,
                    leases,
                    state.rev,
                    state.leader,
                    state.ticks + 1,
                ),
            )
        yield from entry_steps(state, 0)
        yield from entry_steps(state, 1)
        yield from leader_steps(state)

    def broken(state):
        if not state.leader.taken:
            return ''
        for which, entry in enumerate(state.entries):
            if may_send(entry, which):
                return f'{"AB"[which]} may send to a VM that was taken'
        return ''

    return steps, broken
