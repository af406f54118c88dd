"""A run whose end is not listed yet must not be taken for lost.

Guards against tasks that are done and start again. A wide job of short tasks
runs on one worker while the store is unavailable, so that no end is written or
acknowledged. A worker lists 500 ends at a time, the oldest first, and the next
ones only once those are acknowledged. A run whose end is the 501st is listed
neither as running nor as ended. The leader orders it stopped, which changes
nothing, takes the next report without it for proof that it is over, and starts
the task again.

An incomplete list proves no absence. This holds for a new leader as well: a
worker's first report may be incomplete.
"""

import curio

from emulator import evidence as evidences
from tests import utils_takeover as build

AWAY_S = 8.0

WIDE = {'count': 700, 'cpu': 20, 'mem_mb': 50, 'estimate_ms': 1000}
"""A step all of whose tasks fit on one worker."""


def _started_after_done(result):
    """Return the tasks started after a run was done whose end was recorded.

    It does not matter whether the end was recorded before or after the start.
    """
    sights = result.evidence.sights
    noted = {
        (sight.task, sight.attempt)
        for sight in sights
        if sight.kind is evidences.Kind.NOTED and sight.how == 'done'
    }
    done = set()
    again = []
    for sight in sights:
        if sight.kind is evidences.Kind.ENDED and sight.how == 'done':
            if (sight.task, sight.attempt) in noted:
                done.add(sight.task)
        elif sight.kind is evidences.Kind.STARTED and sight.task in done:
            again.append((round(sight.at_s, 2), sight.task))
    return again


def test_task_whose_end_is_not_listed_yet_is_not_started_again():
    async def scenario(scene):
        leader = build.leader(scene)
        await build.submit_job(scene, leader, WIDE)
        await curio.sleep(0.1)
        scene.store.down = 'busy'
        await curio.sleep(AWAY_S)
        scene.store.down = ''

    result = build.play(scenario)
    assert result.accepted == 1
    assert not result.breaches
    assert not _started_after_done(result)


def test_next_leader_starts_nothing_whose_end_is_not_listed_yet():
    async def scenario(scene):
        leader = build.leader(scene)
        other = next(row for row in scene.processes if row is not leader)
        await build.submit_job(scene, other, WIDE)
        # Just before the first runs end.
        await curio.sleep(0.7)
        scene.store.down = 'busy'
        await curio.sleep(1.0)
        await build.kill(scene, leader)
        await curio.sleep(1.0)
        scene.store.down = ''

    result = build.play(scenario)
    assert result.accepted == 1
    assert not result.breaches
    assert not _started_after_done(result)
