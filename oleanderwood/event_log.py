"""Structured, non-blocking log on standard output: one JSON object per line.

Lines that exceed their budget, or that standard output doesn't accept at once,
are dropped and counted; the next line that is written states how many, by
kind, and when. Lines that determine a job's history have a budget of their
own, so that a flood of other lines doesn't displace them.
"""

import dataclasses
import logging
import os
import select
import sys
import time
import typing

import msgspec

from oleanderwood import server_metrics

MAX_LINES_PER_S = 2000
"""Maximum lines per second; decisions on a busy day take a few hundred."""

MAX_DECISIVE_LINES_PER_S = 4000
"""Maximum lines per second that determine a job's history; a job has three of
them, and each refused call one."""

DECISIVE_PARTS = frozenset({'admission', 'leader', 'server'})
"""Parts whose lines all determine the history of jobs."""

DECISIVE_EVENTS = frozenset(
    {
        ('caller', 'cancelled'),
        ('caller', 'handed-in'),
        ('caller', 'not-admitted'),
        ('fleet', 'contended'),
        ('fleet', 'short'),
        ('job', 'cancelled'),
        ('job', 'ended'),
        ('job', 'taken'),
    }
)
"""Further lines that do, by part and event."""

MAX_LINE_BYTES = 16 << 10
"""Size limit of a line; an error with its traceback takes 6 KB at most."""

MAX_CUT_TEXT = 200
"""Maximum length in characters of each string in a line that is too long."""

MAX_CUT_ITEMS_BYTES = 8 << 10
"""Maximum size of all items of lists and objects in a line that is too long;
the rest of the line fits in the other half."""

_LISTS = (dict, list, tuple)
"""Types of fields that hold items."""


@dataclasses.dataclass
class _Budget:
    """Lines of one kind.

    :ivar lines_per_s: maximum lines per second
    :ivar lines: number of lines emitted in the latest second
    :ivar dropped: number of lines dropped since the latest written line
    """

    lines_per_s: int
    lines: int = 0
    dropped: int = 0


class _State:
    """State of the log between two lines.

    :ivar node: name of this process in each line
    :ivar second: latest second of monotonic time in which a line was emitted
    :ivar decisive: lines that determine a job's history
    :ivar other: all other lines
    :ivar dropped_since_s: when the first line was dropped since the latest
        written line
    :ivar dropped_until_s: when the last one was dropped
    :ivar incomplete: standard output accepted only a part of the latest line
    """

    node = ''
    second = 0
    decisive = _Budget(MAX_DECISIVE_LINES_PER_S)
    other = _Budget(MAX_LINES_PER_S)
    dropped_since_s = 0.0
    dropped_until_s = 0.0
    incomplete = False


class _Handler(logging.Handler):
    """Writes log records of libraries in the same format."""

    def emit(self, record: logging.LogRecord) -> None:
        emit(
            record.name,
            'message',
            level=record.levelname,
            text=record.getMessage(),
        )


def set_up(node: str) -> None:
    """Send all logs of this process to standard output.

    :param node: name of this process in each line
    """
    _State.node = node
    root = logging.getLogger()
    root.handlers[:] = [_Handler()]
    root.setLevel(logging.INFO)
    # curio warns about each timeout that expires late, hundreds at once on a
    # busy machine; the leader measures its own lateness.
    logging.getLogger('curio.time').setLevel(logging.ERROR)


def emit(part: str, event: str, **fields: typing.Any) -> None:
    """Write one line, or drop it and count the drop.

    :param part: the part of the program, as in ``leader``
    :param event: what was decided or observed, as in ``started``
    """
    second = int(time.monotonic())
    if second != _State.second:
        _State.second = second
        _State.decisive.lines = _State.other.lines = 0
    budget = _State.decisive if is_decisive(part, event) else _State.other
    budget.lines += 1
    time_s = round(time.time(), 3)
    if budget.lines > budget.lines_per_s:
        _drop(budget, time_s)
        return
    row = {'time_s': time_s, 'part': part, 'event': event}
    if _State.node:
        row['node'] = _State.node
    row |= _dropped()
    # A field that is named like one of the row's must not replace it.
    line = msgspec.json.encode({**row, **fields, **row}, enc_hook=str) + b'\n'
    if len(line) > MAX_LINE_BYTES:
        cut = {**row, **_truncate(fields), **row}
        line = msgspec.json.encode(cut, enc_hook=str) + b'\n'
    if not _write(line):
        _drop(budget, time_s)
        return
    _State.decisive.dropped = _State.other.dropped = 0


def is_decisive(part: str, event: str) -> bool:
    """Return whether a line determines the history of jobs."""
    return part in DECISIVE_PARTS or (part, event) in DECISIVE_EVENTS


def _dropped() -> dict[str, typing.Any]:
    """Return the fields that state what was dropped since the latest line."""
    if not _State.other.dropped and not _State.decisive.dropped:
        return {}
    return {
        'dropped': _State.other.dropped,
        'dropped_decisive': _State.decisive.dropped,
        'dropped_since_s': _State.dropped_since_s,
        'dropped_until_s': _State.dropped_until_s,
    }


def _truncate(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the fields of a line that is too long, truncated.

    Strings keep their beginning, lists and objects their first items as far
    as they fit; ``cut`` names the fields that lost something.
    """
    lists = [row for row in fields.values() if isinstance(row, _LISTS)]
    max_bytes = MAX_CUT_ITEMS_BYTES // max(1, len(lists))
    truncated: dict[str, typing.Any] = {}
    for name, value in fields.items():
        if isinstance(value, str):
            truncated[name] = value[:MAX_CUT_TEXT]
        elif isinstance(value, int | float):
            truncated[name] = value
        elif isinstance(value, _LISTS):
            truncated[name] = _first_items(value, max_bytes)
    cut = [
        name
        for name, value in fields.items()
        if name not in truncated or _length(truncated[name]) < _length(value)
    ]
    return {'cut': cut, **truncated}


def _length(value: typing.Any) -> int:
    return len(value) if isinstance(value, (str, *_LISTS)) else 0


def _first_items(value: dict | list | tuple, max_bytes: int) -> dict | list:
    """Return the first items of a list or an object that fit in a size."""
    kept: list[typing.Any] = []
    for item in value.items() if isinstance(value, dict) else value:
        max_bytes -= len(msgspec.json.encode(item, enc_hook=str)) + 1
        if max_bytes < 0:
            break
        kept.append(item)
    return dict(kept) if isinstance(value, dict) else kept


def _drop(budget: _Budget, time_s: float) -> None:
    if not _State.other.dropped and not _State.decisive.dropped:
        _State.dropped_since_s = time_s
    _State.dropped_until_s = time_s
    budget.dropped += 1
    server_metrics.LOG_DROPPED.inc()


def _write(line: bytes) -> bool:
    """Write a line; return whether standard output accepted it at once.

    It is written in pieces that a pipe accepts without waiting. If only a part
    of it is accepted, the next line begins with a line feed.
    """
    descriptor = sys.stdout.fileno()
    if _State.incomplete:
        line = b'\n' + line
    for begin in range(0, len(line), select.PIPE_BUF):
        if not select.select((), (descriptor,), (), 0)[1]:
            return False
        piece = line[begin : begin + select.PIPE_BUF]
        try:
            written = os.write(descriptor, piece)
        except OSError:
            # Nobody reads standard output any more, and there is no other
            # log.
            return False
        _State.incomplete = True
        if written < len(piece):
            return False
    _State.incomplete = False
    return True
