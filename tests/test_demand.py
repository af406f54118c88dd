"""Tests of demand: sizes learned from reports that lag."""

import hypothesis
from hypothesis import strategies

from oleanderwood import demand
from oleanderwood import platform_api
from tests import utils_placement as utils

JOB = utils.make_job(tasks=20, cores=4.0, memory_gib=16.0)


def _observed(count, cores=1.0, memory_gib=4.0, run_s=30.0):
    known = demand.Demand()
    table = utils.make_table([JOB])
    entries = tuple(
        utils.make_entry(
            utils.run(table, f'j:{index}', 'w0', 4.0, 16.0),
            used_cores=cores,
            used_memory_gib=memory_gib,
            run_s=run_s,
        )
        for index in range(count)
    )
    demand.observe(known, platform_api.UsageReport(4.0, entries))
    return known, table


def test_nothing_known_means_the_declared_size():
    assert demand.size(demand.Demand(), JOB) == demand.Size(4.0, 16.0)
    assert demand.run_s(demand.Demand(), JOB) == JOB.expected_run_s


def test_memory_needs_several_measured_tasks():
    few, _ = _observed(2)
    assert demand.size(few, JOB).memory_gib == 16.0
    enough, _ = _observed(3)
    assert demand.size(enough, JOB).memory_gib == 4.0 * 1.1


def test_copies_that_just_started_lower_nothing():
    known, _ = _observed(10, run_s=2.0)
    assert demand.size(known, JOB) == demand.Size(4.0, 16.0)


def test_larger_use_counts_at_once():
    known, table = _observed(1, memory_gib=40.0, run_s=2.0)
    assert demand.size(known, JOB).memory_gib == 40.0 * 1.1
    row = table.rows['j:0']
    one = demand.measured(known, row.job, row.task, row.epoch)
    assert demand.held(known, one, demand.Size(4.0, 16.0)) == demand.Size(
        4.0, 40.0 * 1.1
    )


def test_new_copy_counts_as_given_until_it_is_reported():
    known, table = _observed(5)
    row = table.rows['j:0']
    one = demand.measured(known, row.job, row.task, row.epoch + 1)
    assert one is None
    assert demand.held(known, one, demand.Size(4.0, 16.0)).cores == 4.0


def test_end_is_taken_in_once():
    known, table = _observed(1)
    row = table.rows['j:0']
    done = utils.make_entry(row, platform_api.TaskState.DONE, run_s=33.0)
    for _ in range(3):
        demand.observe(known, platform_api.UsageReport(4.0, (done,)))
    assert known.jobs['j'].run_s == [33.0]
    assert demand.run_s(known, JOB) == 33.0


def test_forgets_jobs_that_are_gone():
    known, _ = _observed(1)
    demand.forget(known, ['j'])
    assert 'j' in known.jobs
    demand.forget(known, [])
    assert known.jobs == {}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    used=strategies.lists(
        strategies.tuples(
            strategies.floats(0.01, 64), strategies.floats(0.01, 256)
        ),
        min_size=1,
        max_size=20,
    )
)
def test_plans_within_its_bounds(used):
    known = demand.Demand()
    table = utils.make_table([JOB])
    entries = tuple(
        utils.make_entry(
            utils.run(table, f'j:{index}'),
            used_cores=cores,
            used_memory_gib=memory_gib,
        )
        for index, (cores, memory_gib) in enumerate(used)
    )
    demand.observe(known, platform_api.UsageReport(4.0, entries))
    size = demand.size(known, JOB)
    assert size.memory_gib >= max(memory for _, memory in used)
    assert size.cores >= JOB.cores * known.caution.min_cores_share
