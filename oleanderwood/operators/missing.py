"""What saved logs lack: lines that servers dropped, and when.

Pure: rows of the log in, gaps out. Without them, an event whose line was
dropped would count as one that did not happen.
"""

import bisect
import collections
import collections.abc
import dataclasses
import math
import typing

Row = dict[str, typing.Any]
Rows = collections.abc.Sequence[Row]
Span = tuple[float, float]
"""Two moments, in seconds."""

TERM_BEGINS = frozenset({'took-over', 'leads'})
"""Events of a leader that begin a term."""

TERM_ENDS = frozenset({'ended', 'gave-up'})
"""Events of a leader that end it."""

NOT_ADMITTED = 'not-admitted'
"""Event of a call that was refused for lack of capacity."""

TAKEN_WITHIN_S = 15.0
"""Time within which a leader takes an accepted job; a change of leaders takes
up to 12 s. If a line on it was dropped only later, no leader took it in time.
"""

RETRIES_S = 6.0
"""Time from a refusal within which its caller may be answered again: retries
go on for 2.9 s, and each waits up to 3 s for its answer."""


@dataclasses.dataclass
class Gap:
    """Lines that a server dropped within one second, or without a break.

    :ivar other: number of lines that determine no job's history
    :ivar decisive: number of those that do
    :ivar mixed: the server doesn't say of which kind they were; all count as
        decisive
    :ivar silent: the server wrote no line in any of these seconds
    """

    node: str
    since_s: float
    until_s: float
    other: int = 0
    decisive: int = 0
    mixed: bool = False
    silent: bool = False


@dataclasses.dataclass
class Missing:
    """What is missing in saved logs.

    :ivar gaps: dropped lines, by time
    :ivar leaders_other: when a server dropped lines that determine no job's
        history and may have led then
    :ivar leaders_decisive: the same for decisive lines
    :ivar cut_count: number of lines that were truncated
    :ivar untold_count: number of refused calls that no line names
    """

    gaps: list[Gap] = dataclasses.field(default_factory=list)
    leaders_other: list[Span] = dataclasses.field(default_factory=list)
    leaders_decisive: list[Span] = dataclasses.field(default_factory=list)
    cut_count: int = 0
    untold_count: int = 0


@dataclasses.dataclass
class _Term:
    """When a server led.

    :ivar is_told: a line says when it began
    :ivar seen_s: latest line of the leader in it
    """

    begin_s: float
    is_told: bool
    seen_s: float
    end_s: float = math.inf


def find(rows: Rows) -> Missing:
    """Return what the rows, in order of time, say of lines that lack."""
    gaps = _gaps(rows)
    terms = _terms(rows)
    leading = [gap for gap in gaps if _may_lead(gap, terms)]
    return Missing(
        gaps,
        _spans(gap for gap in leading if gap.other or gap.mixed),
        _spans(gap for gap in leading if gap.decisive),
        sum(bool(row.get('cut')) for row in rows),
        sum(
            row.get('untold', 0)
            for row in rows
            if row.get('event') == NOT_ADMITTED
        ),
    )


def is_cut(row: Row, field: str) -> bool:
    """Return whether a field of a line lost something by truncation.

    Servers of the version before don't name the fields.
    """
    cut = row.get('cut', ())
    return cut is True or field in (cut or ())


def overlaps(spans: list[Span], since_s: float, until_s: float) -> bool:
    """Return whether one of disjoint, ordered spans touches a time."""
    place = bisect.bisect_right(spans, (until_s, math.inf))
    return place > 0 and spans[place - 1][1] >= since_s


def lines(missing: Missing) -> list[str]:
    """Return lines that say what is missing; none if nothing is."""
    told = []
    if missing.gaps:
        other = sum(gap.other for gap in missing.gaps)
        decisive = sum(gap.decisive for gap in missing.gaps)
        told.append(
            f'log lines dropped: {other + decisive}, of them {decisive} that '
            "determine a job's history"
        )
        told += [f'  {gap_line(gap)}' for gap in missing.gaps]
    if missing.cut_count:
        told.append(f'log lines truncated: {missing.cut_count}')
    if missing.untold_count:
        told.append(
            f'refused calls without a line of their own: '
            f'{missing.untold_count}'
        )
    return told


def gap_line(gap: Gap) -> str:
    """Return one server's dropped lines as text, with their seconds."""
    first, last = int(gap.since_s), int(gap.until_s)
    seconds = f'{first}' if first == last else f'{first} to {last}'
    kind = 'of any kind' if gap.mixed else f'{gap.decisive} decisive'
    count = gap.other + gap.decisive
    text = f'{gap.node or "-"} {seconds}: {count} dropped, {kind}'
    return f'{text}, no line written' if gap.silent else text


def _gaps(rows: Rows) -> list[Gap]:
    """Return dropped lines, by server and second where the log says it."""
    latest_s: dict[str, float] = {}
    written_s: dict[str, list[int]] = collections.defaultdict(list)
    gaps: dict[tuple[str, int, int], Gap] = {}
    for row in rows:
        node, time_s = row.get('node', ''), row['time_s']
        dropped = row.get('dropped', 0) + row.get('dropped_decisive', 0)
        if dropped:
            # Servers of the version before say neither when nor of which kind.
            began_s = latest_s.get(node, rows[0]['time_s'])
            since_s = row.get('dropped_since_s', began_s)
            until_s = row.get('dropped_until_s', time_s)
            decisive = row.get('dropped_decisive', dropped)
            key = node, int(since_s), int(until_s)
            gap = gaps.setdefault(key, Gap(node, since_s, until_s))
            gap.since_s = min(gap.since_s, since_s)
            gap.until_s = max(gap.until_s, until_s)
            gap.decisive += decisive
            gap.other += dropped - decisive
            gap.mixed |= 'dropped_decisive' not in row
        latest_s[node] = time_s
        written_s[node].append(int(time_s))
    for (node, first, last), gap in gaps.items():
        place = bisect.bisect_left(written_s[node], first)
        gap.silent = not any(
            second <= last for second in written_s[node][place : place + 1]
        )
    return sorted(gaps.values(), key=lambda gap: (gap.since_s, gap.node))


def _terms(rows: Rows) -> dict[str, list[_Term]]:
    """Return when each server led, as far as the log tells.

    A leader is also known by its lines on jobs, as the line on the begin of
    its term may have been dropped; it then counts from the end of its term
    before.
    """
    terms: dict[str, list[_Term]] = collections.defaultdict(list)
    for row in rows:
        node, time_s = row.get('node', ''), row['time_s']
        part, event = row.get('part'), row.get('event')
        known = terms[node]
        leads = bool(known) and known[-1].end_s == math.inf
        if part == 'leader' and event in TERM_ENDS or event == 'starts':
            if leads:
                known[-1].end_s = time_s
        elif part == 'leader' and event in TERM_BEGINS:
            if event == 'took-over' and leads:
                known[-1].end_s = time_s
            if event == 'took-over' or not leads:
                known.append(_Term(time_s, True, time_s))
        elif part == 'job' and not leads:
            before_s = known[-1].end_s if known else -math.inf
            known.append(_Term(before_s, False, time_s))
        if known and known[-1].end_s == math.inf and part in ('job', 'leader'):
            known[-1].seen_s = time_s
    return terms


def _may_lead(gap: Gap, terms: dict[str, list[_Term]]) -> bool:
    """Return whether the server of a gap may have led then.

    It may have if it is known to lead, or if nobody else is: its whole term
    may be missing.
    """
    for term in terms.get(gap.node, ()):
        if term.begin_s <= gap.until_s and gap.since_s <= term.end_s:
            return True
    return not any(
        term.is_told
        and term.begin_s <= gap.since_s
        and gap.until_s <= min(term.end_s, term.seen_s)
        for node, others in terms.items()
        if node != gap.node
        for term in others
    )


def _spans(gaps: collections.abc.Iterable[Gap]) -> list[Span]:
    """Return when lines were dropped, without overlaps and by time."""
    spans: list[Span] = []
    for gap in sorted(gaps, key=lambda gap: gap.since_s):
        if spans and gap.since_s <= spans[-1][1]:
            spans[-1] = spans[-1][0], max(spans[-1][1], gap.until_s)
        else:
            spans.append((gap.since_s, gap.until_s))
    return spans
