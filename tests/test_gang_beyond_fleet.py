"""A gang that no pool could hold must not attract all machines.

A gang of long-running tasks that needs more machines than exist took one
machine after another from standby and other pools, and kept them all: the gang
didn't fit on its pool's workers, so the pool got one machine more, and so on.
The check asked whether another machine could hold one task of the gang, not
whether all machines together could hold the gang. Other jobs end this when
their deadline has passed; long-running ones have none.
"""

import pytest

from emulator import day
from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import pool_loop
from oleanderwood.maintenance import fleet
from tests import utils_jobs as build
from tests import utils_leading
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))

MACHINES = 4


@pytest.mark.parametrize('tasks, lacks', [(MACHINES, True), (40, False)])
def test_only_a_gang_that_all_machines_could_hold_brings_one_more(
    tasks, lacks
):
    found = []

    async def main(world):
        leader = await utils_leading.lead(world)
        step = build.step(tasks, cpu=5000, gang=True, is_long_running=True)
        ledgers.add(leader.ledger, build.job(step), clock.now_s())
        worker = build.worker('w0')
        for number in range(MACHINES):
            name = f'm{number}'
            leader.fleet.machines[name] = fleet.Machine(
                name,
                build.POOL if number == 0 else 'off',
                fleet.State.UP,
                worker=f'w{number}',
                labels=('a', 'r1'),
                capacity=model.Resources(8000, 64000),
            )
        member = rebalancing.Member('m0', 8.0, worker)
        view = rebalancing.PoolView(build.POOL, [member])
        now_s = clock.now_s()
        pool_loop._record_demand(leader, {build.POOL: view}, now_s)
        found.append(view.lacks_suitable_machine)

    servers.run(main, CONFIGURATION)
    assert found == [lacks]
