"""Tests of availability: what a pool spends of its quarter's budget."""

from oleanderwood import availability
from oleanderwood import budget
from oleanderwood import ids
from tests import utils_controller as utils

P = ids.PoolId('p')
POOLS = {P: utils.pool(size=3, min_up=1)}
START_S = 40 * budget.QUARTER_S


def _spent(account):
    return {line.pool: line.spent_s for line in account.lines}


def _count(account, up, at_s):
    return availability.count(account, POOLS, {P: up}, START_S + at_s)


def test_missing_vms_are_charged_by_the_second():
    account = _count(availability.Account(), 3, 0.0)
    account = _count(account, 1, 10.0)
    account = _count(account, 1, 15.0)
    assert _spent(account) == {P: 2 * 10.0 + 2 * 5.0}
    account = _count(account, 3, 16.0)
    account = _count(account, 3, 50.0)
    assert _spent(account) == {P: 32.0}


def test_time_without_a_leader_is_charged():
    kept = _count(_count(availability.Account(), 2, 0.0), 2, 1.0)
    taken_over = _count(kept, 3, 101.0)
    assert _spent(taken_over) == {P: 101.0}


def test_a_new_quarter_starts_at_zero():
    account = _count(availability.Account(), 2, budget.QUARTER_S - 5.0)
    account = _count(account, 2, budget.QUARTER_S + 7.0)
    assert _spent(account) == {P: 7.0}
    assert availability.spent(account)[P].spent_s == 7.0


def test_account_is_written_when_it_matters():
    kept = _count(availability.Account(), 3, 0.0)
    assert not availability.must_write(kept, _count(kept, 3, 900.0))
    short = _count(kept, 2, 1.0)
    assert availability.must_write(kept, short)
    assert not availability.must_write(short, _count(short, 2, 30.0))
    assert availability.must_write(short, _count(short, 2, 90.0))
