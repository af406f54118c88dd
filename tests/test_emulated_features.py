"""Days that ask for more than plain tasks, judged from outside the product."""

import pytest

from emulator import day
from emulator import features

Feature = features.Feature

FOUND = {
    5: (Feature.GANGS, 'the failures of each member were counted apart'),
}
"""Calm days that once broke a rule or left jobs unfinished, and why."""


def _check(plan: day.Plan) -> day.Result:
    result = day.play(plan)
    assert not result.breaches, result.breaches[:5]
    assert not result.unfinished, result.unfinished
    return result


@pytest.mark.parametrize('seed', FOUND)
def test_calm_day_that_failed_once(seed):
    feature, _cause = FOUND[seed]
    _check(day.Plan(seed, features=(feature,)))
