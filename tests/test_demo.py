"""Tests of the parts of demonstrations and soaks."""

import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import curio
import pytest

from demo import marker
from demo import processes
from demo import schedule
from oleanderwood import configuration
from tests import utils_checker

ENDED_S = 10.0
CHILD = 'standins.store'
PARENT = """
import curio, os, signal, sys, time
from demo import processes
with processes.running() as run:
    for name in ('one', 'two'):
        child = processes.start(run, name, 'standins.store')
        curio.run(processes.first_lines, child)
        print(child.popen.pid, flush=True)
    if sys.argv[1] == 'fail':
        raise LookupError('a defect')
    while True:
        time.sleep(0.05)
"""


def _alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    state = pathlib.Path(f'/proc/{pid}/stat').read_text()
    return state.rpartition(')')[2].split()[0] != 'Z'


@pytest.mark.parametrize('end', ['fail', 'SIGINT', 'SIGTERM', 'SIGKILL'])
def test_no_process_is_left_however_a_run_ends(end):
    parent = subprocess.Popen(
        [sys.executable, '-c', PARENT, end],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    pids = [int(parent.stdout.readline()) for _ in range(2)]
    if end.startswith('SIG'):
        parent.send_signal(getattr(signal, end))
    assert parent.wait(ENDED_S) != 0
    parent.stdout.close()
    end_s = time.monotonic() + ENDED_S
    while any(map(_alive, pids)) and time.monotonic() < end_s:
        time.sleep(0.01)
    assert not any(map(_alive, pids))


def test_process_that_does_not_start_is_reported():
    with processes.running() as run:
        child = processes.start(run, 'bad', CHILD, '--no-such-flag')
        with pytest.raises(processes.StartFailed, match='no-such-flag'):
            curio.run(processes.first_lines, child)


def test_crash_is_told_from_an_end_that_was_asked_for():
    with processes.running() as run:
        children = [processes.start(run, n, CHILD) for n in ('a', 'b')]
        for child in children:
            curio.run(processes.first_lines, child)
        assert curio.run(processes.stop, children[0]) == 0
        processes.send(children[1], signal.SIGKILL)
        children[1].popen.wait()
        assert processes.crashed(run) == [children[1]]


def test_schedule_is_the_same_for_a_seed_and_ends_quietly():
    steps = schedule.draw(7, 300.0)
    assert steps == schedule.draw(7, 300.0)
    assert steps != schedule.draw(8, 300.0)
    assert {step.fault for step in steps} == set(schedule.Fault)
    assert max(step.end_s for step in steps) <= 225.0


def test_marker_changes_one_route_of_the_file():
    text = pathlib.Path('examples/klapa.toml').read_text()
    whole = configuration.parse(text)
    markers = marker.Markers()
    for number in (1, 2):
        marked = configuration.parse(marker.mark(text, whole, markers))
        changed = [
            (new.name, new.path_prefix)
            for old, new in zip(whole.services, marked.services)
            if old != new
        ]
        assert changed == [(marker.service(whole), marker.route(number))]
        assert re.fullmatch(r'/marker-\d{5}', marker.route(number))


def test_marker_is_read_from_the_accepted_parts():
    services = [{'name': 's', 'path_prefix': marker.route(7)}]
    writes = [
        utils_checker.write(1.0, 'config/parts/x.op', services),
        utils_checker.write(
            2.0, 'config/head', {'revision': 3, 'parts': {'s/1': 'x.op'}}
        ),
    ]
    assert marker.accepted(writes) == {7: 3}
    seen = marker.Sighting(4.0, 4.1, 'e1', 7)
    (probe,) = marker.revisions([seen], writes)
    assert (probe.entry, probe.revision) == ('e1', 3)
