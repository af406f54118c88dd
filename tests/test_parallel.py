"""Tests of concurrent calls."""

import logging

import curio
import pytest

from emulator import virtual
from oleanderwood import errors
from oleanderwood.leading import parallel
from oleanderwood import verdict as verdicts


def _call(after_s, outcome, ended):
    async def call():
        await curio.sleep(after_s)
        ended.append(outcome)
        if outcome is None:
            raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'refused')
        return outcome

    return call


def test_results_come_in_the_order_of_the_calls():
    ended = []
    calls = [_call(0.3, 'a', ended), _call(0.1, 'b', ended)]
    assert virtual.run(lambda: parallel.run(calls)) == ['a', 'b']
    assert ended == ['b', 'a']


def test_failure_ends_no_other_call_and_is_raised_without_a_traceback_logged(
    caplog,
):
    ended = []
    calls = [_call(0.1, None, ended), _call(0.3, 'b', ended)]
    with caplog.at_level(logging.INFO), pytest.raises(errors.CallFailed):
        virtual.run(lambda: parallel.run(calls))
    assert ended == [None, 'b']
    assert not caplog.records
