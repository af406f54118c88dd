"""Cancels that the leader is told of before it has received the job.

The leader kept the ids of such cancels for as long as it led. Its memory grew
with each cancel of a job that it had forgotten, and a later job of such an id
was shown as cancelled though nobody had cancelled it.
"""

import curio

from emulator import day
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.leading import intake as leading_intake
from tests import utils_jobs as build
from tests import utils_servers as servers

JOB = build.JOB


def _run(main):
    async def play(world):
        process = await servers.start(world)
        await curio.sleep(2.0)
        return await main(world, process, process.state.leader)

    return servers.run(play, day.configuration(('drafts',)))


async def _tell(world, process, job=JOB):
    status, _body = await servers.call(
        world, process, 'POST', f'/cancelled/{job}'
    )
    assert status == 200


async def _state_after(world, process, leader, pause_s):
    await _tell(world, process)
    await curio.sleep(pause_s)
    await leading_intake.add_jobs(leader, [build.job()])
    return leader.ledger.entries[JOB].state


def test_job_that_comes_right_after_its_cancel_is_cancelled():
    """The leader may be told of a cancel before its watch has the job."""

    async def main(world, process, leader):
        return await _state_after(world, process, leader, 1.0)

    assert _run(main) is model.State.CANCELLED


def test_job_that_comes_long_after_a_cancel_of_its_id_is_not_cancelled():
    """The cancel was one of an earlier job, which is forgotten."""

    async def main(world, process, leader):
        pause_s = 2 * leading_intake.EARLY_CANCEL_RETENTION_S
        return await _state_after(world, process, leader, pause_s)

    assert _run(main) is not model.State.CANCELLED


def test_cancels_of_unknown_jobs_are_not_kept_for_good():
    """Each one takes memory of the leader."""

    async def main(world, process, leader):
        for number in range(100):
            await _tell(world, process, ids.JobId(f'{number:016x}'))
        kept = len(leader.early_cancels)
        await curio.sleep(2 * leading_intake.EARLY_CANCEL_RETENTION_S)
        await _tell(world, process)
        return kept, list(leader.early_cancels)

    assert _run(main) == (100, [JOB])
