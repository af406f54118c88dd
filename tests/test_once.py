"""Tests of once: requests with an idempotency key, over real sockets."""

import curio
import pytest

from oleanderwood import buckets
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import idempotency
from oleanderwood import key_claims
from oleanderwood import once
from oleanderwood import request_headers
from oleanderwood import verdict as verdicts
from tests import utils_daemon as daemons
from tests import utils_entry as utils
from tests import utils_idempotency

NOW_S = utils_idempotency.START_S
KEY = utils_idempotency.make_key(1, NOW_S).rpartition('/')[2]


def _guard(ledger, told):
    """Make a guard whose keys are all in one ledger."""

    async def ask(key, claim, fingerprint):
        held = ledger.held[buckets.bucket_of(key)]
        asked = idempotency.Claim(held.epoch, key, claim, fingerprint)
        return idempotency.claim(ledger, asked, NOW_S)

    async def settle(ended):
        told.append(ended)
        idempotency.settle(ledger, ended)

    return once.Guard(ask, settle)


def _run(use, handler, **changes):
    """Run a test behind a guard; give its result and the settlements."""
    owner = utils_idempotency.make_owner(1)
    table = buckets.create([owner])
    ledger = utils_idempotency.make_ledger(table, owner, NOW_S - 100)
    told = []

    async def guarded(world):
        world.proxy.guard = _guard(ledger, told)
        return await use(world)

    return utils.run(guarded, handler, **changes), told


async def _post(world, body=b'b', key=KEY, target='/s/x', headers=()):
    named = [(request_headers.IDEMPOTENCY_KEY, key.encode())] if key else []
    return await http_client.call(
        world.server.address,
        'POST',
        target,
        body,
        headers=utils.team_headers(*named, *headers),
    )


def _counted(status=201, answer=b'made'):
    """Make an upstream that counts what it runs."""
    served = []

    async def handle(request):
        served.append(await http.read_all(request.body, 1 << 20))
        return http.Response(status, [], answer)

    return handle, served


def test_repeat_gets_the_kept_answer():
    handle, served = _counted()

    async def use(world):
        answers = [await _post(world) for _ in range(2)]
        value = world.proxy.metrics.claims.labels('s', 'ended')._value.get()
        assert value == 1
        return answers

    (first, second), told = _run(use, handle)
    assert (first.status, first.body) == (201, b'made')
    assert first.header('oleander-replayed') is None
    assert (second.status, second.body) == (201, b'made')
    assert second.header('oleander-replayed') == '1'
    assert served == [b'b']
    assert [t.verdict for t in told] == [verdicts.Verdict.RAN]


@pytest.mark.parametrize('size_bytes', [513, 200_000])
def test_repeat_of_a_long_answer_is_told_its_status(size_bytes):
    handle, served = _counted(answer=b'x' * size_bytes)

    async def use(world):
        return [await _post(world) for _ in range(2)]

    (first, second), _ = _run(use, handle)
    assert len(first.body) == size_bytes
    assert second.status == 409
    assert second.header('oleander-replayed-status') == '201'
    assert second.header('oleander-verdict') == 'ran'
    assert len(served) == 1


def test_repeat_while_the_first_runs_is_answered_at_once():
    served = []
    release = curio.Event()

    async def slow(request):
        served.append(request.target)
        await release.wait()
        return http.Response(200, [], b'')

    async def use(world):
        first = await curio.spawn(_post, world)
        await daemons.until(lambda: served)
        second = await _post(world)
        await release.set()
        return await first.join(), second

    (first, second), _ = _run(use, slow)
    assert first.status == 200
    assert (second.status, len(served)) == (409, 1)
    assert second.header('oleander-verdict') == 'may-have-run'


def test_key_of_another_request_is_refused():
    handle, served = _counted()

    async def use(world):
        await _post(world, b'one')
        return await _post(world, b'two'), await _post(world, target='/s/y')

    answers, _ = _run(use, handle)
    assert [answer.status for answer in answers] == [422, 422]
    assert answers[0].header('oleander-verdict') == 'not-run'
    assert served == [b'one']


def test_refusal_lets_the_key_run_later():
    handle, served = _counted()

    async def use(world):
        world.allowed = False
        refused = await _post(world)
        world.allowed = True
        return refused, await _post(world)

    (refused, answer), told = _run(use, handle)
    assert refused.header('oleander-verdict') == 'not-run'
    assert (answer.status, len(served)) == (201, 1)
    assert [t.verdict for t in told] == [
        verdicts.Verdict.NOT_RUN,
        verdicts.Verdict.RAN,
    ]


def test_lost_answer_leaves_the_key_in_doubt():
    async def cut(sock):
        await sock.recv(65536)

    async def use(world):
        world.proxy.guard = _guard(ledger, told)
        return [await _post(world) for _ in range(2)]

    owner = utils_idempotency.make_owner(1)
    table = buckets.create([owner])
    ledger = utils_idempotency.make_ledger(table, owner, NOW_S - 100)
    told = []
    first, second = utils.run(use, cut, raw=True)
    assert first.header('oleander-verdict') == 'may-have-run'
    assert second.header('oleander-verdict') == 'may-have-run'
    assert [t.verdict for t in told] == [verdicts.Verdict.MAY_HAVE_RUN]


@pytest.mark.parametrize('answered', [False, True])
def test_caller_that_leaves(answered):
    """The upstream ran; its answer counts only if it came."""
    served = []

    async def slow(request):
        served.append(request.target)
        if not answered:
            await curio.sleep(30)
        return http.Response(200, [], b'y' * 3_000_000)

    async def use(world):
        call = await curio.spawn(_post, world)
        await daemons.until(lambda: served)
        if answered:
            await daemons.until(
                lambda: (
                    any(e.answering for e in world.proxy.active.values())
                    or not world.proxy.active
                )
            )
        await call.cancel()
        await daemons.until(lambda: not world.proxy.active)
        return await _post(world)

    answer, told = _run(use, slow)
    verdict = verdicts.Verdict.RAN
    if not answered:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    assert [t.verdict for t in told] == [verdict]
    assert answer.header('oleander-verdict') == verdict.value
    assert len(served) == 1


def test_unreachable_owner_refuses_before_anything_runs():
    handle, served = _counted()

    async def nobody(key, claim, fingerprint):
        return None

    async def use(world):
        world.proxy.guard = once.Guard(nobody, None)
        return await _post(world)

    answer = utils.run(use, handle)
    assert (answer.status, served) == (503, [])
    assert answer.header('oleander-verdict') == 'not-run'
    assert answer.header('retry-after') == '1'


@pytest.mark.parametrize(
    'changes, key', [({}, ''), ({'idempotent': True}, KEY)]
)
def test_no_owner_is_asked_without_need(changes, key):
    handle, served = _counted()

    async def use(world):
        world.proxy.guard = once.Guard(None, None)
        return [await _post(world, key=key) for _ in range(2)]

    answers = utils.run(use, handle, **changes)
    assert [answer.status for answer in answers] == [201, 201]
    assert len(served) == 2


@pytest.mark.parametrize('bad', ['', 'k' * 201])
def test_key_of_no_allowed_length_is_refused(bad):
    handle, served = _counted()

    async def use(world):
        header = (request_headers.IDEMPOTENCY_KEY, bad.encode())
        return await _post(world, key='', headers=[header])

    answer, told = _run(use, handle)
    assert (answer.status, served, told) == (400, [], [])


def test_daemon_runs_a_key_once():
    handle, served = _counted()

    async def use(entry, store_address):
        entry.proxy.guard = key_claims.guard(entry.node)
        keys = entry.node.keys
        await daemons.until(lambda: len(keys.ledger.held) == buckets.BUCKETS)
        for held in keys.ledger.held.values():
            held.unstamped_floor_s = 0.0
        return [await _post(entry, key='k') for _ in range(2)]

    first, second = daemons.run(handle, use)
    assert (first.status, second.status, len(served)) == (201, 201, 1)
    assert second.header('oleander-replayed') == '1'
    assert second.body == b'made'
