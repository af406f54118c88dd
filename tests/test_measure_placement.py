"""Tests of the placement measurement: same seed, same figures, no breach."""

from measure import placement
from measure import placement_inputs
from measure import placement_packing


def test_same_seed_gives_same_figures_without_breach():
    first, second = (
        placement.case(placement_inputs.KLAPA, placement.THIS, 3)
        for _ in range(2)
    )
    for name, value in first.items():
        assert name.endswith('ms') or second[name] == value
    assert first['quota breaches'] == 0
    assert first['double runs'] == 0
    assert first['never-runs told, share'] == 1.0


def test_packing_is_never_below_its_bound():
    for row in placement_packing.rows(5, 2):
        ratio = row.figures[1]
        assert ratio.low >= 1.0
