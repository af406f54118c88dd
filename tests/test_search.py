"""Faults at every call of a small day; CI plays a part of them."""

import pytest

from emulator import network as networks
from emulator import search
from oleanderwood.leading import ordering

STRIDE = 17
"""Every so many-th fault; ``python -m emulator.search`` plays them all."""

NUMBERS = search.calls(search.PLAN)
SOME = list(search.single(NUMBERS))[::STRIDE]


def _told(faults):
    return ','.join(f'{n}-{fate.value}' for n, fate in faults.items())


def test_calm_day_is_the_same_each_time_and_has_calls_to_spoil():
    assert search.calls(search.PLAN) == NUMBERS
    assert len(NUMBERS) > 100
    assert not search.breaches(search.PLAN, {})


@pytest.mark.parametrize('faults', SOME, ids=_told)
def test_one_fault_breaks_nothing(faults):
    assert not search.breaches(search.PLAN, faults)


def test_search_finds_a_start_that_is_taken_for_not_run(monkeypatch):
    async def forget(leader, worker, task, run, error):
        if task.run is run:
            await ordering._not_started(leader, worker, task, 'lost')

    monkeypatch.setattr(ordering, '_start_unanswered', forget)
    fates = (networks.Fate.ANSWER_LOST, networks.Fate.LATE)
    assert any(
        search.breaches(search.PLAN, {number: fate})
        for number in NUMBERS
        for fate in fates
    )
