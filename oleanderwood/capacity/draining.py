"""Choose busy machines to drain for another pool.

After a burst of large jobs, each of their machines is occupied by one or two
long tasks for seconds, while another pool's burst starts and finds no idle
machine. The functions have no side effects.
"""

import collections.abc
import dataclasses
import typing

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_

CHECKPOINTED_STOP_S = 0.5
"""Time until a task with checkpoints has left its machine: a stop takes 0.2 to
0.4 s, and its report some more."""

MAX_DRAIN_S = 1.5
"""A machine that takes longer to drain isn't drained: it would accept no tasks
for as long as a move takes, and arrive when the need is over."""

MIN_STOP_GAIN_S = 1.0
"""A task with checkpoints is stopped only if it would occupy its machine for
longer than this: a stop and a restore take 0.65 s."""


class Member(typing.Protocol):
    """The fields of ``rebalancing.Member`` that are used here."""

    machine: str
    cores: float
    worker: workers_.Worker | None
    fixed: bool


@dataclasses.dataclass(frozen=True)
class MachineToDrain:
    """A machine that accepts no more tasks.

    :ivar stops: tasks to stop, which continue elsewhere in their pool
    :ivar relocates: long-running tasks to stop once another worker has room
    """

    machine: str
    stops: list[ledgers.Task]
    relocates: list[ledgers.Task] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Surplus:
    """Machines of one pool, some of which may leave it.

    :ivar count: maximum number that may leave
    """

    service: ids.ServiceId
    members: collections.abc.Sequence[Member]
    count: int


def decide(
    pools: collections.abc.Iterable[Surplus], wanted: int, now_s: float
) -> list[MachineToDrain]:
    """Choose up to ``wanted`` machines, those that are drained soonest."""
    rows = []
    for pool in pools:
        rows += _candidates(pool, now_s)
    rows.sort(key=lambda row: row[:3])
    return [drained for *_order, drained in rows[: max(0, wanted)]]


def _candidates(pool: Surplus, now_s: float) -> list:
    """Return a pool's machines that can be drained, soonest first."""
    rows = []
    for member in pool.members:
        drain_time_s = _drain_time_s(member, now_s)
        if drain_time_s is None or drain_time_s > MAX_DRAIN_S:
            continue
        tasks = list(member.worker.runs.values())
        drained = MachineToDrain(
            member.machine,
            [task for task in tasks if _is_stopped(task, now_s)],
        )
        rows.append((drain_time_s, _cores(tasks), member.machine, drained))
    rows.sort(key=lambda row: row[:3])
    return rows[: max(0, pool.count)]


def _drain_time_s(member: Member, now_s: float) -> float | None:
    """Return the time to drain a machine; None if it must not be drained."""
    worker = member.worker
    if worker is None or member.fixed or not worker.runs:
        return None
    if not worker.is_reclaimed and not workers_.accepts(worker, now_s):
        return None
    longest_s = 0.0
    for task in worker.runs.values():
        if task.group.step.is_long_running or task.group.step.gang:
            return None
        longest_s = max(longest_s, task_drain_time_s(task, now_s))
    return longest_s


def task_drain_time_s(task: ledgers.Task, now_s: float) -> float:
    """Return the time until a batch task has left its machine."""
    left_s = slowness.left_s(task, now_s)
    if task.group.step.checkpoints:
        return min(left_s, CHECKPOINTED_STOP_S)
    return left_s


def _is_stopped(task: ledgers.Task, now_s: float) -> bool:
    return (
        task.group.step.checkpoints
        and task.run is not None
        and task.run.phase is ledgers.RunPhase.RUNNING
        and slowness.left_s(task, now_s) > MIN_STOP_GAIN_S
    )


def _cores(tasks: list[ledgers.Task]) -> float:
    return sum(task.group.step.needs.cpu_millicores for task in tasks) / 1000
