"""A crash that no leader notices still counts against its task.

A task crashes a worker, and its leader stores that together with the next
start. The leader is killed after that start, so nobody notices the second
crash. The next leader starts the task again, and a worker lists that run: this
must not drop the record of the second crash.
"""

import math

import curio
import pytest

from emulator import crashing
from emulator import evidence as evidences
from tests import utils_crashes
from tests import utils_leading
from tests import utils_takeover as build

CRASH_AFTER_S = 0.3
STORED_S = 0.2
"""Time after a start in which the crash before it is stored, in seconds."""

SETTLED_S = 1.5
"""Age, in seconds, at which a run no longer keeps suspected runs away."""

LONG_MS = 20_000


def _starts(scene, job: str) -> int:
    sights = scene.callers.world.evidence.sights
    started = evidences.Kind.STARTED
    return sum(row.kind is started and row.job == job for row in sights)


@pytest.mark.parametrize('gang', [False, True])
def test_crash_unnoticed_by_any_leader_counts(monkeypatch, gang):
    events = utils_leading.record_events(monkeypatch)

    async def scenario(scene):
        earlier = build.leader(scene)
        # Workers without runs report too rarely to list one before it crashes.
        beside = build.step(3, 2000, LONG_MS) | {'max_per_server': 1}
        await build.submit_job(scene, earlier, beside)
        await curio.sleep(SETTLED_S)
        how = crashing.crash(CRASH_AFTER_S)
        step = utils_crashes.crashing_step(how, 1, estimate_ms=LONG_MS)
        await build.submit_job(scene, earlier, step | {'gang': gang})
        await build.wait_until(
            lambda: _starts(scene, f'{scene.jobs:016x}') == 2
        )
        await curio.sleep(STORED_S)
        await build.restart_leader(scene)
        # Busy workers report every 150 ms while calls are being lost.
        build.leader(scene).state.leader.lossy_until_s = math.inf

    result = build.play(scenario)
    assert not result.breaches and not result.unfinished
    crashes = utils_crashes.count(result, evidences.Kind.CRASHED)
    causes = [
        fields['why']
        for _part, event, fields in events
        if event == 'ended' and fields.get('state') == 'failed'
    ]
    assert crashes > 2
    assert [cause.split()[2] for cause in causes] == [str(crashes)]


@pytest.mark.parametrize('gang', [False, True])
def test_leaders_killed_at_two_starts_cost_no_start_too_many(gang):
    """Two leaders in a row take a crash along: three starts after three.

    Order of events: the first crash is noted; its leader makes the second
    start before that is stored, and is killed at once; the next leader knows
    of no crash, makes the third start and is killed at once.
    """

    async def scenario(scene):
        step = utils_crashes.crashing_step(crashing.crash(CRASH_AFTER_S), 1)
        await build.submit_job(
            scene, build.leader(scene), step | {'gang': gang}
        )
        job = f'{scene.jobs:016x}'
        for starts in (2, 3):
            await build.wait_until(
                lambda count=starts: _starts(scene, job) >= count
            )
            await build.restart_leader(scene)

    result = build.play(scenario)
    assert not result.breaches and not result.unfinished
    assert utils_crashes.count(result, evidences.Kind.CRASHED) > 2
