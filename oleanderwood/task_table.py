"""Access to the state of all tasks of a region.

The leader changes rows here, writes them to the store, and only then sends
an order; so whoever takes over finds each start that may have been sent.
"""

import collections.abc
import dataclasses

from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from oleanderwood import task_row
from oleanderwood import verdict as verdicts

_ALIVE = (
    platform_api.TaskState.RUNNING,
    platform_api.TaskState.THROTTLED,
)

MAX_REPORT_GAP_S = 5.0
"""Reports further apart than this prove no absence in between.

A report shows each worker that the platform heard of within this time, with
what it said last; so a worker that renewed its leases between two reports
that are closer shows in the second.
"""


@dataclasses.dataclass
class Table:
    """The tasks, by task id.

    :ivar report_at_s: when the newest usage report taken in was made
    :ivar epoch_floor: no epoch of a task without a row was above it; kept
        in the store beside the rows
    """

    rows: dict[str, task_row.TaskRow] = dataclasses.field(default_factory=dict)
    report_at_s: float = float('-inf')
    epoch_floor: ids.Epoch = ids.Epoch(0)


def task_id(job: ids.JobId | str, index: int) -> str:
    """Name a job's task."""
    return f'{job}:{index}'


def adopt(
    rows: collections.abc.Iterable[task_row.TaskRow],
    now_s: float,
    epoch_floor: ids.Epoch = ids.Epoch(0),
) -> Table:
    """Make the table of a leader that takes over."""
    adopted = {row.task: task_row.rebased(row, now_s) for row in rows}
    return Table(adopted, epoch_floor=epoch_floor)


def prune(table: Table) -> list[str]:
    """Drop the rows of cancelled tasks that are over.

    The floor sees to it that a task that is wanted again goes on above the
    epochs that it had.

    :returns: the tasks whose rows went
    """
    over = [
        row
        for row in table.rows.values()
        if row.cancelled and row.phase is task_row.Phase.ENDED
    ]
    for row in over:
        table.epoch_floor = max(table.epoch_floor, row.epoch)
        del table.rows[row.task]
    return [row.task for row in over]


def reconcile(
    table: Table,
    jobs: collections.abc.Iterable[configuration.Job],
    now_s: float,
) -> list[str]:
    """Add the tasks that are wanted and cancel those that aren't.

    :returns: the tasks whose rows changed
    """
    wanted = {
        task_id(job.name, index): ids.JobId(job.name)
        for job in jobs
        for index in range(job.tasks)
    }
    changed = []
    for task, job in wanted.items():
        row = table.rows.get(task)
        if row is None:
            new = task_row.TaskRow(
                task, job, epoch=table.epoch_floor, waiting_since_s=now_s
            )
        elif row.cancelled:
            new = task_row.wanted_again(row, now_s)
        else:
            continue
        changed += _put(table, row, new)
    for task, row in table.rows.items():
        if not row.cancelled and task not in wanted:
            changed += _put(table, row, task_row.cancelled(row))
    return changed


def _put(
    table: Table, old: task_row.TaskRow | None, new: task_row.TaskRow
) -> list[str]:
    if new is old:
        return []
    table.rows[new.task] = new
    return [new.task]


def note(
    table: Table,
    action: actions.Action,
    operation: ids.OperationId,
    now_s: float,
) -> task_row.TaskRow | None:
    """Note an action before it is carried out.

    The changed row has to be in the store before the order is sent.

    :returns: the changed row, None if the action concerns no task or the
        copy that it quotes is over
    :raises errors.InvariantBreach: a start that must not be
    """
    row = table.rows.get(getattr(action, 'task', ''))
    if row is None:
        return None
    if isinstance(action, actions.StartTask):
        new = task_row.intended(row, action, operation, now_s)
    elif row.epoch != action.epoch or row.phase not in task_row.LIVE:
        return None
    elif isinstance(action, actions.ThrottleTask):
        new = task_row.throttled(row)
    else:
        stop = isinstance(action, actions.StopTask)
        new = task_row.ending(row, stop, now_s)
    table.rows[row.task] = new
    return new


def may_send(table: Table, task: str, epoch: ids.Epoch, now_s: float) -> bool:
    """Say whether a noted start may be sent; ask directly before it is."""
    row = table.rows.get(task)
    return row is not None and task_row.may_send(row, epoch, now_s)


def answer(
    table: Table,
    task: str,
    epoch: ids.Epoch,
    verdict: verdicts.Verdict,
    now_s: float,
) -> list[str]:
    """Take in the answer to a start.

    :returns: the tasks whose rows changed
    """
    row = table.rows.get(task)
    if row is None:
        return []
    return _put(table, row, task_row.answered(row, epoch, verdict, now_s))


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
    gap = taken_at_s - table.report_at_s > MAX_REPORT_GAP_S
    seen: set[str] = set()
    changed: list[str] = []
    for entry in usage.tasks:
        row = table.rows.get(entry.task)
        if row is not None and _same_copy(row, entry):
            seen.add(entry.task)
            new = _reported(row, entry, now_s, newest)
            changed += _put(table, row, new)
    if newest:
        table.report_at_s = taken_at_s
        changed += _note_absent(table, seen, taken_at_s, gap, now_s)
    return changed


def _same_copy(row: task_row.TaskRow, entry: platform_api.TaskReport) -> bool:
    return (
        row.phase in task_row.LIVE
        and row.epoch == entry.epoch
        and row.worker == entry.worker
    )


def _reported(
    row: task_row.TaskRow,
    entry: platform_api.TaskReport,
    now_s: float,
    newest: bool,
) -> task_row.TaskRow:
    if entry.state not in _ALIVE:
        return task_row.seen_ended(row, entry.state, now_s)
    return task_row.seen_alive(row) if newest else row


def _note_absent(
    table: Table,
    seen: set[str],
    taken_at_s: float,
    gap: bool,
    now_s: float,
) -> list[str]:
    changed = []
    for task, row in table.rows.items():
        if row.phase in task_row.LIVE and task not in seen:
            known = task_row.unknown(row) if gap else row
            new = task_row.not_seen(known, taken_at_s, now_s)
            changed += _put(table, row, new)
    return changed


def worker_restarted(
    table: Table, worker: ids.VmId, up_at_s: float, now_s: float
) -> list[str]:
    """Take in the proof that a worker's copies are gone: a new boot id.

    :param up_at_s: when the earlier boot id was last seen to be in force;
        a start that could arrive after that may have met the new boot, so
        its row is left as it is
    :returns: the tasks whose rows changed
    """
    changed = []
    for row in list(table.rows.values()):
        if row.worker != worker or row.phase not in task_row.LIVE:
            continue
        if up_at_s > row.intent_at_s + task_row.SEND_WINDOW_S:
            changed += _put(table, row, task_row.over(row, now_s))
    return changed


def overlaps(
    table: Table, usage: platform_api.UsageReport, now_s: float
) -> list[platform_api.TaskReport]:
    """Find copies in a report that must not be running.

    A copy under an epoch below the row's that runs after the row's intent
    breaks the invariant that a task runs once.
    """
    found = []
    for entry in usage.tasks:
        row = table.rows.get(entry.task)
        if row is None or entry.state not in _ALIVE:
            continue
        if row.phase not in task_row.LIVE or entry.epoch >= row.epoch:
            continue
        if now_s - usage.age_s > row.intent_at_s:
            found.append(entry)
    return found
