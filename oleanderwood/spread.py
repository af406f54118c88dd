"""Access to what VMs by failure domain can carry: plain counting."""

import collections
import collections.abc

from oleanderwood import configuration
from oleanderwood import platform_api


def domain_sizes(
    survives: configuration.Survives,
    vms: collections.abc.Iterable[platform_api.ListedVm],
) -> list[int]:
    """Count the VMs of each failure domain; [] if none is to be survived."""
    match survives:
        case configuration.Survives.NOTHING:
            return []
        case configuration.Survives.VM:
            return [1 for _ in vms]
        case configuration.Survives.RACK:
            racks = ((vm.data_centre, vm.rack) for vm in vms)
            return list(collections.Counter(racks).values())
        case configuration.Survives.DATA_CENTRE:
            places = (vm.data_centre for vm in vms)
            return list(collections.Counter(places).values())


def least_worst_loss(size: int, domains: list[int]) -> int:
    """Give the least that the loss of the worst domain can take.

    :param size: VMs of the pool, at most the sum of ``domains``
    :param domains: VMs that each failure domain offers
    """
    if not domains:
        return 0
    for level in range(max(domains) + 1):
        if sum(min(level, offer) for offer in domains) >= size:
            return level
    return max(domains)


def shortages(
    demands: list[tuple[frozenset[str], int]],
    there: collections.abc.Mapping[str, int],
) -> list[tuple[frozenset[str], int, int]]:
    """Find data centres whose VMs can't carry the pools bound to them.

    By Hall's theorem all demands can be met together if and only if no
    union of their data-centre sets is asked for more than it has.

    :param demands: data centres that a pool may use, and its size
    :param there: VMs of each data centre
    :returns: the smallest such groups, with what is wanted and is there
    """
    wanted: collections.Counter[frozenset[str]] = collections.Counter()
    for group, size in demands:
        wanted[group] += size
    short: list[tuple[frozenset[str], int, int]] = []
    for group in sorted(
        _unions(set(wanted)), key=lambda g: (len(g), sorted(g))
    ):
        if any(smaller <= group for smaller, _, _ in short):
            continue
        size = sum(n for part, n in wanted.items() if part <= group)
        count = sum(there.get(place, 0) for place in group)
        if size > count:
            short.append((group, size, count))
    return short


def _unions(groups: set[frozenset[str]]) -> set[frozenset[str]]:
    """Give all unions; at most 2 ** (number of data centres)."""
    unions: set[frozenset[str]] = set()
    for group in groups:
        unions |= {group | other for other in unions} | {group}
    return unions
