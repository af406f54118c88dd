"""Access to what tasks really need, learned from lagging usage reports.

Declared sizes and run times are far off. A job's tasks are planned with a
quantile of what its tasks used, weighed against the declared size as long
as few were measured. A new leader learns afresh from the next reports.
"""

import collections.abc
import dataclasses

import msgspec

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import platform_api

SAMPLES_KEPT = 64
"""Measured tasks kept per job; older ones make room."""

SETTLED_RUN_S = 10.0
"""A copy that ran shorter than this may still grow to its size."""

_CORES_SMOOTHING = 0.3


@dataclasses.dataclass(frozen=True)
class Caution:
    """How boldly sizes are planned below the declared ones.

    :ivar prior_samples: measured tasks that the declared cores and run
        time weigh as much as, once a task was measured
    :ivar min_cores_share: bound of overcommit: the least cores planned, as
        a share of the declared ones
    :ivar min_memory_samples: measured tasks before memory is planned below
        the declared size
    :ivar memory_margin: memory planned, as a multiple of the most measured
    """

    prior_samples: int = 0
    cores_quantile: float = 0.75
    run_quantile: float = 0.9
    min_cores_share: float = 0.25
    min_memory_samples: int = 3
    memory_margin: float = 1.1


class Size(msgspec.Struct, frozen=True, gc=False):
    """What one task is planned with."""

    cores: float
    memory_gib: float


@dataclasses.dataclass
class Measured:
    """One task's copy as the reports show it; memory is its peak."""

    epoch: ids.Epoch
    cores: float
    memory_gib: float
    run_s: float


@dataclasses.dataclass
class JobDemand:
    """What a job's tasks used, newest last.

    :ivar ended: the last epoch whose end was taken in, by task
    :ivar sizes: planned sizes by declared ones, until the next report
    """

    measured: dict[str, Measured] = dataclasses.field(default_factory=dict)
    ended: dict[str, ids.Epoch] = dataclasses.field(default_factory=dict)
    run_s: list[float] = dataclasses.field(default_factory=list)
    peak_memory_gib: float = 0.0
    sizes: dict[tuple[float, float], Size] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Demand:
    """What is learned of all jobs."""

    caution: Caution = Caution()
    jobs: dict[ids.JobId, JobDemand] = dataclasses.field(default_factory=dict)


def observe(demand: Demand, usage: platform_api.UsageReport) -> None:
    """Take in a usage report."""
    for entry in usage.tasks:
        job = demand.jobs.get(entry.job)
        if job is None:
            job = demand.jobs[entry.job] = JobDemand()
        if entry.used_memory_gib > 0.0:
            _observe_copy(job, entry)
        if entry.state is platform_api.TaskState.DONE:
            _observe_end(job, entry)


def forget(
    demand: Demand, jobs: collections.abc.Collection[ids.JobId]
) -> None:
    """Drop what is known of jobs other than these."""
    for job in demand.jobs.keys() - set(jobs):
        del demand.jobs[job]


def _observe_copy(job: JobDemand, entry: platform_api.TaskReport) -> None:
    one = job.measured.get(entry.task)
    if one is None or one.epoch != entry.epoch:
        _add_copy(job, entry)
        return
    if entry.run_s <= one.run_s:
        return
    settles = one.run_s < SETTLED_RUN_S
    one.run_s = entry.run_s
    change = entry.used_cores - one.cores
    if change:
        one.cores += change * (1.0 if settles else _CORES_SMOOTHING)
        job.sizes.clear()
    if entry.used_memory_gib > one.memory_gib:
        one.memory_gib = entry.used_memory_gib
        _raise_peak(job, entry.used_memory_gib)
    if settles:
        job.sizes.clear()


def _add_copy(job: JobDemand, entry: platform_api.TaskReport) -> None:
    job.measured.pop(entry.task, None)
    job.measured[entry.task] = Measured(
        entry.epoch, entry.used_cores, entry.used_memory_gib, entry.run_s
    )
    if len(job.measured) > SAMPLES_KEPT:
        del job.measured[next(iter(job.measured))]
    _raise_peak(job, entry.used_memory_gib)


def _raise_peak(job: JobDemand, memory_gib: float) -> None:
    job.peak_memory_gib = max(job.peak_memory_gib, memory_gib)
    job.sizes.clear()


def _observe_end(job: JobDemand, entry: platform_api.TaskReport) -> None:
    if job.ended.get(entry.task) == entry.epoch:
        return
    job.ended[entry.task] = entry.epoch
    job.run_s.append(entry.run_s)
    del job.run_s[:-SAMPLES_KEPT]


def size(demand: Demand, job: configuration.Job) -> Size:
    """Give what a task of the job that isn't measured yet is planned with.

    Cores may be below the declared ones by a bounded share. Memory is below
    the declared size only once some tasks were measured, and then above the
    most that any of them used.
    """
    known = demand.jobs.get(ids.JobId(job.name))
    if known is None or not known.measured:
        return Size(job.cores, job.memory_gib)
    declared = (job.cores, job.memory_gib)
    found = known.sizes.get(declared)
    if found is None:
        found = _learned_size(demand.caution, known, job)
        known.sizes[declared] = found
    return found


def _learned_size(
    caution: Caution, known: JobDemand, job: configuration.Job
) -> Size:
    settled = [
        one.cores
        for one in known.measured.values()
        if one.run_s >= SETTLED_RUN_S
    ]
    prior = [job.cores] * max(caution.prior_samples, not settled)
    cores = quantile(settled + prior, caution.cores_quantile)
    memory_gib = known.peak_memory_gib * caution.memory_margin
    if len(settled) < caution.min_memory_samples:
        memory_gib = max(memory_gib, job.memory_gib)
    return Size(max(cores, job.cores * caution.min_cores_share), memory_gib)


def measured(
    demand: Demand, job: ids.JobId, task: str, epoch: ids.Epoch
) -> Measured | None:
    """Give what the reports show of a copy, None if nothing yet."""
    known = demand.jobs.get(job)
    one = known.measured.get(task) if known is not None else None
    return one if one is not None and one.epoch == epoch else None


def held(demand: Demand, one: Measured | None, given: Size) -> Size:
    """Give what a running copy is planned with.

    :param one: what the reports show of it
    :param given: what it was started with; holds until it has settled
    """
    if one is None:
        return given
    memory_gib = one.memory_gib * demand.caution.memory_margin
    if one.run_s >= SETTLED_RUN_S:
        return Size(one.cores, memory_gib)
    return Size(max(one.cores, given.cores), max(memory_gib, given.memory_gib))


def run_s(demand: Demand, job: configuration.Job) -> float:
    """Give the run time that a task of the job is planned with."""
    known = demand.jobs.get(ids.JobId(job.name))
    if known is None or not known.run_s:
        return job.expected_run_s
    prior = [job.expected_run_s] * demand.caution.prior_samples
    return quantile(known.run_s + prior, demand.caution.run_quantile)


def quantile(samples: list[float], share: float) -> float:
    """Give the sample below which about ``share`` of them lie."""
    ordered = sorted(samples)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
