"""Access to the size of the shared spare: how many VMs promises need."""

import collections
import collections.abc
import math

import msgspec

from oleanderwood import buffer_swap
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

TYPICAL_VM_TIME_S = 300.0
"""Drain and reboot of one VM, for planning ahead."""


class Sizing(msgspec.Struct, frozen=True):
    """The spare VMs to hold, by data centre, and what is lacking.

    ``surplus`` are VMs that no promise needs once each pair of ``swaps``
    has changed places; they may be handed back.
    """

    held: tuple[ids.VmId, ...]
    by_data_centre: dict[ids.DataCentre, int]
    surplus: tuple[ids.VmId, ...]
    lacking: tuple[reserve.Shortage, ...]
    swaps: tuple[buffer_swap.Swap, ...] = ()


def absent_for(
    weights: configuration.Weights,
    pools: collections.abc.Iterable[configuration.Pool],
    vms: int,
    rack_size: int,
    deadline_s: float,
) -> int:
    """Say for how many absent VMs at once the spare should be sized.

    The cost of a spare VM is its share of all minima; the cost of a slow
    wave is its share of the deadline. At least as many as meet the deadline
    with half the time to spare, at most a rack more than that.

    :param vms: VMs that a wave maintains
    """
    minima = max(1, sum(pool.min_up for pool in pools))
    work = vms * TYPICAL_VM_TIME_S / deadline_s
    least = max(1, math.ceil(2 * work))

    def cost(absent: int) -> float:
        held = weights.buffer * absent / minima
        return held + weights.roll_out * work / absent

    return min(range(least, least + rack_size + 1), key=cost)


def size(
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    sites: collections.abc.Mapping[ids.VmId, reserve.Site],
    absent: int,
    max_swaps: int = 0,
) -> Sizing:
    """Choose the spare VMs to hold.

    Drops spares one by one, from the racks that the promises lean on least,
    while every promise holds with ``absent`` VMs out. Then lets VMs change
    places where that makes one more spare superfluous.

    :param max_swaps: swaps that one spare less is worth
    """
    census = reserve.take_census(pools, rows, sites)
    swaps = _swap(census, absent, max_swaps)
    lacking = tuple(reserve.shortages(census, absent))
    while not lacking:
        _drop(census, absent)
        more = _swap(census, absent + 1, max_swaps)
        swaps += more
        if not more:
            break
    held = _spares(census)
    counts = collections.Counter(census.sites[vm].data_centre for vm in held)
    surplus = [
        vm
        for vm, row in census.rows.items()
        if row.pool == buffer_swap.SURPLUS
    ]
    return Sizing(
        tuple(sorted(held)),
        dict(counts),
        tuple(sorted(surplus)),
        lacking,
        tuple(swaps),
    )


def _swap(
    census: reserve.Census, target: int, limit: int
) -> list[buffer_swap.Swap]:
    swaps = buffer_swap.find(census, target, limit)
    for swap in swaps:
        buffer_swap.carry_out(census, swap)
    return swaps


def _drop(census: reserve.Census, absent: int) -> None:
    """Drop spares one by one, in the order that drops the most."""
    most = {}
    for rank in (_by_rack, _by_data_centre, _by_use, _by_harm):
        dropped = _drop_by(census, absent, rank)
        if len(dropped) > len(most):
            most = dropped
        for vm, spare in dropped.items():
            reserve.move(census, vm, spare)
    for vm in most:
        reserve.move(census, vm, buffer_swap.SURPLUS)


def _drop_by(
    census: reserve.Census, absent: int, rank: collections.abc.Callable
) -> dict[ids.VmId, ids.PoolId]:
    """Drop spares while every promise holds, those of low rank first.

    :returns: the dropped VMs, with their pools
    """
    dropped = {}
    left = set(_spares(census))
    while left:
        candidates = {}
        for vm in left:
            site = census.sites[vm]
            rack, _ = reserve.domains_of(site)
            key = (reserve.exposure(census, rack), vm)
            best = candidates.get(site.data_centre, key)
            candidates[site.data_centre] = max(best, key)
        _, vm = min((rank(census, vm), vm) for _, vm in candidates.values())
        left.discard(vm)
        spare = census.rows[vm].pool
        reserve.move(census, vm, buffer_swap.SURPLUS)
        if reserve.holds(census, absent):
            dropped[vm] = spare
        else:
            reserve.move(census, vm, spare)
    return dropped


def _by_rack(census: reserve.Census, vm: ids.VmId) -> tuple[int, ...]:
    """Rank a spare by what goes with its rack; it helps least there."""
    rack, data_centre = reserve.domains_of(census.sites[vm])
    return (
        -reserve.exposure(census, rack),
        -reserve.exposure(census, data_centre),
    )


def _by_data_centre(census: reserve.Census, vm: ids.VmId) -> tuple[int, ...]:
    """Rank a spare by what goes with its data centre."""
    return _by_rack(census, vm)[::-1]


def _by_use(census: reserve.Census, vm: ids.VmId) -> tuple[int, ...]:
    """Rank a spare by how few sets of data centres can use it."""
    unions = census.unions_with.get(census.sites[vm].data_centre, ())
    return len(unions), *_by_rack(census, vm)


def _by_harm(census: reserve.Census, vm: ids.VmId) -> float:
    """Rank a spare by the margins without it; the tightest count most."""
    spare = census.rows[vm].pool
    reserve.move(census, vm, buffer_swap.SURPLUS)
    harm = sum(2.0**-margin for margin in reserve.margins(census))
    reserve.move(census, vm, spare)
    return harm


def _spares(census: reserve.Census) -> list[ids.VmId]:
    return [
        vm
        for vm, row in census.rows.items()
        if reserve.is_spare(row) and reserve.is_up(row)
    ]
