"""Tests that the proofs of the controller fail under planted defects."""

import pytest

from tests import defects_controller as defects
from tests import test_inventory


@pytest.mark.parametrize('name', defects.DEFECTS)
def test_schedule_shows_the_defect(name):
    assert defects.fault_of(name, defects.SEEDS[name])


@pytest.mark.parametrize('seed', sorted(set(defects.SEEDS.values())))
def test_schedule_passes_without_defects(seed):
    assert defects.fault_of('', seed) == ''


@pytest.mark.parametrize('name', defects.LIST_DEFECTS)
def test_lists_out_of_order_show_the_defect(name):
    with defects.planted(name), pytest.raises(AssertionError):
        test_inventory.test_old_lists_neither_resurrect_nor_duplicate()
