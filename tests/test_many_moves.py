"""A turn of demand that asks for more machines at once than connections.

What operators saw: in a fleet of 276 machines nine tenths of all moves had a
line that their outcome is doubtful, and pools got their machines seconds late.
Order of events: one pass decides a hundred moves and sends all of them at the
same time; the platform's interface has sixteen connections; the other calls
fail before they are sent, and their machines are left alone for a while.
"""

import dataclasses

import curio
import msgspec

from emulator import day
from emulator import servers
from oleanderwood.platform import transport
from tests import utils_takeover as build

LARGE = dataclasses.replace(
    build.PLAN,
    machines_a_pool=10,
    machines_on_standby=60,
    pools=('drafts', 'finals', 'sides'),
)

JOBS = 60

ORDERS_PER_S = 200.0
"""What the platform of a fleet of hundreds takes."""

ANSWER_S = 0.005
"""About what an order takes on a calm day."""


def _count_moves(scene, seen: list[int]) -> None:
    """Note for each move how many were under way as it was sent."""
    handler = scene.network.handlers[servers.MACHINES_ADDRESS]
    under_way = 0

    async def handle(source, method, target, *rest):
        nonlocal under_way
        if target != '/machine-move':
            return await handler(source, method, target, *rest)
        under_way += 1
        seen.append(under_way)
        await curio.sleep(ANSWER_S)
        under_way -= 1
        return await handler(source, method, target, *rest)

    scene.network.handlers[servers.MACHINES_ADDRESS] = handle


def test_no_more_moves_are_under_way_than_there_are_connections():
    seen: list[int] = []

    async def story(scene: build.Scene) -> None:
        _count_moves(scene, seen)
        leader = build.leader(scene)
        leader.state.settings = msgspec.structs.replace(
            leader.state.settings, machine_orders_per_s=ORDERS_PER_S
        )
        for _ in range(JOBS):
            await build.hand_in(scene, leader, build.step(8, 16000, 1000))
        await curio.sleep(3.0)

    result: day.Result = build.play(story, LARGE)
    assert not result.breaches
    assert len(seen) > 2 * transport.MAX_CONNECTIONS
    assert max(seen) <= transport.MAX_CONNECTIONS
