"""Tests of feasibility: reasons and remedies."""

import pytest

from oleanderwood import demand
from oleanderwood import feasibility
from oleanderwood import fleet
from tests import utils_placement as utils


def _told(job, team=None, workers=None):
    teams = [utils.make_team()] if team is None else team
    workers = [utils.make_worker()] if workers is None else workers
    found = feasibility.never_run([job], teams, workers, demand.Demand())
    return [(one.reason, one.remedy) for one in found]


@pytest.mark.parametrize(
    ('fields', 'reason', 'remedy'),
    [
        ({'cores': 9.0}, 'has 8 cores', 'a VM with 9 cores'),
        ({'memory_gib': 40.0}, 'and 32 GiB', '40 GiB'),
        ({'accelerators': 1}, '1 accelerators', '1 accelerators'),
        ({'pool': 'q'}, 'pool q has no VM', 'add VMs'),
        ({'team': 'x'}, 'no team x', 'add the team'),
    ],
)
def test_tells_reason_and_remedy(fields, reason, remedy):
    ((told_reason, told_remedy),) = _told(utils.make_job(**fields))
    assert reason in told_reason
    assert remedy in told_remedy


def test_tells_of_quotas():
    team = utils.make_team(max_cores=2.0)
    ((reason, remedy),) = _told(utils.make_job(cores=3.0), [team])
    assert 'quota of team t is 2' in reason
    assert 'raise max_cores of team t to 3' in remedy


def test_one_vm_must_have_all_of_it():
    workers = [
        utils.make_worker(0, cores=64.0, memory_gib=8.0),
        utils.make_worker(1, cores=4.0, memory_gib=256.0),
    ]
    job = utils.make_job(cores=32.0, memory_gib=128.0)
    assert len(_told(job, workers=workers)) == 1


def test_vms_in_maintenance_count_and_broken_ones_do_not():
    job = utils.make_job()
    away = utils.make_worker(state=fleet.VmState.REBOOTING)
    broken = utils.make_worker(state=fleet.VmState.BROKEN)
    assert _told(job, workers=[away]) == []
    assert len(_told(job, workers=[broken])) == 1
