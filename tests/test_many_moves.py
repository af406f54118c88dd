"""A burst of demand that needs more moves at once than there are connections.

Guards against moves that fail before they are sent. In a fleet of 276 machines
nine tenths of all moves were logged as doubtful, and pools got their machines
seconds late: one pass decided a hundred moves and sent all at the same time
over the sixteen connections to the platform's interface. The other calls
failed, and their machines were not moved for a while.
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
"""Rate of orders that the platform of a fleet of hundreds accepts."""

ANSWER_S = 0.005
"""Approximate duration of an order without faults."""


def _count_moves(scene, seen: list[int]) -> None:
    """Record for each move how many were in flight when it was sent."""
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

    async def scenario(scene: build.Scene) -> None:
        _count_moves(scene, seen)
        leader = build.leader(scene)
        leader.state.settings = msgspec.structs.replace(
            leader.state.settings, machine_orders_per_s=ORDERS_PER_S
        )
        for _ in range(JOBS):
            await build.submit_job(scene, leader, build.step(8, 16000, 1000))
        await curio.sleep(3.0)

    result: day.Result = build.play(scenario, LARGE)
    assert not result.breaches
    assert len(seen) > 2 * transport.MAX_CONNECTIONS
    assert max(seen) <= transport.MAX_CONNECTIONS
