"""Tests of ticks: aligned sleeps."""

import hypothesis
from hypothesis import strategies as st

from oleanderwood.web import ticks


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.floats(ticks.GRID_S, 60.0), st.floats(0.0, 1e6, allow_nan=False)
)
def test_a_pause_is_never_longer_nor_shorter_by_the_grid(wanted_s, now_s):
    short_s = ticks.aligned_sleep_s(wanted_s, now_s)
    assert wanted_s - ticks.GRID_S - 1e-6 <= short_s <= wanted_s + 1e-6


def test_pauses_of_whole_grids_end_together():
    first_s, other_s = 1000.03, 1000.11
    ends = {
        round(at_s + ticks.aligned_sleep_s(pause_s, at_s), 6)
        for at_s in (first_s, other_s)
        for pause_s in (1.0, 1.05)
    }
    assert ends == {1001.0}


def test_a_pause_below_the_grid_stays():
    assert ticks.aligned_sleep_s(0.01, 7.77) == 0.01
