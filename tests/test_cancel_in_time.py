"""The time that a cancel takes while the store doesn't answer.

Callers wait 3 s. A cancel was tried three times with a time-out of 1.5 s each,
so that its caller had left before the answer; a server that was stopping cut
the call.
"""

import curio
import pytest

from emulator import day
from emulator import servers as emulated
from emulator import virtual
from tests import utils_servers as servers
from tests import utils_tenants as build

CALLERS_WAIT_S = 3.0


def _hang(world, paths):
    """Leave the store's calls with these paths unanswered."""
    address = emulated.STORE_ADDRESS
    handler = world.network.handlers[address]

    async def handle(source, method, target, body, headers):
        if target.startswith(paths):
            await virtual.forever()
        return await handler(source, method, target, body, headers)

    world.network.handlers[address] = handle


@pytest.mark.parametrize('is_known', (True, False), ids=('known', 'unknown'))
@pytest.mark.parametrize('paths', ('/kv-key', '/kv-txn', '/kv-'))
def test_cancel_is_answered_while_its_caller_waits(paths, is_known):
    """A silent store leaves it in doubt, and the caller asks again."""

    async def main(world):
        rows = [await servers.start(world, f's{n}') for n in (1, 2, 3)]
        await curio.sleep(4.0)
        if is_known:
            assert await build.status(world, rows[1], 'POST') == 200
        _hang(world, paths)
        began_s = await curio.clock()
        status = await build.status(world, rows[1], 'DELETE')
        return status, await curio.clock() - began_s

    status, took_s = servers.run(main, day.configuration())
    assert status in (503, 504)
    assert took_s < CALLERS_WAIT_S
