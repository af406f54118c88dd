"""Decides when a leader should let another server lead. Pure.

The reason is load: one leader starts all tasks, and servers differ in size by
a factor of four. A small server, or one that is temporarily slowed down,
cannot handle a peak that others could.
"""

import dataclasses

STRONGER_FACTOR = 1.5
"""How many times larger another server must be to justify a handover, which
stops new starts for about 0.2 s."""

YOUNG_S = 1.0
"""Minimum duration of a term, in seconds; servers started together have
written their rows by then."""

LATE_S = 0.15
"""Mean lateness of the leader's timers, in seconds, from which it counts as
overloaded; a busy leader with spare capacity is late by 10 to 30 ms."""

LATE_WEIGHT = 0.1
"""Weight of one measurement in the moving mean; with one every 50 ms, the mean
covers about the last half second."""

OVERLOADED_S = 1.0
"""How long a leader must be overloaded before it yields, in seconds; a
takeover, which reads all jobs, takes less."""

EQUAL_FACTOR = 0.9
"""Minimum size, as a fraction of its own, of a server that an overloaded
leader yields to."""


@dataclasses.dataclass
class Pulse:
    """How late the leader's timers are.

    :ivar late_s: moving mean of the lateness, in seconds
    :ivar since_s: time since which the mean is too high; None if it is not
    """

    late_s: float = 0.0
    since_s: float | None = None


def measure(pulse: Pulse, late_s: float, now_s: float) -> None:
    """Add one timer's lateness to the mean."""
    pulse.late_s += LATE_WEIGHT * (max(0.0, late_s) - pulse.late_s)
    if pulse.late_s < LATE_S:
        pulse.since_s = None
    elif pulse.since_s is None:
        pulse.since_s = now_s


def reason(
    pulse: Pulse,
    own_cores: float,
    others_cores: list[float],
    led_s: float,
    now_s: float,
) -> str:
    """Return why the leader should yield; '' if it should go on.

    :param others_cores: sizes of the servers that could lead
    :param led_s: how long the term has lasted
    """
    if led_s < YOUNG_S or not others_cores:
        return ''
    largest = max(others_cores)
    if largest >= STRONGER_FACTOR * own_cores:
        return f'a server of {largest:.2f} cores is there'
    overloaded = (
        pulse.since_s is not None and now_s - pulse.since_s >= OVERLOADED_S
    )
    if overloaded and largest >= EQUAL_FACTOR * own_cores:
        return f'its timers are {pulse.late_s:.2f} s late'
    return ''
