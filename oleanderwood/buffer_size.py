"""Access to the size of the shared spare: how many VMs promises need."""

import collections
import collections.abc
import math

import msgspec

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

TYPICAL_VM_TIME_S = 300.0
"""Drain and reboot of one VM, for planning ahead."""


class Sizing(msgspec.Struct, frozen=True):
    """The spare VMs to hold, by data centre, and what is lacking.

    ``surplus`` are VMs that no promise needs; they may be handed back.
    """

    held: tuple[ids.VmId, ...]
    by_data_centre: dict[ids.DataCentre, int]
    surplus: tuple[ids.VmId, ...]
    lacking: tuple[reserve.Shortage, ...]


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
) -> Sizing:
    """Choose the spare VMs to hold.

    Drops spares one by one, from the racks that the promises lean on least,
    while every promise holds with ``absent`` VMs out.
    """
    census = reserve.take_census(pools, rows, sites)
    held = {
        vm
        for vm, row in census.rows.items()
        if reserve.is_spare(row) and reserve.is_up(row)
    }
    lacking = tuple(reserve.shortages(census, absent))
    surplus = [] if lacking else _drop(census, held, absent)
    counts = collections.Counter(
        census.sites[vm].data_centre for vm in held.difference(surplus)
    )
    return Sizing(
        tuple(sorted(held.difference(surplus))),
        dict(counts),
        tuple(sorted(surplus)),
        lacking,
    )


def _drop(
    census: reserve.Census, held: set[ids.VmId], absent: int
) -> list[ids.VmId]:
    surplus = []
    left = set(held)
    while left:
        vm = max(left, key=lambda vm: (_weight(census, vm), vm))
        left.discard(vm)
        reserve.take(census, vm)
        if reserve.holds(census, absent):
            surplus.append(vm)
        else:
            reserve.put_back(census, vm)
    return surplus


def _weight(census: reserve.Census, vm: ids.VmId) -> int:
    """Rank a spare by what goes with its rack; it helps least there."""
    rack, _ = reserve.domains_of(census.sites[vm])
    return reserve.exposure(census, rack)
