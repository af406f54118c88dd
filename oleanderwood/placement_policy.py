"""Access to the choices that a placement decision leaves open."""

import collections.abc
import dataclasses
import random

from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import placement_plan
from oleanderwood import task_quotas
from oleanderwood import worker_room

Choose = collections.abc.Callable[
    [list[worker_room.Room], random.Random], worker_room.Room
]
Order = collections.abc.Callable[
    [placement_plan.Plan, str, placement_plan.Queue], tuple[float, str]
]
LeavesReserve = collections.abc.Callable[
    [placement_plan.Plan, str, worker_room.Room, demands.Size], bool
]


@dataclasses.dataclass(frozen=True)
class Policy:
    """One set of choices.

    :ivar choose: which of the workers with room gets a task
    :ivar order: key of a team's queue in a pool; the least comes next
    :ivar leaves_reserve: whether enough stays free for urgent work if this
        task, which isn't urgent, starts there
    :ivar quota_kept_share: share of each team's quotas that its other work
        keeps free for its urgent work
    :ivar preempts: whether other work gives way to urgent work
    """

    choose: Choose
    order: Order
    leaves_reserve: LeavesReserve
    quota_kept_share: float = 0.35
    preempts: bool = True


def fullest(
    rooms: list[worker_room.Room], rng: random.Random
) -> worker_room.Room:
    """Choose the worker with the smallest share left (best fit)."""
    return min(rooms, key=_free_share)


def emptiest(
    rooms: list[worker_room.Room], rng: random.Random
) -> worker_room.Room:
    """Choose the worker with the largest share left (worst fit)."""
    return max(rooms, key=_free_share)


def first(
    rooms: list[worker_room.Room], rng: random.Random
) -> worker_room.Room:
    """Choose the first worker with room (first fit)."""
    return rooms[0]


def anyone(
    rooms: list[worker_room.Room], rng: random.Random
) -> worker_room.Room:
    """Choose a worker at random."""
    return rng.choice(rooms)


def emptier_of_two(
    rooms: list[worker_room.Room], rng: random.Random
) -> worker_room.Room:
    """Choose the emptier of two random workers (two choices)."""
    if len(rooms) <= 2:
        return max(rooms, key=_free_share)
    return max(rng.sample(rooms, 2), key=_free_share)


def _free_share(room: worker_room.Room) -> float:
    worker = room.worker
    cores = room.free_cores / worker.cores if worker.cores else 0.0
    memory = room.free_memory_gib / worker.memory_gib
    return cores + memory


def by_arrival(
    plan: placement_plan.Plan, pool: str, queue: placement_plan.Queue
) -> tuple[float, str]:
    """Put the team first whose next task waits longest."""
    row = queue.rows[-1]
    return (row.waiting_since_s, queue.team)


def by_quota_share(
    plan: placement_plan.Plan, pool: str, queue: placement_plan.Queue
) -> tuple[float, str]:
    """Put the team first that holds the least of its quotas."""
    team = plan.teams.get(queue.team)
    if team is None:
        return (float('inf'), queue.team)
    share = task_quotas.quota_share(team, plan.used[queue.team])
    return (share, queue.team)


def no_reserve(
    plan: placement_plan.Plan,
    pool: str,
    room: worker_room.Room,
    size: demands.Size,
) -> bool:
    """Keep nothing free."""
    return True


def reserve_on_each(share: float) -> LeavesReserve:
    """Keep a share of each worker's memory free.

    A task that is larger than the rest may have an empty worker.
    """

    def leaves_reserve(
        plan: placement_plan.Plan,
        pool: str,
        room: worker_room.Room,
        size: demands.Size,
    ) -> bool:
        if not room.job_tasks:
            return True
        left_gib = room.free_memory_gib - size.memory_gib
        return left_gib >= share * room.worker.memory_gib

    return leaves_reserve


RESERVE_SHARE = 0.05
"""Share of each worker's memory kept free at equal weights."""

MAX_RESERVE_SHARE = 0.2


def by_weights(weights: configuration.Weights) -> Policy:
    """Make the policy for what the operators weigh.

    Room that is kept free spares other work from being moved, and costs
    buffer: the dearer moves are against buffer, the more is kept.
    """
    share = MAX_RESERVE_SHARE
    if weights.buffer > 0:
        ratio = weights.moves / weights.buffer
        share = min(RESERVE_SHARE * ratio, MAX_RESERVE_SHARE)
    return Policy(fullest, by_quota_share, reserve_on_each(share))


DEFAULT = by_weights(configuration.Weights())
