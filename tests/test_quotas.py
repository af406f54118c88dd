"""Tests of the quotas of teams."""

from oleanderwood.jobs import model
from oleanderwood.policy import model as policies
from oleanderwood.pools import lengths
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import waiting_order
from tests import utils_jobs as build

POLICY = policies.Policy(teams=(policies.Team('t', ('q',), 3.0),))


def _decide(ledger, pool, policy=POLICY):
    known = {name: build.queue(name=name) for name in ('q', 'other')}
    ready = waiting_order.ready_by_pool(
        ledger, known, lengths.Lengths(), 0.0, 1.0
    )
    quotas = quotas_.make(policy, pool, ledger, {})
    return placing.decide(ready.get(build.POOL, []), pool, 1.0, 100, quotas)


def _job(name, tasks, queue='q', **fields):
    job = build.job(build.step(tasks, **fields), name=name)
    return model.Job(job.job, build.queue(name=queue), job.work)


def test_team_starts_no_more_than_its_quota():
    ledger = build.ledger_with(_job('1' * 16, 6))
    assert len(_decide(ledger, [build.worker()])) == 3


def test_what_runs_counts():
    ledger = build.ledger_with(_job('1' * 16, 6))
    worker = build.worker()
    build.start(ledger, build.task(ledger, 0, 0, '1' * 16), worker)
    assert len(_decide(ledger, [worker])) == 2


def test_other_teams_get_the_capacity():
    ledger = build.ledger_with(
        _job('1' * 16, 6), _job('2' * 16, 4, queue='other')
    )
    decided = _decide(ledger, [build.worker()])
    jobs = [row.task.group.entry.job.job for row in decided]
    assert jobs.count('1' * 16) == 3 and jobs.count('2' * 16) == 4


def test_long_running_tasks_have_no_quota():
    ledger = build.ledger_with(_job('1' * 16, 6, is_long_running=True))
    assert len(_decide(ledger, [build.worker()])) == 6


def test_without_a_policy_nothing_is_limited():
    ledger = build.ledger_with(_job('1' * 16, 6))
    decided = _decide(ledger, [build.worker()], policies.Policy())
    assert len(decided) == 6


def test_gang_beyond_the_quota_waits_whole():
    ledger = build.ledger_with(_job('1' * 16, 2, cpu=2000, gang=True))
    assert not _decide(ledger, [build.worker()])
    enough = policies.Policy(teams=(policies.Team('t', ('q',), 4.0),))
    assert len(_decide(ledger, [build.worker()], enough)) == 2
