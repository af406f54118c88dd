"""Tests of validation: each fault is found, named and given a remedy."""

import pytest

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import spread
from oleanderwood import validation
from oleanderwood import wave_state
from tests import utils_configuration as build


def _faults(wanted, **now):
    situation = validation.Situation(**({'vms': build.vms()} | now))
    return {f.path: f for f in validation.check(wanted, situation)}


def _running(pools=('drafts',), **changes):
    """Give the situation keywords of a wave that runs on some pools."""
    waves = wave_state.order(
        wave_state.Waves(region=ids.Region(build.REGION)),
        ids.WaveId('monthly'),
        wave_state.Order.START,
        0.0,
    )
    current = build.whole(waves=(build.wave(pools=pools),), **changes)
    return {'current': current, 'waves': (waves,)}


@pytest.mark.parametrize('give', [build.klapa, build.ascensia])
def test_examples_are_sound(give):
    wanted, vms = give()
    validation.validate(wanted, validation.Situation(vms=vms))


def test_design_size_is_sound():
    wanted, vms = build.design_size()
    validation.validate(wanted, validation.Situation(vms=vms))


CASES = {
    'pools[1].name': {'pools': (build.pool(), build.pool())},
    'pools[0].service': {'services': ()},
    'pools[0].min_up': {'pools': (build.pool(min_up=7),)},
    'pools[0].size': {'pools': (build.pool(size=25),)},
    'pools[0].survives': {
        'pools': (
            build.pool(
                data_centres=('dc-a',),
                survives=configuration.Survives.DATA_CENTRE,
            ),
        )
    },
    'pools[0].data_centres[1]': {
        'pools': (build.pool(data_centres=('dc-a', 'dc-x')),)
    },
    'pools[0].data_centres[0]': {'pools': (build.pool(region='south'),)},
    'pools': {
        'pools': (
            build.pool(size=20, min_up=12),
            build.pool('sides', size=5),
        ),
        'services': (build.service(), build.service('sides')),
    },
    'services[1].path_prefix': {
        'services': (
            build.service(),
            build.service('sides', path_prefix='/drafts/sides'),
        )
    },
    'jobs[0].pool': {'jobs': (build.job(pool='none'),)},
    'jobs[0].team': {'jobs': (build.job(team='none'),)},
    'jobs[0]': {'jobs': (build.job(accelerators=1),)},
    'jobs[0].cores': {'teams': (build.team(max_cores=0.5),)},
    'jobs[0].tasks': {'teams': (build.team(max_tasks=0),)},
    'waves[0].pools[0]': {'waves': (build.wave(pools=('none',)),)},
    'waves[0].deadline_s': {'waves': (build.wave(deadline_s=59.0),)},
    'waves[0].pools': {'pools': (build.pool(size=24, min_up=24),)},
    'waves[0].not_between[0]': {'waves': (build.wave(not_between=('5-6',)),)},
    'waves[0].not_between': {
        'waves': (build.wave(not_between=('00:00-12:00', '11:00-00:00')),)
    },
}


@pytest.mark.parametrize('path', CASES)
def test_fault_is_found_with_remedy(path):
    faults = _faults(build.whole(**CASES[path]))
    assert path in faults
    assert faults[path].reason and faults[path].remedy


def test_sound_file_has_no_fault():
    assert not _faults(build.whole())


def test_all_faults_are_raised_together():
    wanted = build.whole(services=(), jobs=(build.job(team='none'),))
    with pytest.raises(ExceptionGroup) as caught:
        validation.validate(wanted, validation.Situation(vms=build.vms()))
    paths = {fault.path for fault in caught.value.exceptions}
    assert paths == {'pools[0].service', 'jobs[0].team'}


def test_leaving_vms_do_not_count():
    leaving = platform_api.VmStatus.LEAVING
    vms = build.vms(2, status=leaving) + build.vms(2)[:5]
    assert 'pools[0].size' in _faults(build.whole(), vms=vms)


def test_job_never_runs_says_what_would():
    fault = _faults(build.whole(jobs=(build.job(cores=17.0),)))['jobs[0]']
    assert '16 cores with 64 GiB' in fault.remedy


def test_job_fits_no_single_vm():
    """Cores on one VM and accelerators on another make no room."""
    vms = build.vms(4, cores=64.0) + build.vms(4, accelerators=2)
    wanted = build.whole(jobs=(build.job(cores=32.0, accelerators=1),))
    assert 'jobs[0]' in _faults(wanted, vms=vms)


def test_wave_that_runs_keeps_its_pools():
    wanted = build.whole(
        pools=(), jobs=(), waves=(build.wave(pools=('sides',)),)
    )
    assert 'works on it' in _faults(wanted, **_running())['pools'].reason
    assert 'waves' in _faults(build.whole(waves=()), **_running())


def test_wave_that_ended_binds_nothing():
    now = _running()
    stopped = wave_state.order(
        now['waves'][0], ids.WaveId('monthly'), wave_state.Order.STOP, 1.0
    )
    wanted = build.whole(pools=(), jobs=(), waves=())
    assert not _faults(wanted, **(now | {'waves': (stopped,)}))


def test_part_over_a_megabyte():
    statuses = tuple(range(100_000, 800_000))
    wanted = build.whole(services=(build.service(refusal_statuses=statuses),))
    assert 'services' in _faults(wanted)


def test_shortage_is_the_smallest_group():
    demands = [
        (frozenset('ab'), 3),
        (frozenset('bc'), 3),
        (frozenset('a'), 3),
    ]
    there = {'a': 2, 'b': 2, 'c': 2}
    assert spread.shortages(demands, there) == [(frozenset('a'), 3, 2)]
    there = {'a': 4, 'b': 2, 'c': 2}
    assert spread.shortages(demands, there) == [(frozenset('abc'), 9, 8)]


def test_least_worst_loss_spreads_evenly():
    assert spread.least_worst_loss(6, [4, 4, 4]) == 2
    assert spread.least_worst_loss(6, [1, 1, 8]) == 4
    assert spread.least_worst_loss(6, []) == 0
