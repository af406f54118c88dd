"""Lease renewals of a worker and the processing of its reports."""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import late_orders
from oleanderwood.leading import losses as losses_
from oleanderwood.leading import previous_leaders
from oleanderwood.leading import registration
from oleanderwood.leading import relocating
from oleanderwood.leading import restarts
from oleanderwood.leading import slow_workers
from oleanderwood.leading import state as states
from oleanderwood.platform import executors
from oleanderwood.pools import pacing
from oleanderwood.pools import reports
from oleanderwood.pools import stalls
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts

BUSY_WAIT_MS = 1000
"""Longest time for which a worker with runs holds a renewal open while it
waits for a run to end; also the longest interval between two renewals, a fifth
of a lease."""

IDLE_WAIT_MS = 2000
"""Like ``BUSY_WAIT_MS``, for a worker without runs; the longest wait that the
platform allows."""

STARTING_WAIT_MS = 200
"""Like ``BUSY_WAIT_MS``, while a long-running task is starting up: maintenance
takes the next machine of its step only once the task is known to be
serving."""

LOSSY_WAIT_MS = 150
"""Like ``BUSY_WAIT_MS``, while calls are being lost: a lost call cannot be
told from a worker that has nothing to report."""

LOSSY_TIMEOUT_S = 0.3
"""Timeout of a call while calls are being lost. A call normally takes 2 ms,
and 10 ms if this server's machine is slowed down."""

LOSSY_S = 8.0
"""Time after an unanswered call for which calls are taken to be lossy. So many
calls are made in this time that a loss of one in twenty is seen again."""

TIMER_LAG_FACTOR = 4.0
"""Extension of call timeouts, as a multiple of the lag of this server's own
timers: an answer that has arrived is read only once its task is scheduled, and
its timeout must not be handled before that."""

REPLACED = 'another worker answers at its address'
"""Reason logged for a worker that is gone or silent as its address now belongs
to another worker."""

RESTARTED = 'another incarnation of its executor answers'
"""Reason logged for a worker that counts as silent as its executor has
restarted."""

STALE_CONNECTION_S = 0.005
"""A call that fails within this time used a connection that was closed before
the call began."""

SILENT_PAUSE_S = 0.2
"""Pause between calls to a worker that does not answer, and between calls
while the leader may not act."""

PERSIST_WAIT_S = 0.25
"""Longest wait for ends of runs to be persisted before the next renewal. A
worker that lists unacknowledged ends answers at once, so that without this
wait it would be polled without a pause."""

JUST_ANSWERED_S = 2 * PERSIST_WAIT_S
"""Age of a worker's last answer up to which a renewal acknowledges ends. A
leader that could not act, or was suspended, renews once without doing so."""


async def renew_always(leader: states.Leader, worker: workers_.Worker) -> None:
    """Renew a worker's lease and process its reports until it is gone."""
    while not worker.gone and not leader.deposed:
        lossy = _is_lossy(leader)
        if not states.may_act(leader):
            await _send_fence(leader, worker)
            await curio.sleep(SILENT_PAUSE_S)
            continue
        first = worker.silent_since_s is None
        longest_ms = longest_wait_ms(worker, lossy)
        answered = await renew_once(
            leader, worker, longest_ms, acknowledge=True
        )
        if not answered:
            # The first call that fails is repeated without a pause.
            await curio.sleep(0 if first else SILENT_PAUSE_S)
        elif worker.seen_end > worker.stored_end:
            await leader.progress_changed.set()
            wake = leader.ends_stored[worker.entry.worker]
            await wake.wait(PERSIST_WAIT_S)


async def _send_fence(leader: states.Leader, worker: workers_.Worker) -> None:
    """Send a worker this term's fence while the leader may not act.

    The executor may restart meanwhile, and there may be no other leader: its
    next incarnation would carry out orders of earlier terms. The report is
    ignored, as another server may have newer state.
    """
    fence = states.fence_of(leader, worker)
    longest_ms = longest_wait_ms(worker, lossy=False)
    order = reports.Renewal(fence, longest_wait_ms=longest_ms)
    try:
        report = await executors.renew(leader.calls, worker.entry, order)
    except executors.Fenced:
        await handle_fenced(leader, worker, fence)
    except (errors.CallFailed, executors.Replaced) as error:
        record_silence(worker, str(error))
        await late_orders.suspect_unreached(leader, worker)
    else:
        if not _is_from(worker, report):
            record_silence(worker, RESTARTED)


def _is_from(worker: workers_.Worker, report: reports.Report) -> bool:
    """Return whether a report is from the incarnation that was called."""
    return report.worker in ('', worker.entry.worker)


def longest_wait_ms(worker: workers_.Worker, lossy: bool) -> int:
    """Return how long a worker may wait for the end of a run to answer."""
    if not worker.fenced or worker.silent_since_s is not None:
        return 0
    if not worker.runs:
        return IDLE_WAIT_MS
    if lossy:
        return LOSSY_WAIT_MS
    return STARTING_WAIT_MS if _has_task_starting(worker) else BUSY_WAIT_MS


def _has_task_starting(worker: workers_.Worker) -> bool:
    """Return whether a long-running task there is not known to be serving."""
    return any(
        task.group.step.is_long_running
        and task.run is not None
        and task.run.serving_since_s is None
        for task in worker.runs.values()
    )


def _is_lossy(leader: states.Leader) -> bool:
    lossy = clock.now_s() < leader.lossy_until_s
    leader.calls.timeout_s = timeout_s(lossy, leader.timer_lateness.late_s)
    return lossy


def timeout_s(lossy: bool, late_s: float) -> float:
    """Return the timeout of an order.

    :param lossy: calls are being lost
    :param late_s: the lag of this server's own timers
    """
    base_timeout_s = LOSSY_TIMEOUT_S if lossy else executors.ORDER_TIMEOUT_S
    return base_timeout_s + TIMER_LAG_FACTOR * late_s


async def handle_failed_order(
    leader: states.Leader, worker: workers_.Worker, error: errors.CallFailed
) -> None:
    """Raise the fence after a failed order that may be carried out later.

    That may be seconds later. Once the worker, or the next incarnation of its
    executor, has answered a later call, it refuses the order.
    """
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return
    states.raise_fence(leader, worker)
    await late_orders.record_unanswered(leader, worker)
    event_log.emit(
        'worker',
        'fence-raised',
        worker=worker.entry.worker,
        why=error.reason,
        term=leader.term,
        fence_number=states.fence_number(leader, worker),
    )


def note_unanswered(leader: states.Leader, error: errors.CallFailed) -> None:
    """Treat calls as lossy for a while after one that got no answer.

    A closed connection does not count: it is noticed at once, and each machine
    that moves closes one.
    """
    if isinstance(error, errors.Unanswered):
        leader.lossy_until_s = clock.now_s() + LOSSY_S
        _is_lossy(leader)


async def renew_once(
    leader: states.Leader,
    worker: workers_.Worker,
    longest_wait_ms: int,
    acknowledge: bool = False,
) -> bool:
    """Renew a worker's lease once, and return whether it answered.

    A leader that may not act, for example after it was suspended, requests a
    report without extending the lease: the next leader waits only for leases
    given before its election.

    :param longest_wait_ms: how long the worker may wait for the end of a run
    :param acknowledge: let the worker discard persisted ends, provided that it
        has just answered: an incarnation of its executor that is not known yet
        would discard its own first ends before they are read
    """
    if worker.gone:
        return False
    sent_s = clock.now_s()
    lease_end_ms = None
    is_answering = worker.fenced and worker.silent_since_s is None
    if is_answering and worker.runs and states.may_act(leader):
        lease_end_ms = new_lease_end_ms(leader, worker, sent_s)
        workers_.record_lease(worker, lease_end_ms)
    just_answered = sent_s - worker.clock_at_s <= JUST_ANSWERED_S
    acknowledged = 0
    if is_answering and acknowledge and just_answered:
        acknowledged = worker.stored_end
    fence = states.fence_of(leader, worker)
    order = reports.Renewal(fence, acknowledged, lease_end_ms, longest_wait_ms)
    try:
        report = await executors.renew(leader.calls, worker.entry, order)
    except executors.Fenced:
        await handle_fenced(leader, worker, fence)
        return False
    except executors.Replaced:
        await handle_replaced(leader, worker)
        return False
    except errors.CallFailed as error:
        if lease_end_ms is not None or acknowledged:
            await handle_failed_order(leader, worker, error)
        note_unanswered(leader, error)
        record_silence(worker, error.reason, _silent_from_s(error, sent_s))
        await late_orders.suspect_unreached(leader, worker)
        return False
    if _is_from(worker, report):
        await process_report(leader, worker, report, sent_s)
        return True
    await _process_other_report(leader, worker, report, sent_s)
    return False


async def _process_other_report(
    leader: states.Leader,
    called: workers_.Worker,
    report: reports.Report,
    sent_s: float,
) -> None:
    """Process a report of an incarnation other than the one called.

    The report makes that incarnation known. Its own entry in the store may
    arrive seconds later, and until then it gets no tasks.
    """
    if called.gone or not restarts.is_earlier(called, sent_s):
        return
    if not states.holds_lease(leader):
        # As in ``mark_gone``: a later leader may have recorded an end there.
        record_silence(called, RESTARTED)
        return
    worker = leader.workers.get(report.worker)
    if worker is None:
        entry = msgspec.structs.replace(called.entry, worker=report.worker)
        worker = await registration.register(
            leader, entry, listed=False, provisional=True
        )
    await process_report(leader, worker, report, sent_s)


def new_lease_end_ms(
    leader: states.Leader, worker: workers_.Worker, now_s: float
) -> float:
    """Return the end of a lease given now, by the worker's own clock in ms."""
    lease_s = states.task_lease_s(leader.server.settings)
    return workers_.clock_now_ms(worker, now_s) + lease_s * 1000


async def process_report(
    leader: states.Leader,
    worker: workers_.Worker,
    report: reports.Report,
    sent_s: float,
) -> None:
    """Process a worker's report, unless it answers an older call."""
    name = worker.entry.worker
    if worker.gone or sent_s < leader.last_report_s.get(name, 0.0):
        return
    leader.last_report_s[name] = sent_s
    now_s = clock.now_s()
    # No other coroutine may run from here until take_report returns: a task of
    # an earlier incarnation that runs here could be started elsewhere.
    refused = restarts.supersede_earlier(leader, worker, report, sent_s)
    if not worker.fenced:
        longest_s = previous_leaders.max_lease_s(leader)
        worker.lease_end_s = min(worker.lease_end_s, now_s + longest_s)
    is_back = not worker.fenced or worker.silent_since_s is not None
    if is_back:
        event_log.emit(
            'worker',
            'answers',
            worker=name,
            service=worker.entry.service,
            first=not worker.fenced,
            running=len(report.running),
            ended=len(report.ended),
        )
    workers_.record_answer(worker, report, now_s)
    known = states.known_queues(leader)

    def most_attempts(entry: ledgers.Entry) -> int:
        return urgency.queue_of(entry, known).most_attempts

    outcome = workers_.process_report(
        leader.ledger, worker, report, sent_s, now_s, most_attempts
    )
    if is_back:
        await leader.placement_due.set(worker.entry.service)
    await restarts.notify_ended(leader)
    for run_event in outcome.events:
        server_metrics.ENDS.labels(run_event.event).inc()
        event_log.emit(
            'run',
            run_event.event,
            task=run_event.task,
            attempt=run_event.attempt,
            worker=name,
            why=run_event.why,
            term=leader.term,
        )
    slow_workers.record_lengths(leader, worker, outcome.lengths, now_s)
    for stop in [*refused, *outcome.stops]:
        order = states.StopOrder(stop.task, stop.attempt)
        await leader.orders[name].put(order)
    for task in outcome.stop_elsewhere:
        await stop_run(leader, task)
    if leader.ledger.dirty:
        await leader.progress_changed.set()
        await stop_ended_jobs(leader)
    for pace in pacing.decide(worker):
        await leader.orders[name].put(
            states.PaceOrder(pace.task, pace.percent)
        )
    for task in stalls.stalled_tasks(worker, now_s):
        await _give_up_stalled(leader, worker, task)
    leaving = slow_workers.tasks_to_move(leader, worker, now_s)
    for task in leaving + relocating.tasks_to_move(leader, worker, now_s):
        task.failed_on = name
        await stop_run(leader, task)
    if outcome.changed:
        await leader.placement_due.set(worker.entry.service)


async def _give_up_stalled(
    leader: states.Leader, worker: workers_.Worker, task: ledgers.Task
) -> None:
    event_log.emit(
        'run',
        'stalled',
        task=task.name,
        attempt=task.run.attempt,
        worker=worker.entry.worker,
        percent=task.run.percent,
    )
    worker.stalled += 1
    task.failed_on = worker.entry.worker
    await stop_run(leader, task)


async def stop_ended_jobs(leader: states.Leader) -> None:
    """Stop the runs of jobs that have ended."""
    for entry in list(leader.ledger.dirty.values()):
        if ledgers.is_final(entry):
            for task in list(ledgers.runs(entry)):
                await stop_run(leader, task)


def _silent_from_s(error: errors.CallFailed, sent_s: float) -> float | None:
    """Return since when a worker may have been silent, by a call's failure.

    A connection that is closed during the call gives the exact time. One that
    cannot be opened, or stays unanswered, gives none.
    """
    sent = error.verdict is not verdicts.Verdict.NOT_RUN
    if not sent or isinstance(error, errors.Unanswered):
        return None
    now_s = clock.now_s()
    return now_s if now_s - sent_s > STALE_CONNECTION_S else None


def record_silence(
    worker: workers_.Worker, why: str, after_s: float | None = None
) -> None:
    """Record that a worker does not answer.

    :param after_s: earliest time since when it may be silent; None: since its
        last answer
    """
    if worker.silent_since_s is None:
        worker.silent_since_s = clock.now_s()
        worker.silent_after_s = worker.clock_at_s
        if after_s is not None:
            worker.silent_after_s = after_s
        event_log.emit(
            'worker',
            'silent',
            worker=worker.entry.worker,
            why=why,
            runs=len(worker.runs),
            closed=worker.closed,
            lease_left_s=round(worker.lease_end_s - clock.now_s(), 2),
        )


async def handle_fenced(
    leader: states.Leader, worker: workers_.Worker, fence: ids.Fence
) -> bool:
    """Handle an order that a worker has refused because of its fence.

    :return: True if the order may be sent again, as a later call of this
        leader superseded it; otherwise another server leads, and the term ends
    """
    if states.is_superseded(leader, worker, fence):
        return True
    await states.depose(leader, 'a worker has seen a higher term')
    return False


async def handle_replaced(
    leader: states.Leader, worker: workers_.Worker
) -> None:
    """Handle a worker whose address now belongs to another worker."""
    if not await mark_gone(leader, worker, REPLACED):
        record_silence(worker, REPLACED)


async def mark_gone(
    leader: states.Leader,
    worker: workers_.Worker,
    why: str,
    planned: bool = False,
) -> bool:
    """Mark a worker as gone, and all its runs as lost.

    Do nothing and return False unless the leader's lease is in force: a later
    leader may have recorded an end there, and its task would be started again.
    The caller repeats the call that showed the loss.

    :param planned: an order ended the worker, so that no task is to blame
    """
    if worker.gone:
        return True
    if not states.holds_lease(leader):
        return False
    worker.gone = True
    now_s = clock.now_s()
    losses = losses_.record(leader, worker, planned)
    tasks = workers_.end_all_runs(leader.ledger, worker, now_s)
    event_log.emit(
        'worker',
        'gone',
        worker=worker.entry.worker,
        why=why,
        tasks=[task.name for task in tasks],
        **losses_.log_fields(losses),
    )
    restarts.forget(leader, worker)
    await leader.orders[worker.entry.worker].put(None)
    await leader.worker_lists_changed.set()
    await leader.progress_changed.set()
    await stop_ended_jobs(leader)
    await leader.placement_due.set(worker.entry.service)
    return True


async def stop_run(leader: states.Leader, task: ledgers.Task) -> None:
    """Order the stop of a task's run, unless it was ordered already."""
    run = task.run
    if run is None or run.phase is ledgers.RunPhase.STOPPING:
        return
    if run.phase is ledgers.RunPhase.ORDERED:
        # Its start may be in flight; the run is stopped once that call is
        # answered.
        return
    ledgers.set_phase(run, ledgers.RunPhase.STOPPING, clock.now_s())
    run.stop_answered_s = None
    orders = leader.orders.get(run.worker)
    if orders is not None:
        await orders.put(states.StopOrder(task.name, run.attempt))
