"""Fault tests of controllers: killed and paused at each step of a wave."""

import curio
import pytest

from demo import daemons
from demo import deployments
from demo import evidence
from demo import processes
from tests import utils_processes as build

CONTROLLER = daemons.Kind.CONTROLLER
STATES = ('releasing', 'draining', 'rebooting', 'returning')
LONG_S = 60.0


async def _leader(stage):
    """Give the controller that leads."""

    async def leads():
        for number in range(2):
            dump = await build.dump(stage, number, CONTROLLER)
            if dump.get('leads'):
                return build.child(stage, number, CONTROLLER)
        return None

    return await build.until(leads, 'a leader')


async def _until_row_is(stage, state):
    async def there():
        stays = evidence.stays(await build.writes(stage.scene))
        return any(s[-1].row.state == state for s in stays.values())

    await build.until(there, f'a row that is {state}')


async def _strike_in_wave(stage, state, strike):
    """Start a wave, strike the leader at a state, wait for the end."""
    async with build.load(stage.scene) as attempts:
        leader = await _leader(stage)
        await daemons.start_wave(stage.deployment, build.WAVE)
        await _until_row_is(stage, state)
        await strike(leader)
        await build.until_wave_done(stage, LONG_S)
    return attempts, await build.breaches(stage.scene)


async def _kill(leader):
    processes.kill(leader)
    await curio.sleep(0.5)
    processes.restart(leader)


async def _pause(leader):
    """Pause it past its lease; it wakes into another's term."""
    processes.pause(leader)
    await curio.sleep(12.0)
    processes.resume(leader)


def _check(stage, state, strike):
    attempts, breaches = stage.kernel.run(
        _strike_in_wave, stage, state, strike
    )
    assert breaches == []
    assert build.outcomes(attempts)['answered'] > 20


def test_leader_killed_while_vms_are_releasing(stage):
    _check(stage, 'releasing', _kill)


@pytest.mark.slow
@pytest.mark.parametrize('state', STATES[1:])
def test_leader_killed_at_each_later_step_of_a_wave(stage, state):
    _check(stage, state, _kill)


@pytest.mark.slow
@pytest.mark.parametrize('state', STATES)
def test_leader_paused_past_its_lease_at_each_step(stage, state):
    _check(stage, state, _pause)


@pytest.mark.slow
@pytest.mark.parametrize(
    'fault',
    [
        {'lag_s': 5.0},
        {'repeat_list': True},
        {'lose_answer': 0.5, 'seed': 2},
        {'delay_s': 1.0},
        {'refuse': 0.5, 'seed': 2},
    ],
    ids=lambda fault: next(iter(fault)),
)
def test_wave_ends_in_spite_of_the_platform(stage, fault):
    async def main():
        platform = stage.deployment.platform
        async with build.load(stage.scene) as attempts:
            await deployments.set_faults(platform, **fault)
            await daemons.start_wave(stage.deployment, build.WAVE)
            await curio.sleep(5.0)
            await deployments.set_faults(platform)
            await build.until_wave_done(stage, LONG_S)
        return attempts, await build.breaches(stage.scene)

    attempts, breaches = stage.kernel.run(main)
    assert breaches == []
    assert build.outcomes(attempts)['answered'] > 20


@pytest.mark.slow
def test_store_outage_in_a_wave_moves_nothing(stage):
    async def main():
        store = stage.deployment.store
        async with build.load(stage.scene) as attempts:
            await daemons.start_wave(stage.deployment, build.WAVE)
            await _until_row_is(stage, 'draining')
            await deployments.set_faults(store, down=True)
            await curio.sleep(3.0)
            before = len(await build.events(stage.scene))
            await curio.sleep(8.0)
            after = len(await build.events(stage.scene))
            await deployments.set_faults(store)
            await build.until_wave_done(stage, LONG_S)
        found = await build.breaches(stage.scene)
        return attempts, before, after, found

    attempts, before, after, breaches = stage.kernel.run(main)
    assert breaches == []
    assert before == after
    assert build.unanswered(attempts) == []
