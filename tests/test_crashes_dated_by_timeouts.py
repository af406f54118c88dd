"""A worker whose calls time out may have gone together with others.

Guards against failing an innocent job (seed 640040 of `test_open_findings`).
Three executors restart at once. Some connections are reset; of the other
workers only a call's timeout or the next incarnation tells, later. The crash
of the task that was tried on one of the three was judged by the workers that
were known to be down by then, and so counted as an isolated one.
"""

import dataclasses

import curio
import pytest

from tests import utils_leading
from tests import utils_restarts as restarts
from tests import utils_takeover as build

MACHINES = 12
"""Two executors that fail are no unrest among so many."""

LONG_MS = 20_000

BESIDE_AGES_S = (0.3, 0.6)
"""Ages at which the first two runs end, beside others."""

TRIED_AGES_S = (0.8, 0.2)
"""Ages at which the next two runs end, where the task is tried alone."""


@pytest.mark.parametrize(
    'others_reset',
    [(True, True), (True, False), (False, False)],
    ids=['both-reset', 'one-reset', 'none-reset'],
)
@pytest.mark.parametrize(
    'tried_resets', [True, False], ids=['tried-reset', 'tried-silent']
)
def test_innocent_job_is_not_failed_by_three_restarts_at_once(
    monkeypatch, tried_resets, others_reset
):
    """Two workers go with the one on which its task is tried.

    Order of events: two workers go alone under the task, at 0.3 and 0.6 s;
    the one on which it is tried goes after 0.8 s, with two others; the next
    one on which it is tried goes alone after 0.2 s.
    """
    events = utils_leading.record_events(monkeypatch)

    async def scenario(scene):
        leader = build.leader(scene)
        # Busy workers report often, so that a silent one is noticed soon.
        spread = build.step(MACHINES, 2000, LONG_MS) | {'max_per_server': 1}
        await build.submit_job(scene, leader, spread)
        await curio.sleep(2.0)
        await build.submit_job(scene, leader, build.step(1, 2000, LONG_MS))
        job = f'{scene.jobs:016x}'
        used = set()
        for age_s in BESIDE_AGES_S:
            used.add(await restarts.restart_under(scene, job, age_s))
        await build.wait_until(lambda: restarts.runs_at(scene, job), 0.002)
        used.update(restarts.runs_at(scene, job))
        others = [
            address
            for address in restarts.executor_addresses(scene)
            if address not in used
        ]
        beside = list(zip(others[:2], others_reset, strict=True))
        await restarts.restart_under(
            scene, job, TRIED_AGES_S[0], tried_resets, beside
        )
        await restarts.restart_under(scene, job, TRIED_AGES_S[1])

    plan = dataclasses.replace(restarts.PLAN, machines_a_pool=MACHINES)
    result = build.play(scenario, plan)
    assert not result.breaches
    attributed = [
        fields['blamed']
        for _part, event, fields in events
        if event == 'crash-attributed'
    ]
    task = f'{2:016x}.0.0.0'
    assert sum(task in blamed for blamed in attributed) == 4
