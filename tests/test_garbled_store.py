"""One answer of the store that can't be read must not end all elections.

What users would see: nothing starts any more and no server takes over, while
all servers say that they are ready. Order of events: a server is elected and
reads what lies in the store, four ranges side by side; one answer can't be
read. The other calls are cancelled for it, and what is raised is that
cancelling, which nobody catches: it is no ``Exception``. The task that
elects is gone; the server goes on renewing the lease under which its mark
lies, so that no other may lead.

Cause: results are taken in the order of the calls, and the first one tells
only that it was cancelled for another's fault.
"""

import curio
import pytest

from emulator import day
from emulator import virtual
from oleanderwood.leading import parallel
from oleanderwood.platform import transport
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))


def test_fault_of_a_call_is_raised_and_not_the_cancelling_of_the_others():
    async def slow():
        await curio.sleep(1.0)

    async def faulty():
        await curio.sleep(0.1)
        raise ValueError('a fault')

    with pytest.raises(ValueError, match='a fault'):
        virtual.run(lambda: parallel.run([slow, faulty]))


def test_server_leads_after_one_answer_that_cannot_be_read():
    async def main(world):
        hear = world.network.handlers[servers.STORE_ADDRESS]
        garbled = []

        async def garble_once(source, method, target, *rest):
            if 'kv-range' in target and 'progress' in target and not garbled:
                garbled.append(target)
                return transport.Answer(200, b'{')
            return await hear(source, method, target, *rest)

        world.network.handlers[servers.STORE_ADDRESS] = garble_once
        first = await servers.start(world, 's1')
        await curio.sleep(0.2)
        second = await servers.start(world, 's2')
        await curio.sleep(10.0)
        assert garbled
        return [
            row.state.leader is not None
            for row in (first, second)
            if row.state is not None
        ]

    assert any(servers.run(main, CONFIGURATION))
