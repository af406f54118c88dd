"""Tests of blame: bad workers told apart from bad jobs."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood import blame
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from tests import utils_placement as utils

WORKERS = [utils.make_worker(index) for index in range(10)]


def _report(known, copies, now_s):
    """Take in copies: (task, job, worker, epoch, good)."""
    entries = tuple(
        platform_api.TaskReport(
            task,
            ids.JobId(job),
            ids.VmId(worker),
            ids.Epoch(epoch),
            platform_api.TaskState.DONE
            if good
            else platform_api.TaskState.FAILED,
            run_s=1.0,
        )
        for task, job, worker, epoch, good in copies
    )
    usage = platform_api.UsageReport(2.0, entries)
    blame.observe(known, usage, WORKERS, now_s)


def _run(seed, bad_workers, bad_jobs, rounds=12):
    """Run copies of ten jobs on random workers that aren't set aside."""
    rng = random.Random(seed)
    known = blame.Blame()
    epoch = 0
    for step in range(rounds):
        now_s = step * 4.0
        copies = []
        for job in range(10):
            if blame.held_until_s(known, ids.JobId(f'j{job}')) > now_s:
                continue
            worker = rng.randrange(10)
            epoch += 1
            vm = ids.VmId(f'w{worker}')
            if blame.standing(known, vm, now_s) is blame.Standing.ASIDE:
                continue
            good = worker not in bad_workers and job not in bad_jobs
            copies.append((f'j{job}:0', f'j{job}', vm, epoch, good))
        _report(known, copies, now_s)
    return known


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_bad_worker_is_found_and_no_other(seed):
    assert set(_run(seed, {3}, {7}, 30).aside) == {'w3'}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_bad_jobs_set_no_worker_aside(seed):
    known = _run(seed, set(), {1, 4, 7})
    assert known.aside == {}
    assert set(known.held) <= {'j1', 'j4', 'j7'}
    assert known.held


def test_no_more_workers_are_set_aside_than_the_cap():
    known = _run(1, set(range(6)), set(), 40)
    assert len(known.aside) == 2


def test_never_sets_the_only_worker_aside():
    known = blame.Blame()
    entries = [(f'j{n}:0', f'j{n}', 'w0', 1, False) for n in range(9)]
    for index in range(9):
        _report(known, [entries[index]], index)
    assert known.aside
    alone = blame.Blame()
    usage = platform_api.UsageReport(
        2.0,
        tuple(
            platform_api.TaskReport(
                f'j{n}:0',
                ids.JobId(f'j{n}'),
                ids.VmId('w0'),
                ids.Epoch(1),
                platform_api.TaskState.FAILED,
            )
            for n in range(9)
        ),
    )
    blame.observe(alone, usage, WORKERS[:1], 9.0)
    assert alone.aside == {}


def test_one_job_alone_convicts_no_worker():
    known = blame.Blame()
    for epoch in range(9):
        _report(known, [('j:0', 'j', 'w0', epoch, False)], epoch)
    assert known.aside == {}


@pytest.mark.parametrize(('failures', 'aside'), [(6, False), (11, True)])
def test_one_job_that_is_good_elsewhere_takes_many_failures(failures, aside):
    """Four kills for lack of memory once set a good worker aside."""
    known = blame.Blame()
    _report(known, [('j:1', 'j', 'w1', 1, True)], 0.0)
    for epoch in range(1, failures + 1):
        _report(known, [('j:0', 'j', 'w0', epoch, False)], 2.0 * epoch)
    assert ('w0' in known.aside) is aside


def _aside():
    known = blame.Blame()
    for index in range(9):
        copy = (f'j{index}:0', f'j{index}', 'w0', 1, False)
        _report(known, [copy], index)
    return known, known.aside['w0'].until_s


def test_worker_comes_back_by_probes():
    known, until_s = _aside()
    assert blame.standing(known, 'w0', 9.0) is blame.Standing.ASIDE
    assert blame.standing(known, 'w0', until_s) is blame.Standing.PROBING
    _report(known, [('a:0', 'a', 'w0', 1, True)], until_s + 1)
    assert blame.standing(known, 'w0', until_s) is blame.Standing.PROBING
    _report(known, [('b:0', 'b', 'w0', 1, True)], until_s + 2)
    assert blame.standing(known, 'w0', until_s) is blame.Standing.CLEAR


def test_failed_probe_doubles_the_pause():
    known, until_s = _aside()
    _report(known, [('a:0', 'a', 'w0', 1, False)], until_s + 1)
    pause_s = known.aside['w0'].until_s - until_s - 1
    assert pause_s == 2 * blame.ASIDE_PAUSE_S


def test_restarted_worker_is_probed_at_once():
    known, _ = _aside()
    blame.restarted(known, 'w0', 20.0)
    assert blame.standing(known, 'w0', 20.0) is blame.Standing.PROBING


def test_probing_worker_gets_one_task_and_nothing_urgent():
    known, until_s = _aside()
    job = utils.make_job(tasks=3)
    table = utils.make_table([job])
    workers = [utils.make_worker(0)]
    decided = utils.place(
        [job], workers, table, blame=known, now_s=until_s + 1
    )
    kinds = [type(one) for one in decided]
    assert kinds == [actions.SetAside, actions.StartTask]
    urgent = utils.make_urgent_job()
    table = utils.make_table([urgent])
    decided = utils.place(
        [urgent], workers, table, blame=known, now_s=until_s + 1
    )
    assert [type(one) for one in decided] == [actions.SetAside]


def test_job_held_back_is_told_and_not_started():
    known = blame.Blame()
    known.held[ids.JobId('j')] = blame.Penalty(50.0)
    job = utils.make_job()
    table = utils.make_table([job])
    workers = [utils.make_worker(0)]
    (told,) = utils.place([job], workers, table, blame=known, now_s=1.0)
    assert isinstance(told, actions.HoldBack)
    (start,) = utils.place([job], workers, table, blame=known, now_s=50.0)
    assert isinstance(start, actions.StartTask)
    blame.forget_job(known, ids.JobId('j'))
    assert blame.held_until_s(known, ids.JobId('j')) == 0.0


def test_unreachable_worker_gets_nothing_for_a_while():
    known = blame.Blame()
    blame.unreachable(known, ids.VmId('w0'), 5.0)
    assert blame.standing(known, 'w0', 6.0) is blame.Standing.ASIDE
    assert blame.standing(known, 'w0', 15.0) is blame.Standing.CLEAR


@pytest.mark.parametrize(
    ('name', 'defect'),
    [
        ('_weight', lambda other, here, count, now_s: float(count)),
        ('_may_set_aside', lambda *args: True),
        ('MIN_UNEXPLAINED', 0.5),
        ('MIN_UNEXPLAINED', 1e9),
    ],
)
def test_defect_is_found(monkeypatch, name, defect):
    monkeypatch.setattr(blame, name, defect)
    with pytest.raises(AssertionError):
        for seed in range(10):
            assert set(_run(seed, {3}, {7}, 30).aside) == {'w3'}
            assert _run(seed, set(), {1, 4, 7}).aside == {}
            assert len(_run(seed, set(range(6)), set(), 40).aside) <= 2
