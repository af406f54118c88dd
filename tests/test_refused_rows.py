"""A server whose row is refused must not take one lease after another.

What users would see: the store refuses more and more calls, of all servers.
Order of events: leases have run out during an outage of the store; it is
back and refuses writes for a while (429, or 503). Each server takes a lease,
is refused the write of its row, throws the lease away and takes the next
one a tenth of a second later.

Cause: a lease is kept only once the row is written; a refused row begins all
anew with another lease instead of being written again under the same one.

Evidence: in 5 s of refused writes three servers took 141 leases; before a
lease was held only with its row they took 3.
"""

import curio

from emulator import day
from emulator import servers as servers_
from oleanderwood.platform import transport
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))

REFUSED_S = 5.0

MOST_LEASES = 12
"""Three servers, each lease of 1.5 s run out thrice, and one in reserve."""


def test_refused_row_is_written_again_under_the_same_lease():
    async def main(world):
        hear = world.network.handlers[servers_.STORE_ADDRESS]
        leases = []
        refusing = []

        async def refuse(source, method, target, *rest):
            if refusing and target == '/kv-lease':
                leases.append(source)
            if refusing and target == '/kv-txn':
                return transport.Answer(429, b'')
            return await hear(source, method, target, *rest)

        world.network.handlers[servers_.STORE_ADDRESS] = refuse
        for name in ('s1', 's2', 's3'):
            await servers.start(world, name)
        await curio.sleep(4.0)
        world.store.down, world.store.lapses = 'busy', True
        await curio.sleep(3.0)
        world.store.down, world.store.lapses = '', False
        refusing.append(True)
        await curio.sleep(REFUSED_S)
        return len(leases)

    assert servers.run(main, CONFIGURATION) <= MOST_LEASES
