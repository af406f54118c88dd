"""Tests of which parts of load control a deployment asks for."""

import pytest

from oleanderwood import boot
from oleanderwood.leading import load_control
from oleanderwood.policy import model
from oleanderwood.policy import reading
from tests import utils_settings

ALL = load_control.Switches(True, True, True, True)
NONE = load_control.Switches()


def _switches(load=model.Load(), has_tenants=True, **fields):
    settings = boot.check(utils_settings.raw(**fields))
    return load_control.decide(load, settings, has_tenants)


def test_nothing_is_on_where_nothing_asks_for_it():
    """Guards the earlier deployments against a change of behaviour."""
    assert _switches() == NONE
    assert _switches(contracts=['tenants', 'quota']) == NONE
    assert _switches(task_stop_ms=400, task_restore_ms=250) == NONE


def test_all_is_on_where_the_platform_declares_pressure():
    assert _switches(contracts=['tenants', 'pressure']) == ALL


def test_pressure_without_tenants_has_no_shares_to_protect():
    assert _switches(has_tenants=False, contracts=['pressure']) == NONE


def test_expensive_stops_ask_for_balancing_and_placement():
    found = _switches(has_tenants=False, task_stop_ms=900, task_restore_ms=600)
    assert found == load_control.Switches(balancing=True, placement=True)


def test_fleet_beyond_the_design_size_is_served_without_load_control():
    """Guards against a leader that spends its time on load control.

    A fleet of 3,000 workers was served half as well with it as without.
    """
    settings = boot.check(utils_settings.raw(contracts=['pressure']))
    most = load_control.MAX_WORKERS
    assert load_control.decide(model.Load(), settings, True, most) == ALL
    assert load_control.decide(model.Load(), settings, True, most + 1) == NONE
    load = model.Load(ordering=model.Mode.ON)
    found = load_control.decide(load, settings, True, most + 1)
    assert found == load_control.Switches(ordering=True)


def test_policy_goes_before_the_settings():
    load = model.Load(admission=model.Mode.OFF, placement=model.Mode.ON)
    assert not _switches(load, contracts=['pressure']).admission
    assert _switches(load).placement


def _faults(text):
    with pytest.raises(ExceptionGroup) as caught:
        reading.read(text)
    return [str(fault) for fault in caught.value.exceptions]


@pytest.mark.parametrize(
    ('line', 'words'),
    [
        ('max_wait_factor = 0.5', ('load.max_wait_factor', '0.5', '1 to 10')),
        ('usage_half_life_s = 900.0', ('900.0', '0.5 to 300')),
        ("admission = 'perhaps'", ('load.admission', 'perhaps')),
        ("admission = 'on'\nordering = 'off'", ('load.admission', 'both')),
        ('max_wait = 2.0', ('load', 'max_wait')),
    ],
)
def test_bad_value_is_refused_with_field_value_and_range(line, words):
    """A policy that is refused leaves the one in force as it is."""
    (fault,) = _faults(f'[load]\n{line}\n')
    assert all(word in fault for word in words)


def test_modes_are_read_and_stored():
    policy = reading.read("[load]\nbalancing = 'on'\nmax_wait_factor = 2.0\n")
    assert policy.load.balancing is model.Mode.ON
    stored = model.StoredPolicy(1, policy, '', '', '', 0.0)
    assert reading.decode(reading.encode(stored)).policy == policy
