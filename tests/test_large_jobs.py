"""Tests of scheduling passes over jobs of many steps."""

import time

import pytest

from oleanderwood.leading import lease
from oleanderwood.pools import burst_order
from oleanderwood.pools import lengths
from oleanderwood.pools import waiting_order
from tests import utils_jobs as build

STEPS = 1000
WAITING_STEPS = 15

INDEPENDENT = [build.step() for _ in range(STEPS + WAITING_STEPS)]

FAN_IN = [
    *(build.step() for _ in range(STEPS)),
    *(build.step(after=tuple(range(STEPS))) for _ in range(WAITING_STEPS)),
]

FAN_OUT = [
    build.step(),
    *(build.step(after=(0,)) for _ in range(STEPS)),
]

CHAIN = [
    build.step(),
    *(build.step(after=(number,)) for number in range(STEPS)),
]

SHAPES = {
    'independent': INDEPENDENT,
    'fan-in': FAN_IN,
    'fan-out': FAN_OUT,
    'chain': CHAIN,
}


@pytest.mark.parametrize('is_burst', [False, True])
@pytest.mark.parametrize('shape', SHAPES)
def test_pass_over_a_job_of_many_steps_leaves_time_to_renew_the_lease(
    shape, is_burst
):
    # A pass holds the event loop that renews the lease. The critical path was
    # computed anew for each ready step, which took seconds for such a job: no
    # leader kept its lease.
    ledger = build.ledger_with(build.job(*SHAPES[shape]))
    ordering = burst_order.Ordering({}) if is_burst else None
    began_s = time.process_time()
    ready = waiting_order.ready_by_pool(
        ledger, {}, lengths.Lengths(), 0.0, 1.0, ordering=ordering
    )
    took_s = time.process_time() - began_s
    assert ready[build.POOL]
    assert took_s < lease.RENEW_INTERVAL_S


def test_order_of_the_steps_follows_the_lengths_measured_last():
    # The chains of a job are kept; they must not outlive the measured lengths
    # from which they were computed.
    job = build.job(build.step(guess_ms=100.0), build.step(after=(0,)))
    entry = build.ledger_with(job).entries[build.JOB]
    measured = lengths.Lengths()
    assert lengths.times_of_job(measured, entry).chain_s == 1.1
    group = entry.groups[0, 0]
    for _ in range(lengths.REFIT_TASKS):
        lengths.record(measured, group, 0.3)
    assert lengths.times_of_job(measured, entry).chain_s != 1.1
