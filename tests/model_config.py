"""A small model of two operators who apply at once to two entries.

Every message may arrive at any later time, in any order, or never; an
entry may read the head at any time and get the answer later. Entry B joins
at any time. Decisions are the product's: :mod:`rollout` for the operators,
:mod:`config_state` for the entries.
"""

import functools
import typing

from oleanderwood import config_state
from oleanderwood import configuration
from oleanderwood import rollout
from tests import utils_membership as build

MEMBERS = (build.member('a'), build.member('b'))
CONTENT = configuration.Configuration()
NO_SWAP = rollout.Swapped(rollout.Outcome.CONFLICT)


class Head(typing.NamedTuple):
    """A head; ``version`` is the store's."""

    rev: int
    operation: str
    version: int


class Entry(typing.NamedTuple):
    """``joined``: 0 not, 1 on the roster, 2 has read the head since.

    ``stages`` are ``(revision, operation, base version, has content)``;
    ``known`` are the records read when joining.
    """

    joined: int
    head: Head
    stages: frozenset = frozenset()
    read: Head | None = None
    known: tuple = ()


class Operator(typing.NamedTuple):
    """A roll-out with its messages that are on the way."""

    phase: rollout.Phase
    asked: frozenset
    waiting: frozenset
    roster_due: bool
    sent: frozenset
    told: rollout.Outcome | None = None


class State(typing.NamedTuple):
    """``accepted`` are all heads there have been, ``records`` applies."""

    head: Head
    roster: tuple
    entries: tuple
    operators: tuple
    accepted: tuple
    records: tuple = ()


FIRST = Head(1, 'first', 1)
NOTHING = Head(0, '', 0)
NAMES = ('x', 'y')
READ_ROSTER = frozenset({('ReadRoster', None)})


def _staged(which):
    return configuration.Head(2, 1, {}, NAMES[which])


def _operator(step, sent=frozenset()):
    state, actions = step
    told = None
    for action in actions:
        if isinstance(action, rollout.End):
            told = action.outcome
        else:
            sent |= {(type(action).__name__, getattr(action, 'member', None))}
    return Operator(
        state.phase, state.asked, state.waiting, state.roster_due, sent, told
    )


def start(operators, joining):
    """Give the first state: A serves revision 1.

    :param operators: 1 or 2
    :param joining: B has yet to join; else it serves revision 1 as well
    """
    old = configuration.Head(1, 0, {}, 'first')
    begun = tuple(
        _operator(rollout.start(_staged(which), old))._replace(
            sent=frozenset({('Record', None)})
        )
        for which in range(operators)
    )
    other = Entry(0, NOTHING) if joining else Entry(2, FIRST)
    on = (0,) if joining else (0, 1)
    return State(FIRST, on, (Entry(2, FIRST), other), begun, (FIRST,))


def _replaced(items, which, item):
    return items[:which] + (item,) + items[which + 1 :]


def make(records=True):
    """Give the steps and the invariant.

    :param records: False is a defect: an entry that joins reads no records
    """

    def to_state(entry):
        made = config_state.ConfigState()
        if entry.head.rev:
            made.head = configuration.Head(
                entry.head.rev, 0, {}, entry.head.operation
            )
            made.content = CONTENT
        for rev, operation, base, has in sorted(entry.stages):
            head = configuration.Head(rev, rev - 1, {}, operation)
            content = CONTENT if has else None
            found = config_state.Stage(head, content, 0.0, base)
            made.stages[operation] = found
        return made

    def from_state(entry, made):
        head = NOTHING
        if made.head is not None:
            head = Head(made.head.revision, made.head.operation, 0)
        stages = frozenset(
            (
                found.head.revision,
                operation,
                found.base_version,
                found.content is not None,
            )
            for operation, found in made.stages.items()
        )
        return entry._replace(head=head, stages=stages)

    @functools.cache
    def prepared(entry, which):
        made = to_state(entry)
        reason = config_state.stage(made, _staged(which), CONTENT, 0.0, 1)
        return from_state(entry, made), reason

    @functools.cache
    def committed(entry, which):
        made = to_state(entry)
        config_state.commit(made, 2, NAMES[which])
        return from_state(entry, made)

    @functools.cache
    def dropped(entry, which):
        made = to_state(entry)
        config_state.drop(made, NAMES[which])
        return from_state(entry, made)

    @functools.cache
    def learnt(entry, head):
        made = to_state(entry)
        for which in entry.known:
            config_state.note(made, _staged(which), 0.0, head.version)
        offered = configuration.Head(head.rev, 0, {}, head.operation)
        config_state.apply(made, offered, CONTENT)
        config_state.check(made, 0.0, head.version)
        return from_state(entry, made)._replace(read=None, known=(), joined=2)

    @functools.cache
    def decided(operator, which, event):
        state = rollout.Rollout(
            _staged(which),
            operator.phase,
            operator.asked,
            operator.waiting,
            operator.roster_due,
        )
        after = _operator(rollout.decide(state, event), operator.sent)
        return after if after.told else after._replace(told=operator.told)

    def entry_steps(state, which):
        entry = state.entries[which]
        name = 'AB'[which]

        def put(after, **changes):
            entries = _replaced(state.entries, which, after)
            return state._replace(entries=entries, **changes)

        if entry.joined == 0:
            after = entry._replace(joined=1)
            yield f'{name} joins', put(after, roster=state.roster + (which,))
            return
        if entry.joined == 1 and entry.read is None and not entry.known:
            known = state.records if records else ()
            after = entry._replace(
                known=known, read=None if known else NOTHING
            )
            yield f'{name} reads records', put(after)
        elif entry.read not in (None, NOTHING):
            yield f'{name} reads', put(learnt(entry, entry.read))
        elif entry.joined == 1 or (which == 0 and not entry.stages):
            yield f'{name} asks', put(entry._replace(read=state.head))
        elif entry.head.rev < state.head.rev:
            yield f'{name} watches', put(learnt(entry, state.head))

    def operator_steps(state, which):
        operator = state.operators[which]

        def put(event, after=state, spent=None):
            changed = operator
            if spent is not None:
                changed = operator._replace(sent=operator.sent - {spent})
            if event is not None:
                changed = decided(changed, which, event)
            operators = _replaced(after.operators, which, changed)
            return after._replace(operators=operators)

        if operator.phase is rollout.Phase.PREPARING:
            yield f'{NAMES[which]} gives up', put(rollout.TimedOut())
        for spent in sorted(operator.sent, key=str):
            kind, member = spent
            name = f'{NAMES[which]} {kind}'
            if kind == 'Record':
                after = state._replace(records=state.records + (which,))
                begun = operator._replace(sent=READ_ROSTER)
                operators = _replaced(after.operators, which, begun)
                yield name, after._replace(operators=operators)
            elif kind == 'ReadRoster':
                read = tuple(MEMBERS[index] for index in state.roster)
                yield name, put(rollout.RosterRead(read), spent=spent)
            elif kind == 'Swap':
                yield name, swapped(state, which, put, spent)
            else:
                asked = MEMBERS.index(member)
                after, event = delivered(state, which, kind, asked)
                label = f'{name} at {"AB"[asked]}'
                yield label, put(event, after, spent)
                if kind == 'Prepare':
                    yield f'{label}, answer lost', put(None, after)

    def delivered(state, which, kind, asked):
        entry = state.entries[asked]
        member = MEMBERS[asked]
        event = None
        if kind == 'Prepare':
            after, reason = prepared(entry, which)
            event = rollout.Acknowledged(member)
            if reason:
                event = rollout.Refused(member, reason)
        elif kind == 'Commit':
            after = committed(entry, which)
            event = rollout.InForce(member, after.head.rev)
        else:
            after = dropped(entry, which)
        entries = _replaced(state.entries, asked, after)
        return state._replace(entries=entries), event

    def swapped(state, which, put, spent):
        if state.head != FIRST:
            return put(NO_SWAP, spent=spent)
        head = Head(2, NAMES[which], 2)
        after = state._replace(head=head, accepted=state.accepted + (head,))
        event = rollout.Swapped(rollout.Outcome.ACCEPTED)
        return put(event, after, spent)

    def steps(state):
        for which in range(len(state.entries)):
            yield from entry_steps(state, which)
        for which in range(len(state.operators)):
            yield from operator_steps(state, which)

    def broken(state):
        accepted = {head.operation for head in state.accepted}
        for entry in state.entries:
            held = {stage[1] for stage in entry.stages}
            if entry.head.rev and entry.head.operation not in accepted:
                return 'a revision is in force that was never accepted'
            if entry.joined == 2 and entry.head.rev < state.head.rev:
                if state.head.operation not in held:
                    return 'an entry serves an old revision in good faith'
        for which, operator in enumerate(state.operators):
            done = operator.told is rollout.Outcome.ACCEPTED
            if operator.told and done != (NAMES[which] in accepted):
                return 'an operator was told what is not so'
        return ''

    return steps, broken
