"""Builders of operators' files and of VM lists to check them against."""

import pathlib

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import platform_api

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
REGION = 'north'
DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
RACK_SIZE = 4


def pool(name='drafts', **changes):
    fields = {
        'name': name,
        'service': name,
        'region': REGION,
        'data_centres': DATA_CENTRES,
        'size': 6,
        'min_up': 4,
    }
    return configuration.Pool(**(fields | changes))


def service(name='drafts', **changes):
    fields = {'name': name, 'path_prefix': f'/{name}'}
    return configuration.Service(**(fields | changes))


def team(name='crews', **changes):
    return configuration.Team(name=name, **changes)


def job(name='layout', **changes):
    fields = {'name': name, 'pool': 'drafts', 'team': 'crews'}
    return configuration.Job(**(fields | changes))


def wave(name='monthly', **changes):
    return configuration.Wave(
        **({'name': name, 'pools': ('drafts',)} | changes)
    )


def whole(**changes):
    """Build one sound configuration with an item of each section."""
    fields = {
        'pools': (pool(),),
        'services': (service(),),
        'teams': (team(),),
        'jobs': (job(),),
        'waves': (wave(),),
    }
    return configuration.Configuration(**(fields | changes))


def vms(per_data_centre=8, data_centres=DATA_CENTRES, region=REGION, **shape):
    """Build the VM list of a region, 4 VMs to a rack."""
    return tuple(
        platform_api.ListedVm(
            vm=ids.VmId(f'{place}-vm{number}'),
            region=ids.Region(region),
            data_centre=ids.DataCentre(place),
            rack=ids.Rack(f'{place}-rack{number // RACK_SIZE}'),
            address=ids.Address(f'10.{index}.0.{number + 1}:80'),
            boot_id='boot-1',
            **shape,
        )
        for index, place in enumerate(data_centres)
        for number in range(per_data_centre)
    )


def klapa():
    """Give Klapa's file and the VM list that it is for."""
    text = (EXAMPLES / 'klapa.toml').read_text()
    places = ('lj-1', 'lj-2', 'lj-3')
    shape = {'cores': 64.0, 'memory_gib': 256.0}
    fleet = vms(12, places, 'ljubljana', **shape)
    return configuration.parse(text), fleet


def ascensia():
    """Give Ascensia's file and the VM list that it is for."""
    text = (EXAMPLES / 'ascensia.toml').read_text()
    places = ('ba-1', 'ba-2', 'ba-3', 'ba-4')
    return configuration.parse(text), vms(12, places, 'buenos-aires')


def design_size(pools=260, teams=290, vms_per_pool=4):
    """Build the size to design for: 2 regions, 5 data centres."""
    regions = {'r1': ('a1', 'a2', 'a3'), 'r2': ('b1', 'b2')}
    names = [f'service-{number:03}' for number in range(pools)]
    region_of = [('r1', 'r2')[n % 5 > 2] for n in range(pools)]
    fleet = ()
    for region, places in regions.items():
        fleet += vms(220, places, region)
    wanted = configuration.Configuration(
        pools=tuple(
            pool(
                name,
                region=region_of[n],
                data_centres=regions[region_of[n]],
                size=vms_per_pool,
                min_up=vms_per_pool - 1 - n % 2,
            )
            for n, name in enumerate(names)
        ),
        services=tuple(service(name) for name in names),
        teams=tuple(team(f'team-{n:03}') for n in range(teams)),
        jobs=tuple(
            job(f'job-{n:03}', pool=names[n % pools], team=f'team-{n:03}')
            for n in range(teams)
        ),
        waves=(wave(pools=tuple(names), deadline_s=86_400.0),),
    )
    return wanted, fleet
