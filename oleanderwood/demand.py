"""Access to what tasks really need, learned from lagging usage reports.

Declared sizes and run times are far off. A job's tasks are planned with a
quantile of what its earlier tasks used, weighed against the declared size
as long as few were measured.
"""

import dataclasses

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import platform_api

SAMPLES_KEPT = 64
"""Measured tasks kept per job; older ones make room."""

PRIOR_SAMPLES = 2
"""Measured tasks that the declared size weighs as much as."""

CORES_QUANTILE = 0.75
RUN_QUANTILE = 0.9
MIN_CORES_SHARE = 0.25
"""Bound of overcommit: cores planned, as a share of the declared ones."""

MIN_MEMORY_SAMPLES = 3
"""Measured tasks before memory is planned below its declared size."""

MEMORY_MARGIN = 1.1
"""Memory planned, as a multiple of the most that was measured."""

SETTLED_RUN_S = 10.0
"""A copy that ran shorter than this says little of its size."""


@dataclasses.dataclass(frozen=True)
class Size:
    """What one task is planned with."""

    cores: float
    memory_gib: float


@dataclasses.dataclass
class Measured:
    """One task's copy as the reports show it."""

    epoch: ids.Epoch
    cores: float
    memory_gib: float
    run_s: float


@dataclasses.dataclass
class JobDemand:
    """What a job's tasks used, newest last."""

    measured: dict[str, Measured] = dataclasses.field(default_factory=dict)
    run_s: list[float] = dataclasses.field(default_factory=list)
    peak_memory_gib: float = 0.0
    sizes: dict[tuple[float, float], Size] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Demand:
    """What is learned of all jobs; rebuilt from reports by a new leader."""

    jobs: dict[ids.JobId, JobDemand] = dataclasses.field(default_factory=dict)


def observe(demand: Demand, usage: platform_api.UsageReport) -> None:
    """Take in a usage report."""
    for entry in usage.tasks:
        job = demand.jobs.get(entry.job)
        if job is None:
            job = demand.jobs[entry.job] = JobDemand()
        _observe_task(job, entry)


def _observe_task(job: JobDemand, entry: platform_api.TaskReport) -> None:
    old = job.measured.get(entry.task)
    if entry.state is platform_api.TaskState.DONE:
        _observe_run(job, entry, old)
    if entry.run_s < SETTLED_RUN_S or entry.used_memory_gib <= 0.0:
        return
    if old is not None and old.epoch == entry.epoch:
        if entry.used_memory_gib <= old.memory_gib:
            if entry.used_cores <= old.cores:
                old.run_s = entry.run_s
                return
        entry_cores = max(old.cores, entry.used_cores)
        entry_memory_gib = max(old.memory_gib, entry.used_memory_gib)
    else:
        entry_cores = entry.used_cores
        entry_memory_gib = entry.used_memory_gib
    job.measured.pop(entry.task, None)
    job.measured[entry.task] = Measured(
        entry.epoch, entry_cores, entry_memory_gib, entry.run_s
    )
    if len(job.measured) > SAMPLES_KEPT:
        del job.measured[next(iter(job.measured))]
    job.peak_memory_gib = max(job.peak_memory_gib, entry_memory_gib)
    job.sizes.clear()


def _observe_run(
    job: JobDemand, entry: platform_api.TaskReport, old: Measured | None
) -> None:
    if old is not None and old.run_s < 0:
        return
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
        found = known.sizes[declared] = _learned_size(known, job)
    return found


def _learned_size(known: JobDemand, job: configuration.Job) -> Size:
    cores = [one.cores for one in known.measured.values()]
    learned_cores = quantile(
        cores + [job.cores] * PRIOR_SAMPLES, CORES_QUANTILE
    )
    floor = job.cores * MIN_CORES_SHARE
    memory_gib = known.peak_memory_gib * MEMORY_MARGIN
    if len(known.measured) < MIN_MEMORY_SAMPLES:
        memory_gib = max(memory_gib, job.memory_gib)
    return Size(max(learned_cores, floor), memory_gib)


def held(
    demand: Demand, job: ids.JobId, task: str, epoch: ids.Epoch, given: Size
) -> Size:
    """Give what a running copy is planned with.

    :param given: what it was started with; holds until it is measured
    """
    known = demand.jobs.get(job)
    one = known.measured.get(task) if known is not None else None
    if one is None or one.epoch != epoch:
        return given
    return Size(one.cores, one.memory_gib * MEMORY_MARGIN)


def run_s(demand: Demand, job: configuration.Job) -> float:
    """Give the run time that a task of the job is planned with."""
    known = demand.jobs.get(ids.JobId(job.name))
    if known is None or not known.run_s:
        return job.expected_run_s
    samples = known.run_s + [job.expected_run_s] * PRIOR_SAMPLES
    return quantile(samples, RUN_QUANTILE)


def quantile(samples: list[float], share: float) -> float:
    """Give the sample below which at least ``share`` of them lie."""
    ordered = sorted(samples)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
