"""Random requests over failing upstreams, checked from the outside.

The upstreams note what ran; callers note what they were told. Nothing that
the entry counts is used, but for what :func:`utils_entry.run` checks after
each run: nothing in flight, no connection open, no invariant broken.
"""

import collections
import random

import curio
import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from tests import utils_entry as utils

REQUESTS = 24
DEEDS = (
    'ok',
    'ok',
    'ok-chunked',
    'cut-before-running',
    'cut-after-running',
    'cut-answer',
    'refuse',
    'fail',
    'slow',
)
KINDS = ('plain', 'plain', 'hurried', 'leaves', 'chunked', 'large')


def answer_to(nonce):
    """Give the one whole answer to a request."""
    return (f'{nonce}/' * 400).encode()


def failing(rng, runs):
    """Make an upstream that notes what it runs, and fails at random."""

    async def cut(nonce):
        yield answer_to(nonce)[:500]
        raise ConnectionResetError('cut')

    async def whole(nonce):
        body = answer_to(nonce)
        yield body[:700]
        await curio.sleep(0.002)
        yield body[700:]

    async def handle(request):
        nonce = request.header('nonce')
        deed = rng.choice(DEEDS)
        body = await http.read_all(request.body, 1 << 20)
        assert len(body) == int(request.header('size')), nonce
        if deed == 'cut-before-running':
            raise ConnectionResetError('cut')
        if deed == 'refuse':
            return http.Response(503, [], b'full')
        runs[nonce] += 1
        if deed == 'cut-after-running':
            raise ConnectionResetError('cut')
        if deed == 'fail':
            return http.Response(500, [], answer_to(nonce))
        if deed == 'slow':
            await curio.sleep(0.06)
        length = (b'content-length', b'%d' % len(answer_to(nonce)))
        if deed == 'cut-answer':
            return http.Response(200, [length], cut(nonce))
        if deed == 'ok-chunked':
            return http.Response(200, [], whole(nonce))
        return http.Response(200, [], answer_to(nonce))

    return handle


async def one(world, rng, number, told):
    """Make one request, and note what the caller is told."""
    kind = rng.choice(KINDS)
    nonce = f'n{number}'
    body = b'x' * (60000 if kind == 'large' else rng.choice((7, 10)))
    headers = [(b'nonce', nonce.encode()), (b'size', b'%d' % len(body))]
    if kind == 'hurried':
        headers.append((b'oleander-timeout-ms', b'%d' % rng.randint(1, 80)))
    await curio.sleep(rng.random() * 0.1)
    if kind == 'leaves':
        async with curio.ignore_after(rng.random() * 0.05):
            await call(world, headers, body, kind)
        return
    try:
        told[nonce] = await call(world, headers, body, kind)
    except errors.CallFailed as error:
        told[nonce] = error


async def call(world, headers, body, kind):
    """Send a request on a connection of its own, give status and body."""
    connection = await http_client.connect(world.server.address, 1.0)
    headers = utils.team_headers((b'host', b'a'), *headers)
    try:
        if kind == 'chunked':
            headers.append((b'transfer-encoding', b'chunked'))
            body = pieces(body)
        response = await http_client.exchange(
            connection, 'POST', '/s', headers, body
        )
        whole = await http.read_all(response.body, 1 << 20)
        return http.Response(response.status, response.headers, whole)
    finally:
        await http.close(connection.sock)


async def pieces(body):
    """Give a body in two pieces."""
    yield body[:5]
    await curio.sleep(0.002)
    yield body[5:]


def check(nonce, outcome, runs):
    """Check one request: what it was told against what ran."""
    if isinstance(outcome, errors.CallFailed):
        return
    if outcome.status == 200:
        assert outcome.body == answer_to(nonce)
        assert runs[nonce] >= 1
        return
    verdict = outcome.header('oleander-verdict')
    assert verdict in ('not-run', 'may-have-run', 'ran'), outcome
    if verdict == 'not-run':
        assert runs[nonce] == 0, outcome
    if verdict == 'ran':
        assert outcome.body == answer_to(nonce)


@pytest.mark.parametrize('idempotent', [False, True])
@hypothesis.settings(derandomize=True, deadline=None, max_examples=8)
@hypothesis.given(seed=strategies.integers(0, 1 << 32))
def test_what_callers_are_told_is_true(idempotent, seed):
    rng = random.Random(seed)
    runs = collections.Counter()
    told = {}

    async def use(world):
        async with curio.TaskGroup(wait=all) as group:
            for number in range(REQUESTS):
                await group.spawn(one, world, rng, number, told)

    handlers = [failing(rng, runs) for _ in range(3)]
    utils.run(
        use,
        *handlers,
        idempotent=idempotent,
        slots=2,
        retry_share=0.5,
        refusal_statuses=(503,),
    )
    for nonce, outcome in told.items():
        check(nonce, outcome, runs)
    assert idempotent or max(runs.values(), default=0) <= 1
