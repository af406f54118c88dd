"""Saved work: what a run saves, and how it goes on from it."""

import zlib

INTERVAL_S = 0.5
"""Work after which a new value is saved."""

RESTORE_S = 0.25
"""Time that going on from a saved value takes."""


def unit(task: str, spec: dict) -> str:
    """Give whose work a value holds: the task's, or its gang's."""
    return task.rpartition('.')[0] if spec.get('gang') else task


def value(task: str, spec: dict, worked_s: float) -> str:
    """Give the value that holds some work."""
    worked_ms = int(worked_s * 1000)
    return f'{worked_ms:08x}{_mark(task, spec):08x}'


def worked_s(task: str, spec: dict, checkpoint: str) -> float:
    """Give the work that a value holds; none if it is another task's."""
    if not checkpoint or int(checkpoint[8:], 16) != _mark(task, spec):
        return 0.0
    return int(checkpoint[:8], 16) / 1000


def _mark(task: str, spec: dict) -> int:
    return zlib.crc32(unit(task, spec).encode())
