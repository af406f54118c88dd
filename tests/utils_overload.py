"""A pool that gets a burst larger than it can hold, without a network."""

import dataclasses
import heapq
import math
import random

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import placing
from oleanderwood.pools import waiting_order
from tests import utils_jobs as build

PASS_S = 0.02
CORES = 64


@dataclasses.dataclass
class Burst:
    """Small jobs that arrive faster than the pool can run them.

    :ivar jobs_per_s: six tasks of 3.5 cores and 0.64 s each on average
    :ivar guess_spread: standard deviation of the logarithm of estimates
    """

    seed: int
    machines: int = 6
    jobs_per_s: float = 30.0
    length_s: float = 8.0
    guess_spread: float = 0.9


@dataclasses.dataclass
class Served:
    """What callers got.

    :ivar in_time: by job, whether it ended within its objective
    :ivar tasks: by job, the number of its tasks
    """

    in_time: dict[str, bool] = dataclasses.field(default_factory=dict)
    tasks: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def share(self) -> float:
        """Return the part of the jobs that ended in time."""
        return sum(self.in_time.values()) / len(self.in_time)

    def share_of_largest(self, part: float) -> float:
        """Return the share that ended in time of the jobs with the most tasks.

        :param part: part of all jobs that counts as the largest
        """
        names = sorted(self.tasks, key=lambda name: -self.tasks[name])
        names = names[: max(1, int(part * len(names)))]
        return sum(self.in_time[name] for name in names) / len(names)


def _draw(rng: random.Random, burst: Burst) -> list[tuple[float, model.Job]]:
    """Draw jobs with their arrivals and the actual durations by step."""
    rows = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(burst.jobs_per_s)
        if at_s > burst.length_s:
            return rows
        steps, real_s = [], []
        for number in range(1 + (rng.random() < 0.45) + (rng.random() < 0.1)):
            length_s = min(1.6, rng.lognormvariate(math.log(0.58), 0.45))
            deviation = rng.gauss(0.0, burst.guess_spread)
            real_s.append(length_s)
            steps.append(
                build.step(
                    min(24, max(1, round(rng.lognormvariate(1.6, 0.6)))),
                    cpu=rng.randint(2000, 5000),
                    guess_ms=max(30.0, length_s * math.exp(deviation) * 700),
                    after=(number - 1,) if number else (),
                )
            )
        job = build.job(*steps, name=f'{len(rows):016x}')
        rows.append((at_s, job, real_s))


def play(burst: Burst, lengths: lengths_.Lengths) -> Served:
    """Play a burst with the product's own ordering and placement."""
    rng = random.Random(burst.seed)
    rows = _draw(rng, burst)
    real = {job.job: real_s for _at_s, job, real_s in rows}
    ledger = ledgers.Ledger()
    capacity = model.Resources(CORES * 1000, 256_000)
    pool = [
        build.worker(f'w{i}', capacity=capacity) for i in range(burst.machines)
    ]
    workers = {worker.entry.worker: worker for worker in pool}
    served = Served()
    known = {'q': build.queue()}
    ends: list = []
    now_s, arriving = 0.0, list(reversed(rows))
    while arriving or ends:
        while arriving and arriving[-1][0] <= now_s:
            ledgers.add(ledger, arriving.pop()[1], now_s)
        while ends and ends[0][0] <= now_s:
            _end(ledger, workers, lengths, heapq.heappop(ends))
        _start(ledger, pool, known, lengths, ends, real, now_s)
        now_s += PASS_S
    for at_s, job, real_s in rows:
        entry = ledger.entries[job.job]
        chain_s = model.longest_chain_s(job.work, real_s)
        took_s = entry.ended_s - at_s
        served.in_time[job.job] = took_s <= 1.6 * chain_s + 0.6
        served.tasks[job.job] = sum(step.tasks for step in job.work.steps)
    return served


def _start(ledger, pool, known, lengths, ends, real, now_s) -> None:
    ready = waiting_order.ready_by_pool(ledger, known, lengths, 0.0, now_s)
    groups = ready.get(build.POOL, [])
    for placement in placing.decide(groups, pool, now_s, 200):
        task = placement.task
        ledgers.begin_run(ledger, task, placement.worker.entry.worker, now_s)
        placement.worker.runs[task.name] = task
        took_s = real[task.group.entry.job.job][task.group.number]
        row = (now_s + took_s, task.name, placement.worker, task)
        heapq.heappush(ends, row)


def _end(ledger, workers, lengths, row) -> None:
    at_s, name, worker, task = row
    lengths_.record(lengths, task.group, at_s - task.run.begun_s)
    del worker.runs[ids.TaskId(name)]
    ledgers.mark_done(ledger, task, at_s)
    ledgers.end_run(ledger, task, at_s)
