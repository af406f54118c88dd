"""What a leader does about workers while it may not act, and right after.

What callers saw: done tasks that ran again. Order of events: a leader reaches
neither the store nor another server, so it may not act, and asks no worker; an
executor starts again under its id meanwhile. Then either

- the next life carries out an order that an earlier leader had left unanswered
  (lab seed 74140: a start of term 1, sent at 5.64, is carried out at 15.83 by
  the life born at 11.148, which the leader of term 2 first reaches at 18.618),
- or the leader may act again, starts tasks there, and its first renewal
  acknowledges the ends of the life before by their numbers: the next life
  forgets its own ends, unread (a trial on the same seed: ends at 19.048 s,
  forgotten at 19.083, started again at 20.40).

Cause: a worker was asked only while its leader could act; and a renewal that
came after such a gap counted as one that follows an answer at once.
"""

import json

import curio
import pytest

from tests import utils_restarts
from tests import utils_takeover as build

GAP_S = 10.0


def _cut_off(scene, alone) -> None:
    """Cut a leader off from the other servers, while the store is away.

    Nobody else comes to lead, as leases stand still meanwhile.
    """
    scene.store.down = 'silent'
    scene.network.cuts |= {
        (alone.name, row.address)
        for row in scene.processes
        if row is not alone
    }


def _note_renewals(scene, address) -> list[int]:
    """Give the ends that are acknowledged at an address from now on."""
    handler = scene.network.handlers[address]
    acknowledged: list[int] = []

    async def handle(source, method, target, body, headers):
        if target == '/hold':
            acknowledged.append(json.loads(body)['last_seen'])
        return await handler(source, method, target, body, headers)

    scene.network.handlers[address] = handle
    return acknowledged


def _gap(seen):
    """Let a leader not act while a worker that has ended tasks starts again.

    :param seen: gets the fences that the next life has seen by the gap's end,
        and what the renewals after it acknowledge
    """

    async def story(scene):
        begun = await utils_restarts.begin(
            scene, build.step(1, 16000, utils_restarts.BRIEF_MS)
        )
        await utils_restarts.hand_in_brief(scene, 6)
        await curio.sleep(2.0)
        alone = build.leader(scene)
        _cut_off(scene, alone)
        await curio.sleep(0.6 * GAP_S)
        await utils_restarts.restart(scene, begun[0], 0.05)
        executor = utils_restarts.machine_at(scene, begun[0]).executor
        await curio.sleep(0.4 * GAP_S)
        fence = executor.fence
        acknowledged = _note_renewals(scene, begun[0])
        scene.store.down = ''
        scene.network.cuts.clear()
        await curio.sleep(3.0)
        seen.extend([fence, acknowledged])

    return utils_restarts.play(story)


def test_first_renewal_after_a_gap_acknowledges_no_ends():
    seen = []
    result = _gap(seen)
    _fence, acknowledged = seen
    assert acknowledged and acknowledged[0] == 0
    assert not result.breaches and not result.unfinished


def test_next_life_sees_the_fence_of_a_leader_that_may_not_act():
    seen = []
    result = _gap(seen)
    assert seen[0] > 0
    assert not result.breaches and not result.unfinished


@pytest.mark.parametrize('seed', [74140])
def test_order_of_an_earlier_leader_is_refused_in_the_gap(seed):
    assert not utils_restarts.day_with_a_cut(seed).breaches
