"""Tests of store_http against the stand-in of the platform's store."""

import random

import curio
import prometheus_client
import pytest

from oleanderwood import backoff
from oleanderwood import errors
from oleanderwood import http_server
from oleanderwood import store_client
from oleanderwood import store_http
from oleanderwood import verdict as verdicts
from standins import faults
from standins import store

TIMING = store_client.Timing(
    backoff.Backoff(0.001, 0.01, 1.0), rng=random.Random(1)
)


def _with_store(use):
    async def main():
        state = store.State(faults.Control())
        handler = faults.faulty(state.control, store.handler(state))
        server = http_server.listen('127.0.0.1:0', handler)
        serving = await curio.spawn(http_server.run, server)
        registry = prometheus_client.CollectorRegistry()
        client = store_http.connect(
            [server.address], registry, timeout_s=0.5, timing=TIMING
        )
        try:
            return await use(client, state, registry)
        finally:
            await http_server.stop(server)
            await serving.join()

    return curio.run(main)


def test_calls():
    async def use(client, state, registry):
        lease = await client.grant(8.0)
        version = await client.swap('a/b c', b'one', 0, 'op-1', lease)
        with pytest.raises(errors.StoreConflict):
            await client.swap('a/b c', b'two', 0, 'op-2', None)
        item = await client.get('a/b c')
        assert (item.value, item.version) == (b'one', version)
        with pytest.raises(TimeoutError):
            await client.watch('a/b c', version, 0.05)
        assert await client.keep_alive(lease) == 8.0
        assert await client.keep_alive('other') == 0.0
        await client.delete('a/b c', version)
        assert await client.watch('a/b c', version, 1.0) is None
        return registry.get_sample_value(
            'oleander_store_calls_total', {'kind': 'put'}
        )

    assert _with_store(use) == 2.0


@pytest.mark.parametrize('fault', ['lose_answer', 'cut_answer', 'refuse'])
def test_writes_run_once_under_faults(fault):
    async def use(client, state, registry):
        state.control.faults = faults.Faults(**{fault: 0.4})
        version = 0
        for number in range(20):
            name = f'op-{number}'
            version = await client.swap('k', b'x', version, name, None)
        return state.cells['k'].version

    assert _with_store(use) == 20


def test_store_that_is_down_is_told():
    async def use(client, state, registry):
        state.control.faults = faults.Faults(down=True)
        with pytest.raises(errors.StoreUnavailable) as caught:
            await client.swap('k', b'x', 0, 'op', None)
        assert caught.value.verdict is not verdicts.Verdict.RAN
        state.control.faults = faults.Faults()
        return await client.swap('k', b'x', 0, 'op-2', None)

    assert _with_store(use) >= 1


def test_burst_bounds_the_calls_after_a_start():
    waits = []

    async def sleep(wait_s):
        waits.append(wait_s)

    timing = store_client.Timing(clock=lambda: 0.0, sleep=sleep)

    async def use():
        state = store.State(faults.Control())
        handler = faults.faulty(state.control, store.handler(state))
        server = http_server.listen('127.0.0.1:0', handler)
        serving = await curio.spawn(http_server.run, server)
        client = store_http.connect(
            [server.address], timing=timing, burst_calls=2.0
        )
        for _ in range(4):
            await client.get('key')
        await http_server.stop(server)
        await serving.join()

    curio.run(use)
    assert len(waits) == 2
