"""Structured, non-blocking log on standard output: one JSON object per line.

Lines that standard output doesn't accept at once are dropped and counted; the
next line that is written contains the count.
"""

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

MAX_LINE_BYTES = 16 << 10
"""Size limit of a line; an error with its traceback takes 6 KB at most."""

MAX_CUT_TEXT = 200
"""Maximum length in characters of each string in a line that is too long."""


class _State:
    """State of the log between two lines.

    :ivar node: name of this process in each line
    :ivar second: latest second of monotonic time in which a line was emitted
    :ivar lines: number of lines emitted in that second
    :ivar dropped: number of lines dropped since the latest written line
    """

    node = ''
    second = 0
    lines = 0
    dropped = 0


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
        _State.lines = 0
    _State.lines += 1
    if _State.lines > MAX_LINES_PER_S:
        _drop()
        return
    row = {'time_s': round(time.time(), 3), 'part': part, 'event': event}
    if _State.node:
        row['node'] = _State.node
    if _State.dropped:
        row['dropped'] = _State.dropped
    line = msgspec.json.encode({**row, **fields}, enc_hook=str) + b'\n'
    if len(line) > MAX_LINE_BYTES:
        line = msgspec.json.encode({**row, **_truncate(fields)}) + b'\n'
    _write(line)


def _truncate(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the fields of a line that is too long, with strings truncated.

    Fields other than strings and numbers are dropped.
    """
    truncated: dict[str, typing.Any] = {'cut': True}
    for name, value in fields.items():
        if isinstance(value, str):
            truncated[name] = value[:MAX_CUT_TEXT]
        elif isinstance(value, int | float):
            truncated[name] = value
    return truncated


def _drop() -> None:
    _State.dropped += 1
    server_metrics.LOG_DROPPED.inc()


def _write(line: bytes) -> None:
    descriptor = sys.stdout.fileno()
    if not select.select((), (descriptor,), (), 0)[1]:
        _drop()
        return
    try:
        os.write(descriptor, line)
    except OSError:
        # Nobody reads standard output any more, and there is no other log.
        _drop()
        return
    _State.dropped = 0
