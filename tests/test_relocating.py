"""A long-running task leaves a machine only if another one can take it.

Guards against a wave that ends seconds late while one long-running task is
stopped again and again. A machine runs two tasks of a step of which one may be
down at a time; one is stopped in order to start elsewhere, but no other
machine of the pool has the memory for it, so it starts again on the same
machine, and is stopped once more five seconds later.
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


def _long_running(count, mem_mb):
    step = build.step(count, 1000, 300)
    step.update(mem_mb=mem_mb, long_running=True, may_miss=1)
    return step


def test_task_leaves_a_machine_only_for_a_place_elsewhere():
    starts: list[str] = []
    waves: list[bool] = []

    async def scenario(scene):
        build.record_starts(scene, starts)
        leader = build.leader(scene)
        memory_mb = scene.fleet.memory_mb
        await build.submit_job(
            scene, leader, _long_running(2, memory_mb * 2 // 5)
        )
        await curio.sleep(1.0)
        await build.submit_job(
            scene, leader, _long_running(1, memory_mb * 4 // 5)
        )
        await curio.sleep(2.0)
        crowded = max(set(starts), key=starts.count)
        (machine,) = [
            machine
            for machine in scene.fleet.machines.values()
            if machine.address == crowded
        ]
        previous_executor = machine.executor
        await fleets.ask_wave(scene.fleet, [machine.name])
        await curio.sleep(WAVE_S)
        waves.append(machine.executor is not previous_executor)
        starts.append(crowded)

    result = build.play(scenario, PLAN)
    crowded = starts.pop()
    assert not result.breaches
    assert waves == [True]
    assert starts.count(crowded) == 2
