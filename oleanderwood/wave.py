"""Access to the planning of maintenance waves: which VMs to take now.

A batch is chosen again at every step from the state as it is; no list of
VMs is ever followed blindly.
"""

import collections.abc
import dataclasses
import enum

import msgspec

from oleanderwood import budget
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve


class Phase(enum.Enum):
    """Where a wave stands."""

    RUNNING = 'running'
    BLOCKED = 'blocked'
    """Nothing is out and nothing can be taken; ``blocked`` says why."""

    QUIET_HOURS = 'quiet-hours'
    PAUSED = 'paused'
    STOPPED = 'stopped'
    """The wave stopped itself; it probes with one VM later."""

    PROBING = 'probing'
    GIVEN_UP = 'given-up'
    """Its probes failed; an operator has to start it again."""

    DONE = 'done'


class BlockReason(enum.Enum):
    """Why a VM isn't taken now."""

    MIN_UP = 'min-up'
    """Its pool would have too few VMs up; a loan would help."""

    RESERVE = 'reserve'
    """A promised failure domain could no longer be lost."""

    QUARTER = 'quarter'
    """The pool's unavailability budget of the quarter is used up."""

    WIDTH = 'width'
    """As many are out as the wave's failures so far allow."""

    QUIET_HOURS = 'quiet-hours'
    STOPPED = 'stopped'
    PAUSED = 'paused'
    BROKEN = 'broken'
    OUT = 'out'
    """It is out already, for this wave or for another reason."""


class Blocked(msgspec.Struct, frozen=True):
    """A VM that is not taken now."""

    vm: ids.VmId
    pool: ids.PoolId
    reason: BlockReason


class Progress(msgspec.Struct, frozen=True):
    """What has happened in a wave.

    ``targets`` are the VMs that were in the wave's pools when it began;
    one that is lent elsewhere remains a target. ``outcomes`` are in the
    order of their ends; a VM with an outcome isn't taken again.
    """

    wave: ids.WaveId
    started_at_s: float
    targets: tuple[ids.VmId, ...]
    outcomes: tuple[failure_estimate.Outcome, ...] = ()
    paused: bool = False


@dataclasses.dataclass(frozen=True)
class Conditions:
    """What a decision needs to know besides configuration and rows."""

    sites: collections.abc.Mapping[ids.VmId, reserve.Site]
    spent: collections.abc.Mapping[ids.PoolId, budget.Spent] = (
        dataclasses.field(default_factory=dict)
    )
    loads: collections.abc.Mapping[ids.PoolId, budget.HourlyLoad] = (
        dataclasses.field(default_factory=dict)
    )


class Batch(msgspec.Struct, frozen=True):
    """What a wave does now.

    ``loans`` are for :func:`buffer.assign`. ``reason`` is a short sentence
    for operators. ``failure_share`` is the estimate for the next VM.
    """

    phase: Phase
    reason: str
    take: tuple[ids.VmId, ...]
    blocked: tuple[Blocked, ...]
    loans: tuple[buffer.Loan, ...]
    estimated_end_s: float
    meets_deadline: bool
    failure_share: float


def begin(
    wave: configuration.Wave,
    rows: collections.abc.Iterable[fleet.VmRow],
    now_s: float,
) -> Progress:
    """Name the VMs that a wave has to maintain."""
    named = set(wave.pools)
    targets = tuple(sorted(row.vm for row in rows if row.pool in named))
    return Progress(ids.WaveId(wave.name), now_s, targets)


def next_batch(
    wave: configuration.Wave,
    progress: Progress,
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    now_s: float,
    weights: configuration.Weights,
    conditions: Conditions,
) -> Batch:
    """Choose the VMs to take now.

    :param rows: of all shards of the region, as they are now
    """
    del weights
    census = reserve.take_census(pools, rows, conditions.sites)
    finished = {outcome.vm for outcome in progress.outcomes}
    take = []
    blocked = []
    for vm in progress.targets:
        row = census.rows.get(vm)
        if vm in finished or row is None:
            continue
        if not reserve.is_up(row):
            blocked.append(Blocked(vm, row.pool, BlockReason.OUT))
        elif reserve.holds_without(census, vm):
            reserve.take(census, vm)
            take.append(vm)
        else:
            blocked.append(Blocked(vm, row.pool, BlockReason.RESERVE))
    phase = Phase.RUNNING if take or blocked else Phase.DONE
    return Batch(
        phase=phase,
        reason='',
        take=tuple(take),
        blocked=tuple(blocked),
        loans=(),
        estimated_end_s=now_s,
        meets_deadline=now_s <= progress.started_at_s + wave.deadline_s,
        failure_share=0.0,
    )
