"""Workers that were lost and return, and the lists of workers in the store.

A leader persists the list of workers that may get tasks before it gives any:
the next leader waits for these workers only. The tests guard against a task
that runs twice. A worker falls silent, its lease ends, and the list is written
without it. It answers again and gets a task before the list names it again.
The leader dies; the next one does not know that worker, cannot reach it, and
starts the task elsewhere. This happened as a leader only ever added to its
record of the workers it had listed.
"""

import curio

from emulator import fleet as fleets
from emulator import servers
from tests import utils_takeover as build

WORKER = 'm1'

HIDDEN_S = 9.0
"""Longer than the lifetimes of a worker's lease and entry."""

ROSTER = 'ow/workers/drafts'

WHOLE_MACHINE = build.step(1, 16000, 4000)
"""A task that takes a whole machine."""

SLOW_S = (0.0, 0.05, 0.3)
"""Delays of the store's answers while the worker returns."""


def _play(slow_s: float, act):
    """Let the worker return while every machine is needed.

    :param slow_s: delay of the store's answers meanwhile
    :param act: awaited at each start on that worker
    """

    async def scenario(scene):
        machine = scene.fleet.machines[WORKER]
        await curio.spawn(fleets.hide, machine, HIDDEN_S, daemon=True)
        await curio.sleep(HIDDEN_S - 0.5)
        assert _named(scene) == []
        leader = build.leader(scene)
        build.on_start(scene, WORKER, lambda: act(scene, leader))
        # Jobs are submitted to another server, as the leader may die.
        other = next(row for row in scene.processes if row is not leader)
        for _ in scene.fleet.machines:
            await build.submit_job(scene, other, WHOLE_MACHINE)
        await curio.sleep(0.4)
        scene.store.slow_s = slow_s
        await curio.sleep(3.0)
        scene.store.slow_s = 0.0

    return build.play(scenario)


def _named(scene) -> list[str]:
    """Return the worker's name if the list in the store contains it."""
    roster = scene.store.items[ROSTER].value.decode()
    return [name for name in (f'i-{WORKER}-1',) if name in roster]


def test_worker_gets_no_task_before_the_roster_names_it():
    named = []

    async def note_named(scene, leader):
        named.append(_named(scene))

    for slow_s in SLOW_S:
        result = _play(slow_s, note_named)
        assert not result.breaches and not result.unfinished
    assert len(named) >= len(SLOW_S) and all(named)


def test_next_leader_waits_for_a_worker_that_was_lost_and_met_again():
    cut_leaders = []

    async def cut_off(scene, leader):
        if cut_leaders:
            return
        cut_leaders.append(leader.name)
        address = scene.fleet.machines[WORKER].address
        for process in scene.processes:
            if process is not leader:
                scene.network.cuts.add((process.name, address))
        await curio.spawn(servers.kill, scene.network, leader, daemon=True)

    for slow_s in SLOW_S:
        cut_leaders.clear()
        result = _play(slow_s, cut_off)
        assert cut_leaders
        assert not result.breaches and not result.unfinished


def test_worker_that_is_met_as_a_roster_is_written_gets_tasks():
    """It has to be added by another write after the one in flight.

    Otherwise it gets no tasks until another worker of its pool comes or goes.
    """
    begun = []

    async def scenario(scene):
        for machine in scene.fleet.machines.values():
            executor = machine.executor
            await curio.spawn(fleets.crash, scene.fleet, machine, 2.0)
            await curio.sleep(0.15)
            assert executor is not machine.executor
        await curio.sleep(1.6)
        scene.store.slow_s = 0.3
        await curio.sleep(2.0)
        scene.store.slow_s = 0.0

        async def note(name):
            begun.append(name)

        for name in scene.fleet.machines:
            build.on_start(scene, name, lambda name=name: note(name))
        for _ in scene.fleet.machines:
            await build.submit_job(scene, build.leader(scene), WHOLE_MACHINE)

    result = build.play(scenario)
    assert not result.breaches and not result.unfinished
    assert len(set(begun)) == 3
