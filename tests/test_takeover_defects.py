"""Defects planted around changes of leader, which named days must show."""

import dataclasses

import msgspec
import pytest

from emulator import day
from emulator import troubles
from oleanderwood.leading import confirming
from oleanderwood.leading import former
from oleanderwood.leading import intake
from oleanderwood.leading import schedule
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from tests import utils_days

Kind = troubles.Kind


def _patch_term(patch, term_of):
    """Let leaders take jobs as if accepted under another term."""
    take = intake._take_job

    def blind(leader, job, now_s, taking_over, revision=0):
        term = term_of(leader, job, taking_over)
        job = msgspec.structs.replace(job, term=term)
        take(leader, job, now_s, taking_over, revision)

    patch.setattr(intake, '_take_job', blind)


def _terms_are_ignored(patch):
    def term_of(leader, job, taking_over):
        return 0 if taking_over else leader.term

    _patch_term(patch, term_of)


def _later_terms_are_taken_for_own(patch):
    def term_of(leader, job, taking_over):
        return min(job.term, leader.term)

    _patch_term(patch, term_of)


def _former_leaders_are_unasked(patch):
    """Let the next leader reach no earlier one, which then acts for longer.

    Nor does that one hear of the next by the workers, which it asks while it
    may not act. Both are conditions, no defects: the days have to be clean
    with them.
    """

    async def ask(leader, row):
        return None

    patch.setattr(former, '_ask', ask)
    patch.setattr(worker_loop, '_keep_fenced', ask)


def _and_unasked(plant):
    def both(patch):
        _former_leaders_are_unasked(patch)
        plant(patch)

    return both


def _unreached_for_longer(patch):
    patch.setattr(confirming, 'UNREACHED_S', 60.0)


def _lease_is_ignored(patch):
    patch.setattr(states, 'may_act', lambda leader: not leader.deposed)


def _earlier_leases_are_not_waited_for(patch):
    patch.setattr(schedule, '_may_hold', lambda worker, now_s: False)


def _day(seed, *rows):
    drawn = tuple(troubles.Trouble(*row) for row in rows)
    plan = utils_days.takeover_day(seed)
    return dataclasses.replace(plan, press_gap_s=0.1, troubles=drawn)


PARTED = (Kind.STORE_LAPSES_PARTED,)
CUT_OFF = (Kind.LEADER_PARTED, 1.0, 8.0)
PARTED_AFTER_OUTAGE = tuple(
    dataclasses.replace(
        _day(
            seed,
            (Kind.STORE_LAPSES, 1.0, 3.0),
            (Kind.SIDES_PARTED, 3.9, 6.0),
        ),
        finish_s=40.0,
    )
    for seed in (3, 26, 44)
)
"""Days on which a leader and half of the others are parted from the store and
the rest for 18 s, longer than it is waited for."""

ACCEPTED_BETWEEN = tuple(
    utils_days.takeover_day(seed, PARTED)
    for seed in (4000, 4001, 4041, 4048, 4065, 4114)
)
"""Days on which a job is accepted between two leaders; more than one, since
a change of the product may part the moments of a single day."""

DEFECTS = {
    'takes a job that came after its reading for one never started': (
        _and_unasked(_terms_are_ignored),
        ACCEPTED_BETWEEN,
    ),
    'takes a job of a later term for its own': (
        _and_unasked(_later_terms_are_taken_for_own),
        ACCEPTED_BETWEEN,
    ),
    'acts without the store for longer than it is waited for': (
        _unreached_for_longer,
        PARTED_AFTER_OUTAGE,
    ),
    'goes on after the end of its lease': (
        _lease_is_ignored,
        PARTED_AFTER_OUTAGE,
    ),
    'does not wait for the leases of an earlier leader': (
        _earlier_leases_are_not_waited_for,
        (_day(1, CUT_OFF),),
    ),
}


@pytest.mark.parametrize('name', DEFECTS)
def test_planted_defect_is_found_and_the_days_are_clean_without(name):
    plant, plans = DEFECTS[name]
    with pytest.MonkeyPatch.context() as patch:
        plant(patch)
        assert any(_runs_twice(plan) for plan in plans)
    for plan in plans:
        _play_clean(plan)


@pytest.mark.parametrize('plan', ACCEPTED_BETWEEN, ids=lambda plan: plan.seed)
def test_days_are_clean_though_no_former_leader_is_asked(monkeypatch, plan):
    _former_leaders_are_unasked(monkeypatch)
    _play_clean(plan)


def _play_clean(plan):
    result = day.play(plan)
    assert not result.breaches
    assert not result.unfinished


def _runs_twice(plan):
    breaches = day.play(plan).breaches
    return any(line.startswith('TWICE') for line in breaches)
