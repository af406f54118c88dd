"""Tests of http_server with slow, many and disconnecting peers."""

import math

import curio
import pytest

from oleanderwood.web import http
from oleanderwood.web import http_accepted
from oleanderwood.web import http_server
from oleanderwood.web import http_watch


async def answer(request):
    body = await http.read_all(request.body, 1 << 20)
    return http.Response(200, [], body)


def with_server(use, **settings):
    async def main():
        server = http_server.listen('127.0.0.1:0', answer, **settings)
        serving = await curio.spawn(http_server.run, server)
        try:
            return await use(server)
        finally:
            await serving.cancel()
            assert not server.connections

    return curio.run(main)


async def connect(server):
    return await curio.open_connection(*http.split_address(server.address))


async def read_to_end(sock):
    received = b''
    async with curio.timeout_after(3.0):
        while piece := await sock.recv(65536):
            received += piece
    return received


@pytest.mark.parametrize(
    ('limit', 'sent', 'status'),
    [
        ('KEEP_ALIVE_S', b'', b''),
        ('HEAD_S', b'GET / HTTP/1.1\r\nhost:', b'HTTP/1.1 400 '),
    ],
)
def test_peer_that_sends_no_head_is_ended(monkeypatch, limit, sent, status):
    monkeypatch.setattr(http_server, limit, 0.1)

    async def use(server):
        async with await connect(server) as sock:
            await sock.sendall(sent)
            return await read_to_end(sock)

    received = with_server(use)
    assert received.startswith(status) and bool(received) == bool(status)


def test_peer_that_sends_no_body_is_cut(monkeypatch):
    monkeypatch.setattr(http_accepted, 'BODY_IDLE_S', 0.1)
    head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc'

    async def use(server):
        async with await connect(server) as sock:
            await sock.sendall(head)
            return await read_to_end(sock)

    assert with_server(use) == b''


def test_body_that_trickles_is_refused(monkeypatch):
    monkeypatch.setattr(http_accepted, 'BODY_IDLE_S', 0.2)
    head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n'

    async def use(server):
        async with await connect(server) as sock:
            await sock.sendall(head)
            reading = await curio.spawn(read_to_end, sock)
            for _ in range(10):
                await sock.sendall(b'x')
                await curio.sleep(0.05)
            return await reading.join()

    assert with_server(use).startswith(b'HTTP/1.1 408 ')


def test_connections_over_the_bound_wait():
    async def use(server):
        first = await connect(server)
        second = await connect(server)
        await second.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        await curio.sleep(0.1)
        held = len(server.connections)
        await first.close()
        received = await second.recv(1000)
        await second.close()
        return held, received

    held, received = with_server(use, max_connections=1)
    assert held == 1
    assert received.startswith(b'HTTP/1.1 200 ')


def awaits_input(connection):
    """Return whether a connection waits for input from its peer."""
    return connection.read_deadline_s < math.inf


def test_request_that_arrived_before_the_stop_is_answered():
    async def use(server):
        sock = await connect(server)
        while not any(awaits_input(c) for c in server.connections):
            await curio.sleep(0.01)
        stopping = await curio.spawn(http_server.stop, server)
        await sock.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        received = await read_to_end(sock)
        await sock.close()
        await stopping.join()
        return received

    received = with_server(use)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'connection: close' in received.lower()


def test_request_that_was_sent_before_its_connection_ends_is_answered():
    """No other task runs between sending the request and ending the input."""

    async def use(server):
        async with await connect(server) as sock:
            while not any(awaits_input(c) for c in server.connections):
                await curio.sleep(0.01)
            (connection,) = server.connections
            await sock.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await http_watch.end_input(connection)
            return await read_to_end(sock)

    assert with_server(use).startswith(b'HTTP/1.1 200 ')


def test_pipelined_requests_are_answered_in_order():
    async def use(server):
        async with await connect(server) as sock:
            for number in (b'1', b'2', b'3'):
                await sock.sendall(
                    b'POST / HTTP/1.1\r\nhost: a\r\n'
                    b'content-length: 1\r\n\r\n' + number
                )
            received = b''
            while received.count(b'HTTP/1.1 200 ') < 3 or received[-1:] != (
                b'3'
            ):
                received += await sock.recv(1000)
            return received

    received = with_server(use)
    positions = [received.index(b'\r\n\r\n' + n) for n in (b'1', b'2', b'3')]
    assert positions == sorted(positions)


@pytest.mark.parametrize('cut_answer', [None, http.Response(504, [], b'x')])
def test_request_in_hand_is_answered_when_the_server_ends(cut_answer):
    async def never(request):
        await curio.sleep(30.0)

    async def main():
        server = http_server.listen('127.0.0.1:0', never)
        server.cut_answer = cut_answer
        serving = await curio.spawn(http_server.run, server)
        socks = [await connect(server) for _ in range(3)]
        for sock in socks:
            await sock.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        await curio.sleep(0.1)
        await serving.cancel()
        return [await read_to_end(sock) for sock in socks]

    received = curio.run(main)
    if cut_answer is None:
        assert received == [b''] * 3
    else:
        assert all(row.startswith(b'HTTP/1.1 504 ') for row in received)
        assert all(row.endswith(b'\r\n\r\nx') for row in received)
