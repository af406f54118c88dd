"""Structured log on standard output: one JSON object a line, never waiting.

What standard output doesn't take at once is dropped and counted; the count
goes out with the next line that is taken.
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
"""Lines written in one second; a busy day's decisions take a few hundred."""

MAX_LINE_BYTES = 16 << 10
"""Longest line; a fault with its traceback takes 6 KB at most."""

MAX_CUT_TEXT = 200
"""Characters that are left of each text in a line that would be longer."""


class _State:
    """What the log remembers between two lines."""

    node = ''
    second = 0
    lines = 0
    dropped = 0


class _Handler(logging.Handler):
    """Passes what libraries log on, in the same form."""

    def emit(self, record: logging.LogRecord) -> None:
        emit(
            record.name,
            'message',
            level=record.levelname,
            text=record.getMessage(),
        )


def set_up(node: str) -> None:
    """Send all logs to standard output, as of this process."""
    _State.node = node
    root = logging.getLogger()
    root.handlers[:] = [_Handler()]
    root.setLevel(logging.INFO)
    # It warns of each timeout that ends late, hundreds at once on a busy
    # machine; the leader measures its lateness itself.
    logging.getLogger('curio.time').setLevel(logging.ERROR)


def emit(part: str, event: str, **fields: typing.Any) -> None:
    """Write one line, or drop and count it.

    :param part: the part of the program, as in ``leader``
    :param event: what was decided or learned, as in ``started``
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
        line = msgspec.json.encode({**row, **_cut(fields)}) + b'\n'
    _write(line)


def _cut(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Give what is left of a line that is too long, as much as it matters."""
    left: dict[str, typing.Any] = {'cut': True}
    for name, value in fields.items():
        if isinstance(value, str):
            left[name] = value[:MAX_CUT_TEXT]
        elif isinstance(value, int | float):
            left[name] = value
    return left


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
        # Nobody reads any more; there is nowhere else to say so.
        _drop()
        return
    _State.dropped = 0
