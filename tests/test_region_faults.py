"""Tests of the region's leader under schedules of faults drawn at random."""

import os

import curio
import hypothesis
from hypothesis import strategies

from tests import utils_schedules

EXAMPLES = int(os.environ.get('OLEANDER_TEST_EXAMPLES', '40'))

schedules = strategies.lists(
    strategies.sampled_from(utils_schedules.ACTIONS), min_size=5, max_size=70
)


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=EXAMPLES, database=None
)
@hypothesis.given(schedules)
def test_no_harm_under_faults_and_the_wave_ends(schedule):
    curio.run(utils_schedules.run, schedule)
