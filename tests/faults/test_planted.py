"""Each mechanism taken away must be noticed by the proofs."""

import curio
import pytest

from demo import daemons
from demo import deployments
from demo import processes
from tests.faults import test_operators
from tests import utils_processes as build

ENTRY = daemons.Kind.ENTRY
CONTROLLER = daemons.Kind.CONTROLLER
ADMIN = daemons.Kind.ADMIN
LONG_WORK_MS = 1500
"""Longer than the time for which a stopping entry is not ready yet."""


async def _answers_lost(stage):
    upstreams = stage.deployment.upstreams
    async with build.load(stage.scene):
        await deployments.set_faults(upstreams, lose_answer=0.5)
        await curio.sleep(3.0)
        await deployments.set_faults(upstreams)


async def _wave(stage):
    """Go through a wave under load, as far as it comes."""
    async with build.load(stage.scene, 8, work_ms=300):
        await daemons.start_wave(stage.deployment, build.WAVE)
        await curio.sleep(15.0)


async def _serve(stage):
    async with build.load(stage.scene):
        await curio.sleep(1.0)


async def _apply_in_vain(stage):
    """Apply while an entry can't be asked, so that nothing is accepted."""
    child = build.child(stage, 1)
    processes.pause(child)
    async with build.load(stage.scene):
        await test_operators._apply(stage)
    processes.resume(child)


async def _race(stage):
    """Let both be acknowledged before either is accepted."""
    await deployments.set_faults(
        stage.deployment.store, only='PUT /v1/keys/config/head', delay_s=1.0
    )
    async with curio.TaskGroup(wait=all) as group:
        for _ in range(2):
            await group.spawn(test_operators._apply, stage, '--base', '1')


async def _unnoticed_stop(stage):
    """Stop an entry under load; tell of what its callers lost."""
    async with build.load(stage.scene, work_ms=LONG_WORK_MS) as attempts:
        await curio.sleep(0.5)
        await processes.stop(build.child(stage, 0))
        await curio.sleep(0.5)
    lost = [a for a in attempts if a.verdict == 'may-have-run']
    assert lost, 'no request was cut'


PROOFS = [
    (ENTRY, 'deaf', _wave, ('ORDERED', 'LEAVING')),
    (ENTRY, 'hides-work', _wave, ('PLANNED_STOP',)),
    (ENTRY, 'repeats-all', _answers_lost, ('AT_MOST_ONCE',)),
    (ENTRY, 'denies-runs', _answers_lost, ('NOT_RUN',)),
    (ENTRY, 'mixes-answers', _serve, ('OWN_ANSWER',)),
    (ENTRY, 'mute', _answers_lost, ('ACCOUNTED',)),
    (ENTRY, 'applies-staged', _apply_in_vain, ('EARLY', 'REVERTED')),
    (CONTROLLER, 'waits-for-none', _wave, ('PLANNED_STOP', 'ORDERED')),
    (CONTROLLER, 'promises-nothing', _wave, ('MIN_UP',)),
    (ADMIN, 'overwrites', _race, ('REVERTED',)),
]


@pytest.mark.slow
@pytest.mark.parametrize(
    ('kind', 'defect', 'scenario', 'rules'),
    PROOFS,
    ids=[proof[1] for proof in PROOFS],
)
def test_planted_defect_is_noticed(kind, defect, scenario, rules):
    async def main(stage):
        await scenario(stage)
        return await build.breaches(stage.scene)

    with build.small(planted={kind: defect}) as stage:
        breaches = stage.kernel.run(main, stage)
    found = {breach.partition(':')[0] for breach in breaches}
    assert found & set(rules), breaches


@pytest.mark.slow
def test_stop_that_cuts_is_noticed():
    with build.small(planted={ENTRY: 'stops-at-once'}) as stage:
        stage.kernel.run(_unnoticed_stop, stage)
