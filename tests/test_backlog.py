"""Tests of how many cores a pool's waiting work needs."""

import hypothesis
from hypothesis import strategies

from oleanderwood.capacity import backlog


def test_work_with_time_to_spare_needs_fewer_cores():
    urgent = backlog.WaitingTasks(cores=100.0, length_s=2.0, left_s=2.0)
    deferrable = backlog.WaitingTasks(cores=100.0, length_s=2.0, left_s=8.0)
    assert backlog.required_cores([urgent]) == 100.0
    assert backlog.required_cores([deferrable]) == 25.0


def test_the_deadline_that_needs_most_cores_decides():
    rows = [
        backlog.WaitingTasks(cores=60.0, length_s=2.0, left_s=2.0),
        backlog.WaitingTasks(cores=60.0, length_s=2.0, left_s=8.0),
    ]
    assert backlog.required_cores(rows) == 60.0


def test_late_work_asks_for_no_more_than_it_can_use():
    late = backlog.WaitingTasks(cores=80.0, length_s=3.0, left_s=-4.0)
    assert backlog.required_cores([late]) == 80.0


def test_short_work_counts_by_the_time_machines_take_to_come():
    row = backlog.WaitingTasks(cores=90.0, length_s=0.5, left_s=0.4)
    assert backlog.required_cores([row]) == 90.0 * 0.5 / backlog.MIN_LEFT_S


def test_nothing_waiting_asks_for_nothing():
    assert backlog.required_cores([]) == 0.0


ROWS = strategies.lists(
    strategies.builds(
        backlog.WaitingTasks,
        strategies.floats(0.0, 500.0),
        strategies.floats(0.1, 10.0),
        strategies.floats(-10.0, 20.0),
        strategies.sampled_from(backlog.Worth),
    ),
    max_size=12,
)


@hypothesis.given(ROWS)
def test_never_more_than_all_at_once(rows):
    assert (
        backlog.required_cores(rows) <= sum(row.cores for row in rows) + 1e-6
    )


@hypothesis.given(ROWS, ROWS)
def test_more_work_never_asks_for_less(some, more):
    assert (
        backlog.required_cores(some + more)
        >= backlog.required_cores(some) - 1e-6
    )


@hypothesis.given(ROWS)
def test_parts_by_worth_make_up_the_whole(rows):
    parts = backlog.required_by_worth(rows)
    assert min(parts.values()) >= 0.0
    whole = backlog.required_cores(rows)
    assert abs(sum(parts.values()) - whole) < 1e-6
