"""Faults at every call of a small day: ``python -m emulator.search``.

The day repeats to the letter, so a call keeps its number until the first
fault. Each call that a server makes is spoiled in each way in turn. With
``--two``, a trouble makes another server lead, callers press meanwhile, and
each call of the second after is spoiled in each way.
"""

import collections.abc
import dataclasses
import itertools
import logging
import sys

import cyclopts

from emulator import day
from emulator import network as networks
from emulator import troubles
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

FORCING = (
    troubles.Kind.LEADER_KILLED,
    troubles.Kind.LEADER_STOPPED,
    troubles.Kind.LEADER_SUSPENDED,
    troubles.Kind.STORE_LAPSES,
    troubles.Kind.STORE_LAPSES_PARTED,
    troubles.Kind.LEASES_REVOKED,
    troubles.Kind.REACH_PARTED,
    troubles.Kind.LEADER_PARTED,
)
"""Troubles after each of which another server leads on the day below."""

FORCED_PLAN = dataclasses.replace(
    PLAN,
    seed=8,
    server_count=3,
    jobs_per_s=1.0,
    press_gap_s=0.04,
    away_s=0.03,
    jitter_s=0.005,
)

FORCED_AT_S = 0.3
FORCED_FOR_S = 2.0
"""When such a trouble comes after the first job's time, and how long it
lasts: longer than a lease."""

BEFORE_S = 0.1
"""How long before the next leader acts calls are spoiled: it reads first."""

AFTER_S = 1.0
"""How long after it calls are spoiled."""

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


def forced_plans() -> list[day.Plan]:
    """Give the days on which another server comes to lead."""
    return [
        dataclasses.replace(
            FORCED_PLAN,
            troubles=(troubles.Trouble(kind, FORCED_AT_S, FORCED_FOR_S),),
        )
        for kind in FORCING
    ]


def calls_around_change(plan: day.Plan) -> list[int]:
    """Give the numbers of the calls about when another server leads."""
    times_s: dict[int, float] = {}
    result = day.play(plan, {}, times_s)
    begin_s = result.changes_s[0] - BEFORE_S
    end_s = result.changes_s[0] + AFTER_S
    return [
        number for number, at_s in times_s.items() if begin_s <= at_s <= end_s
    ]


def double() -> collections.abc.Iterator[tuple[day.Plan, Faults]]:
    """Give each fault at each call around each forced change."""
    for plan in forced_plans():
        for faults in single(calls_around_change(plan)):
            yield plan, faults


def breaches(plan: day.Plan, faults: Faults) -> list[str]:
    """Play a day under some faults; gives what broke, and jobs left open."""
    result = day.play(plan, faults)
    return result.breaches + [f'not ended: {job}' for job in result.unfinished]


@APP.default
def main(*, two: bool = False, stride: int = 1, offset: int = 0) -> int:
    """Search.

    :param two: a change of leader and a fault a day in place of a fault
    :param stride: play every so many-th day only
    :param offset: of the first day that is played
    """
    event_log.emit = _quiet
    logging.disable(logging.CRITICAL)
    rows = double() if two else ((PLAN, row) for row in single(calls(PLAN)))
    played = 0
    broken = 0
    for plan, faults in itertools.islice(rows, offset, None, stride):
        played += 1
        found = breaches(plan, faults)
        if found:
            broken += 1
            print(f'{_told(plan, faults)}: {found[:3]}', flush=True)
    print(f'search: {played} days, {broken} broken')
    return 1 if broken else 0


def _told(plan: day.Plan, faults: Faults) -> str:
    kinds = [trouble.kind.value for trouble in plan.troubles]
    rows = [f'{number}-{fate.value}' for number, fate in faults.items()]
    return ', '.join(kinds + rows)


def _quiet(part: str, event: str, **fields) -> None:
    """Log nothing."""


if __name__ == '__main__':
    sys.exit(APP())
