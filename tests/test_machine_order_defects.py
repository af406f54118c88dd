"""Days with orders for machines that are held up or have no answer.

Each planted defect forgets an order whose outcome isn't known: at a change of
leader, so that too many machines go down, or under the same leader, so that
the wave stands still. The same days are clean without the defect.
"""

import pytest

from emulator import day
from emulator import evidence as evidences
from emulator import features
from emulator import troubles
from oleanderwood.leading import stored_waves
from oleanderwood.maintenance import rolling

Kind = troubles.Kind

HELD_UP_SEEDS = (4, 10, 19)
ANSWERS_LOST_SEEDS = (1, 2, 4, 5)

STALLING_SEEDS = (1, 2)
"""Those in which both machines that may be down get no first answer."""


def _play(seed, *rows):
    return day.play(day.Plan(seed, length_s=10.0, troubles=rows))


def _held_up(seed):
    return _play(seed, troubles.Trouble(Kind.MACHINE_ORDER_HELD_UP, 2.0, 3.5))


def _forget_orders_in_doubt(patch):
    patch.setattr(stored_waves, '_add_in_doubt', lambda progress, names: None)


@pytest.mark.parametrize('seed', HELD_UP_SEEDS)
def test_held_up_order_takes_no_machine_too_many(seed):
    """Guards against a late order beside those of the next leader (LIMIT)."""
    result = _held_up(seed)
    assert not result.breaches and not result.unfinished


@pytest.mark.parametrize('seed', HELD_UP_SEEDS)
def test_leader_that_forgets_orders_in_doubt_is_revealed(seed, monkeypatch):
    _forget_orders_in_doubt(monkeypatch)
    breaches = _held_up(seed).breaches
    assert any(row.startswith('LIMIT') for row in breaches)


def test_waves_that_share_machines_keep_their_limits():
    """Guards against orders in doubt of one wave that another one repeats.

    Three waves ask for the same machines while orders are held up.
    """
    drawn = troubles.draw(610041, 12.0, 2, troubles.LAB_KINDS)
    drawn += troubles.draw(610041, 12.0, 3, troubles.ORDER_KINDS)
    wanted = features.draw(610041, 2)
    plan = day.Plan(
        610041,
        troubles=tuple(drawn),
        features=wanted,
        finish_s=features.finish_s(wanted, day.FINISH_S),
    )
    result = day.play(plan)
    assert not result.breaches and not result.unfinished


def _answers_lost(seed):
    return _play(seed, troubles.Trouble(Kind.MACHINE_ANSWERS_LOST, 2.0, 5.0))


def _maintained(result):
    """Return the machines that have had their maintenance."""
    return {
        sight.place
        for sight in result.evidence.sights
        if sight.kind is evidences.Kind.MAINTAINED
    }


def _count_repetitions(patch):
    """Let the repetition of an order in doubt wait for a free slot."""
    real = rolling.decide

    def decide(progress, *arguments):
        decision = real(progress, *arguments)
        slots = progress.wave.most_at_once - len(progress.down)
        decision.order = decision.order[: max(0, slots)]
        return decision

    patch.setattr(rolling, 'decide', decide)


WAVE_MACHINES = 5
"""Half of the machines of these days."""


@pytest.mark.parametrize('seed', ANSWERS_LOST_SEEDS)
def test_wave_goes_on_after_lost_answers(seed):
    """Guards against a wave that stands still for orders in doubt."""
    result = _answers_lost(seed)
    assert not result.breaches and not result.unfinished
    assert len(_maintained(result)) == WAVE_MACHINES


@pytest.mark.parametrize('seed', STALLING_SEEDS)
def test_wave_that_does_not_repeat_orders_is_revealed(seed, monkeypatch):
    _count_repetitions(monkeypatch)
    assert len(_maintained(_answers_lost(seed))) < WAVE_MACHINES
