"""Tests of wave_state: which orders a wave's state allows."""

import pytest

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import wave_state

WAVE = ids.WaveId('monthly')
START, PAUSE, STOP = wave_state.Order
EMPTY = wave_state.Waves(region=ids.Region('north'))


def _after(*orders):
    waves = EMPTY
    for number, order in enumerate(orders):
        waves = wave_state.order(waves, WAVE, order, float(number))
    return waves


@pytest.mark.parametrize(
    ('orders', 'state', 'run'),
    [
        ((START,), 'running', 1),
        ((START, START), 'running', 1),
        ((START, PAUSE), 'paused', 1),
        ((START, PAUSE, START), 'running', 1),
        ((START, STOP), 'stopped', 1),
        ((START, PAUSE, STOP), 'stopped', 1),
        ((START, STOP, START), 'running', 2),
    ],
)
def test_orders_lead_to_state(orders, state, run):
    wave = wave_state.find(_after(*orders), WAVE)
    assert (wave.state.value, wave.run) == (state, run)


@pytest.mark.parametrize('orders', [(PAUSE,), (STOP,), (START, STOP, PAUSE)])
def test_order_that_the_state_does_not_allow(orders):
    with pytest.raises(errors.WaveConflict):
        _after(*orders)


def test_repeat_is_no_new_revision():
    waves = _after(START)
    assert wave_state.order(waves, WAVE, START, 9.0) is waves


def test_resumed_wave_keeps_its_start():
    wave = wave_state.find(_after(START, PAUSE, START), WAVE)
    assert (wave.started_at_s, wave.changed_at_s) == (0.0, 2.0)


def test_active_names_running_and_paused():
    assert wave_state.active((EMPTY, _after(START, PAUSE))) == (WAVE,)
    assert wave_state.active((_after(START, STOP),)) == ()
