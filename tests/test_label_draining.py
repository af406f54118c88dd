"""A job waits for a label that only machines with long-running tasks have.

What callers see: the job is accepted and stays open for good, though another
pool has more machines than it needs. Order of events: long-running tasks of
the other pool start on all its machines with the label; a step that requires
the label comes. The machines are never idle, so none of them moves.
"""

import dataclasses

import curio
import pytest

from emulator import callers as callers_
from emulator import day
from emulator import features
from oleanderwood.capacity import draining
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.leading import label_draining
from tests import utils_advice
from tests import utils_jobs
from tests import utils_takeover as build

NOW_S = 100.0
OTHER = ids.ServiceId('finals')
LONG_RUNNING_JOB = 10
"""Advice names m3 and m4 for it, of the machines of its pool."""

LABELLED_JOB = 3
"""Advice names m3 for it, of the machines with its label."""


def _worker(name):
    return utils_jobs.worker(f'w-{name}')


def _start_long_running(*workers, serving_s=NOW_S - 9.0):
    """Start a long-running task on each worker; one may be away at a time."""
    step = utils_jobs.step(
        len(workers), is_long_running=True, max_unavailable=1
    )
    ledger = utils_jobs.ledger_with(utils_jobs.job(step))
    for index, worker in enumerate(workers):
        task = utils_jobs.task(ledger, 0, index)
        utils_jobs.start(ledger, task, worker).serving_since_s = serving_s


def _start_batch(worker, guess_ms):
    step = utils_jobs.step(guess_ms=guess_ms)
    job = utils_jobs.job(step, name='batch')
    ledger = utils_jobs.ledger_with(job)
    task = utils_jobs.task(ledger, name='batch')
    utils_jobs.start(ledger, task, worker, NOW_S - 0.1)


def _decide(
    workers,
    needed=0,
    moves=(),
    to_drain=(),
    lacking=(),
    has_room=True,
    unsuitable=(),
    **view,
):
    """Return rows of machine and relocated tasks.

    :param workers: by label, of the other pool
    :param lacking: members of the pool that lacks the label a
    :param unsuitable: machines that can't run the step which lacks it
    """
    pools = [
        rebalancing.PoolView(
            utils_jobs.POOL,
            list(lacking),
            lacks_labels={'a'},
            unsuitable={'a': frozenset(unsuitable)},
        ),
        rebalancing.PoolView(
            OTHER,
            [
                rebalancing.Member(
                    worker.entry.worker, 8.0, worker, labels=tuple(label)
                )
                for label, worker in workers
            ],
            **view,
        ),
    ]
    needs = {
        OTHER: rebalancing.Need(needed, needed, needed),
        utils_jobs.POOL: rebalancing.Need(0, 0, 0),
    }
    decision = rebalancing.Decision(list(moves), needs, list(to_drain))
    rows = label_draining.decide(pools, decision, lambda task: has_room, NOW_S)
    return [(row.machine, len(row.relocates)) for row in rows]


def _two_machines():
    """Build two machines with the label and a task of the same step each."""
    workers = [('a', _worker('m1')), ('a', _worker('m2'))]
    _start_long_running(workers[0][1], workers[1][1])
    return workers


def test_one_machine_is_drained_one_task_at_a_time():
    labelled, other = _worker('m1'), _worker('m2')
    _start_long_running(labelled, labelled, other)
    assert _decide([('a', labelled), ('b', other)]) == [('w-m1', 1)]


def test_machine_that_the_advice_refused_is_not_drained():
    """Its tasks were relocated, and it left, for a step that can't use it."""
    assert _decide(_two_machines(), unsuitable=['w-m1']) == [('w-m2', 1)]


def test_task_stays_while_too_many_of_its_step_are_away():
    labelled, other = _worker('m1'), _worker('m2')
    _start_long_running(labelled, other, serving_s=NOW_S)
    assert _decide([('a', labelled), ('b', other)]) == [('w-m1', 0)]


def _decide_for_two_pools(needed):
    """Let two pools lack labels that both machines of a third one have.

    :param needed: machines that the third pool needs
    """
    members = [
        rebalancing.Member(worker.entry.worker, 8.0, worker, labels=('a', 'b'))
        for _label, worker in _two_machines()
    ]
    pools = [
        rebalancing.PoolView(utils_jobs.POOL, [], lacks_labels={'a', 'b'}),
        rebalancing.PoolView(ids.ServiceId('reviews'), [], lacks_labels={'a'}),
        rebalancing.PoolView(OTHER, members),
    ]
    needs = {
        pool.service: rebalancing.Need(needed, needed, needed)
        for pool in pools
    }
    decision = rebalancing.Decision([], needs)
    rows = label_draining.decide(pools, decision, lambda task: True, NOW_S)
    return [(row.machine, len(row.relocates)) for row in rows]


def test_machines_drained_together_share_the_budget_of_a_step():
    """Two pools that lack the label each had a task of one step stopped."""
    assert _decide_for_two_pools(needed=0) == [('w-m1', 1), ('w-m2', 0)]


def test_two_pools_that_lack_a_label_share_what_may_leave():
    """Each got the one machine that the third could spare."""
    assert _decide_for_two_pools(needed=1) == [('w-m1', 1)]


def test_machine_whose_draining_has_begun_is_drained_on():
    workers = _two_machines()
    workers[1][1].is_reclaimed = True
    assert _decide(workers) == [('w-m2', 1)]


def test_machine_stays_whose_tasks_have_no_other_place():
    assert not _decide(_two_machines(), has_room=False)


def test_pool_keeps_the_machines_that_it_needs():
    assert _decide(_two_machines(), needed=1)
    assert not _decide(_two_machines(), needed=2)


def test_pool_keeps_its_minimum():
    assert not _decide(_two_machines(), min_up=2)


def test_machines_that_leave_anyway_count():
    workers = _two_machines()
    move = rebalancing.Move('w-m2', OTHER, utils_jobs.POOL, 'needed')
    drained = draining.MachineToDrain('w-m2', [])
    assert not _decide(workers, needed=1, moves=[move])
    assert not _decide(workers, needed=1, to_drain=[drained])


def test_machine_on_its_way_is_waited_for():
    workers = _two_machines()
    move = rebalancing.Move('m9', OTHER, utils_jobs.POOL, 'labelled')
    incoming = rebalancing.Member('m9', 8.0, None, labels=('a',))
    assert not _decide(workers, moves=[move])
    assert not _decide(workers, lacking=[incoming])


def test_pool_that_lacks_the_label_itself_gives_none():
    assert not _decide(_two_machines(), lacks_labels={'a'})


def test_pool_keeps_machines_with_another_label_that_it_lacks():
    """Such a machine would not move once it is empty."""
    both = [(('a', 'b'), worker) for _label, worker in _two_machines()]
    assert _decide(both)
    assert not _decide(both, lacks_labels={'b'})


def test_machine_with_long_batch_tasks_is_left_alone():
    workers = _two_machines()
    _start_batch(workers[0][1], 60_000.0)
    assert _decide(workers) == [('w-m2', 1)]


def test_machine_is_drained_beside_short_batch_tasks():
    workers = _two_machines()[:1]
    _start_batch(workers[0][1], 500.0)
    assert _decide(workers) == [('w-m1', 1)]


PLAN = dataclasses.replace(
    build.TWO_POOLS, machines_a_pool=2, tells_births=True
)
"""Machines m1 and m2 in the first pool, m3 and m4 in the second; m3 alone has
the label r0."""


@pytest.mark.parametrize(
    'wanted', [(), (features.Feature.LABELS, features.Feature.ADVICE)]
)
def test_job_ends_though_all_with_its_label_have_long_running_tasks(wanted):
    """They were never idle, so the job stayed open for good."""
    plan = dataclasses.replace(PLAN, features=wanted)

    async def story(scene):
        if wanted:
            await utils_advice.need_advice(scene, plan)
        machine = scene.fleet.machines['m3']
        callers = scene.callers
        callers_of_other = dataclasses.replace(
            callers, processes=[build.leader(scene)]
        )
        step = build.step(4, 1000, 700)
        step.update(long_running=True, may_miss=1)
        await curio.spawn(
            callers_.hand_in,
            callers_of_other,
            day.prefix(OTHER),
            f'{LONG_RUNNING_JOB:016x}',
            {'phases': [step]},
            daemon=True,
        )
        await curio.sleep(3.0)
        assert any(run.lasts for run in machine.executor.running.values())
        scene.jobs = LABELLED_JOB - 1
        labelled = {**build.step(2, 1000, 600), 'required_label': 'r0'}
        await build.submit_job(scene, build.leader(scene), labelled)

    result = build.play(story, plan)
    assert not result.unfinished and not result.breaches


@pytest.mark.parametrize('seed', [3, 6, 8])
def test_jobs_of_a_day_of_three_machines_a_pool_end(seed):
    """Drawn days without any trouble on which jobs stayed open."""
    wanted = (features.Feature.LABELS, features.Feature.ADVICE)
    plan = day.Plan(
        seed,
        machines_a_pool=3,
        machines_on_standby=0,
        jobs_per_s=2.0,
        features=wanted,
        finish_s=features.finish_s(wanted, day.FINISH_S),
    )
    result = day.play(plan)
    assert not result.unfinished and not result.breaches
