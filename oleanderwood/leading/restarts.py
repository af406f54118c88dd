"""Executors that start again under their id, and what became of their runs."""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.leading import losses as losses_
from oleanderwood.leading import state as states
from oleanderwood.pools import fences
from oleanderwood.pools import lives
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_


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


def _end(
    leader: states.Leader,
    former: workers_.Worker,
    worker: workers_.Worker,
    report: reports.Report,
) -> list[workers_.RunName]:
    former.gone = True
    runs = len(former.runs)
    losses = losses_.note(leader, former)
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
        **losses_.told(losses),
    )
    forget(leader, former)
    leader.ended_lives.append(former)
    return refused


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
        fences.forget(leader.fences, executor, clock.now_s())
    leader.roster_dirty.add(worker.entry.service)


async def settle(leader: states.Leader) -> None:
    """Tell those that wait of lives that were found to be over."""
    while leader.ended_lives:
        former = leader.ended_lives.pop()
        await leader.orders[former.entry.worker].put(None)
        await leader.unrostered.set()
        await leader.unkept.set()
        await leader.due.set(former.entry.service)
