"""Tests of sets of numbers as ranges."""

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.jobs import ranges

NUMBERS = strategies.lists(strategies.integers(0, 30))


@hypothesis.given(NUMBERS)
def test_ranges_hold_what_was_added_in_the_fewest_ranges(numbers):
    # A lost number would run a task twice, a wrong one would skip it.
    found = []
    known = set()
    for number in numbers:
        assert ranges.add(found, number) is (number not in known)
        known.add(number)
    assert {n for n in range(32) if ranges.contains(found, n)} == known
    assert ranges.count(found) == len(known)
    assert all(
        before[1] + 1 < after[0] for before, after in zip(found, found[1:])
    )


@hypothesis.given(NUMBERS)
def test_ranges_in_any_order_become_the_same_set(numbers):
    found = []
    for number in numbers:
        ranges.add(found, number)
    rows = [(number, number) for number in numbers]
    assert ranges.normalized(rows, 31) == found


@pytest.mark.parametrize('row', [(-1, 0), (0, 5), (3, 2)])
def test_ranges_beyond_the_size_are_refused(row):
    with pytest.raises(ValueError):
        ranges.normalized([row], 5)
