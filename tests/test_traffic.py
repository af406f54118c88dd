"""Tests of traffic, and of the adapters that count by it."""

import curio
import prometheus_client

from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import operations
from oleanderwood import store_http
from oleanderwood import traffic

VALUE, _ = operations.wrap((), ids.OperationId('o'), 0, b'v' * 1000)


def _sample(registry, direction):
    labels = {'channel': 'store', 'direction': direction}
    return registry.get_sample_value('oleander_control_bytes_total', labels)


def test_store_calls_are_counted():
    async def answer(request):
        await http.read_all(request.body, 10000)
        return http.Response(200, [(b'version', b'1')], VALUE)

    async def use():
        server = http_server.listen(ids.Address('127.0.0.1:0'), answer)
        task = await curio.spawn(http_server.run, server)
        registry = prometheus_client.CollectorRegistry()
        count = traffic.register(registry).store
        store = store_http.connect([server.address], count=count)
        await store.get('key')
        await http_server.stop(server)
        await task.join()
        return registry

    registry = curio.run(use)
    assert 0 < _sample(registry, 'sent') < 200
    assert len(VALUE) < _sample(registry, 'received') < len(VALUE) + 200
