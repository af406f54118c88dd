"""Tests of who leads, and under which term."""

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
    """What a term's first part has started the second would start again.

    A leader loses its mark and writes it anew; the answer is lost. Its term
    ends by a fault, and it can't resign. It tries to lead again before it
    hears of its own mark, and is shown that it leads already.
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
