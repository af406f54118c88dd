"""Tests of wave_run and region_waves: operators' orders, and reports."""

import dataclasses

import curio
import pytest

from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import region_leader
from oleanderwood import region_state
from oleanderwood import wave as waves
from oleanderwood import wave_run
from oleanderwood import wave_state
from tests import utils_controller as utils

Order = wave_state.Order
State = wave_state.State
Vm = fleet.VmState


async def _until_some(made, state):
    def found():
        return any(row.state is state for row in utils.rows(made).values())

    await utils.run_until(made, found)


def _all_serve(made):
    def found():
        rows = utils.rows(made).values()
        return all(row.state is Vm.SERVING for row in rows)

    return found


@pytest.mark.parametrize(
    'state, order, kinds',
    (
        (Vm.RELEASING, Order.PAUSE, set()),
        (Vm.RELEASING, Order.STOP, set()),
        (Vm.DRAINING, Order.PAUSE, {'drain', 'reboot'}),
        (Vm.DRAINING, Order.STOP, {'drain', 'undrain'}),
        (Vm.REBOOTING, Order.STOP, {'drain', 'reboot'}),
    ),
)
def test_vms_that_are_out_come_back(state, order, kinds):
    async def main():
        made = utils.world()
        utils.configure(made, [utils.pool()])
        await utils.run_until(made, lambda: utils.serving(made) == 3)
        utils.order_wave(made)
        await _until_some(made, state)
        utils.order_wave(made, order)
        await utils.run_until(made, _all_serve(made))
        assert {kind for kind, _ in made.orders} == kinds
        assert made.harm == []
        utils.order_wave(made)
        await utils.run_until(
            made, lambda: utils.wave(made).state is State.DONE
        )
        assert made.harm == []

    curio.run(main)


def test_wave_that_is_not_configured_any_more_stops():
    async def main():
        made = utils.world()
        utils.configure(made, [utils.pool()])
        await utils.run_until(made, lambda: utils.serving(made) == 3)
        utils.order_wave(made)
        await _until_some(made, Vm.DRAINING)
        utils.configure(made, [utils.pool()], waves=(), revision=2)
        await utils.run_until(
            made, lambda: utils.wave(made).state is State.STOPPED
        )
        assert _all_serve(made)()
        assert 'reboot' not in {kind for kind, _ in made.orders}

    curio.run(main)


def _batch(phase=waves.Phase.RUNNING):
    return waves.Batch(phase, '', (), (), (), None, True, 0.0)


def test_reason_whose_figures_alone_change_is_not_written_at_once():
    run = wave_run.Run(
        ids.WaveId('w/1'), waves.Progress(ids.WaveId('w'), 0.0, ())
    )
    state = wave_state.Wave(wave=ids.WaveId('w'), state=State.RUNNING, run=1)
    first = wave_run.report(run, _batch(), state, 'Wait 9.5 s.', 100.0)
    assert first.reason == 'Wait 9.5 s.'
    same = wave_run.report(run, _batch(), first, 'Wait 8 s.', 101.0)
    assert same is first
    later = wave_run.report(run, _batch(), first, 'Wait 8 s.', 161.0)
    assert later.reason == 'Wait 8 s.'


def test_outcomes_are_made_again_from_the_rows():
    state = wave_state.Wave(wave=ids.WaveId('w'), state=State.RUNNING, run=3)
    rows = [
        _row('v1', Vm.SERVING, 'w/3', 50.0),
        _row('v2', Vm.BROKEN, 'w/3', 40.0),
        _row('v3', Vm.DRAINING, 'w/3', 60.0),
        _row('v4', Vm.SERVING, 'w/2', 30.0),
    ]
    wave = utils.configuration.Wave(name='w', pools=('p',))
    run = wave_run.follow(wave_run.begin(wave, state, rows), state, rows)
    outcomes = [(one.vm, one.failed) for one in run.progress.outcomes]
    assert outcomes == [('v2', True), ('v1', False)]
    assert run.taken == {'v3': 60.0}
    assert run.progress.targets == ('v1', 'v2', 'v3', 'v4')
    assert wave_run.follow(run, state, rows) is run


def _row(vm, state, wave, changed_at_s):
    return fleet.VmRow(
        ids.VmId(vm),
        ids.PoolId('p'),
        state,
        ids.Epoch(1),
        ids.Rack('r'),
        ids.Address('127.0.0.1:1'),
        wave=ids.WaveId(wave),
        changed_at_s=changed_at_s,
    )


def test_operator_who_writes_during_a_pass_wins():
    async def main():
        made = utils.world()
        utils.configure(made, [utils.pool()])
        await utils.run_until(made, lambda: utils.serving(made) == 3)
        utils.order_wave(made)
        stops = []

        async def stop_while_probing(address):
            if not stops and utils.wave(made).total:
                stops.append(utils.order_wave(made, Order.STOP))
            return True

        reach = dataclasses.replace(
            utils.leader_world(made), probe=stop_while_probing
        )
        leader = region_state.Leader()
        while not stops:
            utils.step(made)
            await region_leader.run_pass(reach, leader)
        assert utils.wave(made).state is State.STOPPED
        for _ in range(30):
            utils.step(made)
            await region_leader.run_pass(reach, leader)
        assert utils.wave(made).state is State.STOPPED
        assert _all_serve(made)()
        assert leader.footing.term == 2
        assert made.harm == []

    curio.run(main)
