"""Bad input of every kind gets a clear answer or a log line, stops nothing."""

import json

import curio
import hypothesis
from hypothesis import strategies
import pytest

from emulator import callers as callers_
from emulator import day
from emulator import store as stores
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.platform import callers
from tests import utils_servers as build

JOB = 'a' * 16
GOOD = {'spec': 'x', 'phases': [{'count': 1, 'cpu': 100, 'estimate_ms': 300}]}

BAD_JOBS = {
    'no JSON': b'{',
    'a list': b'[]',
    'no steps': b'{"spec":"x","phases":[]}',
    'a step without tasks': b'{"spec":"x","phases":[{"count":0}]}',
    'a negative need': b'{"spec":"x","phases":[{"count":1,"cpu":-5}]}',
    'a step after itself': (
        b'{"spec":"x","phases":[{"count":1,"after":[0]}]}'
    ),
    'a cycle': (
        b'{"spec":"x","phases":[{"count":1,"after":[1]},'
        b'{"count":1,"after":[0]}]}'
    ),
    'a wrong type': b'{"spec":3,"phases":[{"count":1}]}',
    'too many tasks': b'{"spec":"x","phases":[{"count":1000000}]}',
    'too many repetitions': (
        b'{"spec":"x","phases":[{"count":100}],"repeat_count":1000000}'
    ),
    'a number beyond all bounds': (
        b'{"spec":"x","phases":[{"count":99999999999999999999999}]}'
    ),
    'no text at all': b'',
    'lists within lists': b'{"x":' + b'[' * 9_000 + b']' * 9_000 + b'}',
}


async def _call(world, process, method, target, body=b''):
    handler = world.network.handlers[process.callers]
    headers = {'host': callers_.HOST}
    try:
        answer = await handler('c', method, target, body, headers)
    except errors.BadMessage as error:
        return error.status
    return answer.status


@pytest.mark.parametrize('name', BAD_JOBS)
def test_bad_job_is_refused_and_the_next_is_taken(name):
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        target = f'/drafts/{JOB}'
        status = await _call(world, process, 'POST', target, BAD_JOBS[name])
        assert status == 400
        assert f'ow/in/job/{JOB}' not in world.store.items
        good = json.dumps(GOOD).encode()
        assert await _call(world, process, 'POST', target, good) == 200

    build.run(main, day.configuration())


def test_body_that_is_too_long_is_refused():
    async def main(world):
        process = await build.start(world)
        await curio.sleep(3.0)
        body = b'x' * 300_000
        status = await _call(world, process, 'POST', f'/drafts/{JOB}', body)
        assert status == 413

    build.run(main, day.configuration())


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=10),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['spec', 'phases', 'count', 'cpu', 'after', 'repeat_count']
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=15,
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(VALUES)
def test_any_json_is_a_sound_job_or_refused(value):
    try:
        work = callers.decode_job(json.dumps(value).encode())
    except errors.BadMessage as error:
        assert error.status == 400
        return
    assert work.steps
    for number, step in enumerate(work.steps):
        assert 1 <= step.tasks <= callers.MAX_TASKS
        assert step.needs.cpu_millicores >= 0
        assert all(0 <= other < number for other in step.after)


@hypothesis.settings(max_examples=100)
@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_are_a_sound_job_or_refused(body):
    try:
        callers.decode_job(body)
    except errors.BadMessage as error:
        assert error.status == 400


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    strategies.sampled_from(['GET', 'POST', 'DELETE', 'PUT', 'HEAD']),
    strategies.text(
        alphabet=strategies.characters(min_codepoint=33, max_codepoint=126),
        max_size=40,
    ),
    strategies.binary(max_size=60),
)
def test_any_request_gets_an_answer(method, path, body):
    async def main(world):
        process = await build.start(world)
        await curio.sleep(2.0)
        for target in (f'/{path}', f'/drafts/{path}'):
            status = await _call(world, process, method, target, body)
            assert status in (200, 400, 404, 405, 410)

    build.run(main, day.configuration())


MALFORMED = (
    f'ow/in/job/{"b" * 16}',
    'ow/in/policy',
    f'ow/progress/{JOB}',
    'ow/workers/drafts',
    'ow/machine-orders',
    'ow/waves/1',
    'ow/roles/server/other',
    'op/wave/7',
    'servers/i-none',
)


@pytest.mark.parametrize('key', MALFORMED)
def test_value_that_does_not_decode_stops_nobody_from_leading(
    key, monkeypatch
):
    events = []

    def emit(part, event, **fields):
        events.append((part, event))

    monkeypatch.setattr(event_log, 'emit', emit)

    async def main(world):
        job = json.dumps(GOOD).encode()
        first = await build.start(world)
        await curio.sleep(3.0)
        target = f'/drafts/{JOB}'
        assert await _call(world, first, 'POST', target, job) == 200
        await build.kill(world, first)
        await stores.put(world.store, 'op/wave/1', build.WAVE)
        await stores.put(world.store, key, b'\xff{not JSON')
        second = await build.start(world, 's2')
        await curio.sleep(4.0)
        assert second.state.leader is not None
        other = f'/drafts/{"c" * 16}'
        assert await _call(world, second, 'POST', other, job) == 200
        assert await _call(world, second, 'GET', other) == 200

    build.run(main, day.configuration())
    assert any('malformed' in event for _part, event in events)
    assert not any(event == 'fault' for _part, event in events)
