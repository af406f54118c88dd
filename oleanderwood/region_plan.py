"""Access to the next changes of a region's rows, from all that is known.

Pure. One row changes at most once in one go; what only the rules of
:mod:`oleanderwood.ownership` allow is planned.
"""

import collections
import collections.abc
import dataclasses

from oleanderwood import availability
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import ownership
from oleanderwood import reserve
from oleanderwood import wave as waves
from oleanderwood import wave_run
from oleanderwood import wave_state

State = fleet.VmState
Cause = ownership.Cause


@dataclasses.dataclass(frozen=True)
class View:
    """What the leader knows when it decides.

    :ivar evidence: of VMs that were looked at; the others are as they were
    :ivar settled: VMs may be taken and moved: the roster has answered
        whole since the leader gained its footing
    :ivar runs: what is known of the runs of waves
    :ivar loans: what the waves asked for last
    """

    region: ids.Region
    configuration: configuration.Configuration
    shards: ownership.Shards
    sighting: inventory.Sighting
    evidence: collections.abc.Mapping[ids.VmId, lifecycle.Evidence]
    released: ownership.Released
    settled: bool
    waves: wave_state.Waves
    runs: wave_run.Runs
    account: availability.Account
    loans: tuple[buffer.Loan, ...]
    now_s: float


@dataclasses.dataclass
class Decision:
    """What is to be written.

    :ivar changes: of rows, for any shard
    :ivar breaches: rules that planned changes would have broken; those
        changes were left out
    :ivar batches: what each active wave does now, by run
    """

    changes: list[ownership.Change]
    runs: wave_run.Runs
    waves: wave_state.Waves
    loans: tuple[buffer.Loan, ...] = ()
    breaches: list[ownership.Breach] = dataclasses.field(default_factory=list)
    batches: dict[ids.WaveId, waves.Batch] = dataclasses.field(
        default_factory=dict
    )


def decide(
    view: View,
    blocked: collections.abc.Mapping[ids.VmId, str],
    new_id: collections.abc.Callable[[], str],
) -> Decision:
    """Plan the next changes.

    :param blocked: who blocks the release of a VM, for operators
    :param new_id: gives a new unique text at each call
    """
    decision = Decision([], view.runs, view.waves)
    listed = inventory.changes(
        view.shards, view.sighting, view.released, view.now_s
    )
    decision.changes += listed
    decision.changes += _steps(view, _changed(decision), new_id)
    _within_budget(view, decision)
    if view.settled:
        _waves(view, decision, blocked)
        _moves(view, decision)
    _check(view, decision)
    return decision


def pools_of(view: View) -> dict[ids.PoolId, configuration.Pool]:
    """Give the region's pools by id."""
    return {
        ids.PoolId(pool.name): pool
        for pool in view.configuration.pools
        if pool.region == view.region
    }


def active_states(
    states: wave_state.Waves,
) -> dict[ids.WaveId, wave_state.Wave]:
    """Give the waves that run or are paused, by run id."""
    return {
        wave_run.run_id(state): state
        for state in states.waves
        if state.state in wave_state.ACTIVE
    }


def _changed(decision: Decision) -> set[ids.VmId]:
    return {(one.before or one.after).vm for one in decision.changes}


def _steps(
    view: View,
    changed: set[ids.VmId],
    new_id: collections.abc.Callable[[], str],
) -> collections.abc.Iterator[ownership.Change]:
    states = active_states(view.waves)
    actions = {wave.name: wave.action for wave in view.configuration.waves}
    for data_centre, row in ownership.rows_of(view.shards):
        seen = view.evidence.get(row.vm)
        if seen is None or row.vm in changed:
            continue
        plan = wave_run.plan(row, states, actions)
        one = lifecycle.step(data_centre, row, seen, plan, view.now_s, new_id)
        if one is not None:
            yield one


def _within_budget(view: View, decision: Decision) -> None:
    """Leave VMs in service that are up but unfit, if a pool needs them."""
    pools = pools_of(view)
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


def _stable_rows(
    view: View, decision: Decision
) -> dict[ids.VmId, tuple[ids.DataCentre, fleet.VmRow]]:
    """Give the rows as they may be counted on after the changes so far.

    Losses of this go are seen; gains aren't, since they aren't written yet.
    """
    rows = {
        row.vm: (data_centre, row)
        for data_centre, row in ownership.rows_of(view.shards)
    }
    for one in decision.changes:
        if one.after is None:
            rows.pop(one.before.vm)
        elif one.before is not None and ownership.leaves_service(one):
            rows[one.after.vm] = (one.data_centre, one.after)
    return rows


def _sites(view: View) -> dict[ids.VmId, reserve.Site]:
    return {
        vm: reserve.Site(listed.data_centre, listed.rack)
        for vm, listed in view.sighting.listed.items()
        if not inventory.is_leaving(view.sighting, vm)
    }


def _waves(
    view: View,
    decision: Decision,
    blocked: collections.abc.Mapping[ids.VmId, str],
) -> None:
    configured = {wave.name: wave for wave in view.configuration.waves}
    kept = []
    for state in view.waves.waves:
        if state.state not in wave_state.ACTIVE:
            continue
        wave = configured.get(state.wave)
        if wave is None:
            continue
        run = _one_wave(view, decision, wave, state, blocked)
        if run is not None:
            kept.append(run)
    decision.runs = wave_run.Runs(view.region, tuple(kept))


def _one_wave(
    view: View,
    decision: Decision,
    wave: configuration.Wave,
    state: wave_state.Wave,
    blocked: collections.abc.Mapping[ids.VmId, str],
) -> wave_run.Run | None:
    placed = _stable_rows(view, decision)
    rows = tuple(row for _, row in placed.values())
    run = wave_run.find(view.runs, state)
    if run is None:
        run = wave_run.begin(wave, state, rows)
    run = wave_run.follow(run, state, rows)
    batch = waves.next_batch(
        wave,
        run.progress,
        pools_of(view).values(),
        rows,
        view.now_s,
        view.configuration.weights,
        waves.Conditions(_sites(view), availability.spent(view.account)),
    )
    decision.batches[run.run] = batch
    decision.loans += batch.loans
    if state.state is wave_state.State.RUNNING:
        for vm in batch.take:
            _take(view, decision, run.run, *placed[vm])
    reason = _reason(run, rows, batch, blocked)
    after = wave_run.report(run, batch, state, reason, view.now_s)
    if after is not state:
        decision.waves = wave_state.put(decision.waves, after)
    if after.state not in wave_state.ACTIVE:
        return None
    return run


def _reason(
    run: wave_run.Run,
    rows: collections.abc.Iterable[fleet.VmRow],
    batch: waves.Batch,
    blocked: collections.abc.Mapping[ids.VmId, str],
) -> str:
    """Say what holds the wave up: an entry first, then its own reasons."""
    stuck = [
        f'{row.vm}: {blocked[row.vm]}'
        for row in rows
        if row.wave == run.run and row.vm in blocked
    ]
    return '; '.join(stuck) or batch.reason


def _take(
    view: View,
    decision: Decision,
    run: ids.WaveId,
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
) -> None:
    """Take a VM for a wave; one that is changing anyway is left alone."""
    if row.state is not State.SERVING or row.vm in _changed(decision):
        return
    decision.changes.append(
        ownership.change(
            data_centre,
            row,
            Cause.WAVE,
            view.now_s,
            state=State.RELEASING,
            wave=run,
        )
    )


def _moves(view: View, decision: Decision) -> None:
    placed = _stable_rows(view, decision)
    for one in decision.changes:
        if one.after is not None and one.before is not None:
            placed[one.after.vm] = (one.data_centre, one.after)
    rows = [row for _, row in placed.values()]
    moves = buffer.assign(
        pools_of(view).values(),
        rows,
        _sites(view),
        view.configuration.weights,
        view.now_s,
        decision.loans,
        _pending(rows),
    )
    changed = _changed(decision)
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


def _check(view: View, decision: Decision) -> None:
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
    view: View, changes: list[ownership.Change]
) -> list[ownership.Breach]:
    return ownership.breaches_of_changes(
        view.shards, changes, pools_of(view), view.released
    )
