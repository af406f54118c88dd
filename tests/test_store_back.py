"""A silent store that answers again is asked anew at once.

What callers saw: nobody led for up to two seconds after an outage of the store
in which the leader had died, though the other servers had new leases within
0.2 s; and a task that ran again though it was done (lab seed 61291). Order of
events there: a start of term 1, sent at 6.18, gets no answer, and term 2 runs
the task to its end; the store falls silent and the leader dies; an executor
starts again at 17.566; the store is back by 17.676 (`lease taken` at 17.688);
at 18.04 the next life carries out the start; at 18.828 `store back
prefix=ow/roles/`, and term 3 begins.

Cause: a watch that was sent to the silent store is never answered, and its
follower waited for it to time out, while the lease was renewed by calls of its
own. So who leads was heard of late, and nobody came to lead.
"""

import curio
import pytest

from tests import utils_restarts
from tests import utils_takeover as build

AWAY_S = 4.0
LED_AGAIN_S = 0.5
"""Time after the store's return by which a server leads: a lease's renewals,
an election, and the head starts of the servers in line."""

LATE_S = 14.0


async def _lose_store_and_leader(scene) -> None:
    """Let the store fall silent for a while, in which the leader dies."""
    scene.store.down, scene.store.lapses = 'silent', True
    await build.kill(scene, build.leader(scene))
    await curio.sleep(AWAY_S)
    scene.store.down, scene.store.lapses = '', False


@pytest.mark.parametrize('later_s', [0.0, 0.5, 1.0, 1.5])
def test_next_leader_comes_as_soon_as_the_store_is_back(later_s):
    led = []

    async def story(scene):
        await curio.sleep(later_s)
        await _lose_store_and_leader(scene)
        await curio.sleep(LED_AGAIN_S)
        led.append(
            any(build.may_act(row) for row in scene.processes if row.state)
        )
        await build.submit_job(
            scene, build.leader(scene), build.step(3, 1500, 1000)
        )

    result = build.play(story)
    assert led == [True]
    assert not result.breaches and not result.unfinished


def test_order_of_an_earlier_term_is_refused_once_the_store_is_back():
    outcomes = []

    async def story(scene):
        late = utils_restarts.delay_one_order(scene, LATE_S)
        await build.submit_job(
            scene, build.leader(scene), build.step(1, 16000, 1000)
        )
        sent_s = await curio.clock()
        await curio.sleep(0.3)
        build.leader(scene).state.stopping = True
        await curio.sleep(5.0)
        back_s = sent_s + LATE_S - 2 * LED_AGAIN_S
        await curio.sleep(back_s - AWAY_S - await curio.clock())
        await curio.spawn(_restart, scene, late[0], outcomes, daemon=True)
        await _lose_store_and_leader(scene)
        await curio.sleep(3.0)

    result = utils_restarts.play(story)
    assert outcomes == ['fence']
    assert not result.breaches and not result.unfinished


async def _restart(scene, address, outcomes) -> None:
    """Start the executor at an address again just before the store is back.

    :param outcomes: gets how the late order ends
    """
    await curio.sleep(AWAY_S - 0.1)
    await utils_restarts.restart(scene, address, 0.05)
    ended = utils_restarts.record_late_outcomes(scene, address)
    await curio.sleep(2.0)
    outcomes.extend(ended)
