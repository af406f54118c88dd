"""Tests of what ends a leader's term."""

from emulator import day
from oleanderwood.pools import workers as workers_


def test_fault_in_a_workers_loop_ends_the_term_and_the_day_goes_on(
    monkeypatch,
):
    take = workers_.take_report
    faults = []

    def faulty(*arguments):
        outcome = take(*arguments)
        if outcome.lengths and not faults:
            faults.append(1)
            raise ZeroDivisionError
        return outcome

    monkeypatch.setattr(workers_, 'take_report', faulty)
    result = day.play(day.Plan(4))
    assert faults and not result.breaches and not result.unfinished
