"""The pause between two leaders' orders for one machine, by whose clock?

What users would see: two servers order one machine within the pause that the
platform wants between them (rule ONE). Order of events: the time of day of
the leader's machine is 2.4 s behind. It announces an order, with its time of
day, sends it, and yields to a larger server. The next leader, whose clock is
right, takes the announcement for 2.4 s old, and orders the machine when that
much of the pause is missing.

Cause: the age of an announcement is taken from the difference of two
machines' times of day, which jump by seconds; 0.5 s are allowed for.
"""

import curio
import pytest

from emulator import fleet as fleets
from emulator import servers
from oleanderwood import clock
from oleanderwood.leading import state as states
from tests import utils_takeover as build

BEHIND_MS = (0.0, 2400.0)


def _story(behind_ms, ordered):
    async def story(scene):
        former = build.leader(scene)
        handler = scene.network.handlers[servers.MACHINES_ADDRESS]
        right = clock.wall_ms

        async def note(source, method, *rest):
            answer = await handler(source, method, *rest)
            if method == 'POST' and source == former.name:
                ordered.append(rest)
            return answer

        scene.network.handlers[servers.MACHINES_ADDRESS] = note
        clock.wall_ms = lambda: right() - behind_ms
        await fleets.ask_wave(scene.fleet, ['m1'])
        while not ordered:
            await curio.sleep(0.001)
        clock.wall_ms = right
        await states.depose(former.state.leader, 'a larger server is there')

    return story


@pytest.mark.parametrize('behind_ms', BEHIND_MS)
def test_pause_is_kept_whatever_the_time_of_day_is(behind_ms):
    ordered = []
    result = build.play(_story(behind_ms, ordered))
    assert ordered
    assert not result.breaches
