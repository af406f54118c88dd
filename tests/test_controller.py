"""Tests of the controller daemon's shell."""

import curio
import pytest

from oleanderwood import codec
from oleanderwood import controller
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import leadership
from oleanderwood import region_leader
from oleanderwood import region_state
from tests import utils_controller as utils
from tests import utils_store

ADDRESS = ids.Address('127.0.0.1:1')


def _settings():
    return controller.Settings(
        ids.Region('r'), 'c1', (ADDRESS,), ADDRESS, ADDRESS
    )


def test_all_faulty_settings_are_named_together():
    with pytest.raises(ExceptionGroup) as caught:
        controller.command(
            region='r r',
            name='',
            store=['nowhere'],
            platform='127.0.0.1',
            tick_s=0.0,
            log_level='loud',
        )
    faults = [str(fault) for fault in caught.value.exceptions]
    flags = [fault.partition(':')[0] for fault in faults]
    assert flags == [
        '--region',
        '--name',
        '--store',
        '--platform',
        '--tick-s',
        '--log-level',
    ]


def test_dump_names_what_blocks_and_what_is_out():
    async def main():
        made = utils.world()
        utils.configure(made, [utils.pool()])
        await utils.run_until(made, lambda: utils.serving(made) == 3)
        utils.order_wave(made)
        utils.step(made)
        entry = made.entries[1]
        for vm in made.vms:
            utils.begin(made, entry, vm)
        daemon = controller.create(_settings())
        daemon.leader = region_state.Leader()
        assert controller.ready(daemon) == 'no configuration yet'
        reach = utils.leader_world(made)
        for _ in range(12):
            utils.step(made)
            await region_leader.run_pass(reach, daemon.leader)
        assert controller.ready(daemon) == ''
        dump = codec.from_json(codec.to_json(controller.dump(daemon)), dict)
        (blocked,) = dump['leader']['blocked'].values()
        assert blocked.startswith('e1 has requests in flight at ')
        assert len(dump['leader']['out']) == 1
        assert blocked in utils.wave(made).reason

    curio.run(main)


def test_follower_leads_once_the_leader_has_resigned():
    async def main():
        store = utils_store.connect(utils_store.FakeStore())
        daemons = []
        for _ in range(2):
            daemon = controller.create(_settings())
            object.__setattr__(daemon.world, 'store', store)
            daemons.append(daemon)
        first, second = daemons
        assert await controller._claim(first)
        waiting = await curio.spawn(controller._claim, second)
        await curio.sleep(0.02)
        assert not waiting.terminated
        await leadership.resign(store, first.seat)
        assert await waiting.join()

    curio.run(main)


def test_store_that_is_down_ends_a_pass_and_the_footing():
    async def main():
        made = utils.world()
        utils.configure(made, [utils.pool()])
        reach = utils.leader_world(made)
        leader = region_state.Leader()
        for _ in range(8):
            utils.step(made)
            await region_leader.run_pass(reach, leader)
        made.store.down = True
        utils.vanish(made, 'a0')
        with pytest.raises(errors.StoreUnavailable):
            await region_leader.run_pass(reach, leader)
        assert leader.footing is None
        made.store.down = False
        await region_leader.run_pass(reach, leader)
        assert leader.footing.term == 2
        assert not region_leader.release.settled(leader.releases, made.clock_s)

    curio.run(main)
