"""Days that ask for more than plain tasks, judged from outside the product."""

import dataclasses

import pytest

from emulator import day
from emulator import features
from emulator import troubles

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
        7,
        (Feature.LEFTOVERS,),
        'all that uses leftovers went to one worker and stood still',
        troubles=4,
    ),
)


def _check(plan: day.Plan) -> day.Result:
    result = day.play(plan)
    assert not result.breaches, result.breaches[:5]
    assert not result.unfinished, result.unfinished
    return result


def _plan(seed, wanted, count=0, jobs_per_s=2.0) -> day.Plan:
    drawn = troubles.draw(seed, 12.0, count, tuple(troubles.Kind))
    return day.Plan(
        seed,
        features=tuple(wanted),
        troubles=tuple(drawn),
        jobs_per_s=jobs_per_s,
    )


@pytest.mark.parametrize('row', FOUND, ids=lambda row: row.why)
def test_day_that_failed_once(row):
    _check(_plan(row.seed, row.features, row.troubles, row.jobs_per_s))


def test_no_start_carries_a_ticket_that_has_expired():
    # Tickets that were about to expire were still used while the question
    # for new ones waited its turn: 20 starts were rejected beside 459.
    result = _check(_plan(8, (Feature.ADVICE,), jobs_per_s=8.0))
    assert result.met[Feature.ADVICE] > 300
    assert not result.refused['ticket']
