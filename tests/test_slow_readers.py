"""Callers that take no bytes hold no connection for good.

Story: a caller that reads nothing of a refusal kept its connection, and its
place among those that may be open, for as long as it liked: no request was
in hand by then, and only the input of such a connection was ended.
"""

import curio
import pytest

from oleanderwood.web import http
from oleanderwood.web import http_accepted
from tests import utils_raw_callers as build

LARGE = b'a' * (16 << 20)
"""More than the sockets of both sides hold."""


async def answer_large(request):
    return http.Response(200, [], b'' if request.target == '/next' else LARGE)


@pytest.mark.parametrize('kind', ['an answer', 'a refusal'])
def test_caller_that_never_reads_is_cut(monkeypatch, kind):
    monkeypatch.setattr(http_accepted, 'BODY_IDLE_S', 0.2)
    sent = b'GET / HTTP/1.1\r\n'
    if kind == 'an answer':
        sent += b'host: a\r\n'

    async def use(server):
        async with await build.connect(server) as sock:
            await sock.sendall(sent + b'\r\n')
            async with curio.timeout_after(build.PATIENCE_S):
                while not server.connections:
                    await curio.sleep(0.01)
                while server.connections:
                    await curio.sleep(0.05)

    headers = [(b'x', LARGE)]
    build.with_server(use, answer_large, refusal_headers=headers)
