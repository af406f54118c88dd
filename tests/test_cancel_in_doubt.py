"""A cancel that was written, whose answer was lost, before the store refuses.

What callers see: 503, "not run", for a cancel, and then their job shown as
cancelled. Order of events: the server writes the mark of the cancel and gets
no answer; it tries again, and the store refuses all calls by now.

Cause: the second try's verdict, that nothing was done, was given for the whole
call. A refusal proves nothing of an earlier try.

Log (lab seed 31068 with `--feature-count 4 --trouble-count 7`): `job
cancelled` at 12.583; `caller store-failed why=read: status 503`, then
`not-cancelled after_ms=1720`, answered with 503; at 17.01 the job is shown as
cancelled.
"""

import json

import curio

from emulator import callers as callers_
from emulator import day
from emulator import servers
from emulator import virtual
from tests import utils_servers as build

JOB = 'b' * 16
BODY = json.dumps(
    {'spec': 'x', 'phases': [{'count': 1, 'cpu': 100, 'estimate_ms': 500}]}
).encode()


async def _call(world, process, method):
    handler = world.network.handlers[process.callers]
    headers = {'host': callers_.HOST}
    body = BODY if method == 'POST' else b''
    answer = await handler('c', method, f'/drafts/{JOB}', body, headers)
    return answer.status


def _lose_answer_then_refuse(world, key):
    """Let one write be done without an answer; then the store refuses all."""
    handler = world.network.handlers[servers.STORE_ADDRESS]

    async def handle(source, method, target, body, headers):
        answer = await handler(source, method, target, body, headers)
        if key.encode() in body:
            world.store.down = 'busy'
            await virtual.forever()
        return answer

    world.network.handlers[servers.STORE_ADDRESS] = handle


def _status(method, key):
    async def main(world):
        first = await build.start(world, 's1')
        await build.start(world, 's2')
        await curio.sleep(4.0)
        if method == 'DELETE':
            assert await _call(world, first, 'POST') == 200
        _lose_answer_then_refuse(world, key)
        status = await _call(world, first, method)
        assert key in world.store.items
        return status

    return build.run(main, day.configuration())


def test_cancel_in_doubt_stays_in_doubt():
    assert _status('DELETE', f'ow/in/cancel/{JOB}') == 504


def test_job_in_doubt_stays_in_doubt():
    assert _status('POST', f'ow/in/job/{JOB}') == 504
