"""Access to the waves of a region: what they take, and how they stand."""

import collections.abc

import msgspec

from oleanderwood import availability
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import ownership
from oleanderwood import region_view
from oleanderwood import wave as waves
from oleanderwood import wave_run
from oleanderwood import wave_state

State = fleet.VmState
Cause = ownership.Cause

SLOW_S = 300.0
"""Operators are told of a VM that takes longer for one step."""

NOT_CONFIGURED = 'The configuration has no such wave any more.'


def active_states(
    states: wave_state.Waves,
) -> dict[ids.WaveId, wave_state.Wave]:
    """Give the waves that run or are paused, by run id."""
    return {
        wave_run.run_id(state): state
        for state in states.waves
        if state.state in wave_state.ACTIVE
    }


def plan(
    view: region_view.View,
    decision: region_view.Decision,
    blocked: collections.abc.Mapping[ids.VmId, str],
) -> None:
    configured = {wave.name: wave for wave in view.configuration.waves}
    kept = []
    for state in view.waves.waves:
        if state.state not in wave_state.ACTIVE:
            continue
        wave = configured.get(state.wave)
        if wave is None:
            _end(view, decision, state)
            continue
        run = _one_wave(view, decision, wave, state, blocked)
        if run is not None:
            kept.append(run)
    decision.runs = wave_run.Runs(view.region, tuple(kept))


def _end(
    view: region_view.View,
    decision: region_view.Decision,
    state: wave_state.Wave,
) -> None:
    """Stop a wave that the configuration no longer has."""
    after = msgspec.structs.replace(
        state,
        state=wave_state.State.STOPPED,
        changed_at_s=view.now_s,
        reason=NOT_CONFIGURED,
    )
    decision.waves = wave_state.put(decision.waves, after)


def _one_wave(
    view: region_view.View,
    decision: region_view.Decision,
    wave: configuration.Wave,
    state: wave_state.Wave,
    blocked: collections.abc.Mapping[ids.VmId, str],
) -> wave_run.Run | None:
    placed = region_view.stable_rows(view, decision)
    rows = tuple(row for _, row in placed.values())
    run = wave_run.find(view.runs, state)
    if run is None:
        run = wave_run.begin(wave, state, rows)
    run = wave_run.follow(run, state, rows)
    batch = waves.next_batch(
        wave,
        run.progress,
        region_view.pools_of(view).values(),
        rows,
        view.now_s,
        view.configuration.weights,
        waves.Conditions(
            region_view.sites(view), availability.spent(view.account)
        ),
    )
    decision.batches[run.run] = batch
    decision.loans += batch.loans
    if state.state is wave_state.State.RUNNING:
        for vm in batch.take:
            _take(view, decision, run.run, *placed[vm])
    reason = _reason(view, run, rows, batch, blocked)
    after = wave_run.report(run, batch, state, reason, view.now_s)
    if after is not state:
        decision.waves = wave_state.put(decision.waves, after)
    if after.state not in wave_state.ACTIVE:
        return None
    return run


def _reason(
    view: region_view.View,
    run: wave_run.Run,
    rows: collections.abc.Iterable[fleet.VmRow],
    batch: waves.Batch,
    blocked: collections.abc.Mapping[ids.VmId, str],
) -> str:
    """Say what holds the wave up: an entry first, then its own reasons."""
    stuck = []
    for row in rows:
        if row.wave != run.run or row.state is State.SERVING:
            continue
        if row.vm in blocked:
            stuck.append(f'{row.vm}: {blocked[row.vm]}')
        elif view.now_s - row.changed_at_s > SLOW_S:
            stuck.append(f'{row.vm} has been {row.state.value} for long')
    return '; '.join(stuck) or batch.reason


def _take(
    view: region_view.View,
    decision: region_view.Decision,
    run: ids.WaveId,
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
) -> None:
    """Take a VM for a wave; one that is changing anyway is left alone."""
    if row.state is not State.SERVING or row.vm in region_view.changed(
        decision
    ):
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
