"""Faulty requests are refused with a reason; nothing of them is a second.

Story: a caller's bytes may pass another program on their way, and both must
see the same requests in them. With both a length and a transfer coding, with
a line that ends with a bare LF or goes on in the next line, the server took
one request where others see two, and answered the hidden one as well. A
preface of HTTP/2 was answered as a request, and its rest as another.
"""

import pytest

from oleanderwood.web import http
from tests import utils_raw_callers as build

POST = b'POST / HTTP/1.1\r\nhost: a\r\n'
GET = b'GET / HTTP/1.1\r\nhost: a\r\n'
CHUNKED = POST + b'transfer-encoding: chunked\r\n\r\n'

FAULTY = {
    'length and coding': (
        POST + b'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'
        b'0\r\n\r\n'
    ),
    'coding and length': (
        POST + b'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n'
        b'0\r\n\r\n'
    ),
    'two lengths': (
        POST + b'content-length: 5\r\ncontent-length: 6\r\n\r\nabcdef'
    ),
    'a list of lengths': POST + b'content-length: 5, 6\r\n\r\nabcdef',
    'a length with a sign': POST + b'content-length: +5\r\n\r\nabcde',
    'a negative length': POST + b'content-length: -5\r\n\r\nabcde',
    'a huge length': POST + b'content-length: ' + b'9' * 40 + b'\r\n\r\n',
    'a folded line': GET + b'x: y\r\n z\r\n\r\n',
    'a folded coding': (
        POST + b'transfer-encoding:\r\n chunked\r\n\r\n0\r\n\r\n'
    ),
    'bare LF': b'GET / HTTP/1.1\nhost: a\n\n',
    'one bare LF': b'GET / HTTP/1.1\r\nhost: a\nx: y\r\n\r\n',
    'a bare LF at the end': GET + b'\n',
    'bare CR': b'GET / HTTP/1.1\r\nhost: a\rx: y\r\n\r\n',
    'a space before the colon': POST + b'content-length : 5\r\n\r\nabcde',
    'a space before a name': b'GET / HTTP/1.1\r\n host: a\r\n\r\n',
    'NUL': GET + b'x: y\0z\r\n\r\n',
    'an unknown coding': (
        POST + b'transfer-encoding: xchunked\r\n\r\n0\r\n\r\n'
    ),
    'two codings': (
        POST + b'transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n'
    ),
    'a coding twice': (
        POST + b'transfer-encoding: chunked\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'a coding in HTTP/1.0': (
        b'POST / HTTP/1.0\r\nhost: a\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'a negative chunk': CHUNKED + b'-1\r\nabc\r\n0\r\n\r\n',
    'a chunk with a sign': CHUNKED + b'+3\r\nabc\r\n0\r\n\r\n',
    'a chunk in C': CHUNKED + b'0x3\r\nabc\r\n0\r\n\r\n',
    'a huge chunk': CHUNKED + b'f' * 21 + b'\r\nabc\r\n0\r\n\r\n',
    'chunks with bare LF': CHUNKED + b'3\nabc\n0\n\n',
    'a chunk that goes on': CHUNKED + b'3\r\nabcX\r\n0\r\n\r\n',
    'a trailer without colon': CHUNKED + b'3\r\nabc\r\n0\r\nx y\r\n\r\n',
    'HTTP/0.9': b'GET /\r\n\r\n',
    'a preface of HTTP/2': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    'another version': b'GET / HTTP/1.9\r\nhost: a\r\n\r\n',
    'a start of TLS': b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n',
    'no host': b'GET / HTTP/1.1\r\n\r\n',
    'two hosts': GET + b'Host: a\r\n\r\n',
}


def refused(received, status):
    """Check that there is one answer, a refusal with a short reason."""
    head, _, reason = received.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status), received
    assert b'connection: close' in head.lower()
    assert received.count(b'HTTP/1.1 ') <= 1 + reason.count(b'HTTP/1.1')
    assert 0 < len(reason) <= 250
    assert b'GET /next 0;' not in received


def answer_to(sent, **settings):
    async def use(server):
        received = await build.send_to_end(server, sent)
        assert await build.is_served(server)
        return received

    return build.with_server(use, **settings)


@pytest.mark.parametrize('name', FAULTY)
def test_faulty_request_is_refused_and_hides_no_other(name):
    refused(answer_to(FAULTY[name] + build.NEXT), 400)


SOUND = {
    'the same length twice': (
        POST + b'content-length: 3\r\ncontent-length: 3\r\n\r\nabc'
    ),
    'a chunk with an extension': CHUNKED + b'3;a=b\r\nabc\r\n0\r\n\r\n',
    'chunks with a trailer': CHUNKED + b'3\r\nabc\r\n0\r\nx: y\r\n\r\n',
    'waits to be asked': (
        POST + b'content-length: 3\r\nexpect: 100-continue\r\n\r\nabc'
    ),
}


@pytest.mark.parametrize('name', SOUND)
def test_sound_request_is_taken_and_so_is_the_next(name):
    async def use(server):
        async with await build.connect(server) as sock:
            await sock.sendall(SOUND[name] + build.NEXT)
            return await build.read_until(sock, b'GET /next 0;')

    assert b'POST / 3;' in build.with_server(use)


def test_request_of_http_1_0_needs_no_host_and_is_the_last():
    received = answer_to(b'GET / HTTP/1.0\r\n\r\n')
    assert received.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('size_bytes', [9_000, 50_000, 100_000, 1_000_000])
def test_target_that_is_too_long_is_told_so(size_bytes):
    target = b'/' + b'a' * size_bytes
    sent = b'GET ' + target + b' HTTP/1.1\r\nhost: a\r\n\r\n'
    refused(answer_to(sent + build.NEXT), 414)


@pytest.mark.parametrize('more_bytes', [1, 30_000, 1_000_000])
@pytest.mark.parametrize('line_bytes', [100, 2_000_000])
def test_head_that_is_too_large_is_told_so(more_bytes, line_bytes):
    size_bytes = http.MAX_HEAD_BYTES + more_bytes
    lines = [
        b'x: ' + b'a' * min(line_bytes, size_bytes - at) + b'\r\n'
        for at in range(0, size_bytes, line_bytes)
    ]
    refused(answer_to(GET + b''.join(lines) + b'\r\n' + build.NEXT), 431)


def test_reason_repeats_little_of_what_was_sent():
    refused(answer_to(GET + b'x' + b'\x01' * 50_000 + b'\r\n\r\n'), 400)


def test_body_that_is_too_large_is_told_so():
    head = POST + b'content-length: 2000\r\n\r\n'
    refused(answer_to(head + b'a' * 2000 + build.NEXT), 413)
