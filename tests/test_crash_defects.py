"""Defects planted in what is made of crashes, which days must show."""

import curio
import pytest

from emulator import crashing
from emulator import day
from emulator import evidence as evidences
from emulator import features
from emulator import servers
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import record
from oleanderwood.pools import blame
from tests import utils_crashes
from tests import utils_takeover as build

HEARD_S = 0.4
"""Time after a crash in which its leader has heard of it and kept it."""

KILLS = 6
BACK_S = 3.0


def _takeovers():
    """Kill the leader after each crash, as soon as it may have heard."""

    async def story(scene):
        step = utils_crashes.crashing_step(crashing.crash(0.3))
        await build.submit_job(scene, build.leader(scene), step)
        for number in range(1, KILLS + 1):
            while utils_crashes.crashes(scene) < number:
                await curio.sleep(0.02)
                if not _is_open(scene):
                    return
            await curio.sleep(HEARD_S)
            former = build.leader(scene)
            await build.kill(scene, former)
            await curio.sleep(BACK_S)
            await servers.start(scene.network, former)

    return build.play(story)


def _is_open(scene) -> bool:
    return not scene.callers.finished_s


def _crashing_days():
    """Play days on which some jobs crash workers; gives what broke."""
    wanted = (features.Feature.CRASHES,)
    for seed in range(1000, 1006):
        yield day.play(day.Plan(seed, features=wanted))


def _restores_nothing(patch):
    real = record._restore_group

    def restore(ledger, group, row, now_s):
        forgetful = record.GroupProgress(
            row.occurrence, row.step, row.done, row.failed, row.checkpoints
        )
        real(ledger, group, forgetful, now_s)

    patch.setattr(record, '_restore_group', restore)


def _counts_twice(patch):
    real = isolation.record_crash

    def note(ledger, task, crash, now_s):
        again = crashes_.Crash(
            crash.attempt + 500, crash.age_ms, crash.doubt_ms, True
        )
        real(ledger, task, crash, now_s)
        real(ledger, task, again, now_s)

    patch.setattr(isolation, 'record_crash', note)


def _blames_bystanders(patch):
    real = blame.attribute

    def put_down(ledger, losses, common, now_s, **others):
        suspected = real(ledger, losses, common, now_s, **others)
        for row in losses:
            run = row.task.run
            crash = crashes_.Crash(run.attempt, 0, 0, True)
            isolation.record_crash(ledger, row.task, crash, now_s)
        return suspected

    patch.setattr(blame, 'attribute', put_down)


def _never_gives_up(patch):
    patch.setattr(crashes_, 'is_conclusive', lambda crashes: False)


def _shows(rule):
    def shows() -> bool:
        return any(
            line.startswith(rule)
            for result in _crashing_days()
            for line in result.breaches
        )

    return shows


def _shows_in_takeovers() -> bool:
    result = _takeovers()
    return any(line.startswith('BUDGET') for line in result.breaches)


DEFECTS = {
    'forgets crashes at a change of leader': (
        _restores_nothing,
        _shows_in_takeovers,
    ),
    'counts one crash twice': (_counts_twice, _shows('LOST')),
    'blames what was merely there': (_blames_bystanders, _shows('LOST')),
    'never gives up': (_never_gives_up, _shows('BUDGET')),
}


@pytest.mark.parametrize('name', DEFECTS)
def test_planted_defect_is_found(name):
    plant, shows = DEFECTS[name]
    with pytest.MonkeyPatch.context() as patch:
        plant(patch)
        assert shows()


def test_the_same_days_are_clean_without_defects():
    result = _takeovers()
    assert not result.breaches and not result.unfinished
    assert utils_crashes.count(result, evidences.Kind.CRASHED) >= 2
    for result in _crashing_days():
        assert not result.breaches and not result.unfinished
