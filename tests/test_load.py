"""Tests of load."""

import random

import curio
import pytest

from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import load


def test_arrivals_keep_the_rate():
    starts = list(load.arrivals(1000.0, 5.0, random.Random(1)))
    assert starts == sorted(starts) and starts[-1] < 5.0
    assert abs(len(starts) - 5000) < 300


@pytest.mark.parametrize('rate_per_s', [0.0, 200.0])
def test_answers_and_failures_are_counted(rate_per_s):
    seen = []

    async def every_third_fails(request):
        seen.append(request.target)
        return http.Response(503 if len(seen) % 3 == 0 else 200, [], b'x')

    async def measure():
        server = http_server.listen('127.0.0.1:0', every_third_fails)
        serving = await curio.spawn(http_server.run, server)
        plan = load.Plan(
            address=server.address,
            connections=4,
            rate_per_s=rate_per_s,
            seconds=0.3,
            warm_up_s=0.0,
        )
        summary = await load.run(plan)
        await serving.cancel()
        return summary

    summary = curio.run(measure)
    assert summary.answered + summary.failed['503'] == len(seen)
    assert summary.failed['503'] == len(seen) // 3
    assert 0 < summary.p50_ms <= summary.p99_ms <= summary.max_ms
