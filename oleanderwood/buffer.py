"""Access to the shared spare: its size, and which VM goes to which pool."""

import collections
import collections.abc
import enum

import msgspec

from oleanderwood import buffer_swap
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

NO_POOL = ids.PoolId('')
"""Where a VM comes from that the list has and no shard does."""


MAX_SWAPS = 3
"""VMs exchanged with the spare at one step to mend the reserve."""


FEW_CANDIDATES = 3
"""VMs on each side that are tried for a swap within one step."""

LEAST_FREE = 1
"""VMs that the reserve should allow to be out besides."""


class MoveReason(enum.Enum):
    """Why a VM changes its pool."""

    ADOPTED = 'adopted'
    """New in the VM list, or its pool was removed."""

    BELOW_MINIMUM = 'below-minimum'
    """The pool has fewer VMs up than it must have."""

    BELOW_SIZE = 'below-size'
    """The pool has fewer VMs than its wanted size."""

    LOAN = 'loan'
    """Lent, so that a wave can take VMs of the pool."""

    REBALANCE = 'rebalance'
    """Too much of a pool or of the spare would go with one domain."""

    RETURN = 'return'
    """A loan comes back."""


class Move(msgspec.Struct, frozen=True):
    """One VM that changes its pool."""

    vm: ids.VmId
    from_pool: ids.PoolId
    to_pool: ids.PoolId
    reason: MoveReason


class Loan(msgspec.Struct, frozen=True):
    """VMs beyond its size that a wave wants a pool to have for now."""

    pool: ids.PoolId
    extra: int


class _Plan(msgspec.Struct):
    """The moves so far, and the census as if they had been carried out.

    ``lent`` is how many VMs beyond its size each pool keeps for a wave,
    ``coming`` how many VMs are on their way into it.
    """

    census: reserve.Census
    lent: collections.Counter
    coming: collections.Counter
    moves: list[Move]


def assign(
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    sites: collections.abc.Mapping[ids.VmId, reserve.Site],
    weights: configuration.Weights,
    now_s: float,
    loans: collections.abc.Sequence[Loan] = (),
    pending: collections.abc.Sequence[Move] = (),
) -> tuple[Move, ...]:
    """Choose the moves that bring each pool to its size.

    VMs that leave a pool count as out until they have arrived, so that more
    may move in a later step; after a few steps nothing moves until the
    input changes.

    :param rows: of all shards of the region
    :param sites: data centre and rack of all listed VMs of the region
    :param now_s: kept for policies that change with the time
    :param loans: what the waves ask for, most urgent first
    :param pending: earlier moves that are still under way; their VMs count
        as members of the pool that they go to
    """
    del now_s
    census = reserve.take_census(pools, rows, sites)
    _redirect(census, pending)
    lent = collections.Counter()
    for loan in loans:
        lent[loan.pool] = max(lent[loan.pool], loan.extra)
    coming = collections.Counter(move.to_pool for move in pending)
    plan = _Plan(census, lent, coming, [])
    _adopt(plan, {move.vm for move in pending})
    _fill_minimum(plan)
    _fill_size(plan)
    _recall(plan, loans, weights)
    _rebalance(plan)
    for loan in loans:
        _lend(plan, loan)
    if not weights.moves:
        _take_back(plan)
    return tuple(plan.moves)


def members(state: reserve.PoolState) -> int:
    """Count the VMs that a pool has or gets back without replacement."""
    return state.up + state.out - state.broken


def _redirect(
    census: reserve.Census, pending: collections.abc.Iterable[Move]
) -> None:
    """Count VMs under way as members of the pool that they go to."""
    for move in pending:
        row = census.rows.get(move.vm)
        if row is None or row.pool == move.to_pool:
            continue
        if reserve.is_up(row):
            reserve.take(census, move.vm)
        old = census.pools.get(row.pool)
        new = census.pools.get(move.to_pool)
        if old is not None:
            old.out -= 1
        if new is not None:
            new.out += 1


def _adopt(plan: _Plan, under_way: set[ids.VmId]) -> None:
    """Put VMs without a known pool into the spare of their data centre."""
    census = plan.census
    for vm, site in sorted(census.sites.items()):
        row = census.rows.get(vm)
        spare = fleet.spare_pool(site.data_centre)
        if vm in under_way:
            continue
        if row is None:
            plan.moves.append(Move(vm, NO_POOL, spare, MoveReason.ADOPTED))
        elif reserve.is_up(row) and _homeless(census, row, spare):
            _move(plan, vm, spare, MoveReason.ADOPTED)


def _homeless(
    census: reserve.Census, row: fleet.VmRow, spare: ids.PoolId
) -> bool:
    return row.pool not in census.pools and row.pool != spare


def _fill_minimum(plan: _Plan) -> None:
    """Bring pools up to their minimum, the worst off first."""
    states = [
        state
        for state in plan.census.pools.values()
        if state.up < state.needed
    ]
    states.sort(key=lambda state: (state.up - state.needed, state.pool.name))
    for state in states:
        name = ids.PoolId(state.pool.name)
        short = state.needed - state.up - plan.coming[name]
        for _ in range(short):
            vm = _spare_to_keep(plan, state)
            vm = vm or _lender_vm(plan, state, _can_lend_extra)
            vm = vm or _lender_vm(plan, state, _can_lend_slack)
            if vm is None:
                break
            _move(plan, vm, name, MoveReason.BELOW_MINIMUM)


def _fill_size(plan: _Plan) -> None:
    """Bring pools up to their size, where the reserve gets no worse."""
    states = sorted(
        plan.census.pools.values(),
        key=lambda state: (
            state.pool.size - state.needed,
            state.pool.name,
        ),
    )
    for state in states:
        name = ids.PoolId(state.pool.name)
        while state.up + state.out < state.pool.size:
            vm = _spare_to_keep(plan, state)
            if vm is None or not _keeps_reserve(plan, vm, name):
                break
            _move(plan, vm, name, MoveReason.BELOW_SIZE)


def _keeps_reserve(plan: _Plan, vm: ids.VmId, pool: ids.PoolId) -> bool:
    """Say whether the reserve is short no more than now after a move."""
    census = plan.census
    origin = census.rows[vm].pool
    before = reserve.free(census)
    reserve.move(census, vm, pool)
    held = reserve.free(census) >= min(0, before)
    reserve.move(census, vm, origin)
    return held


def _recall(
    plan: _Plan,
    loans: collections.abc.Sequence[Loan],
    weights: configuration.Weights,
) -> None:
    """Return loans while the reserve has no room for a VM to be out.

    A VM on loan helps only its pool against a loss that hits this pool.
    Those that no wave wants come first; the others, the least urgent
    first, only when the reserve is short.
    """
    census = plan.census
    eager = _is_idle(census) or weights.roll_out >= weights.moves
    wanted = [loan.pool for loan in loans]
    others = sorted(set(census.pools) - set(wanted))
    for name in others if eager else ():
        _recall_from(plan, name, LEAST_FREE)
    for name in others + wanted[::-1]:
        _recall_from(plan, name, 0)


def _is_idle(census: reserve.Census) -> bool:
    """Say whether no VM is out that comes back by itself."""
    return all(state.out == state.broken for state in census.pools.values())


def _recall_from(plan: _Plan, name: ids.PoolId, target: int) -> None:
    """Return a VM of a pool if the reserve has less room than wanted."""
    census = plan.census
    state = census.pools.get(name)
    if state is None or members(state) <= state.pool.size:
        return
    before = buffer_swap.deficit(census, target)
    if not before:
        return
    vm = _extra_vm(plan, state, state.group, lambda vm: _spare_of(plan, vm))
    if vm is None:
        return
    reserve.move(census, vm, _spare_of(plan, vm))
    after = buffer_swap.deficit(census, target)
    reserve.move(census, vm, name)
    safe = target <= 0 or reserve.holds_without(census, vm)
    if after < before and safe:
        _move(plan, vm, _spare_of(plan, vm), MoveReason.RETURN)


def _rebalance(plan: _Plan) -> None:
    """Swap VMs with the spare when the reserve has no room.

    Nothing moves when a few swaps don't suffice, or while VMs are out that
    come back by themselves.
    """
    census = plan.census
    if reserve.free(census) >= LEAST_FREE or not _is_idle(census):
        return
    target = reserve.free(census) + 1
    swaps = buffer_swap.find(census, target, MAX_SWAPS, FEW_CANDIDATES)
    for vm, spare in swaps:
        pool = census.rows[vm].pool
        origin = census.rows[spare].pool
        reserve.move(census, spare, pool)
        safe = target <= 0 or reserve.holds_without(census, vm)
        reserve.move(census, spare, origin)
        if not safe:
            # The reserve would be short while the VM is released.
            return
        _move(plan, spare, pool, MoveReason.REBALANCE)
        _move(plan, vm, _spare_of(plan, vm), MoveReason.REBALANCE)


def _lend(plan: _Plan, loan: Loan) -> None:
    """Lend VMs to a pool, from pools that no longer need theirs first."""
    state = plan.census.pools.get(loan.pool)
    if state is None:
        return
    while members(state) < state.pool.size + loan.extra:
        vm = _lender_vm(plan, state, _can_lend_extra)
        vm = vm or _spare_to_lend(plan, state)
        if vm is None or not _useful(plan, vm, loan.pool):
            return
        _move(plan, vm, loan.pool, MoveReason.LOAN)


def _useful(plan: _Plan, vm: ids.VmId, pool: ids.PoolId) -> bool:
    """Say whether the pool could then do without one of its VMs."""
    census = plan.census
    origin = census.rows[vm].pool
    if origin in census.pools and not reserve.holds_without(census, vm):
        return False
    before = reserve.free(census)
    reserve.move(census, vm, pool)
    held = reserve.holds_without(census, vm)
    held = held and reserve.free(census) >= min(0, before)
    reserve.move(census, vm, origin)
    return held


def _take_back(plan: _Plan) -> None:
    """Return VMs beyond a pool's size to the spare."""
    census = plan.census
    for name, state in sorted(census.pools.items()):
        while members(state) > state.pool.size + plan.lent[name]:
            vm = _extra_vm(
                plan, state, state.group, lambda vm: _spare_of(plan, vm)
            )
            if vm is None or not reserve.holds_without(census, vm):
                break
            _move(plan, vm, _spare_of(plan, vm), MoveReason.RETURN)


def _spare_of(plan: _Plan, vm: ids.VmId) -> ids.PoolId:
    return fleet.spare_pool(plan.census.sites[vm].data_centre)


def _move(
    plan: _Plan, vm: ids.VmId, pool: ids.PoolId, reason: MoveReason
) -> None:
    origin = plan.census.rows[vm].pool
    reserve.move(plan.census, vm, pool)
    if origin in plan.census.pools:
        # It serves nobody until its old grants are released.
        reserve.take(plan.census, vm)
    plan.moves.append(Move(vm, origin, pool, reason))


def _spare_to_lend(plan: _Plan, state: reserve.PoolState) -> ids.VmId | None:
    """Choose the spare VM to lend: the one that leaves the best reserve."""
    name = ids.PoolId(state.pool.name)
    return _best_move(plan, _spares_for(plan, state), lambda vm: name)


def _spare_to_keep(plan: _Plan, state: reserve.PoolState) -> ids.VmId | None:
    """Choose the spare VM to join a pool: the one that spreads it best."""
    best = _spares_for(plan, state)
    return min(best.values())[-1] if best else None


def _spares_for(
    plan: _Plan, state: reserve.PoolState
) -> dict[ids.DataCentre, tuple]:
    """Rank the spare VMs that may join a pool, by data centre."""
    census = plan.census
    best = {}
    for vm, row in census.rows.items():
        if not reserve.is_spare(row) or not reserve.is_up(row):
            continue
        site = census.sites[vm]
        if site.data_centre in state.group:
            key = (_crowding(census, state, site), vm)
            _keep_lowest(best, site.data_centre, key)
    return best


def _keep_lowest(best: dict, data_centre: ids.DataCentre, key: tuple) -> None:
    if data_centre not in best or key < best[data_centre]:
        best[data_centre] = key


def _best_move(
    plan: _Plan,
    best: dict,
    destination: collections.abc.Callable[[ids.VmId], ids.PoolId],
) -> ids.VmId | None:
    """Choose the candidate whose move leaves the best reserve."""
    if len(best) == 1:
        ((_, vm),) = best.values()
        return vm
    census = plan.census
    ranked = []
    for key, vm in best.values():
        origin = census.rows[vm].pool
        reserve.move(census, vm, destination(vm))
        lacking = buffer_swap.deficit(census, LEAST_FREE)
        ranked.append((-reserve.free(census), lacking, key, vm))
        reserve.move(census, vm, origin)
    return min(ranked)[-1] if ranked else None


def _crowding(
    census: reserve.Census, state: reserve.PoolState, site: reserve.Site
) -> tuple[int, ...]:
    """Rank a place for one more VM of a pool; lower is better.

    A VM whose loss the pool would lack goes where least is lacking. One
    that is covered by the pool's own slack goes where most is lacking: it
    leaves better places to others and to the spare.
    """
    rack, data_centre = reserve.domains_of(site)
    slack = state.pool.size - state.needed
    ranks = []
    for domain in (data_centre, rack):
        if not reserve.promises(state.pool, domain):
            ranks.append(0)
        elif state.loss.get(domain, 0) < slack:
            ranks.append(0)
        else:
            ranks.append(1 + census.lacking[domain])
    return (
        *ranks,
        state.loss.get(rack, 0),
        -census.spares[site.data_centre],
        state.loss.get(data_centre, 0),
        -census.lacking[rack],
    )


def _can_lend_extra(plan: _Plan, state: reserve.PoolState) -> bool:
    name = ids.PoolId(state.pool.name)
    return members(state) > state.pool.size + plan.lent[name]


def _can_lend_slack(plan: _Plan, state: reserve.PoolState) -> bool:
    del plan
    return state.up > state.needed


def _lender_vm(
    plan: _Plan,
    borrower: reserve.PoolState,
    can_lend: collections.abc.Callable[[_Plan, reserve.PoolState], bool],
) -> ids.VmId | None:
    """Choose a VM of the pool that can best do without it."""
    lenders = [
        state
        for state in plan.census.pools.values()
        if state is not borrower
        and state.up > state.needed
        and can_lend(plan, state)
    ]
    name = ids.PoolId(borrower.pool.name)
    lenders.sort(key=lambda state: (state.needed - state.up, state.pool.name))
    for lender in lenders:
        vm = _extra_vm(plan, lender, borrower.group, lambda vm: name)
        if vm is not None:
            return vm
    return None


def _extra_vm(
    plan: _Plan,
    state: reserve.PoolState,
    group: reserve.Group,
    destination: collections.abc.Callable[[ids.VmId], ids.PoolId],
) -> ids.VmId | None:
    """Choose a VM that a pool gives away.

    In each data centre one of its fullest rack; of these the one that
    leaves the best reserve.
    """
    census = plan.census
    best = {}
    if state.up <= state.needed:
        return None
    for vm, row in census.rows.items():
        if row.pool != state.pool.name or not reserve.is_up(row):
            continue
        site = census.sites[vm]
        if site.data_centre not in group:
            continue
        rack, data_centre = reserve.domains_of(site)
        spread = (-state.loss.get(rack, 0), -state.loss.get(data_centre, 0))
        _keep_lowest(best, site.data_centre, (spread, vm))
    return _best_move(plan, best, destination)
