"""Access to the planning of maintenance waves: which VMs to take now.

A batch is chosen again at every step from the state as it is; no list of
VMs is ever followed blindly.
"""

import collections
import collections.abc
import dataclasses
import enum
import statistics

import msgspec

from oleanderwood import batch as batches
from oleanderwood import budget
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import hours
from oleanderwood import ids
from oleanderwood import reserve

SHORTEST_VM_TIME_S = 0.1
"""No VM is taken to be out for less; clocks may step within one reboot."""

DEFAULT_VM_TIME_S = 300.0
"""Drain and reboot of one VM, before any was seen."""

ABSENCE_MARGIN = 2.0
"""A VM is charged to the quarter for this multiple of the typical time."""


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
    for operators. ``estimated_end_s`` is None while no end is in sight.
    ``failure_share`` is the estimate for the next VM.
    """

    phase: Phase
    reason: str
    take: tuple[ids.VmId, ...]
    blocked: tuple[batches.Blocked, ...]
    loans: tuple[buffer.Loan, ...]
    estimated_end_s: float | None
    meets_deadline: bool
    failure_share: float


class _Gate(msgspec.Struct, frozen=True):
    """Whether a wave may take VMs, and how many may be out at once."""

    phase: Phase
    reason: str
    width: int


def begin(
    wave: configuration.Wave,
    rows: collections.abc.Iterable[fleet.VmRow],
    now_s: float,
) -> Progress:
    """Name the VMs that a wave has to maintain."""
    named = set(wave.pools)
    targets = tuple(sorted(row.vm for row in rows if row.pool in named))
    return Progress(ids.WaveId(wave.name), now_s, targets)


def typical_s(
    outcomes: collections.abc.Sequence[failure_estimate.Outcome],
) -> float:
    """Say how long a VM is out, from those that came back."""
    seen = [
        outcome.ended_at_s - outcome.taken_at_s
        for outcome in outcomes
        if not outcome.failed
    ]
    if not seen:
        return DEFAULT_VM_TIME_S
    return max(SHORTEST_VM_TIME_S, statistics.median(seen))


def quiet_until_s(wave: configuration.Wave, now_s: float) -> float | None:
    """Say when the present quiet hours end; None outside of them.

    :raises ValueError: an entry of ``not_between`` is no span of time
    """
    of_day_s = now_s % hours.DAY_S
    ends = []
    for span in wave.not_between:
        found = hours.read(span)
        if found is None:
            raise ValueError(f'{span!r} names no hours of day')
        length_s = (found.end_s - found.start_s) % hours.DAY_S
        inside_s = (of_day_s - found.start_s) % hours.DAY_S
        if inside_s < length_s:
            ends.append(now_s + length_s - inside_s)
    return max(ends, default=None)


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
    :raises ValueError: an entry of ``wave.not_between`` is no span of time
    """
    vm_time_s = typical_s(progress.outcomes)
    absence_s = vm_time_s * ABSENCE_MARGIN
    census = _census(pools, rows, now_s, absence_s, conditions)
    finished = {outcome.vm for outcome in progress.outcomes}
    left = batches.left_of(census, progress.targets, finished)
    judgement = failure_estimate.judge(
        progress.outcomes, now_s, failure_estimate.ramp_for(weights)
    )
    gate = _gate(wave, progress, judgement, left, now_s)
    quarter = batches.Quarter(conditions.spent, absence_s)
    choice = batches.choose(census, left, gate.width, quarter)
    deadline_s = progress.started_at_s + wave.deadline_s
    end_s = _estimated_end_s(census, left, choice, vm_time_s, now_s)
    rounds_left = (deadline_s - now_s) / vm_time_s
    if weights.roll_out > weights.moves:
        rounds_left = min(rounds_left, _even_rounds(census, left, choice))
    loans = batches.loans(census, left, choice, gate.width, rounds_left)
    gate = _blocked(gate, left, choice, loans)
    sees_end = gate.phase not in (Phase.BLOCKED, Phase.GIVEN_UP)
    return Batch(
        phase=gate.phase,
        reason=gate.reason,
        take=choice.take,
        blocked=choice.blocked,
        loans=loans,
        estimated_end_s=end_s if sees_end else None,
        meets_deadline=sees_end and end_s <= deadline_s,
        failure_share=judgement.share,
    )


def next_batches(
    waves: collections.abc.Sequence[tuple[configuration.Wave, Progress]],
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    now_s: float,
    weights: configuration.Weights,
    conditions: Conditions,
) -> list[Batch]:
    """Choose for several waves at once, the nearest deadline first.

    What one wave takes is out for those after it, so waves over the same
    pools share the budgets.

    :returns: a batch for each wave, in the order of ``waves``
    """
    pools = tuple(pools)
    current = {row.vm: row for row in rows}
    found = {}

    def deadline_s(index: int) -> float:
        wave, progress = waves[index]
        return progress.started_at_s + wave.deadline_s

    for index in sorted(range(len(waves)), key=deadline_s):
        wave, progress = waves[index]
        batch = next_batch(
            wave,
            progress,
            pools,
            current.values(),
            now_s,
            weights,
            conditions,
        )
        for vm in batch.take:
            current[vm] = msgspec.structs.replace(
                current[vm], state=fleet.VmState.RELEASING
            )
        found[index] = batch
    return [found[index] for index in range(len(waves))]


def _census(
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    now_s: float,
    absence_s: float,
    conditions: Conditions,
) -> reserve.Census:
    pools = tuple(pools)
    needed = {
        load.pool: budget.needed_up(pool, load, now_s, now_s + absence_s)
        for pool in pools
        if (load := conditions.loads.get(ids.PoolId(pool.name)))
    }
    return reserve.take_census(pools, rows, conditions.sites, needed)


def _gate(
    wave: configuration.Wave,
    progress: Progress,
    judgement: failure_estimate.Judgement,
    left: batches.Left,
    now_s: float,
) -> _Gate:
    """Say whether the wave may take VMs now, apart from budgets."""
    if not left.up and not left.out:
        return _Gate(Phase.DONE, 'All VMs are done.', 0)
    if progress.paused:
        return _Gate(Phase.PAUSED, 'An operator paused the wave.', 0)
    modes = failure_estimate.Mode
    share = f'{judgement.share:.0%} of VMs expected to fail'
    if judgement.mode is modes.GIVEN_UP:
        return _Gate(Phase.GIVEN_UP, f'{share}; all probes failed.', 0)
    if judgement.mode is modes.STOPPED:
        wait_s = judgement.probe_at_s - now_s
        reason = f'{share}; one VM is tried in {wait_s:.0f} s.'
        return _Gate(Phase.STOPPED, reason, 0)
    until_s = quiet_until_s(wave, now_s)
    if until_s is not None:
        reason = f'Quiet hours for another {until_s - now_s:.0f} s.'
        return _Gate(Phase.QUIET_HOURS, reason, 0)
    if judgement.mode is modes.PROBE_DUE:
        return _Gate(Phase.PROBING, f'{share}; one VM is tried.', 1)
    return _Gate(Phase.RUNNING, '', judgement.width)


def _blocked(
    gate: _Gate,
    left: batches.Left,
    choice: batches.Choice,
    loans: tuple[buffer.Loan, ...],
) -> _Gate:
    """Tell a wave that waits for a VM or a loan from one that is stuck."""
    if gate.width == 0 or choice.take or left.out or loans:
        return gate
    reasons = collections.Counter(item.reason.value for item in choice.blocked)
    text = ', '.join(
        f'{count} by {name}' for name, count in reasons.most_common()
    )
    return _Gate(Phase.BLOCKED, f'No VM can be taken: {text}.', gate.width)


def _even_rounds(
    census: reserve.Census, left: batches.Left, choice: batches.Choice
) -> float:
    """Say how many rounds are left if all of them are as wide as can be."""
    free = max(0, reserve.free(census))
    at_once = max(1, len(left.out) + choice.fitting + free)
    return (len(left.up) + len(left.out)) / at_once


def _estimated_end_s(
    census: reserve.Census,
    left: batches.Left,
    choice: batches.Choice,
    vm_time_s: float,
    now_s: float,
) -> float:
    """Say when the wave ends if it goes on as now."""
    rounds = max(
        (batches.rounds_of(census, left, name) for name in left.by_pool),
        default=0,
    )
    even = _even_rounds(census, left, choice)
    return now_s + vm_time_s * max(rounds, even)
