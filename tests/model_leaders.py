"""A small model of leaders that move VMs under two entries.

Leaders may be paused at any point and go on with an old copy; each write
is a compare-and-swap of the whole shard. Entry B joins at any time. No
clock: a leader goes on only by what the entries answer.
"""

import functools
import typing

from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import isolation
from oleanderwood import view
from tests import utils_membership as build

MEMBERS = (build.member('a'), build.member('b'))
VMS = ('vm-1', 'vm-2')
STATES = (
    fleet.VmState.SERVING,
    fleet.VmState.RELEASING,
    fleet.VmState.DRAINING,
    fleet.VmState.SERVING,
)
"""A VM's way from one pool to the other, by epoch."""

RELEASING, TAKEN, MOVED = 1, 2, 3


class Shard(typing.NamedTuple):
    """``rows`` are epochs, which give pool and state."""

    rev: int
    rows: tuple


class Entry(typing.NamedTuple):
    """``flying`` has the epoch of a request in flight per VM, or None."""

    joined: bool
    shard: Shard
    flying: tuple


class Leader(typing.NamedTuple):
    """``released`` are VMs that an answer of each member set free."""

    copy: Shard
    members: tuple | None = None
    answers: tuple = (None, None)


class State(typing.NamedTuple):
    """All there is."""

    shard: Shard
    roster: tuple
    entries: tuple
    leaders: tuple


def start(vms, leaders):
    """Give the first state: A serves, B has yet to join."""
    first = Shard(1, (0,) * vms)
    idle = (None,) * vms
    nothing = Shard(0, (0,) * vms)
    return State(
        first,
        (0,),
        (Entry(True, first, idle), Entry(False, nothing, idle)),
        (Leader(first),) * leaders,
    )


def _pool(epoch):
    return 'new' if epoch >= TAKEN else 'old'


def _replaced(items, which, item):
    return items[:which] + (item,) + items[which + 1 :]


@functools.cache
def _shard(shard):
    rows = [
        build.row(vm, epoch + 1, STATES[epoch], _pool(epoch))
        for vm, epoch in zip(VMS, shard.rows, strict=False)
    ]
    return build.shard(shard.rev, rows)


def _view(entry, which):
    made = view.make(MEMBERS[which])
    if entry.shard.rev:
        grants.apply_shard(made.grants, _shard(entry.shard))
    made.granted = entry.joined
    made.contact_s = 0.0
    for vm, epoch in zip(VMS, entry.flying, strict=False):
        if epoch is not None:
            view.begin(made, vm, epoch + 1)
    return made


def make(split=False, blind=False, roster_first=False):
    """Give the steps and the invariant.

    :param split: each leader moves the VM of its own number only
    :param blind: a defect: leaders write without comparing
    :param roster_first: a defect: leaders read the roster, then write
    """

    @functools.cache
    def may_send(entry, which, vm):
        made = _view(entry, which)
        return view.may_send(made, VMS[vm], entry.shard.rows[vm] + 1, 0.0)

    @functools.cache
    def offered(entry, which, shard):
        made = _view(entry, which)
        grants.apply_shard(made.grants, _shard(shard))
        rev = grants.revision(made.grants, build.DATA_CENTRE)
        kept = shard if rev == shard.rev else entry.shard
        held = tuple(sorted(grants.held(made.grants).items()))
        return entry._replace(shard=kept), (rev, held)

    @functools.cache
    def free(leader, vm):
        answers = {}
        for which, answer in enumerate(leader.answers):
            if answer is not None:
                rev, held = answer
                reply = build.release_reply(
                    MEMBERS[which], rev, {}, dict(held)
                )
                answers[reply.entry] = (MEMBERS[which].peer, reply)
        evidence = isolation.Evidence(
            revision=leader.copy.rev,
            members=tuple(MEMBERS[which] for which in leader.members),
            no_loss_since_s=0.0,
            answers={
                peer: isolation.Answer(reply, 0.0)
                for peer, reply in answers.values()
            },
            absences={},
            vm_gone_since_s={},
        )
        found = isolation.standing(evidence, 0.0)
        return not isolation.blocking(found, VMS[vm])

    def entry_steps(state, which):
        entry = state.entries[which]
        name = 'AB'[which]

        def put(after, **changes):
            entries = _replaced(state.entries, which, after)
            return state._replace(entries=entries, **changes)

        if which not in state.roster:
            yield f'{name} joins', put(entry, roster=state.roster + (which,))
        elif entry.shard.rev < state.shard.rev:
            after = entry._replace(joined=True, shard=state.shard)
            yield f'{name} reads', put(after)
        for vm, epoch in enumerate(entry.flying):
            flying = entry.flying
            if epoch is not None:
                after = entry._replace(flying=_replaced(flying, vm, None))
                yield f'{name} ends at {vm}', put(after)
            elif may_send(entry, which, vm):
                sent = _replaced(flying, vm, entry.shard.rows[vm])
                yield (
                    f'{name} sends to {vm}',
                    put(entry._replace(flying=sent)),
                )

    def leader_steps(state, which):
        leader = state.leaders[which]
        name = f'leader {which}'

        def put(after, **changes):
            leaders = _replaced(state.leaders, which, after)
            return state._replace(leaders=leaders, **changes)

        def written(vm, epoch, members=None):
            copy = leader.copy
            rows = _replaced(copy.rows, vm, epoch)
            made = Shard(copy.rev + 1, rows)
            if blind or state.shard == copy:
                return put(Leader(made, members), shard=made)
            return put(Leader(state.shard))

        early = leader.members if roster_first else None
        for vm, epoch in enumerate(leader.copy.rows):
            if split and vm != which:
                continue
            if epoch == 0 and not (roster_first and early is None):
                yield f'{name} releases {vm}', written(vm, RELEASING, early)
            if epoch == RELEASING and leader.members and free(leader, vm):
                yield f'{name} takes {vm}', written(vm, TAKEN)
            if epoch == TAKEN:
                yield f'{name} moves {vm}', written(vm, MOVED)
        if leader.copy.rev < state.shard.rev:
            yield f'{name} reads', put(Leader(state.shard))
        if leader.members is None:
            members = tuple(sorted(state.roster))
            after = leader._replace(members=members)
            yield f'{name} reads roster', put(after)
            return
        for asked in leader.members:
            if leader.answers[asked] is None and state.entries[asked].joined:
                entry, answer = offered(
                    state.entries[asked], asked, leader.copy
                )
                answers = _replaced(leader.answers, asked, answer)
                entries = _replaced(state.entries, asked, entry)
                after = leader._replace(answers=answers)
                yield f'{"AB"[asked]} answers', put(after, entries=entries)

    def steps(state):
        for which in range(len(state.entries)):
            yield from entry_steps(state, which)
        for which in range(len(state.leaders)):
            yield from leader_steps(state, which)

    def broken(state):
        for vm, epoch in enumerate(state.shard.rows):
            sent = {e.flying[vm] for e in state.entries} - {None}
            if epoch == TAKEN and sent:
                return f'{VMS[vm]} was taken with requests in flight'
            if len({_pool(e) for e in sent}) > 1:
                return f'{VMS[vm]} works for two pools'
        return ''

    return steps, broken
