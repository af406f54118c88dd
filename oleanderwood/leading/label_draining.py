"""Choose machines to drain of long-running tasks for a label that is lacked.

A pool packs its long-running tasks on few machines, which never become idle.
If they are the only ones with a label, a step of another pool that requires it
would wait for good. The functions have no side effects.
"""

import collections.abc
import functools
import math

from oleanderwood.capacity import draining
from oleanderwood.capacity import rebalancing
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.maintenance import disruption_budget
from oleanderwood.pools import workers as workers_

HasRoom = collections.abc.Callable[[ledgers.Task], bool]
"""Returns whether another worker of a task's pool may take it."""


def decide(
    pools: collections.abc.Sequence[rebalancing.PoolView],
    decision: rebalancing.Decision,
    has_room: HasRoom,
    now_s: float,
) -> list[draining.MachineToDrain]:
    """Choose a machine for each lacked label that no idle machine has.

    :param decision: this pass's moves and needs
    """
    busy = {move.machine for move in decision.moves}
    busy.update(row.machine for row in decision.to_drain)
    chosen: list[draining.MachineToDrain] = []
    for pool in pools:
        for label in sorted(pool.lacks_labels):
            is_owed = not label and rebalancing.is_owed(pool)
            is_owed = is_owed and not decision.grants
            if not (label or is_owed) or _is_served(pool, label, decision):
                continue
            candidates = [
                member
                for source in pools
                if source is not pool
                and _spare_count(source, decision, chosen, is_owed) > 0
                for member in source.members
                if rebalancing.suits(pool, label, member)
                and not _is_wanted(source, member)
                and member.machine not in busy
                and _is_busy(member, now_s)
            ]
            cost = functools.partial(_cost, now_s=now_s)
            # Looking for room is slow in a large pool, so the best come first.
            max_s = math.inf if is_owed else draining.MAX_DRAIN_S
            for member in sorted(candidates, key=cost):
                if _may_drain(member, has_room, now_s, max_s):
                    busy.add(member.machine)
                    chosen.append(_drain(member, chosen, now_s))
                    break
    return chosen


def _is_wanted(pool: rebalancing.PoolView, member: rebalancing.Member) -> bool:
    """Return whether a pool itself lacks a label that its machine has."""
    return any(
        rebalancing.suits(pool, label, member)
        for label in pool.lacks_labels
        if label
    )


def _is_served(
    pool: rebalancing.PoolView, label: str, decision: rebalancing.Decision
) -> bool:
    """Return whether a machine for a label is on its way to a pool."""
    if any(
        member.worker is None and rebalancing.suits(pool, label, member)
        for member in pool.members
    ):
        return True
    why = 'labelled' if label else 'needed'
    return any(
        move.target == pool.service and move.why == why
        for move in decision.moves
    )


def _spare_count(
    pool: rebalancing.PoolView,
    decision: rebalancing.Decision,
    chosen: list[draining.MachineToDrain],
    is_owed: bool = False,
) -> int:
    """Return how many machines may leave a pool beside those that do.

    :param is_owed: another pool takes back what it lends
    """
    names = {member.machine for member in pool.members}
    leaving = sum(move.machine in names for move in decision.moves)
    drained = [*decision.to_drain, *chosen]
    leaving += sum(row.machine in names for row in drained)
    need = decision.needs[pool.service]
    spare = rebalancing.surplus(pool, need.now)
    if is_owed:
        spare = max(spare, rebalancing.borrowed_count(pool))
    return spare - leaving


def _is_busy(member: rebalancing.Member, now_s: float) -> bool:
    """Return whether a machine runs something and could be drained of it."""
    worker = member.worker
    if worker is None or member.fixed or not worker.runs:
        return False
    return worker.is_reclaimed or workers_.accepts(worker, now_s)


def _may_drain(
    member: rebalancing.Member, has_room: HasRoom, now_s: float, max_s: float
) -> bool:
    """Return whether all tasks of a machine end soon or may leave it.

    :param max_s: time in which those must end that may not leave
    """
    for task in member.worker.runs.values():
        if task.group.step.gang:
            return False
        if task.group.step.is_long_running:
            if not has_room(task):
                return False
        elif draining.task_drain_time_s(task, now_s) > max_s:
            return False
    return True


def _cost(
    member: rebalancing.Member, now_s: float
) -> tuple[bool, int, float, str]:
    """Return a machine's sort key: a started one first, then few tasks."""
    relocated = _long_running_tasks(member)
    drain_s = max(
        draining.task_drain_time_s(task, now_s)
        for task in member.worker.runs.values()
    )
    return (
        not member.worker.is_reclaimed,
        len(relocated),
        drain_s,
        member.machine,
    )


def _long_running_tasks(member: rebalancing.Member) -> list[ledgers.Task]:
    return [
        task
        for task in member.worker.runs.values()
        if task.group.step.is_long_running
    ]


def _drain(
    member: rebalancing.Member,
    chosen: list[draining.MachineToDrain],
    now_s: float,
) -> draining.MachineToDrain:
    """Relocate one task at a time, if its step can do without it now.

    :param chosen: machines drained in the same pass; their tasks count
    """
    may_leave = [
        task
        for task in _long_running_tasks(member)
        if disruption_budget.remaining_budget(task.group, now_s)
        > _leaving_count(task.group, chosen)
    ]
    return draining.MachineToDrain(member.machine, [], may_leave[:1])


def _leaving_count(
    group: ledgers.Group, chosen: list[draining.MachineToDrain]
) -> int:
    return sum(task.group is group for row in chosen for task in row.relocates)
