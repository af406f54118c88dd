"""Tests of ownership: each rule stops the change that breaks it."""

import msgspec
import pytest

from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import ownership
from tests import utils_controller as utils

A = ids.DataCentre('a')
STATES = fleet.VmState
CAUSE = ownership.Cause


def _row(vm, state=STATES.SERVING, pool='p', epoch=3):
    return fleet.VmRow(
        ids.VmId(vm),
        ids.PoolId(pool),
        state,
        ids.Epoch(epoch),
        ids.Rack('r'),
        ids.Address('127.0.0.1:1'),
    )


def _shards(*rows):
    return {A: fleet.Shard(A, ids.Revision(9), 1, rows)}


def _found(rows, changes, released=(), min_up=1):
    pools = {ids.PoolId('p'): utils.pool(min_up=min_up)}
    breaches = ownership.breaches_of_changes(
        _shards(*rows), changes, pools, released
    )
    return {breach.invariant for breach in breaches}


def _change(row, cause=CAUSE.PROGRESS, **fields):
    return ownership.change(A, row, cause, 5.0, **fields)


def test_planned_losses_leave_min_up_failures_need_not():
    rows = [_row('v1'), _row('v2')]
    take = [_change(rows[0], CAUSE.WAVE, state=STATES.RELEASING)]
    fail = [_change(rows[1], CAUSE.FAILED, state=STATES.BROKEN)]
    assert _found(rows, take) == set()
    assert _found(rows, take, min_up=2) == {ownership.MIN_UP}
    assert _found(rows, take + fail) == {ownership.MIN_UP}
    assert _found(rows, fail, min_up=2) == set()


def test_gains_of_the_same_go_do_not_count():
    rows = [_row('v1'), _row('v2', STATES.RETURNING)]
    changes = [
        _change(rows[0], CAUSE.WAVE, state=STATES.RELEASING),
        _change(rows[1], state=STATES.SERVING),
    ]
    assert _found(rows, changes) == {ownership.MIN_UP}


@pytest.mark.parametrize(
    'row, fields',
    (
        (_row('v', STATES.RELEASING), {'state': STATES.DRAINING}),
        (
            _row('v', STATES.RELEASING),
            {'state': STATES.SERVING, 'pool': ids.PoolId('q')},
        ),
        (
            _row('v', STATES.BROKEN),
            {'operation': ids.OperationId('replace-1')},
        ),
    ),
)
def test_vm_is_taken_only_once_released(row, fields):
    change = _change(row, **fields)
    assert _found([row], [change]) == {ownership.RELEASED}
    assert _found([row], [change], {(row.vm, row.epoch)}) == set()
    assert _found([row], [change], {(row.vm, row.epoch - 1)}) != set()


def test_serving_vm_never_changes_its_pool():
    row = _row('v')
    change = _change(row, pool=ids.PoolId('q'))
    released = {(row.vm, row.epoch)}
    assert _found([row], [change], released) == {ownership.IN_ONE_POOL}


def test_steps_and_epochs_are_checked():
    row = _row('v')
    jump = _change(row, state=STATES.REBOOTING)
    assert ownership.STEPS in _found([row], [jump], {(row.vm, row.epoch)})
    after = msgspec.structs.replace(row, state=STATES.RETURNING)
    same = ownership.Change(A, row, after, CAUSE.FAILED)
    assert _found([row], [same]) == {ownership.EPOCHS}


def test_vm_joins_once():
    row = _row('v')
    join = ownership.Change(A, None, row, CAUSE.JOINED)
    assert _found([row], [join]) == {ownership.IN_ONE_POOL}
    assert _found([], [join, join]) == {ownership.IN_ONE_POOL}
    twice = _shards(row) | {ids.DataCentre('b'): _shards(row)[A]}
    assert ownership.breaches_of_state(twice)


def test_change_of_another_state_is_not_applied():
    row = _row('v')
    change = _change(row, state=STATES.RELEASING)
    shard = _shards(_row('v', epoch=4))[A]
    with pytest.raises(errors.InvariantBreach):
        ownership.apply(shard, [change], 1)
