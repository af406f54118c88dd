"""Tests of budget."""

import pytest

from oleanderwood import budget
from oleanderwood import ids
from tests import utils_decisions

POOL = utils_decisions.pool(size=4, min_up=2, unavailability_budget_s=1000.0)
P = ids.PoolId('p')


def test_accrues_vm_seconds_below_size():
    spent = budget.Spent(P, 0.0)
    spent = budget.accrue(POOL, spent, 3, 100.0)
    spent = budget.accrue(POOL, spent, 5, 200.0)
    spent = budget.accrue(POOL, spent, 2, 250.0)
    assert spent.spent_s == 200.0
    assert budget.left_s(POOL, spent) == 800.0


def test_a_new_quarter_starts_at_zero():
    spent = budget.Spent(P, 0.0, 900.0, budget.QUARTER_S - 10.0)
    after = budget.accrue(POOL, spent, 3, budget.QUARTER_S + 20.0)
    assert after.spent_s == 20.0
    assert after.quarter_start_s == budget.QUARTER_S


@pytest.mark.parametrize(
    ('up', 'out', 'expected'),
    [(5, 0, True), (4, 0, True), (3, 1, False), (2, 2, False)],
)
def test_affords_what_is_left_for_all_that_are_out(up, out, expected):
    spent = budget.Spent(P, 0.0, 300.0)
    assert budget.affords(POOL, spent, up, out, 600.0) is expected


def test_needed_up_looks_at_all_hours_until_the_vm_is_back():
    load = budget.HourlyLoad(P, (0.0,) * 5 + (0.9,) + (0.0,) * 18)
    hour_s = 3600.0
    assert budget.needed_up(POOL, load, 4 * hour_s, 4.9 * hour_s) == 2
    assert budget.needed_up(POOL, load, 4 * hour_s, 5.1 * hour_s) == 4
    assert budget.needed_up(POOL, None, 4 * hour_s, 5.1 * hour_s) == 2
