"""A cancel for another server also reaches a leader without the store.

A server that was cut off from the store relayed a cancel, and did not know who
led. The leader, cut off as well, never heard of it, and started the job's task
3.3 s after the cancel was acknowledged.
"""

import json

import curio
import msgspec

from emulator import callers as callers_
from emulator import day
from emulator import servers
from oleanderwood.frontend import forwarding
from oleanderwood.jobs import ledger as ledgers
from oleanderwood import verdict as verdicts
from tests import utils_servers as build

JOB = 'b' * 16
BODY = json.dumps(
    {'spec': 'x', 'phases': [{'count': 1, 'cpu': 100, 'estimate_ms': 500}]}
).encode()


async def _cancel_by_relay(world, store_down=''):
    """Cancel a job at the server that does not lead; the leader has no store.

    :param store_down: how the store fails the other server as well
    :return: the answer, and whether the leader knows that the job has ended
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
    world.store.down = store_down
    handler = world.network.handlers[other.address]
    path = forwarding.CANCEL_PATH + JOB
    answer = await handler('s3', 'POST', path, b'', {})
    result = msgspec.json.decode(answer.body, type=forwarding.RelayResult)
    await curio.sleep(0.2)
    entry = leader.state.leader.ledger.entries[JOB]
    return result, ledgers.is_final(entry)


def test_relayed_cancel_reaches_a_leader_without_the_store():
    """Guards against tasks that start after their job was cancelled."""
    result, is_final = build.run(_cancel_by_relay, day.configuration())
    assert result.verdict is verdicts.Verdict.RAN and result.there
    assert is_final


def test_leader_is_not_told_of_a_cancel_that_was_not_written():
    """Guards against jobs that are cancelled although nobody was told so."""

    async def refused(world):
        return await _cancel_by_relay(world, 'busy')

    result, is_final = build.run(refused, day.configuration())
    assert result.verdict is not verdicts.Verdict.RAN
    assert not is_final
