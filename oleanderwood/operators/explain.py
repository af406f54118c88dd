"""What saved logs tell of one job: what happened to it, and why it ended.

Pure: lines in, a story out. The lines are those of :mod:`event_log`, of any
number of servers, in any order.
"""

import collections.abc
import dataclasses
import enum
import math
import re

import msgspec

from oleanderwood.operators import missing as missing_


class Cause(enum.Enum):
    """Why a caller didn't get what it asked for, as far as the logs tell."""

    NONE = 'no failure is told'
    REFUSED = 'it was refused and has not run'
    DENIED = 'its caller showed no good key, and it has not run'
    REVOKED = 'it was refused: its key had been taken away'
    OVER_SHARE = 'refused: its customer had more than its share'
    TOO_LATE = 'refused: it would have been too late'
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
    DROPPED = 'unknown: log lines were dropped'


WAITED_S = 1.0
"""Time to the first start from which on room is named as the cause; a start
takes some milliseconds when there is room."""


DENIED = 'denied'
"""Event of a call without a good key."""

REVOKED_KEY = 'a revoked key'
"""Why such a call was refused, if its key had been good before."""

AT_LIMIT = 'at-limit'
"""Event of a tenant whose jobs wait for its limit."""

NOT_ADMITTED = {'over-share': Cause.OVER_SHARE, 'too-late': Cause.TOO_LATE}
"""Causes of calls that were refused for lack of capacity."""

SUSPECTED = 'suspected'
"""Event of a task under which a worker has crashed."""

CRASHED = re.compile(r' crashed \d+ workers$')
"""End of the reason of a job that failed as its tasks crashed workers."""

HELD_BACK = ('held-back', 'relocated')
"""Events of a run that gets next to no processor time where it is."""


@dataclasses.dataclass(frozen=True)
class Story:
    """What the logs tell of a job.

    :ivar lines: in order of time, ready to print
    :ivar holder: customer that had the capacity, if the job was refused
    :ivar gaps: lines that servers dropped meanwhile, ready to print
    """

    job: str
    cause: Cause
    lines: list[str]
    holder: str = ''
    gaps: list[str] = dataclasses.field(default_factory=list)


Row = missing_.Row


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
    missing = missing_.find(rows)
    cause = _cause(touching, around, missing)
    holder = ''
    if cause in NOT_ADMITTED.values():
        holder = _last_call(touching).get('holder') or ''
    gaps = [
        missing_.gap_line(gap)
        for gap in missing.gaps
        if _concerns(gap, touching)
    ]
    return Story(job, cause, lines, holder, gaps)


def _concerns(gap: missing_.Gap, touching: list[Row]) -> bool:
    """Return whether a dropped line may be of a job with these rows."""
    if not touching:
        return gap.decisive > 0
    to_s = touching[-1]['time_s']
    if not any(_is_of_job(row, 'ended') for row in touching):
        to_s = math.inf
    return gap.since_s <= to_s and touching[0]['time_s'] <= gap.until_s


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


def _cause(
    touching: list[Row], around: list[Row], missing: missing_.Missing
) -> Cause:
    if not touching:
        dropped = any(gap.decisive for gap in missing.gaps)
        return Cause.DROPPED if dropped else Cause.UNKNOWN
    if not any(_shows_leader(row) for row in touching):
        not_accepted = _why_not_accepted(touching, missing)
        if not_accepted is not None:
            return not_accepted
    for row in touching:
        if _is_of_job(row, 'ended'):
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
    return _why_waited(touching, missing)


def _is_of_job(row: Row, event: str) -> bool:
    return row['part'] == 'job' and row['event'] == event


def _shows_leader(row: Row) -> bool:
    """Return whether a row shows that a leader took the job it touches."""
    return row['part'] in ('job', 'run')


def _calls(touching: list[Row]) -> list[Row]:
    """Return the rows on calls that handed the job in, except for denied."""
    return [row for row in touching if _is_call(row)]


def _is_call(row: Row) -> bool:
    if row['part'] != 'caller':
        return False
    if row['event'] == 'passed-on':
        # What became of any other call that was passed on is told by the
        # server that answered it.
        return row.get('method') == 'POST' and 'verdict' in row
    return row['event'] in ('handed-in', missing_.NOT_ADMITTED)


def _last_call(touching: list[Row]) -> Row:
    return _calls(touching)[-1]


def _why_not_accepted(
    touching: list[Row], missing: missing_.Missing
) -> Cause | None:
    """Return why a job without a leader's line was not accepted.

    None if it was, or if nobody handed it in. A line that tells of the
    acceptance may have been dropped.
    """
    calls = _calls(touching)
    if not calls:
        denied = [
            row
            for row in touching
            if row['event'] == DENIED and row['method'] == 'POST'
        ]
        if not denied:
            return None
        revoked = any(row['why'] == REVOKED_KEY for row in denied)
        return Cause.REVOKED if revoked else Cause.DENIED
    verdicts = {row.get('verdict') for row in calls}
    if 'ran' in verdicts:
        return None
    last_s = calls[-1]['time_s']
    in_doubt = 'may-have-run' in verdicts
    within_s = missing_.TAKEN_WITHIN_S if in_doubt else missing_.RETRIES_S
    dropped = missing.leaders_decisive
    if missing_.overlaps(dropped, last_s, last_s + within_s):
        return Cause.DROPPED
    if in_doubt:
        return Cause.IN_DOUBT
    return NOT_ADMITTED.get(calls[-1].get('why', ''), Cause.REFUSED)


def _why_waited(touching: list[Row], missing: missing_.Missing) -> Cause:
    """Return whether a job waited, as far as no line contradicts it."""
    came_s, seen_s = touching[0]['time_s'], touching[-1]['time_s']
    ended = any(_is_of_job(row, 'ended') for row in touching)
    if not ended and missing_.overlaps(
        missing.leaders_decisive, seen_s, math.inf
    ):
        return Cause.DROPPED
    starts = [row['time_s'] for row in touching if row['event'] == 'start']
    first_s = min(starts, default=math.inf)
    if first_s - came_s <= WAITED_S:
        return Cause.NONE
    if any(row['event'] == AT_LIMIT for row in touching):
        return Cause.TENANT_LIMIT
    until_s = min(first_s, seen_s if ended else math.inf)
    dropped = missing_.overlaps(missing.leaders_other, came_s, until_s)
    return Cause.DROPPED if dropped else Cause.WAITED


def _why_failed(touching: list[Row]) -> Cause:
    # The lines on suspected tasks are among the first to be dropped.
    ends = [row for row in touching if _is_of_job(row, 'ended')]
    told = any(CRASHED.search(row.get('why') or '') for row in ends)
    if told or any(row.get('given_up') for row in touching):
        return Cause.CRASHED_WORKERS
    return Cause.TASK_FAILED
