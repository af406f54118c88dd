"""Overlapping bursts of two pools on a fleet too small for both."""

import contextlib
import dataclasses
import heapq
import itertools
import math
import random
from unittest import mock

import curio
import msgspec

from oleanderwood import boot
from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.leading import machine_handover
from oleanderwood.leading import pool_loop
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.policy import model as policies
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import placing
from oleanderwood.pools import waiting_order
from oleanderwood.tenants import model as tenants
from tests import utils_jobs as build
from tests import utils_settings

PASS_S = 0.02
BALANCE_S = 0.2
CAPACITY = model.Resources(32_000, 256_000)
LARGE, SMALL = ids.ServiceId('large'), ids.ServiceId('small')
QUEUES = {
    pool: build.queue(name=pool, prefix=f'/{pool}/', service=pool)
    for pool in (LARGE, SMALL)
}
TENANTS = {
    ids.TenantId(name): tenants.Tenant(ids.TenantId(name), weight)
    for name, weight in (('pressing', 1.0), ('others', 1000.0))
}
"""The first is assured one job per second, and sends more."""


@dataclasses.dataclass(frozen=True)
class Burst:
    """Jobs of one pool.

    :ivar tasks: tasks of a step
    :ivar length_s: median time of a task, which needs four cores
    :ivar excess: share of the jobs that one customer sends
    """

    pool: ids.ServiceId
    begin_s: float
    jobs_per_s: float
    tasks: int
    length_s: float
    excess: float = 0.0
    checkpoints: bool = False


@dataclasses.dataclass(frozen=True)
class Plan:
    """What is played.

    :ivar large, small: initial machines of the two pools
    :ivar rack_fails_s: when machines of the large pool go down for good
    :ivar leader_changes_s: when nobody leads for as long as an election takes
    :ivar list_stale_s: from when until when the machine list can't be read
    """

    seed: int
    balancing: bool
    large: int = 24
    small: int = 16
    bursts: tuple[Burst, ...] = (
        Burst(LARGE, 0.0, 5.0, 24, 2.2, excess=0.5, checkpoints=True),
        Burst(SMALL, 5.0, 24.0, 8, 0.7),
    )
    burst_s: float = 8.0
    stop_s: float = 0.4
    restore_s: float = 0.25
    move_s: float = 1.5
    rack: int = 8
    rack_fails_s: float = math.inf
    leader_changes_s: float = math.inf
    list_stale_s: tuple[float, float] = (math.inf, math.inf)
    election_s: float = 2.5


@dataclasses.dataclass
class Played:
    """What came of it.

    :ivar rows: by job: pool, whether it was assured, whether it was in time
    :ivar sizes: machines that serve each pool, by time
    :ivar grants: the leader's grants, by time
    :ivar drained: number of machines that are being drained, by time
    :ivar fleet: machines that are not down, by time
    :ivar moves_s: times of moves
    :ivar events: number of log lines by event
    """

    rows: dict[ids.JobId, tuple[ids.ServiceId, bool, bool]]
    sizes: dict[float, dict[ids.ServiceId, int]]
    grants: dict[float, dict[ids.ServiceId, int]]
    drained: dict[float, int]
    fleet: dict[float, int]
    moves_s: list[float]
    events: dict[str, int]

    def share(self, pool: ids.ServiceId, assured: bool = True) -> float:
        """Return the share of a pool's jobs that ended in time."""
        found = [
            in_time
            for name, is_assured, in_time in self.rows.values()
            if name == pool and is_assured == assured
        ]
        return sum(found) / len(found)

    def size_at(self, pool: ids.ServiceId, at_s: float) -> int:
        """Return how many machines served a pool at a time."""
        return self.sizes[round(at_s, 2)][pool]


def play(plan: Plan) -> Played:
    """Play bursts with the product's own balancing, order and placement."""
    return curio.run(_World(plan).run)


class _World:
    """Machines and tasks that do what a leader decides."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.now_s = 0.0
        self.serial = itertools.count()
        self.jobs = _draw(plan)
        self.left_s: dict[ledgers.Task, float] = {}
        self.ends: list = []
        self.arrivals: list = []
        self.played = Played({}, {}, {}, {}, {}, [], {})
        self.leader = self._new_leader(ledgers.Ledger())
        for pool, count in ((LARGE, plan.large), (SMALL, plan.small)):
            for _ in range(count):
                self._come_up(f'm{next(self.serial)}', pool)

    def _new_leader(self, ledger: ledgers.Ledger) -> states.Leader:
        plan = self.plan
        raw = utils_settings.raw(
            task_stop_ms=plan.stop_s * 1000,
            task_restore_ms=plan.restore_s * 1000,
        )
        configuration = queues.Configuration(
            1,
            tuple(QUEUES.values()),
            (LARGE, SMALL),
            tenants=tenants.Tenants(TENANTS),
        )
        server = states.Server(
            boot.check(raw), 'p', None, configuration=configuration
        )
        leader = states.Leader(server, 1, 1, self.now_s, ledger)
        mode = policies.Mode.ON if plan.balancing else policies.Mode.OFF
        policy = policies.Policy(load=policies.Load(balancing=mode))
        leader.policy = msgspec.structs.replace(policies.NONE, policy=policy)
        return leader

    async def run(self) -> Played:
        with contextlib.ExitStack() as stack:
            for target, name, value in (
                (clock, 'now_s', lambda: self.now_s),
                (event_log, 'emit', self._count),
                (machine_handover, 'announce', self._announce),
                (machine_handover, 'allowance', lambda leader: 99),
                (pool_loop, '_send_moves', self._move),
                (pool_loop, 'read_machines', self._read),
            ):
                stack.enter_context(mock.patch.object(target, name, value))
            await self._run()
        return self.played

    async def _run(self) -> None:
        plan, waiting = self.plan, list(reversed(self.jobs))
        rack_fails_s, changes_s = plan.rack_fails_s, plan.leader_changes_s
        for number in itertools.count():
            self.now_s = round(number * PASS_S, 2)
            while waiting and waiting[-1][0] <= self.now_s:
                self._hand_in(*waiting.pop())
            self._end_runs()
            while self.arrivals and self.arrivals[0][0] <= self.now_s:
                self._come_up(*heapq.heappop(self.arrivals)[1:])
            if self.now_s >= rack_fails_s:
                rack_fails_s = math.inf
                self._fail_rack()
            if self.now_s >= changes_s + plan.election_s:
                changes_s = math.inf
                self._change_leader()
            if self.now_s < changes_s:
                if number % round(BALANCE_S / PASS_S) == 0:
                    await self._balance()
                self._start()
            if not waiting and not self.left_s:
                return

    async def _balance(self) -> None:
        leader = self.leader
        await self._read(leader)
        for task, left_s in self.left_s.items():
            run = task.run
            if run is not None and self.now_s > run.begun_s:
                done_s = self.now_s - run.begun_s
                run.percent = min(99.0, 100 * done_s / left_s)
                run.last_progress_s = self.now_s
        await pool_loop.balance(leader)
        for worker in leader.workers.values():
            for task in worker.runs.values():
                if task.run.phase is ledgers.RunPhase.STOPPING:
                    end_s = task.run.phase_since_s + self.plan.stop_s
                    self._end_at(end_s, task)
        machines = leader.fleet.machines.values()
        sizes = {LARGE: 0, SMALL: 0}
        for machine in machines:
            sizes[machine.pool] += machine.state is fleet.State.UP
        self.played.sizes[self.now_s] = sizes
        self.played.grants[self.now_s] = dict(leader.fleet.grants)
        self.played.drained[self.now_s] = sum(
            worker.is_reclaimed for worker in leader.workers.values()
        )
        self.played.fleet[self.now_s] = sum(
            machine.state is not fleet.State.DOWN for machine in machines
        )

    def _hand_in(self, at_s, job, real_s) -> None:
        leader = self.leader
        entry = ledgers.add(leader.ledger, job, self.now_s)
        pool_loop.record_job_arrival(leader, entry, self.now_s)
        for group in entry.groups.values():
            for task in group.tasks:
                self.left_s[task] = real_s[group.number]

    def _start(self) -> None:
        leader = self.leader
        ready = waiting_order.ready_by_pool(
            leader.ledger,
            states.known_queues(leader),
            leader.lengths,
            0.0,
            self.now_s,
        )
        for pool, groups in ready.items():
            workers = [
                worker
                for worker in leader.workers.values()
                if worker.entry.service == pool
            ]
            for row in placing.decide(groups, workers, self.now_s, 400):
                name = row.worker.entry.worker
                run = ledgers.begin_run(
                    leader.ledger, row.task, name, self.now_s
                )
                ledgers.set_phase(run, ledgers.RunPhase.RUNNING, self.now_s)
                row.worker.runs[row.task.name] = row.task
                self._end_at(self.now_s + self.left_s[row.task], row.task)

    def _end_at(self, at_s: float, task: ledgers.Task) -> None:
        row = (at_s, next(self.serial), task, task.run)
        heapq.heappush(self.ends, row)

    def _end_runs(self) -> None:
        leader = self.leader
        while self.ends and self.ends[0][0] <= self.now_s:
            at_s, _serial, task, run = heapq.heappop(self.ends)
            if task.run is not run:
                continue
            worker = leader.workers[run.worker]
            del worker.runs[task.name]
            worker.idle_since_s = self.now_s
            done_s = at_s - run.begun_s
            if done_s < self.left_s[task] - PASS_S / 2:
                self.left_s[task] += self.plan.restore_s - done_s
                ledgers.end_run(leader.ledger, task, self.now_s)
                continue
            lengths_.record(leader.lengths, task.group, done_s)
            del self.left_s[task]
            ledgers.mark_done(leader.ledger, task, self.now_s)
            ledgers.end_run(leader.ledger, task, self.now_s)
            if ledgers.is_final(task.group.entry):
                self._judge(task.group.entry)

    def _judge(self, entry: ledgers.Entry) -> None:
        real_s = next(
            row[2] for row in self.jobs if row[1].job == entry.job.job
        )
        chain_s = model.longest_chain_s(entry.job.work, real_s)
        took_s = self.now_s - entry.arrived_s
        self.played.rows[entry.job.job] = (
            entry.job.queue.service,
            not entry.over_rate,
            took_s <= 1.6 * chain_s + 0.6,
        )

    def _come_up(self, name: str, pool: ids.ServiceId) -> None:
        executor = ids.ExecutorId(f'w{next(self.serial)}')
        worker = build.worker(
            executor, service=pool, machine=name, capacity=CAPACITY
        )
        worker.idle_since_s = self.now_s
        worker.has_reported = True
        self.leader.workers[worker.entry.worker] = worker
        self.leader.incarnations[executor] = {worker.entry.worker: None}
        self._list(name, pool, fleet.State.UP, executor)

    def _list(self, name, pool, state, executor='') -> None:
        self.leader.fleet.machines[name] = fleet.Machine(
            name,
            ids.PoolId(pool),
            state,
            capacity=CAPACITY,
            worker=ids.ExecutorId(executor),
        )

    def _take_down(self, name: str, pool, state) -> None:
        leader = self.leader
        executor = leader.fleet.machines[name].worker
        worker = leader.workers.pop(ids.VmId(executor))
        worker.gone = True
        for task in worker.runs.values():
            ledgers.end_run(leader.ledger, task, self.now_s)
        self._list(name, pool, state)

    def _fail_rack(self) -> None:
        failed = [
            machine
            for machine in self.leader.fleet.machines.values()
            if machine.pool == LARGE and machine.state is fleet.State.UP
        ]
        for machine in failed[: self.plan.rack]:
            self._take_down(machine.machine, LARGE, fleet.State.DOWN)

    def _change_leader(self) -> None:
        old = self.leader
        self.leader = new = self._new_leader(old.ledger)
        new.workers, new.incarnations = old.workers, old.incarnations
        new.lengths = old.lengths
        new.fleet.machines = old.fleet.machines
        new.fleet.first_sizes = old.fleet.first_sizes
        new.fleet.announced = old.fleet.announced
        for worker in new.workers.values():
            worker.is_reclaimed = worker.closed = False
        for entry in new.ledger.entries.values():
            pool_loop.record_job_arrival(new, entry, entry.arrived_s)

    async def _read(self, leader: states.Leader) -> None:
        begin_s, end_s = self.plan.list_stale_s
        if not begin_s <= self.now_s < end_s:
            leader.fleet.machines_read_s = self.now_s

    async def _announce(self, leader, names, maintenance=False) -> bool:
        leader.fleet.announced.update(dict.fromkeys(names, self.now_s))
        return True

    async def _move(self, leader, moves) -> None:
        for move in moves:
            self.played.moves_s.append(self.now_s)
            machine = leader.fleet.machines[move.machine]
            assert not leader.workers[ids.VmId(machine.worker)].runs
            self._take_down(move.machine, move.target, fleet.State.MOVING)
            at_s = self.now_s + self.plan.move_s
            heapq.heappush(self.arrivals, (at_s, move.machine, move.target))

    def _count(self, part: str, event: str, **fields) -> None:
        name = f'{part} {event}'
        self.played.events[name] = self.played.events.get(name, 0) + 1


def _draw(plan: Plan) -> list[tuple[float, model.Job, list[float]]]:
    """Draw jobs with their arrivals and the actual durations by step."""
    rng = random.Random(plan.seed)
    rows = []
    for burst in plan.bursts:
        at_s = burst.begin_s
        while True:
            at_s += rng.expovariate(burst.jobs_per_s)
            if at_s > burst.begin_s + plan.burst_s:
                break
            rows.append((at_s, *_draw_job(rng, burst, len(rows))))
    return sorted(rows, key=lambda row: row[0])


def _draw_job(rng, burst, number) -> tuple[model.Job, list[float]]:
    steps, real_s = [], []
    for index in range(1 + (rng.random() < 0.5)):
        length_s = burst.length_s * rng.lognormvariate(0.0, 0.35)
        real_s.append(length_s)
        steps.append(
            build.step(
                max(1, round(burst.tasks * rng.uniform(0.5, 1.5))),
                cpu=4000,
                guess_ms=length_s * rng.lognormvariate(0.0, 0.4) * 1000,
                after=(index - 1,) if index else (),
                checkpoints=burst.checkpoints,
            )
        )
    tenant = 'pressing' if rng.random() < burst.excess else 'others'
    job = build.job(*steps, name=f'{number:016x}')
    job = msgspec.structs.replace(
        job, queue=QUEUES[burst.pool], tenant=ids.TenantId(tenant)
    )
    return job, real_s
