"""Access to the state of tasks: epochs, intents, leases and cancellation.

A row says what is known of one task. The leader changes rows here, writes
them to the store, and only then sends an order; so whoever takes over finds
each start that may have been sent. Times are of the leader's monotonic
clock; :func:`adopt` puts the rows of an earlier leader on the new one's.
"""

import collections.abc
import dataclasses
import enum

import msgspec

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import verdict as verdicts

LEASE_TTL_S = 30.0
"""Time a worker keeps a task going without renewing its lease."""

CLOCK_RATE_MARGIN = 0.1
"""How much slower another process's clock may run, as a share."""

SEND_WINDOW_S = 5.0
"""Time after the intent in which its start may reach the worker."""

CALL_TIMEOUT_S = 2.0
"""Longest time that a start is under way once it was sent."""

FAILURE_PAUSE_S = 2.0
MAX_FAILURE_PAUSE_S = 600.0
REFUSAL_PAUSE_S = 0.25
MAX_REFUSAL_PAUSE_S = 16.0


class Phase(enum.Enum):
    """What is known of a task's copy."""

    WAITING = 'waiting'
    """No copy can be running; the task is to be started."""

    STARTING = 'starting'
    """The intent is written; a copy may be running."""

    RUNNING = 'running'
    """The worker said that the copy runs."""

    ENDING = 'ending'
    """A checkpoint or stop was ordered; the copy may still run."""

    ENDED = 'ended'
    """Done or cancelled; no copy can be running."""


LIVE = frozenset({Phase.STARTING, Phase.RUNNING, Phase.ENDING})
"""Phases in which a copy may be running on the row's worker."""

_ALIVE = frozenset(
    {platform_api.TaskState.RUNNING, platform_api.TaskState.THROTTLED}
)


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """One task.

    ``epoch`` grows by one at each intent; every order and report quotes it.
    ``cores``, ``memory_gib`` and ``accelerators`` are what the copy was
    given. ``absent_since_s`` is when a usage report first lacked the copy
    (0: it doesn't lack it). ``failures`` and ``refusals`` count those since
    the last good run. ``stopping`` tells a stop from a checkpoint.
    """

    task: str
    job: ids.JobId
    phase: Phase = Phase.WAITING
    epoch: ids.Epoch = ids.Epoch(0)
    worker: ids.VmId = ids.VmId('')
    operation: ids.OperationId = ids.OperationId('')
    cores: float = 0.0
    memory_gib: float = 0.0
    accelerators: int = 0
    waiting_since_s: float = 0.0
    intent_at_s: float = 0.0
    absent_since_s: float = 0.0
    not_before_s: float = 0.0
    failures: int = 0
    refusals: int = 0
    throttled: bool = False
    stopping: bool = False
    checkpointed: bool = False
    cancelled: bool = False


@dataclasses.dataclass
class Table:
    """The tasks of a region, by task id.

    :ivar report_at_s: when the newest usage report taken in was made
    """

    rows: dict[str, TaskRow] = dataclasses.field(default_factory=dict)
    report_at_s: float = float('-inf')


def task_id(job: ids.JobId | str, index: int) -> str:
    """Name a job's task."""
    return f'{job}/{index}'


def failure_pause_s(failures: int) -> float:
    """Give the pause before the next start after so many failures."""
    return _pause_s(failures, FAILURE_PAUSE_S, MAX_FAILURE_PAUSE_S)


def refusal_pause_s(refusals: int) -> float:
    """Give the pause before the next start after so many refusals."""
    return _pause_s(refusals, REFUSAL_PAUSE_S, MAX_REFUSAL_PAUSE_S)


def _pause_s(count: int, first_s: float, longest_s: float) -> float:
    if count == 0:
        return 0.0
    return min(first_s * 2 ** min(count - 1, 16), longest_s)


def adopt(rows: collections.abc.Iterable[TaskRow], now_s: float) -> Table:
    """Make the table of a leader that takes over.

    Each unresolved intent counts as made now: the earlier leader may still
    send it within its window.
    """
    return Table(rows={row.task: _rebase(row, now_s) for row in rows})


def _rebase(row: TaskRow, now_s: float) -> TaskRow:
    return msgspec.structs.replace(
        row,
        waiting_since_s=now_s,
        intent_at_s=now_s,
        absent_since_s=0.0,
        not_before_s=now_s + failure_pause_s(row.failures),
    )


def reconcile(
    table: Table,
    jobs: collections.abc.Iterable[configuration.Job],
    now_s: float,
) -> list[str]:
    """Add the tasks that are wanted and cancel those that aren't.

    :returns: the tasks whose rows changed
    """
    wanted = {
        task_id(job.name, index): job
        for job in jobs
        for index in range(job.tasks)
    }
    changed = []
    for task, job in wanted.items():
        row = table.rows.get(task)
        if row is None:
            table.rows[task] = TaskRow(
                task, ids.JobId(job.name), waiting_since_s=now_s
            )
            changed.append(task)
        elif row.cancelled:
            changed += _want_again(table, row, now_s)
    for task, row in table.rows.items():
        if task not in wanted and not row.cancelled:
            table.rows[task] = cancelled(row)
            changed.append(task)
    return changed


def _want_again(table: Table, row: TaskRow, now_s: float) -> list[str]:
    if row.phase is not Phase.ENDED:
        return []
    table.rows[row.task] = msgspec.structs.replace(
        row, phase=Phase.WAITING, cancelled=False, waiting_since_s=now_s
    )
    return [row.task]


def cancelled(row: TaskRow) -> TaskRow:
    """Cancel a task; a copy that may run still has to be stopped."""
    phase = row.phase if row.phase in LIVE else Phase.ENDED
    return msgspec.structs.replace(row, phase=phase, cancelled=True)


def intended(
    row: TaskRow,
    worker: ids.VmId,
    operation: ids.OperationId,
    start: platform_api.TaskStart,
    now_s: float,
) -> TaskRow:
    """Note a start that is about to be sent.

    :raises errors.InvariantBreach: a copy may be running, the task is not
        wanted, or the epoch is not the next one
    """
    if row.phase is not Phase.WAITING or row.cancelled:
        raise errors.InvariantBreach(
            f'task {row.task} is {row.phase.value} and must not be started'
        )
    if start.epoch != row.epoch + 1:
        raise errors.InvariantBreach(
            f'task {row.task} is at epoch {row.epoch}, not before '
            f'{start.epoch}'
        )
    return msgspec.structs.replace(
        row,
        phase=Phase.STARTING,
        epoch=start.epoch,
        worker=worker,
        operation=operation,
        cores=start.cores,
        memory_gib=start.memory_gib,
        accelerators=start.accelerators,
        intent_at_s=now_s,
        absent_since_s=0.0,
        throttled=False,
        stopping=False,
    )


def may_send(row: TaskRow, epoch: ids.Epoch, now_s: float) -> bool:
    """Say whether the start of this epoch may be sent now.

    Asked directly before sending, on the clock that the intent was noted
    by, so that a paused leader sends nothing late.
    """
    return (
        row.phase is Phase.STARTING
        and row.epoch == epoch
        and not row.cancelled
        and now_s - row.intent_at_s <= SEND_WINDOW_S - CALL_TIMEOUT_S
    )


def answered(
    row: TaskRow, epoch: ids.Epoch, verdict: verdicts.Verdict, now_s: float
) -> TaskRow:
    """Note the answer to a start; one of another epoch changes nothing."""
    if row.epoch != epoch or row.phase not in LIVE:
        return row
    if verdict is verdicts.Verdict.NOT_RUN:
        if row.phase is Phase.RUNNING:
            return row
        return _refused(row, now_s)
    if verdict is verdicts.Verdict.RAN and row.phase is Phase.STARTING:
        return msgspec.structs.replace(row, phase=Phase.RUNNING, refusals=0)
    return row


def ending(row: TaskRow, stop: bool) -> TaskRow:
    """Note that a checkpoint or a stop is about to be ordered."""
    if row.phase not in LIVE:
        return row
    return msgspec.structs.replace(
        row, phase=Phase.ENDING, stopping=stop or row.stopping
    )


def throttled(row: TaskRow) -> TaskRow:
    """Note that the copy is about to be throttled."""
    return msgspec.structs.replace(row, throttled=True)


def report(
    table: Table, usage: platform_api.UsageReport, now_s: float
) -> list[str]:
    """Take in a usage report.

    A report that is older than one taken in before changes nothing, but
    for the ends of copies, which are final.

    :returns: the tasks whose rows changed
    """
    taken_at_s = now_s - usage.age_s
    newest = taken_at_s > table.report_at_s
    changed = []
    seen = set()
    for entry in usage.tasks:
        row = table.rows.get(entry.task)
        if row is None or not _same_copy(row, entry):
            continue
        seen.add(entry.task)
        new = _reported(row, entry, now_s, newest)
        if new is not row:
            table.rows[entry.task] = new
            changed.append(entry.task)
    if newest:
        table.report_at_s = taken_at_s
        changed += _note_absent(table, seen, taken_at_s, now_s)
    return changed


def _same_copy(row: TaskRow, entry: platform_api.TaskReport) -> bool:
    return (
        row.phase in LIVE
        and row.epoch == entry.epoch
        and row.worker == entry.worker
    )


def _reported(
    row: TaskRow,
    entry: platform_api.TaskReport,
    now_s: float,
    newest: bool,
) -> TaskRow:
    if entry.state in _ALIVE:
        return _alive(row) if newest else row
    if entry.state is platform_api.TaskState.DONE:
        return msgspec.structs.replace(row, phase=Phase.ENDED, failures=0)
    if entry.state is platform_api.TaskState.FAILED:
        return _failed(row, now_s)
    kept = entry.state is platform_api.TaskState.CHECKPOINTED
    return msgspec.structs.replace(
        _over(row, now_s), checkpointed=kept or row.checkpointed
    )


def _alive(row: TaskRow) -> TaskRow:
    if row.phase is Phase.STARTING:
        return msgspec.structs.replace(
            row, phase=Phase.RUNNING, absent_since_s=0.0, refusals=0
        )
    if row.absent_since_s:
        return msgspec.structs.replace(row, absent_since_s=0.0)
    return row


def _over(row: TaskRow, now_s: float) -> TaskRow:
    phase = Phase.ENDED if row.cancelled else Phase.WAITING
    return msgspec.structs.replace(
        row, phase=phase, waiting_since_s=now_s, absent_since_s=0.0
    )


def _failed(row: TaskRow, now_s: float) -> TaskRow:
    failures = row.failures + 1
    return msgspec.structs.replace(
        _over(row, now_s),
        failures=failures,
        not_before_s=now_s + failure_pause_s(failures),
    )


def _refused(row: TaskRow, now_s: float) -> TaskRow:
    refusals = row.refusals + 1
    return msgspec.structs.replace(
        _over(row, now_s),
        refusals=refusals,
        not_before_s=now_s + refusal_pause_s(refusals),
        waiting_since_s=row.waiting_since_s,
    )


def _note_absent(
    table: Table, seen: set[str], taken_at_s: float, now_s: float
) -> list[str]:
    changed = []
    for task, row in table.rows.items():
        if row.phase not in LIVE or task in seen:
            continue
        if taken_at_s <= row.intent_at_s + SEND_WINDOW_S:
            continue
        if row.absent_since_s == 0.0:
            new = msgspec.structs.replace(row, absent_since_s=taken_at_s)
        elif taken_at_s >= lease_over_at_s(row):
            new = _over(row, now_s)
        else:
            continue
        table.rows[task] = new
        changed.append(task)
    return changed


def lease_over_at_s(row: TaskRow) -> float:
    """Give the time by which the lease of an absent copy has lapsed.

    The worker can't have renewed it after the first report without it.
    """
    return row.absent_since_s + LEASE_TTL_S * (1 + CLOCK_RATE_MARGIN)


def worker_restarted(
    table: Table, worker: ids.VmId, now_s: float
) -> list[str]:
    """Take in the proof that a worker's copies are gone: a new boot id.

    A start that may still be on its way is left as it is.

    :returns: the tasks whose rows changed
    """
    changed = []
    for task, row in table.rows.items():
        if row.worker != worker or row.phase not in LIVE:
            continue
        if now_s <= row.intent_at_s + SEND_WINDOW_S:
            continue
        table.rows[task] = _over(row, now_s)
        changed.append(task)
    return changed
