"""Tests of proxy and attempt: the request path over real sockets."""

from oleanderwood import http
from oleanderwood import http_client
from tests import utils_entry as utils


async def echo(request):
    body = await http.read_all(request.body, 1 << 30)
    headers = [(name, value) for name, value in request.headers]
    seen = b'\n'.join(name + b': ' + value for name, value in headers)
    if request.target == '/s/headers':
        return http.Response(200, [], seen)
    return http.Response(200, [(b'x-size', b'%d' % len(body))], body)


async def call(world, method='GET', target='/s', body=b'', headers=()):
    return await http_client.call(
        world.server.address,
        method,
        target,
        body,
        headers=utils.team_headers(*headers),
    )


def test_answer_is_passed_on():
    async def use(world):
        return await call(world, 'POST', '/s/x', b'abc')

    response = utils.run(use, echo)
    assert (response.status, response.body) == (200, b'abc')
    assert response.header('oleander-request-id') == 'e-1-1'


def test_only_callers_headers_reach_the_upstream():
    async def use(world):
        return await call(
            world,
            target='/s/headers',
            headers=[
                (b'connection', b'x-hop'),
                (b'x-hop', b'1'),
                (b'x-end', b'2'),
                (b'te', b'trailers'),
                (b'oleander-epoch', b'99'),
                (b'oleander-timeout-ms', b'4000'),
            ],
        )

    lines = utils.run(use, echo).body.decode().splitlines()
    seen = dict(line.split(': ', 1) for line in lines)
    assert seen['x-end'] == '2'
    assert 'x-hop' not in seen and 'te' not in seen
    assert seen['oleander-epoch'] == '3'
    assert seen['oleander-pool'] == 'p'
    assert seen['oleander-request-id'] == 'e-1-1'
    assert seen['oleander-team'] == utils.TEAM
    assert 0 < int(seen['oleander-timeout-ms']) <= 4000
