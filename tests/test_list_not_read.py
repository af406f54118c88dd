"""A list of machines that can't be read makes no old one fresh.

What users would see: machines that are ordered to move by a list that is
seconds old, of which some have gone down or moved since. Cause: a reading that
failed counted as one that had just been made.
"""

import curio

from emulator import servers
from oleanderwood.platform import transport
from tests import utils_takeover as build

AWAY_S = 2.0


def test_failed_readings_leave_the_list_as_old_as_it_is():
    seen = []

    async def story(scene):
        fleet = build.leader(scene).state.leader.fleet
        handler = scene.network.handlers[servers.MACHINES_ADDRESS]
        asked = []

        async def refuse(source, method, target, *rest):
            if method == 'GET':
                asked.append(target)
                return transport.Answer(503, b'')
            return await handler(source, method, target, *rest)

        scene.network.handlers[servers.MACHINES_ADDRESS] = refuse
        await curio.sleep(AWAY_S)
        age_s = await curio.clock() - fleet.machines_read_s
        seen.append((age_s, len(asked)))
        scene.network.handlers[servers.MACHINES_ADDRESS] = handler

    build.play(story)
    age_s, asked = seen[0]
    assert age_s >= AWAY_S
    assert 4 <= asked <= 10
