"""Days that ask for more than plain tasks, judged from outside the product."""

import dataclasses

import pytest

from emulator import day
from emulator import features
from tests import utils_features as build

Feature = features.Feature


@dataclasses.dataclass(frozen=True)
class Found:
    """A day that once broke a rule or left jobs unfinished, and why."""

    seed: int
    features: tuple[Feature, ...]
    why: str
    troubles: int = 0
    jobs_per_s: float = 2.0


FOUND = (
    Found(5, (Feature.GANGS,), 'failures of the members were counted apart'),
    Found(
        22,
        (Feature.GANGS, Feature.CHECKPOINTS),
        'members went on from different work',
        troubles=4,
    ),
    Found(
        4,
        (Feature.UNGUARDED,),
        'what nobody wants took no room while it was stopped',
        troubles=5,
        jobs_per_s=6.0,
    ),
    Found(
        17,
        (Feature.GANGS, Feature.LABELS),
        'a pool had given away the machines of the kind that was asked for',
    ),
    Found(
        7,
        (Feature.LEFTOVERS,),
        'all that uses leftovers went to one worker and stood still',
        troubles=4,
    ),
)


def _check(*drawn) -> day.Result:
    result = day.play(build.plan(*drawn))
    assert not build.broken(result), build.broken(result)[:5]
    return result


@pytest.mark.parametrize('row', FOUND, ids=lambda row: row.why)
def test_day_that_failed_once(row):
    _check(row.seed, row.features, row.troubles, row.jobs_per_s)


def test_no_start_carries_a_ticket_that_has_expired():
    # Tickets that were about to expire were still used while the question
    # for new ones waited its turn: 20 starts were rejected beside 459.
    result = _check(8, (Feature.ADVICE,), 0, 8.0)
    assert result.met[Feature.ADVICE] > 300
    assert not result.refused['ticket']


CALM = 900
TROUBLED = 901
TROUBLED_BY_FEATURE = {Feature.CRASHES: 902}
"""Few jobs ask for some; of these one on such a day."""

TROUBLES_A_DAY = 4
MIXED = range(910, 913)

LEAST_STARTS = 5
"""Starts that have to meet a feature for a day to tell anything."""


@pytest.mark.parametrize('feature', Feature, ids=lambda row: row.value)
def test_calm_day_meets_the_feature(feature):
    result = _check(CALM, (feature,))
    assert result.met[feature] >= LEAST_STARTS
    assert not result.refused


@pytest.mark.parametrize('feature', Feature, ids=lambda row: row.value)
def test_day_with_troubles_meets_the_feature(feature):
    seed = TROUBLED_BY_FEATURE.get(feature, TROUBLED)
    result = _check(seed, (feature,), TROUBLES_A_DAY)
    assert result.met[feature] >= LEAST_STARTS


@pytest.mark.parametrize('seed', MIXED)
def test_day_with_troubles_that_asks_for_much_at_once(seed):
    wanted = (
        Feature.GANGS,
        Feature.UNGUARDED,
        Feature.REPEATS,
        Feature.RACKS,
        Feature.CHECKPOINTS,
        Feature.PRIORITIES,
    )
    _check(seed, wanted, TROUBLES_A_DAY)


def test_most_tasks_start_beside_their_data():
    assert build.near_share(_check(3, (Feature.RACKS,))) > 0.75


def test_urgent_jobs_go_first_where_there_is_too_much_to_do():
    result = _check(4, (Feature.PRIORITIES,), 0, 12.0)
    assert build.later_factor(result) > 1.3
