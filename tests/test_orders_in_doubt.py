"""Maintenance orders whose outcome isn't known, under one leader and the next.

A leader that got no answer to an order counted the machine as down and never
ordered it again, as the machine took the slot that its own order needed. The
next leader forgot such an order after a pause, although a partition may hold
it up for longer; it ordered other machines, and too many went down at once
(rule LIMIT).
"""

import curio
import msgspec
import pytest

from emulator import fleet as fleets
from emulator import network as networks
from emulator import servers
from emulator import store as stores
from oleanderwood import errors
from oleanderwood.leading import fleet_loop
from oleanderwood.leading import machine_handover
from oleanderwood.leading import stored_waves
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling
from oleanderwood.platform import machines as machine_calls
from oleanderwood import verdict as verdicts
from tests import utils_jobs
from tests import utils_takeover as takeovers
from tests import utils_waves as build

DONE = machine_calls.Outcome.DONE
BUSY = machine_calls.Outcome.BUSY
UNANSWERED = errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'reset')
NOT_SENT = errors.CallFailed(verdicts.Verdict.NOT_RUN, 'no connection')

WAVE_KEY = f'{stored_waves.WAVES_PREFIX}1'

CUT_S = 5.5
"""Time for which the leader is cut off: longer than the pause between the
orders of two leaders."""


def _in_doubt(progress, name, at_s=9.0):
    progress.down[name] = rolling.MaintenanceOrder(f'w-{name}', at_s)


def test_order_in_doubt_is_repeated_while_no_slot_is_free():
    """Guards against a wave that stands still after one lost answer."""
    progress = build.progress('a', 'b')
    _in_doubt(progress, 'a')
    assert build.decide(progress, build.machines('a', 'b')).order == ['a']


def test_order_in_doubt_is_repeated_before_others_are_sent():
    """Guards against two machines down where one is allowed."""
    progress = build.progress('a', 'b', 'c', max_down=2)
    _in_doubt(progress, 'c')
    machines = build.machines('a', 'b', 'c')
    assert build.decide(progress, machines).order == ['c', 'a']


def test_machine_in_doubt_that_may_not_go_down_keeps_its_slot():
    """Guards against another machine that goes down beside a late order."""
    progress = build.progress('a', 'b')
    _in_doubt(progress, 'a')
    worker, _ledger = build.busy_worker('w-a', tasks=2, is_long_running=True)
    machines = build.machines('a', 'b')
    decision = build.decide(progress, machines, {'a': worker})
    assert not decision.order
    assert decision.waits['a'] == 'its long-running tasks are needed'
    assert decision.waits['b'] == 'others are down'


def test_machine_in_doubt_with_much_work_does_not_hold_up_the_wave():
    """Guards against a slot that is held until the wave must hurry."""
    progress = build.progress('a', 'b')
    _in_doubt(progress, 'a')
    worker, _ledger = build.busy_worker('w-a')
    machines = build.machines('a', 'b')
    for now_s, orders in ((10.0, []), (16.0, []), (16.1, ['a'])):
        decision = build.decide(progress, machines, {'a': worker}, now_s)
        assert decision.order == orders
        rolling.update_closed(progress, decision.close, now_s)


def test_no_more_orders_are_repeated_than_machines_may_be_down():
    """Guards against too many machines down once operators allow fewer."""
    progress = build.progress('a', 'b', 'c')
    _in_doubt(progress, 'a')
    _in_doubt(progress, 'b')
    machines = build.machines('a', 'b', 'c')
    assert build.decide(progress, machines).order == ['a']
    progress.begun.add('a')
    progress.down['a'] = rolling.MaintenanceOrder('w-a', 10.0, taken=True)
    assert not build.decide(progress, machines).order


def test_order_in_doubt_is_not_repeated_if_operators_hold_maintenance():
    progress = build.progress('a')
    _in_doubt(progress, 'a')
    machines = build.machines('a')
    assert not build.decide(progress, machines, hold=True).order


@pytest.mark.parametrize('required, orders', ((1, ['a']), (2, [])))
def test_machine_in_doubt_is_already_missing_from_its_pool(required, orders):
    """Guards against a repetition that waits for a machine to spare."""
    progress = build.progress('a')
    _in_doubt(progress, 'a')
    decision = build.decide(
        progress,
        build.machines('a', 'b'),
        min_up={utils_jobs.POOL: required},
    )
    assert decision.order == orders


def test_lost_machine_in_doubt_does_not_hold_up_the_wave_for_good():
    """A machine that is down refuses the order; one that is back may not."""
    progress = build.progress('a', 'b')
    _in_doubt(progress, 'a', at_s=10.0)
    machines = build.machines('b')
    machines.update(build.machines('a', state=fleet.State.DOWN))
    later_s = 10.0 + rolling.MAX_HELD_UP_S
    assert not build.decide(progress, machines, now_s=later_s).order
    assert build.decide(progress, machines, now_s=later_s + 0.1).order == ['b']
    machines.update(build.machines('a'))
    decision = build.decide(progress, machines, now_s=later_s + 0.1)
    assert decision.order == ['a']


def test_machine_that_crashes_after_its_maintenance_frees_its_slot():
    """Guards against a wave that stands still for a machine lost for good."""
    progress = build.progress('a', 'b')
    progress.begun.add('a')
    progress.down['a'] = rolling.MaintenanceOrder('w-a', 10.0, taken=True)
    for state, read_s, frees in (
        (fleet.State.MAINTAINED, 60.0, False),
        (fleet.State.DOWN, 12.0, False),
        (fleet.State.DOWN, 13.0, True),
    ):
        machines = build.machines('b')
        machines.update(build.machines('a', state=state))
        rolling.remove_returned(
            progress, machines, read_s, build.MAINTENANCE_S
        )
        decision = build.decide(progress, machines, now_s=read_s)
        assert (decision.order == ['b']) is frees


def test_machine_in_doubt_that_is_not_listed_does_not_hold_up_the_end():
    progress = build.progress('a', 'b')
    progress.begun.add('b')
    _in_doubt(progress, 'a')
    assert build.decide(progress, build.machines('b')).completed
    rolling.remove_returned(progress, build.machines('b'), 20.0, 2.0)
    assert not build.decide(progress, build.machines('a', 'b')).completed


ANSWERS = {
    'unanswered': ([UNANSWERED], 'in doubt'),
    'not-sent': ([NOT_SENT], 'none'),
    'busy': ([BUSY], 'none'),
    'done': ([DONE], 'taken'),
    'unanswered-then-not-sent': ([UNANSWERED, NOT_SENT], 'in doubt'),
    'unanswered-then-busy': ([UNANSWERED, BUSY], 'in doubt'),
    'unanswered-then-done': ([UNANSWERED, DONE], 'taken'),
    'unanswered-then-final': (
        [UNANSWERED, machine_calls.Outcome.NOT_OF_WAVE],
        'none',
    ),
}


@pytest.mark.parametrize('answers, known', ANSWERS.values(), ids=ANSWERS)
def test_order_is_in_doubt_until_the_platform_answers_for_it(
    monkeypatch, answers, known
):
    """Guards against a refusal that settles an earlier order as well."""
    platform = build.install_platform(monkeypatch)
    platform.answers += answers
    leader, progress = build.leader('a'), build.progress('a')
    for _ in answers:
        curio.run(fleet_loop._maintain, leader, progress, 'a', None)
    order = progress.down.get('a')
    assert known == (
        'none' if order is None else 'taken' if order.taken else 'in doubt'
    )
    final = (DONE, machine_calls.Outcome.NOT_OF_WAVE)
    assert ('a' in progress.begun) is (answers[-1] in final)


def _announce(leader, progress, names):
    """Announce orders as a leader does before it sends them."""
    curio.run(
        machine_handover.announce,
        leader,
        names,
        stored_waves.encode(progress, names),
    )


def _next_leader(platform, *names):
    """Return the next leader's progress of the wave, as it was stored."""
    leader, progress = build.leader(*names), build.progress(*names)
    stored = platform.stored
    machine_handover.restore(leader, stored[machine_handover.KEY])
    if WAVE_KEY in stored:
        stored_waves.restore(progress, stored[WAVE_KEY])
    stored_waves.restore_announced(leader, progress)
    return leader, progress


def test_orders_stay_in_doubt_under_several_leaders(monkeypatch):
    """Guards against a leader in between that forgets its predecessor's."""
    platform = build.install_platform(monkeypatch)
    leader, progress = build.leader('a', 'b'), build.progress('a', 'b')
    _announce(leader, progress, ['a'])
    for _ in range(3):
        platform.s += 2 * machine_handover.RETENTION_S
        leader, progress = _next_leader(platform, 'a', 'b')
        assert set(progress.down) == {'a'}
        assert build.decide(progress, leader.fleet.machines).order == ['a']
        _announce(leader, progress, ['b'])
        progress.begun.add('b')
        curio.run(stored_waves.write, leader, progress)


def test_order_in_doubt_counts_in_its_own_wave_alone(monkeypatch):
    """Guards against repetitions for machines that another wave ordered."""
    platform = build.install_platform(monkeypatch)
    leader, progress = build.leader('a', 'b'), build.progress('a', 'b')
    _announce(leader, progress, ['a'])
    later = build.leader('a', 'b')
    machine_handover.restore(later, platform.stored[machine_handover.KEY])
    other = build.progress('a', 'b')
    stored_waves.restore_announced(later, other)
    assert not other.down


def test_answered_order_costs_the_next_leader_no_slot(monkeypatch):
    platform = build.install_platform(monkeypatch)
    platform.answers.append(DONE)
    leader, progress = build.leader('a', 'b'), build.progress('a', 'b')
    _announce(leader, progress, ['a'])
    curio.run(fleet_loop._maintain, leader, progress, 'a', None)
    curio.run(stored_waves.write, leader, progress)
    leader, progress = _next_leader(platform, 'a', 'b')
    assert not progress.down
    assert build.decide(progress, leader.fleet.machines).order == ['b']


def test_orders_that_only_an_earlier_release_announced_are_in_doubt(
    monkeypatch,
):
    """Guards against a leader that forgets orders during an upgrade."""
    platform = build.install_platform(monkeypatch)
    announced = machine_handover.Announcements(
        {'a': 0.0}, ages_ms={'a': 0.0}, maintained=['a', 'x']
    )
    platform.stored[machine_handover.KEY] = msgspec.json.encode(announced)
    platform.stored[WAVE_KEY] = b'{"begun":["b"],"seen_wall_ms":0.0}'
    _leader, progress = _next_leader(platform, 'a', 'b', 'c')
    assert set(progress.down) == {'a'}


async def _hold_up(scene):
    """Cut the leader off as its first order is on its way."""
    previous = takeovers.leader(scene)
    handler = scene.network.handlers[servers.MACHINES_ADDRESS]
    held = []

    async def handle(source, method, target, body, headers):
        if method == 'POST' and not held:
            held.append(source)
            for address in (servers.STORE_ADDRESS, servers.MACHINES_ADDRESS):
                scene.network.cuts.add((previous.name, address))
            arguments = (source, method, target, body, headers)
            await networks.carry_out_later(
                scene.network, CUT_S, servers.MACHINES_ADDRESS, arguments
            )
        return await handler(source, method, target, body, headers)

    scene.network.handlers[servers.MACHINES_ADDRESS] = handle
    await fleets.ask_wave(scene.fleet, ['m1', 'm2', 'm3'], max_count=1)
    await takeovers.wait_until(lambda: held)
    # The next leader prefers another machine than the first did.
    await _reverse(scene)
    await curio.sleep(CUT_S)
    scene.network.cuts.clear()


async def _reverse(scene):
    wave = scene.fleet.waves[1]
    wave['machines'] = wave['machines'][::-1]
    value = msgspec.json.encode(wave)
    await stores.put(scene.store, 'op/wave/1', value)


def test_order_held_up_under_the_next_leader_takes_no_second_machine():
    """Guards against a late order beside one of the next leader (LIMIT).

    This network delivers also what was reset, so the former leader's token
    arrives after the next one's (ONE); real connections lose it.
    """
    result = takeovers.play(_hold_up)
    assert not [row for row in result.breaches if row.startswith('LIMIT')]
    waves = [
        row for row in result.evidence.sights if row.kind.value == 'maintained'
    ]
    assert len(waves) == 3
