"""What saved logs tell of all jobs: which were late, and for what cause.

Pure: rows of the log in, a table out. The rows are those that
:func:`explain.read` gives, of any number of servers.
"""

import collections
import collections.abc
import dataclasses
import enum
import statistics

from oleanderwood.operators import explain

LATE_FACTOR = 3.0
"""A job that takes more than this many times its objective counts as not
served."""

SHORT_NEAR_S = 1.5
"""A pool counts as short of machines this long before and after a log line
that says so; there is one a second."""


class Cause(enum.Enum):
    """What took most of the time that a late job had too much."""

    REFUSED = 'refused'
    REVOKED = 'its key had been taken away'
    TENANT_LIMIT = "it waited for its tenant's limit"
    IN_DOUBT = 'the store did not answer whether it was accepted'
    NO_LEADER = 'no leader took it'
    MACHINES = 'its pool lacked machines'
    ORDER = 'others of its pool went first'
    ISOLATED = 'tasks were started apart, as workers had crashed under them'
    LOST_RUNS = 'runs were lost, stopped or failed'
    SLOW = 'its runs were slower than others of their step'
    HELD_BACK = 'its runs were held back beside others on their worker'
    KEPT_LATE = 'its end was written late'


class Outcome(enum.Enum):
    """What a job's caller got."""

    IN_TIME = 'in time'
    LATE = 'late'
    NOT_SERVED = 'not served'


@dataclasses.dataclass
class Run:
    """A run of a task, as far as the log tells."""

    began_s: float
    ended_s: float | None = None
    done: bool = False
    held_back: bool = False


@dataclasses.dataclass
class Step:
    """Runs of one step of a job."""

    runs: list[Run] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Job:
    """What the log tells of one job.

    :ivar handed_in_s: when a server first answered its caller
    :ivar taken_s: when a leader first knew of it
    :ivar revoked: a call that handed it in showed a revoked key
    :ivar limited_s: when it was told to wait for its tenant's limit
    :ivar suspected: a worker has crashed under a task of it
    :ivar ended_s: when it reached a last state, None if it didn't
    """

    name: str
    queue: str = ''
    pool: str = ''
    stretch: float = 1.0
    objective_s: float = 0.0
    handed_in_s: float | None = None
    accepted: bool = False
    in_doubt: bool = False
    revoked: bool = False
    limited_s: list[float] = dataclasses.field(default_factory=list)
    taken_s: float | None = None
    ended_s: float | None = None
    state: str = ''
    lasts: bool = False
    suspected: bool = False
    steps: dict[int, Step] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Finding:
    """One job's outcome, and its cause if it wasn't served in time.

    :ivar wait_s: from handing in to the first start
    :ivar too_long_s: time beyond its objective
    """

    job: Job
    outcome: Outcome
    cause: Cause | None
    wait_s: float
    too_long_s: float


def find(rows: collections.abc.Iterable[explain.Row]) -> list[Finding]:
    """Give each job's outcome and cause; long-running ones are left out."""
    jobs: dict[str, Job] = {}
    runs: dict[tuple[str, int], Run] = {}
    lacks: dict[str, list[float]] = collections.defaultdict(list)
    for row in rows:
        _take(row, jobs, runs, lacks)
    _complete(jobs.values())
    return [
        _judge(job, lacks)
        for job in jobs.values()
        if not job.lasts and job.state != 'cancelled' and _is_told(job)
    ]


def _complete(jobs: collections.abc.Collection[Job]) -> None:
    """Give jobs that no leader has told of what others of their queue say.

    A leader finds those in the store that came while nobody led.
    """
    told = {job.queue: job for job in jobs if job.taken_s is not None}
    for job in jobs:
        other = told.get(job.queue)
        if job.taken_s is None and other is not None:
            job.pool = other.pool
            job.stretch = other.stretch
            job.objective_s = other.objective_s


def _is_told(job: Job) -> bool:
    return job.taken_s is not None or job.handed_in_s is not None


def _take(row, jobs, runs, lacks) -> None:
    """Take in one row of the log."""
    kind = row['part'], row['event']
    if kind == ('caller', 'handed-in'):
        _take_handed_in(_job(jobs, row['job']), row)
    elif kind == ('caller', explain.DENIED):
        _take_denied(jobs, row)
    elif kind == ('tenant', explain.AT_LIMIT):
        for name in row['jobs']:
            _job(jobs, name).limited_s.append(row['time_s'])
    elif kind == ('job', 'taken'):
        _take_taken(_job(jobs, row['job']), row)
    elif kind == ('job', 'ended'):
        job = _job(jobs, row['job'])
        job.ended_s, job.state = row['time_s'], row['state']
    elif kind == ('job', 'cancelled'):
        _job(jobs, row['job']).state = 'cancelled'
    elif kind == ('fleet', 'short'):
        for pool, machines in row['pools'].items():
            if machines['has'] < machines['needs']:
                lacks[pool].append(row['time_s'])
    elif kind == ('run', explain.SUSPECTED):
        _job(jobs, row['task'].partition('.')[0]).suspected = True
    elif row['part'] == 'run' and 'task' in row:
        _take_run(row, jobs, runs)


def _job(jobs: dict[str, Job], name: str) -> Job:
    return jobs.setdefault(name, Job(name))


def _take_handed_in(job: Job, row: explain.Row) -> None:
    job.queue = row['queue']
    if job.handed_in_s is None:
        job.handed_in_s = row['time_s'] - row.get('after_ms', 0.0) / 1000
    job.accepted |= row['verdict'] == 'ran'
    job.in_doubt |= row['verdict'] == 'may-have-run'


def _take_denied(jobs: dict[str, Job], row: explain.Row) -> None:
    """Take in a refused call; of strangers' calls nobody is owed anything."""
    handed_in = row['method'] == 'POST' and row['job']
    if not handed_in or row['why'] != explain.REVOKED_KEY:
        return
    job = _job(jobs, row['job'])
    job.revoked = True
    if job.handed_in_s is None:
        job.handed_in_s = row['time_s']


def _take_taken(job: Job, row: explain.Row) -> None:
    if job.taken_s is None:
        job.taken_s = row['time_s']
    job.queue = row['queue']
    job.pool = row.get('pool', '')
    job.stretch = row.get('stretch', 1.0)
    job.objective_s = row.get('objective_ms', 0.0) / 1000
    job.lasts = 'long-running' in row.get('traits', ())


def _take_run(row, jobs, runs) -> None:
    name, _, rest = row['task'].partition('.')
    number = int(rest.split('.')[1])
    key = row['task'], row.get('attempt', 0)
    if row['event'] == 'start' and row['outcome'] == 'ran':
        run = runs[key] = Run(row['time_s'])
        job = _job(jobs, name)
        job.steps.setdefault(number, Step()).runs.append(run)
    elif key in runs and row['event'] in explain.HELD_BACK:
        runs[key].held_back = True
    elif key in runs and row['event'] in ('done', 'failed', 'stopped'):
        run = runs[key]
        run.ended_s = row['time_s']
        run.done = row['event'] == 'done'


def _judge(job: Job, lacks: dict[str, list[float]]) -> Finding:
    known = [at_s for at_s in (job.handed_in_s, job.taken_s) if at_s]
    came_s = min(known)
    starts = [run.began_s for step in job.steps.values() for run in step.runs]
    wait_s = min(starts) - came_s if starts else float('inf')
    objective_s = job.objective_s + job.stretch * _chain_s(job)
    if job.ended_s is None:
        outcome, over_s = Outcome.NOT_SERVED, float('inf')
    else:
        over_s = job.ended_s - came_s - objective_s
        outcome = Outcome.IN_TIME if over_s <= 0 else Outcome.LATE
        if job.ended_s - came_s > LATE_FACTOR * objective_s:
            outcome = Outcome.NOT_SERVED
    cause = None
    if outcome is not Outcome.IN_TIME:
        cause = _cause(job, came_s, lacks)
    return Finding(job, outcome, cause, wait_s, over_s)


def _chain_s(job: Job) -> float:
    """Give the time that a job's steps take one after another.

    Of each step the length of its middle run counts.
    """
    return sum(_usual_s(step) for step in job.steps.values())


def _usual_s(step: Step) -> float:
    lengths = [run.ended_s - run.began_s for run in step.runs if run.done]
    return statistics.median(lengths) if lengths else 0.0


def _cause(job: Job, came_s: float, lacks: dict[str, list[float]]) -> Cause:
    """Name what took most of a late job's time beside its work."""
    if job.taken_s is None:
        if job.accepted:
            return Cause.NO_LEADER
        if job.revoked:
            return Cause.REVOKED
        return Cause.IN_DOUBT if job.in_doubt else Cause.REFUSED
    times: dict[Cause, float] = collections.defaultdict(float)
    times[Cause.NO_LEADER] = job.taken_s - came_s
    ready_s = job.taken_s
    for _number, step in sorted(job.steps.items()):
        ready_s = _add_step(times, job, step, ready_s, lacks)
    if job.ended_s is not None:
        times[Cause.KEPT_LATE] = job.ended_s - ready_s
    elif not job.steps:
        return _why_waiting(job, job.taken_s, lacks)
    return max(times, key=lambda name: times[name])


def _add_step(
    times: dict[Cause, float],
    job: Job,
    step: Step,
    ready_s: float,
    lacks: dict[str, list[float]],
) -> float:
    """Add what a step's last task waited for; gives when the step ended."""
    done = [run for run in step.runs if run.done]
    lost_s = [run.began_s for run in step.runs if not run.done]
    held_back = any(run.held_back for run in step.runs)
    lost = Cause.ISOLATED if job.suspected else Cause.LOST_RUNS
    lost = Cause.HELD_BACK if held_back else lost
    slow = Cause.HELD_BACK if held_back else Cause.SLOW
    last = max(done, key=lambda run: run.ended_s, default=None)
    if last is None:
        latest_s = max(lost_s)
        times[lost] += latest_s - ready_s
        if held_back:
            # It stands still there; nothing is told of it any more.
            times[lost] = float('inf')
        return latest_s
    begun_s = min([last.began_s, *lost_s])
    times[lost] += last.began_s - begun_s
    times[_why_waiting(job, ready_s, lacks)] += max(0.0, begun_s - ready_s)
    times[slow] += max(0.0, _length_s(last) - _usual_s(step))
    return last.ended_s


def _length_s(run: Run) -> float:
    return run.ended_s - run.began_s


def _why_waiting(job: Job, from_s: float, lacks) -> Cause:
    """Say what a step began to wait for: its tenant's limit, or room."""
    if any(abs(at_s - from_s) <= SHORT_NEAR_S for at_s in job.limited_s):
        return Cause.TENANT_LIMIT
    short = any(abs(at_s - from_s) <= SHORT_NEAR_S for at_s in lacks[job.pool])
    return Cause.MACHINES if short else Cause.ORDER


def table(findings: collections.abc.Sequence[Finding]) -> list[str]:
    """Give lines that count outcomes by queue, and causes."""
    lines = [f'{"queue":<24} {"jobs":>6} {"late":>6} {"not":>6}  wait p50 p99']
    queues = sorted({row.job.queue for row in findings})
    for queue in queues:
        rows = [row for row in findings if row.job.queue == queue]
        lines.append(_queue_line(queue, rows))
    lines.append('')
    causes = collections.Counter(
        (row.cause, row.outcome) for row in findings if row.cause is not None
    )
    for (cause, outcome), count in causes.most_common():
        lines.append(f'{count:>6} {outcome.value}: {cause.value}')
    return lines


def _queue_line(queue: str, rows: list[Finding]) -> str:
    late = sum(row.outcome is Outcome.LATE for row in rows)
    lost = sum(row.outcome is Outcome.NOT_SERVED for row in rows)
    waits = sorted(row.wait_s for row in rows)
    middle = waits[len(waits) // 2]
    tail = waits[int(len(waits) * 0.99)]
    name = queue[:24]
    return (
        f'{name:<24} {len(rows):>6} {late:>6} {lost:>6}  '
        f'{middle:>7.2f} {tail:.2f}'
    )


def by_second(
    findings: collections.abc.Iterable[Finding],
) -> dict[int, collections.Counter]:
    """Count outcomes by the second in which jobs were handed in."""
    seconds: dict[int, collections.Counter] = {}
    for row in findings:
        came_s = row.job.handed_in_s or row.job.taken_s
        counts = seconds.setdefault(int(came_s), collections.Counter())
        counts[row.outcome] += 1
    return dict(sorted(seconds.items()))
