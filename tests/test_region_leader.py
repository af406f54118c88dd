"""Tests of region_leader: whole waves through a world with faults."""

import curio
import pytest

from oleanderwood import wave_state
from tests import utils_controller as utils


def _filled(made):
    return lambda: utils.serving(made) == 3


def _wave_done(made):
    return lambda: utils.wave(made).state is wave_state.State.DONE


async def _start(made):
    utils.configure(made, [utils.pool()])
    await utils.run_until(made, _filled(made))
    utils.order_wave(made)


def _reboots(made):
    return [vm for kind, vm in made.orders if kind == 'reboot']


def test_wave_reboots_each_vm_once():
    async def main():
        made = utils.world()
        await _start(made)
        members = {
            vm for vm, row in utils.rows(made).items() if row.pool == 'p'
        }
        passes = await utils.run_until(made, _wave_done(made))
        print(passes, made.calls)
        assert made.harm == []
        assert sorted(_reboots(made)) == sorted(members)
        assert utils.serving(made) >= 3

    curio.run(main)


@pytest.mark.parametrize('before', (False, True))
def test_leader_that_dies_at_any_step_is_followed(before):
    async def main():
        calls = 1
        number = 0
        while number <= calls:
            number += 1
            made = utils.world()
            await _start(made)
            made.calls = 0
            made.crash_at = number
            made.crash_before = before
            await utils.run_until(made, _wave_done(made))
            calls = made.calls
            assert made.harm == [], number
            assert utils.serving(made) >= 3
        print(number)

    curio.run(main)
