"""Tests of peer_grpc over loopback."""

import gc

import curio
import pytest

from oleanderwood import errors
from oleanderwood import idempotency
from oleanderwood import messages
from oleanderwood import node as nodes
from oleanderwood import peer_answers
from oleanderwood import peer_grpc
from oleanderwood import verdict as verdicts
from tests import utils_membership as build
from tests import utils_network


def _serve(use, handlers=None):
    async def run():
        server = peer_grpc.listen('127.0.0.1:0')
        client = peer_grpc.connect()
        node = nodes.make(nodes.Settings(), None, None, build.joined())
        answers = peer_answers.handlers(node) | (handlers or {})
        task = await curio.spawn(peer_grpc.run, server, answers)
        try:
            return await use(peer_grpc.calls(client), server)
        finally:
            await task.cancel()
            await peer_grpc.stop(server)
            peer_grpc.close(client)

    return curio.run(run)


def test_release_over_the_wire():
    async def use(peers, server):
        request = messages.ReleaseRequest(
            build.shard(7, []), build.DATA_CENTRE
        )
        return await peers.release(server.address, request)

    reply = _serve(use)
    assert (reply.entry, reply.revision) == ('e1', 7)


def test_records_of_keys_over_the_wire():
    record = idempotency.Record(
        'c', 'f', 2.5, verdicts.Verdict.RAN, 200, b'\x00\xff'
    )
    sent = idempotency.HandOver(7, 'h', 1.5, 2.5, {'t/s/k': record}, {})
    settled = idempotency.Settlement('t/s/k', 'c', verdicts.Verdict.NOT_RUN)
    taken = []

    async def take(request):
        taken.append(request)
        return messages.HandOverReply(True)

    async def use(peers, server):
        reply = await peers.hand_over(server.address, sent)
        claim = idempotency.Claim(1, 't/s/k', 'c', 'f')
        answer = await peers.claim(server.address, claim)
        told = await peers.settle(server.address, settled)
        return reply.taken, answer.answer, told.taken

    found = _serve(use, {'hand_over': take})
    assert found == (True, idempotency.Answer.NOT_OWNER, False)
    assert taken == [sent]


def test_calls_run_side_by_side():
    async def use(peers, server):
        request = messages.FetchRequest(shards=(build.DATA_CENTRE,))
        async with curio.TaskGroup(wait=all) as group:
            for _ in range(20):
                await group.spawn(peers.fetch, server.address, request)
        return group.results

    assert all(len(reply.shards) == 1 for reply in _serve(use))


def _tasks_kept(name):
    """Count the tasks of a coroutine function that still have an owner."""
    gc.collect()
    found = [one for one in gc.get_objects() if isinstance(one, curio.Task)]
    return sum(task.coro.__name__ == name for task in found)


def test_answered_calls_leave_nothing_behind():
    async def use(peers, server):
        for _ in range(20):
            await peers.fetch(server.address, messages.FetchRequest())
        await utils_network.until(lambda: _tasks_kept('_answer') <= 1)
        return True

    assert _serve(use)


def test_unreachable_peer_is_not_run():
    async def use(peers, server):
        await peer_grpc.stop(server)
        with pytest.raises(errors.CallFailed) as caught:
            await peers.fetch(server.address, messages.FetchRequest())
        return caught.value.verdict

    assert _serve(use) is verdicts.Verdict.NOT_RUN


def test_handler_that_fails_may_have_run():
    async def broken(request):
        raise ValueError('broken')

    async def use(peers, server):
        with pytest.raises(errors.CallFailed) as caught:
            await peers.fetch(server.address, messages.FetchRequest())
        return caught.value.verdict

    verdict = _serve(use, {'fetch': broken})
    assert verdict is verdicts.Verdict.MAY_HAVE_RUN
