"""Access to the reserve: what each pool keeps to survive a failure.

A pool is safe against the loss of a failure domain when enough of its own
VMs stay up, or shared spares outside that domain can join it. One loss hits
several pools at once, so their shortages are added up and matched against
the spares that may reach them (Hall's condition over sets of data centres).
"""

import collections
import collections.abc
import dataclasses
import functools
import operator
import typing

import msgspec

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids

Group = frozenset[ids.DataCentre]
"""The data centres whose spares may join a pool."""

VM_LEVEL = 1
RACK_LEVEL = 2
DATA_CENTRE_LEVEL = 3

_LEVELS = {
    configuration.Survives.NOTHING: 0,
    configuration.Survives.VM: VM_LEVEL,
    configuration.Survives.RACK: RACK_LEVEL,
    configuration.Survives.DATA_CENTRE: DATA_CENTRE_LEVEL,
}


class Domain(typing.NamedTuple):
    """What fails at once: a VM of a pool, a rack, or a data centre.

    ``level`` is a number, since it is hashed often.
    """

    level: int
    data_centre: ids.DataCentre | None
    name: str


class Site(typing.NamedTuple):
    """Where a VM stands."""

    data_centre: ids.DataCentre
    rack: ids.Rack


class Shortage(typing.NamedTuple):
    """A failure domain whose loss the fleet would not survive now.

    ``missing`` is the number of spares lacking in ``data_centres``.
    """

    domain: Domain
    data_centres: Group
    missing: int


@dataclasses.dataclass
class PoolState:
    """A pool as it is now.

    ``loss`` counts the VMs up by failure domain, ``homes`` by data centre.
    """

    pool: configuration.Pool
    group: Group
    needed: int
    level: int
    """The level of the domain whose loss the pool promises to survive."""

    up: int = 0
    out: int = 0
    """VMs of the pool that are not up, ``broken`` ones included."""

    broken: int = 0
    loss: dict[Domain, int] = dataclasses.field(default_factory=dict)
    homes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass
class Census:
    """What is up, and what each possible loss would lack.

    Lists run over ``unions``, the sets of data centres that matter.
    ``margin`` is the spares up in each set less the VMs that its pools lack
    already; ``cost`` is what the loss of a domain would take off it: spares
    that go with it, and VMs that pools would lack besides. Every promise
    holds while no cost is above its margin.
    """

    pools: dict[ids.PoolId, PoolState]
    sites: collections.abc.Mapping[ids.VmId, Site]
    rows: dict[ids.VmId, fleet.VmRow]
    unions: tuple[Group, ...]
    unions_above: dict[Group, tuple[int, ...]]
    """The unions that contain a pool's data centres, by index."""

    unions_with: dict[ids.DataCentre, tuple[int, ...]]
    """The unions that contain a data centre, by index."""

    deepest: int
    """The highest level that any pool promises to survive."""

    spares: collections.Counter
    margin: list[int]
    cost: dict[Domain, list[int]]
    lacking: collections.Counter
    """VMs that pools would lack with a domain, without lost spares."""


@functools.lru_cache(maxsize=8192)
def domains_of(site: Site) -> tuple[Domain, Domain]:
    """Name the rack and the data centre that a VM fails with."""
    return (
        Domain(RACK_LEVEL, site.data_centre, site.rack),
        Domain(DATA_CENTRE_LEVEL, site.data_centre, ''),
    )


def take_census(
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    sites: collections.abc.Mapping[ids.VmId, Site],
    needed: collections.abc.Mapping[ids.PoolId, int] | None = None,
) -> Census:
    """Count what is up.

    :param rows: of all shards of the region
    :param needed: VMs that must serve, where that is not ``min_up``
    """
    needed = needed or {}
    states = {}
    for pool in pools:
        pool_id = ids.PoolId(pool.name)
        group = frozenset(map(ids.DataCentre, pool.data_centres))
        wanted = needed.get(pool_id, pool.min_up)
        level = _LEVELS[pool.survives]
        states[pool_id] = PoolState(pool, group, wanted, level)
    census = _empty_census(states, rows, sites)
    for row in census.rows.values():
        _count(census, row)
    for state in states.values():
        _contribute(census, state, 1)
    return census


def is_up(row: fleet.VmRow) -> bool:
    """Say whether a VM counts as up."""
    return row.state is fleet.VmState.SERVING


def is_spare(row: fleet.VmRow) -> bool:
    """Say whether a VM belongs to the shared spare."""
    return row.pool.startswith(fleet.SPARE_PREFIX)


def take(census: Census, vm: ids.VmId) -> None:
    """Count a VM that is up as out."""
    _shift(census, census.rows[vm], -1)


def put_back(census: Census, vm: ids.VmId) -> None:
    """Undo :func:`take`."""
    _shift(census, census.rows[vm], 1)


def move(census: Census, vm: ids.VmId, pool: ids.PoolId) -> None:
    """Count a VM that is up as a member of another pool."""
    row = census.rows[vm]
    _shift(census, row, -1)
    _absent(census, row, -1)
    row = msgspec.structs.replace(row, pool=pool)
    census.rows[vm] = row
    _absent(census, row, 1)
    _shift(census, row, 1)


def holds_without(census: Census, vm: ids.VmId) -> bool:
    """Say whether every promise holds once a VM that is up is taken."""
    held = try_take(census, vm)
    if held:
        put_back(census, vm)
    return held


def try_take(census: Census, vm: ids.VmId) -> bool:
    """Take a VM that is up if every promise holds without it.

    Only failures that taking it makes worse are judged: one that could not
    be survived before stops no VM that has nothing to do with it.

    :returns: whether it was taken
    """
    state = census.pools.get(census.rows[vm].pool)
    if state is not None and state.up - 1 < state.needed:
        return False
    if state is None or _extra(state) > 0:
        take(census, vm)
        held = free(census) >= 0
    else:
        held = _take_own(census, state, vm)
    if not held:
        put_back(census, vm)
    return held


def _take_own(census: Census, state: PoolState, vm: ids.VmId) -> bool:
    """Take a VM of a pool without extra ones; judge the pool's domains."""
    none = (0,) * len(census.unions)
    before = [
        (domain, tuple(census.cost.get(domain, none))) for domain in state.loss
    ]
    take(census, vm)
    return not any(
        now > was and now > margin
        for domain, costs in before
        for was, now, margin in zip(
            costs, census.cost.get(domain, none), census.margin
        )
    )


def holds(census: Census, absent: int = 0) -> bool:
    """Say whether every promise holds now.

    :param absent: VMs that may be out besides, of whichever pools
    """
    return free(census) >= absent


def free(census: Census) -> int:
    """Count the VMs that could still be lent and then taken.

    At least one is lacking when the result is negative.
    """
    return min(margins(census), default=0)


def margins(census: Census) -> list[int]:
    """List by union the spares left after the worst loss for it."""
    if not census.cost:
        return census.margin
    highest = map(max, zip(*census.cost.values()))
    return list(map(operator.sub, census.margin, highest))


def exposure(census: Census, domain: Domain) -> int:
    """Count the VMs lacking, and the spares lost, with a domain."""
    return max(census.cost.get(domain, ()), default=0)


def promises(pool: configuration.Pool, domain: Domain) -> bool:
    """Say whether a pool promises to survive the loss of a domain."""
    return domain.level <= _LEVELS[pool.survives]


def shortages(census: Census, absent: int = 0) -> list[Shortage]:
    """List the failures that would not be survived now, worst first.

    :param absent: VMs that may be out besides, of whichever pools
    """
    found = []
    for domain, costs in census.cost.items():
        margins = list(map(operator.sub, census.margin, costs))
        least = min(margins, default=0)
        if least < absent:
            union = census.unions[margins.index(least)]
            found.append(Shortage(domain, union, absent - least))
    return sorted(found, key=lambda item: (-item.missing, str(item.domain)))


def _empty_census(
    states: dict[ids.PoolId, PoolState],
    rows: collections.abc.Iterable[fleet.VmRow],
    sites: collections.abc.Mapping[ids.VmId, Site],
) -> Census:
    groups = {state.group for state in states.values()}
    unions = _unions(groups)
    zeros = [0] * len(unions)
    return Census(
        pools=states,
        sites=sites,
        rows={row.vm: row for row in rows if row.vm in sites},
        unions=unions,
        unions_above={
            group: _indices(unions, group.issubset) for group in groups
        },
        unions_with={
            name: _indices(unions, lambda union, name=name: name in union)
            for group in groups
            for name in group
        },
        deepest=max((state.level for state in states.values()), default=0),
        spares=collections.Counter(),
        margin=list(zeros),
        cost=collections.defaultdict(zeros.copy),
        lacking=collections.Counter(),
    )


def _indices(
    unions: tuple[Group, ...],
    matches: collections.abc.Callable[[Group], bool],
) -> tuple[int, ...]:
    return tuple(index for index, union in enumerate(unions) if matches(union))


def _unions(groups: set[Group]) -> tuple[Group, ...]:
    """Close sets of data centres under union."""
    closed = set(groups)
    for group in groups:
        closed |= {group | other for other in closed}
    return tuple(sorted(closed, key=lambda item: (len(item), sorted(item))))


def _count(census: Census, row: fleet.VmRow) -> None:
    """Count one row without its pool's shortages."""
    state = census.pools.get(row.pool)
    if not is_up(row):
        _absent(census, row, 1)
        return
    site = census.sites[row.vm]
    if state is None:
        _count_spare(census, row, site, 1)
        return
    state.up += 1
    _count_losses(state, site, 1)


def _absent(census: Census, row: fleet.VmRow, change: int) -> None:
    state = census.pools.get(row.pool)
    if state is None:
        return
    state.out += change
    if row.state is fleet.VmState.BROKEN:
        state.broken += change


def _count_spare(
    census: Census, row: fleet.VmRow, site: Site, change: int
) -> None:
    if not is_spare(row):
        return
    census.spares[site.data_centre] += change
    indices = census.unions_with.get(site.data_centre, ())
    for index in indices:
        census.margin[index] += change
    for domain in domains_of(site):
        if domain.level > census.deepest:
            continue
        costs = census.cost[domain]
        for index in indices:
            costs[index] += change


def _count_losses(state: PoolState, site: Site, change: int) -> None:
    own = Domain(VM_LEVEL, None, state.pool.name)
    state.loss[own] = min(1, state.up)
    state.homes[site.data_centre] += change
    for domain in domains_of(site):
        state.loss[domain] = state.loss.get(domain, 0) + change
        if not state.loss[domain]:
            del state.loss[domain]


def _shift(census: Census, row: fleet.VmRow, change: int) -> None:
    """Count a row as up (1) or out (-1)."""
    site = census.sites[row.vm]
    state = census.pools.get(row.pool)
    if state is None:
        _count_spare(census, row, site, change)
        return
    _contribute(census, state, -1)
    state.up += change
    state.out -= change
    _count_losses(state, site, change)
    _contribute(census, state, 1)


def _extra(state: PoolState) -> int:
    """Count VMs on loan beyond the pool's size: they can be lent on."""
    return max(0, state.up - max(state.pool.size, state.needed))


def _extra_home(state: PoolState) -> ids.DataCentre:
    """Name the data centre that the pool's extra VMs count for."""
    return max(state.homes, key=lambda name: (state.homes[name], name))


def _contribute(census: Census, state: PoolState, sign: int) -> None:
    """Add a pool's shortages to the sums, or take them off."""
    below = max(0, state.needed - state.up)
    above = census.unions_above[state.group]
    extra = _extra(state)
    homes = ()
    if extra:
        home = _extra_home(state)
        homes = census.unions_with[home]
        census.spares[home] += sign * extra
        for index in homes:
            census.margin[index] += sign * extra
    if below:
        for index in above:
            census.margin[index] -= sign * below
    for domain, lost in state.loss.items():
        lacking = 0
        if domain.level <= state.level:
            lacking = max(0, state.needed - state.up + lost) - below
        if domain.level > census.deepest or not (lacking or extra):
            continue
        costs = census.cost[domain]
        census.lacking[domain] += sign * lacking
        for index in above:
            costs[index] += sign * lacking
        for index in homes:
            costs[index] += sign * min(extra, lost)
