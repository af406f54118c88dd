"""Tests of event_log."""

import json
import os
import subprocess
import sys
import types

from oleanderwood import event_log
from oleanderwood import server_metrics

VERBOSE_PROGRAM = """
from oleanderwood import event_log
event_log.set_up('s1')
for number in range(1500):
    event_log.emit('part', 'event', number=number, text='x' * 200)
import sys
sys.stderr.write('finished')
"""


def test_line_holds_what_was_given(capfd):
    event_log.emit('leader', 'took-over', term=3)
    row = json.loads(capfd.readouterr().out.splitlines()[-1])
    assert row['part'] == 'leader' and row['term'] == 3


def test_reader_who_stops_reading_stops_nothing():
    reader, writer = os.pipe()
    try:
        done = subprocess.run(
            [sys.executable, '-c', VERBOSE_PROGRAM],
            stdout=writer,
            stderr=subprocess.PIPE,
            timeout=60,
            check=True,
        )
    finally:
        os.close(writer)
    text = os.read(reader, 1 << 20)
    os.close(reader)
    assert done.stderr == b'finished'
    assert 0 < text.count(b'\n') < 1500


def test_lines_beyond_the_bound_are_dropped_and_counted(capfd, monkeypatch):
    # With the real clock, the lines could fall into two seconds under load.
    now = types.SimpleNamespace(s=1e6)
    clock = types.SimpleNamespace(monotonic=lambda: now.s, time=lambda: 0.0)
    monkeypatch.setattr(event_log, 'time', clock)
    before = server_metrics.LOG_DROPPED._value.get()
    for number in range(event_log.MAX_LINES_PER_S + 50):
        event_log.emit('part', 'event', number=number)
    assert server_metrics.LOG_DROPPED._value.get() >= before + 50
    dropped = server_metrics.LOG_DROPPED._value.get()
    now.s += 1.0
    event_log.emit('part', 'event', number=0)
    assert server_metrics.LOG_DROPPED._value.get() == dropped
