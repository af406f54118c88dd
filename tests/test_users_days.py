"""What days that users handed over are after, each by a small story.

Their first: a task that crashes its workers, while the server is killed that
has just ordered it. A crash that no leader has noted is lost, so the next one
may count one less: a takeover may cost one more worker, and no other job.

Their second: rooms that shrink while large jobs come. What no longer fits is
refused; a leader that asks again and again wastes orders, and one that goes by
old rooms overfills workers that don't refuse.
"""

import curio
import pytest

from emulator import fleet as fleets
from tests import utils_crashes
from tests import utils_takeover as build

CRASHES = 3
"""Workers that a task which crashes them as it starts may take with it."""

BURST_JOBS = 12
SHRUNK = 0.55
BEAT_S = 1.5


@pytest.mark.parametrize('after_s', [0.005, 0.4])
@pytest.mark.parametrize('kill_s', [0.0, 0.002, 0.01, 0.05, 0.3])
def test_killed_leader_costs_one_crash_more_at_most(after_s, kill_s):
    step = utils_crashes.crashing_step(
        utils_crashes.crashing.crash(after_s), count=1
    )

    async def story(scene):
        leader = build.leader(scene)
        other = next(row for row in scene.processes if row is not leader)
        await build.submit_job(scene, other, step)
        await build.submit_job(scene, other, build.step(2, 2000, 3000))
        while not utils_crashes.crashes(scene):
            await curio.sleep(0.001)
        await curio.sleep(kill_s)
        await build.kill(scene, leader)
        await curio.sleep(utils_crashes.SETTLE_S)

    result = build.play(story)
    kind = utils_crashes.evidences.Kind.CRASHED
    assert utils_crashes.count(result, kind) <= CRASHES + 1
    assert utils_crashes.shown(result) == {'completed', 'failed'}
    assert not result.breaches and not result.unfinished


@pytest.mark.parametrize('share', [0.34, 0.67, 1.0])
def test_large_jobs_find_what_rooms_are_left(share):
    async def story(scene):
        leader = build.leader(scene)
        machines = [
            row
            for row in scene.fleet.machines.values()
            if row.executor is not None
        ]
        for machine in machines[: round(share * len(machines))]:
            await curio.spawn(
                fleets.resize,
                scene.fleet,
                machine,
                SHRUNK,
                BEAT_S,
                daemon=True,
            )
        for _ in range(BURST_JOBS):
            await build.submit_job(scene, leader, build.step(8, 4000, 800))
            await curio.sleep(0.2)

    result = build.play(story)
    # Each may refuse once a beat, until its entry tells: at the next one.
    assert result.refused['room'] <= 2 * build.PLAN.machines_a_pool
    assert len(result.waits_s) == BURST_JOBS
    assert not result.breaches and not result.unfinished
