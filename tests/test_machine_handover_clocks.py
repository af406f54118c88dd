"""The pause between two leaders' orders for a machine ignores the time of day.

Guards against two servers that order one machine within the pause that the
platform requires between them (rule ONE). The leader's time of day is 2.4 s
behind. It announces an order with that time, sends it, and yields to a larger
server. The next leader, whose clock is right, takes the announcement for 2.4 s
old and orders the machine that much too early. The times of day of two
machines may differ by seconds, and only 0.5 s are allowed for.
"""

import curio
import pytest

from emulator import fleet as fleets
from emulator import servers
from oleanderwood import clock
from oleanderwood.leading import state as states
from tests import utils_takeover as build

BEHIND_MS = (0.0, 2400.0)


def _scenario(behind_ms, ordered):
    async def scenario(scene):
        previous = build.leader(scene)
        handler = scene.network.handlers[servers.MACHINES_ADDRESS]
        right_wall_ms = clock.wall_ms

        async def note(source, method, *rest):
            answer = await handler(source, method, *rest)
            if method == 'POST' and source == previous.name:
                ordered.append(rest)
            return answer

        scene.network.handlers[servers.MACHINES_ADDRESS] = note
        clock.wall_ms = lambda: right_wall_ms() - behind_ms
        await fleets.ask_wave(scene.fleet, ['m1'])
        while not ordered:
            await curio.sleep(0.001)
        clock.wall_ms = right_wall_ms
        await states.depose(previous.state.leader, 'a larger server is there')

    return scenario


@pytest.mark.parametrize('behind_ms', BEHIND_MS)
def test_pause_is_kept_whatever_the_time_of_day_is(behind_ms):
    ordered = []
    result = build.play(_scenario(behind_ms, ordered))
    assert ordered
    assert not result.breaches
