"""What saved logs tell of all jobs: which were late, and for what cause.

Pure: rows of the log in, a table out. The rows are those that
:func:`explain.read` gives, of any number of servers. Where lines are missing
that could change an outcome or a cause, it counts as unknown.
"""

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics
import typing

from oleanderwood.operators import explain
from oleanderwood.operators import missing as missing_

LATE_FACTOR = 3.0
"""A job that takes more than this many times its objective counts as not
served."""

SHORT_NEAR_S = 1.5
"""A pool counts as short of machines this long before and after a log line
that says so; there is one a second."""


class Cause(enum.Enum):
    """What took most of the time that a late job had too much."""

    REFUSED = 'refused'
    OVER_SHARE = 'refused: its customer had more than its share'
    TOO_LATE = 'refused: it would have been too late'
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
    DROPPED = 'unknown: log lines were dropped'
    CUT = 'unknown: log lines were truncated'


UNKNOWN = frozenset({Cause.DROPPED, Cause.CUT})
"""Causes of which the log doesn't tell."""

NOT_ADMITTED = {'over-share': Cause.OVER_SHARE, 'too-late': Cause.TOO_LATE}
"""Causes of refused calls, by what their lines say."""


class Outcome(enum.Enum):
    """What a job's caller got."""

    IN_TIME = 'in time'
    LATE = 'late'
    NOT_SERVED = 'not served'
    UNKNOWN = 'unknown'


@dataclasses.dataclass
class Run:
    """A run of a task, as far as the log tells."""

    task: str
    began_s: float
    ended_s: float | None = None
    done: bool = False
    held_back: bool = False


@dataclasses.dataclass
class Step:
    """Runs of one step of a job."""

    runs: list[Run] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that handed a job in and was not answered as accepted.

    :ivar holder: customer that had most of the capacity instead
    """

    began_s: float
    cause: Cause
    holder: str = ''


@dataclasses.dataclass
class Job:
    """What the log tells of one job.

    :ivar handed_in_s: when a server first answered its caller
    :ivar accepted_s: when the call began that was first answered as accepted
    :ivar calls: those that were not
    :ivar taken_s: when a leader first knew of it
    :ivar take_is_told: a line says so; otherwise it is inferred
    :ivar take_is_doubtful: the inferred time may be wrong by a dropped line
    :ivar step_count: number of its steps, 0 if unknown
    :ivar task_count: number of its tasks, 0 if unknown
    :ivar cut: the line that describes it was truncated
    :ivar seen_s: latest line that shows that it had not ended; runs may end
        after their job
    :ivar revoked: a call that handed it in showed a revoked key
    :ivar limited_s: when it was told to wait for its tenant's limit
    :ivar suspected: a worker has crashed under a task of it
    :ivar ended_s: when it reached a last state, None if it didn't
    """

    name: str
    queue: str = ''
    tenant: str = ''
    pool: str = ''
    stretch: float = 1.0
    objective_s: float = 0.0
    handed_in_s: float | None = None
    accepted_s: float | None = None
    calls: list[Call] = dataclasses.field(default_factory=list)
    revoked: bool = False
    limited_s: list[float] = dataclasses.field(default_factory=list)
    taken_s: float | None = None
    take_is_told: bool = False
    take_is_doubtful: bool = False
    step_count: int = 0
    task_count: int = 0
    cut: bool = False
    seen_s: float = -math.inf
    ended_s: float | None = None
    ended_after_s: float | None = None
    cancel_asked: bool = False
    state: str = ''
    lasts: bool = False
    suspected: bool = False
    steps: dict[int, Step] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Finding:
    """One job's outcome, and its cause if it wasn't served in time.

    :ivar wait_s: from handing in to the first start; not a number if unknown
    :ivar too_long_s: time beyond its objective
    """

    job: Job
    outcome: Outcome
    cause: Cause | None
    wait_s: float
    too_long_s: float
    holder: str = ''


@dataclasses.dataclass
class _Day:
    """What the log tells beside jobs.

    :ivar lacks: when each pool lacked machines
    :ivar cut_lacks_s: when a line on that was truncated
    :ivar limits: when each customer's jobs waited for its limit
    :ivar unnamed_limits: the same, where not all of its jobs were named
    :ivar leads_s: when leaders had read the jobs in the store
    """

    missing: missing_.Missing
    lacks: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    cut_lacks_s: list[float] = dataclasses.field(default_factory=list)
    limits: set[str] = dataclasses.field(default_factory=set)
    unnamed_limits: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    leads_s: list[float] = dataclasses.field(default_factory=list)


def find(
    rows: collections.abc.Iterable[explain.Row],
    missing: missing_.Missing | None = None,
) -> list[Finding]:
    """Give each job's outcome and cause; long-running ones are left out.

    :param rows: in order of time
    :param missing: what they lack, if it has been looked for
    """
    rows = list(rows)
    if missing is None:
        missing = missing_.find(rows)
    jobs: dict[str, Job] = {}
    runs: dict[tuple[str, int], Run] = {}
    day = _Day(missing)
    for row in rows:
        _take(row, jobs, runs, day)
    _complete(jobs.values(), day)
    return [_judge(job, day) for job in jobs.values() if _counts(job)]


def _counts(job: Job) -> bool:
    """Return whether a job has an outcome that its caller waits for."""
    cancelled = job.cancel_asked and job.ended_s is None
    if job.lasts or cancelled or job.state == 'cancelled':
        return False
    return job.taken_s is not None or job.handed_in_s is not None


def _complete(jobs: collections.abc.Collection[Job], day: _Day) -> None:
    """Give jobs that no leader has told of what others of their queue say.

    A leader finds those in the store that came while nobody led; of others
    the line was dropped. Runs and an end show that a leader took the job.
    """
    told = {job.queue: job for job in jobs if job.take_is_told}
    for job in jobs:
        if job.take_is_told:
            continue
        _infer_take(job, day)
        other = told.get(job.queue)
        if other is not None:
            job.pool = other.pool
            job.stretch = other.stretch
            job.objective_s = other.objective_s


def _infer_take(job: Job, day: _Day) -> None:
    """Set when a leader took a job of whose taking no line tells."""
    seen = [run.began_s for step in job.steps.values() for run in step.runs]
    if job.ended_s is not None:
        seen.append(job.ended_s)
    if not seen:
        return
    first_s, came_s = min(seen), job.handed_in_s
    arrived_s = None
    if job.ended_s is not None and job.ended_after_s is not None:
        arrived_s = job.ended_s - job.ended_after_s
        if arrived_s > first_s:
            # Then, a later leader read it.
            arrived_s = None
    since_s = came_s
    if since_s is None:
        since_s = first_s - missing_.TAKEN_WITHIN_S
        if arrived_s is not None:
            since_s = arrived_s - SHORT_NEAR_S
    dropped = day.missing.leaders_decisive
    doubtful = missing_.overlaps(dropped, since_s, first_s)
    if came_s is None and not doubtful:
        # The saved logs begin later than the job.
        return
    read_s = _read_s(day, came_s, first_s)
    if read_s is None and arrived_s is not None:
        job.taken_s = max(since_s, arrived_s)
        return
    job.take_is_doubtful = doubtful
    known = (read_s, job.accepted_s, came_s, first_s)
    job.taken_s = next(at_s for at_s in known if at_s is not None)


def _read_s(day: _Day, came_s: float | None, first_s: float) -> float | None:
    """Return when a new leader read a job that came while nobody led."""
    if came_s is None:
        return None
    read = (at_s for at_s in day.leads_s if came_s <= at_s <= first_s)
    return next(read, None)


def _take(row, jobs: dict[str, Job], runs, day: _Day) -> None:
    """Take in one row of the log."""
    kind = row['part'], row['event']
    if kind == ('caller', 'handed-in'):
        _take_handed_in(_job(jobs, row['job']), row)
    elif kind == ('caller', missing_.NOT_ADMITTED):
        _take_not_admitted(_job(jobs, row['job']), row)
    elif kind == ('caller', explain.DENIED):
        _take_denied(jobs, row)
    elif kind == ('caller', 'cancelled'):
        if row.get('there'):
            _job(jobs, row['job']).cancel_asked = True
    elif kind == ('job', 'taken'):
        _take_taken(_job(jobs, row['job']), row)
    elif kind == ('job', 'ended'):
        job = _job(jobs, row['job'])
        job.ended_s, job.state = row['time_s'], row['state']
        job.ended_after_s = row.get('after_s')
        job.queue = job.queue or row.get('queue', '')
        job.seen_s = row['time_s']
    elif kind == ('job', 'cancelled'):
        _job(jobs, row['job']).state = 'cancelled'
    elif kind == ('run', explain.SUSPECTED):
        _job(jobs, row['task'].partition('.')[0]).suspected = True
    elif row['part'] == 'run' and 'task' in row:
        _take_run(row, jobs, runs)
    else:
        _take_other(row, kind, jobs, day)


def _take_other(row, kind, jobs: dict[str, Job], day: _Day) -> None:
    """Take in a row that touches many jobs."""
    if kind == ('tenant', explain.AT_LIMIT):
        named = row.get('jobs', ())
        for name in named:
            _job(jobs, name).limited_s.append(row['time_s'])
        tenant = row.get('tenant', '')
        day.limits.add(tenant)
        if row.get('waiting', 0) > len(named):
            day.unnamed_limits[tenant].append(row['time_s'])
    elif kind == ('fleet', 'short'):
        for pool, machines in row.get('pools', {}).items():
            if machines['has'] < machines['needs']:
                day.lacks[pool].append(row['time_s'])
        if missing_.is_cut(row, 'pools'):
            day.cut_lacks_s.append(row['time_s'])
    elif kind == ('leader', 'leads'):
        day.leads_s.append(row['time_s'])


def _job(jobs: dict[str, Job], name: str) -> Job:
    return jobs.setdefault(name, Job(name))


def _take_handed_in(job: Job, row: explain.Row) -> None:
    began_s = _take_call(job, row)
    if row['verdict'] == 'ran':
        if job.accepted_s is None or began_s < job.accepted_s:
            job.accepted_s = began_s
        return
    in_doubt = row['verdict'] == 'may-have-run'
    cause = Cause.IN_DOUBT if in_doubt else Cause.REFUSED
    job.calls.append(Call(began_s, cause))


def _take_not_admitted(job: Job, row: explain.Row) -> None:
    began_s = _take_call(job, row)
    cause = NOT_ADMITTED.get(row['why'], Cause.REFUSED)
    job.calls.append(Call(began_s, cause, row.get('holder') or ''))


def _take_call(job: Job, row: explain.Row) -> float:
    """Take in a call that handed a job in; return when it began."""
    job.queue = row['queue']
    job.tenant = row.get('tenant') or ''
    began_s = row['time_s'] - row.get('after_ms', 0.0) / 1000
    if job.handed_in_s is None:
        job.handed_in_s = began_s
    return began_s


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
    job.take_is_told = True
    job.seen_s = row['time_s']
    job.queue = row['queue']
    job.pool = row.get('pool', '')
    job.stretch = row.get('stretch', 1.0)
    job.objective_s = row.get('objective_ms', 0.0) / 1000
    job.step_count = row.get('steps', 0)
    job.task_count = row.get('task_count', 0)
    job.cut = missing_.is_cut(row, 'traits')
    job.lasts = 'long-running' in row.get('traits', ())


def _take_run(row, jobs, runs) -> None:
    name, _, rest = row['task'].partition('.')
    number = int(rest.split('.')[1])
    key = row['task'], row.get('attempt', 0)
    if row['event'] == 'start' and row['outcome'] == 'ran':
        run = runs[key] = Run(row['task'], row['time_s'])
        job = _job(jobs, name)
        job.seen_s = row['time_s']
        job.steps.setdefault(number, Step()).runs.append(run)
    elif key in runs and row['event'] in explain.HELD_BACK:
        runs[key].held_back = True
    elif key in runs and row['event'] in ('done', 'failed', 'stopped'):
        run = runs[key]
        run.ended_s = row['time_s']
        run.done = row['event'] == 'done'


def _judge(job: Job, day: _Day) -> Finding:
    known = [at_s for at_s in (job.handed_in_s, job.taken_s) if at_s]
    came_s = min(known)
    starts = [run.began_s for step in job.steps.values() for run in step.runs]
    wait_s = min(starts) - came_s if starts else float('inf')
    if _lacks_runs(job, day):
        wait_s = math.nan
    outcome, over_s = _outcome(job, came_s, day)
    cause, holder = None, ''
    if outcome is Outcome.UNKNOWN:
        cause = Cause.CUT if _may_last(job) else Cause.DROPPED
    elif outcome is not Outcome.IN_TIME:
        cause, holder = _cause(job, came_s, day)
    return Finding(job, outcome, cause, wait_s, over_s, holder)


def _outcome(job: Job, came_s: float, day: _Day) -> tuple[Outcome, float]:
    """Return a job's outcome, and its time beyond its objective."""
    if job.ended_s is None:
        unknown = _end_may_be_dropped(job, day) or _may_last(job)
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_SERVED
        return outcome, math.inf
    took_s = job.ended_s - came_s
    objective_s = job.objective_s + job.stretch * _chain_s(job)
    outcome = _outcome_by(took_s, objective_s)
    if _lacks_runs(job, day) or _lacks_objective(job, day):
        low_s, high_s = _objectives_s(job)
        if not (
            _outcome_by(took_s, low_s)
            is _outcome_by(took_s, high_s)
            is outcome
        ):
            outcome = Outcome.UNKNOWN
    came_is_known = job.handed_in_s is not None or not job.take_is_doubtful
    if not came_is_known and outcome is not Outcome.NOT_SERVED:
        outcome = Outcome.UNKNOWN
    return outcome, took_s - objective_s


def _outcome_by(took_s: float, objective_s: float) -> Outcome:
    if took_s <= objective_s:
        return Outcome.IN_TIME
    if took_s > LATE_FACTOR * objective_s:
        return Outcome.NOT_SERVED
    return Outcome.LATE


def _may_last(job: Job) -> bool:
    """Return whether a job without an end may be a long-running one."""
    return job.cut and job.ended_s is None


def _end_may_be_dropped(job: Job, day: _Day) -> bool:
    """Return whether a job may have been taken or ended without a line."""
    dropped = day.missing.leaders_decisive
    if job.taken_s is not None:
        return missing_.overlaps(dropped, job.seen_s, math.inf)
    in_doubt = [
        call.began_s for call in job.calls if call.cause is Cause.IN_DOUBT
    ]
    if job.accepted_s is not None:
        in_doubt.append(job.accepted_s)
    if in_doubt:
        from_s, to_s = min(in_doubt), max(in_doubt) + missing_.TAKEN_WITHIN_S
    elif job.calls:
        from_s = job.calls[-1].began_s
        to_s = from_s + missing_.RETRIES_S
    else:
        return False
    return missing_.overlaps(dropped, from_s, to_s)


def _lacks_objective(job: Job, day: _Day) -> bool:
    """Return whether no line tells of a queue's objective, as of dropped."""
    return not job.pool and bool(day.missing.leaders_decisive)


def _objectives_s(job: Job) -> tuple[float, float]:
    """Return bounds of a job's objective if lines on its runs are missing.

    Of a step the shortest and the longest known run count. A step without
    any may take any time, and so may a queue's objective that is not told.
    """
    lengths = [_lengths_s(step) for step in job.steps.values()]
    known = [row for row in lengths if row]
    low_s = sum(min(row) for row in known)
    high_s = sum(max(row) for row in known)
    if not job.pool or not job.step_count or len(known) < job.step_count:
        high_s = math.inf
    stretch = job.stretch
    return (
        job.objective_s + stretch * low_s,
        job.objective_s + stretch * high_s,
    )


def _lacks_runs(job: Job, day: _Day) -> bool:
    """Return whether lines on a job's runs are missing and were dropped."""
    if job.taken_s is None:
        return False
    to_s = job.ended_s
    if to_s is None:
        to_s = max(job.seen_s, job.taken_s + missing_.TAKEN_WITHIN_S)
    elif job.state == 'completed' and job.task_count:
        runs = [run for step in job.steps.values() for run in step.runs]
        if len({run.task for run in runs if run.done}) >= job.task_count:
            return False
    # An inferred time may be a little late, as ends are written late.
    from_s = job.taken_s if job.take_is_told else job.taken_s - SHORT_NEAR_S
    return missing_.overlaps(day.missing.leaders_other, from_s, to_s)


def _chain_s(job: Job) -> float:
    """Give the time that a job's steps take one after another.

    Of each step the length of its middle run counts.
    """
    return sum(_usual_s(step) for step in job.steps.values())


def _lengths_s(step: Step) -> list[float]:
    return [_length_s(run) for run in step.runs if run.done]


def _usual_s(step: Step) -> float:
    lengths = _lengths_s(step)
    return statistics.median(lengths) if lengths else 0.0


def _cause(job: Job, came_s: float, day: _Day) -> tuple[Cause, str]:
    """Name what took most of a late job's time beside its work.

    Returns the customer, too, that had the capacity if the job was refused.
    """
    if job.taken_s is None:
        return _why_not_taken(job)
    if _lacks_runs(job, day):
        return Cause.DROPPED, ''
    times: dict[Cause, float] = collections.defaultdict(float)
    holder = _add_calls(times, job, came_s)
    if job.ended_s is None and not job.steps:
        return _why_waiting(job, job.taken_s, day), ''
    ready_s = job.taken_s
    for _number, step in sorted(job.steps.items()):
        ready_s = _add_step(times, job, step, ready_s, day)
    if job.ended_s is not None:
        times[Cause.KEPT_LATE] = job.ended_s - ready_s
    cause = max(times, key=lambda name: times[name])
    if job.take_is_doubtful and _is_before_start(cause):
        return Cause.DROPPED, ''
    return cause, holder if cause in NOT_ADMITTED.values() else ''


def _is_before_start(cause: Cause) -> bool:
    """Return whether a cause depends on when a leader took the job."""
    return cause in (
        Cause.NO_LEADER,
        Cause.MACHINES,
        Cause.ORDER,
        Cause.TENANT_LIMIT,
    )


def _why_not_taken(job: Job) -> tuple[Cause, str]:
    if job.accepted_s is not None:
        return Cause.NO_LEADER, ''
    if job.revoked:
        return Cause.REVOKED, ''
    if any(call.cause is Cause.IN_DOUBT for call in job.calls):
        return Cause.IN_DOUBT, ''
    return job.calls[-1].cause, job.calls[-1].holder


def _add_calls(times: dict[Cause, float], job: Job, came_s: float) -> str:
    """Add the time before a leader took a job.

    Until the call that was accepted, that is the cause of the refusal before
    it; from then on, no leader took it. Returns who had the capacity.
    """
    refused = [call for call in job.calls if call.began_s <= job.taken_s]
    accepted_s = came_s
    holder = ''
    if refused:
        last = refused[-1]
        holder = last.holder
        accepted_s = last.began_s
        if job.accepted_s is not None and job.accepted_s <= job.taken_s:
            accepted_s = job.accepted_s
        times[last.cause] += max(0.0, accepted_s - came_s)
    times[Cause.NO_LEADER] += max(0.0, job.taken_s - accepted_s)
    return holder


def _add_step(
    times: dict[Cause, float],
    job: Job,
    step: Step,
    ready_s: float,
    day: _Day,
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
    times[_why_waiting(job, ready_s, day)] += max(0.0, begun_s - ready_s)
    times[slow] += max(0.0, _length_s(last) - _usual_s(step))
    return last.ended_s


def _length_s(run: Run) -> float:
    return run.ended_s - run.began_s


def _why_waiting(job: Job, from_s: float, day: _Day) -> Cause:
    """Say what a step began to wait for: its tenant's limit, or room."""
    unnamed_s = day.unnamed_limits.get(job.tenant, ())
    if _any_near([*job.limited_s, *unnamed_s], from_s):
        return Cause.TENANT_LIMIT
    if _any_near(day.lacks[job.pool], from_s):
        return Cause.MACHINES
    if _any_near(day.cut_lacks_s, from_s):
        return Cause.CUT
    # Lines on pools are decisive, lines on limits are not.
    missing = day.missing
    near = from_s - SHORT_NEAR_S, from_s + SHORT_NEAR_S
    unknown = missing_.overlaps(missing.leaders_decisive, *near)
    if job.tenant in day.limits:
        unknown |= missing_.overlaps(missing.leaders_other, *near)
    return Cause.DROPPED if unknown else Cause.ORDER


def _any_near(moments_s: typing.Iterable[float], from_s: float) -> bool:
    return any(abs(at_s - from_s) <= SHORT_NEAR_S for at_s in moments_s)


def report(rows: collections.abc.Sequence[explain.Row]) -> list[str]:
    """Give the table of the rows' jobs, and what the rows lack."""
    missing = missing_.find(rows)
    findings = find(rows, missing)
    lines = table(findings)
    lacking = missing_.lines(missing)
    if lacking:
        unknown = sum(row.cause in UNKNOWN for row in findings)
        lines += ['', *lacking]
        lines.append(f'jobs of which it therefore cannot be told: {unknown}')
    if any(gap.decisive for gap in missing.gaps):
        lines.append('jobs with all lines dropped are not in this table')
    return lines


def table(findings: collections.abc.Sequence[Finding]) -> list[str]:
    """Give lines that count outcomes by queue, and causes."""
    lines = [
        f'{"queue":<24} {"jobs":>6} {"late":>6} {"not":>6} '
        f'{"unkn":>6}  wait p50 p99'
    ]
    queues = sorted({row.job.queue for row in findings})
    for queue in queues:
        rows = [row for row in findings if row.job.queue == queue]
        lines.append(_queue_line(queue, rows))
    lines.append('')
    causes = collections.Counter(
        _cause_text(row) for row in findings if row.cause is not None
    )
    for text, count in causes.most_common():
        lines.append(f'{count:>6} {text}')
    return lines


def _cause_text(finding: Finding) -> str:
    text = finding.cause.value
    if finding.outcome is not Outcome.UNKNOWN:
        text = f'{finding.outcome.value}: {text}'
    if finding.holder:
        text += f'; {finding.holder} had the capacity'
    return text


def _queue_line(queue: str, rows: list[Finding]) -> str:
    late = sum(row.outcome is Outcome.LATE for row in rows)
    lost = sum(row.outcome is Outcome.NOT_SERVED for row in rows)
    unknown = sum(row.outcome is Outcome.UNKNOWN for row in rows)
    known = (row.wait_s for row in rows if not math.isnan(row.wait_s))
    waits = sorted(known) or [math.nan]
    middle = waits[len(waits) // 2]
    tail = waits[int(len(waits) * 0.99)]
    name = queue[:24]
    return (
        f'{name:<24} {len(rows):>6} {late:>6} {lost:>6} {unknown:>6}  '
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
