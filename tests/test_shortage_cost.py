"""The check of what a pool lacks must not visit all workers for each step.

Ten times a second, for each waiting step with a label, a gang or advice, the
free capacity of each worker of the pool was computed again from all its runs,
even if the pool was known to lack a machine already. With 100 workers of eight
runs and 300 waiting gangs, a pass took 108 ms of processor time, more than its
interval of 100 ms; 300 steps with a label took 47 ms. The leader's timers were
late, and it handed over to a server that was no faster.

Nor may it visit them for steps that lack what is recorded already, or go on
once it has found one.
"""

from emulator import day
from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import pool_loop
from oleanderwood.maintenance import fleet
from oleanderwood.pools import advised
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
    checked = []
    real = shortage._idle_capacity
    fits_nowhere = shortage.fits_nowhere

    def idle(worker):
        built.append(worker)
        return real(worker)

    def check(group, *rest):
        checked.append(group)
        return fits_nowhere(group, *rest)

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
        # None of the pool's machines has the label: nothing to size it for.
        assert not view.waiting

    monkeypatch.setattr(shortage, '_idle_capacity', idle)
    monkeypatch.setattr(shortage, 'fits_nowhere', check)
    servers.run(main, CONFIGURATION)
    assert len(checked) == STEPS
    assert 0 < len(built) <= MAX_COMPUTED


def _visits(monkeypatch, refuse, label):
    """Return how often a worker was considered for a waiting step."""
    visited = []
    real = advised.may_run

    def may_run(group, worker, refused):
        visited.append(worker)
        return real(group, worker, refused)

    async def main(world):
        leader = await utils_leading.lead(world)
        now_s = clock.now_s()
        workers = [build.worker(f'w{i}') for i in range(WORKERS)]
        for number in range(STEPS):
            job = build.job(build.step(label=label), name=f'{number:016x}')
            ledgers.add(leader.ledger, job, now_s)
        for group in leader.ledger.open_groups:
            if refuse:
                rows = [(r.entry.machine, r.entry.worker) for r in workers]
                group.tickets, group.asked = {}, frozenset(rows)
                advised.record_refusals(group, rows, now_s)
        members = [
            rebalancing.Member(row.entry.machine, 8.0, row) for row in workers
        ]
        leader.fleet.machines = {
            'm0': fleet.Machine(
                'm0',
                'another',
                fleet.State.UP,
                labels=(label,),
                capacity=workers[0].entry.capacity,
            )
        }
        view = rebalancing.PoolView(build.POOL, members)
        pool_loop._record_demand(leader, {build.POOL: view}, now_s)
        assert len(view.waiting) == (0 if refuse else STEPS)
        assert view.lacks_labels == ({label} if refuse else set())

    monkeypatch.setattr(advised, 'may_run', may_run)
    servers.run(main, CONFIGURATION)
    return len(visited)


def test_steps_refused_alike_are_checked_once(monkeypatch):
    """3000 steps took 234 ms, as each one might have narrowed the refusals."""
    assert 0 < _visits(monkeypatch, True, 'a') <= WORKERS


def test_no_worker_is_visited_beyond_one_that_fits(monkeypatch):
    assert 0 < _visits(monkeypatch, False, 'a') <= STEPS


def test_steps_that_any_machine_may_run_are_held_against_none(monkeypatch):
    """In a burst each step of another size was held against all machines."""
    compared = []
    real = shortage.could_hold

    def could_hold(step, labels, capacity):
        compared.append(step)
        return real(step, labels, capacity)

    async def main(world):
        leader = await utils_leading.lead(world)
        now_s = clock.now_s()
        workers = [build.worker(f'w{i}') for i in range(WORKERS)]
        for number in range(STEPS):
            job = build.job(
                build.step(cpu=1000 + number), name=f'{number:016x}'
            )
            ledgers.add(leader.ledger, job, now_s)
        members = [
            rebalancing.Member(row.entry.machine, 8.0, row) for row in workers
        ]
        leader.fleet.machines = {
            row.entry.machine: fleet.Machine(
                row.entry.machine,
                build.POOL,
                fleet.State.UP,
                capacity=row.entry.capacity,
            )
            for row in workers
        }
        view = rebalancing.PoolView(build.POOL, members)
        pool_loop._record_demand(leader, {build.POOL: view}, now_s)
        assert len(view.waiting) == STEPS

    monkeypatch.setattr(shortage, 'could_hold', could_hold)
    servers.run(main, CONFIGURATION)
    assert not compared
