"""Tests of values that nobody of ours has written, under all followed keys.

Guards against one odd value that ends every server's process, or every
leader's term, one after the other and again at each start, for as long as it
stands in the store.
"""

import curio
import pytest

from emulator import servers
from emulator import store as stores
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood.jobs import model
from oleanderwood.leading import watcher
from oleanderwood.platform import store as platform_stores
from oleanderwood import server_metrics
from tests import utils_admitting as admission
from tests import utils_jobs
from tests import utils_servers as build
from tests import utils_tenants as tenants

DEPTH = 15_000
DEEP = b'[' * DEPTH + b']' * DEPTH

VALUES = {
    'nested': DEEP,
    'nested-in-an-unknown-field': b'{"more":' + DEEP + b'}',
    'nested-objects': b'{"a":' * DEPTH + b'1' + b'}' * DEPTH,
    'long-number': b'{"version":' + b'9' * 5000 + b',"wave":1}',
    'huge-number': b'{"version":1e400,"wave":1e308,"term":1e308}',
    'not-utf-8': b'{"more":"\xff\xfe"}',
    'lone-surrogate': b'{"version":"\\ud800","name":"\\ud800"}',
    'empty': b'',
    'null': b'null',
}

KEYS = [
    'op/config',
    'op/wave/77',
    'servers/odd-1',
    'ow/in/job/' + 'd' * 16,
    'ow/in/cancel/' + 'd' * 16,
    'ow/in/policy',
    'ow/progress/' + 'e' * 16,
    'ow/workers/drafts',
    'ow/waves/77',
    'ow/machine-orders',
    'ow/roles/ended',
    'ow/roles/server/odd',
]


async def _is_accepted(world, process, job: str) -> bool:
    answer = await tenants.ask(world, process, 'POST', tenants.OPEN_PATH + job)
    return answer.status == 200


@pytest.mark.parametrize('key', KEYS)
@pytest.mark.parametrize('value', VALUES)
def test_servers_go_on_beside_an_odd_value(key, value):
    async def main(world, rows):
        assert await _is_accepted(world, rows[0], 'e' * 16)
        await curio.sleep(0.5)
        if world.store.items.get(key) is None or key.startswith('op/'):
            await stores.put(world.store, key, VALUES[value])
        await curio.sleep(0.5)
        leader = admission.leading(rows)
        term = leader.state.leader.term
        assert await _is_accepted(world, rows[0], 'a' * 16)
        await curio.sleep(2.0)
        assert admission.leading(rows).state.leader.term == term
        assert 'a' * 16 in leader.state.leader.ledger.entries
        await build.kill(world, leader)
        left = [row for row in rows if row is not leader]
        next_leader = await admission.until_leading(left)
        await curio.sleep(1.0)
        assert 'a' * 16 in next_leader.state.leader.ledger.entries
        await tenants.configure(world, *tenants.TENANTS, version=99)
        await curio.sleep(2.0)
        return [row.state.configuration.version for row in left]

    assert tenants.run(main) == [99, 99]


@pytest.mark.parametrize('value', VALUES)
def test_server_starts_beside_an_odd_configuration(value):
    # Such a server ended at each start for as long as the value stood.
    async def main(world):
        await stores.put(world.store, 'op/config', VALUES[value])
        process = await build.start(world)
        await curio.sleep(1.0)
        await tenants.configure(world, *tenants.TENANTS, version=99)
        await curio.sleep(2.0)
        return process.state.configuration.version

    assert build.run(main) == 99


@pytest.mark.parametrize('value', VALUES)
def test_whatever_is_wrong_with_a_value_is_one_error(value):
    with pytest.raises(codec.MalformedValue) as caught:
        codec.decode(VALUES[value], model.Job)
    assert len(str(caught.value)) <= codec.MAX_REASON_CHARS


def _item(key: str = 'op/wave/1') -> platform_stores.Item:
    return platform_stores.Item(key, b'', 1, 1, 0, False)


def test_fault_in_one_value_keeps_none_after_it_from_being_applied():
    # Also one of the code that applies it.
    applied = []

    async def apply(item):
        if not applied:
            applied.append(None)
            raise ZeroDivisionError('odd')
        applied.append(item)

    name = 'oleander_server_values_refused_total'
    labels = {'prefix': 'op/wave/'}
    registry = server_metrics.REGISTRY
    before = registry.get_sample_value(name, labels) or 0
    items = [_item(), _item(), _item()]
    curio.run(watcher.apply_each, 'op/wave/', items, apply)
    assert applied[1:] == items[1:]
    assert registry.get_sample_value(name, labels) == before + 1


def test_values_that_cannot_be_applied_are_logged_at_a_bounded_rate():
    async def apply(item):
        raise ValueError('odd')

    limit = watcher._refusals
    curio.run(watcher.apply_each, 'op/wave/', [_item()] * 100, apply)
    assert limit.line_count <= watcher.MAX_LINES_PER_S
    assert limit.suppressed >= 100 - watcher.MAX_LINES_PER_S


def test_broken_invariant_is_not_taken_for_an_odd_value():
    async def apply(item):
        raise errors.InvariantBreach('two runs')

    with pytest.raises(errors.InvariantBreach):
        curio.run(watcher.apply_each, 'op/wave/', [_item()], apply)


@pytest.mark.parametrize(
    'work',
    [
        model.Work('x', ()),
        model.Work('x', (model.Step(0),)),
        model.Work('x', (model.Step(1, after=(0,)),)),
        model.Work('x', (model.Step(1), model.Step(1, after=(5,)))),
        model.Work('x', (model.Step(10**9),)),
        model.Work('x', (model.Step(1),), repeats=10**9),
    ],
)
def test_stored_job_that_no_caller_could_hand_in_ends_no_term(work):
    # Its steps were used unchecked in each pass of each leader.
    async def main(world, rows):
        job = utils_jobs.job(name='d' * 16)
        job = model.msgspec.structs.replace(job, work=work)
        value = codec.to_json(job)
        await stores.put(world.store, 'ow/in/job/' + 'd' * 16, value)
        await curio.sleep(2.0)
        assert sum(map(servers.leads, rows)) == 1
        leader = admission.leading(rows)
        assert await _is_accepted(world, rows[0], 'a' * 16)
        await curio.sleep(1.0)
        return list(leader.state.leader.ledger.entries)

    assert tenants.run(main) == ['a' * 16]
