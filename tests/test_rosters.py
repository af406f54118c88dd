"""Workers that were lost and are met again, and the rosters in the store.

A leader writes which workers it may give tasks before it gives any: the next
leader waits for those, and for no others. What goes wrong: a worker falls
silent, its lease ends, and the roster is written without it. It answers again
and gets a task before the roster names it again. The leader dies; the next
one doesn't know of that worker, doesn't reach it, and starts the task
elsewhere: two runs at once.

Cause: what a leader remembered of the rosters that it had written only grew.
Evidence: the roster in the store as the worker begins the task.
"""

import curio

from emulator import fleet as fleets
from emulator import servers
from tests import utils_takeover as build

WORKER = 'm1'

HIDDEN_S = 9.0
"""Longer than a worker's lease and its entry last."""

ROSTER = 'ow/workers/drafts'

WHOLE = build.step(1, 16000, 4000)
"""A task that takes all of a machine."""


SLOW_S = (0.0, 0.05, 0.3)
"""Times by which the store's answers are late as the worker comes back."""


def _play(slow_s: float, act):
    """Let the worker come back as each machine is wanted.

    :param slow_s: time by which the store's answers are late then
    :param act: awaited at each start on that worker
    """

    async def story(scene):
        machine = scene.fleet.machines[WORKER]
        await curio.spawn(fleets.hide, machine, HIDDEN_S, daemon=True)
        await curio.sleep(HIDDEN_S - 0.5)
        assert _named(scene) == []
        leader = build.leader(scene)
        build.on_start(scene, WORKER, lambda: act(scene, leader))
        # The one that hands in asks on; the leader may die meanwhile.
        other = next(row for row in scene.processes if row is not leader)
        for _ in scene.fleet.machines:
            await build.hand_in(scene, other, WHOLE)
        await curio.sleep(0.4)
        scene.store.slow_s = slow_s
        await curio.sleep(3.0)
        scene.store.slow_s = 0.0

    return build.play(story)


def _named(scene) -> list[str]:
    """Give the worker's names in the roster that lies in the store."""
    roster = scene.store.items[ROSTER].value.decode()
    return [name for name in (f'i-{WORKER}-1',) if name in roster]


def test_worker_gets_no_task_before_the_roster_names_it():
    named = []

    async def look(scene, leader):
        named.append(_named(scene))

    for slow_s in SLOW_S:
        result = _play(slow_s, look)
        assert not result.breaches and not result.unfinished
    assert len(named) >= len(SLOW_S) and all(named)


def test_next_leader_waits_for_a_worker_that_was_lost_and_met_again():
    struck = []

    async def strike(scene, leader):
        if struck:
            return
        struck.append(leader.name)
        address = scene.fleet.machines[WORKER].address
        for process in scene.processes:
            if process is not leader:
                scene.network.cuts.add((process.name, address))
        await curio.spawn(servers.kill, scene.network, leader, daemon=True)

    for slow_s in SLOW_S:
        struck.clear()
        result = _play(slow_s, strike)
        assert struck
        assert not result.breaches and not result.unfinished


def test_worker_that_is_met_as_a_roster_is_written_gets_tasks():
    """Its row has to be written after the write that is under way.

    What is lost otherwise is the worker: it gets nothing until another one of
    its pool comes or goes.
    """
    begun = []

    async def story(scene):
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
            await build.hand_in(scene, build.leader(scene), WHOLE)

    result = build.play(story)
    assert not result.breaches and not result.unfinished
    assert len(set(begun)) == 3
