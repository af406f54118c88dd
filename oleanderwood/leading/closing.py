"""Workers that accept no new tasks, as their machine goes down or moves.

The marks of all workers are derived anew from the present waves and moves, so
that none is left behind when a wave ends, changes or stands still.
"""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import state as states
from oleanderwood.maintenance import rolling
from oleanderwood.pools import incarnations
from oleanderwood.pools import workers as workers_


def update(leader: states.Leader) -> None:
    """Mark workers that accept no new tasks, or are due for maintenance."""
    waves = [
        progress
        for progress in leader.fleet.waves.values()
        if not progress.completed
    ]
    closed = {name for progress in waves for name in progress.closed}
    ordered = {
        order.before
        for progress in waves
        for order in progress.down.values()
        if order.taken
    }
    due = {name for progress in waves for name in _due(progress)}
    moving = _moving(leader)
    executor_of = incarnations.executor_of
    for worker in leader.workers.values():
        name, machine = worker.entry.worker, worker.entry.machine
        worker.maintenance_due = machine in due
        is_closed = (
            machine in closed
            or name in moving
            or (bool(ordered) and executor_of(name) in ordered)
        )
        if is_closed != worker.closed:
            _mark(worker, is_closed)


def _mark(worker: workers_.Worker, is_closed: bool) -> None:
    worker.closed = is_closed
    event_log.emit(
        'worker',
        'closed' if is_closed else 'opened',
        worker=worker.entry.worker,
        machine=worker.entry.machine,
        runs=len(worker.runs),
    )


def _due(progress: rolling.Progress) -> set[str]:
    return set(progress.wave.machines) - progress.begun


def _moving(leader: states.Leader) -> set[ids.VmId]:
    """Return the workers whose machine moves; forget those of the past."""
    now_s = clock.now_s()
    leader.fleet.moving_until_s = {
        name: until_s
        for name, until_s in leader.fleet.moving_until_s.items()
        if now_s < until_s
    }
    return set(leader.fleet.moving_until_s)


def close_for_move(
    leader: states.Leader, worker: workers_.Worker, for_s: float
) -> None:
    """Close a worker, as its machine moves within ``for_s``."""
    until_s = clock.now_s() + for_s
    leader.fleet.moving_until_s[worker.entry.worker] = until_s
    if not worker.closed:
        _mark(worker, True)


def reopen_after_move(leader: states.Leader, worker: workers_.Worker) -> None:
    """Reopen a worker whose machine's move was refused."""
    leader.fleet.moving_until_s.pop(worker.entry.worker, None)
    update(leader)
