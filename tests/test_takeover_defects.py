"""Defects around changes of leader, which the days named must reveal."""

import dataclasses

import msgspec
import pytest

from emulator import day
from emulator import troubles
from oleanderwood.leading import confirmation
from oleanderwood.leading import intake
from oleanderwood.leading import previous_leaders
from oleanderwood.leading import schedule
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from tests import utils_days

Kind = troubles.Kind


def _patch_term(patch, term_of):
    """Make leaders add jobs as if accepted under another term."""
    add_job = intake._add_job

    def add_under_other_term(leader, job, now_s, taking_over, revision=0):
        term = term_of(leader, job, taking_over)
        job = msgspec.structs.replace(job, term=term)
        add_job(leader, job, now_s, taking_over, revision)

    patch.setattr(intake, '_add_job', add_under_other_term)


def _ignore_terms(patch):
    def term_of(leader, job, taking_over):
        return 0 if taking_over else leader.term

    _patch_term(patch, term_of)


def _treat_later_terms_as_own(patch):
    def term_of(leader, job, taking_over):
        return min(job.term, leader.term)

    _patch_term(patch, term_of)


def _skip_asking_previous_leaders(patch):
    """Let the next leader reach no earlier one, which then acts for longer.

    The earlier leader does not learn of the next one from workers either,
    which it calls while it may not act. Both are conditions, not defects: the
    days have to be free of breaches with them.
    """

    async def ask(leader, row):
        return None

    patch.setattr(previous_leaders, '_ask_for_end', ask)
    patch.setattr(worker_loop, '_send_fence', ask)


def _also_skip_asking(inject):
    def both(patch):
        _skip_asking_previous_leaders(patch)
        inject(patch)

    return both


def _act_longer_unreached(patch):
    patch.setattr(confirmation, 'MAX_UNREACHED_S', 60.0)


def _ignore_lease(patch):
    patch.setattr(states, 'may_act', lambda leader: not leader.deposed)


def _ignore_earlier_leases(patch):
    patch.setattr(
        schedule, '_may_have_unknown_runs', lambda worker, now_s: False
    )


def _day(seed, *rows):
    faults = tuple(troubles.Trouble(*row) for row in rows)
    plan = utils_days.takeover_day(seed)
    return dataclasses.replace(plan, press_gap_s=0.1, troubles=faults)


STORE_LAPSE_AND_PARTITION = (Kind.STORE_LAPSES_PARTED,)
CUT_OFF = (Kind.LEADER_PARTED, 1.0, 8.0)
PARTITION_AFTER_OUTAGE = tuple(
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
"""Days on which a leader and half of the others are cut off from the store and
the remaining servers for 18 s, longer than the next leader waits."""

ACCEPTED_BETWEEN = tuple(
    utils_days.takeover_day(seed, STORE_LAPSE_AND_PARTITION)
    for seed in (4000, 4001, 4041, 4048, 4065, 4114)
)
"""Days on which a job is accepted between two leaders. There are several, as a
change of the product may shift the timing of a single day."""

DEFECTS = {
    'takes a job that came after its reading for one never started': (
        _also_skip_asking(_ignore_terms),
        ACCEPTED_BETWEEN,
    ),
    'takes a job of a later term for its own': (
        _also_skip_asking(_treat_later_terms_as_own),
        ACCEPTED_BETWEEN,
    ),
    'acts without the store for longer than it is waited for': (
        _act_longer_unreached,
        PARTITION_AFTER_OUTAGE,
    ),
    'goes on after the end of its lease': (
        _ignore_lease,
        PARTITION_AFTER_OUTAGE,
    ),
    'does not wait for the leases of an earlier leader': (
        _ignore_earlier_leases,
        (_day(1, CUT_OFF),),
    ),
}


@pytest.mark.parametrize('name', DEFECTS)
def test_planted_defect_is_found_and_the_days_are_clean_without(name):
    inject, plans = DEFECTS[name]
    with pytest.MonkeyPatch.context() as patch:
        inject(patch)
        assert any(_runs_twice(plan) for plan in plans)
    for plan in plans:
        _check_clean(plan)


@pytest.mark.parametrize('plan', ACCEPTED_BETWEEN, ids=lambda plan: plan.seed)
def test_days_are_clean_though_no_former_leader_is_asked(monkeypatch, plan):
    _skip_asking_previous_leaders(monkeypatch)
    _check_clean(plan)


def _check_clean(plan):
    result = day.play(plan)
    assert not result.breaches
    assert not result.unfinished


def _runs_twice(plan):
    breaches = day.play(plan).breaches
    return any(line.startswith('TWICE') for line in breaches)
