"""Relocation of runs that are starved by other runs on their worker."""

from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states
from oleanderwood.pools import advised
from oleanderwood.pools import lengths
from oleanderwood.pools import starvation
from oleanderwood.pools import workers as workers_

STARVED_FOR_S = 2.5
"""Time for which a step counts as starved: longer than the interval between
two reports of a worker, 1 s, plus the delay of a late answer."""

SETTLE_S = 1.5
"""Time until relocated runs show on their new worker; before that, more runs
would leave for the same free capacity."""

MAX_LEFT_S = 1e6
"""Remaining time that is logged for a run that makes no progress at all."""


def tasks_to_move(
    leader: states.Leader, worker: workers_.Worker, now_s: float
) -> list[ledgers.Task]:
    """Return the tasks of a worker that leave it for a better one.

    If there is no better worker for a task, its pool requests another machine.
    """

    def length_of(task: ledgers.Task) -> float:
        entry = task.group.entry
        return lengths.of_job(leader.lengths, entry)[task.group.number]

    rows = starvation.measure(worker, length_of, now_s)
    if not rows:
        return []
    leaving = _choose(leader, worker, rows, now_s)
    leaving_names = {task.name for task in leaving}
    for row in rows:
        group = row.task.group
        if row.task.name in leaving_names:
            _log(worker, row, 'relocated')
            continue
        if group not in leader.starved_until_s:
            _log(worker, row, 'held-back')
        leader.starved_until_s[group] = now_s + STARVED_FOR_S
    return leaving


def _choose(
    leader: states.Leader,
    worker: workers_.Worker,
    rows: list[starvation.StarvedRun],
    now_s: float,
) -> list[ledgers.Task]:
    """Choose the tasks that leave now, and record their relocation."""
    pool = worker.entry.service
    if now_s < leader.last_relocation_s.get(pool, 0.0) + SETTLE_S:
        return []
    # Steps that wait for advice stay. Without this, 10 runs of one task were
    # each stopped in favour of an unsuitable worker while advice was being
    # requested, and began again on the worker they had left.
    known = states.known_queues(leader)
    with_advice = [
        row
        for row in rows
        if not advised.awaits_advice(row.task.group, known, now_s)
    ]
    leaving = starvation.runs_to_relocate(
        with_advice, _other_workers(leader, worker), now_s
    )
    for task in leaving:
        task.relocated += 1
        leader.last_relocation_s[pool] = now_s
    return leaving


def _log(
    worker: workers_.Worker, row: starvation.StarvedRun, event: str
) -> None:
    run = row.task.run
    event_log.emit(
        'run',
        event,
        task=row.task.name,
        attempt=run.attempt,
        worker=worker.entry.worker,
        percent=round(run.percent, 1),
        pace=run.pace_percent,
        left_s=round(min(row.left_s, MAX_LEFT_S), 1),
    )


def _other_workers(
    leader: states.Leader, worker: workers_.Worker
) -> list[workers_.Worker]:
    return [
        row
        for row in leader.workers.values()
        if row.entry.service == worker.entry.service
        and row.is_in_stored_list
        and row is not worker
    ]


def starved_groups(leader: states.Leader, now_s: float) -> list[ledgers.Group]:
    """Return the steps with starved runs; drop those that no longer count."""
    for group, until_s in list(leader.starved_until_s.items()):
        if until_s < now_s or not group.left or ledgers.is_final(group.entry):
            del leader.starved_until_s[group]
    return list(leader.starved_until_s)


def starved_by_pool(
    leader: states.Leader, now_s: float
) -> dict[ids.ServiceId, list[ledgers.Group]]:
    """Return the steps with starved runs, by the pools in which they run."""
    found: dict[ids.ServiceId, list[ledgers.Group]] = {}
    for group in starved_groups(leader, now_s):
        pools = {
            leader.workers[task.run.worker].entry.service: None
            for task in group.tasks
            if task.run is not None and task.run.worker in leader.workers
        }
        for service in pools:
            found.setdefault(service, []).append(group)
    return found
