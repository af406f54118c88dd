"""Tests of the election of a leader and of its term."""

import curio

from emulator import day
from emulator import store as stores
from oleanderwood import event_log
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.leading import term as terms
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))


def test_server_leads_no_term_twice(monkeypatch):
    """Leading a term twice would start again what was already started in it.

    The leader's liveness key is removed and written again, and the answer to
    that write is lost. An exception ends the term, and the leader cannot
    resign. It tries to lead again before it sees its own key, and is shown
    that it already leads.
    """
    led = []

    def emit(part, event, **fields):
        if (part, event) == ('leader', 'took-over'):
            led.append(fields['term'])

    async def no_resigning(leader):
        pass

    async def main(world):
        hear = world.network.handlers[servers.STORE_ADDRESS]

        async def late(source, method, target, *rest):
            answer = await hear(source, method, target, *rest)
            if 'kv-watch' in target and 'roles' in target and held:
                await curio.sleep(0.9)
            return answer

        held = []
        world.network.handlers[servers.STORE_ADDRESS] = late
        process = await servers.start(world)
        await curio.sleep(2.0)
        held.append(True)
        server = process.state
        mark = server.process.encode()
        await stores.put(world.store, roles_.ALIVE_KEY, mark, server.lease)
        await states.depose(server.leader, 'a fault')
        await curio.sleep(3.0)
        return server.leader.term

    monkeypatch.setattr(event_log, 'emit', emit)
    monkeypatch.setattr(terms, '_resign', no_resigning)
    term = servers.run(main, CONFIGURATION)
    assert led == sorted(set(led)) and len(led) >= 2
    assert term == led[-1]
