"""Text of other writers in keys, labels of metrics, lines and answers."""

import json

import curio
import pytest

from emulator import advice
from emulator import callers as callers_
from emulator import day
from emulator import store as stores
from emulator import troubles
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import handler
from oleanderwood.leading import progress_writer
from oleanderwood.platform import executors
from oleanderwood.platform import store as product_store
from oleanderwood.platform import transport
from oleanderwood.pools import fences
from oleanderwood.pools import reports
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts
from tests import utils_entries as build
from tests import utils_jobs
from tests import utils_leading as leading
from tests import utils_servers

KEY = 'servers/i-1'

NAMES = ('p' * 189, 'p' * 190, 'p' * 900, 'ü' * 150, '~' * 3, 'a b/c+d=é')
DIGEST = progress_writer.worker_list_key('p' * 900).removeprefix(
    progress_writer.WORKER_LIST_PREFIX
)


@pytest.mark.parametrize('name', NAMES, ids=lambda name: f'{len(name)}')
def test_pool_of_any_name_is_served_over_a_change_of_leader(name):
    # A key over 200 bytes is refused by the store, and all of a term's
    # progress is written after the rosters: no job was shown as begun.
    rows = (troubles.Trouble(troubles.Kind.LEADER_KILLED, 2.0, 3.0),)
    plan = day.Plan(
        41, length_s=6.0, pools=(name, 'finals'), lasting=False, troubles=rows
    )
    result = day.play(plan)
    assert not result.breaches, result.breaches[:5]
    assert not result.unfinished
    assert result.accepted == result.handed_in > 5


def test_keys_of_rosters_differ_and_fit():
    names = [*NAMES, 'drafts', DIGEST, 'p' * 901]
    keys = [progress_writer.worker_list_key(name) for name in names]
    assert len(set(keys)) == len(names)
    assert all(
        len(key.encode()) <= product_store.MAX_KEY_BYTES for key in keys
    )
    assert progress_writer.worker_list_key('drafts') == 'ow/workers/drafts'


def test_methods_of_callers_make_no_labels():
    async def main(world):
        process = await utils_servers.start(world)
        await curio.sleep(3.0)
        call = world.network.handlers[process.callers]
        for number in range(50):
            headers = {'host': callers_.HOST}
            path = f'/drafts/{"a" * 16}'
            await call('c', f'M{number}', path, b'', headers)

    utils_servers.run(main, day.configuration())
    kinds = {
        labels[0] for labels in server_metrics.CALLER_SECONDS._metrics.copy()
    }
    assert kinds <= handler.METHODS | {'other'}
    assert 'other' in kinds


ANSWERS = {
    'no text': b'\xff\xfe',
    'a list': b'[]',
    'text for a clock': b'{"clock_ms":"now"}',
    'short rows': b'{"clock_ms":1,"running":[["a"]]}',
    'rows of another type': b'{"clock_ms":1,"running":[[1,"a",2,"b"]]}',
    'an end of a kind that is not named': (
        b'{"clock_ms":1,"finished":[[1,"a.0.0.0",1,"banana",""]]}'
    ),
    'an end without a number': (
        b'{"clock_ms":1,"finished":[["a.0.0.0",1,"done",""]]}'
    ),
    'lists within lists': b'{"x":' + b'[' * 20_000 + b']' * 20_000 + b'}',
}


@pytest.mark.parametrize('name', ANSWERS)
def test_answer_that_is_not_understood_ends_no_term(name, monkeypatch):
    # Whoever listens at the address of an entry may answer anything.
    events = leading.record_events(monkeypatch)

    async def answer(source, method, target, body, headers):
        return transport.Answer(200, ANSWERS[name])

    async def main(world):
        await stores.put(world.store, KEY, build.encode())
        leader = await leading.lead(world, '10.0.0.99:1')
        world.network.handlers[leading.ADDRESS] = answer
        await curio.sleep(2.0)
        assert not leader.deposed and leader.term == fences.next_term(0)
        assert leader.workers['i-1'].silent_since_s is not None
        world.network.handlers[leading.ADDRESS] = leading.idle
        await curio.sleep(1.0)
        assert leader.workers['i-1'].fenced

    utils_servers.run(main, day.configuration())
    assert not any(event == 'fault' for _part, event, _row in events)
    why = [row['why'] for _p, event, row in events if event == 'silent']
    assert why and all(len(text) <= 400 for text in why)


@pytest.mark.parametrize('body', [b'{"reason":"banana"}', b'\xff', b'[]'])
def test_refusal_that_is_not_understood_leaves_a_start_in_doubt(body):
    async def answer(source, method, target, sent, headers):
        return transport.Answer(409, body)

    async def main(world):
        world.network.handlers[leading.ADDRESS] = answer
        entry = utils_jobs.entry('i-1', address=leading.ADDRESS)
        order = reports.Start('a.0.0.0', 1, 'text', 1000.0, 1)
        with pytest.raises(errors.CallFailed) as caught:
            await executors.start(executors.Executors(), entry, order)
        assert caught.value.verdict is verdicts.Verdict.MAY_HAVE_RUN

    utils_servers.run(main)


def test_rows_with_more_fields_than_today_are_read():
    rows = {
        'clock_ms': 5,
        'running': [['a.0.0.0', 1, None, 41], ['b.0.0.0', 2, 'x', 4, 5, 6]],
        'finished': [[1, 'c.0.0.0', 1, 'done', None, 'new']],
    }

    async def answer(source, method, target, sent, headers):
        return transport.Answer(200, json.dumps(rows).encode())

    async def main(world):
        world.network.handlers[leading.ADDRESS] = answer
        entry = utils_jobs.entry('i-1', address=leading.ADDRESS)
        report = await executors.renew(
            executors.Executors(), entry, reports.Renewal(1)
        )
        assert report.running == [
            reports.Running('a.0.0.0', 1, '', 41.0, 0.0),
            reports.Running('b.0.0.0', 2, 'x', 4.0, 5.0),
        ]
        assert report.ended == [
            reports.Ended(1, 'c.0.0.0', 1, reports.How.DONE, '')
        ]

    utils_servers.run(main)


def test_line_is_cut_that_would_be_too_long(capfd):
    long = 'n' * (1 << 20)
    event_log.emit('fleet', 'short', pools={long: {'has': 1}}, why=long, n=7)
    line = capfd.readouterr().out.splitlines()[-1]
    assert len(line) < event_log.MAX_LINE_BYTES
    row = json.loads(line)
    assert row['cut'] and row['event'] == 'short' and row['n'] == 7
    assert row['why'] == 'n' * event_log.MAX_CUT_TEXT


def test_wave_whose_number_makes_no_key_is_refused(monkeypatch):
    events = leading.record_events(monkeypatch)

    async def main(world):
        leader = await leading.lead(world)
        wave = b'{"wave":%d,"machines":["m1"],"max_count":1}' % 10**300
        await stores.put(world.store, 'op/wave/1', wave)
        await stores.put(world.store, 'op/wave/2', utils_servers.WAVE)
        await curio.sleep(1.0)
        assert list(leader.fleet.waves) == [1]

    utils_servers.run(main, day.configuration())
    assert ('wave', 'malformed') in [(part, name) for part, name, _ in events]


def test_queue_of_any_name_is_counted_by_the_leader():
    name = 'two words/ü?#%41'
    value = json.loads(day.configuration())
    value['routes'][0]['name'] = name
    targets = []

    async def main(world):
        await utils_servers.start(world, 's1')
        await utils_servers.start(world, 's2')
        await curio.sleep(4.0)
        await stores.put(world.store, KEY, build.encode(service='finals'))
        leads, other = world.processes
        if leads.state.leader is None:
            leads, other = other, leads
        call = world.network.handlers[leads.address]

        async def noting(source, method, target, body, headers):
            targets.append(target)
            return await call(source, method, target, body, headers)

        world.network.handlers[leads.address] = noting
        ask = world.network.handlers[other.callers]
        headers = {'host': callers_.HOST}
        job = {'spec': '', 'phases': [{'count': 1, 'cpu': 1}]}
        body = json.dumps(job).encode()
        path = f'/drafts/{"a" * 16}'
        assert (await ask('c', 'POST', path, body, headers)).status == 200
        await curio.sleep(0.5)
        answer = await ask('c', 'GET', '/drafts/', b'', headers)
        assert json.loads(answer.body) == {'pending': 1}

    utils_servers.run(main, json.dumps(value).encode())
    asked = [target for target in targets if target.startswith('/pending')]
    assert asked and all(
        target.isascii() and target.isprintable() and ' ' not in target
        for target in asked
    )


def test_no_advice_names_an_executor_of_no_machine():
    """Lab seed 92317: a leader's term ended by a fault of the emulator."""
    assert not advice.is_good('a.0.0', 'i-nobody')
    assert any(advice.is_good('a.0.0', f'i-m{number}') for number in (1, 2))
