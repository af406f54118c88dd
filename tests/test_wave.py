"""Tests of wave."""

from oleanderwood import budget
from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import wave
from tests import utils_decisions

WEIGHTS = configuration.Weights()


def _taken(out=0, spent_s=0.0, **changes):
    """Give what a wave takes of four VMs, some of which are out."""
    fields = {'size': 4, 'min_up': 3, 'survives': 'nothing', **changes}
    pools = (utils_decisions.pool(**fields),)
    rows, sites = utils_decisions.fleet_of(('p', 4))
    for index in range(out):
        state = fleet.VmState.REBOOTING
        rows[index] = utils_decisions.row(rows[index].vm, 'p', state)
    spent = {'p': budget.Spent(ids.PoolId('p'), 0.0, spent_s)}
    plan = configuration.Wave(name='w', pools=('p',))
    progress = wave.begin(plan, rows, 0.0)
    conditions = wave.Conditions(sites, spent)
    batch = wave.next_batch(
        plan, progress, pools, rows, 0.0, WEIGHTS, conditions
    )
    return batch.take


def test_takes_no_more_than_the_minimum_allows():
    assert len(_taken()) == 1


def test_vms_that_are_out_leave_no_room():
    assert _taken(out=1) == ()


def test_spent_budget_of_the_quarter_stops_the_wave():
    left_s = utils_decisions.pool().unavailability_budget_s
    assert len(_taken(spent_s=left_s / 2)) == 1
    assert _taken(spent_s=left_s) == ()


def test_losses_to_survive_leave_no_room():
    assert _taken(survives='vm') == ()
    assert len(_taken(survives='vm', min_up=2)) == 1


def test_vm_that_was_out_for_no_time_still_counts_as_out():
    outcome = failure_estimate.Outcome(ids.VmId('v'), 5.0, 5.0, False)
    assert wave.typical_s([outcome]) == wave.SHORTEST_VM_TIME_S
