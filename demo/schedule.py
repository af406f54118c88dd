"""Access to schedules of faults, drawn from a seed.

The same seed, length and size give the same schedule; what it meets in
the processes is up to them.
"""

import collections.abc
import dataclasses
import enum
import random

QUIET_START_S = 3.0
QUIET_END_SHARE = 0.25
LEAST_QUIET_END_S = 15.0
"""The end of a run stays free of faults, for recovery to be seen."""

MEAN_GAP_S = 2.5
LONGEST_PAUSE_S = 12.0
LONGEST_OUTAGE_S = 15.0


class Fault(enum.Enum):
    """What goes wrong."""

    ENTRY_KILLED = 'entry-killed'
    ENTRY_PAUSED = 'entry-paused'
    ENTRY_REPLACED = 'entry-replaced'
    ALL_ENTRIES_REPLACED = 'all-entries-replaced'
    CONTROLLER_KILLED = 'controller-killed'
    CONTROLLER_PAUSED = 'controller-paused'
    ADMIN_KILLED = 'admin-killed'
    STORE_DOWN = 'store-down'
    STORE_SLOW = 'store-slow'
    STORE_LOSES_ANSWERS = 'store-loses-answers'
    STORE_REFUSES = 'store-refuses'
    LIST_LAGS = 'list-lags'
    LIST_REPEATS = 'list-repeats'
    PLATFORM_DOWN = 'platform-down'
    PLATFORM_LOSES_ANSWERS = 'platform-loses-answers'
    CALLERS_CUT = 'callers-cut'
    UPSTREAMS_CUT = 'upstreams-cut'
    UPSTREAMS_REFUSE = 'upstreams-refuse'
    UPSTREAM_FAILS = 'upstream-fails'
    REBOOTS_FAIL = 'reboots-fail'
    CONFLICTING_APPLIES = 'conflicting-applies'


LONGEST_S = {
    Fault.ENTRY_KILLED: 5.0,
    Fault.ENTRY_PAUSED: LONGEST_PAUSE_S,
    Fault.ENTRY_REPLACED: 3.0,
    Fault.ALL_ENTRIES_REPLACED: 1.0,
    Fault.CONTROLLER_KILLED: 8.0,
    Fault.CONTROLLER_PAUSED: LONGEST_PAUSE_S,
    Fault.ADMIN_KILLED: 5.0,
    Fault.STORE_DOWN: LONGEST_OUTAGE_S,
    Fault.PLATFORM_DOWN: LONGEST_OUTAGE_S,
    Fault.LIST_REPEATS: LONGEST_OUTAGE_S,
}
"""Longest time of each fault; the others take up to ``DEFAULT_S``."""

DEFAULT_S = 8.0


@dataclasses.dataclass(frozen=True)
class Step:
    """One fault, from ``start_s`` to ``end_s`` after the run's start.

    :ivar target: number of the process or VM that it strikes
    :ivar strength: between 0 and 1, for faults that have a degree
    """

    start_s: float
    end_s: float
    fault: Fault
    target: int
    strength: float


def draw(
    seed: int,
    length_s: float,
    kinds: collections.abc.Sequence[Fault] = tuple(Fault),
) -> list[Step]:
    """Draw a schedule; faults overlap, and may strike twice."""
    rng = random.Random(seed)
    quiet_s = max(LEAST_QUIET_END_S, length_s * QUIET_END_SHARE)
    last_s = length_s - quiet_s
    steps = []
    start_s = QUIET_START_S
    while True:
        start_s += rng.expovariate(1 / MEAN_GAP_S)
        if start_s >= last_s:
            return steps
        fault = rng.choice(kinds)
        longest_s = LONGEST_S.get(fault, DEFAULT_S)
        end_s = min(last_s, start_s + rng.uniform(0.3, 1.0) * longest_s)
        steps.append(
            Step(start_s, end_s, fault, rng.randrange(1000), rng.random())
        )


def describe(step: Step) -> str:
    """Give one line for people."""
    return (
        f'{step.start_s:6.1f} to {step.end_s:6.1f} s  {step.fault.value:24}'
        f' target {step.target:3} strength {step.strength:.2f}'
    )
