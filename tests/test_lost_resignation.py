"""A leader stops, and its last write to the store is lost.

Observed failure: on a day with lost answers of the store, nobody led for 4.9 s
after a planned stop. Of 556 jobs submitted to a large deployment around that
time, 42 were served in time, 231 late, and 281 failed.

The leader hands over by removing its liveness key, but that write was neither
carried out nor answered. Its process goes on serving until its callers are
gone, renews its lease meanwhile, and thereby keeps the key.

Cause: the write was tried only once. Log: `leader hands-over` at 12.517,
`ended` at 13.118, `not-resigned ... no answer in 0.6 s`, and nothing until
`took-over` at 17.904, when the process exits.
"""

import curio

from emulator import servers
from emulator import virtual
from oleanderwood.leading import roles
from tests import utils_takeover as build

MAX_SERVING_S = 6.0
"""Maximum time for which a stopping server goes on serving, in seconds."""


def _lose(scene, process, times):
    """Lose a number of the writes that remove the liveness key."""
    handler = scene.network.handlers[servers.STORE_ADDRESS]
    lost = []

    async def handle(source, method, target, body, headers):
        removes = b'"remove":["' + roles.ALIVE_KEY.encode() in body
        if source == process.name and removes and len(lost) < times:
            lost.append(target)
            await virtual.forever()
        return await handler(source, method, target, body, headers)

    scene.network.handlers[servers.STORE_ADDRESS] = handle
    return lost


def _gap_s(times):
    gaps_s = []

    async def scenario(scene):
        leader = build.leader(scene)
        lost = _lose(scene, leader, times)
        from_s = await curio.clock()
        await curio.spawn(
            servers.stop, scene.network, leader, MAX_SERVING_S, daemon=True
        )
        others = [row for row in scene.processes if row is not leader]
        while not any(map(build.may_act, others)):
            await curio.sleep(0.02)
        gaps_s.append(await curio.clock() - from_s)
        assert len(lost) == times

    build.play(scenario)
    return gaps_s[0]


def test_leader_that_stops_is_followed_soon_though_its_write_is_lost():
    assert _gap_s(0) < 0.5
    assert _gap_s(1) < 1.0
    assert _gap_s(3) < 2.0
