"""A store that carries out calls but loses half of the answers.

Guards against leaders that lose their lease by lost answers. On a day of the
large deployment 42 of 1,174 accepted jobs failed and 302 waited for a leader
(`oleanderctl causes`); the leader changed four times in 13 s, each time with
`lease not-renewed ... no answer in 0.9 s` and `leader not-confirmed why="the
store lives"`. A renewal whose answer was lost waited until the lease had
ended. Now another renewal is sent after each 0.15 s without an answer.
"""

import curio
import pytest

from emulator import servers
from tests import utils_takeover as build

LOST_S = 4.0
POLL_INTERVAL_S = 0.05
MAX_GAP_S = 15.0


def _unled_part(seed):
    """Lose half of the store's answers; return the part of time not led."""
    can_act = []

    async def scenario(scene):
        scene.network.rng.seed(seed)
        scene.network.lost_share[servers.STORE_ADDRESS] = 0.5
        for _ in range(round(LOST_S / POLL_INTERVAL_S)):
            await curio.sleep(POLL_INTERVAL_S)
            can_act.append(any(map(build.may_act, scene.processes)))
        scene.network.lost_share.clear()

    build.play(scenario)
    return can_act.count(False) / len(can_act)


def test_leader_seldom_loses_its_lease_by_lost_answers():
    """Six calls fit into the remaining lease, so one renewal in 64 fails.

    Without repeated renewals nobody led for 11% of the time over these seeds.
    """
    parts = [_unled_part(seed) for seed in range(1, 21)]
    assert sum(parts) / len(parts) < 0.05


@pytest.mark.parametrize('down', ['busy', 'silent'])
def test_store_that_is_away_is_not_asked_more_often(down):
    """A refusal ends a renewal at once; silence costs six calls per lease."""
    calls = []

    async def scenario(scene):
        before = scene.store.calls
        scene.store.down = down
        await curio.sleep(3.0)
        calls.append(scene.store.calls - before)
        scene.store.down = ''

    build.play(scenario)
    # Three servers; five followers and renewals with their pauses each.
    assert calls[0] < 3 * 3.0 * 5 / 0.15 * 1.5


def _until_led_s(seed):
    """Kill the leader while half of the answers are lost; return the gap."""
    gaps_s = []

    async def scenario(scene):
        scene.network.rng.seed(seed)
        scene.network.lost_share[servers.STORE_ADDRESS] = 0.5
        from_s = await curio.clock()
        await build.kill(scene, build.leader(scene))
        while await curio.clock() < from_s + MAX_GAP_S:
            await curio.sleep(POLL_INTERVAL_S)
            if any(map(build.may_act, scene.processes)):
                break
        gaps_s.append(await curio.clock() - from_s)
        scene.network.lost_share.clear()

    build.play(scenario)
    return gaps_s[0]


def test_another_server_leads_though_answers_are_lost():
    """Each read of a takeover is retried on its own.

    Five reads without retries succeed together in one of 32 takeovers: nobody
    led within 15 s on 40 of 40 such days.
    """
    gaps_s = sorted(_until_led_s(seed) for seed in range(1, 16))
    assert gaps_s[-1] < MAX_GAP_S
    assert gaps_s[len(gaps_s) // 2] < MAX_GAP_S / 2
