"""Access to what is known of one task, and how it may change.

A copy of a task runs on one worker under one epoch. Times are of the
leader's monotonic clock.
"""

import enum

import msgspec

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from oleanderwood import verdict as verdicts

LEASE_TTL_S = 30.0
"""Time a worker keeps a copy going without renewing its lease."""

CLOCK_RATE_MARGIN = 0.1
"""How much slower another process's clock may run, as a share."""

SEND_WINDOW_S = 10.0
"""Time after the intent in which its start may reach the worker."""

CALL_TIMEOUT_S = 6.0
"""Longest time that a start is under way once it was sent."""

REPEAT_END_S = 5.0
"""Time after which an order to end a copy that still runs is repeated."""

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


LIVE = (Phase.RUNNING, Phase.STARTING, Phase.ENDING)
"""Phases in which a copy may be running on the row's worker."""


class TaskRow(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One task.

    ``epoch`` grows by one at each intent; every order and report quotes it.
    ``cores``, ``memory_gib`` and ``accelerators`` are what the copy was
    given. ``ending_at_s`` is when its end was last ordered, and
    ``absent_since_s`` when a usage report first lacked it (0: it doesn't).
    ``failures`` and ``refusals`` count those since the last good run.
    ``stopping`` tells a stop from a checkpoint.
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
    ending_at_s: float = 0.0
    absent_since_s: float = 0.0
    not_before_s: float = 0.0
    failures: int = 0
    refusals: int = 0
    throttled: bool = False
    stopping: bool = False
    checkpointed: bool = False
    cancelled: bool = False


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


def rebased(row: TaskRow, now_s: float) -> TaskRow:
    """Put an earlier leader's row on this one's clock.

    An unresolved intent counts as made now: the earlier leader may still
    send it within its window.
    """
    return msgspec.structs.replace(
        row,
        waiting_since_s=now_s,
        intent_at_s=now_s,
        ending_at_s=now_s,
        absent_since_s=0.0,
        not_before_s=now_s + failure_pause_s(row.failures),
    )


def cancelled(row: TaskRow) -> TaskRow:
    """Cancel a task; a copy that may run still has to be stopped."""
    phase = row.phase if row.phase in LIVE else Phase.ENDED
    return msgspec.structs.replace(row, phase=phase, cancelled=True)


def wanted_again(row: TaskRow, now_s: float) -> TaskRow:
    """Take a cancellation back, once no copy can be running."""
    if row.phase is not Phase.ENDED:
        return row
    return msgspec.structs.replace(
        row, phase=Phase.WAITING, cancelled=False, waiting_since_s=now_s
    )


def intended(
    row: TaskRow,
    start: actions.StartTask,
    operation: ids.OperationId,
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
        worker=start.worker,
        operation=operation,
        cores=start.cores,
        memory_gib=start.memory_gib,
        accelerators=start.accelerators,
        intent_at_s=now_s,
        absent_since_s=0.0,
        throttled=False,
        stopping=False,
    )


def ending(row: TaskRow, stop: bool, now_s: float) -> TaskRow:
    """Note that a checkpoint or a stop is about to be ordered."""
    return msgspec.structs.replace(
        row,
        phase=Phase.ENDING,
        stopping=stop or row.stopping,
        ending_at_s=now_s,
    )


def throttled(row: TaskRow) -> TaskRow:
    """Note that the copy is about to be throttled."""
    return msgspec.structs.replace(row, throttled=True)


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


def start_message(row: TaskRow) -> platform_api.TaskStart:
    """Make the message of a noted start."""
    return platform_api.TaskStart(
        row.task,
        row.job,
        row.epoch,
        row.operation,
        row.cores,
        row.memory_gib,
        row.accelerators,
        LEASE_TTL_S,
    )


def answered(
    row: TaskRow, epoch: ids.Epoch, verdict: verdicts.Verdict, now_s: float
) -> TaskRow:
    """Note the answer to a start; one of another epoch changes nothing."""
    if row.epoch != epoch or row.phase not in LIVE:
        return row
    if verdict is verdicts.Verdict.NOT_RUN:
        return row if row.phase is Phase.RUNNING else _refused(row, now_s)
    if verdict is verdicts.Verdict.RAN and row.phase is Phase.STARTING:
        return msgspec.structs.replace(row, phase=Phase.RUNNING, refusals=0)
    return row


def seen_alive(row: TaskRow) -> TaskRow:
    """Note that a report shows the copy running."""
    if row.phase is Phase.STARTING:
        return msgspec.structs.replace(
            row, phase=Phase.RUNNING, absent_since_s=0.0, refusals=0
        )
    return unknown(row)


def seen_ended(
    row: TaskRow, state: platform_api.TaskState, now_s: float
) -> TaskRow:
    """Note that a report shows the copy's end."""
    if state is platform_api.TaskState.DONE:
        return msgspec.structs.replace(row, phase=Phase.ENDED, failures=0)
    if state is platform_api.TaskState.FAILED:
        return _failed(row, now_s)
    kept = state is platform_api.TaskState.CHECKPOINTED
    return msgspec.structs.replace(
        over(row, now_s), checkpointed=kept or row.checkpointed
    )


def not_seen(row: TaskRow, taken_at_s: float, now_s: float) -> TaskRow:
    """Note that a report made at ``taken_at_s`` lacks the copy.

    The copy is over once its lease is: the worker can't have renewed it
    after the first report without it.
    """
    if taken_at_s <= row.intent_at_s + SEND_WINDOW_S:
        return row
    if row.absent_since_s == 0.0:
        return msgspec.structs.replace(row, absent_since_s=taken_at_s)
    if taken_at_s >= lease_over_at_s(row):
        return over(row, now_s)
    return row


def unknown(row: TaskRow) -> TaskRow:
    """Note that the copy may have been back since reports lacked it."""
    if not row.absent_since_s:
        return row
    return msgspec.structs.replace(row, absent_since_s=0.0)


def lease_over_at_s(row: TaskRow) -> float:
    """Give the time by which the lease of an absent copy has lapsed."""
    return row.absent_since_s + LEASE_TTL_S * (1 + CLOCK_RATE_MARGIN)


def over(row: TaskRow, now_s: float) -> TaskRow:
    """Note that no copy can be running any more."""
    phase = Phase.ENDED if row.cancelled else Phase.WAITING
    return msgspec.structs.replace(
        row, phase=phase, waiting_since_s=now_s, absent_since_s=0.0
    )


def _failed(row: TaskRow, now_s: float) -> TaskRow:
    failures = row.failures + 1
    return msgspec.structs.replace(
        over(row, now_s),
        failures=failures,
        not_before_s=now_s + failure_pause_s(failures),
    )


def _refused(row: TaskRow, now_s: float) -> TaskRow:
    refusals = row.refusals + 1
    return msgspec.structs.replace(
        over(row, now_s),
        refusals=refusals,
        not_before_s=now_s + refusal_pause_s(refusals),
        waiting_since_s=row.waiting_since_s,
    )
