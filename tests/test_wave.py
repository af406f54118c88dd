"""Tests of wave."""

from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import ids
from oleanderwood import wave
from tests import utils_decisions

WEIGHTS = configuration.Weights()


def test_takes_no_more_than_the_minimum_allows():
    pools = (utils_decisions.pool(size=4, min_up=3, survives='nothing'),)
    rows, sites = utils_decisions.fleet_of(('p', 4))
    plan = configuration.Wave(name='w', pools=('p',))
    progress = wave.begin(plan, rows, 0.0)
    batch = wave.next_batch(
        plan, progress, pools, rows, 0.0, WEIGHTS, wave.Conditions(sites)
    )
    assert len(batch.take) == 1


def test_vm_that_was_out_for_no_time_still_counts_as_out():
    outcome = failure_estimate.Outcome(ids.VmId('v'), 5.0, 5.0, False)
    assert wave.typical_s([outcome]) == wave.SHORTEST_VM_TIME_S
