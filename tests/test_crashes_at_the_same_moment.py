"""Many tasks that crash their workers at once are given up in time.

Each crash was taken for one of a common cause, as other tasks crashed workers
at the same moment: its age and its isolation counted for nothing, and tasks
were started again and again. Tasks were also cleared of crashes that another
one explained while they were on trial, and changes of leader lost crashes.
"""

import dataclasses

import curio
import pytest

from emulator import crashing
from emulator import evidence as evidences
from emulator import servers
from tests import utils_crashes
from tests import utils_takeover as build

LONG_MS = 20_000
POLL_S = 0.002
MAX_POLLS = 1500
RESTART_S = 2.0
"""Time after which a killed server runs again, in seconds."""


async def _wait_until(is_reached) -> None:
    for _ in range(MAX_POLLS):
        if is_reached():
            return
        await curio.sleep(POLL_S)
    raise AssertionError('not reached in time')


def _is_led(scene) -> bool:
    return any(servers.leads(row) for row in scene.processes)


async def _kill_leader_at_next_crash(scene) -> None:
    before = utils_crashes.crashes(scene)
    await _wait_until(
        lambda: utils_crashes.crashes(scene) > before and _is_led(scene)
    )
    killed = build.leader(scene)
    await build.kill(scene, killed)
    await curio.sleep(RESTART_S)
    await servers.start(scene.network, killed)
    await _wait_until(lambda: _is_led(scene))


@pytest.mark.parametrize(
    ('jobs', 'machines', 'after_s', 'leaders_killed'),
    [
        (6, 10, 0.005, 0),
        (12, 20, 0.005, 1),
        (12, 10, 0.012, 1),
        (12, 20, 0.05, 2),
        (6, 20, 0.4, 1),
        (12, 20, 0.4, 0),
        (12, 20, 0.4, 2),
    ],
)
def test_tasks_that_crash_at_the_same_moment_are_not_started_too_often(
    jobs, machines, after_s, leaders_killed
):
    async def scenario(scene):
        how = crashing.crash(after_s)
        step = utils_crashes.crashing_step(how, 1, estimate_ms=LONG_MS)
        for _ in range(jobs):
            await build.submit_job(scene, build.leader(scene), step)
        for _ in range(leaders_killed):
            await _kill_leader_at_next_crash(scene)
        await curio.sleep(utils_crashes.SETTLE_S)

    plan = dataclasses.replace(build.PLAN, machines_a_pool=machines)
    result = build.play(scenario, plan)
    assert not result.breaches and not result.unfinished
    assert utils_crashes.count(result, evidences.Kind.CRASHED)
