"""Tests of proxy and attempt: the request path over real sockets."""

import curio
import h11
import msgspec
import pytest

from oleanderwood import connections
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import retry
from oleanderwood import verdict as verdicts
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
    assert len(seen) == len(lines)
    assert seen['x-end'] == '2'
    assert 'x-hop' not in seen and 'te' not in seen
    assert seen['oleander-epoch'] == '3'
    assert seen['oleander-pool'] == 'p'
    assert seen['oleander-request-id'] == 'e-1-1'
    assert seen['oleander-team'] == utils.TEAM
    assert 0 < int(seen['oleander-timeout-ms']) <= 4000


async def talk(world, data, *more):
    """Send bytes as a caller, and give all that comes back."""
    host, port = http.split_address(world.server.address)
    sock = await curio.open_connection(host, port)
    async with sock:
        await sock.sendall(data)
        for piece in more:
            await curio.sleep(0.05)
            await sock.sendall(piece)
        received = b''
        async with curio.ignore_after(3.0):
            while piece := await sock.recv(65536):
                received += piece
        return received


def head(method=b'GET', target=b'/s', version=b'1.1', *headers):
    lines = [method + b' ' + target + b' HTTP/' + version]
    lines += [b'host: a', b'oleander-team: ' + utils.TEAM.encode(), *headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


CLOSE = b'connection: close'
CHUNKED = b'transfer-encoding: chunked'


async def read_request(sock, size_bytes=0):
    data = b''
    while b'\r\n\r\n' not in data:
        data += await sock.recv(65536)
    head_bytes = data.index(b'\r\n\r\n') + 4
    while len(data) < head_bytes + size_bytes:
        data += await sock.recv(65536)
    return data


def test_large_bodies_stream_both_ways():
    async def stream(request):
        return http.Response(200, [], request.body)

    piece = bytes(range(256)) * 256

    async def use(world):
        connection = await http_client.connect(world.server.address, 1.0)
        request = utils.chunked_request('/s')
        await http_client.send_events(connection, request)
        count = 64

        async def upload():
            for _ in range(count):
                await http_client.send_events(connection, h11.Data(data=piece))
            await http_client.send_events(connection, h11.EndOfMessage())

        task = await curio.spawn(upload)
        response = await http_client.read_head(connection)
        received = await http.read_all(response.body, 1 << 30)
        await task.join()
        await http.close(connection.sock)
        return received == piece * count

    assert utils.run(use, stream)


@pytest.mark.parametrize(
    ('data', 'status', 'verdict'),
    [
        (head(b'GET', b'/none', b'1.1', CLOSE), 404, 'not-run'),
        (
            head(b'POST', b'/s', b'1.1', CHUNKED, b'content-length: 3'),
            400,
            'not-run',
        ),
        (
            head(b'POST', b'/s', b'1.1', b'content-length: 99'),
            413,
            'not-run',
        ),
        (
            head(b'POST', b'/s', b'1.1', CHUNKED)
            + b'20\r\n'
            + b'x' * 32
            + b'\r\n40\r\n'
            + b'x' * 64
            + b'\r\n0\r\n\r\n',
            413,
            'may-have-run',
        ),
        (
            head(b'POST', b'/s', b'1.1', CHUNKED) + b'zz\r\n',
            400,
            'may-have-run',
        ),
        (head(b'GET', b'/s', b'1.1', b'a: ' + b'x' * 200000), 431, 'not-run'),
        (head(b'GET', b'/s', b'1.1', b'bad header'), 400, 'not-run'),
        (b'\x16\x03\x01nonsense\r\n\r\n', 400, 'not-run'),
        (
            head(b'GET', b'/s', b'1.1', b'oleander-priority: x', CLOSE),
            400,
            'not-run',
        ),
        (
            head(b'GET', b'/s', b'1.1', b'oleander-timeout-ms: -1', CLOSE),
            400,
            'not-run',
        ),
    ],
)
def test_bad_input_is_refused(data, status, verdict):
    async def use(world):
        return await talk(world, data)

    received = utils.run(use, echo, max_body_bytes=64)
    assert received.startswith(b'HTTP/1.1 %d ' % status), received
    assert b'oleander-verdict: ' + verdict.encode() in received.lower()


def test_body_is_asked_for_after_admission_only():
    expecting = head(
        b'POST',
        b'/s',
        b'1.1',
        CLOSE,
        b'content-length: 3',
        b'expect: 100-continue',
    )

    async def use(world):
        served = await talk(world, expecting, b'abc')
        world.allowed = False
        return served, await talk(world, expecting)

    served, refused = utils.run(use, echo)
    assert served.startswith(b'HTTP/1.1 100 ')
    assert served.endswith(b'abc')
    assert refused.startswith(b'HTTP/1.1 503 ')
    assert b'oleander-verdict: not-run' in refused.lower()


@pytest.mark.parametrize(
    ('method', 'status', 'length'),
    [
        (b'HEAD', 200, b'content-length: 5'),
        (b'GET', 204, None),
        (b'GET', 304, None),
    ],
)
def test_answers_without_body(method, status, length):
    async def answer(request):
        body = b'' if status != 200 else b'12345'
        if request.method == 'HEAD':
            return http.Response(200, [(b'content-length', b'5')])
        return http.Response(status, [], body)

    async def use(world):
        twice = head(method) + head(method, b'/s', b'1.1', CLOSE)
        return await talk(world, twice)

    received = utils.run(use, answer)
    assert received.count(b'HTTP/1.1 %d ' % status) == 2
    assert received.endswith(b'\r\n\r\n')
    if length:
        assert received.lower().count(length) == 2


def test_http_1_0_caller_gets_whole_answer():
    async def stream(request):
        async def pieces():
            yield b'abc'
            yield b'def'

        return http.Response(200, [], pieces())

    async def use(world):
        return await talk(world, head(b'GET', b'/s', b'1.0'))

    received = utils.run(use, stream)
    assert received.endswith(b'\r\n\r\nabcdef')
    assert CHUNKED not in received.lower()


def test_early_answer_ends_the_upload():
    async def full(sock):
        await read_request(sock)
        await sock.sendall(b'HTTP/1.1 507 Full\r\ncontent-length: 2\r\n\r\nno')
        await curio.sleep(0.2)

    async def use(world):
        start = head(b'POST', b'/s', b'1.1', b'content-length: 100000000')
        return await talk(world, start + b'x' * 70000)

    received = utils.run(use, full, raw=True)
    assert received.startswith(b'HTTP/1.1 507 ')
    assert received.endswith(b'\r\n\r\nno')


def test_caller_that_leaves_frees_the_upstream():
    seen = []

    async def hang(sock):
        await read_request(sock)
        seen.append('request')
        async with curio.ignore_after(3.0):
            seen.append(await sock.recv(10))

    async def use(world):
        host, port = http.split_address(world.server.address)
        sock = await curio.open_connection(host, port)
        await sock.sendall(head())
        while not seen:
            await curio.sleep(0.01)
        await sock.close()
        while len(seen) < 2:
            await curio.sleep(0.01)

    utils.run(use, hang, raw=True)
    assert seen == ['request', b'']


def test_deadline_ends_the_request():
    async def hang(request):
        await curio.sleep(5)

    async def use(world):
        started = [(b'oleander-timeout-ms', b'150')]
        response = await call(world, headers=started)
        states = world.proxy.tickets.state.services.values()
        return response, [dict(state.upstreams.healths) for state in states]

    response, (healths,) = utils.run(use, hang)
    assert response.status == 504
    assert response.header('oleander-verdict') == 'may-have-run'
    assert not any(health.failures for health in healths.values())


def test_upstream_that_hangs_is_given_up():
    async def hang(request):
        await curio.sleep(5)

    async def use(world):
        response = await call(world, 'POST', body=b'x')
        (state,) = world.proxy.tickets.state.services.values()
        return response, dict(state.upstreams.healths)

    response, healths = utils.run(use, hang, timeout_s=0.2)
    assert response.status == 504
    assert response.header('oleander-verdict') == 'may-have-run'
    assert sum(health.failures for health in healths.values()) == 1


def test_caller_that_leaves_the_queue_frees_its_place():
    started = []

    async def slow(request):
        started.append(request.target)
        await curio.sleep(0.6)
        return http.Response(200, [], b'')

    async def use(world):
        first = await curio.spawn(call, world, 'GET', '/s/1')
        while not started:
            await curio.sleep(0.01)
        waiting = [
            await curio.spawn(call, world, 'GET', f'/s/gone/{number}')
            for number in range(3)
        ]
        while not world.proxy.tickets.waiters:
            await curio.sleep(0.01)
        last = await curio.spawn(call, world, 'GET', '/s/2')
        for task in waiting:
            await task.cancel()
        return [(await task.join()).status for task in (first, last)]

    statuses = utils.run(use, slow, slots=1, connections=1)
    assert statuses == [200, 200]
    assert started == ['/s/1', '/s/2']


def test_not_run_is_retried_elsewhere():
    async def use(world):
        vm = next(iter(world.proxy.rows))
        dead = msgspec.structs.replace(
            world.proxy.rows[vm], address='127.0.0.1:1'
        )
        world.proxy.rows[vm] = dead
        return [(await call(world, 'POST')).status for _ in range(4)]

    assert utils.run(use, echo, echo, retry_share=1.0) == [200] * 4


@pytest.mark.parametrize('idempotent', [True, False])
def test_only_idempotent_requests_run_again(idempotent):
    runs = []

    async def cut_first(request):
        await http.read_all(request.body, 100)
        runs.append(request.target)
        if len(runs) == 1:
            raise ConnectionResetError('cut')
        return http.Response(200, [], b'ok')

    async def use(world):
        return await call(world, 'POST', body=b'x')

    response = utils.run(use, cut_first, cut_first, idempotent=idempotent)
    if idempotent:
        assert (response.status, len(runs)) == (200, 2)
    else:
        assert (response.status, len(runs)) == (502, 1)
        assert response.header('oleander-verdict') == 'may-have-run'
        assert response.header('retry-after') is None


def test_consumed_body_is_not_sent_again():
    bodies = []

    async def cut(request):
        bodies.append(await http.read_all(request.body, 100))
        raise ConnectionResetError('cut')

    async def use(world):
        start = head(b'POST', b'/s', b'1.1', CLOSE, CHUNKED)
        return await talk(world, start + b'3\r\nabc\r\n0\r\n\r\n')

    received = utils.run(use, cut, cut, idempotent=True, retry_share=1.0)
    assert received.startswith(b'HTTP/1.1 502 ')
    assert b'oleander-verdict: may-have-run' in received.lower()
    assert bodies == [b'abc']


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n',
        b'HTTP/1.1 200 OK\r\n\r\nabc',
        b'HTTP/1.1 200',
    ],
)
def test_cut_answer_is_never_whole(answer):
    async def cut(sock):
        await read_request(sock)
        await sock.sendall(answer)

    async def use(world):
        try:
            response = await call(world)
        except errors.CallFailed as error:
            return error.verdict
        assert response.status == 502
        assert response.header('oleander-verdict') == 'may-have-run'
        return verdicts.Verdict.MAY_HAVE_RUN

    verdict = utils.run(use, cut, raw=True)
    assert verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_late_answer_dies_with_its_connection():
    """The first answer comes after its deadline, on its own connection."""

    async def late(request):
        if request.target == '/s/1':
            await curio.sleep(0.3)
        return http.Response(200, [], request.target.encode())

    async def use(world):
        soon = [(b'oleander-timeout-ms', b'150')]
        bodies = [(await call(world, target='/s/1', headers=soon)).status]
        for number in range(2, 6):
            target = f'/s/{number}'
            bodies.append((await call(world, target=target)).body)
            await curio.sleep(0.1)
        return bodies

    assert utils.run(use, late) == [504, b'/s/2', b'/s/3', b'/s/4', b'/s/5']


def test_closed_kept_connection_is_replaced():
    async def once(sock):
        await read_request(sock)
        await sock.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')

    async def use(world):
        statuses = []
        for _ in range(3):
            statuses.append((await call(world, 'POST')).status)
            await curio.sleep(0.05)
        return statuses

    assert utils.run(use, once, raw=True) == [200, 200, 200]


def test_unasked_bytes_are_no_answer():
    async def twice(sock):
        await read_request(sock)
        answer = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n'
        await sock.sendall(answer + b'ok' + answer + b'no')
        await curio.sleep(0.5)

    async def use(world):
        return [(await call(world)).body for _ in range(2)]

    assert utils.run(use, twice, raw=True) == [b'ok', b'ok']


def test_without_permission_nothing_is_sent():
    async def use(world):
        world.allowed = False
        return await call(world, 'POST')

    response = utils.run(use, echo)
    assert response.status == 503
    assert response.header('oleander-verdict') == 'not-run'
    assert int(response.header('retry-after')) >= 1


def test_promised_refusal_is_retried():
    calls = []

    async def busy_once(request):
        calls.append(request.target)
        return http.Response(503 if len(calls) == 1 else 200, [], b'')

    async def use(world):
        return (await call(world, 'POST')).status

    status = utils.run(use, busy_once, busy_once, refusal_statuses=(503,))
    assert (status, len(calls)) == (200, 2)


def test_requests_wait_for_slots():
    async def slow(request):
        await curio.sleep(0.02)
        return http.Response(200, [], request.target.encode())

    async def use(world):
        async def one(number):
            return (await call(world, target=f'/s/{number}')).body

        async with curio.TaskGroup(wait=all) as group:
            for number in range(40):
                await group.spawn(one, number)
        return sorted(group.results)

    expected = sorted(b'/s/%d' % number for number in range(40))
    assert utils.run(use, slow, slow, slots=2) == expected


def test_permission_is_asked_after_the_last_wait(monkeypatch):
    """A grant that ends while the connection opens must not be used."""
    take = connections.take
    runs = []

    async def run(request):
        runs.append(request.target)
        return http.Response(200, [], b'')

    async def use(world):
        async def slow(*arguments):
            taken = await take(*arguments)
            world.allowed = False
            return taken

        monkeypatch.setattr(connections, 'take', slow)
        return await call(world, 'POST')

    response = utils.run(use, run)
    assert (response.status, runs) == (503, [])
    assert response.header('oleander-verdict') == 'not-run'


def test_request_counts_from_first_byte_to_end():
    seen = []

    async def count(request):
        async def pieces():
            seen.append(seen[0].in_flight.total())
            yield b'one'
            seen.append(seen[0].in_flight.total())

        return http.Response(200, [], pieces())

    async def use(world):
        seen.append(world)
        return await call(world)

    assert utils.run(use, count).body == b'one'
    assert seen[1:] == [1, 1]


def test_second_run_is_stopped_before_the_write(monkeypatch):
    """What was decided wrongly is stopped and reported by the attempt."""
    monkeypatch.setattr(retry, 'allowed', lambda *arguments: True)
    runs = []

    async def cut(request):
        runs.append(request.target)
        raise ConnectionResetError('cut')

    async def use(world):
        response = await call(world, 'POST')
        reported = {name for name, _ in world.proxy.path.invariants.recent}
        world.proxy.path.invariants.recent.clear()
        world.proxy.tickets.state.breaches.clear()
        return response, reported

    response, reported = utils.run(use, cut, cut, retry_share=1.0)
    assert len(runs) == 1
    assert reported == {'at-most-once'}
    assert response.header('oleander-verdict') == 'may-have-run'


def test_not_run_is_told_only_if_all_attempts_prove_it(monkeypatch):
    """The decision forgets the first attempt; the answer doesn't."""
    monkeypatch.setattr(retry, 'combine', lambda earlier, latest: latest)
    runs = []

    async def cut_then_refuse(request):
        runs.append(request.target)
        if len(runs) == 1:
            raise ConnectionResetError('cut')
        return http.Response(503, [], b'')

    async def use(world):
        response = await call(world, 'POST')
        reported = {name for name, _ in world.proxy.path.invariants.recent}
        world.proxy.path.invariants.recent.clear()
        return response, reported

    response, reported = utils.run(
        use,
        cut_then_refuse,
        cut_then_refuse,
        idempotent=True,
        retry_share=1.0,
        refusal_statuses=(503,),
    )
    assert reported == {'not-run-is-proven'}
    assert response.header('oleander-verdict') == 'may-have-run'
    assert response.header('retry-after') is None


def test_answer_on_a_connection_of_another_request_is_refused(monkeypatch):
    read_head = http_client.read_head

    async def late(connection):
        response = await read_head(connection)
        if connection.carries.startswith('e-'):
            connection.carries = 'of another'
        return response

    async def use(world):
        response = await call(world, 'POST')
        reported = {name for name, _ in world.proxy.path.invariants.recent}
        world.proxy.path.invariants.recent.clear()
        return response, reported

    monkeypatch.setattr(http_client, 'read_head', late)
    response, reported = utils.run(use, echo)
    assert reported == {'own-answer'}
    assert response.status == 502
    assert response.header('oleander-verdict') == 'may-have-run'
