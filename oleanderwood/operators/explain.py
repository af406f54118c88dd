"""What saved logs tell of one job: what happened to it, and why it ended.

Pure: lines in, a story out. The lines are those of :mod:`event_log`, of any
number of servers, in any order.
"""

import collections.abc
import dataclasses
import enum
import typing

import msgspec


class Cause(enum.Enum):
    """Why a caller didn't get what it asked for, as far as the logs tell."""

    NONE = 'no failure is told'
    REFUSED = 'it was refused and has not run'
    DENIED = 'its caller showed no good key, and it has not run'
    REVOKED = 'it was refused: its key had been taken away'
    IN_DOUBT = 'the store did not answer whether it was accepted'
    CRASHED_WORKERS = 'a task crashed the workers that started it'
    TASK_FAILED = 'a task failed as often as it may'
    CANCELLED = 'its caller cancelled it'
    WAITED = 'it waited for room'
    TENANT_LIMIT = "it waited for its tenant's limit"
    HELD_BACK = 'its runs were held back beside others on their worker'
    ISOLATED = 'tasks were started apart, as workers had crashed under them'
    LOST_RUNS = 'runs were lost with their workers'
    UNKNOWN = 'the logs hold nothing of it'


WAITED_S = 1.0
"""Time to the first start from which on room is named as the cause; a start
takes some milliseconds when there is room."""


DENIED = 'denied'
"""Event of a call without a good key."""

REVOKED_KEY = 'a revoked key'
"""Why such a call was refused, if its key had been good before."""

AT_LIMIT = 'at-limit'
"""Event of a tenant whose jobs wait for its limit."""

SUSPECTED = 'suspected'
"""Event of a task under which a worker has crashed."""

HELD_BACK = ('held-back', 'relocated')
"""Events of a run that gets next to no processor time where it is."""


@dataclasses.dataclass(frozen=True)
class Story:
    """What the logs tell of a job.

    :ivar lines: in order of time, ready to print
    """

    job: str
    cause: Cause
    lines: list[str]


Row = dict[str, typing.Any]


def read(texts: collections.abc.Iterable[str]) -> list[Row]:
    """Read log lines; what isn't a line of the log is passed over.

    A collector may have put something before each line's object.
    """
    rows = []
    for text in texts:
        begin = text.find('{"time_s"')
        if begin < 0:
            continue
        try:
            rows.append(msgspec.json.decode(text[begin:].encode()))
        except msgspec.DecodeError:
            continue
    rows.sort(key=lambda row: row['time_s'])
    return rows


def explain(rows: list[Row], job: str) -> Story:
    """Tell what happened to a job."""
    touching = [row for row in rows if _touches(row, job)]
    workers = {row['worker'] for row in touching if 'worker' in row}
    around = [
        row
        for row in rows
        if row.get('part') == 'worker'
        and row.get('worker') in workers
        and row.get('event') in ('silent', 'gone', 'lease-over', 'draining')
        and _within(row, touching)
    ]
    story = sorted(touching + around, key=lambda row: row['time_s'])
    lines = [_line(row, story[0]['time_s']) for row in story]
    return Story(job, _cause(touching, around), lines)


def _touches(row: Row, job: str) -> bool:
    if row.get('job') == job or job in _listed(row, 'jobs'):
        return True
    names = [row.get('task') or '', *_listed(row, 'tasks')]
    return any(str(name).startswith(f'{job}.') for name in names)


def _listed(row: Row, field: str) -> list:
    """Give a field that is a list; some lines hold a count by its name."""
    value = row.get(field)
    return value if isinstance(value, list) else []


def _within(row: Row, touching: list[Row]) -> bool:
    first, last = touching[0]['time_s'], touching[-1]['time_s']
    return first <= row['time_s'] <= last


def _line(row: Row, began_s: float) -> str:
    kept = {
        key: value
        for key, value in row.items()
        if key not in ('time_s', 'part', 'event', 'node') and value != ''
    }
    told = ' '.join(f'{key}={value}' for key, value in kept.items())
    after_s = row['time_s'] - began_s
    node = row.get('node', '-')
    return f'{after_s:8.3f} {node} {row["part"]} {row["event"]} {told}'


def _cause(touching: list[Row], around: list[Row]) -> Cause:
    if not touching:
        return Cause.UNKNOWN
    handed = [row for row in touching if row['event'] == 'handed-in']
    denied = [
        row
        for row in touching
        if row['event'] == DENIED and row['method'] == 'POST'
    ]
    if denied and not handed:
        revoked = any(row['why'] == REVOKED_KEY for row in denied)
        return Cause.REVOKED if revoked else Cause.DENIED
    verdicts = {row.get('verdict') for row in handed}
    if handed and 'ran' not in verdicts:
        if verdicts == {'not-run'}:
            return Cause.REFUSED
        return Cause.IN_DOUBT
    for row in touching:
        if row['part'] == 'job' and row['event'] == 'ended':
            if row.get('state') == 'failed':
                return _why_failed(touching)
            if row.get('state') == 'cancelled':
                return Cause.CANCELLED
    if any(row['event'] == SUSPECTED for row in touching):
        return Cause.ISOLATED
    if any(row['event'] in ('gone', 'lease-over') for row in around):
        return Cause.LOST_RUNS
    if any(row['event'] in HELD_BACK for row in touching):
        return Cause.HELD_BACK
    starts = [row['time_s'] for row in touching if row['event'] == 'start']
    waited_s = min(starts, default=float('inf')) - touching[0]['time_s']
    if waited_s <= WAITED_S:
        return Cause.NONE
    limited = any(row['event'] == AT_LIMIT for row in touching)
    return Cause.TENANT_LIMIT if limited else Cause.WAITED


def _why_failed(touching: list[Row]) -> Cause:
    if any(row.get('given_up') for row in touching):
        return Cause.CRASHED_WORKERS
    return Cause.TASK_FAILED
