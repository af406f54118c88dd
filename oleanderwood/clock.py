"""The process's steady clock, which counts the time it is suspended."""

import time


def now_s() -> float:
    """Give seconds of a clock that never jumps and never pauses.

    Leases are timed by it: a suspended machine must find them ended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Give milliseconds since 1970; only schedules use them, as they jump."""
    return time.time() * 1000
