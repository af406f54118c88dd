"""Fault tests of applies: racing operators, killed admins, lost answers."""

import curio
import pytest

from demo import daemons
from demo import deployments
from demo import evidence
from demo import marker
from demo import processes
from tests import utils_processes as build

ADMIN = daemons.Kind.ADMIN
OK = 0
CONFLICT = 3
NOT_RUN = 4
MAY_HAVE_RUN = 5

STEPS = {
    'record': 'PUT /v1/keys/config/history',
    'part': 'PUT /v1/keys/config/parts',
    'head': 'PUT /v1/keys/config/head',
}


async def _accepted(stage):
    """Give the accepted markers by revision."""
    found = marker.accepted(await build.writes(stage.scene))
    return {revision: number for number, revision in found.items()}


async def _apply(stage, *words):
    """Apply the next marker; give its number and the answer."""
    text = stage.deployment.file.read_text()
    markers = stage.scene.markers
    marked = marker.mark(text, stage.deployment.whole, markers)
    number = markers.newest
    file = stage.run.directory / f'race-{number}.toml'
    file.write_text(marked)
    answer = await daemons.ctl(stage.deployment, 'apply', str(file), *words)
    return number, answer


async def _known(stage, number):
    """Wait until all entries follow a marker."""

    async def known():
        for vm in stage.deployment.vms:
            seen = await marker.look(stage.scene.markers, vm.name, vm.listen)
            if seen is None or seen.number != number:
                return False
        return True

    await build.until(known, f'marker {number} in force everywhere')


def test_of_two_operators_one_wins_and_the_other_is_told(stage):
    async def main():
        base = str(max(await _accepted(stage), default=1))
        async with curio.TaskGroup(wait=all) as group:
            for _ in range(2):
                await group.spawn(_apply, stage, '--base', base)
        ended = {a.status: (n, a) for n, a in group.results}
        if OK in ended:
            await _known(stage, ended[OK][0])
        return ended, await _accepted(stage), await build.breaches(stage.scene)

    ended, accepted, breaches = stage.kernel.run(main)
    assert breaches == []
    assert set(ended) == {OK, CONFLICT}, ended
    winner, answer = ended[OK]
    revision = answer.json()['revision']
    assert accepted[revision] == winner
    assert ended[CONFLICT][0] not in accepted.values()
    assert str(revision) in ended[CONFLICT][1].output


def test_lost_answers_of_the_store_change_nothing(stage):
    async def main():
        store = stage.deployment.store
        before = await _accepted(stage)
        await deployments.set_faults(store, lose_answer=0.4, seed=5)
        number, answer = await _apply(stage)
        await deployments.set_faults(store)
        return before, number, answer, await _accepted(stage)

    before, number, answer, after = stage.kernel.run(main)
    new = {r: n for r, n in after.items() if r not in before}
    if answer.status == OK:
        assert new == {answer.json()['revision']: number}
    else:
        assert answer.status in (NOT_RUN, MAY_HAVE_RUN), answer
        assert answer.status == MAY_HAVE_RUN or new == {}


@pytest.mark.slow
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('effect', [False, True], ids=['before', 'after'])
def test_admin_killed_at_each_step_of_an_apply(stage, step, effect):
    async def main():
        store = stage.deployment.store
        fault = {'reorder_s': 30.0} if effect else {'hang': True}
        await deployments.set_faults(store, only=STEPS[step], **fault)
        applying = await curio.spawn(_apply, stage)
        await curio.sleep(2.0)
        admin = build.child(stage, 0, ADMIN)
        processes.kill(admin)
        await deployments.set_faults(store)
        number, answer = await applying.join()
        processes.restart(admin)
        await build.settle(stage)
        accepted = await _accepted(stage)
        again, second = await _apply(stage)
        assert second.status == OK, second
        await _known(stage, again)
        found = await build.breaches(stage.scene)
        return number, answer, accepted, found

    number, answer, accepted, breaches = stage.kernel.run(main)
    assert breaches == []
    if answer.status == OK:
        assert number in accepted.values()
    elif number in accepted.values():
        assert answer.status == MAY_HAVE_RUN
    else:
        assert answer.status in (NOT_RUN, MAY_HAVE_RUN), answer


@pytest.mark.slow
def test_apply_while_an_entry_is_paused_is_in_force_when_it_wakes(stage):
    async def main():
        child = build.child(stage, 1)
        async with build.load(stage.scene) as attempts:
            processes.pause(child)
            applying = await curio.spawn(_apply, stage)
            await curio.sleep(9.0)
            processes.resume(child)
            number, answer = await applying.join()
            if answer.status == OK:
                await _known(stage, number)
            await build.settle(stage)
        writes = await build.writes(stage.scene)
        heads = [w for w in writes if w.key == evidence.HEAD_KEY]
        return answer, heads, attempts, await build.breaches(stage.scene)

    answer, heads, attempts, breaches = stage.kernel.run(main)
    assert breaches == []
    assert answer.status in (OK, NOT_RUN), answer
    assert build.outcomes(attempts)['answered'] > 20
