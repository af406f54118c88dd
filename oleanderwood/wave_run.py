"""Access to the runs of waves: which VMs are done, and what comes next.

Pure. A VM's row names the run that took it last (``VmRow.wave``), in the
same write that takes it; what is kept beside the rows can be lost and made
again from them.
"""

import collections.abc
import re

import msgspec

from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import lifecycle
from oleanderwood import wave as waves
from oleanderwood import wave_state

State = fleet.VmState
KEY_PREFIX = 'wave-runs/'
FIGURES_EVERY_S = 60.0
"""How often a reason is written whose figures alone have changed."""

_FIGURES = re.compile(r'[0-9.]+')

_OUT = frozenset(
    (State.RELEASING, State.DRAINING, State.REBOOTING, State.RETURNING)
)


class Run(msgspec.Struct, frozen=True):
    """One run of a wave; ``taken`` says when each VM was taken.

    ``blocked`` names, for operators, what keeps VMs from going on.
    """

    run: ids.WaveId
    progress: waves.Progress
    taken: dict[ids.VmId, float] = {}


class Runs(msgspec.Struct, frozen=True):
    """The runs of a region that aren't over."""

    region: ids.Region
    runs: tuple[Run, ...] = ()


def key(region: ids.Region) -> str:
    """Name the store's key of a region's runs."""
    return f'{KEY_PREFIX}{region}'


def run_id(state: wave_state.Wave) -> ids.WaveId:
    """Name one run of a wave, as rows have it."""
    return ids.WaveId(f'{state.wave}/{state.run}')


def find(runs: Runs, state: wave_state.Wave) -> Run | None:
    """Give the run that a wave's state speaks of."""
    wanted = run_id(state)
    for run in runs.runs:
        if run.run == wanted:
            return run
    return None


def begin(
    wave: configuration.Wave,
    state: wave_state.Wave,
    rows: collections.abc.Iterable[fleet.VmRow],
) -> Run:
    """Name the VMs that a run has to maintain.

    VMs that the run took before (by an earlier leader, whose notes were
    lost) stay its targets wherever they are.
    """
    run = run_id(state)
    rows = tuple(rows)
    progress = waves.begin(wave, rows, state.started_at_s)
    earlier = {row.vm for row in rows if row.wave == run}
    targets = tuple(sorted(earlier.union(progress.targets)))
    return Run(run, msgspec.structs.replace(progress, targets=targets))


def follow(
    run: Run,
    state: wave_state.Wave,
    rows: collections.abc.Iterable[fleet.VmRow],
) -> Run:
    """Take in what became of the run's VMs; the same run if nothing did."""
    known = {outcome.vm for outcome in run.progress.outcomes}
    taken = dict(run.taken)
    ended = []
    for row in rows:
        if row.wave != run.run:
            continue
        if row.state in _OUT:
            taken.setdefault(row.vm, row.changed_at_s)
        elif row.vm not in known:
            ended.append(_outcome(row, taken))
    paused = state.state is not wave_state.State.RUNNING
    ended.sort(key=lambda outcome: outcome.ended_at_s)
    progress = msgspec.structs.replace(
        run.progress,
        outcomes=run.progress.outcomes + tuple(ended),
        paused=paused,
    )
    after = Run(run.run, progress, taken)
    return run if after == run else after


def _outcome(
    row: fleet.VmRow, taken: dict[ids.VmId, float]
) -> failure_estimate.Outcome:
    return failure_estimate.Outcome(
        vm=row.vm,
        taken_at_s=taken.get(row.vm, row.changed_at_s),
        ended_at_s=row.changed_at_s,
        failed=row.state is State.BROKEN,
    )


def plan(
    row: fleet.VmRow,
    states: collections.abc.Mapping[ids.WaveId, wave_state.Wave],
    actions: collections.abc.Mapping[str, configuration.Action],
) -> lifecycle.Plan:
    """Say what is to become of a VM that a run took.

    A pause gives VMs back that no one has drained yet; a stop undoes drains
    as well, and only a reboot is finished in any case.

    :param states: the waves that run or are paused, by run id
    :param actions: of the configured waves, by name
    """
    if not row.wave:
        return lifecycle.Plan()
    state = states.get(row.wave)
    if state is None or state.wave not in actions:
        return lifecycle.Plan(undo=True)
    paused = state.state is wave_state.State.PAUSED
    return lifecycle.Plan(
        undo=paused and row.state is State.RELEASING,
        action=actions[state.wave],
    )


def report(
    run: Run,
    batch: waves.Batch,
    state: wave_state.Wave,
    reason: str,
    now_s: float,
) -> wave_state.Wave:
    """Say how a run stands, for operators."""
    total = len(run.progress.targets)
    done = sum(not one.failed for one in run.progress.outcomes)
    now = state.state
    if batch.phase is waves.Phase.DONE:
        now = wave_state.State.DONE
        done, reason = total, ''
    elif batch.phase is waves.Phase.GIVEN_UP:
        now = wave_state.State.STOPPED
    if _says_the_same(state, reason, now_s):
        reason = state.reason
    after = msgspec.structs.replace(
        state, state=now, done=done, total=total, reason=reason
    )
    if after == state:
        return state
    return msgspec.structs.replace(after, changed_at_s=now_s)


def _says_the_same(state: wave_state.Wave, reason: str, now_s: float) -> bool:
    """Say whether a reason differs by its figures alone, and not for long."""
    if now_s - state.changed_at_s > FIGURES_EVERY_S:
        return False
    return _FIGURES.sub('', reason) == _FIGURES.sub('', state.reason)
