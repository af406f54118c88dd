"""A start that an incarnation unknown to the leader carries out and keeps.

Seen on a drawn day (lab seed 96143 with crashing tasks, three troubles, six
restarts and a cut). Order of events: an executor restarts, and its entry comes
late; a start that is meant for the earlier incarnation is carried out by the
next one at once, and its answer is lost; the leader does not reach that
executor again. The lease in the order is a time of the earlier incarnation's
clock, so the next one takes the longest lease that the platform allows, and
its run outlives the lease that the leader reckons with.
"""

import math

import curio

from emulator import network as networks
from oleanderwood.leading import worker_loop
from tests import utils_restarts
from tests import utils_takeover as build


def test_run_in_an_unknown_incarnation_is_over_before_it_starts_elsewhere():
    async def scenario(scene):
        leader = build.leader(scene)
        await utils_restarts.delay_entries(scene, 14.0)
        # A watch that is open already would still tell of the next entry.
        await curio.sleep(1.5)
        address = utils_restarts.executor_addresses(scene)[0]
        await utils_restarts.restart(scene, address, 0.05)
        way = (leader.name, address)
        scene.network.harms[way] = networks.Harm.MUTE
        leading = leader.state.leader
        leading.lossy_until_s = math.inf
        leading.calls.timeout_s = worker_loop.LOSSY_TIMEOUT_S
        await build.submit_job(scene, leader, utils_restarts.LONG)
        await curio.sleep(0.5)
        scene.network.cuts.add(way)
        await curio.sleep(10.0)
        scene.network.harms.clear()
        scene.network.cuts.clear()

    result = utils_restarts.play(scenario)
    assert not result.breaches and not result.unfinished
