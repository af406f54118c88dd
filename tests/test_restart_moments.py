"""Executors that restart under their id in the middle of an operation.

Covers a gang spread over several workers, a drain, a stop in flight, a
throttled run, and a task that crashes its workers: nothing may run twice or
stay open. An executor that restarts at another address is found by its entry.
"""

import curio
import pytest

from emulator import crashing
from emulator import fleet as fleets
from emulator import sharing
from tests import utils_restarts
from tests import utils_takeover as build

AWAY_S = (0.0, 0.3, 1.5)
GANG = {**build.step(3, 16000, 1500), 'gang': True}


def _check(result):
    assert not result.breaches
    assert not result.unfinished


def _busy(scene):
    """Return the machines whose executor runs something."""
    return [
        machine
        for machine in scene.fleet.machines.values()
        if machine.executor is not None and machine.executor.running
    ]


async def _restart(scene, machine, away_s):
    await fleets.restart(scene.fleet, machine, away_s, resets=True)


@pytest.mark.parametrize('away_s', AWAY_S)
def test_one_of_a_gangs_executors_starts_again(away_s):
    async def scenario(scene):
        await build.submit_job(scene, build.leader(scene), GANG)
        await curio.sleep(0.5)
        await _restart(scene, _busy(scene)[1], away_s)

    result = utils_restarts.play(scenario)
    _check(result)
    assert len(result.waits_s) == 1


@pytest.mark.parametrize('away_s', AWAY_S)
def test_executor_starts_again_while_it_drains(away_s):
    async def scenario(scene):
        await build.submit_job(scene, build.leader(scene), utils_restarts.LONG)
        await curio.sleep(0.5)
        (machine,) = _busy(scene)
        await curio.spawn(fleets.drain, scene.fleet, machine, daemon=True)
        await curio.sleep(1.0)
        await _restart(scene, machine, away_s)

    _check(utils_restarts.play(scenario))


@pytest.mark.parametrize('away_s', AWAY_S)
@pytest.mark.parametrize('after_s', [0.0, 0.05, 0.15])
def test_executor_starts_again_while_a_stop_is_under_way(away_s, after_s):
    async def scenario(scene):
        prefix = build.day.prefix('drafts')
        await curio.spawn(
            build.callers_.hand_in,
            scene.callers,
            prefix,
            'a' * 16,
            {'phases': [utils_restarts.LONG]},
            1.0,
            daemon=True,
        )
        while not scene.callers.cancelled:
            await curio.sleep(0.01)
        await curio.sleep(after_s)
        for machine in _busy(scene):
            await _restart(scene, machine, away_s)

    result = utils_restarts.play(scenario)
    _check(result)


@pytest.mark.parametrize('away_s', AWAY_S)
def test_executor_restarts_beside_a_throttled_run(away_s):
    serving = {
        **build.step(3, 4000, 700),
        'long_running': True,
        'target_ms': sharing.TARGET_MS,
        'image': 'web',
    }
    filling = {**build.step(6, 8000, 800), 'fills': True, 'image': 'grind'}

    async def scenario(scene):
        leader = build.leader(scene)
        await build.submit_job(scene, leader, serving)
        await curio.sleep(1.0)
        await build.submit_job(scene, leader, filling)
        await curio.sleep(1.0)
        await _restart(scene, _busy(scene)[0], away_s)

    _check(utils_restarts.play(scenario))


@pytest.mark.parametrize('away_s', AWAY_S)
def test_executor_starts_again_under_a_task_that_crashes_others(away_s):
    step = {**build.step(4, 2000, 400), crashing.FIELD: crashing.crash(0.3)}

    async def scenario(scene):
        await build.submit_job(scene, build.leader(scene), step)
        await curio.sleep(0.1)
        for machine in _busy(scene):
            await _restart(scene, machine, away_s)

    _check(utils_restarts.play(scenario))


@pytest.mark.parametrize('away_s', AWAY_S)
def test_executor_starts_again_at_another_address(away_s):
    async def scenario(scene):
        await build.submit_job(scene, build.leader(scene), utils_restarts.LONG)
        await curio.sleep(0.5)
        (machine,) = _busy(scene)
        old_address = machine.address
        machine.address = '10.1.9.9:1'
        scene.network.handlers.pop(old_address)
        await _restart(scene, machine, away_s)

    _check(utils_restarts.play(scenario))
