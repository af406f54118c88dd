"""Decides when a leader should let another server lead. Pure.

The reason is load: one leader starts all tasks, and servers differ in size by
a factor of four. A small server, or one that is temporarily slowed down,
cannot handle a peak that others could.
"""

import dataclasses

LARGER_FACTOR = 1.5
"""How many times larger another server must be to justify a handover, which
stops new starts for about 0.2 s."""

MIN_TERM_S = 1.0
"""Minimum duration of a term, in seconds; servers started together have
written their rows by then."""

OVERLOAD_LATENESS_S = 0.15
"""Mean lateness of the leader's timers, in seconds, from which it counts as
overloaded; a busy leader with spare capacity is late by 10 to 30 ms."""

LATENESS_WEIGHT = 0.1
"""Weight of one measurement in the moving mean; with one every 50 ms, the mean
covers about the last half second."""

OVERLOAD_DURATION_S = 1.0
"""How long a leader must be overloaded before it yields, in seconds; a
takeover, which reads all jobs, takes less."""

MIN_SIZE_FACTOR = 0.9
"""Minimum size, as a fraction of its own, of a server that an overloaded
leader yields to."""


@dataclasses.dataclass
class TimerLateness:
    """How late the leader's timers are.

    :ivar late_s: moving mean of the lateness, in seconds
    :ivar overloaded_since_s: time since which the mean is too high; None if it
        is not
    """

    late_s: float = 0.0
    overloaded_since_s: float | None = None


def measure(lateness: TimerLateness, late_s: float, now_s: float) -> None:
    """Add one timer's lateness to the mean."""
    lateness.late_s += LATENESS_WEIGHT * (max(0.0, late_s) - lateness.late_s)
    if lateness.late_s < OVERLOAD_LATENESS_S:
        lateness.overloaded_since_s = None
    elif lateness.overloaded_since_s is None:
        lateness.overloaded_since_s = now_s


def reason(
    lateness: TimerLateness,
    own_cores: float,
    others_cores: list[float],
    led_s: float,
    now_s: float,
) -> str:
    """Return why the leader should yield; '' if it should go on.

    :param others_cores: sizes of the servers that could lead
    :param led_s: how long the term has lasted
    """
    if led_s < MIN_TERM_S or not others_cores:
        return ''
    largest = max(others_cores)
    if largest >= LARGER_FACTOR * own_cores:
        return f'another server has {largest:.2f} cores'
    overloaded = (
        lateness.overloaded_since_s is not None
        and now_s - lateness.overloaded_since_s >= OVERLOAD_DURATION_S
    )
    if overloaded and largest >= MIN_SIZE_FACTOR * own_cores:
        return f'its timers are {lateness.late_s:.2f} s late on average'
    return ''
