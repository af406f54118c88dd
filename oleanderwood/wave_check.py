"""Access to the checks of a file's waves: hours and deadlines."""

import collections
import collections.abc
import math

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import hours
from oleanderwood import platform_api

Faults = collections.abc.Iterator[errors.ConfigurationFault]
Vms = tuple[platform_api.ListedVm, ...]


def check(
    wanted: configuration.Configuration, vms: Vms, fastest_cycle_s: float
) -> Faults:
    """Find the faults of all waves.

    :param vms: the live VMs
    :param fastest_cycle_s: the least time from a VM's drain to its return
    """
    pools = {pool.name: pool for pool in wanted.pools}
    spare = _spare_vms(wanted.pools, vms)
    for index, wave in enumerate(wanted.waves):
        path = f'waves[{index}]'
        yield from _hours(path, wave)
        for name in dict.fromkeys(wave.pools):
            if name in pools:
                pool = pools[name]
                yield from _deadline(path, wave, pool, spare, fastest_cycle_s)


def _hours(path: str, wave: configuration.Wave) -> Faults:
    for number, text in enumerate(wave.not_between):
        found = hours.read(text)
        if found is None or found.start_s == found.end_s:
            yield errors.ConfigurationFault(
                f'{path}.not_between[{number}]',
                f'{text!r} names no hours of day',
                'write it as 05:00-07:30, from before to',
            )
    if _open_s(wave) <= 0:
        yield errors.ConfigurationFault(
            f'{path}.not_between',
            'the hours leave no time of day for the wave',
            'leave some hours of day open',
        )


def _open_s(wave: configuration.Wave) -> int:
    """Count the seconds of a day at which batches may start."""
    closed = bytearray(hours.DAY_S // 60)
    for text in wave.not_between:
        found = hours.read(text) or hours.Hours(0, 0)
        minute = found.start_s // 60
        while minute != found.end_s // 60:
            closed[minute] = 1
            minute = (minute + 1) % len(closed)
    return (len(closed) - sum(closed)) * 60


def _spare_vms(
    pools: tuple[configuration.Pool, ...], vms: Vms
) -> dict[frozenset[str], int]:
    """Count, per set of data centres, the VMs above all its pools' sizes.

    Pools that only partly lie there are counted out: a bound from above.
    """
    there = collections.Counter(vm.data_centre for vm in vms)
    spare = {}
    for group in {frozenset(pool.data_centres) for pool in pools}:
        wanted = sum(p.size for p in pools if group >= set(p.data_centres))
        count = sum(there[place] for place in group)
        spare[group] = max(0, count - wanted)
    return spare


def _deadline(
    path: str,
    wave: configuration.Wave,
    pool: configuration.Pool,
    spare: dict[frozenset[str], int],
    fastest_cycle_s: float,
) -> Faults:
    spare_count = spare[frozenset(pool.data_centres)]
    out = pool.size - pool.min_up + spare_count
    if out <= 0:
        yield errors.ConfigurationFault(
            f'{path}.pools',
            f'pool {pool.name!r} may spare no VM: size and min_up are both '
            f'{pool.size} and its data centres have no spare VM',
            'lower min_up by 1, raise size by 1, or add a VM there',
        )
        return
    rounds = math.ceil(pool.size / out)
    needed_s = rounds * fastest_cycle_s
    if needed_s > wave.deadline_s:
        yield errors.ConfigurationFault(
            f'{path}.deadline_s',
            f'pool {pool.name!r} takes {needed_s:g} s at least: {rounds} '
            f'rounds of at most {out} VMs, {fastest_cycle_s:g} s each',
            f'raise deadline_s to {needed_s:g} at least, lower min_up, or '
            'keep more spare VMs',
        )
