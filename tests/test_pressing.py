"""Callers press while a leader changes and when the store comes back."""

import dataclasses

from emulator import day
from emulator import evidence as evidences
from emulator import pressing
from emulator import troubles

KILLED = troubles.Trouble(troubles.Kind.LEADER_KILLED, 1.0, 3.0)
AWAY = troubles.Trouble(troubles.Kind.STORE_DOWN, 1.0, 1.0)
PLAN = day.Plan(
    31, length_s=2.0, jobs_per_s=1.0, finish_s=12.0, press_gap_s=0.02
)


def _sent_s(result):
    """Give when jobs were handed in for the first time."""
    first = {}
    for sight in result.evidence.sights:
        if sight.kind is evidences.Kind.HANDED_IN and sight.how == 'sent':
            first.setdefault(sight.job, sight.at_s)
    return list(first.values())


def _between(times_s, begin_s, end_s):
    return sum(begin_s <= at_s <= end_s for at_s in times_s)


def test_jobs_come_before_and_after_another_server_leads():
    result = day.play(dataclasses.replace(PLAN, troubles=(KILLED,)))
    change_s = result.changes_s[0]
    sent_s = _sent_s(result)
    assert _between(sent_s, change_s - 1.0, change_s) > 30
    after_s = change_s + pressing.AFTER_S
    assert _between(sent_s, change_s, after_s) >= 5
    assert not result.breaches
    assert not result.unfinished


def test_jobs_come_just_before_and_after_the_store_is_back():
    result = day.play(dataclasses.replace(PLAN, troubles=(AWAY,)))
    back_s = PLAN.lead_s + 2.0
    sent_s = _sent_s(result)
    assert _between(sent_s, back_s - pressing.BEFORE_S, back_s) >= 2
    assert _between(sent_s, back_s, back_s + pressing.AFTER_S) >= 5
    assert not result.breaches
    assert not result.unfinished


def test_nobody_presses_unless_asked_to():
    calm = dataclasses.replace(PLAN, press_gap_s=0.0)
    result = day.play(dataclasses.replace(calm, troubles=(KILLED,)))
    assert not result.changes_s
    assert result.handed_in == day.play(calm).handed_in
