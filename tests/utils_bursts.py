"""Bursts of several tenants on one pool, without a network."""

import collections
import dataclasses
import heapq
import math
import random

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.policy import model as policies
from oleanderwood.pools import burst_order
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shares
from oleanderwood.pools import waiting_order
from oleanderwood.tenants import model as tenants_
from oleanderwood.tenants import usage as usage_
from tests import utils_jobs as build

PASS_S = 0.02
CORES = 64
HALF_LIFE_S = 5.0
LARGE = ids.TenantId('t00')
SMALL = tuple(ids.TenantId(f't{number:02d}') for number in range(1, 20))


@dataclasses.dataclass(frozen=True)
class Load:
    """Jobs of twenty tenants; all jobs are of the kind in utils_overload.

    :ivar usual_per_s: rate of all tenants together outside of the burst, of
        which the pool can hold 16
    :ivar factor: rate during the burst, in multiples of the usual one
    :ivar large_factor: the same for the first tenant
    :ivar large_per_s: the first tenant's usual rate, in place of its part
    :ivar weight: weight of each tenant
    :ivar slow_from_s: when one worker becomes four times slower for 4 s
    :ivar new_leader_s: when a leader without recorded use takes over
    """

    seed: int
    factor: float = 1.0
    large_factor: float | None = None
    usual_per_s: float = 10.0
    large_per_s: float | None = None
    weight: float = 2.0
    machines: int = 6
    begin_s: float = 4.0
    burst_s: float = 8.0
    after_s: float = 10.0
    guess_spread: float = 0.9
    slow_from_s: float = math.inf
    new_leader_s: float = math.inf


@dataclasses.dataclass
class Caller:
    """A job, and what its caller got."""

    at_s: float
    job: model.Job
    real_s: list[float]
    took_s: float = math.inf
    over_rate: bool = False

    @property
    def objective_s(self) -> float:
        """Return the job's actual objective."""
        return 1.6 * model.longest_chain_s(self.job.work, self.real_s) + 0.6

    @property
    def in_time(self) -> bool:
        """Return whether the job ended within its objective."""
        return self.took_s <= self.objective_s


@dataclasses.dataclass
class Played:
    """Callers and runs of a played load.

    :ivar runs: begin, end, cores and job of each run
    """

    load: Load
    callers: list[Caller]
    runs: list[tuple[float, float, float, ids.JobId]]

    def share(
        self,
        from_s=0.0,
        until_s=math.inf,
        tenants=None,
        largest=1.0,
        within_rate=False,
    ):
        """Return the part of callers that were served in time.

        :param largest: part of the jobs that counts, by number of tasks
        :param within_rate: only jobs within their tenants' rates count
        """
        rows = [
            row
            for row in self.callers
            if from_s <= row.at_s < until_s
            and (tenants is None or row.job.tenant in tenants)
            and not (within_rate and row.over_rate)
        ]
        rows.sort(key=lambda row: -sum(s.tasks for s in row.job.work.steps))
        rows = rows[: max(1, int(largest * len(rows)))]
        return sum(row.in_time for row in rows) / max(1, len(rows))

    def burst(self) -> tuple[float, float]:
        """Return when the burst begins and ends."""
        return self.load.begin_s, self.load.begin_s + self.load.burst_s

    def work_in_time(self) -> tuple[float, float]:
        """Return the work in time as parts of all work and of the capacity.

        Counts from one second after the burst's begin, when the pool is full.
        """
        begin_s, end_s = self.burst()
        begin_s += 1.0
        good = {row.job.job for row in self.callers if row.in_time}
        done = useful = 0.0
        for from_s, until_s, cores, job in self.runs:
            within_s = min(until_s, end_s) - max(from_s, begin_s)
            done += cores * max(0.0, within_s)
            useful += cores * max(0.0, within_s) * (job in good)
        whole = CORES * self.load.machines * (end_s - begin_s)
        return useful / done, useful / whole


def _draw(load: Load) -> list[Caller]:
    rng = random.Random(load.seed)
    rows: list[Caller] = []
    begin_s, end_s = load.begin_s, load.begin_s + load.burst_s
    for tenant in (LARGE, *SMALL):
        usual_per_s, factor = load.usual_per_s / 20, load.factor
        if tenant == LARGE:
            usual_per_s = load.large_per_s or usual_per_s
            factor = load.large_factor or factor
        for from_s, until_s, rate_per_s in (
            (0.0, begin_s, usual_per_s),
            (begin_s, end_s, usual_per_s * factor),
            (end_s, end_s + load.after_s, usual_per_s),
        ):
            at_s = from_s + rng.expovariate(rate_per_s)
            while at_s < until_s:
                rows.append(_caller(rng, load, tenant, at_s))
                at_s += rng.expovariate(rate_per_s)
    rows.sort(key=lambda row: row.at_s)
    for number, row in enumerate(rows):
        row.job = msgspec.structs.replace(row.job, job=f'{number:016x}')
    return rows


def _caller(rng, load, tenant, at_s) -> Caller:
    steps, real_s = [], []
    for number in range(1 + (rng.random() < 0.45) + (rng.random() < 0.1)):
        length_s = min(1.6, rng.lognormvariate(math.log(0.58), 0.45))
        deviation = rng.gauss(0.0, load.guess_spread)
        real_s.append(length_s)
        steps.append(
            build.step(
                min(24, max(1, round(rng.lognormvariate(1.6, 0.6)))),
                cpu=rng.randint(2000, 5000),
                guess_ms=max(30.0, length_s * math.exp(deviation) * 700),
                after=(number - 1,) if number else (),
            )
        )
    job = msgspec.structs.replace(build.job(*steps), tenant=tenant)
    return Caller(at_s, job, real_s)


def play(load: Load, ordering: bool) -> Played:
    """Play a load with the product's own ordering and placement.

    :param ordering: with the order for bursts, else by arrival
    """
    callers = _draw(load)
    by_job = {row.job.job: row for row in callers}
    ledger = ledgers.Ledger()
    lengths = lengths_.Lengths()
    capacity = model.Resources(CORES * 1000, 256_000)
    pool = [
        build.worker(f'w{i}', capacity=capacity) for i in range(load.machines)
    ]
    workers = {worker.entry.worker: worker for worker in pool}
    weights = dict.fromkeys((LARGE, *SMALL), load.weight)
    arrivals = collections.defaultdict(collections.deque)
    usage = usage_.Usage()
    known = {'q': build.queue()}
    ends: list = []
    runs: list = []
    now_s, arriving = 0.0, list(reversed(callers))
    while arriving or ends or ledger.open_groups:
        while arriving and arriving[-1].at_s <= now_s:
            row = arriving.pop()
            entry = ledgers.add(ledger, row.job, now_s)
            entry.over_rate = row.over_rate = shares.is_beyond(
                arrivals[row.job.tenant], load.weight, now_s
            )
        while ends and ends[0][0] <= now_s:
            end_s, name, task = heapq.heappop(ends)
            lengths_.record(lengths, task.group, end_s - task.run.begun_s)
            del workers[task.run.worker].runs[name]
            ledgers.mark_done(ledger, task, end_s)
            ledgers.end_run(ledger, task, end_s)
        if load.new_leader_s <= now_s < load.new_leader_s + PASS_S:
            usage = usage_.Usage()
        cores = burst_order.running_cores(ledger)
        usage_.advance(usage, cores, HALF_LIFE_S, now_s)
        limits = dict.fromkeys(weights, tenants_.Limit())
        quotas = quotas_.make(policies.Policy(), pool, ledger, limits)
        whole = model.Resources(CORES * 1000 * load.machines, 1536_000)
        recent = usage if ordering else None
        ready = waiting_order.ready_by_pool(
            ledger,
            known,
            lengths,
            0.0,
            now_s,
            tenant_order=lambda groups: shares.order_by_share(
                groups, quotas, weights, whole, recent
            ),
            ordering=burst_order.Ordering({build.POOL: pool}, usage, weights)
            if ordering
            else None,
        )
        for row in placing.decide(
            ready.get(build.POOL, []), pool, now_s, 200, quotas
        ):
            task = row.task
            name = row.worker.entry.worker
            ledgers.begin_run(ledger, task, name, now_s)
            row.worker.runs[task.name] = task
            job = task.group.entry.job.job
            took_s = by_job[job].real_s[task.group.number]
            if name == 'w0' and 0 <= now_s - load.slow_from_s < 4.0:
                took_s *= 4.0
            heapq.heappush(ends, (now_s + took_s, task.name, task))
            cores = task.group.step.needs.cpu_millicores / 1000
            runs.append((now_s, now_s + took_s, cores, job))
        now_s += PASS_S
    for row in callers:
        row.took_s = ledger.entries[row.job.job].ended_s - row.at_s
    return Played(load, callers, runs)
