"""Callers that only wait take no place from those that ask.

Story: connections beyond the bound waited until another ended, and one that
waits for its next request ends after 75 s, or 10 s within a head. Callers
that opened as many as may be open and sent nothing kept all others out.
"""

import curio
import pytest

from oleanderwood.web import http
from oleanderwood.web import http_watch
from tests import utils_raw_callers as build

BOUND = 20

BODY = b'host: a\r\ncontent-length: 99\r\n\r\n'
"""The rest of a head; its body is never whole."""


@pytest.fixture(autouse=True)
def no_time_is_spared(monkeypatch):
    monkeypatch.setattr(http_watch, 'SPARED_S', 0.0)


async def _open(server, sent):
    socks = []
    for _ in range(BOUND):
        sock = await build.connect(server)
        await sock.sendall(sent)
        socks.append(sock)
    async with curio.timeout_after(build.PATIENCE_S):
        while len(server.connections) < BOUND:
            await curio.sleep(0.01)
    return socks


@pytest.mark.parametrize('sent', [b'', b'GET / HTTP/1.1\r\n', build.NEXT])
def test_good_caller_is_served_beside_many_that_wait(sent):
    async def use(server):
        socks = await _open(server, sent)
        for _ in range(3):
            assert await build.is_served(server)
            assert len(server.connections) <= BOUND
        for sock in socks:
            await sock.close()

    build.with_server(use, max_connections=BOUND)


def test_request_in_hand_is_not_ended_for_another():
    go_on = curio.Event()
    begun = curio.Event()

    async def wait(request):
        if request.target == '/wait':
            await begun.set()
            await go_on.wait()
        return http.Response(200, [], b'done;')

    async def use(server):
        head = b'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n'
        async with await build.connect(server) as busy:
            await busy.sendall(head)
            await begun.wait()
            async with await build.connect(server) as idle:
                async with await build.connect(server) as asking:
                    await asking.sendall(build.NEXT)
                    assert await build.read_until(asking, b'done;')
                assert await build.read_to_end(idle) == b''
            await go_on.set()
            return await build.read_until(busy, b'done;')

    build.with_server(use, wait, max_connections=2)


@pytest.mark.parametrize('sent', [b'GET / HT', b'POST / HTTP/1.1\r\n' + BODY])
def test_good_callers_are_served_beside_many_that_send_slowly(sent):
    async def use(server):
        socks = [await build.connect(server) for _ in range(200)]
        for sock in socks:
            await sock.sendall(sent)
        for _ in range(5):
            assert await build.is_served(server)
            for sock in socks:
                await sock.sendall(b'x')
        for sock in socks:
            await sock.close()

    build.with_server(use)
