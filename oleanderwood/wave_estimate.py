"""Access to the planned end of a wave, before it starts."""

import collections.abc
import heapq

import msgspec

from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import wave as waves

MAX_STEPS = 20_000


class Estimate(msgspec.Struct, frozen=True):
    """How a wave would go if nothing fails.

    ``end_s`` is None for a wave that would be stuck; ``reason`` says why.
    """

    end_s: float | None
    meets_deadline: bool
    moves: int
    reason: str = ''


class _Run(msgspec.Struct):
    """A wave in time; ``out`` is a heap of (end, VM, start)."""

    rows: dict[ids.VmId, fleet.VmRow]
    progress: waves.Progress
    now_s: float
    out: list[tuple[float, ids.VmId, float]] = []
    moves: int = 0


def estimate(
    wave: configuration.Wave,
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    now_s: float,
    weights: configuration.Weights,
    conditions: waves.Conditions,
    vm_time_s: float = waves.DEFAULT_VM_TIME_S,
) -> Estimate:
    """Play a wave through with the decisions that would drive it.

    Takes seconds of processor time for hundreds of VMs: a daemon calls it
    when a wave is planned, not at each step.

    :param vm_time_s: drain and reboot of one VM, assumed the same for all
    """
    pools = tuple(pools)
    rows = tuple(rows)
    run = _Run(
        {row.vm: row for row in rows},
        waves.begin(wave, rows, now_s),
        now_s,
    )
    deadline_s = now_s + wave.deadline_s
    for _ in range(MAX_STEPS):
        batch = waves.next_batch(
            wave,
            run.progress,
            pools,
            run.rows.values(),
            run.now_s,
            weights,
            conditions,
        )
        if batch.phase is waves.Phase.DONE:
            meets = run.now_s <= deadline_s
            return Estimate(run.now_s, meets, run.moves, batch.reason)
        if not _step(run, batch, pools, weights, conditions, vm_time_s):
            until_s = waves.quiet_until_s(wave, run.now_s)
            if until_s is None:
                return Estimate(None, False, run.moves, batch.reason)
            run.now_s = until_s
    return Estimate(None, False, run.moves, 'The wave takes too many steps.')


def _step(
    run: _Run,
    batch: waves.Batch,
    pools: tuple[configuration.Pool, ...],
    weights: configuration.Weights,
    conditions: waves.Conditions,
    vm_time_s: float,
) -> bool:
    """Take, move or wait; say whether anything happened."""
    for vm in batch.take:
        _set(run, vm, state=fleet.VmState.DRAINING)
        heapq.heappush(run.out, (run.now_s + vm_time_s, vm, run.now_s))
    if batch.take:
        return True
    moves = buffer.assign(
        pools,
        run.rows.values(),
        conditions.sites,
        weights,
        run.now_s,
        batch.loans,
    )
    for move in moves:
        if move.from_pool != buffer.NO_POOL:
            _set(run, move.vm, pool=move.to_pool)
            run.moves += 1
    if any(move.from_pool != buffer.NO_POOL for move in moves):
        return True
    return _wait(run)


def _wait(run: _Run) -> bool:
    """Let the next VMs come back."""
    if not run.out:
        return False
    run.now_s = run.out[0][0]
    outcomes = list(run.progress.outcomes)
    while run.out and run.out[0][0] <= run.now_s:
        end_s, vm, start_s = heapq.heappop(run.out)
        _set(run, vm, state=fleet.VmState.SERVING)
        outcomes.append(failure_estimate.Outcome(vm, start_s, end_s))
    run.progress = msgspec.structs.replace(
        run.progress, outcomes=tuple(outcomes)
    )
    return True


def _set(run: _Run, vm: ids.VmId, **changes) -> None:
    run.rows[vm] = msgspec.structs.replace(run.rows[vm], **changes)
