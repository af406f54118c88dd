"""When a leader should let another server lead. Pure.

Load it answers: one leader starts all tasks, and servers differ in size by
four times; a small one, or one that is slowed down for a while, can't keep
up with a peak that others could.
"""

import dataclasses

STRONGER_FACTOR = 1.5
"""How much larger another server must be to be worth a hand-over, which
costs about 0.2 s without new starts."""

YOUNG_S = 1.0
"""Time that a term lasts at least: servers that start together have entered
themselves by then."""

LATE_S = 0.15
"""Mean lateness of the leader's own timers from which on it is overloaded;
a busy leader with room to spare is late by 10 to 30 ms."""

LATE_WEIGHT = 0.1
"""Weight of one measurement in the mean; they come each 50 ms, so the mean
covers the last half second or so."""

OVERLOADED_S = 1.0
"""Time for which a leader must be overloaded before it yields; a takeover
itself, which reads all jobs, takes less."""

EQUAL_FACTOR = 0.9
"""An overloaded leader yields to servers down to this part of its size."""


@dataclasses.dataclass
class Pulse:
    """How late the leader's timers are.

    :ivar late_s: mean of the last measurements
    :ivar since_s: since when the mean is too high; None if it isn't
    """

    late_s: float = 0.0
    since_s: float | None = None


def measure(pulse: Pulse, late_s: float, now_s: float) -> None:
    """Note how late one timer was."""
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
    """Say why the leader should yield; '' if it should go on.

    :param others_cores: sizes of the servers that could lead
    :param led_s: how long the term lasts by now
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
