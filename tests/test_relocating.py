"""A long-running task that has to leave a machine finds a place first.

What users saw: a wave's last machines were maintained seconds after its time,
and one long-running task was stopped again and again. Order of events: a
machine holds two tasks of a step of which one may be away; one is stopped so
that it starts elsewhere; no other machine of the pool has the memory for it;
it starts again where it was; five seconds later the same once more.
"""

import curio

from emulator import day
from emulator import fleet as fleets
from tests import utils_takeover as build

PLAN = day.Plan(
    seed=1,
    server_count=3,
    machines_a_pool=2,
    machines_on_standby=1,
    pools=('drafts',),
)

WAVE_S = 12.0


def _lasting(count, mem_mb):
    step = build.step(count, 1000, 300)
    step.update(mem_mb=mem_mb, long_running=True, may_miss=1)
    return step


def test_task_leaves_a_machine_only_for_a_place_elsewhere():
    starts: list[str] = []
    waves: list[bool] = []

    async def story(scene):
        build.note_starts(scene, starts)
        leader = build.leader(scene)
        memory_mb = scene.fleet.memory_mb
        await build.hand_in(scene, leader, _lasting(2, memory_mb * 2 // 5))
        await curio.sleep(1.0)
        await build.hand_in(scene, leader, _lasting(1, memory_mb * 4 // 5))
        await curio.sleep(2.0)
        crowded = max(set(starts), key=starts.count)
        (machine,) = [
            machine
            for machine in scene.fleet.machines.values()
            if machine.address == crowded
        ]
        before = machine.executor
        await fleets.ask_wave(scene.fleet, [machine.name])
        await curio.sleep(WAVE_S)
        waves.append(machine.executor is not before)
        starts.append(crowded)

    result = build.play(story, PLAN)
    crowded = starts.pop()
    assert not result.breaches
    assert waves == [True]
    assert starts.count(crowded) == 2
