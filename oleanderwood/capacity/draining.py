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

REPORT_S = 0.1
"""Time from the end of a stopped task until its report is processed."""

GAIN_MARGIN_S = 0.35
"""Time beyond those of a stop and a restore that a stop has to save."""


@dataclasses.dataclass(frozen=True)
class Rules:
    """How machines are chosen.

    :ivar stop_s: time until a task with checkpoints has left its machine
    :ivar min_gain_s: a task with checkpoints is stopped only if it would
        occupy its machine for longer than this
    :ivar keeps: a machine that is being drained stays chosen
    """

    stop_s: float = CHECKPOINTED_STOP_S
    min_gain_s: float = MIN_STOP_GAIN_S
    keeps: bool = False


def measured_rules(task_stop_ms: float, task_restore_ms: float) -> Rules:
    """Return rules for tasks that take these times to stop and to resume."""
    stop_s = task_stop_ms / 1000
    return Rules(
        stop_s=stop_s + REPORT_S,
        min_gain_s=stop_s + task_restore_ms / 1000 + GAIN_MARGIN_S,
        keeps=True,
    )


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
    pools: collections.abc.Iterable[Surplus],
    wanted: int,
    now_s: float,
    rules: Rules = Rules(),
) -> list[MachineToDrain]:
    """Choose up to ``wanted`` machines, those that are drained soonest.

    Where machines stay chosen, they count towards ``wanted``, and all stay
    that their pools can spare: released ones would get new tasks, and their
    drain would begin again.
    """
    kept, rows = [], []
    for pool in pools:
        for row in _candidates(pool, now_s, rules):
            is_new, *_order = row
            (rows if is_new else kept).append(row)
    rows.sort(key=lambda row: row[:-1])
    chosen = kept + rows[: max(0, wanted - len(kept))]
    return [drained for *_order, drained in chosen]


def _candidates(pool: Surplus, now_s: float, rules: Rules) -> list:
    """Return a pool's machines that can be drained, soonest first.

    Those that stay chosen come before the others.
    """
    rows = []
    for member in pool.members:
        drain_time_s = _drain_time_s(member, now_s, rules)
        if drain_time_s is None:
            continue
        stays = rules.keeps and member.worker.is_reclaimed
        if drain_time_s > MAX_DRAIN_S and not stays:
            continue
        tasks = list(member.worker.runs.values())
        drained = MachineToDrain(
            member.machine,
            [task for task in tasks if _is_stopped(task, now_s, rules)],
        )
        order = drain_time_s, _cores(tasks), member.machine
        rows.append((not stays, *order, drained))
    rows.sort(key=lambda row: row[:-1])
    return rows[: max(0, pool.count)]


def _drain_time_s(member: Member, now_s: float, rules: Rules) -> float | None:
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
        longest_s = max(longest_s, task_drain_time_s(task, now_s, rules))
    return longest_s


def task_drain_time_s(
    task: ledgers.Task, now_s: float, rules: Rules = Rules()
) -> float:
    """Return the time until a batch task has left its machine."""
    left_s = slowness.left_s(task, now_s)
    if task.group.step.checkpoints:
        return min(left_s, rules.stop_s)
    return left_s


def _is_stopped(task: ledgers.Task, now_s: float, rules: Rules) -> bool:
    return (
        task.group.step.checkpoints
        and task.run is not None
        and task.run.phase is ledgers.RunPhase.RUNNING
        and slowness.left_s(task, now_s) > rules.min_gain_s
    )


def _cores(tasks: list[ledgers.Task]) -> float:
    return sum(task.group.step.needs.cpu_millicores for task in tasks) / 1000
