"""Tests of what ends a leader's term."""

from emulator import day
from emulator import troubles
from oleanderwood import event_log
from oleanderwood.pools import workers as workers_


def test_fault_in_a_workers_loop_ends_the_term_and_the_day_goes_on(
    monkeypatch,
):
    take = workers_.process_report
    faults = []

    def faulty(*arguments):
        outcome = take(*arguments)
        if outcome.lengths and not faults:
            faults.append(1)
            raise ZeroDivisionError
        return outcome

    monkeypatch.setattr(workers_, 'process_report', faulty)
    result = day.play(day.Plan(4))
    assert faults and not result.breaches and not result.unfinished


def test_new_leader_leads_soon_though_the_store_is_slow(monkeypatch):
    told = []

    def emit(part, event, **fields):
        if (part, event) == ('leader', 'leads'):
            told.append(fields['after_s'])

    monkeypatch.setattr(event_log, 'emit', emit)
    rows = (
        troubles.Trouble(troubles.Kind.STORE_SLOW, 3.0, 5.0),
        troubles.Trouble(troubles.Kind.LEADER_STOPPED, 4.0, 1.0),
    )
    result = day.play(day.Plan(5, troubles=rows))
    assert not result.breaches and not result.unfinished
    # Five sequential reads of 0.2 s each would take 1.02 s.
    assert len(told) == 2 and told[1] < 0.3
