"""Which machines change their pool, ahead of the pools' demand. Pure.

Load it answers: one pool after another needs more than its share for some
seconds. Machines without any work go where they will be needed, and to
standby, where they cost nothing, when no turn is near.
"""

import collections.abc
import dataclasses
import math

from oleanderwood import ids
from oleanderwood.pools import workers as workers_

from oleanderwood.upkeeps import turns as turns_

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
"""Part of its first machines that a pool keeps until its first turn, which
nothing foretells."""

ENDED_S = 1.0
"""Time after a turn's end in which machines stay: a lull, or a store that
tells nothing for a second, looks like an end."""

MOST_MOVES = 4
"""Moves decided in one pass; each costs an order of about 10 ms."""


@dataclasses.dataclass(frozen=True)
class Member:
    """A machine of a pool, or on its way to it.

    :ivar worker: None while it is on its way, or off
    :ivar fixed: it must not move now
    """

    machine: str
    cores: float
    worker: workers_.Worker | None
    fixed: bool = False


@dataclasses.dataclass
class PoolView:
    """One pool.

    :ivar busy_cores: cores of tasks that run or whose turn has come
    :ivar held_cores: of these, cores of tasks that last
    :ivar first_size: machines that it had at first
    """

    service: ids.ServiceId
    members: list[Member]
    busy_cores: float = 0.0
    held_cores: float = 0.0
    first_size: int = 0


@dataclasses.dataclass(frozen=True)
class Move:
    """A machine's move to a pool."""

    machine: str
    source: ids.ServiceId
    target: ids.ServiceId
    why: str


def needed(
    pool: PoolView,
    turns: turns_.Turns,
    cores_each: float,
    move_s: float,
    now_s: float,
) -> int:
    """Give how many machines a pool needs by the time a move takes."""
    cores = pool.busy_cores
    line = turns.lines.get(pool.service)
    if line is not None:
        soon = turns_.soon_cores(line, now_s)
        cores = max(cores, pool.held_cores + soon)
        begin_s = turns_.next_turn_s(turns, pool.service, now_s)
        if begin_s is not None and _near(begin_s, now_s, move_s + AHEAD_S):
            foreseen = FORESEEN_PART * line.turn_cores
            cores = max(cores, pool.held_cores + foreseen)
    return math.ceil(cores / (cores_each * FILL))


def needs(
    pools: collections.abc.Sequence[PoolView],
    standby: dict[ids.ServiceId, list[Member]],
    turns: turns_.Turns,
    move_s: float,
    now_s: float,
) -> dict[ids.ServiceId, int]:
    """Give how many machines each pool needs."""
    cores_each = _cores_each(pools, standby)
    if not cores_each:
        return {pool.service: 0 for pool in pools}
    return {
        pool.service: needed(pool, turns, cores_each, move_s, now_s)
        for pool in pools
    }


def _near(begin_s: float, now_s: float, ahead_s: float) -> bool:
    """Say whether a foreseen turn is about to begin, or should have."""
    return begin_s - ahead_s <= now_s <= begin_s + turns_.WINDOW_S


def decide(
    pools: collections.abc.Sequence[PoolView],
    standby: dict[ids.ServiceId, list[Member]],
    turns: turns_.Turns,
    move_s: float,
    now_s: float,
) -> list[Move]:
    """Decide moves: first to pools that lack machines, then to standby."""
    wanted = needs(pools, standby, turns, move_s, now_s)
    sources = _sources(pools, wanted, turns, move_s, now_s)
    moves = _to_lacking(pools, standby, wanted, sources)
    if standby:
        target = min(standby)
        for service, member in sources:
            if _may_rest(turns, service, move_s, now_s):
                moves.append(Move(member.machine, service, target, 'idle'))
    return moves[:MOST_MOVES]


def _cores_each(pools, standby) -> float:
    members = [member for pool in pools for member in pool.members]
    members += [member for rows in standby.values() for member in rows]
    if not members:
        return 0.0
    return sum(member.cores for member in members) / len(members)


def _sources(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, int],
    turns: turns_.Turns,
    move_s: float,
    now_s: float,
) -> list[tuple[ids.ServiceId, Member]]:
    """Give idle machines beyond what their pools need, idlest first."""
    rows = []
    for pool in pools:
        begin_s = turns_.next_turn_s(turns, pool.service, now_s)
        if begin_s is not None and _near(begin_s, now_s, KEEP_NEAR_S + move_s):
            continue
        kept = wanted[pool.service] + SPARE_MACHINES
        if _turn_is_to_come(turns, pool.service):
            kept = max(kept, math.ceil(UNSEEN_PART * pool.first_size))
        surplus = len(pool.members) - kept
        idle = [member for member in pool.members if _movable(member, now_s)]
        idle.sort(key=lambda member: member.worker.idle_since_s)
        rows += [(pool.service, member) for member in idle[: max(0, surplus)]]
    rows.sort(key=lambda row: row[1].worker.idle_since_s)
    return rows


def _turn_is_to_come(turns: turns_.Turns, service: ids.ServiceId) -> bool:
    """Say whether a pool that takes turns hasn't had its first."""
    line = turns.lines.get(service)
    seen = line is not None and bool(line.starts_s)
    return service in turns.pools and not seen


def _movable(member: Member, now_s: float) -> bool:
    worker = member.worker
    return (
        worker is not None
        and not member.fixed
        and not worker.runs
        and workers_.accepts(worker, now_s)
        and now_s - worker.idle_since_s >= IDLE_S
    )


def _to_lacking(pools, standby, wanted, sources) -> list[Move]:
    lacking = sorted(
        pools,
        key=lambda pool: len(pool.members) - wanted[pool.service],
    )
    resting = [
        (service, member)
        for service, members in sorted(standby.items())
        for member in members
        if not member.fixed
    ]
    moves = []
    for pool in lacking:
        missing = wanted[pool.service] - len(pool.members)
        while missing > 0 and (resting or sources):
            if resting:
                source, member = resting.pop(0)
            else:
                source, member = sources.pop(0)
            moves.append(Move(member.machine, source, pool.service, 'needed'))
            missing -= 1
    return moves


def _may_rest(
    turns: turns_.Turns, service: ids.ServiceId, move_s: float, now_s: float
) -> bool:
    """Say whether a pool's next turn is surely some time away."""
    begin_s = turns_.earliest_turn_s(turns, service, now_s)
    line = turns.lines.get(service)
    if begin_s is None or line is None or line.in_turn:
        return False
    if now_s - line.ended_s < ENDED_S:
        return False
    return begin_s - now_s > KEEP_NEAR_S + move_s
