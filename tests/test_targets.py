"""Tests of request targets: paths, absolute URLs, and malformed ones.

A target such as `//[` was read as a URL with a malformed host and answered
with 500; `//drafts/ID` lost its first part in the same way. An absolute URL
was looked up under the host of the header, although its own host has
precedence. Methods that aren't supported got 404 instead of 405 for paths that
aren't a job's.
"""

import curio
import pytest

from emulator import callers as callers_
from emulator import day
from oleanderwood import errors
from oleanderwood.frontend import targets
from tests import utils_raw_callers as raw
from tests import utils_servers as build

JOB = 'a' * 16


@pytest.mark.parametrize(
    ('target', 'host', 'path'),
    [
        ('/q/1', 'a', '/q/1'),
        ('/q/1?x=/y', 'a', '/q/1'),
        ('//q/1', 'a', '//q/1'),
        ('//[', 'a', '//['),
        ('http://b:80/q/1?x', 'b:80', '/q/1'),
        ('http://b', 'b', '/'),
    ],
)
def test_host_and_path(target, host, path):
    assert targets.split(target, 'a') == (host, path)


BAD = ['*', 'q/1', 'http://[/q/1', 'http:///q/1', 'ftp://b/q', 'b:443']


@pytest.mark.parametrize('target', BAD)
def test_neither_path_nor_url_is_refused(target):
    with pytest.raises(errors.BadMessage) as caught:
        targets.split(target, 'a')
    assert caught.value.status == 400


@pytest.mark.parametrize(
    ('method', 'target', 'status'),
    [
        ('GET', f'//drafts/{JOB}', 404),
        ('GET', '//[', 404),
        ('GET', 'http://[/', 400),
        ('GET', '*', 400),
        ('GET', f'http://{callers_.HOST}/drafts/{JOB}', 410),
        ('GET', f'http://other.example/drafts/{JOB}', 404),
        ('OPTIONS', '*', 405),
        ('CONNECT', 'b:443', 405),
        ('BREW', f'/drafts/{JOB}', 405),
        ('PUT', '/drafts/', 405),
        ('HEAD', '/none/', 405),
    ],
)
def test_request_gets_a_clear_answer(method, target, status):
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        handler = world.network.handlers[process.callers]
        headers = {'host': callers_.HOST}
        try:
            answer = await handler('c', method, target, b'', headers)
        except errors.BadMessage as error:
            return error.status
        return answer.status

    assert build.run(main, day.configuration()) == status


def test_refused_tunnel_is_no_tunnel():
    async def refuse(request):
        raise errors.BadMessage(405, 'not allowed')

    async def use(server):
        head = b'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n'
        async with await raw.connect(server) as sock:
            await sock.sendall(head)
            return await raw.read_until(sock, b'not allowed')

    received = raw.with_server(use, refuse)
    assert received.startswith(b'HTTP/1.1 405 ')
