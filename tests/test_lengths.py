"""Tests of how long tasks really take."""

import random

from oleanderwood.pools import lengths as lengths_
from tests import utils_jobs as build


def _note(lengths, guess_s, real_s):
    step = build.step(estimate_ms=guess_s * 1000)
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
