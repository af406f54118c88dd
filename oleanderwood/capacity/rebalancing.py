"""Which machines change their pool, ahead of the pools' demand. Pure.

Load it answers: one pool after another needs more than its share for some
seconds. Machines without any work go where they will be needed, and to
standby, where they cost nothing, when no turn is near.
"""

import collections.abc
import dataclasses
import math

from oleanderwood.capacity import backlog
from oleanderwood.capacity import demand
from oleanderwood.capacity import draining
from oleanderwood import ids
from oleanderwood.policy import model as policies
from oleanderwood.pools import workers as workers_

FILL = 0.9
"""Part of a machine's cores that tasks of mixed sizes fill."""

AHEAD_S = 0.4
"""How long before a foreseen turn its machines should be there."""

FORESEEN_PART = 1.0
"""Part of the last turn's mean that is brought ahead of the next; the rest
follows the demand. Turns differ, and a machine too many costs twice a move."""

IDLE_S = 1.0
"""Idle time after which a machine may leave its pool; shorter pauses come
between two steps of one job."""

KEEP_NEAR_S = 4.0
"""A machine isn't sent to standby if its pool's turn comes within this time
beyond a move: two moves cost as much as 2.3 s in a pool."""

SPARE_MACHINES = 1
"""Machines beyond the demand that a pool keeps for single arrivals."""

UNSEEN_PART = 0.5
"""Part of its first machines that a pool keeps beside another's turn until
its own first may begin; the rest is brought back ahead of it."""

YOUNG_TURN_PART = 2.0
"""What a pool's turn is taken to need until it can be measured, as a part of
the machines that it had at first. Too few cost the callers of its first
seconds, too many some seconds of a machine."""

PREEMPTED_PART = 0.6
"""Part of its need that a pool keeps while one whose work goes first lacks
machines; tasks that lose nothing then make room."""

HEIGHT_FACTOR = 1.5
"""Height of a turn over its mean; arrivals of measured ones rose to 1.8 times
their mean, and work follows them by a second."""

ENDED_S = 1.0
"""Time after a turn's end in which machines stay: a lull, or a store that
tells nothing for a second, looks like an end."""

TURN_IDLE_S = 2.0
"""Idle time after which a machine leaves a pool in its turn: the busiest
moment of that time didn't need it, and two moves cost as much as it waits."""


@dataclasses.dataclass(frozen=True)
class Member:
    """A machine of a pool, or on its way to it.

    :ivar worker: None while it is on its way, or off
    :ivar fixed: it must not move now
    :ivar labels: of the machine
    :ivar shrunk_cores: of its cores, those that its worker lacks at present
    """

    machine: str
    cores: float
    worker: workers_.Worker | None
    fixed: bool = False
    labels: tuple[str, ...] = ()
    shrunk_cores: float = 0.0


@dataclasses.dataclass
class PoolView:
    """One pool.

    :ivar busy_cores: cores of tasks that run, and of those that last
    :ivar held_cores: of these, cores of tasks that last
    :ivar waiting: other tasks whose turn has come
    :ivar first_size: machines that it had at first
    :ivar min_up: machines that it keeps by an operator's promise
    :ivar priority: the first of the priorities of its work, but for tasks
        that last
    :ivar lacks_kind: a step fits on none of its machines, even idle ones, or
        one that lasts on none as they are, and another machine might do
    :ivar lacks_labels: labels of steps for which the same holds; only a
        machine with the label might do
    """

    service: ids.ServiceId
    members: list[Member]
    busy_cores: float = 0.0
    held_cores: float = 0.0
    first_size: int = 0
    min_up: int = 0
    waiting: list[backlog.Waiting] = dataclasses.field(default_factory=list)
    priority: float = math.inf
    lacks_kind: bool = False
    lacks_labels: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Move:
    """A machine's move to a pool."""

    machine: str
    source: ids.ServiceId
    target: ids.ServiceId
    why: str


@dataclasses.dataclass(frozen=True)
class Need:
    """Machines that a pool needs.

    :ivar now: for what it has to do, and what arrives at the present rate
    :ivar soon: also for a turn that is about to begin
    """

    now: int
    soon: int


@dataclasses.dataclass(frozen=True)
class Decision:
    """What a pass comes to.

    :ivar needs: machines that each pool needs
    :ivar emptied: busy machines that are emptied for pools that lack some
    """

    moves: list[Move]
    needs: dict[ids.ServiceId, Need]
    emptied: list[draining.Emptied] = dataclasses.field(default_factory=list)


def _need(
    pool: PoolView,
    turns: demand.Turns,
    cores_each: float,
    move_s: float,
    now_s: float,
) -> Need:
    line = turns.lines.get(pool.service)
    cores = pool.busy_cores
    if line is not None:
        arriving = pool.held_cores + demand.soon_cores(line, now_s)
        cores = max(cores, arriving)
    cores += backlog.cores(pool.waiting)
    if pool.waiting:
        # What a machine lacks is made up for by others, where work waits.
        cores += sum(member.shrunk_cores for member in pool.members)
    each = cores_each * FILL
    if not each:
        return Need(0, 0)
    now = math.ceil(cores / each)
    if line is not None and demand.is_young(line, now_s):
        now = max(now, _young_machines(pool, turns))
    if pool.lacks_kind:
        # One comes at a time, and those that are there stay meanwhile: sent
        # away as idle, they came back by turns, 26 times in a day of 90 s.
        now = max(now, len(pool.members) + (not _is_coming(pool.members)))
    soon = 0
    turn = demand.next_turn(turns, pool.service, now_s)
    if turn is not None and _near(turn, now_s, move_s + AHEAD_S):
        if _turn_is_to_come(turns, pool.service):
            soon = _young_machines(pool, turns)
        else:
            foreseen = pool.held_cores + FORESEEN_PART * line.turn_cores
            soon = math.ceil(foreseen / each)
    return Need(now, max(now, soon))


def _is_coming(members: collections.abc.Iterable[Member]) -> bool:
    return any(member.worker is None for member in members)


def _young_machines(pool: PoolView, turns: demand.Turns) -> int:
    """Give what a turn is taken to need that can't be measured yet.

    Once others were measured, it is taken for as large as they were.
    """
    part = YOUNG_TURN_PART
    seen = demand.largest_part(turns)
    if seen is not None:
        part = min(part, max(1.0, HEIGHT_FACTOR * seen))
    return math.ceil(part * pool.first_size)


def _near(turn: demand.Foreseen, now_s: float, ahead_s: float) -> bool:
    """Say whether a foreseen turn is about to begin, or should have."""
    begins_s = turn.earliest_s - ahead_s
    return begins_s <= now_s <= turn.latest_s + demand.WINDOW_S


def decide(
    pools: collections.abc.Sequence[PoolView],
    standby: dict[ids.ServiceId, list[Member]],
    turns: demand.Turns,
    move_s: float,
    now_s: float,
    weights: policies.Weights = policies.Weights(),
) -> Decision:
    """Decide moves.

    First to pools that lack machines now, if need be from those that keep
    idle ones for a turn to come; then to pools whose turn is about to begin;
    then to standby.
    """
    cores_each = _cores_each(pools, standby)
    wanted = {
        pool.service: _need(pool, turns, cores_each, move_s, now_s)
        for pool in pools
    }
    free = _Free(
        [
            (service, member)
            for service, members in sorted(standby.items())
            for member in members
            if not member.fixed
        ],
        _sources(pools, wanted, turns, move_s + AHEAD_S, now_s),
    )
    near_s = KEEP_NEAR_S * weights.moves / weights.buffer + move_s
    near = {
        pool.service
        for pool in pools
        if _turn_is_near(turns, pool.service, near_s, now_s)
    }
    moves = _to_unlabelled(pools, free)
    moves += _to_lacking(
        pools, {name: need.now for name, need in wanted.items()}, free, set()
    )
    moves += _to_lacking(
        pools, {name: need.soon for name, need in wanted.items()}, free, near
    )
    left = {
        pool.service: len(pool.members)
        - sum(move.source == pool.service for move in moves)
        for pool in pools
    }
    if standby:
        target = min(standby)
        for service, member in _resting(
            pools, turns, free, left, near, near_s, now_s
        ):
            moves.append(Move(member.machine, service, target, 'idle'))
            left[service] -= 1
    emptied = _to_empty(pools, wanted, free, left, now_s)
    return Decision(moves, wanted, emptied)


def _resting(
    pools: collections.abc.Sequence[PoolView],
    turns: demand.Turns,
    free: '_Free',
    left: dict[ids.ServiceId, int],
    near: set[ids.ServiceId],
    near_s: float,
    now_s: float,
) -> list[tuple[ids.ServiceId, Member]]:
    """Choose idle machines that go to standby.

    A pool keeps its first size while its first turn may begin, and a part of
    it before.

    :param left: members of each pool after the moves that were decided
    :param near: pools whose next turn comes within ``near_s``
    """
    spare = dict(left)
    for pool in pools:
        if _awaits_first(turns, pool.service, near_s, now_s):
            spare[pool.service] -= pool.first_size
        elif _turn_is_to_come(turns, pool.service):
            spare[pool.service] -= math.ceil(UNSEEN_PART * pool.first_size)
    rows = []
    for service, member in free.idle:
        rests = _idle_in_turn(turns, service, member, now_s) or (
            service not in near and _may_rest(turns, service, near_s, now_s)
        )
        if rests and spare[service] > 0:
            rows.append((service, member))
            spare[service] -= 1
    return rows


def _to_empty(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, Need],
    free: '_Free',
    left: dict[ids.ServiceId, int],
    now_s: float,
) -> list[draining.Emptied]:
    """Choose busy machines for pools that found too few idle ones.

    :param left: members of each pool after the moves that were decided
    """
    lacking = {}
    for pool in pools:
        lack = _lack(pool, wanted[pool.service].now, free)
        if lack > 0:
            lacking[pool.service] = lack
    first = min(
        (pool.priority for pool in pools if pool.service in lacking),
        default=math.inf,
    )
    surplus = []
    for pool in pools:
        kept = wanted[pool.service].now + SPARE_MACHINES
        if pool.priority > first:
            kept = math.ceil(PREEMPTED_PART * kept)
        spare = left[pool.service] - max(pool.min_up, kept)
        surplus.append(draining.Surplus(pool.service, pool.members, spare))
    return draining.decide(surplus, sum(lacking.values()), now_s)


@dataclasses.dataclass
class _Free:
    """Machines that may move: on standby, and idle in their pools."""

    resting: list[tuple[ids.ServiceId, Member]]
    idle: list[tuple[ids.ServiceId, Member]]
    coming: dict[ids.ServiceId, int] = dataclasses.field(default_factory=dict)


def _lack(pool: PoolView, wanted: int, free: _Free) -> int:
    """Give how many machines a pool lacks beside those that it gets."""
    return wanted - len(pool.members) - free.coming.get(pool.service, 0)


def _turn_is_near(
    turns: demand.Turns, service: ids.ServiceId, near_s: float, now_s: float
) -> bool:
    turn = demand.next_turn(turns, service, now_s)
    return turn is not None and _near(turn, now_s, near_s)


def _cores_each(pools, standby) -> float:
    members = [member for pool in pools for member in pool.members]
    members += [member for rows in standby.values() for member in rows]
    if not members:
        return 0.0
    return sum(member.cores for member in members) / len(members)


def _sources(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, Need],
    turns: demand.Turns,
    near_s: float,
    now_s: float,
) -> list[tuple[ids.ServiceId, Member]]:
    """Give idle machines beyond what their pools need now, idlest first."""
    rows = []
    for pool in pools:
        kept = max(pool.min_up, wanted[pool.service].now + SPARE_MACHINES)
        if _awaits_first(turns, pool.service, near_s, now_s):
            kept = max(kept, pool.first_size)
        # Machines on their way count as coming, but keep no promise yet.
        up = sum(member.worker is not None for member in pool.members)
        surplus = min(len(pool.members) - kept, up - pool.min_up)
        idle = [
            member
            for member in pool.members
            if _movable(member, now_s)
            and pool.lacks_labels.isdisjoint(member.labels)
        ]
        idle.sort(key=lambda member: member.worker.idle_since_s)
        rows += [(pool.service, member) for member in idle[: max(0, surplus)]]
    rows.sort(key=lambda row: row[1].worker.idle_since_s)
    return rows


def _turn_is_to_come(turns: demand.Turns, service: ids.ServiceId) -> bool:
    """Say whether a pool that takes turns hasn't had its first."""
    line = turns.lines.get(service)
    seen = line is not None and bool(line.starts_s)
    return service in turns.pools and not seen


def _awaits_first(
    turns: demand.Turns, service: ids.ServiceId, near_s: float, now_s: float
) -> bool:
    """Say whether a pool's first turn may begin before a machine can come.

    One pool has its turn at a time: while the present one is young, others
    may borrow.
    """
    if not _turn_is_to_come(turns, service):
        return False
    if turns.last_start_s is None:
        return True
    turn = demand.next_turn(turns, service, now_s)
    if turn is not None:
        return _near(turn, now_s, near_s)
    return not turns.lines[turns.last_pool].in_turn


def _movable(member: Member, now_s: float) -> bool:
    worker = member.worker
    if worker is None or member.fixed or worker.runs:
        return False
    if worker.emptying:
        return True
    idle_s = now_s - worker.idle_since_s
    return workers_.accepts(worker, now_s) and idle_s >= IDLE_S


def _to_unlabelled(
    pools: collections.abc.Sequence[PoolView], free: _Free
) -> list[Move]:
    """Move a machine to each pool that lacks a label, one at a time.

    Any machine in its place would stay without use: two pools that each held
    the kind of the other waited for good.
    """
    moves = []
    for pool in pools:
        for label in sorted(pool.lacks_labels):
            having = [row for row in pool.members if label in row.labels]
            if _is_coming(having):
                continue
            taken = _take_labelled(free, pool.service, label)
            if taken is not None:
                source, member = taken
                moves.append(
                    Move(member.machine, source, pool.service, 'labelled')
                )
                free.coming[pool.service] = (
                    free.coming.get(pool.service, 0) + 1
                )
    return moves


def _take_labelled(
    free: _Free, target: ids.ServiceId, label: str
) -> tuple[ids.ServiceId, Member] | None:
    """Take a machine with a label, from standby if there is one."""
    for rows in (free.resting, free.idle):
        for row in rows:
            if row[0] != target and label in row[1].labels:
                rows.remove(row)
                return row
    return None


def _to_lacking(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, int],
    free: _Free,
    spared: set[ids.ServiceId],
) -> list[Move]:
    """Move machines to pools that lack them, the neediest first.

    :param spared: pools that keep their idle machines
    """
    lacks = {
        pool.service: _lack(pool, wanted[pool.service], free) for pool in pools
    }
    moves = []
    while lacks:
        service = max(lacks, key=lambda name: lacks[name])
        if lacks[service] <= 0:
            break
        taken = _take(free, service, spared)
        if taken is None:
            del lacks[service]
            continue
        source, member = taken
        moves.append(Move(member.machine, source, service, 'needed'))
        free.coming[service] = free.coming.get(service, 0) + 1
        lacks[service] -= 1
    return moves


def _take(
    free: _Free, target: ids.ServiceId, spared: set[ids.ServiceId]
) -> tuple[ids.ServiceId, Member] | None:
    """Take a machine from standby, else an idle one of another pool."""
    if free.resting:
        return free.resting.pop(0)
    for row in free.idle:
        if row[0] != target and row[0] not in spared:
            free.idle.remove(row)
            return row
    return None


def _idle_in_turn(
    turns: demand.Turns, service: ids.ServiceId, member: Member, now_s: float
) -> bool:
    """Say whether a pool in its turn doesn't need an idle machine."""
    line = turns.lines.get(service)
    if line is None or not line.in_turn:
        return False
    return now_s - member.worker.idle_since_s >= TURN_IDLE_S


def _may_rest(
    turns: demand.Turns, service: ids.ServiceId, near_s: float, now_s: float
) -> bool:
    """Say whether a pool's idle machines aren't needed for some time."""
    if _turn_is_to_come(turns, service):
        # What is kept for it is no surplus; while another pool has its turn
        # the rest may go.
        return turns.last_start_s is not None
    begin_s = demand.earliest_turn_s(turns, service, now_s)
    line = turns.lines.get(service)
    if begin_s is None or line is None or line.in_turn:
        return False
    if now_s - line.ended_s < ENDED_S:
        return False
    return begin_s - now_s > near_s
