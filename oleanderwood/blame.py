"""Access to who is to blame for failed tasks: the worker or the job.

A failure speaks against a worker as far as the job runs well elsewhere, and
against a job as far as the worker runs other jobs well. A worker that fails
everything gets nothing for a growing pause, then single probe tasks.
"""

import collections.abc
import dataclasses
import enum

from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import worker_room

MIN_UNEXPLAINED = 2.5
"""Failures not explained by the other side that it takes for blame."""

MIN_FAILURE_SHARE = 0.8
"""Share of failed among judged copies that it takes for blame."""

UNKNOWN_FAILURE_SHARE = 0.5
"""Assumed of a side that nothing else is known of."""

PRIOR_COPIES = 1.0
MIN_JOB_WORKERS = 2
MAX_ASIDE_SHARE = 0.2
"""Most workers of a pool that may be set aside at once."""

ASIDE_PAUSE_S = 60.0
MAX_ASIDE_PAUSE_S = 3600.0
HOLD_PAUSE_S = 30.0
MAX_HOLD_PAUSE_S = 3600.0
PROBES_TO_CLEAR = 2
HALF_LIFE_S = 600.0
"""Time after which an outcome weighs half."""

GOOD_RUN_S = 20.0
"""A copy that ran this long speaks for its worker before its end."""

UNREACHABLE_S = 8.0
"""Time that a worker gets nothing after a call to it wasn't answered."""


class Standing(enum.Enum):
    """What a worker may get."""

    CLEAR = 'clear'
    PROBING = 'probing'
    ASIDE = 'aside'


@dataclasses.dataclass
class Outcomes:
    """How copies ended; weights that decay."""

    good: float = 0.0
    failed: float = 0.0


@dataclasses.dataclass
class Penalty:
    """A pause that was imposed, and how often in a row."""

    until_s: float
    times: int = 1
    probes_good: int = 0


@dataclasses.dataclass
class Blame:
    """What is known of failures.

    :ivar pairs: outcomes by worker and job
    :ivar judged: the last epoch whose outcome was taken in, by task
    """

    pairs: dict[tuple[ids.VmId, ids.JobId], Outcomes] = dataclasses.field(
        default_factory=dict
    )
    by_worker: dict[ids.VmId, Outcomes] = dataclasses.field(
        default_factory=dict
    )
    by_job: dict[ids.JobId, Outcomes] = dataclasses.field(default_factory=dict)
    judged: dict[str, ids.Epoch] = dataclasses.field(default_factory=dict)
    aside: dict[ids.VmId, Penalty] = dataclasses.field(default_factory=dict)
    held: dict[ids.JobId, Penalty] = dataclasses.field(default_factory=dict)
    unreachable_at_s: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )
    decayed_at_s: float = 0.0


def observe(
    blame: Blame,
    usage: platform_api.UsageReport,
    workers: collections.abc.Iterable[worker_room.Worker],
    now_s: float,
) -> None:
    """Take in a usage report, and judge anew whoever failed."""
    _decay(blame, now_s)
    suspects = set()
    for entry in usage.tasks:
        good = _outcome(entry)
        if good is None or blame.judged.get(entry.task) == entry.epoch:
            continue
        blame.judged[entry.task] = entry.epoch
        _note(blame, entry.worker, entry.job, good)
        _note_penalties(blame, entry, good, now_s)
        if not good:
            suspects.add((entry.worker, entry.job))
    if suspects:
        _judge(blame, suspects, list(workers), now_s)


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


def _note(blame: Blame, worker: ids.VmId, job: ids.JobId, good: bool) -> None:
    for table, key in (
        (blame.pairs, (worker, job)),
        (blame.by_worker, worker),
        (blame.by_job, job),
    ):
        outcomes = table.get(key)
        if outcomes is None:
            outcomes = table[key] = Outcomes()
        if good:
            outcomes.good += 1
        else:
            outcomes.failed += 1


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
        _forget_worker(blame, worker)


def _extend(
    penalty: Penalty, now_s: float, first_s: float, longest_s: float
) -> None:
    penalty.probes_good = 0
    penalty.until_s = now_s + min(
        first_s * 2 ** min(penalty.times, 16), longest_s
    )
    penalty.times += 1


def _forget_worker(blame: Blame, worker: ids.VmId) -> None:
    blame.by_worker.pop(worker, None)
    for pair in [pair for pair in blame.pairs if pair[0] == worker]:
        del blame.pairs[pair]


def _decay(blame: Blame, now_s: float) -> None:
    if now_s - blame.decayed_at_s < HALF_LIFE_S / 10:
        return
    factor = 0.5 ** ((now_s - blame.decayed_at_s) / HALF_LIFE_S)
    blame.decayed_at_s = now_s
    for table in (blame.pairs, blame.by_worker, blame.by_job):
        for outcomes in table.values():
            outcomes.good *= factor
            outcomes.failed *= factor


def _judge(
    blame: Blame,
    suspects: set[tuple[ids.VmId, ids.JobId]],
    workers: list[worker_room.Worker],
    now_s: float,
) -> None:
    for job in sorted({job for _, job in suspects}):
        if _job_fails_everywhere(blame, job):
            _hold(blame, job, now_s)
    accused = [
        (worker_suspicion(blame, worker), worker)
        for worker in {worker for worker, _ in suspects}
    ]
    for suspicion, worker in sorted(accused, reverse=True):
        if suspicion >= MIN_UNEXPLAINED and worker not in blame.aside:
            if _may_set_aside(blame, worker, workers, now_s):
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
    now_s: float,
) -> bool:
    pools = {one.vm: one.pool for one in workers}
    pool = pools.get(worker)
    mates = [vm for vm, other in pools.items() if other == pool]
    aside = sum(1 for vm in mates if vm in blame.aside)
    if pool is None or len(mates) < 2:
        return False
    return aside + 1 <= max(1, int(len(mates) * MAX_ASIDE_SHARE))


def worker_suspicion(blame: Blame, worker: ids.VmId) -> float:
    """Give the failures on a worker that its jobs don't explain.

    0 as long as enough of its copies ran well.
    """
    total = blame.by_worker.get(worker)
    if total is None or not _mostly_failed(total):
        return 0.0
    unexplained = 0.0
    for (vm, job), outcomes in blame.pairs.items():
        if vm == worker:
            share = _failure_share_elsewhere(blame.by_job[job], outcomes)
            unexplained += outcomes.failed * (1.0 - share)
    return unexplained


def _job_fails_everywhere(blame: Blame, job: ids.JobId) -> bool:
    if not _mostly_failed(blame.by_job[job]):
        return False
    unexplained = 0.0
    on_workers = 0
    for (vm, other), outcomes in blame.pairs.items():
        if other == job and outcomes.failed:
            share = _failure_share_elsewhere(blame.by_worker[vm], outcomes)
            unexplained += outcomes.failed * (1.0 - share)
            on_workers += 1
    return unexplained >= MIN_UNEXPLAINED and on_workers >= MIN_JOB_WORKERS


def _mostly_failed(outcomes: Outcomes) -> bool:
    judged = outcomes.good + outcomes.failed
    return judged > 0 and outcomes.failed / judged >= MIN_FAILURE_SHARE


def _failure_share_elsewhere(total: Outcomes, here: Outcomes) -> float:
    failed = max(total.failed - here.failed, 0.0)
    good = max(total.good - here.good, 0.0)
    prior = UNKNOWN_FAILURE_SHARE * PRIOR_COPIES
    return (failed + prior) / (failed + good + PRIOR_COPIES)


def restarted(blame: Blame, worker: ids.VmId, now_s: float) -> None:
    """Take in that a worker was rebooted or replaced: it is probed anew."""
    _forget_worker(blame, worker)
    penalty = blame.aside.get(worker)
    if penalty is not None:
        penalty.until_s = now_s
        penalty.times = 1
        penalty.probes_good = 0


def may_clear_later(blame: Blame) -> list[tuple[ids.VmId, float]]:
    """List the workers set aside, with the time of their next probe."""
    return [(vm, penalty.until_s) for vm, penalty in blame.aside.items()]
