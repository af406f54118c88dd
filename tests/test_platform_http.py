"""Tests of platform_http against a small server of its own."""

import curio
import pytest

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import platform_http
from oleanderwood import verdict as verdicts

VM = ids.VmId('a-1')
UP = platform_api.PlatformVm(VM, platform_api.PlatformVmState.UP, 'b1', True)
LISTING = platform_api.VmListing(7, ())


def _ask(use, answers):
    """Run ``use(platform)`` against a server that gives the answers."""
    seen = []

    async def handle(request):
        body = await http.read_all(request.body, 1000)
        seen.append((request.method, request.target, body))
        status, value = answers[min(len(seen), len(answers)) - 1]
        body = b'' if value is None else codec.to_json(value)
        return http.Response(status, [], body)

    async def main():
        server = http_server.listen('127.0.0.1:0', handle)
        task = await curio.spawn(http_server.run, server)
        calls = []
        platform = platform_http.connect(
            server.address,
            on_call=lambda name, outcome: calls.append((name, outcome)),
        )
        try:
            result = await use(platform)
        finally:
            await http_server.stop(server)
            await task.join()
        return result, calls

    result, calls = curio.run(main)
    return result, seen, calls


def test_listing_and_unchanged_listing():
    async def use(platform):
        return [await platform.list_vms(0), await platform.list_vms(7)]

    result, seen, _ = _ask(use, [(200, LISTING), (304, None)])
    assert result == [LISTING, None]
    assert [target for _, target, _ in seen] == [
        '/v1/vms?since=0',
        '/v1/vms?since=7',
    ]


def test_order_carries_its_operation_id():
    order = platform_api.Command(ids.OperationId('op-1'))
    _, seen, _ = _ask(lambda p: p.drain(VM, order), [(202, None)])
    assert seen == [('POST', '/v1/vms/a-1/drain', b'{"operation":"op-1"}')]


def test_task_calls_carry_the_epoch():
    _, seen, _ = _ask(lambda p: p.stop_task(VM, 't', 4), [(202, None)])
    assert seen == [('POST', '/v1/workers/a-1/tasks/t/stop', b'{"epoch":4}')]


@pytest.mark.parametrize('status', (404, 409, 507))
def test_refusal_is_proof_that_nothing_ran(status):
    async def use(platform):
        with pytest.raises(platform_api.Refused) as caught:
            await platform.vm_status(VM)
        return caught.value

    error, _, calls = _ask(use, [(status, None)])
    assert error.status == status
    assert error.verdict is verdicts.Verdict.NOT_RUN
    assert calls == [('vm_status', 'not-run')]


def test_server_error_proves_nothing():
    async def use(platform):
        with pytest.raises(errors.CallFailed) as caught:
            await platform.reboot(VM, platform_api.Command('op'))
        return caught.value

    error, _, _ = _ask(use, [(500, None)])
    assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_closed_idle_connection_is_replaced():
    async def use(platform):
        first = await platform.vm_status(VM)
        link = platform.vm_status.__closure__[0].cell_contents
        await link.idle[0].sock.close()
        return first, await platform.vm_status(VM)

    (first, second), seen, _ = _ask(use, [(200, UP)])
    assert first == second == UP
    assert len(seen) == 2


def test_no_connection_is_not_run():
    async def main():
        platform = platform_http.connect('127.0.0.1:1', timeout_s=1.0)
        with pytest.raises(errors.CallFailed) as caught:
            await platform.usage()
        return caught.value.verdict

    assert curio.run(main) is verdicts.Verdict.NOT_RUN


def test_failed_repeat_does_not_hide_the_first_attempt():
    answer = b'HTTP/1.1 202 \r\ncontent-length: 0\r\n\r\n'

    async def answer_one_of_two(listener):
        sock, _ = await listener.accept()
        await sock.recv(1000)
        await sock.sendall(answer)
        await sock.recv(1000)
        await listener.close()
        await sock.close()

    async def main():
        listener = curio.socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(1)
        task = await curio.spawn(answer_one_of_two, listener)
        host, port = listener.getsockname()
        platform = platform_http.connect(ids.Address(f'{host}:{port}'))
        order = platform_api.Command(ids.OperationId('op'))
        await platform.reboot(VM, order)
        with pytest.raises(errors.CallFailed) as caught:
            await platform.reboot(VM, order)
        await task.join()
        return caught.value.verdict

    assert curio.run(main) is verdicts.Verdict.MAY_HAVE_RUN
