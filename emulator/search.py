"""Faults at every call of a small day: ``python -m emulator.search``.

The day repeats to the letter, so a call keeps its number until the first
fault. Each call that a server makes is spoiled in each way in turn, and with
``--pairs`` each two of them.
"""

import collections.abc
import dataclasses
import itertools
import sys

import cyclopts

from emulator import day
from emulator import network as networks
from oleanderwood import event_log

APP = cyclopts.App(name='search', help='Faults at every call of a day.')

PLAN = day.Plan(
    seed=4,
    length_s=1.2,
    server_count=2,
    machines_a_pool=2,
    machines_on_standby=1,
    jobs_per_s=2.5,
    lead_s=2.0,
    finish_s=22.0,
)
"""A day of two servers and five machines with three small jobs; the finish
is longer than a late order, a lease and a takeover together."""

BUSY_S = 4.0
"""Time after the last job in which all have ended on a calm day."""

Faults = dict[int, networks.Fate]


def calls(plan: day.Plan) -> list[int]:
    """Give the numbers of the calls that are spoiled.

    Those of the last seconds, in which nothing happens any more, are left
    out.
    """
    times_s: dict[int, float] = {}
    day.play(dataclasses.replace(plan, finish_s=BUSY_S), {}, times_s)
    return list(times_s)


def single(numbers: list[int]) -> collections.abc.Iterator[Faults]:
    """Give each fault at each call."""
    for number, fate in itertools.product(numbers, networks.Fate):
        yield {number: fate}


def pairs(numbers: list[int]) -> collections.abc.Iterator[Faults]:
    """Give each two faults at two calls."""
    for first, second in itertools.combinations(numbers, 2):
        for fates in itertools.product(networks.Fate, repeat=2):
            yield dict(zip((first, second), fates, strict=True))


def breaches(plan: day.Plan, faults: Faults) -> list[str]:
    """Play a day under some faults; gives what broke, and jobs left open."""
    result = day.play(plan, faults)
    return result.breaches + [f'not ended: {job}' for job in result.unfinished]


@APP.default
def main(*, two: bool = False, stride: int = 1, offset: int = 0) -> int:
    """Search.

    :param two: two faults a day in place of one
    :param stride: play every so many-th day only
    :param offset: of the first day that is played
    """
    event_log.emit = _quiet
    numbers = calls(PLAN)
    drawn = pairs(numbers) if two else single(numbers)
    played = 0
    broken = 0
    for faults in itertools.islice(drawn, offset, None, stride):
        played += 1
        found = breaches(PLAN, faults)
        if found:
            broken += 1
            told = {number: fate.value for number, fate in faults.items()}
            print(f'{told}: {found[:3]}')
    print(f'search: {played} days, {len(numbers)} calls, {broken} broken')
    return 1 if broken else 0


def _quiet(part: str, event: str, **fields) -> None:
    """Log nothing."""


if __name__ == '__main__':
    sys.exit(APP())
