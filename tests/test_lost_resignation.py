"""A leader that stops, and whose last word to the store gets lost.

What callers saw: on a day with lost answers of the store nobody led for 4.9 s
after a planned stop. Of 556 jobs handed in to a large deployment around that
time 42 were served in time, 231 late and 281 failed.

The leader hands over by removing its mark; that
write was neither done nor answered. Its process serves on until its callers
have gone, renews its lease meanwhile, and so keeps its mark.

Cause: the write was tried once. Log: `leader hands-over` at 12.517, `ended
why=stops` at 13.118, `not-resigned ... no answer in 0.6 s`, and nothing until
`took-over` at 17.904, as its process ends.
"""

import curio

from emulator import servers
from emulator import virtual
from oleanderwood.leading import roles
from tests import utils_takeover as build

SERVES_ON_S = 6.0
"""How long a server that stops serves on at most."""


def _lose(scene, process, times):
    """Let writes that remove the mark get lost, so many times."""
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

    async def story(scene):
        leader = build.leader(scene)
        lost = _lose(scene, leader, times)
        from_s = await curio.clock()
        await curio.spawn(
            servers.stop, scene.network, leader, SERVES_ON_S, daemon=True
        )
        others = [row for row in scene.processes if row is not leader]
        while not any(map(build.may_act, others)):
            await curio.sleep(0.02)
        gaps_s.append(await curio.clock() - from_s)
        assert len(lost) == times

    build.play(story)
    return gaps_s[0]


def test_leader_that_stops_is_followed_soon_though_its_write_is_lost():
    assert _gap_s(0) < 0.5
    assert _gap_s(1) < 1.0
    assert _gap_s(3) < 2.0
