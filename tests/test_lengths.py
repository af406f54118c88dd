"""Tests of how long tasks really take."""

import math
import random

from oleanderwood.pools import lengths as lengths_
from tests import utils_jobs as build


def _note(lengths, guess_s, real_s):
    step = build.step(guess_ms=guess_s * 1000)
    ledger = build.ledger_with(build.job(step))
    lengths_.note(lengths, build.task(ledger).group, real_s)


def test_unknown_queue_is_taken_at_its_word():
    assert lengths_.factor(lengths_.Lengths(), 'q') == 1.0


def test_guesses_that_are_off_either_way_are_right_in_all():
    rng = random.Random(1)
    factors = []
    for _ in range(20):
        lengths = lengths_.Lengths()
        for _ in range(100):
            _note(lengths, rng.lognormvariate(0.0, 0.8), 1.378)
        factors.append(lengths_.factor(lengths, 'q'))
    # The mean of the ratios would be 1.9.
    assert 0.8 < sum(factors) / len(factors) < 1.25


def test_guesses_that_are_too_short_throughout_are_stretched():
    lengths = lengths_.Lengths()
    for _ in range(100):
        _note(lengths, 1.0, 2.0)
    assert 1.9 < lengths_.factor(lengths, 'q') <= 2.0


def _learned(rng, slope, spread=0.3, tasks=300):
    """Learn from guesses that are wrong, but for a part of their logarithm."""
    lengths = lengths_.Lengths()
    for _ in range(tasks):
        off = rng.gauss(0.0, 0.9)
        real_s = math.exp(slope * off + rng.gauss(0.0, spread))
        _note(lengths, math.exp(off), real_s)
    return lengths


def test_guess_that_stands_out_is_believed_in_part():
    lengths = _learned(random.Random(2), slope=0.2)
    long_s = lengths_.expected_s(lengths, 'q', 4.0)
    short_s = lengths_.expected_s(lengths, 'q', 0.25)
    assert 1.1 < long_s < 1.7
    assert 0.6 < short_s < 0.9


def test_guesses_that_are_right_are_believed():
    lengths = _learned(random.Random(3), slope=1.0, spread=0.1)
    assert 3.0 < lengths_.expected_s(lengths, 'q', 4.0) < 4.2


def test_guess_is_taken_as_it_is_until_something_is_known():
    lengths = lengths_.Lengths()
    for _ in range(5):
        _note(lengths, 1.0, 3.0)
    assert lengths_.expected_s(lengths, 'q', 2.0) == 2.0


def test_known_jobs_are_expected_anew_as_more_is_learned():
    lengths = lengths_.Lengths()
    ledger = build.ledger_with(build.job(build.step(guess_ms=2000.0)))
    entry = ledger.entries[build.JOB]
    assert lengths_.of_job(lengths, entry) == (2.0,)
    for _ in range(lengths_.REFIT_TASKS):
        _note(lengths, 2.0, 1.0)
    assert 0.9 < lengths_.of_job(lengths, entry)[0] < 1.1
