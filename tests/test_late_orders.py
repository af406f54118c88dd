"""Late orders are refused by incarnations that no leader reaches.

Guards against tasks that run again although they are done (lab seeds 91466 and
91469). An order gets no answer, its executor restarts under its id, and the
order is then carried out while the leader is suspended, dead or waiting for
other calls, and the store is down, so nobody else can take over. The first
call that reaches the next incarnation sets its fence, and only the leader made
such calls, one after the other: the late orders were answered with 200.

The same happens if the leader is killed before its order has timed out (lab
seed 95168): no server has recorded the order, the next leader runs the task to
its end, and the executor's next incarnation, which that leader does not reach,
carries the order out.
"""

import curio
import hypothesis
from hypothesis import strategies
import pytest

from emulator import network as networks
from emulator import virtual
from oleanderwood import ids
from oleanderwood.leading import late_orders as leading_late_orders
from oleanderwood.leading import previous_leaders
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


@pytest.mark.parametrize('harm', [None, networks.Harm.REFUSED])
@pytest.mark.parametrize('kill_after_s', [0.02, 0.1, 0.3, 0.7])
def test_order_in_flight_at_a_leaders_death_is_refused_later(
    kill_after_s, harm
):
    """The task is done when the order arrives in the next incarnation."""
    outcomes = []
    result = utils_restarts.order_in_flight_at_a_leaders_death(
        kill_after_s, harm, outcomes
    )
    assert outcomes == [['fence']]
    assert not utils_restarts.done_twice(result)
    assert not result.breaches and not result.unfinished


def _probed(scene) -> list[list[str]]:
    """Return the executors that each server probes."""
    return [
        list(row.state.late_order_executors.orders) for row in scene.processes
    ]


async def _suspect(scene) -> None:
    """Let the leader suspect a late order at a worker that nobody reaches."""
    leader = build.leader(scene).state.leader
    worker = next(iter(leader.workers.values()))
    for process in scene.processes:
        scene.network.cuts.add((process.name, worker.entry.address))
    await leading_late_orders.suspect(leader, worker)


def test_executor_is_probed_for_a_suspected_order_until_it_answers():
    probed = []

    async def scenario(scene):
        await build.restart_leader(scene)
        await curio.sleep(1.0)
        await _suspect(scene)
        await curio.sleep(0.2)
        probed.append(_probed(scene))
        scene.network.cuts.clear()
        await curio.sleep(0.2)
        probed.append(_probed(scene))

    utils_restarts.play(scenario)
    assert probed == [[['i-m1-1']] * 3, [[]] * 3]


def test_no_order_is_suspected_once_it_could_no_longer_arrive():
    probed = []

    async def scenario(scene):
        await build.restart_leader(scene)
        await _suspect(scene)
        await curio.sleep(
            previous_leaders.SHORT_WAIT_S + late_orders.MAX_DELAY_S
        )
        probed.append(_probed(scene))
        await _suspect(scene)
        await curio.sleep(0.2)
        probed.append(_probed(scene))

    utils_restarts.play(scenario)
    assert probed == [[[]] * 3, [[]] * 3]


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


def _order(number, fence=1, for_s=late_orders.MAX_DELAY_S, suspected=False):
    name = ids.ExecutorId(f'i-{number}')
    address = ids.Address(f'10.0.0.{number}:1')
    return late_orders.LateOrder(
        name, address, ids.Fence(fence), for_s, suspected
    )


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


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 2 * late_orders.MAX_EXECUTORS),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_suspected_orders_take_no_place_of_unanswered_ones(steps):
    unanswered = late_orders.UnansweredOrders()
    only_unanswered = late_orders.UnansweredOrders()
    for moment_s, (number, suspected) in enumerate(steps):
        order = _order(number, moment_s, suspected=suspected)
        late_orders.add(unanswered, order, moment_s / 100)
        if not suspected:
            late_orders.add(only_unanswered, order, moment_s / 100)
        kept = {
            name
            for name, row in unanswered.orders.items()
            if not row.suspected
        }
        assert only_unanswered.orders.keys() <= kept
        assert len(unanswered.orders) <= late_orders.MAX_EXECUTORS
        assert unanswered.orders.keys() == unanswered.until_s.keys()


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
