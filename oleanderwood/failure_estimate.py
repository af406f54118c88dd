"""Access to the estimate of how likely the next VM of a wave fails.

Failures within a wave are correlated: they share an image, a rack or a
power feed. So recent outcomes count more than old ones, and a wave starts
with one VM and widens with each success.
"""

import collections.abc
import enum

import msgspec

from oleanderwood import configuration
from oleanderwood import ids

PRIOR_FAILURES = 0.5
PRIOR_SUCCESSES = 24.5
"""Before any outcome: one VM in 50 fails."""

HALF_LIFE = 8.0
"""Outcomes after which an earlier one counts half."""

STOP_SHARE = 0.08
"""A wave stops itself once its estimate is above this."""

PROBE_AFTER_S = 600.0
"""Pause of a wave that has stopped itself, before its first probe."""

MAX_PROBES = 4
"""Failed probes in a row after which only an operator resumes the wave."""


class Outcome(msgspec.Struct, frozen=True):
    """How the maintenance of one VM ended."""

    vm: ids.VmId
    taken_at_s: float
    ended_at_s: float
    failed: bool = False


class Ramp(msgspec.Struct, frozen=True):
    """How a wave widens: VMs out at the start, and more per success."""

    start: int
    growth: int


CAUTIOUS = Ramp(start=1, growth=1)
SWIFT = Ramp(start=2, growth=2)


class Mode(enum.Enum):
    """How a wave may go on, from its outcomes alone."""

    RUNNING = 'running'
    STOPPED = 'stopped'
    PROBE_DUE = 'probe-due'
    GIVEN_UP = 'given-up'


class Judgement(msgspec.Struct, frozen=True):
    """What the outcomes so far allow.

    ``width`` bounds the wave's VMs that are out at once. ``probe_at_s`` is
    when a stopped wave takes its next single VM.
    """

    mode: Mode
    share: float
    width: int
    probe_at_s: float = 0.0


def estimate(
    outcomes: collections.abc.Iterable[Outcome], half_life: float = HALF_LIFE
) -> float:
    """Say how likely the next VM fails, from 0 to 1."""
    keep = 0.5 ** (1.0 / half_life)
    failures = 0.0
    successes = 0.0
    for outcome in outcomes:
        failures *= keep
        successes *= keep
        if outcome.failed:
            failures += 1.0
        else:
            successes += 1.0
    total = PRIOR_FAILURES + PRIOR_SUCCESSES + failures + successes
    return (PRIOR_FAILURES + failures) / total


def ramp_for(weights: configuration.Weights) -> Ramp:
    """Choose the ramp: swift where roll-out weighs as much as buffer."""
    return SWIFT if weights.roll_out >= weights.buffer else CAUTIOUS


def judge(
    outcomes: collections.abc.Sequence[Outcome],
    now_s: float,
    ramp: Ramp = CAUTIOUS,
    stop_share: float = STOP_SHARE,
) -> Judgement:
    """Replay the outcomes, oldest first, and say how the wave may go on.

    Above ``stop_share`` the wave stops and waits; then it takes one VM.
    When that succeeds the wave starts over with a narrow width; when it
    fails, the next pause is twice as long.
    """
    since = 0
    failed_probes = 0
    stopped_at_s = None
    for index, outcome in enumerate(outcomes):
        if stopped_at_s is None:
            recent = outcomes[since : index + 1]
            if outcome.failed and estimate(recent) > stop_share:
                stopped_at_s = outcome.ended_at_s
        elif outcome.taken_at_s <= stopped_at_s:
            continue  # It was out already when the wave stopped.
        elif outcome.failed:
            failed_probes += 1
            stopped_at_s = outcome.ended_at_s
        else:
            since = index
            failed_probes = 0
            stopped_at_s = None
    share = estimate(outcomes[since:])
    if stopped_at_s is None:
        return Judgement(Mode.RUNNING, share, _width(outcomes[since:], ramp))
    if failed_probes >= MAX_PROBES:
        return Judgement(Mode.GIVEN_UP, share, 0)
    probe_at_s = stopped_at_s + PROBE_AFTER_S * 2**failed_probes
    if now_s < probe_at_s:
        return Judgement(Mode.STOPPED, share, 0, probe_at_s)
    return Judgement(Mode.PROBE_DUE, share, 1, probe_at_s)


def _width(outcomes: collections.abc.Sequence[Outcome], ramp: Ramp) -> int:
    """Widen with each success, halve with each failure."""
    width = ramp.start
    for outcome in outcomes:
        if outcome.failed:
            width = max(ramp.start, width // 2)
        else:
            width += ramp.growth
    return width
