"""Clocks: a monotonic one that includes suspended time, and the wall clock."""

import time


def now_s() -> float:
    """Return seconds of a clock that never jumps and counts suspended time.

    Leases use it, so that a lease that ends while the machine is suspended has
    expired when the machine resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return milliseconds since 1970.

    This clock may jump; use it for schedules, not for leases.
    """
    return time.time() * 1000
