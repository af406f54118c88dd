"""What a pool lacks must not cost a pass over all workers for each step.

What users would see: under load everything comes late; the leader's timers
are late, and it hands over to a server that fares alike. Cause: ten times a
second, for each waiting step that asks for a label, a gang or advice, the
room of each worker of the pool is built anew from all its runs, also if the
pool is known to lack a machine already.

Evidence: with 100 workers of eight runs and 300 waiting gangs it took 108 ms
of processor time a pass, more than the pass's 100 ms; 300 steps with a label
47 ms.
"""

from emulator import day
from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import pool_loop
from oleanderwood.pools import shortage
from tests import utils_jobs as build
from tests import utils_leading
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))

STEPS = 50
WORKERS = 10

MOST_ROOMS = 2 * WORKERS
"""All workers once, and once more for another way to count."""


def test_rooms_are_built_once_a_pass_and_not_for_each_step(monkeypatch):
    built = []
    real = shortage._idle

    def idle(worker):
        built.append(worker)
        return real(worker)

    async def main(world):
        leader = await utils_leading.lead(world)
        for number in range(STEPS):
            job = build.job(build.step(label='b'), name=f'{number:016x}')
            ledgers.add(leader.ledger, job, clock.now_s())
        members = [
            rebalancing.Member(f'm{i}', 8.0, build.worker(f'w{i}'))
            for i in range(WORKERS)
        ]
        view = rebalancing.PoolView(build.POOL, members)
        now_s = clock.now_s()
        pool_loop._note_demand(leader, {build.POOL: view}, now_s)
        assert len(view.waiting) == STEPS

    monkeypatch.setattr(shortage, '_idle', idle)
    servers.run(main, CONFIGURATION)
    assert 0 < len(built) <= MOST_ROOMS
