"""Many tasks that crash their workers at once are given up in time.

Each crash was taken for one of a common cause, as other tasks crashed workers
at the same moment: its age and its isolation counted for nothing, and tasks
were started again and again. Tasks were also cleared of crashes that another
one explained while they were on trial, and changes of leader lost crashes.
"""

import dataclasses

import curio
import pytest

from emulator import evidence as evidences
from tests import utils_crashes
from tests import utils_takeover as build

POLL_S = 0.002


async def _kill_leader_at_next_crash(scene) -> None:
    before = utils_crashes.crashes(scene)
    await build.wait_until(
        lambda: utils_crashes.crashes(scene) > before and build.is_led(scene),
        POLL_S,
    )
    await build.restart_leader(scene, POLL_S)


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
        await utils_crashes.submit(scene, jobs, after_s)
        for _ in range(leaders_killed):
            await _kill_leader_at_next_crash(scene)
        await curio.sleep(utils_crashes.SETTLE_S)

    plan = dataclasses.replace(build.PLAN, machines_a_pool=machines)
    result = build.play(scenario, plan)
    assert not result.breaches and not result.unfinished
    assert utils_crashes.count(result, evidences.Kind.CRASHED)
