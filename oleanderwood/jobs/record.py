"""Stored form of jobs and of their progress."""

import hashlib

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import ranges

INTAKE_PREFIX = 'ow/in/'
"""Prefix of the keys of all requests: jobs, cancellations and the operators'
policy."""

JOB_PREFIX = 'ow/in/job/'
CANCEL_PREFIX = 'ow/in/cancel/'
TOMBSTONE_PREFIX = 'ow/tombstones/'
"""Not below the prefix of requests: leaders don't need tombstones, and many
must not delay a takeover."""

OWNER_DIGEST_CHARS = 32
"""Length of the digest that stands for a tenant's name in a key; names may be
longer than a key."""

POLICY_KEY = 'ow/in/policy'
"""The operators' policy. It shares a prefix with callers' requests, so that
the leader receives both through one watch."""

PROGRESS_PREFIX = 'ow/progress/'

MAX_LISTED_GROUPS = 64
"""Largest number of groups of a job whose progress lists each of them. Servers
of earlier releases read only this form. They refuse the compact form and leave
the job alone, instead of running again what it holds as done."""


class GroupProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one step in one occurrence.

    :ivar done: indices of the tasks that are done, as bits of a hexadecimal
        number
    :ivar failed: numbers of failed attempts, by index of the task
    :ivar checkpoints: last known checkpoint, by index of the task
    :ivar crashes: crashes that may be caused by a task, by its index
    :ivar crash_counts: number of crashes of a task that has had more, by its
        index
    """

    occurrence: int
    step: int
    done: str = '0'
    failed: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, list[crashes_.Crash]] = {}
    crash_counts: dict[int, int] = {}


class CompactProgress(msgspec.Struct, frozen=True):
    """Progress of the steps of a job with many steps or occurrences.

    Its size follows what is open: what is done forms few ranges.

    :ivar done: groups whose tasks are all done, as ranges of their numbers,
        see ``ledger.group_number()``
    :ivar others: progress of other groups
    """

    done: list[ranges.Range] = []
    others: list[GroupProgress] = []


class Progress(msgspec.Struct, frozen=True):
    """Progress of one job.

    :ivar groups: progress of its groups; those in which nothing has happened
        may be left out
    :ivar more_pools: pools in which its tasks may have been started, in
        addition to the pool of its queue at submission
    :ivar tenant: the job's tenant
    """

    state: model.State
    groups: list[GroupProgress] | CompactProgress = []
    more_pools: list[ids.ServiceId] = []
    tenant: ids.TenantId = ids.TenantId('')


def job_key(job: ids.JobId) -> str:
    """Return the key of a job."""
    return JOB_PREFIX + job


def cancel_key(job: ids.JobId) -> str:
    """Return the key that marks a job as cancelled by its caller."""
    return CANCEL_PREFIX + job


def tombstone_key(job: ids.JobId, owner: ids.TenantId) -> str:
    """Return the key that stops writes of a job of this owner.

    Tombstones of different owners are independent, so that nobody can stop
    another tenant's job that isn't stored yet.
    """
    digest = ''
    if owner:
        digest = hashlib.sha256(owner.encode()).hexdigest()
    return f'{TOMBSTONE_PREFIX}{job}/{digest[:OWNER_DIGEST_CHARS]}'


def progress_key(job: ids.JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS_PREFIX + job


def progress_of(entry: ledgers.Entry) -> Progress:
    """Return a job's progress as the store has to hold it."""
    rows = []
    for group in entry.groups.values():
        if not group.left:
            continue
        row = _group_progress(group)
        if row.done != '0' or row.failed or row.crashes:
            rows.append(row)
    work = entry.job.work
    groups = model.occurrences(entry.job) * len(work.steps)
    progress = CompactProgress(list(entry.done_groups), rows)
    return Progress(
        ledgers.state_to_store(entry),
        _listed(work, progress) if groups <= MAX_LISTED_GROUPS else progress,
        sorted(entry.more_pools),
        entry.job.tenant,
    )


def _listed(work: model.Work, progress: CompactProgress) -> list:
    """Return progress with a row for each group that is done."""
    steps = len(work.steps)
    done = [
        GroupProgress(
            number // steps,
            number % steps,
            f'{_all_bits(work.steps[number % steps]):x}',
        )
        for first, last in progress.done
        for number in range(first, last + 1)
    ]
    rows = [*done, *progress.others]
    return sorted(rows, key=lambda row: (row.occurrence, row.step))


def _all_bits(step: model.Step) -> int:
    """Return the bits of a step of which all tasks are done."""
    return (1 << step.tasks) - 1


def _group_progress(group: ledgers.Group) -> GroupProgress:
    done = 0
    failed = {}
    checkpoints = {}
    crashes = {}
    crash_counts = {}
    for task in group.tasks:
        if task.done:
            done |= 1 << task.index
        elif task.checkpoint:
            checkpoints[task.index] = task.checkpoint
        if task.failed_attempts and not task.done:
            failed[task.index] = sorted(task.failed_attempts)
        if task.crashes and not task.done:
            crashes[task.index] = isolation.crashes_to_store(task)
            if task.crash_count > len(task.crashes):
                crash_counts[task.index] = task.crash_count
    return GroupProgress(
        group.occurrence,
        group.number,
        f'{done:x}',
        failed,
        checkpoints,
        crashes,
        crash_counts,
    )


def restore(
    ledger: ledgers.Ledger,
    entry: ledgers.Entry,
    progress: Progress,
    now_s: float,
) -> None:
    """Restore the stored progress of a job that was just added."""
    compact = _compact(entry, progress.groups)
    ledgers.set_done(ledger, entry, compact.done)
    for row in compact.others:
        _restore_group(ledger, entry, row, now_s)
    ledgers.end_if_completed(ledger, entry, now_s)
    if progress.state in model.FINAL:
        ledgers.end(ledger, entry, progress.state, now_s)
    elif not ledgers.is_final(entry):
        entry.state = progress.state
        entry.has_run = progress.state is model.State.RUNNING
    entry.stored_state = progress.state
    entry.more_pools.update(progress.more_pools)
    entry.more_pools_stored.update(progress.more_pools)
    if entry.stored_state is entry.state:
        ledger.dirty.pop(entry.job.job, None)


def _compact(
    entry: ledgers.Entry, groups: list[GroupProgress] | CompactProgress
) -> CompactProgress:
    """Return the compact form of stored progress, without unknown groups.

    :raises ValueError: the progress contradicts the job
    """
    steps = entry.job.work.steps
    occurrences = model.occurrences(entry.job)
    done: list[ranges.Range] = []
    others = []
    if isinstance(groups, CompactProgress):
        done, groups = list(groups.done), groups.others
    for row in groups:
        if not 0 <= row.step < len(steps):
            continue
        if not 0 <= row.occurrence < occurrences:
            continue
        bits = _all_bits(steps[row.step])
        if int(row.done, 16) & bits == bits:
            number = row.occurrence * len(steps) + row.step
            done.append((number, number))
        else:
            others.append(row)
    done = ranges.normalized(done, occurrences * len(steps))
    return CompactProgress(done, others)


def _restore_group(
    ledger: ledgers.Ledger,
    entry: ledgers.Entry,
    row: GroupProgress,
    now_s: float,
) -> None:
    done = int(row.done, 16)
    group = ledgers.open_group(ledger, entry, row.occurrence, row.step)
    for task in group.tasks:
        if done >> task.index & 1:
            ledgers.mark_done(ledger, task, now_s)
        task.failed_attempts.update(row.failed.get(task.index, ()))
        task.checkpoint = row.checkpoints.get(task.index, '')
        for crash in row.crashes.get(task.index, ()):
            task.crashes[crash.attempt] = crash
            isolation.update_suspects(task)
        task.crash_count = row.crash_counts.get(task.index, len(task.crashes))
        task.last_attempt = max(
            [*task.failed_attempts, *task.crashes], default=task.last_attempt
        )
