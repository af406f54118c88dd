"""A cancel for another server also reaches a leader without the store.

A server that was cut off from the store relayed a cancel, and did not know who
led. The leader, cut off as well, never heard of it, and started the job's task
3.3 s after the cancel was acknowledged.
"""

import json

import curio

from emulator import callers as callers_
from emulator import day
from emulator import servers
from oleanderwood.frontend import forwarding
from oleanderwood.jobs import ledger as ledgers
from tests import utils_servers as build

JOB = 'b' * 16
BODY = json.dumps(
    {'spec': 'x', 'phases': [{'count': 1, 'cpu': 100, 'estimate_ms': 500}]}
).encode()


async def _cancel_by_relay(world):
    """Cancel a job at the server that does not lead; the leader has no store.

    :return: whether the leader knows that the job has ended
    """
    processes = [await build.start(world, name) for name in ('s1', 's2')]
    await curio.sleep(4.0)
    (leader,) = (row for row in processes if servers.leads(row))
    (other,) = (row for row in processes if row is not leader)
    handler = world.network.handlers[leader.callers]
    headers = {'host': callers_.HOST}
    answer = await handler('c', 'POST', f'/drafts/{JOB}', BODY, headers)
    assert answer.status == 200
    world.network.cuts.add((leader.name, servers.STORE_ADDRESS))
    handler = world.network.handlers[other.address]
    path = forwarding.CANCEL_PATH + JOB
    answer = await handler('s3', 'POST', path, b'', {})
    assert json.loads(answer.body)['there']
    await curio.sleep(0.2)
    return ledgers.is_final(leader.state.leader.ledger.entries[JOB])


def test_relayed_cancel_reaches_a_leader_without_the_store():
    """Guards against tasks that start after their job was cancelled."""
    assert build.run(_cancel_by_relay, day.configuration())
