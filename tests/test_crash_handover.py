"""Crashes that a leader couldn't store reach the next leader.

A leader that the store refuses sees tasks crash their workers and can't store
that. Each next leader began from none, so that a task which crashes its
workers was started ten times.
"""

import dataclasses
import types

import curio
import pytest

from emulator import evidence as evidences
from oleanderwood.jobs import crashes
from oleanderwood.jobs import isolation
from oleanderwood.leading import crash_handover
from tests import utils_crashes
from tests import utils_jobs
from tests import utils_takeover as build

POLL_S = 0.002
REFUSED_S = 2.0
"""Time for which the store refuses a leader, in seconds; a lease is
shorter."""


async def _refuse_leader(scene) -> None:
    """Let the store refuse the leader until another server leads."""
    await build.wait_until(lambda: build.is_led(scene), POLL_S)
    refused = build.leader(scene).name
    scene.store.refused.add(refused)
    await curio.sleep(REFUSED_S)
    scene.store.refused.discard(refused)


@pytest.mark.parametrize(
    ('jobs', 'after_s', 'refusals', 'pause_s'),
    [(1, 0.4, 2, 0.3), (1, 0.4, 3, 0.02), (6, 0.005, 3, 0.3)],
)
def test_leaders_refused_by_the_store_cost_no_start_too_many(
    jobs, after_s, refusals, pause_s
):
    async def scenario(scene):
        await utils_crashes.submit(scene, jobs, after_s)
        for _ in range(refusals):
            await curio.sleep(pause_s)
            await _refuse_leader(scene)
        await curio.sleep(utils_crashes.SETTLE_S)

    plan = dataclasses.replace(build.PLAN, machines_a_pool=10)
    result = build.play(scenario, plan)
    assert not result.breaches and not result.unfinished
    assert utils_crashes.count(result, evidences.Kind.CRASHED)


def _ledger_with_crash(attempt, term=1):
    ledger = utils_jobs.ledger_with(utils_jobs.job(), term=term)
    task = utils_jobs.task(ledger)
    crash = crashes.Crash(attempt, 400)
    isolation.record_crash(ledger, task, crash, 1.0)
    return ledger, task


def test_only_crashes_that_the_store_lacks_are_handed_over():
    ledger, task = _ledger_with_crash(1)
    found = crash_handover.unstored(ledger)
    assert found == {task.name: [crashes.Crash(1, 400)]}
    entry = task.group.entry
    entry.stored_crash_revision = entry.crash_revision
    assert not crash_handover.unstored(ledger)


def test_crash_of_a_run_that_goes_on_is_not_adopted():
    async def scenario():
        ledger, task = _ledger_with_crash(1, term=2)
        utils_jobs.start(ledger, task, utils_jobs.worker(), 1.0)
        task.run.attempt = 2
        signal = types.SimpleNamespace(set=_ignore)
        leader = types.SimpleNamespace(
            ledger=ledger, progress_changed=signal, placement_due=signal
        )
        rows = [crashes.Crash(number, 500) for number in (1, 2, 3)]
        handed = {task.name: rows, 'unknown.0.0.0': rows}
        await crash_handover.adopt(leader, 1, handed)
        return task

    task = curio.run(scenario)
    assert task.crashes[1].age_ms == 400
    assert set(task.crashes) == {1, 3}


async def _ignore() -> None:
    pass
