"""Tests of daily time ranges."""

import pytest

from oleanderwood.policy import hours


def test_hours_are_read_as_seconds_after_midnight():
    assert hours.read('23:00-01:30') == hours.Hours(82_800, 5_400)


@pytest.mark.parametrize('text', ['', '5-6', '5:00-6:00', '24:00-01:00'])
def test_other_text_is_no_hours(text):
    assert hours.read(text) is None


@pytest.mark.parametrize(
    ('text', 'wall_s', 'left_s'),
    [
        ('01:00-02:00', 3600.0, 3600.0),
        ('01:00-02:00', 86_400.0 * 10 + 5400.0, 1800.0),
        ('01:00-02:00', 7200.0, 0.0),
        ('23:00-01:00', 0.0, 3600.0),
        ('23:00-01:00', 82_800.0, 7200.0),
        ('23:00-01:00', 43_200.0, 0.0),
    ],
)
def test_time_left_of_hours(text, wall_s, left_s):
    assert hours.left_s(hours.read(text), wall_s) == left_s
