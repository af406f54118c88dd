"""Tests of the limits of what tenants run in all pools together.

Guards against a tenant that runs more than its limit plus a tenth. The limits
of tenants were not read; quotas of teams covered only the processor time of
whole queues, and none of long-running tasks. It shows when the queues of a
tenant ask for five times their mean at the same time while the pools have
free capacity for all of it: without a limit, each test below starts all that
fits.
"""

import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.policy import model as policies
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import waiting_order
from oleanderwood.tenants import model as tenants_
from tests import utils_jobs as build

FIRST, SECOND = ids.TenantId('first'), ids.TenantId('second')
JOBS = [ids.JobId(str(number) * 16) for number in range(1, 6)]
KNOWN = {'q': build.queue()}


def _job(name, *steps, tenant=FIRST) -> model.Job:
    job = build.job(*steps, name=name)
    return msgspec.structs.replace(job, tenant=tenant)


def _limit(cores=0, memory_mb=0, gpus=0):
    return tenants_.Limit(cores * 1000, memory_mb, gpus)


def _decide(ledger, pool, limits, workers=None, unseen=None, teams=()):
    ready = waiting_order.ready_by_pool(
        ledger, KNOWN, lengths.Lengths(), 0.0, 1.0
    )
    quotas = quotas_.make(
        policies.Policy(teams=teams),
        workers or pool,
        ledger,
        limits,
        unseen or quotas_.Unseen(),
    )
    return placing.decide(ready.get(build.POOL, []), pool, 1.0, 100, quotas)


def _counts(decided):
    tenants = [row.task.group.entry.job.tenant for row in decided]
    return {tenant: tenants.count(tenant) for tenant in (FIRST, SECOND)}


@pytest.mark.parametrize(
    'limit',
    [_limit(3), _limit(memory_mb=300), _limit(gpus=3), _limit(9, 300, 99)],
)
def test_tenant_starts_no_more_than_its_limit_of_any_resource(limit):
    needs = model.Resources(1000, 100, 1)
    step = msgspec.structs.replace(build.step(8), needs=needs)
    ledger = build.ledger_with(
        _job(JOBS[0], step), _job(JOBS[1], step, tenant=SECOND)
    )
    capacity = model.Resources(64000, 64000, 64)
    pool = [build.worker(capacity=capacity)]
    decided = _decide(ledger, pool, {FIRST: limit, SECOND: _limit()})
    assert _counts(decided) == {FIRST: 3, SECOND: 8}


def test_task_that_needs_most_of_the_limit_does_not_starve():
    """It may exceed the limit while little runs, and nothing else starts."""
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(1)), _job(JOBS[1], build.step(2, cpu=2500))
    )
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0, 0, JOBS[0]), worker)
    assert len(_decide(ledger, [worker], {FIRST: _limit(3)})) == 1


def test_nothing_goes_beyond_the_limit_while_starts_are_under_way():
    """A small start that arrives last would then exceed the limit."""
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(1)), _job(JOBS[1], build.step(2, cpu=2500))
    )
    decided = _decide(ledger, [build.worker()], {FIRST: _limit(3)})
    assert [row.task.group.entry.job.job for row in decided] == [JOBS[0]]


def test_no_order_of_arrival_takes_a_tenant_above_its_limit():
    """With random tasks, even if the smallest one arrives last."""
    rng = random.Random(1)
    for _ in range(300):
        steps = [
            build.step(rng.randint(1, 4), cpu=rng.randint(100, 4000))
            for _ in range(4)
        ]
        ledger = build.ledger_with(
            *(_job(job, step) for job, step in zip(JOBS, steps, strict=False))
        )
        cores = rng.randint(1, 8)
        decided = _decide(ledger, [build.worker()], {FIRST: _limit(cores)})
        cpu = [row.task.group.step.needs.cpu_millicores for row in decided]
        assert cpu and sum(cpu) - min(cpu) <= cores * 1000


def test_task_larger_than_the_limit_runs_alone():
    ledger = build.ledger_with(_job(JOBS[0], build.step(2, cpu=4000)))
    assert len(_decide(ledger, [build.worker()], {FIRST: _limit(1)})) == 1


KINDS = {
    'plain': {},
    'lasting': {'is_long_running': True},
    'leftover': {'uses_leftover': True},
    'copied': {'speculative': True},
}


@pytest.mark.parametrize('fields', KINDS.values(), ids=KINDS)
@pytest.mark.parametrize('pool', [build.POOL, ids.ServiceId('another')])
def test_whatever_a_tenant_has_running_anywhere_counts(fields, pool):
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(2, **fields)), _job(JOBS[1], build.step(6))
    )
    elsewhere = build.worker('w2', service=pool)
    for index in range(2):
        build.start(ledger, build.task(ledger, 0, index, JOBS[0]), elsewhere)
    pools = [build.worker()]
    decided = _decide(ledger, pools, {FIRST: _limit(3)}, [*pools, elsewhere])
    assert len(decided) == 1


STATES = {
    'silent': lambda worker, run: setattr(worker, 'silent_since_s', 0.5),
    'ordered': lambda worker, run: setattr(
        run, 'phase', ledgers.RunPhase.ORDERED
    ),
    'doubtful': lambda worker, run: setattr(
        run, 'phase', ledgers.RunPhase.UNCONFIRMED
    ),
    'stopping': lambda worker, run: setattr(
        run, 'phase', ledgers.RunPhase.STOPPING
    ),
}


@pytest.mark.parametrize('set_state', STATES.values(), ids=STATES)
def test_run_that_may_go_on_counts(set_state):
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(2)), _job(JOBS[1], build.step(6))
    )
    worker = build.worker('w2')
    for index in range(2):
        task = build.task(ledger, 0, index, JOBS[0])
        set_state(worker, build.start(ledger, task, worker))
    pools = [build.worker()]
    decided = _decide(ledger, pools, {FIRST: _limit(3)}, [*pools, worker])
    assert len(decided) == 1


def test_unmanaged_run_counts_until_it_has_stopped():
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(2)), _job(JOBS[1], build.step(6))
    )
    worker = build.worker('w2')
    group = build.task(ledger, 0, 0, JOBS[0]).group
    worker.unmanaged = [group, group]
    for task in list(group.waiting.values()):
        task.not_before_s = 9.0
    pools = [build.worker()]
    decided = _decide(ledger, pools, {FIRST: _limit(3)}, [*pools, worker])
    assert len(decided) == 1


def test_unreported_runs_of_an_earlier_leader_count():
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(6)), _job(JOBS[1], build.step(6))
    )
    unreported = build.task(ledger, 0, 0, JOBS[0]).group
    for task in list(unreported.waiting.values()):
        task.not_before_s = 9.0
    pools = [build.worker()]
    for max_use, starts in ((model.Resources(2000, 999), 2), (None, 0)):
        unseen = quotas_.Unseen([unreported], max_use)
        decided = _decide(ledger, pools, {FIRST: _limit(4)}, unseen=unseen)
        assert len(decided) == starts


def test_limit_far_below_what_runs_starts_nothing_and_ends_nothing():
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(3)), _job(JOBS[1], build.step(6))
    )
    worker = build.worker()
    for index in range(3):
        build.start(ledger, build.task(ledger, 0, index, JOBS[0]), worker)
    assert not _decide(ledger, [worker], {FIRST: _limit(1)})
    assert len(worker.runs) == 3
    assert len(_decide(ledger, [worker], {FIRST: _limit(5)})) == 2


def test_gang_starts_whole_within_the_limit_or_not_at_all():
    gang = build.step(3, cpu=2000, gang=True)
    ledger = build.ledger_with(_job(JOBS[0], gang))
    assert not _decide(ledger, [build.worker()], {FIRST: _limit(5)})
    assert len(_decide(ledger, [build.worker()], {FIRST: _limit(6)})) == 3


def test_gang_that_exceeds_its_tenants_limit_is_detected():
    gang = build.step(3, cpu=2000, gang=True)
    assert quotas_.exceeds(gang, _limit(5))
    assert not quotas_.exceeds(gang, _limit(6))
    assert not quotas_.exceeds(gang, _limit())
    assert not quotas_.exceeds(build.step(9, cpu=2000), _limit(1))


def test_of_a_team_and_a_tenant_the_smaller_limit_wins():
    teams = (policies.Team('t', ('q',), 2.0),)
    for limit, starts in ((_limit(5), 2), (_limit(1), 1)):
        ledger = build.ledger_with(_job(JOBS[0], build.step(6)))
        decided = _decide(
            ledger, [build.worker()], {FIRST: limit}, teams=teams
        )
        assert len(decided) == starts


def test_task_that_may_not_run_adds_no_demand():
    """Demand counts what tenants may start, and gangs only as a whole."""
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(6)),
        _job(JOBS[1], build.step(3, gang=True)),
        _job(JOBS[2], build.step(2), tenant=SECOND),
    )
    limits = {FIRST: _limit(4), SECOND: _limit()}
    quotas = quotas_.make(policies.Policy(), [], ledger, limits)
    groups = [build.task(ledger, 0, 0, job).group for job in JOBS[:3]]
    assert [quotas_.claim(quotas, group) for group in groups] == [4, 0, 2]


def test_without_limits_all_tasks_start():
    ledger = build.ledger_with(_job(JOBS[0], build.step(6)))
    assert len(_decide(ledger, [build.worker()], {})) == 6


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['begin', 'adopt', 'over', 'forget']),
            strategies.integers(0, 5),
        ),
        max_size=40,
    )
)
def test_what_runs_is_counted_as_runs_begin_and_end(events):
    """After any events, the sum is that of the runs that remain."""
    ledger = build.ledger_with(
        _job(JOBS[0], build.step(3, cpu=500)),
        _job(JOBS[1], build.step(3, cpu=700)),
    )
    tasks = [
        build.task(ledger, 0, index, job)
        for job in JOBS[:2]
        for index in range(3)
    ]
    for number, (event, index) in enumerate(events):
        task = tasks[index]
        worker = ids.VmId(f'w{index}')
        if event == 'begin' and task.run is None:
            ledgers.begin_run(ledger, task, worker, float(number))
        elif event == 'adopt':
            ledgers.adopt(ledger, task, worker, number + 1, float(number))
        elif event == 'over':
            ledgers.end_run(ledger, task, float(number))
        elif event == 'forget':
            ledgers.forget(ledger, task.group.entry.job.job)
    expected = sum(
        task.group.step.needs.cpu_millicores
        for task in tasks
        if task.run is not None
    )
    counted = ledger.running.get(FIRST, ledgers.Running())
    assert counted.cpu_millicores == expected
