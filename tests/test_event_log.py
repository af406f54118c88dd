"""Tests of event_log."""

import json
import os
import subprocess
import sys
import threading
import types

import pytest

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


@pytest.fixture
def now(monkeypatch):
    """Give a clock; with the real one, lines could fall into two seconds."""
    now = types.SimpleNamespace(s=1e6)
    clock = types.SimpleNamespace(
        monotonic=lambda: now.s, time=lambda: now.s + 0.25
    )
    monkeypatch.setattr(event_log, 'time', clock)
    monkeypatch.setattr(event_log, '_State', _new_state())
    return now


def _new_state():
    class State(event_log._State):
        decisive = event_log._Budget(event_log.MAX_DECISIVE_LINES_PER_S)
        other = event_log._Budget(event_log.MAX_LINES_PER_S)

    return State


def _rows(capfd):
    return [json.loads(line) for line in capfd.readouterr().out.splitlines()]


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


@pytest.mark.parametrize(
    'kind',
    [
        ('caller', 'handed-in'),
        ('caller', 'not-admitted'),
        ('caller', 'cancelled'),
        ('job', 'taken'),
        ('job', 'ended'),
        ('job', 'cancelled'),
        ('leader', 'leads'),
        ('server', 'starts'),
        ('fleet', 'short'),
        ('fleet', 'contended'),
        ('admission', 'limited'),
    ],
)
def test_flood_of_run_lines_does_not_push_out_lines_on_jobs(capfd, now, kind):
    for _number in range(event_log.MAX_LINES_PER_S + 50):
        event_log.emit('run', 'start')
    event_log.emit(*kind, job='a')
    rows = _rows(capfd)
    assert (rows[-1]['part'], rows[-1]['event']) == kind
    assert len(rows) == event_log.MAX_LINES_PER_S + 1


def test_flood_of_lines_on_jobs_is_bounded_and_pushes_out_no_others(
    capfd, now
):
    limit = event_log.MAX_DECISIVE_LINES_PER_S
    for _number in range(limit + 3):
        event_log.emit('job', 'taken')
    event_log.emit('run', 'start')
    rows = _rows(capfd)
    assert len(rows) == limit + 1 and rows[-1]['event'] == 'start'
    assert (rows[-1]['dropped'], rows[-1]['dropped_decisive']) == (0, 3)


def test_line_states_what_was_dropped_by_kind_and_when(capfd, now):
    # A count without its time would be taken for that of the next line,
    # which may come minutes later.
    for _number in range(event_log.MAX_LINES_PER_S + 5):
        event_log.emit('run', 'start')
    for _number in range(event_log.MAX_DECISIVE_LINES_PER_S):
        event_log.emit('job', 'taken')
    event_log.emit('job', 'ended')
    now.s += 60.0
    event_log.emit('run', 'done')
    event_log.emit('run', 'done')
    rows = _rows(capfd)
    first = next(row for row in rows if row['event'] == 'taken')
    assert (first['dropped'], first['dropped_decisive']) == (5, 0)
    stated = rows[-2]
    assert (stated['dropped'], stated['dropped_decisive']) == (0, 1)
    assert stated['dropped_since_s'] == stated['dropped_until_s'] == 1e6 + 0.25
    assert 'dropped' not in rows[-1]


def test_line_that_standard_output_does_not_accept_counts_by_its_kind(
    capfd, now, monkeypatch
):
    full = types.SimpleNamespace(
        select=lambda *_: ((), (), ()), PIPE_BUF=event_log.select.PIPE_BUF
    )
    with monkeypatch.context() as patch:
        patch.setattr(event_log, 'select', full)
        event_log.emit('job', 'ended')
        event_log.emit('run', 'done')
    event_log.emit('run', 'done')
    (row,) = _rows(capfd)
    assert (row['dropped'], row['dropped_decisive']) == (1, 1)


LONG_PROGRAM = """
import os, sys
from oleanderwood import event_log
os.write(1, b'x' * (15 * 4096 - 1) + b'\\n')
event_log.emit('part', 'long', text='x' * 12000)
sys.stderr.write('finished')
sys.stdin.read(1)
event_log.emit('part', 'next')
"""


def test_long_line_does_not_wait_for_a_pipe_that_has_room_for_its_begin():
    # A pipe counts as writable once 4 KB of it are free; longer lines waited.
    reader, writer = os.pipe()
    done = subprocess.Popen(
        [sys.executable, '-c', LONG_PROGRAM],
        stdin=subprocess.PIPE,
        stdout=writer,
        stderr=subprocess.PIPE,
    )
    os.close(writer)
    try:
        with os.fdopen(reader, 'rb') as file:
            timer = threading.Timer(20.0, done.kill)
            timer.start()
            assert done.stderr.read(8) == b'finished'
            timer.cancel()
            file.read(15 * 4096)
            done.stdin.write(b'g')
            done.stdin.close()
            lines = file.read().splitlines()
    finally:
        done.kill()
        done.wait()
        done.stderr.close()
    row = json.loads(lines[-1])
    assert (row['event'], row['dropped']) == ('next', 1)


def test_field_does_not_replace_the_time_of_a_line(capfd, now):
    event_log.emit('wave', 'taken', time_s=7.0)
    (row,) = _rows(capfd)
    assert row['time_s'] == 1e6 + 0.25


def test_line_that_is_cut_keeps_what_fits_and_names_what_does_not(capfd, now):
    # With 260 pools, a line on the pools that lack machines is too long.
    pools = {
        f'pool-{number}': {'has': number, 'needs': 9, 'soon': 9, 'x': 'y' * 50}
        for number in range(260)
    }
    event_log.emit('fleet', 'short', pools=pools, traits=('gang',), n=7)
    (row,) = _rows(capfd)
    assert row['cut'] == ['pools']
    assert row['pools']['pool-0']['has'] == 0 and len(row['pools']) > 20
    assert (row['traits'], row['n']) == (['gang'], 7)
