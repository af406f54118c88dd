"""Tests of task_table: a task never runs twice, whatever gets lost."""

import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from oleanderwood import task_row
from oleanderwood import task_table
from oleanderwood import verdict as verdicts
from tests import utils_placement
from tests import utils_task_world

STEPS = 200
RUNS_PER_DEFECT = 1000
"""Runs within which a defect has to be found."""


def _drive(seed):
    world = utils_task_world.World(tasks=1)
    utils_task_world.drive(world, random.Random(seed), STEPS)
    return world


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_no_task_runs_twice(seed):
    _drive(seed)


def test_runs_reach_what_they_are_meant_for():
    """Guard against runs in which hardly anything starts."""
    worlds = [_drive(seed) for seed in range(50)]
    epochs = [
        max([world.epoch_floor, *(r.epoch for r in world.stored.values())])
        for world in worlds
    ]
    assert sum(epochs) / len(epochs) > 3
    assert sum(len(world.leaders) > 1 for world in worlds) > 25


def _lapses_at_once(row):
    return row.absent_since_s


def _sends_late(row, epoch, now_s):
    return row.phase is task_row.Phase.STARTING and row.epoch == epoch


def _trusts_first_absence(row, taken_at_s, now_s):
    return task_row.over(row, now_s)


def _takes_loss_for_refusal(row, epoch, verdict, now_s):
    if verdict is not verdicts.Verdict.RAN and row.epoch == epoch:
        return task_row.over(row, now_s)
    return row


def _ends_when_cancelled(row):
    return msgspec.structs.replace(
        row, phase=task_row.Phase.ENDED, cancelled=True
    )


def _any_epoch(row, entry):
    return row.phase in task_row.LIVE


def _restart_ends_all(table, worker, up_at_s, now_s):
    for row in list(table.rows.values()):
        if row.worker == worker and row.phase in task_row.LIVE:
            table.rows[row.task] = task_row.over(row, now_s)
    return []


def _forgets_epochs(table):
    for row in list(table.rows.values()):
        if row.cancelled and row.phase is task_row.Phase.ENDED:
            del table.rows[row.task]
    return []


@pytest.mark.parametrize(
    ('module', 'name', 'defect'),
    [
        (task_row, 'lease_over_at_s', _lapses_at_once),
        (task_row, 'may_send', _sends_late),
        (task_row, 'not_seen', _trusts_first_absence),
        (task_row, 'answered', _takes_loss_for_refusal),
        (task_row, 'cancelled', _ends_when_cancelled),
        (task_row, 'unknown', lambda row: row),
        (task_table, '_same_copy', _any_epoch),
        (task_table, 'worker_restarted', _restart_ends_all),
        (task_table, 'MAX_REPORT_GAP_S', 1e9),
        (task_table, 'prune', _forgets_epochs),
    ],
)
def test_defect_is_found(monkeypatch, module, name, defect):
    monkeypatch.setattr(module, name, defect)
    with pytest.raises(AssertionError):
        for seed in range(RUNS_PER_DEFECT):
            _drive(seed)


def _started(epoch=1):
    table = utils_placement.make_table([utils_placement.make_job()])
    start = actions.StartTask('j:0', 'j', 'w0', ids.Epoch(epoch), 1.0, 1.0)
    task_table.note(table, start, ids.OperationId('o'), 0.0)
    return table


def test_start_needs_a_waiting_row_and_the_next_epoch():
    table = _started()
    start = actions.StartTask('j:0', 'j', 'w1', ids.Epoch(2), 1.0, 1.0)
    with pytest.raises(errors.InvariantBreach):
        task_table.note(table, start, ids.OperationId('o'), 0.0)
    with pytest.raises(errors.InvariantBreach):
        _started(epoch=2)


def test_refusal_frees_the_task_and_keeps_its_waiting_time():
    table = _started()
    task_table.answer(table, 'j:0', 1, verdicts.Verdict.NOT_RUN, 3.0)
    row = table.rows['j:0']
    assert row.phase is task_row.Phase.WAITING
    assert (row.refusals, row.waiting_since_s) == (1, 0.0)
    assert row.not_before_s > 3.0


def test_failures_pause_ever_longer_up_to_a_bound():
    pauses = [task_row.failure_pause_s(count) for count in range(30)]
    assert pauses == sorted(pauses)
    assert pauses[0] == 0.0
    assert pauses[-1] == task_row.MAX_FAILURE_PAUSE_S


def test_lost_answer_is_resolved_by_a_report():
    table = _started()
    task_table.answer(table, 'j:0', 1, verdicts.Verdict.MAY_HAVE_RUN, 1.0)
    assert table.rows['j:0'].phase is task_row.Phase.STARTING
    entry = utils_placement.make_entry(table.rows['j:0'])
    usage = platform_api.UsageReport(1.0, (entry,))
    assert task_table.report(table, usage, 4.0) == ['j:0']
    assert table.rows['j:0'].phase is task_row.Phase.RUNNING


def test_absent_copy_is_over_once_its_lease_is():
    table = _started()
    at_s = 0.0
    while table.rows['j:0'].phase is not task_row.Phase.WAITING:
        at_s += 2.0
        task_table.report(table, platform_api.UsageReport(0.0), at_s)
        assert at_s < 100.0
    first_s = task_row.SEND_WINDOW_S + 2.0
    lease_s = task_row.LEASE_TTL_S * (1 + task_row.CLOCK_RATE_MARGIN)
    assert first_s + lease_s <= at_s <= first_s + lease_s + 2.0


def _resolved_by_new_leader():
    old = _started()
    table = task_table.adopt(old.rows.values(), -900.0)
    for index in range(60):
        now_s = -900.0 + index
        task_table.report(table, platform_api.UsageReport(0.0), now_s)
    return table.rows['j:0'].phase is task_row.Phase.WAITING


def test_new_leader_resolves_intents_by_its_own_clock(monkeypatch):
    assert _resolved_by_new_leader()
    monkeypatch.setattr(task_row, 'rebased', lambda row, now_s: row)
    assert not _resolved_by_new_leader()


def test_pruned_task_goes_on_above_its_epochs():
    table = _started()
    old = table.rows['j:0']
    task_table.reconcile(table, [], 1.0)
    assert task_table.prune(table) == []
    task_table.answer(table, 'j:0', 1, verdicts.Verdict.NOT_RUN, 2.0)
    assert task_table.prune(table) == ['j:0']
    again = task_table.adopt([], 3.0, table.epoch_floor)
    task_table.reconcile(again, [utils_placement.make_job()], 3.0)
    assert again.rows['j:0'].epoch >= old.epoch


def test_overlap_is_reported():
    table = _started()
    row = table.rows['j:0']
    table.rows['j:0'] = msgspec.structs.replace(row, epoch=ids.Epoch(3))
    entry = utils_placement.make_entry(row)
    usage = platform_api.UsageReport(0.0, (entry,))
    assert task_table.overlaps(table, usage, 5.0) == [entry]
    assert task_table.overlaps(table, usage, -5.0) == []
