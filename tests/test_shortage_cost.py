"""The check of what a pool lacks must not visit all workers for each step.

Ten times a second, for each waiting step with a label, a gang or advice, the
free capacity of each worker of the pool was computed again from all its runs,
even if the pool was known to lack a machine already. With 100 workers of eight
runs and 300 waiting gangs, a pass took 108 ms of processor time, more than its
interval of 100 ms; 300 steps with a label took 47 ms. The leader's timers were
late, and it handed over to a server that was no faster.
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

MAX_COMPUTED = 2 * WORKERS
"""Each worker once, and once more to allow for another way of counting."""


def test_free_capacity_is_computed_once_a_pass_and_not_per_step(monkeypatch):
    built = []
    real = shortage._idle_capacity

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
        pool_loop._record_demand(leader, {build.POOL: view}, now_s)
        assert len(view.waiting) == STEPS

    monkeypatch.setattr(shortage, '_idle_capacity', idle)
    servers.run(main, CONFIGURATION)
    assert 0 < len(built) <= MAX_COMPUTED
