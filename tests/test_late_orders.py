"""Late orders are refused by incarnations that no leader reaches.

Guards against tasks that run again although they are done (lab seeds 91466 and
91469). An order gets no answer, its executor restarts under its id, and the
order is then carried out while the leader is suspended, dead or waiting for
other calls, and the store is down, so nobody else can take over. The first
call that reaches the next incarnation sets its fence, and only the leader made
such calls, one after the other: the late orders were answered with 200.
"""

import curio
import hypothesis
from hypothesis import strategies
import pytest

from emulator import virtual
from oleanderwood import ids
from oleanderwood.pools import late_orders
from tests import utils_restarts
from tests import utils_takeover as build

LATE_S = 8.0


async def _kill(scene, leader) -> None:
    await build.kill(scene, leader)


async def _suspend(scene, leader) -> None:
    virtual.suspend_process(leader.name, 2 * LATE_S)


async def _cut_off(scene, leader) -> None:
    for machine in scene.fleet.machines.values():
        scene.network.cuts.add((leader.name, machine.address))


@pytest.mark.parametrize('fault', [_kill, _suspend, _cut_off])
def test_late_order_is_refused_by_an_incarnation_no_leader_reaches(fault):
    outcomes = []

    async def scenario(scene):
        late = utils_restarts.delay_one_order(scene, LATE_S)
        leader = build.leader(scene)
        await build.submit_job(scene, leader, build.step(1, 16000, 1000))
        await curio.sleep(LATE_S - 2.0)
        scene.store.down = 'silent'
        await fault(scene, leader)
        await curio.sleep(1.0)
        await utils_restarts.restart(scene, late[0], 0.5)
        outcomes.extend([utils_restarts.record_late_outcomes(scene, late[0])])
        await curio.sleep(3.0)
        scene.store.down = ''
        scene.network.cuts.clear()

    result = utils_restarts.play(scenario)
    assert outcomes == [['fence']]
    assert not result.breaches and not result.unfinished


def test_executors_without_birth_times_are_not_called():
    all_unanswered = []

    async def scenario(scene):
        utils_restarts.delay_one_order(scene, LATE_S)
        await build.submit_job(
            scene, build.leader(scene), build.step(1, 16000, 1000)
        )
        await curio.sleep(1.5)
        all_unanswered.extend(
            row.state.late_order_executors for row in scene.processes
        )

    build.play(scenario)
    assert all_unanswered
    assert not any(unanswered.orders for unanswered in all_unanswered)


def _order(number, fence=1, for_s=late_orders.MAX_DELAY_S):
    name = ids.ExecutorId(f'i-{number}')
    address = ids.Address(f'10.0.0.{number}:1')
    return late_orders.LateOrder(name, address, ids.Fence(fence), for_s)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 2 * late_orders.MAX_EXECUTORS),
            strategies.integers(1, 5),
            strategies.floats(0.0, 2 * late_orders.MAX_DELAY_S),
        ),
        max_size=60,
    )
)
def test_latest_orders_are_kept_with_their_highest_fences(steps):
    unanswered = late_orders.UnansweredOrders()
    now_s = 0.0
    fences: dict[str, int] = {}
    for number, fence, for_s in steps:
        now_s += 0.1
        order = _order(number, fence, for_s)
        if order.executor not in unanswered.orders:
            fences.pop(order.executor, None)
        fences[order.executor] = max(fence, fences.get(order.executor, 0))
        late_orders.add(unanswered, order, now_s)
        assert len(unanswered.orders) <= late_orders.MAX_EXECUTORS
        assert unanswered.orders.keys() == unanswered.until_s.keys()
        for known in unanswered.orders.values():
            assert known.fence == fences[known.executor]
        longest_s = max(unanswered.until_s.values(), default=0.0)
        assert longest_s <= now_s + late_orders.MAX_DELAY_S
    assert not late_orders.executors_to_call(
        unanswered, now_s + late_orders.MAX_DELAY_S
    )


def test_executor_is_called_until_its_order_can_no_longer_arrive():
    unanswered = late_orders.UnansweredOrders()
    late_orders.add(unanswered, _order(1), 0.0)
    late_orders.add(unanswered, _order(2), 5.0)
    assert (
        len(
            late_orders.executors_to_call(
                unanswered, late_orders.MAX_DELAY_S - 0.1
            )
        )
        == 2
    )
    (left,) = late_orders.executors_to_call(
        unanswered, late_orders.MAX_DELAY_S
    )
    assert left.executor == 'i-2'
    late_orders.remove(unanswered, left.executor)
    assert not late_orders.executors_to_call(
        unanswered, late_orders.MAX_DELAY_S
    )
