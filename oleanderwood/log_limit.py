"""Bounds how many lines of one kind are logged per second."""

import dataclasses

WINDOW_S = 1.0
"""Time for which lines are counted."""


@dataclasses.dataclass
class LineLimit:
    """Lines of the current second.

    :ivar suppressed: lines that were not logged since the last one that was
    """

    since_s: float = -1e9
    line_count: int = 0
    suppressed: int = 0


def allows(limit: LineLimit, max_lines: int, now_s: float) -> bool:
    """Count a line; return whether it may be logged."""
    if now_s - limit.since_s >= WINDOW_S:
        limit.since_s = now_s
        limit.line_count = 0
    if limit.line_count >= max_lines:
        limit.suppressed += 1
        return False
    limit.line_count += 1
    return True


def take_suppressed(limit: LineLimit) -> int:
    """Return and clear how many lines were not logged."""
    suppressed, limit.suppressed = limit.suppressed, 0
    return suppressed
