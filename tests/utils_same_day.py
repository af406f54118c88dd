"""Plays days and prints a digest of each one's log; run as a program.

python -m tests.utils_same_day 15 2 10
"""

import hashlib
import sys

from emulator import day
from emulator import features
from emulator import troubles
from oleanderwood import clock
from oleanderwood import event_log


def plan(seed: int) -> day.Plan:
    """Give a day with four troubles, a cut and three features."""
    kinds = troubles.LAB_KINDS
    drawn = troubles.draw(seed, 12.0, 4, kinds)
    drawn += troubles.draw(seed, 12.0, 1, troubles.CUT_KINDS)
    wanted = features.draw(seed, 3)
    return day.Plan(
        seed,
        troubles=tuple(drawn),
        features=wanted,
        finish_s=features.finish_s(wanted, day.FINISH_S),
    )


def log(seed: int) -> str:
    """Play a day; gives its log."""
    lines: list[str] = []

    def emit(part: str, event: str, **fields) -> None:
        told = ' '.join(f'{key}={value}' for key, value in fields.items())
        lines.append(f'{clock.now_s():.6f} {part} {event} {told}')

    event_log.emit = emit
    day.play(plan(seed))
    return '\n'.join(lines)


def main() -> None:
    """Print a line a seed."""
    for seed in map(int, sys.argv[1:]):
        digest = hashlib.sha256(log(seed).encode()).hexdigest()
        print(seed, digest)


if __name__ == '__main__':
    main()
