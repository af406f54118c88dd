"""Runs lost with workers that are gone, and the tasks blamed for it."""

import dataclasses

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import crash_backoff
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states
from oleanderwood.pools import blame
from oleanderwood.pools import incarnations
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

RECENT_S = 10.0
"""Time for which workers that are gone are remembered: those that failed
together are found to be gone one after another, the last ones as their leases
end."""

MAX_STORAGE_WAIT_S = 1.0
"""Time since the store's last answer for which a task waits until the store
holds its crash, long enough for two attempts to write it. While the store is
away, the task starts without."""

MAX_WORKERS_LOGGED = 5
"""Largest number of workers named in a log line on a crash."""


def record(
    leader: states.Leader, worker: workers_.Worker, planned: bool = False
) -> list[workers_.Loss]:
    """Record the runs lost with a worker, and blame tasks for its crash.

    A worker that crashes reports no ends: unless its tasks are blamed here, a
    task that crashes its workers is started on one worker after another.

    :param planned: an order of this or an earlier leader ended the worker, so
        that no task is to blame
    """
    now_s = clock.now_s()
    losses = workers_.record_losses(worker, now_s)
    # A worker that drains, or is about to be ordered down, may crash first.
    if planned or (worker.entry.draining and blame.are_settled(losses)):
        return losses
    leader.recently_gone = {
        name: row
        for name, row in leader.recently_gone.items()
        if row.at_s > now_s - RECENT_S
    }
    name = worker.entry.worker
    departure = _departure(worker, now_s)
    others = _others_gone(leader, name, departure)
    common = blame.has_common_cause(departure, others.values())
    in_unrest = _is_in_unrest(leader, worker)
    _remember(leader, worker, departure)
    _reconsider_crashes(leader, losses)
    suspected = blame.attribute(
        leader.ledger, losses, common, now_s, in_unrest=in_unrest
    )
    due_s = leader.server.store_contact_s + MAX_STORAGE_WAIT_S
    for row in losses:
        row.task.group.entry.crash_storage_due_s = due_s
    if losses:
        event_log.emit(
            'worker',
            'crash-attributed',
            worker=name,
            common=common,
            gone_together=_gone_together(departure, others),
            in_unrest=in_unrest,
            blamed=_blamed(losses),
        )
    for task in suspected:
        _log_suspicion(worker, task)
    return losses


def _log_suspicion(worker: workers_.Worker, task: ledgers.Task) -> None:
    entry = task.group.entry
    server_metrics.SUSPICIONS.labels(entry.state.value).inc()
    event_log.emit(
        'run',
        'suspected',
        task=task.name,
        worker=worker.entry.worker,
        crashes=len(isolation.crashes_of(task)),
        given_up=ledgers.is_final(entry),
        why=entry.cause,
    )
    if not ledgers.is_final(entry) and isolation.is_kept_apart(task):
        server_metrics.CRASH_LOOPS.inc()
        event_log.emit(
            'run',
            'kept-apart',
            task=task.name,
            worker=worker.entry.worker,
            crashes=task.crash_count,
            backoff_s=crash_backoff.backoff_s(task),
        )


def _blamed(losses: list[workers_.Loss]) -> dict[ids.TaskId, list[int]]:
    """Return the log field on tasks blamed for a crash, by task.

    The attempt, the age recorded for it in milliseconds and by how much that
    may be too high, 1 if the run was isolated, and the points against the task
    so far.
    """
    found = {}
    for row in losses:
        crash = row.task.crashes.get(row.task.run.attempt)
        if crash is not None:
            points = crashes_.points_of(
                isolation.crashes_of(row.task).values()
            )
            found[row.task.name] = [
                crash.attempt,
                crash.age_ms,
                crash.doubt_ms,
                int(crash.isolated),
                points,
            ]
    return found


def _reconsider_crashes(
    leader: states.Leader, losses: list[workers_.Loss]
) -> None:
    """Weigh earlier isolated crashes of lost tasks by what is known by now.

    Workers that fail together are found to be gone one after another, some of
    them after the crash of the first one has been attributed. A crash at the
    age of earlier ones is left as it is, and workers that their own runs may
    have crashed don't count: tasks that crash workers do so together.
    """
    for task in _lost_members(losses):
        for attempt, crash in list(task.crashes.items()):
            name = task.crashed_workers.get(attempt, '')
            departure = leader.recently_gone.get(name)
            if departure is None or not crash.isolated or departure.on_trial:
                continue
            others = {
                other: row
                for other, row in _others_gone(leader, name, departure).items()
                if blame.has_outside_cause(row)
            }
            if blame.has_common_cause(departure, others.values()):
                isolation.mark_common(leader.ledger, task, attempt)
                event_log.emit(
                    'worker',
                    'crash-reconsidered',
                    worker=name,
                    task=task.name,
                    attempt=attempt,
                    gone_together=_gone_together(departure, others),
                )


def _lost_members(losses: list[workers_.Loss]) -> list[ledgers.Task]:
    """Return the lost tasks, and all members of their gangs."""
    found = {}
    for row in losses:
        group = row.task.group
        for task in group.tasks if group.step.gang else [row.task]:
            found[task.name] = task
    return list(found.values())


def _others_gone(
    leader: states.Leader, name: ids.VmId, departure: blame.Departure
) -> dict[ids.ExecutorId, blame.Departure]:
    """Return others that failed with a worker, perhaps for the same cause.

    Others count if they are gone, or silent at present, unless their machine
    was ordered down: machines are moved, many at once. Of the incarnations of
    an executor only one can have failed at that moment.
    """
    now_s = clock.now_s()
    others = leader.recently_gone | {
        other.entry.worker: _departure(other, now_s)
        for other in leader.workers.values()
        if other.silent_since_s is not None
        and not other.closed
        and blame.may_be_same_moment(departure, _dated(other, now_s))
    }
    found = {
        incarnations.executor_of(other): row
        for other, row in others.items()
        if blame.may_share_cause(departure, row)
    }
    found.pop(incarnations.executor_of(name), None)
    return found


def _departure(worker: workers_.Worker, now_s: float) -> blame.Departure:
    """Return how a worker went down that is gone or silent.

    What ran on a worker that hasn't answered this leader isn't known.
    """
    departure = _dated(worker, now_s)
    losses = workers_.losses_if_gone(worker, now_s)
    return dataclasses.replace(
        departure,
        unexplained=worker.fenced and not blame.is_explained(losses),
        on_trial=blame.crashed_on_trial(worker, departure.at_s),
        early=blame.may_have_early_run(worker, departure.at_s),
    )


def _dated(worker: workers_.Worker, now_s: float) -> blame.Departure:
    """Return when a worker went down that is gone or silent.

    For one that hasn't answered this leader, no earliest time is known.
    """
    after_s, at_s = workers_.gone_between_s(worker, now_s)
    if not worker.fenced:
        after_s = at_s
    return blame.Departure(after_s, at_s, unexplained=False)


def _gone_together(
    departure: blame.Departure, others: dict[ids.ExecutorId, blame.Departure]
) -> dict[ids.ExecutorId, list[int]]:
    """Return the log field on workers that failed together with one.

    By executor: after how many milliseconds it failed at the earliest and at
    the latest.
    """
    named = list(others.items())[:MAX_WORKERS_LOGGED]
    return {
        name: [
            round((row.after_s - departure.at_s) * 1000),
            round((row.at_s - departure.at_s) * 1000),
        ]
        for name, row in named
    }


def _is_in_unrest(leader: states.Leader, worker: workers_.Worker) -> bool:
    """Return whether other executors failed recently without explanation."""
    executors = {
        incarnations.executor_of(name)
        for name, row in leader.recently_gone.items()
        if row.unexplained
    }
    executors.discard(incarnations.executor_of(worker.entry.worker))
    return blame.are_in_unrest(len(executors), len(leader.workers))


def _remember(
    leader: states.Leader,
    worker: workers_.Worker,
    departure: blame.Departure,
) -> None:
    """Remember that a worker failed.

    The time at which one failed that hasn't answered this leader isn't known;
    its entry may have been written once more afterwards.
    """
    name = worker.entry.worker
    if worker.fenced:
        leader.recently_gone[name] = departure
    else:
        leader.recently_gone.setdefault(name, departure)


def log_fields(losses: list[workers_.Loss]) -> dict[str, dict[str, list[int]]]:
    """Return the log fields on runs lost with a worker.

    By task: the run's age in milliseconds, -1 if it is not known, and how many
    runs of the task were lost this way. Together they distinguish a task that
    crashes its workers from tasks that ran beside it.
    """
    return {
        'lost': {row.task.name: [_age_ms(row), row.losses] for row in losses}
    }


def _age_ms(row: workers_.Loss) -> int:
    return -1 if row.age_s is None else round(row.age_s * 1000)
