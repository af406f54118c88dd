"""A model of operators, members and store, driven by rollout's decisions.

The model keeps what each message carries out; a test chooses the order,
and which messages and answers are lost.
"""

import dataclasses

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import rollout
from oleanderwood import roster


def member(number, incarnation=1):
    return roster.Member(
        entry=ids.EntryId(f'entry-{number}'),
        incarnation=f'i{incarnation}',
        region=ids.Region('north'),
        data_centre=ids.DataCentre('dc-a'),
        vm=ids.VmId(f'vm-{number}'),
        peer=ids.Address(f'10.0.0.{number}:1'),
    )


def head(revision, base, operation):
    return configuration.Head(
        ids.Revision(revision),
        ids.Revision(base),
        {},
        ids.OperationId(operation),
    )


@dataclasses.dataclass
class Entry:
    """A live member: what it holds ready and what it has in force."""

    in_force: int
    ready: set = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Operator:
    """One apply: its roll-out, and the actions that wait for their turn."""

    state: rollout.Rollout
    version: int
    pending: list = dataclasses.field(default_factory=list)
    end: rollout.End | None = None
    dropped: bool = False


@dataclasses.dataclass
class World:
    """All state.

    :ivar accepted: operations whose head stood in the store, in order
    :ivar swaps: heads with the ready members when they came to stand
    """

    entries: dict = dataclasses.field(default_factory=dict)
    roster: list = dataclasses.field(default_factory=list)
    gone: set = dataclasses.field(default_factory=set)
    head: configuration.Head = head(0, 0, '')
    version: int = 0
    accepted: list = dataclasses.field(default_factory=list)
    operators: list = dataclasses.field(default_factory=list)
    unready: list = dataclasses.field(default_factory=list)


def begin(world, operation, base=None):
    """Start an apply that is based on the head as it is now."""
    base = world.head.revision if base is None else base
    state, actions = rollout.start(head(base + 1, base, operation), world.head)
    operator = Operator(state, world.version)
    world.operators.append(operator)
    take(operator, actions)
    return operator


def take(operator, actions):
    for action in actions:
        if isinstance(action, rollout.End):
            operator.end = action
            operator.pending = []
        elif isinstance(action, rollout.Drop):
            operator.dropped = True
        else:
            operator.pending.append(action)


def tell(operator, event):
    operator.state, actions = rollout.decide(operator.state, event)
    take(operator, actions)


def join(world, number, incarnation):
    """Let a member join: it writes the roster, then reads the head."""
    new = member(number, incarnation)
    old = [m for m in world.roster if m.entry == new.entry]
    for other in old:
        leave(world, other)
    world.roster.append(new)
    world.entries[new] = Entry(world.head.revision)


def leave(world, old):
    world.roster.remove(old)
    world.entries.pop(old, None)
    world.gone.add(old)


def carry_out(world, operator, action, lost):
    """Carry out an action; its answer is lost if ``lost``."""
    match action:
        case rollout.ReadRoster():
            event = rollout.RosterRead(tuple(world.roster))
            lost = False
        case rollout.Prepare(target):
            event = _prepare(world, operator, target)
        case rollout.Swap():
            event = _swap(world, operator, lost)
            lost = False
        case rollout.Commit(target):
            event = _commit(world, operator, target)
    if lost or event is None:
        operator.pending.append(action)
    else:
        tell(operator, event)


def _prepare(world, operator, target):
    if target in world.gone:
        return rollout.Gone(target)
    entry = world.entries.get(target)
    if entry is not None and entry.in_force >= operator.state.staged.revision:
        return rollout.Refused(target, entry.in_force)
    if entry is not None:
        entry.ready.add(operator.state.staged.operation)
        return rollout.Acknowledged(target)
    return None


def _swap(world, operator, lost):
    staged = operator.state.staged
    if world.version != operator.version:
        return rollout.Swapped(rollout.Outcome.CONFLICT)
    world.unready += [
        (staged.operation, m)
        for m in world.entries
        if m in operator.state.asked
        and staged.operation not in world.entries[m].ready
    ]
    world.head = staged
    world.version += 1
    world.accepted.append(staged.operation)
    if lost:
        return rollout.Swapped(rollout.Outcome.MAY_HAVE_RUN)
    return rollout.Swapped(rollout.Outcome.ACCEPTED)


def _commit(world, operator, target):
    if target in world.gone:
        return rollout.Gone(target)
    entry = world.entries.get(target)
    if entry is None:
        return None
    staged = operator.state.staged
    entry.ready.add(staged.operation)
    entry.in_force = max(entry.in_force, staged.revision)
    return rollout.InForce(target, ids.Revision(entry.in_force))
