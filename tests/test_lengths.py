"""Tests of how expected durations of tasks are learned."""

import math
import random

from oleanderwood.pools import lengths as lengths_
from tests import utils_jobs as build


def _note(lengths, estimate_s, real_s):
    step = build.step(guess_ms=estimate_s * 1000)
    ledger = build.ledger_with(build.job(step))
    lengths_.record(lengths, build.task(ledger).group, real_s)


def test_estimates_of_an_unknown_queue_are_not_corrected():
    assert lengths_.correction_factor(lengths_.Lengths(), 'q') == 1.0


def test_errors_in_both_directions_cancel_out():
    rng = random.Random(1)
    factors = []
    for _ in range(20):
        lengths = lengths_.Lengths()
        for _ in range(100):
            _note(lengths, rng.lognormvariate(0.0, 0.8), 1.378)
        factors.append(lengths_.correction_factor(lengths, 'q'))
    # The mean of the ratios would be 1.9.
    assert 0.8 < sum(factors) / len(factors) < 1.25


def test_estimates_that_are_always_too_short_are_scaled_up():
    lengths = lengths_.Lengths()
    for _ in range(100):
        _note(lengths, 1.0, 2.0)
    assert 1.9 < lengths_.correction_factor(lengths, 'q') <= 2.0


def _fitted(rng, slope, spread=0.3, tasks=300):
    """Learn from estimates whose error is log-normal.

    :param slope: slope of the actual durations over the estimates
    """
    lengths = lengths_.Lengths()
    for _ in range(tasks):
        deviation = rng.gauss(0.0, 0.9)
        real_s = math.exp(slope * deviation + rng.gauss(0.0, spread))
        _note(lengths, math.exp(deviation), real_s)
    return lengths


def test_unusual_estimate_is_corrected_towards_the_mean():
    lengths = _fitted(random.Random(2), slope=0.2)
    long_s = lengths_.expected_s(lengths, 'q', 4.0)
    short_s = lengths_.expected_s(lengths, 'q', 0.25)
    assert 1.1 < long_s < 1.7
    assert 0.6 < short_s < 0.9


def test_accurate_estimates_are_hardly_corrected():
    lengths = _fitted(random.Random(3), slope=1.0, spread=0.1)
    assert 3.0 < lengths_.expected_s(lengths, 'q', 4.0) < 4.2


def test_estimate_is_not_corrected_before_enough_tasks():
    lengths = lengths_.Lengths()
    for _ in range(5):
        _note(lengths, 1.0, 3.0)
    assert lengths_.expected_s(lengths, 'q', 2.0) == 2.0


def test_expected_durations_of_known_jobs_are_recomputed():
    lengths = lengths_.Lengths()
    ledger = build.ledger_with(build.job(build.step(guess_ms=2000.0)))
    entry = ledger.entries[build.JOB]
    assert lengths_.of_job(lengths, entry) == (2.0,)
    for _ in range(lengths_.REFIT_TASKS):
        _note(lengths, 2.0, 1.0)
    assert 0.9 < lengths_.of_job(lengths, entry)[0] < 1.1
