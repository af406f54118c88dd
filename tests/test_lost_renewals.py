"""A store that carries calls out and loses half of the answers.

What callers saw: on a day of the large deployment with lost answers 42 of
1,174 accepted jobs failed and 302 waited for somebody to lead (`oleanderctl
causes`); the leader changed four times in 13 s, each time with `lease
not-renewed ... no answer in 0.9 s`, `leader not-confirmed why="the store
lives"`.

Cause: a renewal whose answer was lost waited until the lease had ended. Now
the lease is renewed by another call each 0.15 s without an answer.
"""

import curio
import pytest

from emulator import servers
from tests import utils_takeover as build

LOST_S = 4.0
LOOK_S = 0.05
MOST_S = 15.0


def _idle_part(seed):
    """Lose half of the store's answers; gives how long nobody may lead."""
    acts = []

    async def story(scene):
        scene.network.rng.seed(seed)
        scene.network.lost_share[servers.STORE_ADDRESS] = 0.5
        for _ in range(round(LOST_S / LOOK_S)):
            await curio.sleep(LOOK_S)
            acts.append(any(map(build.may_act, scene.processes)))
        scene.network.lost_share.clear()

    build.play(story)
    return acts.count(False) / len(acts)


def test_leader_seldom_loses_its_lease_by_lost_answers():
    """Six calls fit into the time that is left, so one renewal in 64 fails.

    Nobody led for 11% of the time before, over these seeds.
    """
    parts = [_idle_part(seed) for seed in range(1, 21)]
    assert sum(parts) / len(parts) < 0.05


@pytest.mark.parametrize('down', ['busy', 'silent'])
def test_store_that_is_away_is_not_asked_more_often(down):
    """A refusal ends a renewal at once; silence costs six calls in a lease."""
    calls = []

    async def story(scene):
        before = scene.store.calls
        scene.store.down = down
        await curio.sleep(3.0)
        calls.append(scene.store.calls - before)
        scene.store.down = ''

    build.play(story)
    # Three servers; five followers and renewals with their pauses each.
    assert calls[0] < 3 * 3.0 * 5 / 0.15 * 1.5


def _until_led_s(seed):
    """Kill the leader while half of the answers are lost; gives the gap."""
    gaps_s = []

    async def story(scene):
        scene.network.rng.seed(seed)
        scene.network.lost_share[servers.STORE_ADDRESS] = 0.5
        from_s = await curio.clock()
        await build.kill(scene, build.leader(scene))
        while await curio.clock() < from_s + MOST_S:
            await curio.sleep(LOOK_S)
            if any(map(build.may_act, scene.processes)):
                break
        gaps_s.append(await curio.clock() - from_s)
        scene.network.lost_share.clear()

    build.play(story)
    return gaps_s[0]


def test_another_server_leads_though_answers_are_lost():
    """Each reading of a takeover is tried again by itself.

    Five readings of one try each succeed together once in 32 takeovers: nobody
    led within 15 s on 40 of 40 such days.
    """
    gaps_s = sorted(_until_led_s(seed) for seed in range(1, 16))
    assert gaps_s[-1] < MOST_S
    assert gaps_s[len(gaps_s) // 2] < MOST_S / 2
