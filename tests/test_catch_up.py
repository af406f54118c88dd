"""Tests of reading newer revisions."""

import collections

import curio

from oleanderwood import catch_up
from oleanderwood import config_state
from tests import utils_network
from tests import utils_store


def test_parts_are_read_once_by_two_that_find_a_head_together():
    network = utils_network.Network()
    reads = collections.Counter()

    async def get(key):
        reads[key] += 1
        await curio.sleep(0)
        return network.fake.items.get(key)

    kept = utils_store.connect(network.fake, replaced={'get': get})
    node = utils_network.add(network, kept=kept)

    async def scenario():
        await utils_network.publish(network)
        async with curio.TaskGroup() as group:
            await group.spawn(catch_up.read_config, node)
            await group.spawn(catch_up.join_config, node)

    curio.run(scenario)
    of_parts = {k: n for k, n in reads.items() if k.startswith('config/parts')}
    assert len(of_parts) > 1
    assert set(of_parts.values()) == {1}
    assert config_state.revision(node.view.config) == 1
