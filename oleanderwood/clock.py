"""Clocks: a monotonic one that includes suspended time, and the wall clock."""

import time


def now_s() -> float:
    """Return the seconds of a clock that never jumps and never pauses.

    It times leases, which must have expired when a suspended machine resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return milliseconds since 1970.

    Only schedules use this clock, since it may jump.
    """
    return time.time() * 1000
