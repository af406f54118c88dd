"""Pauses between the starts of tasks that crash workers but go on. Pure.

A job that lasts is not given up because of crashes: crashes are circumstantial
evidence, and only its caller may end it. A task under which workers keep
crashing is started again after growing pauses instead.
"""

from oleanderwood.jobs import ledger as ledgers

BASE_S = 0.25
"""Pause after the second crash in a row; it doubles with each further one."""

MAX_LONG_RUNNING_S = 2.0
"""Longest pause of a long-running task: whatever ended its run, callers expect
it back within 6 s, which include the detection of the crash and the start."""

MAX_BATCH_S = 60.0
"""Longest pause of another task; only its job waits for it."""


def may_give_up(entry: ledgers.Entry) -> bool:
    """Return whether a job may fail because its tasks crash workers.

    Its long-running tasks must go on until it is cancelled.
    """
    return not any(step.is_long_running for step in entry.job.work.steps)


def backoff_s(task: ledgers.Task) -> float:
    """Return the pause after a task's latest crash, in seconds."""
    doublings = max(0, task.crash_count - 2)
    longest_s = MAX_BATCH_S
    if task.group.step.is_long_running:
        longest_s = MAX_LONG_RUNNING_S
    # The bound on the exponent keeps the result finite.
    return min(longest_s, BASE_S * 2.0 ** min(doublings, 16))


def begin(task: ledgers.Task, crashed_s: float) -> None:
    """Let a task wait, together with the other members of its gang.

    :param crashed_s: when its worker crashed
    """
    until_s = crashed_s + backoff_s(task)
    members = task.group.tasks if task.group.step.gang else [task]
    for member in members:
        member.backoff_until_s = max(member.backoff_until_s, until_s)


def is_in_backoff(task: ledgers.Task, now_s: float) -> bool:
    """Return whether the pause after a task's latest crash goes on."""
    return now_s < task.backoff_until_s
