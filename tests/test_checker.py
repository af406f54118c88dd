"""Tests of the checker with forged logs: each breach must be found."""

import pytest

from demo import checker
from demo import evidence
from tests import utils_checker as build

RULE = checker.Rule


def _rules(seen):
    return {breach.rule for breach in checker.check(seen).breaches}


def test_clean_run_has_no_breach():
    report = checker.check(build.clean())
    assert report.breaches == []
    assert report.outcomes == {'answered': 1}
    assert report.least_up == {'p': 1}


@pytest.mark.parametrize(
    ('rule', 'changes'),
    [
        (RULE.ACCOUNTED, {'end_s': 0.0}),
        (RULE.ACCOUNTED, {'status': 503, 'verdict': ''}),
        (RULE.ACCOUNTED, {'status': 200, 'whole': False}),
        (RULE.OWN_ANSWER, {'own': False}),
        (RULE.NOT_RUN, {'status': 503, 'verdict': 'not-run'}),
        (RULE.BODY, {'body_sha256': 'other'}),
    ],
)
def test_breach_of_an_attempt(rule, changes):
    seen = build.clean()
    seen.attempts = [build.attempt(**changes)]
    assert _rules(seen) == {rule}


def test_second_run_is_found_over_repeats():
    again = build.attempt(number=1)
    seen = build.clean(
        attempts=[again], requests=[build.request('k1/1', vm='v2')]
    )
    assert _rules(seen) == {RULE.AT_MOST_ONCE}
    for attempt in seen.attempts:
        attempt.idempotent = True
    assert _rules(seen) == set()


def test_answer_without_a_run_is_found():
    seen = build.clean()
    seen.requests = []
    assert _rules(seen) == {RULE.ANSWER_OF_RUN}


@pytest.mark.parametrize(
    ('rule', 'changes'),
    [
        (RULE.GRANT, {'epoch': '9'}),
        (RULE.GRANT, {'pool': 'other'}),
        (RULE.GRANT, {'at_s': -1.0}),
        (RULE.GRANT, {'epoch': '4', 'at_s': 29.0}),
        (RULE.ORDERED, {'at_s': 22.2, 'end_s': 22.3}),
        (RULE.LEAVING, {'at_s': 30.5, 'end_s': 30.6}),
    ],
)
def test_breach_of_a_dispatch(rule, changes):
    extra = build.request('k2/0', **changes)
    attempt = build.attempt('k2', end_s=10.6)
    assert rule in _rules(build.clean(requests=[extra], attempts=[attempt]))


def test_planned_stop_that_cuts_is_found_and_abandoned_work_is_not():
    extra = build.request('k2/0', at_s=19.0, end_s=22.2)
    waiting = build.attempt('k2', start_s=19.0, end_s=22.2)
    seen = build.clean(requests=[extra], attempts=[waiting])
    assert _rules(seen) == {RULE.PLANNED_STOP}
    waiting.end_s = 21.0
    assert _rules(seen) == set()


@pytest.mark.parametrize(
    ('rule', 'write'),
    [
        (RULE.ONE_POOL, build.shard(40.0, 'd2', v1=('q', 'serving', 9))),
        (RULE.EPOCH, build.shard(40.0, v1=('q', 'serving', 4))),
        (RULE.EPOCH, build.shard(40.0, v1=('p', 'serving', 3))),
        (
            RULE.MIN_UP,
            build.shard(
                40.0, v1=('p', 'releasing', 5), v2=('p', 'releasing', 2)
            ),
        ),
        (RULE.REVERTED, build.head(40.0, 1)),
    ],
)
def test_breach_of_a_write(rule, write):
    assert _rules(build.clean(writes=[write])) == {rule}


def test_work_of_two_pools_at_once_is_found():
    extra = build.request('k2/0', at_s=10.2, end_s=10.3, pool='q')
    seen = build.clean(requests=[extra], attempts=[build.attempt('k2')])
    assert RULE.ONE_POOL in _rules(seen)


def test_known_loss_counts_against_a_planned_step():
    seen = build.clean(events=[build.event(5.0, 'fail', 'v2')])
    assert _rules(seen) == {RULE.MIN_UP}
    seen = build.clean(events=[build.event(19.0, 'fail', 'v2')])
    assert _rules(seen) == set()


@pytest.mark.parametrize(
    ('rule', 'probe'),
    [
        (RULE.REVERTED, evidence.Probe(53.0, 53.1, 'e1', 1)),
        (RULE.IN_FORCE, evidence.Probe(60.0, 60.1, 'e2', 1)),
        (RULE.EARLY, evidence.Probe(49.0, 49.1, 'e3', 2)),
    ],
)
def test_breach_of_the_configuration(rule, probe):
    seen = build.clean(
        writes=[build.head(50.0, 2)],
        probes=[evidence.Probe(52.0, 52.1, 'e1', 2), probe],
    )
    assert _rules(seen) == {rule}


def test_task_that_runs_twice_is_found():
    start = build.event(5.0, 'task-start', task='t', running_on='v2')
    assert _rules(build.clean(events=[start])) == {RULE.TASK}
