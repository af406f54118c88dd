"""Access to swaps of VMs that make a fleet survive more."""

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

SURPLUS = ids.PoolId('')
"""The pool of VMs that are counted nowhere."""

MAX_CANDIDATES = 8
"""VMs on each side that are tried for a swap."""

Swap = tuple[ids.VmId, ids.VmId]
"""Two VMs that change places: the second one joins the first one's pool."""


def find(census: reserve.Census, target: int, limit: int) -> list[Swap]:
    """Find swaps after which every loss leaves ``target`` spares.

    Takes at each step the swap that leaves the least lacking. The census
    is left as it was.

    :returns: at most ``limit`` swaps; none if these don't suffice
    """
    swaps = []
    while len(swaps) < limit and reserve.free(census) < target:
        swap = _best(census, target)
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


def _like(
    census: reserve.Census, pool: ids.PoolId, vm: ids.VmId
) -> ids.PoolId:
    """Name the pool for a VM; a spare joins its own data centre's."""
    if not pool.startswith(fleet.SPARE_PREFIX):
        return pool
    return fleet.spare_pool(census.sites[vm].data_centre)


def _best(census: reserve.Census, target: int) -> Swap | None:
    """Choose a VM of the worst domain and one that takes its place."""
    domain = reserve.shortages(census, target)[0].domain
    inside = {}
    outside = {}
    for vm, row in sorted(census.rows.items()):
        if not reserve.is_up(row):
            continue
        site = census.sites[vm]
        within = domain in reserve.domains_of(site)
        in_pool = row.pool in census.pools
        if within and row.pool != SURPLUS:
            inside.setdefault((site, row.pool), vm)
        elif not within and not in_pool:
            outside.setdefault((site, row.pool), vm)
    best = None
    now = _deficit(census, target)
    for vm in _least_exposed(census, inside):
        for other in _least_exposed(census, outside):
            if not _may_swap(census, vm, other):
                continue
            carry_out(census, (vm, other))
            key = (_deficit(census, target), vm, other)
            carry_out(census, (vm, other))
            if key[0] < now and (best is None or key < best):
                best = key
    return best[1:] if best else None


def _may_swap(census: reserve.Census, vm: ids.VmId, other: ids.VmId) -> bool:
    """Say whether the other VM may take the place of the first one."""
    row = census.rows[vm]
    state = census.pools.get(row.pool)
    if state is not None:
        return census.sites[other].data_centre in state.group
    return census.rows[other].pool == SURPLUS


def _least_exposed(
    census: reserve.Census, found: dict[tuple, ids.VmId]
) -> list[ids.VmId]:
    """Keep a few VMs, from racks whose loss costs least."""

    def key(vm):
        rack, _ = reserve.domains_of(census.sites[vm])
        return reserve.exposure(census, rack), vm

    return sorted(found.values(), key=key)[:MAX_CANDIDATES]


def _deficit(census: reserve.Census, target: int) -> int:
    return sum(item.missing for item in reserve.shortages(census, target))
