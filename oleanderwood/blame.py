"""Access to who is to blame for failed tasks: the worker or the job.

A failure speaks against a worker as far as the job runs well elsewhere, and
against a job as far as the worker runs other jobs well. Only failures of
copies that started after the last good one count, so that a long good past
hides nothing. A worker that fails everything gets nothing for a growing
pause, then single probe tasks.
"""

import collections
import collections.abc
import dataclasses
import enum

from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import worker_room

MIN_UNEXPLAINED = 2.5
"""Failures not explained by the other side that it takes for blame."""

NOT_EXPLAINED = 0.9
"""Weight of a failure whose other side is known to be good."""

UNKNOWN = 0.5
"""Weight of a failure whose other side is known by nothing else."""

MAX_UNKNOWN = 1.0
"""Most that failures with one and the same unknown side weigh."""

MAX_KNOWN = 2.0
KNOWN_SLOPE = 0.05
"""Failures with one and the same good side weigh no more than the former,
and this much for each: alone it takes ten of them for blame."""

MIN_JOB_WORKERS = 2
"""Workers that a job has to fail on before it is held back."""

MAX_JOB_FAILURES_COUNTED = 2
"""Failures of a job that count per worker."""

MEMORY_S = 900.0
"""Time after which an outcome is forgotten."""

FAILURES_KEPT = 30
MAX_ASIDE_SHARE = 0.2
"""Most workers of a pool that may be set aside at once, but one."""

ASIDE_PAUSE_S = 60.0
MAX_ASIDE_PAUSE_S = 3600.0
HOLD_PAUSE_S = 30.0
MAX_HOLD_PAUSE_S = 3600.0
PROBES_TO_CLEAR = 2
GOOD_RUN_S = 20.0
"""A copy that ran this long speaks for its worker before its end."""

UNREACHABLE_S = 8.0
"""Time that a worker gets nothing after a call to it wasn't answered."""


class Standing(enum.Enum):
    """What a worker may get."""

    CLEAR = 'clear'
    PROBING = 'probing'
    ASIDE = 'aside'


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failed copy: when it started, and the worker or job beside it."""

    started_s: float
    other: str


@dataclasses.dataclass
class Record:
    """What is known of one worker, by job, or of one job, by worker.

    :ivar good: when the last good copy started, by the other side
    :ivar good_s: the latest of these
    """

    good: dict[str, float] = dataclasses.field(default_factory=dict)
    good_s: float = float('-inf')
    failures: collections.deque[Failure] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=FAILURES_KEPT)
    )


@dataclasses.dataclass
class Penalty:
    """A pause that was imposed, and how often in a row."""

    until_s: float
    times: int = 1
    probes_good: int = 0


@dataclasses.dataclass
class Blame:
    """What is known of failures.

    :ivar judged: the last epoch whose outcome was taken in, by task
    :ivar aside: workers that are set aside or probed
    :ivar held: jobs that are held back
    """

    workers: dict[ids.VmId, Record] = dataclasses.field(default_factory=dict)
    jobs: dict[ids.JobId, Record] = dataclasses.field(default_factory=dict)
    judged: dict[str, ids.Epoch] = dataclasses.field(default_factory=dict)
    aside: dict[ids.VmId, Penalty] = dataclasses.field(default_factory=dict)
    held: dict[ids.JobId, Penalty] = dataclasses.field(default_factory=dict)
    unreachable_at_s: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )


def observe(
    blame: Blame,
    usage: platform_api.UsageReport,
    workers: collections.abc.Iterable[worker_room.Worker],
    now_s: float,
) -> None:
    """Take in a usage report, and judge anew whoever failed."""
    suspects = set()
    for entry in usage.tasks:
        good = _outcome(entry)
        if good is None or blame.judged.get(entry.task) == entry.epoch:
            continue
        blame.judged[entry.task] = entry.epoch
        started_s = now_s - usage.age_s - entry.run_s
        _note(blame, entry, good, started_s)
        _note_penalties(blame, entry, good, now_s)
        if not good:
            suspects.add((entry.worker, entry.job))
    if suspects:
        _judge(blame, suspects, list(workers), now_s)


def forget_job(blame: Blame, job: ids.JobId) -> None:
    """Drop what is known of a job whose definition changed or went."""
    blame.jobs.pop(job, None)
    blame.held.pop(job, None)


def forget_tasks(blame: Blame, tasks: collections.abc.Container[str]) -> None:
    """Drop what is known of tasks other than these."""
    for task in [task for task in blame.judged if task not in tasks]:
        del blame.judged[task]


def restarted(blame: Blame, worker: ids.VmId, now_s: float) -> None:
    """Take in that a worker was rebooted or replaced: it is probed anew."""
    blame.workers.pop(worker, None)
    penalty = blame.aside.get(worker)
    if penalty is not None:
        blame.aside[worker] = Penalty(now_s)


def unreachable(blame: Blame, worker: ids.VmId, now_s: float) -> None:
    """Note that a call to a worker wasn't answered."""
    blame.unreachable_at_s[worker] = now_s


def standing(blame: Blame, worker: ids.VmId, now_s: float) -> Standing:
    """Say what a worker may get now."""
    at_s = blame.unreachable_at_s.get(worker)
    if at_s is not None and now_s - at_s < UNREACHABLE_S:
        return Standing.ASIDE
    penalty = blame.aside.get(worker)
    if penalty is None:
        return Standing.CLEAR
    return Standing.ASIDE if now_s < penalty.until_s else Standing.PROBING


def held_until_s(blame: Blame, job: ids.JobId) -> float:
    """Give the time until which a job is held back, 0 if it isn't."""
    penalty = blame.held.get(job)
    return penalty.until_s if penalty is not None else 0.0


def _outcome(entry: platform_api.TaskReport) -> bool | None:
    if entry.state is platform_api.TaskState.FAILED:
        return False
    if entry.state is platform_api.TaskState.DONE:
        return True
    return True if entry.run_s >= GOOD_RUN_S else None


def _note(
    blame: Blame,
    entry: platform_api.TaskReport,
    good: bool,
    started_s: float,
) -> None:
    for records, key, other in (
        (blame.workers, entry.worker, entry.job),
        (blame.jobs, entry.job, entry.worker),
    ):
        record = records.get(key)
        if record is None:
            record = records[key] = Record()
        if not good:
            record.failures.append(Failure(started_s, other))
            continue
        record.good_s = max(record.good_s, started_s)
        record.good[other] = max(record.good.get(other, started_s), started_s)


def _note_penalties(
    blame: Blame, entry: platform_api.TaskReport, good: bool, now_s: float
) -> None:
    penalty = blame.aside.get(entry.worker)
    if penalty is not None and now_s >= penalty.until_s:
        _probed(blame, entry.worker, penalty, good, now_s)
    if good:
        blame.held.pop(entry.job, None)


def _probed(
    blame: Blame,
    worker: ids.VmId,
    penalty: Penalty,
    good: bool,
    now_s: float,
) -> None:
    if not good:
        _extend(penalty, now_s, ASIDE_PAUSE_S, MAX_ASIDE_PAUSE_S)
        return
    penalty.probes_good += 1
    if penalty.probes_good >= PROBES_TO_CLEAR:
        del blame.aside[worker]
        blame.workers.pop(worker, None)


def _extend(
    penalty: Penalty, now_s: float, first_s: float, longest_s: float
) -> None:
    penalty.probes_good = 0
    penalty.until_s = now_s + min(
        first_s * 2 ** min(penalty.times, 16), longest_s
    )
    penalty.times += 1


def _judge(
    blame: Blame,
    suspects: set[tuple[ids.VmId, ids.JobId]],
    workers: list[worker_room.Worker],
    now_s: float,
) -> None:
    for job in sorted({job for _, job in suspects}):
        if _job_fails_everywhere(blame, job, now_s):
            _hold(blame, job, now_s)
    accused = [
        (worker_suspicion(blame, worker, now_s), worker)
        for worker in {worker for worker, _ in suspects}
    ]
    for suspicion, worker in sorted(accused, reverse=True):
        if suspicion >= MIN_UNEXPLAINED and worker not in blame.aside:
            if _may_set_aside(blame, worker, workers):
                blame.aside[worker] = Penalty(now_s + ASIDE_PAUSE_S)


def _hold(blame: Blame, job: ids.JobId, now_s: float) -> None:
    penalty = blame.held.get(job)
    if penalty is None:
        blame.held[job] = Penalty(now_s + HOLD_PAUSE_S)
    elif now_s >= penalty.until_s:
        _extend(penalty, now_s, HOLD_PAUSE_S, MAX_HOLD_PAUSE_S)


def _may_set_aside(
    blame: Blame,
    worker: ids.VmId,
    workers: list[worker_room.Worker],
) -> bool:
    pools = {one.vm: one.pool for one in workers}
    pool = pools.get(worker)
    mates = [vm for vm, other in pools.items() if other == pool]
    aside = sum(1 for vm in mates if vm in blame.aside)
    if pool is None or len(mates) < 2:
        return False
    return aside + 1 <= max(1, int(len(mates) * MAX_ASIDE_SHARE))


def worker_suspicion(blame: Blame, worker: ids.VmId, now_s: float) -> float:
    """Weigh the failures on a worker that its jobs don't explain."""
    record = blame.workers.get(worker)
    if record is None:
        return 0.0
    return sum(
        _weight(blame.jobs.get(ids.JobId(job)), worker, count, now_s)
        for job, count in _streak(record, now_s).items()
    )


def _job_fails_everywhere(blame: Blame, job: ids.JobId, now_s: float) -> bool:
    streak = _streak(blame.jobs[job], now_s)
    if len(streak) < MIN_JOB_WORKERS:
        return False
    unexplained = 0.0
    for worker, count in streak.items():
        record = blame.workers.get(ids.VmId(worker))
        counted = min(count, MAX_JOB_FAILURES_COUNTED)
        unexplained += _weight(record, job, counted, now_s)
    return unexplained >= MIN_UNEXPLAINED


def _streak(record: Record, now_s: float) -> collections.Counter[str]:
    """Count failures after the last good start, by the other side."""
    since_s = max(record.good_s, now_s - MEMORY_S)
    return collections.Counter(
        failure.other
        for failure in record.failures
        if failure.started_s > since_s
    )


def _weight(
    other: Record | None, here: str, count: int, now_s: float
) -> float:
    """Weigh failures by what their other side did elsewhere.

    :param other: the record of the other side
    :param here: the side whose blame is asked for
    """
    if other is None:
        return min(count * UNKNOWN, MAX_UNKNOWN)
    elsewhere = sum(
        failed for key, failed in _streak(other, now_s).items() if key != here
    )
    if elsewhere:
        return min(count * UNKNOWN, MAX_UNKNOWN) / (1 + elsewhere)
    if _was_good_elsewhere(other, here, now_s):
        most = MAX_KNOWN + count * KNOWN_SLOPE
        return min(count * NOT_EXPLAINED, most)
    return min(count * UNKNOWN, MAX_UNKNOWN)


def _was_good_elsewhere(other: Record, here: str, now_s: float) -> bool:
    return any(
        started_s > now_s - MEMORY_S
        for key, started_s in other.good.items()
        if key != here
    )
