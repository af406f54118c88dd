"""Faults at every call of a small day; CI plays a part of them."""

import functools

import pytest

from emulator import network as networks
from emulator import search
from oleanderwood.leading import dispatch

STRIDE = 17
"""Every so many-th fault; ``python -m emulator.search`` plays them all."""

NUMBERS = search.calls(search.PLAN)
SOME = list(search.single(NUMBERS))[::STRIDE]


PAIRS = 16
"""Days with a forced change of leader and a fault that are played here."""


def _told(faults):
    return ','.join(f'{n}-{fate.value}' for n, fate in faults.items())


def test_calm_day_is_the_same_each_time_and_has_calls_to_spoil():
    assert search.calls(search.PLAN) == NUMBERS
    assert len(NUMBERS) > 100
    assert not search.breaches(search.PLAN, {})


@pytest.mark.parametrize('faults', SOME, ids=_told)
def test_one_fault_breaks_nothing(faults):
    assert not search.breaches(search.PLAN, faults)


@functools.cache
def _double():
    return list(search.double())


def test_on_each_day_of_two_another_server_leads_while_jobs_come():
    plans = search.forced_plans()
    numbers = [search.calls_around_change(plan) for plan in plans]
    assert min(map(len, numbers)) > 40
    assert len(_double()) == sum(map(len, numbers)) * len(networks.Fate)


@pytest.mark.parametrize('index', range(PAIRS))
def test_change_of_leader_and_a_fault_break_nothing(index):
    # Spread evenly; ``python -m emulator.search --two`` plays them all.
    plan, faults = _double()[index * len(_double()) // PAIRS]
    assert not search.breaches(plan, faults)


def test_search_finds_a_start_that_is_taken_for_not_run(monkeypatch):
    async def forget(leader, worker, task, run, error):
        if task.run is run:
            await dispatch._requeue_unstarted(leader, worker, task, 'lost')

    monkeypatch.setattr(dispatch, '_start_unanswered', forget)
    fates = (networks.Fate.ANSWER_LOST, networks.Fate.LATE)
    assert any(
        search.breaches(search.PLAN, {number: fate})
        for number in NUMBERS
        for fate in fates
    )
