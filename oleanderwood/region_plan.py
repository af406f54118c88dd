"""Access to the next changes of a region's rows, from all that is known.

Pure. One row changes at most once in one go; what only the rules of
:mod:`oleanderwood.ownership` allow is planned.
"""

import collections
import collections.abc

from oleanderwood import buffer
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import ownership
from oleanderwood import region_view
from oleanderwood import region_waves
from oleanderwood import wave_run

State = fleet.VmState
Cause = ownership.Cause


def decide(
    view: region_view.View,
    blocked: collections.abc.Mapping[ids.VmId, str],
    new_id: collections.abc.Callable[[], str],
) -> region_view.Decision:
    """Plan the next changes.

    :param blocked: who blocks the release of a VM, for operators
    :param new_id: gives a new unique text at each call
    """
    decision = region_view.Decision([], view.runs, view.waves)
    listed = inventory.changes(
        view.shards,
        view.sighting,
        view.released,
        view.unknown,
        view.now_s,
    )
    decision.changes += listed
    decision.changes += _steps(view, region_view.changed(decision), new_id)
    _within_budget(view, decision)
    if view.settled:
        region_waves.plan(view, decision, blocked)
        _moves(view, decision)
    _check(view, decision)
    return decision


def _steps(
    view: region_view.View,
    changed: set[ids.VmId],
    new_id: collections.abc.Callable[[], str],
) -> collections.abc.Iterator[ownership.Change]:
    states = region_waves.active_states(view.waves)
    actions = {wave.name: wave.action for wave in view.configuration.waves}
    for data_centre, row in ownership.rows_of(view.shards):
        seen = view.evidence.get(row.vm)
        if seen is None or row.vm in changed:
            continue
        plan = wave_run.plan(row, states, actions)
        one = lifecycle.step(data_centre, row, seen, plan, view.now_s, new_id)
        if one is not None:
            yield one


def _within_budget(
    view: region_view.View, decision: region_view.Decision
) -> None:
    """Leave VMs in service that are up but unfit, if a pool needs them."""
    pools = region_view.pools_of(view)
    left = ownership.serving(view.shards)
    unfit = []
    for one in decision.changes:
        if one.cause is Cause.UNFIT:
            unfit.append(one)
        elif ownership.leaves_service(one):
            left[one.before.pool] -= 1
    for one in unfit:
        pool = pools.get(one.before.pool)
        if pool is not None and left[one.before.pool] <= pool.min_up:
            decision.changes.remove(one)
        else:
            left[one.before.pool] -= 1


def _moves(view: region_view.View, decision: region_view.Decision) -> None:
    placed = region_view.stable_rows(view, decision)
    for one in decision.changes:
        if one.after is not None and one.before is not None:
            placed[one.after.vm] = (one.data_centre, one.after)
    rows = [row for _, row in placed.values()]
    moves = buffer.assign(
        region_view.pools_of(view).values(),
        rows,
        region_view.sites(view),
        view.configuration.weights,
        view.now_s,
        decision.loans,
        _pending(rows),
    )
    changed = region_view.changed(decision)
    for move in moves:
        if move.from_pool == buffer.NO_POOL or move.vm in changed:
            continue
        data_centre, row = placed[move.vm]
        one = _move(data_centre, row, move, view.now_s)
        if one is not None:
            decision.changes.append(one)
            changed.add(move.vm)


def _pending(
    rows: collections.abc.Iterable[fleet.VmRow],
) -> tuple[buffer.Move, ...]:
    return tuple(
        buffer.Move(
            row.vm,
            row.pool,
            row.target,
            buffer.MoveReason.RETURN,
        )
        for row in rows
        if row.state is State.RELEASING and row.target
    )


def _move(
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
    move: buffer.Move,
    now_s: float,
) -> ownership.Change | None:
    """A spare VM joins at once; any other is released first."""
    if row.state is not State.SERVING:
        return None
    if ownership.is_spare(row.pool):
        return ownership.change(
            data_centre, row, Cause.MOVE, now_s, pool=move.to_pool
        )
    return ownership.change(
        data_centre,
        row,
        Cause.MOVE,
        now_s,
        state=State.RELEASING,
        wave=ids.WaveId(''),
        target=move.to_pool,
    )


def _check(view: region_view.View, decision: region_view.Decision) -> None:
    """Hold the plan against the rules; what breaks them is left out."""
    found = _breaches(view, decision.changes)
    if not found:
        return
    decision.breaches = found
    forced = [
        one for one in decision.changes if one.cause not in ownership.PLANNED
    ]
    decision.changes = [] if _breaches(view, forced) else forced


def _breaches(
    view: region_view.View, changes: list[ownership.Change]
) -> list[ownership.Breach]:
    return ownership.breaches_of_changes(
        view.shards, changes, region_view.pools_of(view), view.released
    )
