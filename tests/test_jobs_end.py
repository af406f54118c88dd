"""Accepted jobs end, however late.

What callers saw: a job that was accepted never ended, 80 s after the last one
was handed in, on 4 of 300 emulated days, on 39 of 300 with four features and
seven troubles, on 9 of 300 with turns of 4 s and six troubles. Nothing else
was broken on them.

Causes, by what the leader knew of each such job at the end of its day:

- The step asks for what its pool's machines aren't: a label, a gang's room, a
  worker that the platform's advice allows. By the time that the pool had given
  its machines away the job was worth nothing to its caller any more
  (`urgency.is_too_late`), and such jobs counted for no machines at all. Log:
  `needs drafts (1, 1)` with six machines on standby and three tasks of label b
  waiting.
- The step's runs use what others leave, and stand still: they are paced down
  beside tasks that serve, on the few machines that their pool has kept. Runs
  were never measured against that, and such steps count for no machines. Log
  (seed 30087): `run paced ... percent=0` for four jobs on i-m1-1 until the
  end, with six machines on standby.
- Two pools that each keep machines of the kind that the other one waits for:
  which machine comes wasn't chosen (seed 31103, as the above was mended).
"""

import pytest

from emulator import day
from emulator import features
from emulator import troubles


def _play(seed, trouble_count, feature_count, turn_s):
    wanted = features.draw(seed, feature_count)
    drawn = troubles.draw(seed, 12.0, trouble_count, troubles.LAB_KINDS)
    plan = day.Plan(
        seed,
        turn_s=turn_s,
        troubles=tuple(drawn),
        features=wanted,
        finish_s=features.finish_s(wanted, day.FINISH_S),
    )
    return day.play(plan)


def _check(*drawn):
    result = _play(*drawn)
    assert result.accepted
    assert not result.unfinished
    assert not result.breaches


@pytest.mark.parametrize(
    'drawn',
    [(31001, 7, 4, 0.0), (31053, 7, 4, 0.0), (31142, 7, 4, 0.0)]
    + [(31242, 7, 4, 0.0), (31254, 7, 4, 0.0), (32031, 6, 2, 4.0)],
    ids=lambda drawn: str(drawn[0]),
)
def test_job_that_is_worth_nothing_gets_a_machine_it_can_run_on(drawn):
    _check(*drawn)


@pytest.mark.parametrize(
    'drawn',
    [(30087, 4, 2, 0.0), (30104, 4, 2, 0.0), (30126, 4, 2, 0.0)]
    + [(31014, 7, 4, 0.0), (31106, 7, 4, 0.0), (31266, 7, 4, 0.0)]
    + [(32050, 6, 2, 4.0), (32111, 6, 2, 4.0), (32299, 6, 2, 4.0)],
    ids=lambda drawn: str(drawn[0]),
)
def test_run_that_is_held_back_goes_on_elsewhere(drawn):
    _check(*drawn)


def test_pools_get_the_kind_that_they_lack():
    _check(31103, 7, 4, 0.0)


@pytest.mark.parametrize('seed', [31244, 41105, 41143])
def test_days_that_came_up_on_the_way(seed):
    """Too many runs left for one machine; gangs beside tasks that serve."""
    _check(seed, 7, 4, 0.0)


@pytest.mark.parametrize(
    'drawn',
    [(7157, 4, 2, 0.0), (926, 4, 2, 0.0), (927, 4, 2, 0.0)]
    + [(7304, 7, 4, 0.0), (7325, 7, 4, 0.0), (7536, 6, 2, 4.0)],
    ids=lambda drawn: str(drawn[0]),
)
def test_seeds_that_left_jobs_open_before(drawn):
    _check(*drawn)
