"""Access to swaps of VMs that make a fleet survive more."""

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

SURPLUS = ids.PoolId('')
"""The pool of VMs that are counted nowhere."""

MANY_CANDIDATES = 8
"""VMs on each side that are tried for a swap when there is time."""

Swap = tuple[ids.VmId, ids.VmId]
"""Two VMs that change places: the second one joins the first one's pool."""


def find(
    census: reserve.Census,
    target: int,
    limit: int,
    candidates: int = MANY_CANDIDATES,
) -> list[Swap]:
    """Find swaps after which every loss leaves ``target`` spares.

    Takes at each step the swap that leaves the least lacking. The census
    is left as it was.

    :param candidates: VMs on each side that are tried
    :returns: at most ``limit`` swaps; none if these don't suffice
    """
    swaps = []
    while len(swaps) < limit and reserve.free(census) < target:
        swap = _best(census, target, candidates)
        if swap is None:
            break
        carry_out(census, swap)
        swaps.append(swap)
    reached = reserve.free(census) >= target
    for first, second in reversed(swaps):
        carry_out(census, (first, second))
    return swaps if reached else []


def carry_out(census: reserve.Census, swap: Swap) -> None:
    """Let two VMs that are up change places."""
    first, second = swap
    pool = census.rows[first].pool
    other = census.rows[second].pool
    reserve.move(census, first, _like(census, other, first))
    reserve.move(census, second, _like(census, pool, second))


def deficit(census: reserve.Census, target: int) -> int:
    """Add up what all losses lack until each leaves ``target`` spares."""
    least = [margin - target for margin in census.margin]
    return sum(
        cost - margin
        for costs in census.cost.values()
        for cost, margin in zip(costs, least)
        if cost > margin
    )


def _like(
    census: reserve.Census, pool: ids.PoolId, vm: ids.VmId
) -> ids.PoolId:
    """Name the pool for a VM; a spare joins its own data centre's."""
    if not pool.startswith(fleet.SPARE_PREFIX):
        return pool
    return fleet.spare_pool(census.sites[vm].data_centre)


def _best(census: reserve.Census, target: int, candidates: int) -> Swap | None:
    """Choose a VM of the worst domain and one that takes its place."""
    short = reserve.shortages(census, target)
    if not short:
        return None
    worst = short[0]
    best = None
    now = deficit(census, target)
    for vm, other in _candidates(census, worst, candidates):
        carry_out(census, (vm, other))
        key = (deficit(census, target), vm, other)
        carry_out(census, (vm, other))
        if key[0] < now and (best is None or key < best):
            best = key
    return best[1:] if best else None


def _candidates(
    census: reserve.Census, worst: reserve.Shortage, candidates: int
) -> list[Swap]:
    """List pairs of a VM that is lost or out of reach, and one that isn't.

    Of each pair one is in a pool and the other a spare or surplus, or the
    first a spare and the second surplus. The VM in a pool comes first.
    """
    useless = {}
    useful = {}
    for vm, row in sorted(census.rows.items()):
        if not reserve.is_up(row):
            continue
        site = census.sites[vm]
        lost = worst.domain in reserve.domains_of(site)
        reached = site.data_centre in worst.data_centres
        side = useful if reached and not lost else useless
        role = _role(census, row)
        side.setdefault(role, {}).setdefault((site, row.pool), vm)
    pairs = []
    for first, second in _ROLES:
        for near, far in ((useless, useful), (useful, useless)):
            if near is useful and (first, second) != _POOL_AND_SPARE:
                continue
            pairs += [
                (vm, other)
                for vm in _least_exposed(census, near.get(first, {}))[
                    :candidates
                ]
                for other in _least_exposed(census, far.get(second, {}))[
                    :candidates
                ]
                if _may_swap(census, vm, other)
            ]
    return pairs


def _role(census: reserve.Census, row: fleet.VmRow) -> str:
    if row.pool in census.pools:
        return 'pool'
    return 'spare' if reserve.is_spare(row) else 'surplus'


_POOL_AND_SPARE = ('pool', 'spare')
_ROLES = (_POOL_AND_SPARE, ('pool', 'surplus'), ('spare', 'surplus'))


def _may_swap(census: reserve.Census, vm: ids.VmId, other: ids.VmId) -> bool:
    """Say whether the other VM may join the pool of the first one."""
    state = census.pools.get(census.rows[vm].pool)
    return state is None or census.sites[other].data_centre in state.group


def _least_exposed(
    census: reserve.Census, found: dict[tuple, ids.VmId]
) -> list[ids.VmId]:
    """Sort VMs by what the loss of their racks costs."""

    def key(vm):
        rack, _ = reserve.domains_of(census.sites[vm])
        return reserve.exposure(census, rack), vm

    return sorted(found.values(), key=key)
