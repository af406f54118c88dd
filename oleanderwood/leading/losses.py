"""What workers that are gone took along, and who is to blame for it."""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states
from oleanderwood.pools import blame
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

LATELY_S = 10.0
"""Time for which workers that are gone are remembered: those that went
together are found to be gone one after another, the last as leases end."""


def note(
    leader: states.Leader, worker: workers_.Worker, planned: bool = False
) -> list[workers_.Loss]:
    """Note what a worker took along that is gone, and who is to blame.

    A worker that crashes lists no ends: what isn't noted here is started again
    and again, on one worker after the other.

    :param planned: an order ended it, of ours or an earlier leader: nobody is
    """
    now_s = clock.now_s()
    losses = workers_.note_losses(worker, now_s)
    # One that is about to be ordered may crash before, as may one that drains.
    if planned or (worker.entry.draining and blame.is_settled(losses)):
        return losses
    common = _went_with_others(leader, worker, now_s)
    for task in blame.put_down(leader.ledger, losses, common, now_s):
        entry = task.group.entry
        server_metrics.SUSPICIONS.labels(entry.state.value).inc()
        event_log.emit(
            'run',
            'suspected',
            task=task.name,
            worker=worker.entry.worker,
            crashes=len(isolation.crashes_of(task)),
            given_up=ledgers.final(entry),
            why=entry.cause,
        )
    return losses


def _went_with_others(
    leader: states.Leader, worker: workers_.Worker, now_s: float
) -> bool:
    """Say whether a worker went as others did, known to be gone or silent."""
    gone_s = now_s if worker.silent_since_s is None else worker.silent_since_s
    lately = {
        name: at_s
        for name, at_s in leader.lately_gone.items()
        if at_s > now_s - LATELY_S
    }
    others = lately | {
        other.entry.worker: other.silent_since_s
        for other in leader.workers.values()
        if other.silent_since_s is not None
    }
    others.pop(worker.entry.worker, None)
    leader.lately_gone = lately | {worker.entry.worker: gone_s}
    return blame.is_common(gone_s, others.values())


def told(losses: list[workers_.Loss]) -> dict[str, dict[str, list[int]]]:
    """Give what the log tells of runs that a worker took along.

    By task: how old the run was in milliseconds, -1 if that isn't known, and
    how many runs of the task were lost so. The two tell a task that crashes
    its workers from those that were beside it.
    """
    return {
        'lost': {row.task.name: [_age_ms(row), row.losses] for row in losses}
    }


def _age_ms(row: workers_.Loss) -> int:
    return -1 if row.age_s is None else round(row.age_s * 1000)
