"""Access to the state of one run of the placement measurement."""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

from measure import placement_inputs
from oleanderwood import blame as blames
from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import ids
from oleanderwood import placement_policy
from oleanderwood import platform_api
from oleanderwood import task_table
from oleanderwood import worker_room

RAMP_S = 10.0
"""Time over which a copy's memory grows to its size."""

ALIVE = (
    platform_api.TaskState.RUNNING,
    platform_api.TaskState.THROTTLED,
)


@dataclasses.dataclass
class Copy:
    """A task's copy on a worker."""

    task: str
    job: ids.JobId
    worker: ids.VmId
    epoch: ids.Epoch
    given: demands.Size
    truth: placement_inputs.Truth
    started_s: float
    work_left_s: float
    since_s: float
    rate: float = 1.0
    state: platform_api.TaskState = platform_api.TaskState.RUNNING
    ended_s: float = 0.0
    reason: str = ''


@dataclasses.dataclass
class Figures:
    """What is counted in one run."""

    urgent_waits_s: list[float] = dataclasses.field(default_factory=list)
    urgent_open: int = 0
    ends_for_room: int = 0
    stops_for_room: int = 0
    throttles: int = 0
    moves: int = 0
    moves_needed: int = 0
    out_of_memory: int = 0
    refused: int = 0
    quota_breaches: int = 0
    double_runs: int = 0
    decision_s: list[float] = dataclasses.field(default_factory=list)
    cores_used: list[float] = dataclasses.field(default_factory=list)
    cores_short: list[float] = dataclasses.field(default_factory=list)
    memory_used: list[float] = dataclasses.field(default_factory=list)
    fairness: list[float] = dataclasses.field(default_factory=list)
    core_s_done: float = 0.0
    core_s_lost: float = 0.0
    aside: set[ids.VmId] = dataclasses.field(default_factory=set)
    told: set[str] = dataclasses.field(default_factory=set)
    held: set[ids.JobId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Loop:
    """The state of one run."""

    inputs: placement_inputs.Inputs
    rng: random.Random
    policy: placement_policy.Policy
    learns: bool
    jobs: dict[str, configuration.Job]
    truths: dict[str, placement_inputs.Truth]
    workers: dict[ids.VmId, worker_room.Worker]
    listed: tuple[worker_room.Worker, ...]
    table: task_table.Table
    demand: demands.Demand
    blame: blames.Blame
    figures: Figures
    copies: dict[ids.VmId, dict[str, Copy]]
    now_s: float = 0.0
    lost: set[ids.VmId] = dataclasses.field(default_factory=set)
    epochs: dict[str, ids.Epoch] = dataclasses.field(default_factory=dict)
    arrived_s: dict[str, float] = dataclasses.field(default_factory=dict)
    changed: bool = True
    reconciled: bool = False
    alive: dict[str, set[ids.VmId]] = dataclasses.field(default_factory=dict)
    heap: list[typing.Any] = dataclasses.field(default_factory=list)
    ticket: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )


def at(
    loop: Loop,
    at_s: float,
    event: collections.abc.Callable[..., None],
    *arguments: typing.Any,
) -> None:
    """Let an event happen later."""
    heapq.heappush(loop.heap, (at_s, next(loop.ticket), event, arguments))


def memory_gib(copy: Copy, now_s: float) -> float:
    """Give the memory that a copy uses now."""
    grown = min((now_s - copy.started_s) / RAMP_S, 1.0)
    return copy.truth.memory_gib * (0.5 + 0.5 * grown)
