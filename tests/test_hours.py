"""Tests of hours."""

import pytest

from oleanderwood import hours


def test_hours_are_read_as_seconds_after_midnight():
    assert hours.read('23:00-01:30') == hours.Hours(82_800, 5_400)


@pytest.mark.parametrize('text', ['', '5-6', '5:00-6:00', '24:00-01:00'])
def test_other_text_is_no_hours(text):
    assert hours.read(text) is None
