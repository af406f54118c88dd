"""Tests of the administration API, against a server in virtual time."""

import curio
import msgspec
import pytest

from emulator import day
from emulator import servers
from oleanderwood.operators import messages
from oleanderwood import verdict as verdicts
from tests import utils_servers as build

TOKEN = 'secret'
FILE = "[[pools]]\nname = 'drafts'\nmin_up = 2\n"
CONFIGURATION = day.configuration()


@pytest.fixture(autouse=True)
def _token(monkeypatch):
    with build.tokens(monkeypatch, TOKEN):
        yield


def _apply_body(text=FILE, base=0, operation='op-1'):
    body = messages.ApplyBody(text, base, 'ana', operation)
    return msgspec.json.encode(body)


async def _ask(world, process, method, target, kind, body=b''):
    status, answer = await build.call(
        world, process, method, target, body, TOKEN
    )
    if status != 200:
        kind = messages.ErrorReply
    return status, msgspec.json.decode(answer, type=kind)


async def _apply(world, process, **fields):
    return await _ask(
        world,
        process,
        'POST',
        '/v1/apply',
        messages.ApplyReply,
        _apply_body(**fields),
    )


def test_applied_file_is_told_and_followed_by_the_leader():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        status, reply = await _apply(world, process)
        assert (status, reply.number) == (200, 1)
        await curio.sleep(0.5)
        _, policy = await _ask(
            world, process, 'GET', '/v1/policy', messages.PolicyReply
        )
        assert policy.text == FILE and policy.author == 'ana'
        _, told = await _ask(
            world, process, 'GET', '/v1/status', messages.StatusReply
        )
        rows = {row.pool: row.min_up for row in told.pools}
        assert told.policy == 1 and rows['drafts'] == 2
        _, past = await _ask(
            world, process, 'GET', '/v1/history', messages.HistoryReply
        )
        assert [row.number for row in past.records] == [1]
        assert past.records[0].changes == (
            'pools.drafts.min_up: nothing -> 2',
        )

    build.run(main, CONFIGURATION)


def test_later_leader_follows_the_policy():
    async def main(world):
        first = await build.start(world, 's1')
        await curio.sleep(3.0)
        assert (await _apply(world, first))[0] == 200
        second = await build.start(world, 's2')
        await servers.kill(world.network, first)
        await curio.sleep(4.0)
        _, told = await _ask(
            world, second, 'GET', '/v1/status', messages.StatusReply
        )
        assert told.server == 's2' and told.policy == 1

    build.run(main, CONFIGURATION)


def test_second_apply_on_one_base_is_a_conflict_and_changes_nothing():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        await _apply(world, process)
        other = FILE.replace('2', '3')
        status, reply = await _apply(
            world, process, text=other, operation='op-2'
        )
        assert status == 409
        assert reply.error is messages.ErrorKind.CONFLICT
        assert 'by ana' in reply.message
        _, policy = await _ask(
            world, process, 'GET', '/v1/policy', messages.PolicyReply
        )
        assert policy.text == FILE

    build.run(main, CONFIGURATION)


def test_operation_that_is_sent_twice_is_applied_once():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        assert (await _apply(world, process))[1].number == 1
        status, reply = await _apply(world, process)
        assert (status, reply.number) == (200, 1)

    build.run(main, CONFIGURATION)


@pytest.mark.parametrize('share', [0.3, 0.6])
def test_lost_answers_never_make_an_apply_twice_or_untrue(share):
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        world.network.lost_share[servers.STORE_ADDRESS] = share
        base = 0
        accepted = []
        for number in range(12):
            operation = f'op-{number}'
            status, reply = await _apply(
                world, process, base=base, operation=operation
            )
            if status == 200:
                accepted.append(operation)
                base = reply.number
            elif reply.verdict is verdicts.Verdict.MAY_HAVE_RUN:
                base = None
                while base is None:
                    status, kept = await _ask(
                        world,
                        process,
                        'GET',
                        '/v1/policy',
                        messages.PolicyReply,
                    )
                    base = kept.number if status == 200 else None
        world.network.lost_share.clear()
        _, past = await _ask(
            world, process, 'GET', '/v1/history', messages.HistoryReply
        )
        operations = [row.operation for row in past.records]
        assert len(operations) == len(set(operations))
        assert set(accepted) <= set(operations)
        numbers = [row.number for row in past.records]
        assert numbers == sorted(numbers, reverse=True)

    build.run(main, CONFIGURATION)


def test_nothing_is_applied_without_the_token():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        for token in ('', 'wrong'):
            status, _ = await build.call(
                world, process, 'POST', '/v1/apply', _apply_body(), token
            )
            assert status == 401
        assert 'ow/in/policy' not in world.store.items

    build.run(main, CONFIGURATION)


def test_servers_without_a_token_take_no_applies(monkeypatch):
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        status, answer = await build.call(
            world, process, 'POST', '/v1/apply', _apply_body(), 'any'
        )
        assert status == 401 and b'admin_token' in answer

    with build.tokens(monkeypatch, ''):
        build.run(main, CONFIGURATION)


def test_faults_of_a_file_are_all_told():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        bad = "[[pools]]\nname = 'a'\nmin_up = -1\n[x]\n"
        status, reply = await _apply(world, process, text=bad)
        assert status == 422 and len(reply.details) == 2
        body = msgspec.json.encode(messages.FileBody(bad))
        status, reply = await _ask(
            world, process, 'POST', '/v1/plan', messages.PlanReply, body
        )
        assert status == 422 and len(reply.details) == 2

    build.run(main, CONFIGURATION)


def test_plan_tells_changes_and_unknown_names():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        text = FILE + "[[pools]]\nname = 'nowhere'\n"
        body = msgspec.json.encode(messages.FileBody(text))
        _, reply = await _ask(
            world, process, 'POST', '/v1/plan', messages.PlanReply, body
        )
        assert 'pools.drafts.min_up: nothing -> 2' in reply.changes
        assert reply.unknown == ('pool nowhere',)
        assert 'ow/in/policy' not in world.store.items

    build.run(main, CONFIGURATION)


def test_server_that_does_not_lead_names_the_leader():
    async def main(world):
        first = await build.start(world, 's1')
        await curio.sleep(3.0)
        second = await build.start(world, 's2')
        await curio.sleep(2.0)
        status, reply = await _ask(
            world, second, 'GET', '/v1/status', messages.StatusReply
        )
        assert status == 421 and reply.leader == first.address

    build.run(main, CONFIGURATION)


@pytest.mark.parametrize(
    ('method', 'target', 'body', 'wanted'),
    [
        ('GET', '/v1/nothing', b'', 404),
        ('GET', '/v1/jobs/' + 'f' * 16, b'', 404),
        ('POST', '/v1/apply', b'{', 400),
        ('POST', '/v1/apply', b'{"text": 3}', 400),
        ('POST', '/v1/plan', b'[]', 400),
        ('DELETE', '/v1/policy', b'', 404),
    ],
)
def test_bad_calls_are_refused(method, target, body, wanted):
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        status, reply = await _ask(
            world, process, method, target, messages.PlanReply, body
        )
        assert status == wanted
        assert reply.verdict is verdicts.Verdict.NOT_RUN

    build.run(main, CONFIGURATION)


def test_store_that_is_down_is_told_as_not_run():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        world.store.down = 'busy'
        status, reply = await _apply(world, process)
        assert status == 503
        assert reply.verdict is verdicts.Verdict.NOT_RUN

    build.run(main, CONFIGURATION)
