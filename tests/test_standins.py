"""Tests of the stand-ins: each fault shows as it should."""

import curio
import msgspec
import pytest

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import http_client
from oleanderwood import http_server
from oleanderwood import platform_api
from standins import balancer
from standins import faults
from standins import platform
from standins import store
from standins import upstream


async def _use(control, handler, use):
    server = http_server.listen('127.0.0.1:0', faults.faulty(control, handler))
    task = await curio.spawn(http_server.run, server)
    try:
        return await use(server.address)
    finally:
        await task.cancel()


async def _set(address, **values):
    body = codec.to_json(faults.Faults(**values))
    await http_client.call(address, 'POST', '/faults', body)


async def _log(address):
    answer = await http_client.call(address, 'GET', '/log')
    return msgspec.json.decode(answer.body)['entries']


def _with_store(use):
    async def main():
        state = store.State(faults.Control())
        lapsing = await curio.spawn(store.lapse, state, daemon=True)
        result = await _use(state.control, store.handler(state), use)
        await lapsing.cancel()
        return result

    return curio.run(main)


def test_store_compares_and_swaps():
    async def use(address):
        statuses = []
        for version in (0, 0, 1):
            answer = await http_client.call(
                address, 'PUT', f'/v1/keys/a/b?version={version}', b'x'
            )
            statuses.append(answer.status)
        return statuses

    assert _with_store(use) == [200, 409, 200]


def test_store_drops_answer_after_effect():
    async def use(address):
        await _set(address, lose_answer=1.0, only='PUT')
        with pytest.raises(errors.CallFailed):
            await http_client.call(
                address, 'PUT', '/v1/keys/a?version=0', b'x'
            )
        return await http_client.call(address, 'GET', '/v1/keys/a')

    assert _with_store(use).body == b'x'


def test_store_watch_wakes_on_write():
    async def use(address):
        watch = await curio.spawn(
            http_client.call, address, 'GET', '/v1/keys/a?watch=0&wait_s=5'
        )
        await curio.sleep(0.02)
        await http_client.call(address, 'PUT', '/v1/keys/a?version=0', b'x')
        answer = await watch.join()
        late = await http_client.call(
            address, 'GET', '/v1/keys/a?watch=1&wait_s=0.01'
        )
        return answer.status, answer.body, late.status

    assert _with_store(use) == (200, b'x', 304)


def test_store_deletes_keys_of_lapsed_lease():
    async def use(address):
        grant = await http_client.call(
            address, 'POST', '/v1/leases?ttl_s=0.01'
        )
        lease = msgspec.json.decode(grant.body)['lease']
        target = f'/v1/keys/a?version=0&lease={lease}'
        await http_client.call(address, 'PUT', target, b'x')
        answer = await http_client.call(
            address, 'GET', '/v1/keys/a?watch=1&wait_s=5'
        )
        renewal = await http_client.call(
            address, 'POST', f'/v1/leases/{lease}'
        )
        return answer.status, renewal.status

    assert _with_store(use) == (404, 404)


@pytest.mark.parametrize('fault', ['down', 'hang'])
def test_store_without_effect(fault):
    async def use(address):
        await _set(address, **{fault: True})
        with pytest.raises(errors.CallFailed):
            await http_client.call(
                address, 'PUT', '/v1/keys/a?version=0', b'x', 0.1
            )
        await _set(address)
        return await http_client.call(address, 'GET', '/v1/keys/a')

    assert _with_store(use).status == 404


LISTED = platform_api.ListedVm('v1', 'r', 'd', 'k', '127.0.0.1:9')


def _with_platform(use):
    state = platform.make('', 0.0, 0.0)

    async def fill(address):
        body = codec.to_json(platform_api.VmListing(1, (LISTED,)))
        await http_client.call(address, 'POST', '/fleet', body)
        return await use(address)

    return curio.run(_use, state.control, platform.handler(state), fill)


async def _order(address, order, operation):
    body = codec.to_json(platform_api.Command(operation))
    answer = await http_client.call(
        address, 'POST', f'/v1/vms/v1/{order}', body
    )
    return answer.status


async def _status(address):
    answer = await http_client.call(address, 'GET', '/v1/vms/v1')
    return codec.from_json(answer.body, platform_api.PlatformVm)


def test_platform_reboots_once_for_an_operation():
    async def use(address):
        for _ in range(2):
            assert await _order(address, 'reboot', 'op-1') == 202
            await curio.sleep(0.02)
        return await _status(address)

    vm = _with_platform(use)
    assert (vm.boot_id, vm.operations) == ('v1-boot-2', ('op-1',))


def test_platform_repeats_older_list():
    async def use(address):
        await http_client.call(address, 'GET', '/v1/vms?since=0')
        await _set(address, repeat_list=True)
        await http_client.call(address, 'POST', '/vms/v1/gone')
        older = await http_client.call(address, 'GET', '/v1/vms?since=0')
        await _set(address)
        newer = await http_client.call(address, 'GET', '/v1/vms?since=0')
        return [
            len(codec.from_json(a.body, platform_api.VmListing).vms)
            for a in (older, newer)
        ]

    assert _with_platform(use) == [1, 0]


def test_platform_refuses_lower_task_epoch():
    async def start(address, epoch):
        body = codec.to_json(
            platform_api.TaskStart('t', 'j', epoch, f'op-{epoch}', 1.0, 1.0)
        )
        answer = await http_client.call(
            address, 'POST', '/v1/workers/v1/tasks', body
        )
        return answer.status

    async def use(address):
        return [await start(address, epoch) for epoch in (2, 1, 3)]

    assert _with_platform(use) == [202, 409, 202]


def _with_upstream(use):
    async def main():
        state = upstream.State(faults.Control())
        await upstream.add(state, 'v1')
        handler = upstream.control_handler(state)
        vm = state.vms['v1'].server.address
        return await _use(
            state.control, handler, lambda control: use(control, vm)
        )

    return curio.run(main)


def test_upstream_answers_whole_and_bound_to_caller():
    async def use(control, vm):
        answer = await http_client.call(
            vm, 'POST', '/x?answer_bytes=40000', b'abc', 5.0,
            [(b'caller-nonce', b'n1')],
        )  # fmt: skip
        return answer, await _log(control)

    answer, log = _with_upstream(use)
    assert answer.body == upstream.answer_body('n1', 40000)
    assert (log[0]['nonce'], log[0]['ran'], log[0]['sent']) == (
        'n1',
        True,
        True,
    )


def test_upstream_stops_and_starts_at_its_address():
    async def use(control, vm):
        await http_client.call(control, 'POST', '/vms/v1/stop')
        with pytest.raises(errors.CallFailed) as caught:
            await http_client.call(vm, 'GET', '/x')
        await http_client.call(control, 'POST', '/vms/v1/start')
        answer = await http_client.call(vm, 'GET', '/x')
        return caught.value.verdict.value, answer.status

    assert _with_upstream(use) == ('not-run', 200)


def test_cut_answer_is_noticed():
    async def use(control, vm):
        await _set(control, cut_answer=1.0, only='GET /x')
        with pytest.raises(errors.CallFailed) as caught:
            await http_client.call(vm, 'GET', '/x')
        return caught.value.verdict.value

    assert _with_upstream(use) == 'may-have-run'


def test_balancer_forwards_to_ready_entries_alone():
    async def use(control, vm):
        state = balancer.State(faults.Control())
        state.entries = (
            balancer.Entry('e1', vm, control),
            balancer.Entry('e2', control, control),
        )
        state.ready = {'e1'}
        sock = curio.socket.socket()
        sock.bind(('127.0.0.1', 0))
        sock.listen(5)
        accepting = await curio.spawn(balancer.accept, sock, state)
        address = '{}:{}'.format(*sock.getsockname())
        statuses = []
        for _ in range(3):
            answer = await http_client.call(address, 'GET', '/x')
            statuses.append(answer.header('upstream-vm'))
        state.cut = balancer.Cut(share=1.0)
        with pytest.raises(errors.CallFailed):
            await http_client.call(address, 'GET', '/x?answer_bytes=9999')
        await accepting.cancel()
        await sock.close()
        return statuses

    assert _with_upstream(use) == ['v1'] * 3
