"""A leader and executors that answer it, for tests of what it learns."""

import json

import curio

from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.platform import transport
from tests import utils_servers

ADDRESS = ids.Address('10.128.0.9:8080')


async def idle(source, method, target, body, headers):
    """Answer as an executor that runs nothing."""
    await curio.sleep(0.05)
    return transport.Answer(200, json.dumps({'clock_ms': 1000.0}).encode())


async def lead(world, address=ADDRESS):
    """Start a server beside an idle executor and return it as the leader."""
    world.network.handlers[address] = idle
    process = await utils_servers.start(world)
    await curio.sleep(3.0)
    assert process.state.leader is not None
    return process.state.leader


def record_events(monkeypatch) -> list[tuple[str, str, dict]]:
    """Return a list that receives all events logged from now on."""
    events = []

    def emit(part, event, **fields):
        events.append((part, event, fields))

    monkeypatch.setattr(event_log, 'emit', emit)
    return events
