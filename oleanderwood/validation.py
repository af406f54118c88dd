"""Access to the checks of an operators' file against the fleet.

Types and unknown keys are checked in :mod:`oleanderwood.configuration`;
here a file meets itself, the VM list and the waves that run. All faults
are found at once.
"""

import collections
import collections.abc
import dataclasses

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import parts
from oleanderwood import platform_api
from oleanderwood import spread
from oleanderwood import wave_check
from oleanderwood import wave_state

Faults = collections.abc.Iterator[errors.ConfigurationFault]
Vms = tuple[platform_api.ListedVm, ...]

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the store holds."""


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a file is checked against.

    :ivar vms: the VM list
    :ivar current: the configuration in force
    :ivar waves: the waves of each region
    :ivar fastest_cycle_s: the least time from a VM's drain to its return
    """

    vms: Vms = ()
    current: configuration.Configuration = configuration.Configuration()
    waves: tuple[wave_state.Waves, ...] = ()
    fastest_cycle_s: float = 60.0


def live(vms: Vms) -> Vms:
    """Give the VMs that aren't leaving."""
    return tuple(vm for vm in vms if vm.status is platform_api.VmStatus.LIVE)


def validate(wanted: configuration.Configuration, now: Situation) -> None:
    """Check a configuration.

    :raises ExceptionGroup: of :class:`errors.ConfigurationFault`, all of
        them
    """
    faults = list(check(wanted, now))
    if faults:
        raise ExceptionGroup('the file has faults', faults)


def check(wanted: configuration.Configuration, now: Situation) -> Faults:
    """Find all faults of a configuration."""
    for section in ('pools', 'services', 'teams', 'jobs', 'waves'):
        yield from _duplicates(section, getattr(wanted, section))
    yield from _references(wanted)
    yield from _prefixes(wanted.services)
    yield from _pools(wanted, live(now.vms))
    yield from _capacity(wanted, live(now.vms))
    yield from _jobs(wanted, live(now.vms))
    yield from wave_check.check(wanted, live(now.vms), now.fastest_cycle_s)
    yield from _running(wanted, now)
    yield from _sizes(wanted)


def _duplicates(section: str, items: tuple) -> Faults:
    first: dict[str, int] = {}
    for index, item in enumerate(items):
        if item.name in first:
            yield errors.ConfigurationFault(
                f'{section}[{index}].name',
                f'{item.name!r} is taken by {section}[{first[item.name]}]',
                'give each a name of its own',
            )
        first.setdefault(item.name, index)


def _references(wanted: configuration.Configuration) -> Faults:
    pools = {pool.name for pool in wanted.pools}
    services = {service.name for service in wanted.services}
    teams = {team.name for team in wanted.teams}
    for index, pool in enumerate(wanted.pools):
        path = f'pools[{index}].service'
        yield from _known(path, 'service', pool.service, services)
    for index, job in enumerate(wanted.jobs):
        yield from _known(f'jobs[{index}].pool', 'pool', job.pool, pools)
        yield from _known(f'jobs[{index}].team', 'team', job.team, teams)
    for index, wave in enumerate(wanted.waves):
        for number, pool_name in enumerate(wave.pools):
            path = f'waves[{index}].pools[{number}]'
            yield from _known(path, 'pool', pool_name, pools)


def _known(path: str, kind: str, name: str, names: set[str]) -> Faults:
    if name not in names:
        yield errors.ConfigurationFault(
            path,
            f'there is no {kind} {name!r}',
            f'add the {kind} or name one of the file',
        )


def _segments(prefix: str) -> tuple[str, ...]:
    return tuple(part for part in prefix.split('/') if part)


def _prefixes(services: tuple[configuration.Service, ...]) -> Faults:
    taken: dict[tuple[str, ...], configuration.Service] = {}
    for service in services:
        taken.setdefault(_segments(service.path_prefix), service)
    for index, service in enumerate(services):
        segments = _segments(service.path_prefix)
        for length in range(len(segments) + 1):
            other = taken.get(segments[:length])
            if other is None or other is service:
                continue
            yield errors.ConfigurationFault(
                f'services[{index}].path_prefix',
                f'{service.path_prefix!r} lies within '
                f'{other.path_prefix!r} of service {other.name!r}',
                'give each service paths of its own',
            )


def _pools(wanted: configuration.Configuration, vms: Vms) -> Faults:
    regions = {vm.data_centre: vm.region for vm in vms}
    for index, pool in enumerate(wanted.pools):
        path = f'pools[{index}]'
        yield from _placed(path, pool, regions)
        yield from _promised(path, pool, vms)


def _placed(
    path: str, pool: configuration.Pool, regions: dict[str, str]
) -> Faults:
    if pool.name.startswith(fleet.SPARE_PREFIX):
        yield errors.ConfigurationFault(
            f'{path}.name',
            f'{fleet.SPARE_PREFIX!r} marks the pools of spare VMs',
            'choose another name',
        )
    seen: set[str] = set()
    for number, data_centre in enumerate(pool.data_centres):
        where = f'{path}.data_centres[{number}]'
        if data_centre in seen:
            yield errors.ConfigurationFault(
                where, f'{data_centre!r} is named twice', 'name it once'
            )
        seen.add(data_centre)
        region = regions.get(data_centre)
        if region is None:
            yield errors.ConfigurationFault(
                where,
                f'the VM list has no VM in {data_centre!r}',
                f'name one of {", ".join(sorted(regions)) or "none yet"}',
            )
        elif region != pool.region:
            yield errors.ConfigurationFault(
                where,
                f'{data_centre!r} lies in region {region!r}, the pool in '
                f'{pool.region!r}',
                "name data centres of the pool's region only",
            )


def _promised(path: str, pool: configuration.Pool, vms: Vms) -> Faults:
    if pool.min_up > pool.size:
        yield errors.ConfigurationFault(
            f'{path}.min_up',
            f'{pool.min_up} is more than size {pool.size}',
            f'lower min_up to {pool.size} at most or raise size',
        )
        return
    own = [vm for vm in vms if vm.data_centre in pool.data_centres]
    if pool.size > len(own):
        yield errors.ConfigurationFault(
            f'{path}.size',
            f'{pool.size} VMs are wanted, its data centres have {len(own)}',
            f'lower size to {len(own)} at most or add VMs there',
        )
        return
    domains = spread.domain_sizes(pool.survives, own)
    left = pool.size - spread.least_worst_loss(pool.size, domains)
    if left < pool.min_up:
        yield errors.ConfigurationFault(
            f'{path}.survives',
            f'after the loss of one {pool.survives.value} at best {left} '
            f'of {pool.size} VMs are left, min_up is {pool.min_up}',
            f'lower min_up to {left}, raise size, or spread the pool over '
            f'more than its {len(domains)} failure domains',
        )


def _capacity(wanted: configuration.Configuration, vms: Vms) -> Faults:
    there = collections.Counter(vm.data_centre for vm in vms)
    demands = [
        (frozenset(pool.data_centres), pool.size) for pool in wanted.pools
    ]
    for group, size, count in spread.shortages(demands, there):
        names = [p.name for p in wanted.pools if group >= set(p.data_centres)]
        if len(names) == 1:
            continue
        yield errors.ConfigurationFault(
            'pools',
            f'the pools {", ".join(sorted(names))} want {size} VMs of '
            f'{", ".join(sorted(group))}, which have {count}',
            f'lower their sizes by {size - count} in all, let them use '
            'other data centres, or add VMs',
        )


def _jobs(wanted: configuration.Configuration, vms: Vms) -> Faults:
    pools = {pool.name: pool for pool in wanted.pools}
    teams = {team.name: team for team in wanted.teams}
    shapes = {
        (vm.data_centre, vm.cores, vm.memory_gib, vm.accelerators)
        for vm in vms
    }
    for index, job in enumerate(wanted.jobs):
        path = f'jobs[{index}]'
        if job.pool in pools:
            own = pools[job.pool].data_centres
            fitting = [shape[1:] for shape in shapes if shape[0] in own]
            yield from _runnable(path, job, fitting)
        if job.team in teams:
            yield from _within_quota(path, job, teams[job.team])


def _runnable(
    path: str,
    job: configuration.Job,
    shapes: list[tuple[float, float, int]],
) -> Faults:
    needed = (job.cores, job.memory_gib, job.accelerators)
    if any(
        all(need <= has for need, has in zip(needed, shape, strict=True))
        for shape in shapes
    ):
        return
    offers = ', '.join(
        f'{cores:g} cores with {memory_gib:g} GiB and {accelerators} '
        'accelerators'
        for cores, memory_gib, accelerators in sorted(set(shapes))
    )
    yield errors.ConfigurationFault(
        path,
        f'no worker of pool {job.pool!r} can ever run a task of '
        f'{job.name!r}: it needs {job.cores:g} cores, {job.memory_gib:g} '
        f'GiB and {job.accelerators} accelerators at once',
        f'make a task fit one of its VMs ({offers or "none there"}), or '
        'choose another pool',
    )


def _within_quota(
    path: str, job: configuration.Job, team: configuration.Team
) -> Faults:
    quotas = (
        ('tasks', 1, 'max_tasks', team.max_tasks),
        ('cores', job.cores, 'max_cores', team.max_cores),
        ('memory_gib', job.memory_gib, 'max_memory_gib', team.max_memory_gib),
    )
    for field, need, quota, allowed in quotas:
        if need > allowed:
            yield errors.ConfigurationFault(
                f'{path}.{field}',
                f'one task of {job.name!r} needs {need:g}, {quota} of team '
                f'{team.name!r} is {allowed:g}',
                f'raise {quota} to {need:g} at least or make the task smaller',
            )


def _running(wanted: configuration.Configuration, now: Situation) -> Faults:
    pools = {pool.name: pool for pool in wanted.pools}
    before = {pool.name: pool for pool in now.current.pools}
    waves = {wave.name for wave in wanted.waves}
    known = {wave.name for wave in now.current.waves}
    for name in wave_state.active(now.waves):
        if name not in known:
            continue
        remedy = f'stop wave {name!r} first or wait for its end'
        if name not in waves:
            yield errors.ConfigurationFault(
                'waves', f'wave {name!r}, which runs, is removed', remedy
            )
        for pool_name in _pools_of_wave(now.current, name):
            if pool_name not in pools:
                yield errors.ConfigurationFault(
                    'pools',
                    f'pool {pool_name!r} is removed while wave {name!r} '
                    'works on it',
                    remedy,
                )
            elif pools[pool_name].region != before[pool_name].region:
                yield errors.ConfigurationFault(
                    'pools',
                    f'pool {pool_name!r} changes region while wave '
                    f'{name!r} works on it',
                    remedy,
                )


def _pools_of_wave(
    current: configuration.Configuration, name: str
) -> tuple[str, ...]:
    for wave in current.waves:
        if wave.name == name:
            return wave.pools
    return ()


def _sizes(wanted: configuration.Configuration) -> Faults:
    for name, value in parts.split(wanted).items():
        if len(value) > MAX_VALUE_BYTES:
            yield errors.ConfigurationFault(
                name.partition('/')[0],
                f'the part {name} takes {len(value)} bytes, a value of the '
                f'store at most {MAX_VALUE_BYTES}',
                'make the section smaller',
            )
