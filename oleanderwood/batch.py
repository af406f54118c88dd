"""Access to the choice of VMs that a wave takes at one step."""

import collections
import collections.abc
import dataclasses
import enum
import math

import msgspec

from oleanderwood import budget
from oleanderwood import buffer
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve


class BlockReason(enum.Enum):
    """Why a VM isn't taken now."""

    MIN_UP = 'min-up'
    """Its pool would have too few VMs up; a loan would help."""

    RESERVE = 'reserve'
    """A promised failure domain could no longer be lost."""

    QUARTER = 'quarter'
    """The quarter's budget doesn't carry it; a loan would help."""

    WIDTH = 'width'
    """As many are out as the wave's outcomes so far allow."""

    HELD = 'held'
    """The wave takes nothing now; its phase says why."""

    BROKEN = 'broken'
    """It is out until it is replaced."""

    OUT = 'out'
    """It is out already, for this wave or for another reason."""


LOAN_HELPS = frozenset({BlockReason.MIN_UP, BlockReason.QUARTER})


class Blocked(msgspec.Struct, frozen=True):
    """A VM that is not taken now."""

    vm: ids.VmId
    pool: ids.PoolId
    reason: BlockReason


@dataclasses.dataclass(frozen=True)
class Left:
    """The VMs of a wave that have no outcome yet.

    ``by_pool`` counts those that are up or out, ``broken`` ones excluded.
    """

    up: tuple[fleet.VmRow, ...]
    out: tuple[fleet.VmRow, ...]
    broken: tuple[fleet.VmRow, ...]
    by_pool: collections.Counter


@dataclasses.dataclass(frozen=True)
class Quarter:
    """What the quarter's budgets are charged for one more VM."""

    spent: collections.abc.Mapping[ids.PoolId, budget.Spent]
    absence_s: float


@dataclasses.dataclass(frozen=True)
class Choice:
    """VMs to take now; ``fitting`` counts them without the width."""

    take: tuple[ids.VmId, ...]
    blocked: tuple[Blocked, ...]
    fitting: int


def left_of(
    census: reserve.Census,
    targets: collections.abc.Iterable[ids.VmId],
    finished: collections.abc.Container[ids.VmId],
) -> Left:
    """Sort out the VMs that a wave still has to maintain."""
    up, out, broken = [], [], []
    for vm in targets:
        row = census.rows.get(vm)
        if row is None or vm in finished:
            continue
        if reserve.is_up(row):
            up.append(row)
        elif row.state is fleet.VmState.BROKEN:
            broken.append(row)
        else:
            out.append(row)
    by_pool = collections.Counter(row.pool for row in (*up, *out))
    return Left(tuple(up), tuple(out), tuple(broken), by_pool)


def choose(
    census: reserve.Census, left: Left, width: int, quarter: Quarter
) -> Choice:
    """Take VMs while every promise holds, at most ``width`` at once.

    Pools that would need the most rounds go first. Once as many VMs may be
    out as there are racks left, whole racks go before single VMs. The
    census is left with the chosen VMs out.
    """
    racks = collections.defaultdict(list)
    for row in left.up:
        racks[census.sites[row.vm]].append(row)
    rounds = {name: rounds_of(census, left, name) for name in left.by_pool}
    order = sorted(
        racks,
        key=lambda site: (-max(rounds[row.pool] for row in racks[site]), site),
    )
    room = width - len(left.out)
    taken = []
    for site in order if room >= len(racks) else ():
        if len(taken) + len(racks[site]) <= room:
            taken += _whole_rack(census, racks[site], quarter)
    known = set(taken)
    singles = [
        row for site in order for row in racks[site] if row.vm not in known
    ]
    singles.sort(key=lambda row: -rounds[row.pool])
    return _fill(census, left, singles, taken, room, quarter)


def rounds_of(census: reserve.Census, left: Left, pool: ids.PoolId) -> int:
    """Say how many batches a pool needs, one after the other."""
    state = census.pools.get(pool)
    if state is None:
        return 1
    members = state.up + state.out - state.broken
    at_once = max(1, members - max(state.needed, 0))
    return math.ceil(left.by_pool[pool] / at_once)


def loans(
    census: reserve.Census,
    left: Left,
    choice: Choice,
    width: int,
    rounds_left: float,
) -> tuple[buffer.Loan, ...]:
    """Name the pools that should have VMs on loan, most urgent first.

    A pool that has VMs on loan keeps them until its VMs are done. Others
    get one where a loan is the only way on. Once all of these have theirs,
    pools that need more than ``rounds_left`` get another one.
    """
    held = {}
    for name in left.by_pool:
        state = census.pools.get(name)
        if state is not None:
            members = state.up + state.out - state.broken
            held[name] = max(0, members - state.pool.size)
    blocked = {
        item.pool for item in choice.blocked if item.reason in LOAN_HELPS
    }
    blocked -= {
        item.pool
        for item in choice.blocked
        if item.reason is BlockReason.WIDTH
    }
    rounds = {name: rounds_of(census, left, name) for name in held}
    order = sorted(held, key=lambda name: (-rounds[name], name))
    kept = [buffer.Loan(name, held[name]) for name in order if held[name]]
    new = [
        buffer.Loan(name, 1)
        for name in order
        if not held[name] and name in blocked and _idle(census, name)
    ]
    chosen = kept + new[: max(0, width - len(kept))]
    if not new:
        chosen += [
            buffer.Loan(name, held[name] + 1)
            for name in order
            if rounds[name] > max(1.0, rounds_left)
        ][: max(0, width - len(kept))]
    return tuple(chosen)


def _idle(census: reserve.Census, pool: ids.PoolId) -> bool:
    """Say whether no VM of a pool is on its way back."""
    state = census.pools[pool]
    return state.out == state.broken


def _whole_rack(
    census: reserve.Census, rows: list[fleet.VmRow], quarter: Quarter
) -> list[ids.VmId]:
    """Take all of a rack's VMs, or none."""
    taken = []
    for row in rows:
        if _take(census, row, quarter) is not None:
            for vm in taken:
                reserve.put_back(census, vm)
            return []
        taken.append(row.vm)
    return taken


def _fill(
    census: reserve.Census,
    left: Left,
    rows: list[fleet.VmRow],
    taken: list[ids.VmId],
    room: int,
    quarter: Quarter,
) -> Choice:
    """Add single VMs, and say why each other one stays."""
    beyond = []
    blocked = [
        Blocked(row.vm, row.pool, BlockReason.BROKEN) for row in left.broken
    ]
    blocked += [Blocked(row.vm, row.pool, BlockReason.OUT) for row in left.out]
    for row in rows:
        obstacle = _take(census, row, quarter)
        if obstacle is not None:
            blocked.append(Blocked(row.vm, row.pool, obstacle))
        elif len(taken) < room:
            taken.append(row.vm)
        else:
            beyond.append(row.vm)
            blocked.append(Blocked(row.vm, row.pool, BlockReason.WIDTH))
    for vm in beyond:
        reserve.put_back(census, vm)
    return Choice(tuple(taken), tuple(blocked), len(taken) + len(beyond))


def _take(
    census: reserve.Census, row: fleet.VmRow, quarter: Quarter
) -> BlockReason | None:
    """Take a VM, or say what stands against it; None once taken."""
    state = census.pools.get(row.pool)
    if state is not None:
        if state.up - 1 < state.needed:
            return BlockReason.MIN_UP
        spent = quarter.spent.get(row.pool)
        if not budget.affords(
            state.pool, spent, state.up, state.out, quarter.absence_s
        ):
            return BlockReason.QUARTER
    if not reserve.try_take(census, row.vm):
        return BlockReason.RESERVE
    return None
