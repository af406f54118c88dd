"""Machines that a wave closes to new tasks, and when they open again.

A machine that could not go down was closed as the time of its wave ran out,
and stayed so for good. A long-running task that failed there, or a job that
only this machine can run, never started again (rule LOST).
"""

import curio
import pytest

from oleanderwood.capacity import rebalancing
from oleanderwood import errors
from oleanderwood.leading import closing
from oleanderwood.leading import fleet_loop
from oleanderwood.leading import pool_loop
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling
from oleanderwood.operators import messages
from oleanderwood.operators import text
from oleanderwood.platform import machines as machine_calls
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts
from tests import utils_jobs
from tests import utils_waves as build

LATE_S = 70.0
"""After the end of the waves below."""


def _needed_worker():
    """Build a worker whose two long-running tasks may not end together."""
    worker, _ledger = build.busy_worker('w-a', tasks=2, is_long_running=True)
    return worker


def _silent_worker():
    worker, _ledger = build.busy_worker('w-a')
    worker.silent_since_s = 5.0
    return worker


@pytest.mark.parametrize('now_s', (10.0, 58.0, LATE_S))
@pytest.mark.parametrize(
    'worker, bounds',
    (
        (_needed_worker, {}),
        (_silent_worker, {}),
        (lambda: build.busy_worker('w-a')[0], {'hold': True}),
        (
            lambda: build.busy_worker('w-a')[0],
            {'min_up': {utils_jobs.POOL: 1}},
        ),
    ),
    ids=('needed', 'silent', 'held', 'not-spared'),
)
def test_machine_that_new_tasks_do_not_keep_up_is_not_closed(
    worker, bounds, now_s
):
    """Guards against tasks that wait for a machine that can't go down."""
    progress = build.progress('a')
    decision = build.decide(
        progress, build.machines('a'), {'a': worker()}, now_s, **bounds
    )
    assert not decision.order and not decision.close


def test_machine_that_can_not_go_down_is_not_closed_while_others_are_down():
    progress = build.progress('a', 'b')
    progress.begun.add('b')
    progress.down['b'] = rolling.MaintenanceOrder('w-b', 9.0, taken=True)
    workers = {'a': _needed_worker()}
    decision = build.decide(progress, build.machines('a', 'b'), workers)
    assert decision.waits['a'] == 'others are down' and not decision.close


def test_machine_is_closed_for_a_limited_time():
    """Guards against tasks that wait for long work, or a slot, to end."""
    progress = build.progress('a')
    rolling.update_closed(progress, {'a'}, 10.0)
    assert progress.closed == {'a'}
    rolling.update_closed(progress, {'a'}, 10.0 + rolling.MAX_CLOSED_S)
    assert progress.closed == {'a'}
    for later_s in (0.1, 60.0):
        at_s = 10.0 + rolling.MAX_CLOSED_S + later_s
        rolling.update_closed(progress, {'a'}, at_s)
        assert not progress.closed
    rolling.update_closed(progress, set(), 90.0)
    rolling.update_closed(progress, {'a'}, 91.0)
    assert progress.closed == {'a'}


def _leader(*names):
    """Build a leader with a worker on each machine."""
    leader = build.leader(*names)
    for name in names:
        worker = utils_jobs.worker(f'w-{name}', machine=name)
        leader.workers[worker.entry.worker] = worker
    return leader


def _closed(leader):
    closing.update(leader)
    return {row.entry.machine for row in leader.workers.values() if row.closed}


def test_wave_that_is_changed_or_completed_leaves_no_machine_closed():
    """Guards against a mark that only its own wave takes back."""
    leader = _leader('a', 'b')
    first, second = build.progress('a', 'b'), build.progress('b')
    leader.fleet.waves = {1: first, 2: second}
    first.closed = {'a', 'b'}
    assert _closed(leader) == {'a', 'b'}
    first.wave = fleet.Wave(1, ('b',), 60.0, 1)
    rolling.update_closed(first, {'b'}, 10.0)
    assert _closed(leader) == {'b'}
    second.closed = {'b'}
    first.completed = True
    assert _closed(leader) == {'b'}
    second.completed = True
    assert not _closed(leader)


def test_machine_that_was_ordered_down_is_closed_until_it_is_back():
    leader = _leader('a')
    progress = build.progress('a')
    leader.fleet.waves = {1: progress}
    progress.begun.add('a')
    progress.down['a'] = rolling.MaintenanceOrder('w-a', 9.0, taken=True)
    assert _closed(leader) == {'a'}
    worker = utils_jobs.worker('next', machine='a')
    leader.workers[worker.entry.worker] = worker
    closing.update(leader)
    assert not worker.closed


def test_old_list_of_machines_leaves_none_closed(monkeypatch):
    """Guards against machines closed while the platform gives no list."""
    platform = build.install_platform(monkeypatch)
    leader, progress = _leader('a'), build.progress('a')
    leader.fleet.waves = {1: progress}
    progress.closed = {'a'}
    assert _closed(leader) == {'a'}
    leader.fleet.machines_read_s = platform.s - 1.0
    curio.run(fleet_loop._advance, leader, progress)
    assert not _closed(leader)


MOVES = {
    'done': (machine_calls.Outcome.DONE, True),
    'refused': (machine_calls.Outcome.BUSY, False),
    'in-doubt': (
        errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'reset'),
        True,
    ),
}


@pytest.mark.parametrize('answer, closes', MOVES.values(), ids=MOVES)
def test_machine_that_moves_is_closed_for_a_limited_time(
    monkeypatch, answer, closes
):
    """Guards against a worker closed for good by a move that did nothing."""
    platform = build.install_platform(monkeypatch)
    platform.answers.append(answer)
    leader = _leader('a')
    leader.server.settings.move_s = 1.5
    (worker,) = leader.workers.values()
    monkeypatch.setattr(
        states, 'latest_incarnation', lambda leader_, name: worker
    )
    move = rebalancing.Move('a', 'drafts', 'finals', 'short')
    curio.run(pool_loop._send_move, leader, move)
    assert _closed(leader) == ({'a'} if closes else set())
    platform.s += 1.5 + rolling.CYCLE_SLACK_S
    assert not _closed(leader)


def test_wave_that_ends_late_is_counted_once(monkeypatch):
    """Operators see a wave that can't end, and what it waits for."""
    progress = build.progress('a', 'b')
    progress.waits = {'a': 'its long-running tasks are needed'}
    count = server_metrics.LATE_WAVES._value.get
    before = count()
    for now_s in (10.0, LATE_S, LATE_S + 1.0):
        fleet_loop._log_late(progress, now_s)
    assert count() == before + 1


@pytest.mark.parametrize('left_s, late', ((3.0, False), (-5.4, True)))
def test_status_tells_that_a_wave_is_late(left_s, late):
    wave = messages.WaveRow(1, 3, 2, 0, False, {'m-0': 'up'}, left_s)
    line = text._wave(wave).splitlines()[0]
    assert line.endswith(', 5 s late') is late
