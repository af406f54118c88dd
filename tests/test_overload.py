"""Tests of what callers get of a burst larger than their pool."""

import statistics

import pytest

from oleanderwood.pools import lengths
from oleanderwood.pools import urgency
from tests import utils_overload as overload

SEEDS = (1, 2, 3)


def _play(machines=6):
    """Play bursts of nearly twice what the pool can hold."""
    return [
        overload.play(overload.Burst(seed, machines), lengths.Lengths())
        for seed in SEEDS
    ]


def _share(played):
    return statistics.fmean(row.share for row in played)


def _share_of_largest(played):
    return statistics.fmean(row.share_of_largest(0.1) for row in played)


@pytest.fixture(scope='module')
def played():
    return _play()


@pytest.fixture
def without_margin(monkeypatch):
    """Play with jobs started until the last moment."""
    monkeypatch.setattr(urgency, 'LATENESS_MARGIN', 1.0)
    return _play()


def test_margin_brings_more_jobs_in_time(played, without_margin):
    # 0.56 without the margin, 0.60 with it.
    assert _share(without_margin) < 0.57
    assert _share(played) > 0.59


def test_largest_jobs_are_served_more_than_half_as_often_as_all(played):
    # Below half of the share of all jobs, a user counts a day as failed.
    assert _share_of_largest(played) > 0.5 * _share(played)


def test_no_job_is_late_while_capacity_is_free():
    assert _share(_play(machines=16)) > 0.99
