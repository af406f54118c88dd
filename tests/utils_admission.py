"""A pool whose callers are admitted by the leader's figures, no network."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

import msgspec

from emulator import servers
from oleanderwood.admission import controller as controllers
from oleanderwood.admission import figures as figures_
from oleanderwood.admission import gate as gates
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import admission_load
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shares as shares_
from oleanderwood.pools import waiting_order
from tests import utils_jobs as build

PASS_S = 0.02
INTERVAL_S = 0.25
RETRIES_S = (1.1, 0.8, 0.55, 0.4)
"""Pauses after which a caller retries; then it gives up."""

MACHINES = 6
CORES = 32
"""Ten jobs of 19 core-seconds a second fill the pool."""

LARGE = ids.TenantId('large')
SMALL = tuple(ids.TenantId(f'small-{n}') for n in range(8))
WEIGHTS = {LARGE: 5.0, **dict.fromkeys(SMALL, 1.0)}
USUAL = {LARGE: 3.0, **dict.fromkeys(SMALL, 0.4)}
"""Weight of each tenant, and jobs that it usually sends per second."""

Rates = collections.abc.Callable[[ids.TenantId, float], float]
"""Returns how many jobs a tenant sends per second at a time."""


def burst(
    tenants: collections.abc.Collection[ids.TenantId],
    factor: float,
    begin_s: float = 4.0,
    end_s: float = 10.0,
) -> Rates:
    """Return rates with a burst of some tenants."""

    def rate(tenant: ids.TenantId, at_s: float) -> float:
        is_high = tenant in tenants and begin_s <= at_s < end_s
        return USUAL[tenant] * (factor if is_high else 1.0)

    return rate


@dataclasses.dataclass
class Caller:
    """One caller and what came of its job.

    :ivar first_s: time of its first call
    :ivar real_s: actual duration of a task, by step
    :ivar refusals: times at which it was refused
    """

    tenant: ids.TenantId
    job: model.Job
    first_s: float
    real_s: list[float]
    accepted_s: float | None = None
    ended_s: float | None = None
    refusals: list[float] = dataclasses.field(default_factory=list)

    @property
    def lateness(self) -> float:
        """Return the time until its job ended as a multiple of its objective.

        Infinite if the job never ran.
        """
        if self.ended_s is None:
            return math.inf
        chain_s = model.longest_chain_s(self.job.work, self.real_s)
        return (self.ended_s - self.first_s) / (1.6 * chain_s + 0.6)

    @property
    def core_s(self) -> float:
        """Return the job's actual work."""
        return sum(
            step.tasks * step.needs.cpu_millicores / 1000 * length_s
            for step, length_s in zip(
                self.job.work.steps, self.real_s, strict=True
            )
        )


@dataclasses.dataclass
class Served:
    """What callers got, and what the leader published.

    :ivar samples: whether a worker had room for the smallest task, and the
        smallest share in force, by time
    """

    callers: list[Caller] = dataclasses.field(default_factory=list)
    figures: list[figures_.Figures] = dataclasses.field(default_factory=list)

    def between(
        self,
        begin_s: float,
        end_s: float,
        tenants: collections.abc.Collection[ids.TenantId] = tuple(WEIGHTS),
    ) -> list[Caller]:
        """Return the callers whose first call is in a span."""
        return [
            row
            for row in self.callers
            if begin_s <= row.first_s < end_s and row.tenant in tenants
        ]


def share_in_time(callers: list[Caller]) -> float:
    """Return the part of the callers whose jobs ended in time."""
    return sum(row.lateness <= 1.0 for row in callers) / max(1, len(callers))


def leader() -> states.Leader:
    """Build a leader with a pool, which never calls anybody."""
    process = servers.Process('s1', '10.0.0.1:1', '10.0.0.1:2')
    settings = servers.settings_of(process)
    server = states.Server(settings, 's1/1', stores.Store('10.9.0.1:1'))
    leading = states.Leader(server, 1, 1, 0.0, ledgers.Ledger())
    leading.admission.salt = 'salt'
    capacity = model.Resources(CORES * 1000, 256_000)
    for number in range(MACHINES):
        worker = build.worker(f'w{number}', capacity=capacity)
        leading.workers[worker.entry.worker] = worker
    return leading


def draw_callers(rates: Rates, length_s: float, seed: int) -> list[Caller]:
    """Draw callers, in the order of their first calls."""
    rng = random.Random(seed)
    rows = []
    for tenant in WEIGHTS:
        at_s = 0.0
        while at_s < length_s:
            at_s += rng.expovariate(rates(tenant, at_s))
            real_s, steps = [], []
            for number in range(1 + (rng.random() < 0.5)):
                took_s = min(1.6, rng.lognormvariate(math.log(0.58), 0.45))
                real_s.append(took_s)
                steps.append(
                    build.step(
                        min(12, max(1, round(rng.lognormvariate(1.5, 0.5)))),
                        cpu=rng.randint(2000, 5000),
                        guess_ms=took_s * 1000 * rng.uniform(0.7, 1.3),
                        after=(number - 1,) if number else (),
                    )
                )
            job = build.job(*steps, name=f'{rng.getrandbits(64):016x}')
            job = msgspec.structs.replace(
                job, tenant=tenant, queue=build.queue(public=False)
            )
            rows.append(Caller(tenant, job, at_s, real_s))
    return sorted(rows, key=lambda row: row.first_s)


class Play:
    """A day of one pool: callers, servers' gate, leader and workers.

    :ivar admits: whether admission control is in force
    """

    def __init__(self, rates, length_s=16.0, seed=1, admits=True) -> None:
        self.admits = admits
        self.length_s = length_s
        self.leader = leader()
        self.gate = gates.Gate()
        self.served = Served(draw_callers(rates, length_s, seed))
        self.calls = [
            (row.first_s, number, row)
            for number, row in enumerate(self.served.callers)
        ]
        heapq.heapify(self.calls)
        self.order = itertools.count(len(self.calls))
        self.ends: list = []
        self.by_job = {row.job.job: row for row in self.served.callers}
        self.arrivals_s = collections.defaultdict(collections.deque)

    def run(self) -> Served:
        """Play until all callers have ended or given up."""
        now_s, next_s = 0.0, 0.0
        while self.calls or self.ends:
            while self.calls and self.calls[0][0] <= now_s:
                self.call(heapq.heappop(self.calls)[2], now_s)
            while self.ends and self.ends[0][0] <= now_s:
                self.end(heapq.heappop(self.ends))
            self.start(now_s)
            if self.admits and now_s >= next_s:
                self.publish(now_s)
                next_s += INTERVAL_S
            now_s += PASS_S
        return self.served

    def call(self, caller: Caller, now_s: float) -> None:
        """Let a caller call a server."""
        job = caller.job
        outcome = gates.decide(
            self.gate, build.POOL, job.tenant, job.job, now_s
        )
        if isinstance(outcome, gates.Refused):
            caller.refusals.append(now_s)
            if len(caller.refusals) <= len(RETRIES_S):
                at_s = now_s + RETRIES_S[len(caller.refusals) - 1]
                heapq.heappush(self.calls, (at_s, next(self.order), caller))
            return
        caller.accepted_s = now_s
        entry = ledgers.add(self.leader.ledger, job, now_s)
        entry.over_rate = shares_.is_beyond(
            self.arrivals_s[job.tenant], WEIGHTS[job.tenant], now_s
        )

    def publish(self, now_s: float) -> None:
        """Compute figures and let the servers have them."""
        leading = self.leader
        loads = admission_load.measure(
            leading, leading.admission.limits, now_s
        )
        decision = controllers.decide(
            leading.admission,
            loads,
            admission_load.arrivals(leading, loads, now_s),
            controllers.Rules(WEIGHTS, 3.0),
            now_s,
        )
        if decision.figures is not None:
            self.served.figures.append(decision.figures)
            gates.receive(self.gate, decision.figures, now_s)

    def start(self, now_s: float) -> None:
        """Start tasks as the leader does, by the order in force."""
        leading = self.leader
        pool = list(leading.workers.values())
        quotas = quotas_.Quotas()
        for tenant, used in leading.ledger.running.items():
            quotas.used[tenant] = used
        whole = model.total(worker.entry.capacity for worker in pool)
        groups = waiting_order.ready_by_pool(
            leading.ledger,
            {'q': build.queue(public=False)},
            leading.lengths,
            0.0,
            now_s,
            tenant_order=lambda rows: shares_.order_by_share(
                rows, quotas, WEIGHTS, whole
            ),
        ).get(build.POOL, [])
        for row in placing.decide(groups, pool, now_s, 200):
            task, name = row.task, row.worker.entry.worker
            ledgers.begin_run(leading.ledger, task, name, now_s)
            row.worker.runs[task.name] = task
            real_s = self.by_job[task.group.entry.job.job].real_s
            ended_s = now_s + real_s[task.group.number]
            heapq.heappush(self.ends, (ended_s, task.name, row.worker, task))

    def end(self, row) -> None:
        """End a run."""
        at_s, name, worker, task = row
        lengths_.record(
            self.leader.lengths, task.group, at_s - task.run.begun_s
        )
        del worker.runs[name]
        ledgers.mark_done(self.leader.ledger, task, at_s)
        ledgers.end_run(self.leader.ledger, task, at_s)
        entry = task.group.entry
        if ledgers.is_final(entry):
            self.by_job[entry.job.job].ended_s = at_s
