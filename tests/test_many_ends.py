"""An end that a worker hasn't listed yet must not pass for a run that is gone.

What users would see: tasks that have ended done are started again. Order of
events: a wide job of short tasks runs on one worker; the store is away, so no
end can be written and none is acknowledged. A worker lists 500 ends at a time,
the oldest first, and lists the next ones only once those are acknowledged.
The run of a task whose end is the 501st stands neither among what runs nor
among the ends listed. The leader takes it for absent, has it stopped, which
changes nothing, takes the next report without it for the proof that it is
over, and starts the task anew.

Cause: absence from a list that isn't whole taken for proof. The same holds
for a new leader: a worker counts as heard with its first report, whole or not.
"""

import curio

from emulator import evidence as evidences
from tests import utils_takeover as build

AWAY_S = 8.0

WIDE = {'count': 700, 'cpu': 20, 'mem_mb': 50, 'estimate_ms': 1000}
"""All of it fits one worker."""


def _started_after_done(result):
    """Give the tasks started after a run was done whose end was noted.

    Whether it was noted by then or later makes no difference.
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
    async def story(scene):
        leader = build.leader(scene)
        await build.hand_in(scene, leader, WIDE)
        await curio.sleep(0.1)
        scene.store.down = 'busy'
        await curio.sleep(AWAY_S)
        scene.store.down = ''

    result = build.play(story)
    assert result.accepted == 1
    assert not result.breaches
    assert not _started_after_done(result)


def test_next_leader_starts_nothing_whose_end_is_not_listed_yet():
    async def story(scene):
        leader = build.leader(scene)
        other = next(row for row in scene.processes if row is not leader)
        await build.hand_in(scene, other, WIDE)
        # Just before the first ends come.
        await curio.sleep(0.7)
        scene.store.down = 'busy'
        await curio.sleep(1.0)
        await build.kill(scene, leader)
        await curio.sleep(1.0)
        scene.store.down = ''

    result = build.play(story)
    assert result.accepted == 1
    assert not result.breaches
    assert not _started_after_done(result)
