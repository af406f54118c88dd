"""Tests of http_server and http_client against each other."""

import curio
import pytest

from oleanderwood import errors
from oleanderwood import verdict as verdicts
from oleanderwood.web import http
from oleanderwood.web import http_client
from oleanderwood.web import http_server


async def _echo(request):
    body = await http.read_all(request.body, 1000)
    if request.target == '/bad':
        raise errors.BadMessage(413, 'too large')
    return http.Response(200, [], b'got ' + body)


async def _with_server(handler, use):
    server = http_server.listen('127.0.0.1:0', handler)
    task = await curio.spawn(http_server.run, server)
    result = await use(server)
    await http_server.stop(server)
    await task.join()
    return result


def test_call_gives_whole_answer():
    async def use(server):
        return await http_client.call(server.address, 'POST', '/', b'abc')

    response = curio.run(_with_server, _echo, use)
    assert (response.status, response.body) == (200, b'got abc')


def test_connection_is_kept_alive():
    async def use(server):
        connection = await http_client.connect(server.address, 1.0)
        seen = []
        for number in range(3):
            response = await http_client.exchange(
                connection, 'POST', '/', [(b'host', b'a')], b'%d' % number
            )
            seen.append(await http.read_all(response.body, 100))
            assert http_client.is_reusable(connection)
        await http.close(connection.sock)
        return seen

    seen = curio.run(_with_server, _echo, use)
    assert seen == [b'got 0', b'got 1', b'got 2']


def test_refused_connection_is_not_run():
    async def use(server):
        return server.address

    address = curio.run(_with_server, _echo, use)
    with pytest.raises(errors.CallFailed) as caught:
        curio.run(http_client.call, address, 'GET', '/')
    assert caught.value.verdict is verdicts.Verdict.NOT_RUN


def test_cut_answer_may_have_run():
    async def cut(request):
        raise ConnectionResetError('cut')

    async def use(server):
        with pytest.raises(errors.CallFailed) as caught:
            await http_client.call(server.address, 'GET', '/')
        return caught.value.verdict

    verdict = curio.run(_with_server, cut, use)
    assert verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_stop_cuts_no_request_in_flight():
    started = curio.Event()
    go_on = curio.Event()

    async def wait(request):
        await started.set()
        await go_on.wait()
        return http.Response(200, [], b'whole')

    async def use(server):
        call = await curio.spawn(
            http_client.call, server.address, 'GET', '/', b'', 2.0
        )
        await started.wait()
        stopping = await curio.spawn(http_server.stop, server)
        await curio.sleep(0.1)
        await go_on.set()
        await stopping.join()
        return await call.join()

    response = curio.run(_with_server, wait, use)
    assert response.body == b'whole'
    assert response.header('connection') == 'close'


def test_failing_handler_is_answered_500_and_ends_no_other():
    async def fail(request):
        if request.target == '/fail':
            raise LookupError('a defect')
        return http.Response(200, [], b'fine')

    async def use(server):
        connection = await http_client.connect(server.address, 1.0)
        failed = await http_client.call(server.address, 'GET', '/fail')
        assert failed.status == 500
        response = await http_client.exchange(
            connection, 'GET', '/', [(b'host', b'a')]
        )
        body = await http.read_all(response.body, 100)
        await http.close(connection.sock)
        return body

    assert curio.run(_with_server, fail, use) == b'fine'
