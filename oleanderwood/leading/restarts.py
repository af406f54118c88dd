"""Executors that restart under the same id, and what becomes of their runs."""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.leading import losses as losses_
from oleanderwood.leading import state as states
from oleanderwood.pools import fences
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_


def is_earlier(worker: workers_.Worker, sent_s: float) -> bool:
    """Return whether an incarnation is earlier than one that answers a call.

    It is earlier if it was known, and had last answered, before the call was
    sent: the other one was alive after that. If answers cross, the order stays
    open until the next call.
    """
    return worker.first_contact_s <= sent_s and worker.clock_at_s <= sent_s


def supersede_earlier(
    leader: states.Leader,
    worker: workers_.Worker,
    report: reports.Report,
    sent_s: float,
) -> list[workers_.RunName]:
    """Supersede earlier incarnations of an executor by one that has answered.

    The caller processes the report in the same step, without awaiting
    anything: in between, tasks that run here could be started elsewhere.

    :return: runs that the worker has to refuse
    """
    others = states.incarnations_of(
        leader, incarnations.executor_of(worker.entry.worker)
    )
    if len(others) < 2 or not states.holds_lease(leader):
        return []
    refused = []
    for previous in others:
        if previous is worker or not is_earlier(previous, sent_s):
            continue
        refused += _supersede(leader, previous, worker, report)
    return refused


def _supersede(
    leader: states.Leader,
    previous: workers_.Worker,
    worker: workers_.Worker,
    report: reports.Report,
) -> list[workers_.RunName]:
    previous.gone = True
    runs = len(previous.runs)
    losses = losses_.record(leader, previous)
    refused = workers_.transfer_runs(
        leader.ledger, previous, worker, report, clock.now_s()
    )
    event_log.emit(
        'worker',
        'restarted',
        worker=previous.entry.worker,
        life=worker.entry.worker,
        runs=runs,
        moved=len(worker.runs),
        refused=len(refused),
        **losses_.log_fields(losses),
    )
    forget(leader, previous)
    leader.ended_incarnations.append(previous)
    return refused


def forget(leader: states.Leader, worker: workers_.Worker) -> None:
    """Drop the state of an incarnation that has ended."""
    name = worker.entry.worker
    executor = incarnations.executor_of(name)
    leader.workers.pop(name, None)
    leader.speeds.pop(name, None)
    leader.last_report_s.pop(name, None)
    known = leader.incarnations.get(executor, {})
    known.pop(name, None)
    if not known:
        leader.incarnations.pop(executor, None)
        fences.forget(leader.fences, executor, clock.now_s())
    leader.unwritten_worker_lists.add(worker.entry.service)


async def notify_ended(leader: states.Leader) -> None:
    """Wake the loops that wait for incarnations found to have ended."""
    while leader.ended_incarnations:
        previous = leader.ended_incarnations.pop()
        await leader.orders[previous.entry.worker].put(None)
        await leader.worker_lists_changed.set()
        await leader.progress_changed.set()
        await leader.placement_due.set(previous.entry.service)
