"""Tests of who may call: keys, public queues, and jobs of other tenants.

Guards against accepting keys that are unknown or that were revoked long ago.
The front end read no key at all and ignored the tenants of a configuration:
a caller with such a key at a queue that isn't public could submit a job, read
its state and cancel it. Each of the calls below was answered with 200.
"""

import json

import msgspec
import pytest

from oleanderwood.jobs import model
from oleanderwood.tenants import access
from oleanderwood.tenants import credentials
from oleanderwood.tenants import model as tenants_
from tests import utils_tenants as build

DENIAL = credentials.Denial

UNKNOWN_KEY = 'no-such-key'


@pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
@pytest.mark.parametrize('key', [None, UNKNOWN_KEY, build.FIRST.upper(), ''])
def test_call_without_a_valid_key_is_denied(method, key):
    async def main(world, rows):
        assert (
            await build.status(world, rows[0], 'POST', key=build.FIRST) == 200
        )
        answer = await build.ask(world, rows[0], method, key=key)
        assert answer.status == 401
        assert f'ow/in/cancel/{build.JOB}' not in world.store.items
        return answer.body

    assert build.run(main) == b'a valid key is needed\n'


def test_unauthorized_caller_cannot_discover_queues_or_jobs():
    """The answer is the same whether the queue or job exists or not."""

    async def main(world, rows):
        await build.status(world, rows[0], 'POST', key=build.FIRST)
        answers = []
        for path in (build.PATH, '/nothing/', build.PATH + build.JOB):
            for key in (None, UNKNOWN_KEY):
                answer = await build.ask(world, rows[1], 'GET', path, key)
                answers.append((answer.status, answer.body))
        return answers

    assert len(set(build.run(main))) == 1


def test_valid_key_allows_submission_status_count_and_cancellation():
    async def main(world, rows):
        calls = [
            ('POST', build.PATH + build.JOB),
            ('GET', build.PATH + build.JOB),
            ('GET', build.PATH),
            ('DELETE', build.PATH + build.JOB),
            ('GET', '/nothing/'),
        ]
        return [
            await build.status(world, row, method, path, build.FIRST)
            for (method, path), row in zip(calls, rows * 2, strict=False)
        ]

    assert build.run(main) == [200, 200, 200, 200, 404]


def test_public_queue_needs_no_key_but_denies_an_unknown_one():
    async def main(world, rows):
        path = build.OPEN_PATH + build.JOB
        return [
            await build.status(world, rows[0], 'POST', path, key)
            for key in (None, build.FIRST, UNKNOWN_KEY)
        ]

    assert build.run(main) == [200, 200, 401]


def test_job_of_another_tenant_does_not_exist_for_a_caller():
    async def main(world, rows):
        await build.status(world, rows[0], 'POST', key=build.FIRST)
        seen = [
            await build.status(world, row, method, key=build.SECOND)
            for row in rows
            for method in ('GET', 'DELETE')
        ]
        again = await build.status(world, rows[0], 'POST', key=build.SECOND)
        marked = f'ow/in/cancel/{build.JOB}' in world.store.items
        own = await build.status(world, rows[2], 'GET', key=build.FIRST)
        return seen, again, marked, own

    seen, again, marked, own = build.run(main)
    assert set(seen) == {410}
    assert (again, marked, own) == (403, False, 200)


def test_job_of_a_tenant_is_not_reached_through_a_public_queue():
    async def main(world, rows):
        await build.status(world, rows[0], 'POST', key=build.FIRST)
        path = build.OPEN_PATH + build.JOB
        return [
            await build.status(world, rows[1], method, path)
            for method in ('GET', 'DELETE', 'POST')
        ]

    assert build.run(main) == [410, 410, 403]


def test_owner_is_known_without_the_leader():
    """The stored job names its tenant, with or without stored progress."""

    async def main(world, rows):
        await build.status(world, rows[0], 'POST', key=build.FIRST)
        follower = build.follower(rows)
        follower.state.roles.leader = None
        return [
            await build.status(world, follower, 'GET', key=key)
            for key in (build.FIRST, build.SECOND)
        ]

    assert build.run(main) == [200, 410]


def test_stored_job_keeps_its_tenant_and_no_key():
    async def main(world, rows):
        await build.status(world, rows[0], 'POST', key=build.FIRST)
        return world.store.items[f'ow/in/job/{build.JOB}'].value

    value = build.run(main)
    assert msgspec.json.decode(value, type=model.Job).tenant == 'first'
    assert build.FIRST.encode() not in value


def test_job_of_an_earlier_version_belongs_to_nobody():
    job = msgspec.json.decode(
        b'{"job":"a","queue":{"name":"q","host":"h","prefix":"/","service":'
        b'"s"},"work":{"text":"","steps":[]}}',
        type=model.Job,
    )
    assert job.tenant == access.NO_TENANT
    assert access.may_access(job.tenant, 'first')


def test_earlier_version_reads_a_job_with_a_tenant():
    class Earlier(msgspec.Struct):
        job: str
        term: int = 0

    value = {'job': 'a', 'term': 3, 'tenant': 'first'}
    read = msgspec.json.decode(json.dumps(value).encode(), type=Earlier)
    assert read.term == 3


@pytest.mark.parametrize(
    ('values', 'denial'),
    [
        ([], DENIAL.NO_KEY),
        ([b''], DENIAL.MALFORMED),
        ([b'Token'], DENIAL.MALFORMED),
        ([b'Token a b'], DENIAL.MALFORMED),
        ([b'a'], DENIAL.OTHER_SCHEME),
        ([b'Bearer a'], DENIAL.OTHER_SCHEME),
        ([b'Basic dXNlcjpwYXNz'], DENIAL.OTHER_SCHEME),
        ([b'Token a', b'Token a'], DENIAL.TWO_HEADERS),
        ([b'Token ' + b'a' * 257], DENIAL.MALFORMED),
        ([b'Token ' + b'a' * 60_000], DENIAL.MALFORMED),
    ],
)
def test_reason_of_denial_is_distinguished(values, denial):
    assert credentials.parse(values) is denial


@pytest.mark.parametrize(
    'value', [b'Token a', b'token a', b'TOKEN  a', b' Token\ta ']
)
def test_case_of_the_scheme_and_white_space_do_not_matter(value):
    assert credentials.parse([value]) == credentials.digest(b'a')


def test_case_of_the_key_matters():
    assert credentials.parse([b'Token A']) != credentials.digest(b'a')


def test_key_of_two_tenants_is_invalid_and_their_others_stay_valid():
    rows = [
        tenants_.TenantEntry(tenants_.Tenant('one'), (b'1', b'both')),
        tenants_.TenantEntry(tenants_.Tenant('two'), (b'2', b'both')),
    ]
    tenants = tenants_.collect(rows, [])
    assert tenants.by_key == {b'1': 'one', b'2': 'two'}
    assert len(tenants.faults) == 1


BAD = {
    'no-name': {'name': ''},
    'negative-limit': {'max_count': {'cpu': -1, 'mem_mb': 0, 'gpu': 0}},
    'absent-limits': {'max_count': None},
    'weight-of-0': {'weight': 0},
    'weight-of-text': {'weight': 'much'},
    'keys-of-numbers': {'api_keys': [1]},
    'empty-key': {'api_keys': ['']},
    'named-twice': {'name': 'second'},
}


@pytest.mark.parametrize('fields', BAD.values(), ids=BAD)
def test_malformed_tenant_has_no_access_and_affects_no_other(
    fields, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        'oleanderwood.event_log.emit',
        lambda part, event, **fields: lines.append((part, event, fields)),
    )
    bad = {**build.tenant('bad', 'key-of-the-bad'), **fields}

    async def main(world, rows):
        return [
            await build.status(world, rows[0], 'GET', build.PATH, key)
            for key in (build.FIRST, build.SECOND, 'key-of-the-bad', '')
        ]

    assert build.run(main, *build.TENANTS, bad) == [200, 200, 401, 401]
    assert [row for row in lines if row[1] == 'bad-tenant']
    assert 'key-of-the' not in str(lines)


@pytest.mark.parametrize('tenants', [{}, 'all', 7])
def test_malformed_list_of_tenants_denies_all_keys(tenants):
    async def main(world, rows):
        await build.configure(world, version=8, tenants=tenants)
        await build.curio.sleep(1.5)
        return [
            await build.status(world, rows[0], 'GET', build.PATH, key)
            for key in (build.FIRST, None)
        ]

    assert build.run(main) == [401, 401]


def test_queue_that_is_not_public_denies_calls_without_tenants():
    """A configuration that lacks its tenants gives nobody access."""

    async def main(world, rows):
        await build.configure(world, version=8, tenants=None)
        await build.curio.sleep(1.5)
        return [
            await build.status(world, rows[0], 'GET', path)
            for path in (build.PATH, build.OPEN_PATH)
        ]

    assert build.run(main) == [401, 200]


def test_deployment_without_tenants_needs_no_key():
    async def main(world):
        rows = await build.three_servers(world)
        return [
            await build.status(world, rows[0], 'POST', key=key)
            for key in (None, UNKNOWN_KEY)
        ]

    value = build.day.configuration()
    assert build.build.run(main, value) == [200, 200]


def test_log_of_a_flood_of_wrong_keys_is_bounded_and_holds_none(monkeypatch):
    lines = []
    monkeypatch.setattr(
        'oleanderwood.event_log.emit',
        lambda part, event, **fields: lines.append((part, event, fields)),
    )

    async def main(world, rows):
        for number in range(3000):
            await build.status(world, rows[0], 'GET', key=f'wrong-{number}')

    build.run(main)
    denied = [row for row in lines if row[1] == 'denied']
    assert 0 < len(denied) <= 10
    assert 'wrong-' not in str(lines) and 'key-of-the' not in str(lines)
