"""Access to optima and proven lower bounds, to measure decisions against."""

import collections
import collections.abc
import math

import highspy

from measure import inputs
from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import reserve

SOLVER_LIMIT_S = 0.5

_RANKS = {
    configuration.Survives.NOTHING: 0,
    configuration.Survives.VM: reserve.VM_LEVEL,
    configuration.Survives.RACK: reserve.RACK_LEVEL,
    configuration.Survives.DATA_CENTRE: reserve.DATA_CENTRE_LEVEL,
}


def least_spare(drawn: inputs.Fleet) -> tuple[float, bool]:
    """Find the fewest spare VMs over all assignments of VMs to pools.

    An integer program with the same promises as the decisions keep. The
    solver stops after ``SOLVER_LIMIT_S``.

    :returns: the optimum, or a proven lower bound, and whether it is the
        optimum
    """
    solver = highspy.Highs()
    solver.setOptionValue('output_flag', False)
    solver.setOptionValue('time_limit', SOLVER_LIMIT_S)
    racks = collections.Counter(drawn.sites.values())
    spare = {
        site: solver.addIntegral(0, count) for site, count in racks.items()
    }
    placed = {
        (pool.name, site): solver.addIntegral(0, count)
        for pool in drawn.pools
        for site, count in racks.items()
        if site.data_centre in pool.data_centres
    }
    for pool in drawn.pools:
        own = [placed[key] for key in placed if key[0] == pool.name]
        solver.addConstr(_total(own) == pool.size)
    for site, count in racks.items():
        there = [placed[key] for key in placed if key[1] == site]
        solver.addConstr(_total([*there, spare[site]]) <= count)
    deepest = max(_RANKS[pool.survives] for pool in drawn.pools)
    for domain, sites in _domains(racks).items():
        if domain.level > deepest:
            continue
        _keep_promises(solver, drawn, domain, sites, spare, placed)
    solver.minimize(_total(list(spare.values())))
    info = solver.getInfo()
    proven = solver.getModelStatus() == highspy.HighsModelStatus.kOptimal
    if proven:
        return round(info.objective_function_value), True
    return max(0, math.ceil(info.mip_dual_bound - 1e-6)), False


def private_buffer(pool: configuration.Pool) -> int:
    """Count the VMs beyond ``min_up`` of a pool that shares nothing.

    It survives its worst loss by itself, with one VM out, and is spread as
    well as can be.
    """
    rank = _RANKS[pool.survives]
    size = max(pool.size, pool.min_up + 1)
    while True:
        worst = 0
        if rank:
            worst = 1
        if rank == reserve.DATA_CENTRE_LEVEL:
            worst = math.ceil(size / len(pool.data_centres))
        if size - worst - 1 >= pool.min_up:
            return size - pool.min_up
        size += 1


def least_roll_out_s(
    drawn: inputs.Fleet, duration_s: dict[ids.VmId, float]
) -> float:
    """Bound from below how long a wave over all VMs takes.

    At any time the pools within some data centres need the sum of their
    minima after the loss of any one domain; so at most the rest can be out
    outside of this domain, and all work outside of it has to pass there.
    Holds for any order and any number of moves.
    """
    best = max(duration_s.values())
    groups = {frozenset(pool.data_centres) for pool in drawn.pools}
    census = reserve.take_census(drawn.pools, drawn.rows, drawn.sites)
    domains = _domains(collections.Counter(drawn.sites.values()))
    domains[None] = set()
    for union in {*groups, *census.unions}:
        pools = [
            pool for pool in drawn.pools if set(pool.data_centres) <= union
        ]
        inside = [
            vm for vm, site in drawn.sites.items() if site.data_centre in union
        ]
        for domain, sites in domains.items():
            outside = [vm for vm in inside if drawn.sites[vm] not in sites]
            room = _room(pools, domain, len(outside), len(inside))
            work_s = sum(duration_s[vm] for vm in outside)
            if room > 0:
                best = max(best, work_s / room)
    return best


def least_roll_out_in_place_s(
    drawn: inputs.Fleet, duration_s: dict[ids.VmId, float]
) -> float:
    """Bound a wave with the least moves, each VM done in its own pool.

    A pool without slack then has one VM beyond its size and takes its VMs
    one by one; another one takes as many at once as its slack.
    """
    best = least_roll_out_s(drawn, duration_s)
    pools = {row.vm: row.pool for row in drawn.rows}
    for pool in drawn.pools:
        work_s = sum(
            duration_s[vm] for vm, name in pools.items() if name == pool.name
        )
        best = max(best, work_s / max(1, pool.size - pool.min_up))
    return best


def least_moves(drawn: inputs.Fleet) -> int:
    """Count the pools that need another VM before one of theirs can go."""
    return sum(pool.size <= pool.min_up for pool in drawn.pools)


def _room(
    pools: list[configuration.Pool],
    domain: reserve.Domain | None,
    outside: int,
    inside: int,
) -> int:
    """Count the VMs outside of a domain that may be out at once."""
    needed = sum(pool.min_up for pool in pools)
    if domain is None:
        return outside - needed
    careless = sum(
        pool.min_up for pool in pools if _RANKS[pool.survives] < domain.level
    )
    return outside - needed + min(inside - outside, careless)


def _domains(
    racks: collections.Counter,
) -> dict[reserve.Domain, set[reserve.Site]]:
    domains = collections.defaultdict(set)
    for site in racks:
        for domain in reserve.domains_of(site):
            domains[domain].add(site)
    return domains


def _keep_promises(solver, drawn, domain, sites, spare, placed) -> None:
    """Demand that the loss of one domain can be survived.

    ``absent`` VMs may be out besides. A pool that promises to survive no
    more than a VM lacks what its size is short of one VM more.
    """
    census = reserve.take_census(drawn.pools, (), drawn.sites)
    lacking = {}
    for pool in drawn.pools:
        if _RANKS[pool.survives] < domain.level:
            continue
        inside = [
            placed[pool.name, site]
            for site in sites
            if (pool.name, site) in placed
        ]
        if not inside:
            continue
        short = solver.addVariable(0, pool.size)
        slack = pool.size - pool.min_up
        solver.addConstr(short >= _total(inside) - slack)
        lacking[pool.name] = short
    for union in census.unions:
        demand = [
            lacking[pool.name]
            for pool in drawn.pools
            if pool.name in lacking and set(pool.data_centres) <= union
        ]
        supply = [
            count
            for site, count in spare.items()
            if site.data_centre in union and site not in sites
        ]
        solver.addConstr(_total(supply) >= _total(demand) + drawn.absent)
        single = max(
            (
                max(0, 1 - pool.size + pool.min_up)
                for pool in drawn.pools
                if _RANKS[pool.survives] >= reserve.VM_LEVEL
                and set(pool.data_centres) <= union
            ),
            default=0,
        )
        every = [
            count for site, count in spare.items() if site.data_centre in union
        ]
        solver.addConstr(_total(every) >= single + drawn.absent)


def _total(terms: collections.abc.Sequence):
    return highspy.Highs.qsum(terms) if terms else 0
