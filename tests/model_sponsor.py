"""A small model of an entry N that can't reach the store, and its sponsor P.

P may be paused or end at any time; a successor Q then listens on its
address. One tick is 4 s, as in :mod:`model_ownership`. Only P and Q reach
the store; the leader reaches all, or is not answered.
"""

import functools
import typing

from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import isolation
from oleanderwood import messages
from oleanderwood import neighbours
from oleanderwood import roster
from oleanderwood import view
from tests import utils_membership as build

TICK_S = 4.0
OLD = 2
NOW_S = 1000.0
P, N = build.member('p'), build.member('n')
Q = build.member('p', 'p-2')


class State(typing.NamedTuple):
    """Ages in ticks; ``asked`` is None once P has never been asked.

    ``reply`` is P's answer to N on its way: its age and P's contact and
    revision. ``q_up`` is None until P has ended. ``heard`` is what the
    leader was answered at P's address: by whom, whom they sponsor.
    """

    ticks: int = 0
    rev: int = 1
    p_contact: int = 0
    p_rev: int = 1
    lease: int = 0
    asked: int | None = None
    q_up: int | None = None
    members: frozenset = frozenset({P})
    n_contact: int = OLD
    n_rev: int = 0
    n_granted: bool = False
    reply: tuple | None = None
    read: frozenset | None = None
    heard: tuple | None = None
    n_heard: bool = False
    absent: bool = False
    taken: bool = False


def make(horizon):
    """Give the steps and the invariant."""

    @functools.cache
    def shard(rev):
        state = fleet.VmState.SERVING if rev == 1 else fleet.VmState.RELEASING
        return build.shard(rev, [build.row('vm-1', rev, state)])

    def to_view(member, granted, contact, rev, sponsor=''):
        made = view.make(member)
        if rev:
            grants.apply_shard(made.grants, shard(rev))
        made.granted, made.sponsor = granted, sponsor
        made.contact_s = NOW_S - contact * TICK_S
        return made

    @functools.cache
    def standing(contact, rev):
        return view.standing(to_view(P, True, contact, rev), NOW_S)

    @functools.cache
    def sponsored(granted, contact, rev, age, theirs):
        sponsor = P.incarnation if granted else ''
        made = to_view(N, granted, contact, rev, sponsor)
        reply = messages.SponsorReply(True, standing(*theirs))
        sent_s = NOW_S - age * TICK_S
        view.sponsor_contact(made, reply, sent_s, NOW_S)
        after = min(OLD, int((NOW_S - made.contact_s) / TICK_S))
        return made.granted, after

    @functools.cache
    def may_send(member, granted, contact, rev):
        made = to_view(member, granted, contact, rev)
        return view.may_send(made, 'vm-1', 1, NOW_S)

    @functools.cache
    def listed(asked):
        known = neighbours.Neighbours(0.0)
        if asked is not None:
            neighbours.sponsor(known, N, NOW_S - asked * TICK_S)
        return neighbours.sponsored(known, NOW_S)

    @functools.cache
    def blocked(read, heard, n_heard, absent):
        answers = {}
        if heard is not None:
            by, up, guests = heard
            reply = messages.ReleaseReply(
                by.entry, by.incarnation, 2, {}, {}, up * TICK_S, guests
            )
            answers[P.peer] = isolation.Answer(reply, NOW_S - 1)
        if n_heard:
            reply = build.release_reply(N, 2)
            answers[N.peer] = isolation.Answer(reply, NOW_S - 1)
        gone = isolation.Absence(0.0, NOW_S)
        evidence = isolation.Evidence(
            revision=2,
            members=tuple(sorted(read, key=lambda m: m.incarnation)),
            no_loss_since_s=0.0,
            answers=answers,
            absences={P.incarnation: gone} if absent else {},
            vm_gone_since_s={},
            request_timeout_s=0.0,
        )
        found = isolation.standing(evidence, NOW_S)
        return bool(isolation.blocking(found, 'vm-1'))

    def tick(state):
        return state._replace(
            ticks=state.ticks + 1,
            p_contact=min(OLD, state.p_contact + 1),
            lease=min(OLD, state.lease + 1),
            asked=None if state.asked is None else min(OLD, state.asked + 1),
            q_up=None if state.q_up is None else min(OLD, state.q_up + 1),
            n_contact=min(OLD, state.n_contact + 1),
            reply=state.reply
            and (min(OLD, state.reply[0] + 1), state.reply[1]),
        )

    def entry_steps(state):
        alive = state.q_up is None
        if alive and state.lease < OLD and state.p_contact:
            yield 'P renews', state._replace(p_contact=0, lease=0)
        if alive and state.p_contact < OLD and state.reply is None:
            reply = (0, (state.p_contact, state.p_rev))
            yield 'N asks', state._replace(asked=0, reply=reply)
        if alive:
            yield 'P ends', state._replace(q_up=0, asked=None)
        if state.reply is not None:
            age, theirs = state.reply
            lags = state.n_rev < theirs[1]
            rev = state.p_rev if alive and lags else state.n_rev
            granted, contact = sponsored(
                state.n_granted, state.n_contact, rev, age, theirs
            )
            yield (
                'N is answered',
                state._replace(
                    reply=None, n_rev=rev, n_granted=granted, n_contact=contact
                ),
            )
        if not alive and Q not in state.members:
            yield 'Q joins', state._replace(members=state.members | {Q})
        if not alive and P in state.members:
            if state.q_up * TICK_S >= isolation.QUIET_S:
                known = roster.Roster(1, tuple(state.members))
                left = state.members - set(roster.superseded(known, Q))
                yield 'Q removes P', state._replace(members=left)

    def leader_steps(state):
        if state.rev == 1:
            yield 'leader writes', state._replace(rev=2)
            return
        if state.read is None:
            yield 'leader reads', state._replace(read=state.members)
            return
        if state.heard is None and state.q_up is None:
            heard = (P, OLD, listed(state.asked))
            yield 'P answers', state._replace(heard=heard, p_rev=2)
        elif state.heard is None:
            yield 'Q answers', state._replace(heard=(Q, state.q_up, ()))
        if state.heard and N in state.heard[2] and not state.n_heard:
            yield 'N answers', state._replace(n_heard=True, n_rev=2)
        if state.lease == OLD and not state.absent:
            yield 'no key of P', state._replace(absent=True)
        known = (state.read, state.heard, state.n_heard, state.absent)
        if not blocked(*known):
            yield 'VM is taken', state._replace(taken=True)

    def steps(state):
        if state.ticks < horizon:
            yield 'tick', tick(state)
        yield from entry_steps(state)
        if not state.taken:
            yield from leader_steps(state)

    def broken(state):
        if not state.taken:
            return ''
        n = (N, state.n_granted, state.n_contact, state.n_rev)
        if may_send(*n):
            return 'N may send to a VM that was taken'
        p = (P, state.q_up is None, state.p_contact, state.p_rev)
        return 'P may send to a VM that was taken' if may_send(*p) else ''

    return steps, broken
