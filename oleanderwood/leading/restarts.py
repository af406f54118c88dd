"""Executors that start again under their id, and what became of their runs."""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states
from oleanderwood.pools import blame
from oleanderwood.pools import lives
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

LATELY_S = 10.0
"""Time for which workers that are gone are remembered: those that went
together are found to be gone one after another, the last as leases end."""


def is_before(worker: workers_.Worker, sent_s: float) -> bool:
    """Say whether a life is earlier than one that answers a call.

    It is if it was known, and had last answered, before the call was sent: the
    other one lived after that. Answers that cross leave it open, and the next
    call decides.
    """
    return worker.met_s <= sent_s and worker.clock_at_s <= sent_s


def succeed(
    leader: states.Leader,
    worker: workers_.Worker,
    report: reports.Report,
    sent_s: float,
) -> list[workers_.RunName]:
    """End the earlier lives of the executor whose life has answered.

    Done in one go with what the report tells: between the two, tasks could
    start elsewhere that run here.

    :return: runs that the worker is to refuse
    """
    others = states.lives_of(leader, lives.executor(worker.entry.worker))
    if len(others) < 2 or not states.holds_lease(leader):
        return []
    refused = []
    for former in others:
        if former is worker or not is_before(former, sent_s):
            continue
        refused += _end(leader, former, worker, report)
    return refused


def note_crash(
    leader: states.Leader, worker: workers_.Worker, planned: bool = False
) -> list[workers_.Loss]:
    """Note what a worker took along that is gone, and who is to blame.

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


def _end(
    leader: states.Leader,
    former: workers_.Worker,
    worker: workers_.Worker,
    report: reports.Report,
) -> list[workers_.RunName]:
    former.gone = True
    runs = len(former.runs)
    losses = note_crash(leader, former)
    refused = workers_.succeed(
        leader.ledger, former, worker, report, clock.now_s()
    )
    event_log.emit(
        'worker',
        'restarted',
        worker=former.entry.worker,
        life=worker.entry.worker,
        runs=runs,
        moved=len(worker.runs),
        refused=len(refused),
        **told(losses),
    )
    forget(leader, former)
    leader.ended_lives.append(former)
    return refused


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


def forget(leader: states.Leader, worker: workers_.Worker) -> None:
    """Forget a life that is over."""
    name = worker.entry.worker
    executor = lives.executor(name)
    leader.workers.pop(name, None)
    leader.paces.pop(name, None)
    leader.reported_s.pop(name, None)
    known = leader.lives.get(executor, {})
    known.pop(name, None)
    if not known:
        leader.lives.pop(executor, None)
    leader.roster_dirty.add(worker.entry.service)


async def settle(leader: states.Leader) -> None:
    """Tell those that wait of lives that were found to be over."""
    while leader.ended_lives:
        former = leader.ended_lives.pop()
        await leader.orders[former.entry.worker].put(None)
        await leader.unrostered.set()
        await leader.unkept.set()
        await leader.due.set(former.entry.service)
