"""Which busy machines are emptied for another pool. Pure.

Load it answers: the large jobs' turn is over, and each of its machines is
held by one or two long tasks for seconds, while another pool's turn begins
and finds no idle machine.
"""

import collections.abc
import dataclasses
import typing

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_

STOP_S = 0.5
"""Time until a task that saves its progress has left: a stop takes 0.2 to
0.4 s and its report some more."""

LONGEST_S = 1.5
"""A machine that can't be empty within this time isn't emptied: it would
close room for as long as a move takes, and come when the need is over."""

STOP_GAIN_S = 1.0
"""A task that saves its progress is stopped only if it would hold its machine
for longer than this: a stop and a restore take 0.65 s."""


class Member(typing.Protocol):
    """A machine, as the plan of pools sees it."""

    machine: str
    cores: float
    worker: workers_.Worker | None
    fixed: bool


@dataclasses.dataclass(frozen=True)
class Emptied:
    """A machine that gets no more tasks.

    :ivar stops: tasks that go on elsewhere in their pool
    """

    machine: str
    stops: list[ledgers.Task]


@dataclasses.dataclass(frozen=True)
class Surplus:
    """Machines of one pool, of which some can be given.

    :ivar count: how many at most
    """

    service: ids.ServiceId
    members: collections.abc.Sequence[Member]
    count: int


def decide(
    pools: collections.abc.Iterable[Surplus], wanted: int, now_s: float
) -> list[Emptied]:
    """Choose machines that are empty soonest, up to as many as are wanted."""
    rows = []
    for pool in pools:
        rows += _candidates(pool, now_s)
    rows.sort(key=lambda row: row[:3])
    return [emptied for *_order, emptied in rows[: max(0, wanted)]]


def _candidates(pool: Surplus, now_s: float) -> list:
    """Give those of a pool that can be emptied, with how soon."""
    rows = []
    for member in pool.members:
        leave_s = _leave_s(member, now_s)
        if leave_s is None or leave_s > LONGEST_S:
            continue
        tasks = list(member.worker.runs.values())
        emptied = Emptied(
            member.machine,
            [task for task in tasks if _is_stopped(task, now_s)],
        )
        rows.append((leave_s, _cores(tasks), member.machine, emptied))
    rows.sort(key=lambda row: row[:3])
    return rows[: max(0, pool.count)]


def _leave_s(member: Member, now_s: float) -> float | None:
    """Give when a machine can be empty; None if it mustn't be emptied."""
    worker = member.worker
    if worker is None or member.fixed or not worker.runs:
        return None
    if not worker.emptying and not workers_.accepts(worker, now_s):
        return None
    longest_s = 0.0
    for task in worker.runs.values():
        if task.group.step.lasting or task.group.step.gang:
            return None
        longest_s = max(longest_s, _task_leave_s(task, now_s))
    return longest_s


def _task_leave_s(task: ledgers.Task, now_s: float) -> float:
    left_s = slowness.left_s(task, now_s)
    if task.group.step.checkpoints:
        return min(left_s, STOP_S)
    return left_s


def _is_stopped(task: ledgers.Task, now_s: float) -> bool:
    return (
        task.group.step.checkpoints
        and task.run is not None
        and task.run.phase is ledgers.RunPhase.RUNNING
        and slowness.left_s(task, now_s) > STOP_GAIN_S
    )


def _cores(tasks: list[ledgers.Task]) -> float:
    return sum(task.group.step.needs.cpu_millicores for task in tasks) / 1000
