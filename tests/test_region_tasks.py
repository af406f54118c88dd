"""Tests of region_tasks: jobs run once, through waves and dead leaders."""

import curio
import pytest

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import task_store
from oleanderwood import wave_state
from tests import utils_controller as utils
from tests import utils_store

TASKS = 3


def _configure(made, tasks=TASKS, revision=1):
    job = configuration.Job(name='j', pool='p', team='t', tasks=max(1, tasks))
    utils.configure(
        made,
        [utils.pool()],
        revision=revision,
        teams=(configuration.Team(name='t'),),
        jobs=(job,) if tasks else (),
    )


def _all_run(made):
    return lambda: len(utils.running(made)) == TASKS


def test_jobs_tasks_start_and_are_stopped_when_the_job_goes():
    async def main():
        made = utils.world()
        _configure(made)
        await utils.run_until(made, _all_run(made))
        assert set(utils.running(made).values()) <= made.vms.keys()
        _configure(made, tasks=0, revision=2)
        await utils.run_until(made, lambda: not utils.running(made))
        assert made.harm == []

    curio.run(main)


def test_tasks_run_again_after_a_wave_and_never_twice():
    async def main():
        made = utils.world()
        _configure(made)
        await utils.run_until(made, _all_run(made))
        utils.order_wave(made)
        done = wave_state.State.DONE
        await utils.run_until(made, lambda: utils.wave(made).state is done)
        await utils.run_until(made, _all_run(made))
        assert made.harm == []

    curio.run(main)


@pytest.mark.parametrize('before', (False, True))
def test_leader_that_dies_while_starting_tasks_is_followed(before):
    async def main():
        calls = 1
        number = 0
        while number < calls:
            number += 1
            made = utils.world()
            _configure(made)
            made.crash_at = number
            made.crash_before = before
            await utils.run_until(made, _all_run(made))
            calls = made.calls
            assert made.harm == [], number

    curio.run(main)


def test_earlier_leader_can_not_write_tasks():
    async def main():
        kept = utils_store.connect(utils_store.FakeStore())
        region = ids.Region('r')
        new_id = iter('abcdefghijklmnopqrstuvwxyz' * 9).__next__
        assert not await task_store.exist(kept, region)
        earlier, _ = await task_store.fence(kept, region, new_id)
        later, rows = await task_store.fence(kept, region, new_id)
        assert rows == [] and later.term == earlier.term + 1
        with pytest.raises(errors.StoreConflict):
            await task_store.write(kept, earlier, 0, (), new_id)
        await task_store.write(kept, later, 0, (), new_id)

    curio.run(main)
