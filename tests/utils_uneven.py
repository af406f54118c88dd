"""A pool with slow workers or a rack that fails, without a network."""

import dataclasses
import math
import random

import msgspec

from oleanderwood import boot
from oleanderwood.capacity import rebalancing
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import schedule
from oleanderwood.leading import slow_workers
from oleanderwood.leading import state as states
from oleanderwood.policy import model as policies
from oleanderwood.pools import placing
from oleanderwood.pools import waiting_order
from oleanderwood.pools import workers as workers_
from tests import utils_jobs as build
from tests import utils_settings

PASS_S = 0.02
REPORT_S = 0.2
START_S = 0.1
STOP_S = 0.9
RESTORE_S = 0.6
DETECTION_S = 1.0
"""Time in seconds after which a failed rack's runs are known to be over."""

CORES = 32


@dataclasses.dataclass(frozen=True)
class Trouble:
    """Part of the workers from a time on.

    :ivar slowdown: factor by which they are slower; 0: they are gone
    """

    workers: frozenset[str]
    from_s: float = 4.0
    to_s: float = 10.0
    slowdown: float = 5.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Jobs of one to three steps with six tasks of 3.5 cores on average.

    :ivar has_spare: the pool has more machines than it needs
    """

    seed: int
    trouble: Trouble
    placement: bool
    jobs_per_s: float = 12.0
    length_s: float = 14.0
    machines: int = 18
    racks: int = 3
    guess_spread: float = 0.9
    has_spare: bool = False


@dataclasses.dataclass
class Served:
    """What callers got.

    :ivar in_time: by job, whether it ended within its objective
    :ivar lost: by job that lost a task, the part of its running tasks lost
    :ivar lost_tasks: by the same jobs, their number
    """

    in_time: dict[str, bool] = dataclasses.field(default_factory=dict)
    lost: dict[str, float] = dataclasses.field(default_factory=dict)
    lost_tasks: dict[str, int] = dataclasses.field(default_factory=dict)
    restarts: int = 0

    @property
    def share(self) -> float:
        """Return the part of the jobs that ended in time."""
        return sum(self.in_time.values()) / len(self.in_time)

    @property
    def late(self) -> int:
        """Return the number of jobs that ended late."""
        return len(self.in_time) - sum(self.in_time.values())


@dataclasses.dataclass
class _Run:
    """A run as its worker has it; ``work_s`` includes its start."""

    worker: str
    work_s: float
    done_s: float = 0.0
    stop_s: float = math.inf


def names(rack: int, load_racks: int = 3, machines: int = 18):
    """Return the workers of one rack."""
    return frozenset(f'w{i}' for i in range(rack, machines, load_racks))


def leader_of(load: Load) -> states.Leader:
    """Build a leader of a pool, without a store or a network."""
    settings = boot.check(utils_settings.raw())
    leader = states.Leader(
        states.Server(settings, 'p', None), 1, 1, 0.0, ledgers.Ledger()
    )
    mode = policies.Mode.ON if load.placement else policies.Mode.OFF
    policy = policies.Policy(load=policies.Load(placement=mode))
    leader.policy = msgspec.structs.replace(policies.NONE, policy=policy)
    needed = load.machines - load.has_spare
    leader.fleet.needs[build.POOL] = rebalancing.Need(needed, needed, needed)
    for number in range(load.machines):
        worker = build.worker(
            f'w{number}',
            capacity=model.Resources(CORES * 1000, 128_000),
            labels=('a', f'r{number % load.racks}'),
        )
        leader.workers[worker.entry.worker] = worker
    return leader


def _draw(rng: random.Random, load: Load) -> list:
    """Draw jobs with their arrivals and the actual durations by step."""
    rows, at_s = [], rng.expovariate(load.jobs_per_s)
    while at_s <= load.length_s:
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
        job = build.job(*steps, name=f'{len(rows):016x}')
        rows.append((at_s, job, real_s))
        at_s += rng.expovariate(load.jobs_per_s)
    return rows


class Day:
    """A leader, its workers' runs, and the time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.leader = leader_of(load)
        self.rows = _draw(random.Random(load.seed), load)
        self.real = {job.job: real_s for _at_s, job, real_s in self.rows}
        self.runs: dict[ledgers.Task, _Run] = {}
        self.served = Served()
        self.now_s = 0.0


def play(load: Load) -> Served:
    """Play a load with the product's own measurement and placement."""
    day = Day(load)
    arriving = list(reversed(day.rows))
    trouble = load.trouble
    while arriving or day.leader.ledger.open_groups or day.runs:
        while arriving and arriving[-1][0] <= day.now_s:
            ledgers.add(day.leader.ledger, arriving.pop()[1], day.now_s)
        if not trouble.slowdown and day.now_s >= trouble.from_s:
            _fail(day)
        _advance(day)
        _place(day)
        day.now_s += PASS_S
    for at_s, job, real_s in day.rows:
        entry = day.leader.ledger.entries[job.job]
        limit_s = 1.6 * model.longest_chain_s(job.work, real_s) + 0.6
        day.served.in_time[job.job] = entry.ended_s - at_s <= limit_s
    return day.served


def _advance(day: Day) -> None:
    """Let the workers work until now, and process their reports."""
    ended: dict[str, list[ledgers.Task]] = {}
    trouble = day.load.trouble
    slow = trouble.slowdown and trouble.from_s <= day.now_s < trouble.to_s
    for task, run in list(day.runs.items()):
        is_slow = slow and run.worker in trouble.workers
        run.done_s += PASS_S / (trouble.slowdown if is_slow else 1.0)
        if run.done_s >= run.work_s or day.now_s >= run.stop_s:
            ended.setdefault(run.worker, []).append(task)
    for number, (name, worker) in enumerate(list(day.leader.workers.items())):
        phase = round(day.now_s / PASS_S) + number
        if name in ended or phase % round(REPORT_S / PASS_S) == 0:
            _report(day, worker, ended.get(name, []))


def _report(day: Day, worker: workers_.Worker, ended: list) -> None:
    if worker.silent_since_s is not None:
        return
    lengths = []
    for task in ended:
        run = day.runs.pop(task)
        if run.done_s >= run.work_s:
            lengths.append((task, day.now_s - task.run.begun_s))
            ledgers.mark_done(day.leader.ledger, task, day.now_s)
        workers_.end_run(day.leader.ledger, worker, task, day.now_s)
    for task in worker.runs.values():
        run = day.runs[task]
        done_s = max(0.0, run.done_s - START_S)
        percent = float(int(100 * done_s / (run.work_s - START_S)))
        if percent != task.run.percent:
            task.run.percent = percent
            task.run.last_progress_s = day.now_s
    slow_workers.record_lengths(day.leader, worker, lengths, day.now_s)
    if worker.entry.worker in day.leader.speeds:
        for task in slow_workers.tasks_to_move(day.leader, worker, day.now_s):
            if task.run.phase is ledgers.RunPhase.RUNNING:
                phase = ledgers.RunPhase.STOPPING
                ledgers.set_phase(task.run, phase, day.now_s)
                task.failed_on = worker.entry.worker
                day.runs[task].stop_s = day.now_s + STOP_S
                day.served.restarts += 1


def _fail(day: Day) -> None:
    """Let the rack's workers fall silent, and later end their runs."""
    leader, served = day.leader, day.served
    failing = [
        leader.workers[name]
        for name in day.load.trouble.workers
        if name in leader.workers
    ]
    for worker in failing:
        if worker.silent_since_s is None:
            worker.silent_since_s = day.now_s
            for task in worker.runs.values():
                job = task.group.entry.job.job
                served.lost_tasks[job] = served.lost_tasks.get(job, 0) + 1
    for job, lost in served.lost_tasks.items():
        if job not in served.lost:
            entry = leader.ledger.entries[job]
            served.lost[job] = lost / sum(1 for _ in ledgers.runs(entry))
    if day.now_s >= day.load.trouble.from_s + DETECTION_S:
        for worker in failing:
            for task in workers_.end_all_runs(
                leader.ledger, worker, day.now_s
            ):
                del day.runs[task]
            del leader.workers[worker.entry.worker]


def _place(day: Day) -> None:
    leader = day.leader
    known = {'q': build.queue()}
    ready = waiting_order.ready_by_pool(
        leader.ledger, known, leader.lengths, 0.0, day.now_s
    )
    groups = ready.get(build.POOL, [])
    pool = list(leader.workers.values())
    uneven = schedule.EVEN
    if day.load.placement:
        uneven = schedule.unevenness(leader, build.POOL, pool, groups)
    for row in placing.decide(
        groups, pool, day.now_s, 200, None, uneven.speeds, uneven.is_spread
    ):
        task, name = row.task, row.worker.entry.worker
        restarted = task.last_ended_attempt > 0
        run = ledgers.begin_run(leader.ledger, task, name, day.now_s)
        ledgers.set_phase(run, ledgers.RunPhase.RUNNING, day.now_s)
        run.last_progress_s = day.now_s
        row.worker.runs[task.name] = task
        real_s = day.real[task.group.entry.job.job][task.group.number]
        day.runs[task] = _Run(name, START_S + real_s + RESTORE_S * restarted)
