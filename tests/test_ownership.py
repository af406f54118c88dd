"""The model of who may start a task: no order of steps has two runs."""

import pytest

from emulator import ownership

DEFECTS = {
    'jobs carry no term': {'stamped': False},
    'jobs are written without a condition': {'conditional': False},
    'jobs are written as they came': {'stamped': False, 'conditional': False},
    'the next leader waits for no worker': {'waits': False},
    'workers take orders of earlier terms': {'fenced': False},
}


def test_no_order_of_steps_leads_to_two_runs():
    outcome = ownership.explore(ownership.Protocol())
    assert not outcome.breach
    assert outcome.states > 100_000


@pytest.mark.parametrize('name', DEFECTS)
def test_each_part_of_the_protocol_is_needed(name):
    outcome = ownership.explore(ownership.Protocol(**DEFECTS[name]))
    assert outcome.breach


def test_job_accepted_between_two_leaders_breaks_it_without_its_term():
    # The order of events that users met.
    outcome = ownership.explore(
        ownership.Protocol(stamped=False, conditional=False)
    )
    met = [
        'the next leader reads',
        'the job is written',
        'leader 1 hears of the job',
        'leader 2 hears of the job',
        'leader 2 starts 1 on 1',
    ]
    assert [name for name in outcome.breach if name in met] == met


def _is_taken_over(state):
    attempt = state.workers[1].attempt
    return state.leaders[1].run == ownership.Run(1, attempt) and attempt == 1


def _is_started_anew(state):
    return state.workers[1].attempt > ownership.NEXT_BASE and state.aged


def _has_aged(state):
    return state.aged and state.stamp == ownership.FORMER


@pytest.mark.parametrize(
    'meets', [_is_taken_over, _is_started_anew, _has_aged]
)
def test_model_gets_far(meets):
    assert ownership.explore(ownership.Protocol(), meets).breach
