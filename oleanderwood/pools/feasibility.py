"""Chooses the waiting jobs of a pool that can end in time together. Pure.

Designed for a burst larger than a pool's capacity: in the order of arrival,
each job waits behind all earlier ones until it is late too. Jobs that cannot
end in time behind the others are left out instead, so that the rest is served
as on a day of normal load.
"""

import collections.abc
import dataclasses
import heapq
import itertools

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import workers as workers_

MIN_LEFT_PART = 0.25
"""A run that has reached its expected duration is assumed to take this part
of it longer. Expected durations are too short for half of the runs."""

USABLE_PART = 0.93
"""Part of a pool's cores that its work can use. Cores that are too few for any
waiting task, and those of ended runs until the next pass, are idle."""

SHARE_STEP = 1.0
"""Step in which customers' shares are compared. Single jobs are large compared
with a share, so smaller differences are chance and would hide the slack of
the jobs."""


BEGUN_SHARES = 2.0
"""Number of shares by which a customer may have more before its jobs that have
begun are left out for others that have not. Without it, work already done for
such jobs is wasted at every change of the shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The remaining work of a job that waits in a pool.

    :ivar chain_s: time that the rest of the job takes at least
    :ivar due_s: when its objective ends
    :ivar priority: lower numbers are served first
    :ivar over_share: what its customer has and would have with this claim, in
        multiples of its share
    :ivar begun: earlier work of the job is done or running, which would be
        wasted if the job ended late
    """

    job: ids.JobId
    work_core_s: float
    chain_s: float
    due_s: float
    priority: int = 0
    over_share: float = 0.0
    begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """What the workers of a pool can do.

    :ivar cores: cores of the workers that accept tasks, without those that
        long-running tasks use
    :ivar ahead_core_s: remaining work of the runs on these workers
    :ivar beyond_ahead_core_s: the part of it that is beyond tenants' rates
    """

    cores: float = 0.0
    ahead_core_s: float = 0.0
    beyond_ahead_core_s: float = 0.0


def choose(
    claims: collections.abc.Iterable[Claim],
    cores: float,
    now_s: float,
    ahead_core_s: float = 0.0,
) -> set[ids.JobId]:
    """Return the jobs that can end in time if the others are left out.

    Each priority is served by latest start behind all higher ones. If a claim
    would start too late, claims of its priority are left out until it doesn't:
    first those of the customer most over its share, where jobs that have begun
    count as some shares less, and among equals the ones with the least slack
    for their chain, so that the size of a job does not matter.

    :param ahead_core_s: work of the runs that use the cores now
    """
    rows = [row for row in claims if now_s + row.chain_s <= row.due_s]
    rows.sort(key=lambda row: (row.priority, row.due_s - row.chain_s))
    chosen: set[ids.JobId] = set()
    total_core_s = ahead_core_s
    for _priority, alike in itertools.groupby(rows, lambda row: row.priority):
        heap: list[tuple[tuple, int, Claim]] = []
        for number, claim in enumerate(alike):
            chosen.add(claim.job)
            total_core_s += claim.work_core_s
            heapq.heappush(heap, (_order_out(claim, now_s), number, claim))
            start_s = claim.due_s - claim.chain_s - now_s
            by_start_core_s = USABLE_PART * cores * start_s
            while heap and total_core_s - claim.work_core_s > by_start_core_s:
                _order, _number, removed = heapq.heappop(heap)
                chosen.discard(removed.job)
                total_core_s -= removed.work_core_s
                if removed is claim:
                    break
    return chosen


def _order_out(claim: Claim, now_s: float) -> tuple[float, bool, float]:
    """Return a sort key; the claim with the lowest is left out first."""
    over = max(1.0, claim.over_share) // SHARE_STEP
    over -= BEGUN_SHARES * claim.begun
    slack = (claim.due_s - now_s) / max(lengths_.MIN_LENGTH_S, claim.chain_s)
    return -over, claim.begun, slack


def supply(
    pool: collections.abc.Iterable[workers_.Worker],
    lengths: lengths_.Lengths,
    now_s: float,
) -> Supply:
    """Return what the workers of a pool that accept tasks can do."""
    cores = _usable_cores(pool, now_s)
    ahead_core_s = beyond_ahead_core_s = 0.0
    for task in batch_runs(pool, now_s):
        core_s = (
            task.group.step.needs.cpu_millicores
            / 1000
            * left_s(task, lengths, now_s)
        )
        ahead_core_s += core_s
        if task.group.entry.over_rate:
            beyond_ahead_core_s += core_s
    return Supply(cores, ahead_core_s, beyond_ahead_core_s)


def free_cores(
    pool: collections.abc.Iterable[workers_.Worker], now_s: float
) -> float:
    """Return the cores of a pool's workers that no run uses."""
    used_cores = sum(
        task.group.step.needs.cpu_millicores / 1000
        for task in batch_runs(pool, now_s)
    )
    return _usable_cores(pool, now_s) - used_cores


def batch_runs(
    pool: collections.abc.Iterable[workers_.Worker], now_s: float
) -> collections.abc.Iterator[ledgers.Task]:
    """Yield the runs on usable workers that hold cores until they end."""
    for worker in pool:
        if _is_usable(worker, now_s):
            for task in worker.runs.values():
                step = task.group.step
                if not step.uses_leftover and not step.is_long_running:
                    yield task


def _is_usable(worker: workers_.Worker, now_s: float) -> bool:
    return workers_.accepts(worker, now_s) and not worker.slow


def _usable_cores(
    pool: collections.abc.Iterable[workers_.Worker], now_s: float
) -> float:
    """Return the cores of usable workers without long-running tasks."""
    found_millicores = 0
    for worker in pool:
        if not _is_usable(worker, now_s):
            continue
        found_millicores += worker.entry.capacity.cpu_millicores
        for task in worker.runs.values():
            step = task.group.step
            if step.is_long_running and not step.uses_leftover:
                found_millicores -= step.needs.cpu_millicores
    return found_millicores / 1000


def left_s(
    task: ledgers.Task, lengths: lengths_.Lengths, now_s: float
) -> float:
    """Return the time that a run is expected to take from now on."""
    run = task.run
    if run is None:
        return 0.0
    group = task.group
    expected_s = lengths_.of_job(lengths, group.entry)[group.number]
    taken_s = now_s - run.begun_s
    if run.percent > 0 and run.last_progress_s > run.begun_s:
        measured_s = run.last_progress_s - run.begun_s
        expected_s = measured_s / run.percent * 100
    return max(MIN_LEFT_PART * expected_s, expected_s - taken_s)


def cores_of(group: ledgers.Group) -> float:
    """Return the cores that the waiting tasks of a step ask for."""
    step = group.step
    if step.uses_leftover or step.is_long_running:
        return 0.0
    return len(group.waiting) * step.needs.cpu_millicores / 1000


def work_core_s(
    groups: collections.abc.Iterable[ledgers.Group],
    lengths: lengths_.Lengths,
) -> float:
    """Return the work of the waiting tasks of some steps."""
    return sum(
        cores_of(group) * lengths_.of_job(lengths, group.entry)[group.number]
        for group in groups
    )


def chain_s(
    groups: collections.abc.Iterable[ledgers.Group],
    lengths: lengths_.Lengths,
    margin: float,
) -> float:
    """Return the longest path from a waiting step to its job's end.

    :param margin: factor for the step that comes first
    """
    found_s = 0.0
    for group in groups:
        expected = lengths_.times_of_job(lengths, group.entry)
        extra_s = (margin - 1.0) * expected.steps_s[group.number]
        found_s = max(found_s, expected.remaining_s[group.number] + extra_s)
    return found_s
