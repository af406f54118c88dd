"""Tests of failure_estimate."""

import pytest

from oleanderwood import failure_estimate
from oleanderwood import ids

MODES = failure_estimate.Mode


def outcomes(text, start_s=0.0, taken_s=0.0):
    """Make an outcome for each letter: ``f`` failed, others did not."""
    return [
        failure_estimate.Outcome(
            ids.VmId(f'{start_s} {index}'),
            start_s + index * 10.0 + taken_s - 5.0,
            start_s + index * 10.0 + taken_s,
            letter == 'f',
        )
        for index, letter in enumerate(text)
    ]


def test_recent_outcomes_count_more():
    early = failure_estimate.estimate(outcomes('ff' + '.' * 20))
    late = failure_estimate.estimate(outcomes('.' * 20 + 'ff'))
    assert late > early


@pytest.mark.parametrize(
    ('text', 'mode'),
    [
        ('', MODES.RUNNING),
        ('.........f', MODES.RUNNING),
        ('f..........................f', MODES.RUNNING),
        ('....ff', MODES.STOPPED),
    ],
)
def test_stops_on_failures_close_together(text, mode):
    assert failure_estimate.judge(outcomes(text), 300.0).mode is mode


def test_widens_with_successes_and_halves_with_a_failure():
    swift = failure_estimate.SWIFT

    def width(text):
        return failure_estimate.judge(outcomes(text), 0.0, swift).width

    assert [width(text) for text in ('', '.', '..', '......f')] == [2, 4, 6, 7]


def test_probes_pause_longer_each_time_then_give_up():
    seen = outcomes('ff')
    waits_s = []
    for _ in range(failure_estimate.MAX_PROBES):
        stopped = failure_estimate.judge(seen, seen[-1].ended_at_s)
        assert stopped.mode is MODES.STOPPED
        waits_s.append(stopped.probe_at_s - seen[-1].ended_at_s)
        due = failure_estimate.judge(seen, stopped.probe_at_s)
        assert (due.mode, due.width) == (MODES.PROBE_DUE, 1)
        seen += outcomes('f', stopped.probe_at_s, 50.0)
    assert waits_s == [600.0, 1200.0, 2400.0, 4800.0]
    assert failure_estimate.judge(seen, 1e9).mode is MODES.GIVEN_UP


def test_a_whole_probe_starts_over_with_a_narrow_width():
    seen = outcomes('.' * 20 + 'ffff') + outcomes('.', 2000.0, 50.0)
    stopped = failure_estimate.judge(seen[:-1], 300.0)
    assert stopped.mode is MODES.STOPPED
    judged = failure_estimate.judge(seen, 2100.0)
    assert judged.mode is MODES.RUNNING
    assert judged.width == 2


def test_vms_that_were_out_when_the_wave_stopped_are_no_probes():
    late = failure_estimate.Outcome(ids.VmId('late'), 0.0, 400.0)
    seen = [*outcomes('ff'), late]
    assert failure_estimate.judge(seen, 450.0).mode is MODES.STOPPED
