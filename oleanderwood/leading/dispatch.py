"""Sending orders to a worker, one after another."""

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import late_orders
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.platform import executors
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts

REFUSED_PAUSE_S = 0.15
"""Pause before a task that a worker refused is placed again."""

UNHEALTHY_PAUSE_S = 1.0
"""Time for which a worker that reported itself unhealthy gets no tasks."""


async def send_orders(leader: states.Leader, worker: workers_.Worker) -> None:
    """Send a worker's queued orders one after another until it is gone."""
    name = worker.entry.worker
    if leader.workers.get(name) is not worker:
        # It was gone before this loop began; another worker may have its id.
        return
    orders = leader.orders[name]
    while True:
        order = await orders.get()
        if order is None or worker.gone or leader.deposed:
            return
        if isinstance(order, states.StartOrder):
            await _send_start(leader, worker, order.task, order.run)
        elif isinstance(order, states.PaceOrder):
            await _send_pace(leader, worker, order.task, order.percent)
        else:
            await _send_stop(leader, worker, order.task, order.attempt)


async def _send_start(
    leader: states.Leader,
    worker: workers_.Worker,
    task: ledgers.Task,
    run: ledgers.Run,
) -> None:
    if task.run is not run:
        return
    now_s = clock.now_s()
    entry = task.group.entry
    if (
        ledgers.is_final(entry)
        or task.done
        or not _may_start(leader, task)
        or not workers_.accepts(worker, now_s)
        or _was_just_refused(worker, task, now_s)
    ):
        await _requeue_unstarted(leader, worker, task, 'not sent')
        return
    lease_end_ms = worker_loop.new_lease_end_ms(leader, worker, now_s)
    workers_.record_lease(worker, lease_end_ms)
    fence = states.fence_of(leader, worker)
    order = reports.Start(
        task.name,
        run.attempt,
        entry.job.work.text,
        lease_end_ms,
        fence,
        run.checkpoint,
        run.ticket,
    )
    run.sent, run.sent_s = True, now_s
    try:
        refusal = await executors.start(leader.calls, worker.entry, order)
    except errors.CallFailed as error:
        await _start_unanswered(leader, worker, task, run, error)
        return
    except curio.CancelledError:
        # The next leader's log shows the run; this line shows who started it.
        _log_start(leader, worker, task, run, 'left', 'the term has ended')
        states.raise_fence(leader, worker)
        await late_orders.record_unanswered(leader, worker)
        raise
    if refusal is executors.Refusal.FENCED:
        await _start_fenced(leader, worker, task, run, fence)
    else:
        await _start_answered(leader, worker, task, run, refusal)


def _was_just_refused(
    worker: workers_.Worker, task: ledgers.Task, now_s: float
) -> bool:
    """Return whether a worker has just refused a task as large as this one.

    Several orders were decided together by the free capacity it had reported.
    """
    refused_needs = workers_.recent_rejection(worker, now_s)
    needs = task.group.step.needs
    return refused_needs is not None and model.needs_at_least(
        needs, refused_needs
    )


def _may_start(leader: states.Leader, task: ledgers.Task) -> bool:
    """Return whether the leader may start a task now.

    A later leader, if there may be one, may have read the end of a run that
    this leader marked as lost.
    """
    if task.presumed_over and not states.holds_lease(leader):
        return False
    return states.may_act(leader)


async def _start_unanswered(leader, worker, task, run, error) -> None:
    await worker_loop.handle_failed_order(leader, worker, error)
    worker_loop.note_unanswered(leader, error)
    _log_start(leader, worker, task, run, error.verdict.value, error.reason)
    if error.verdict is verdicts.Verdict.NOT_RUN:
        worker_loop.record_silence(worker, error.reason)
        if task.run is run:
            await _requeue_unstarted(leader, worker, task, 'not sent')
        return
    _mark_unconfirmed(task, run)
    # Its executor may have restarted meanwhile.
    executor = incarnations.executor_of(worker.entry.worker)
    for incarnation in states.incarnations_of(leader, executor):
        incarnation.unconfirmed_runs[
            workers_.RunName(task.name, run.attempt)
        ] = None
    await worker_loop.renew_once(leader, worker, 0)


async def _start_answered(leader, worker, task, run, refusal) -> None:
    if refusal is None:
        _log_start(leader, worker, task, run, 'ran', '')
        task.group.entry.has_run = True
        if task.run is run and run.phase is ledgers.RunPhase.ORDERED:
            now_s = clock.now_s()
            ledgers.set_phase(run, ledgers.RunPhase.RUNNING, now_s)
            run.last_progress_s = now_s
            if ledgers.is_final(task.group.entry) or task.done:
                await worker_loop.stop_run(leader, task)
        if isolation.is_on_probation(task):
            wait_s = isolation.probation_s(task)
            await curio.spawn(
                _renew_later, leader, worker, wait_s, daemon=True
            )
        return
    _log_start(leader, worker, task, run, 'refused', refusal.value)
    if refusal is executors.Refusal.REPLACED:
        await worker_loop.handle_replaced(leader, worker)
        _mark_unconfirmed(task, run)
        return
    if refusal is executors.Refusal.NO_TICKET:
        task.group.advised_until_s = 0.0
    if refusal is executors.Refusal.NO_ROOM:
        needs = task.group.step.needs
        workers_.record_rejection(worker, needs, clock.now_s())
    if refusal is executors.Refusal.UNHEALTHY:
        worker.unhealthy_until_s = clock.now_s() + UNHEALTHY_PAUSE_S
    if task.run is run:
        await _requeue_unstarted(leader, worker, task, refusal.value)


async def _start_fenced(leader, worker, task, run, fence) -> None:
    """Repeat a start that a later call of this leader has overtaken."""
    why = executors.Refusal.FENCED.value
    _log_start(leader, worker, task, run, 'refused', why)
    if await worker_loop.handle_fenced(leader, worker, fence):
        await _send_start(leader, worker, task, run)
    else:
        _mark_unconfirmed(task, run)


def _mark_unconfirmed(task: ledgers.Task, run: ledgers.Run) -> None:
    """Mark a start as unconfirmed; its worker is not taken for gone yet.

    The worker can be marked as gone only while the leader's lease is in force.
    """
    if task.run is run and run.phase is ledgers.RunPhase.ORDERED:
        ledgers.set_phase(run, ledgers.RunPhase.UNCONFIRMED, clock.now_s())


async def _renew_later(
    leader: states.Leader, worker: workers_.Worker, after_s: float
) -> None:
    """Renew a worker once a run on probation there should be over.

    Otherwise an idle worker reports nothing for two seconds, while other tasks
    wait.
    """
    await curio.sleep(after_s)
    if leader.deposed:
        return
    try:
        await worker_loop.renew_once(leader, worker, 0)
    except Exception as error:
        event_log.emit('leader', 'fault', why=repr(error))
        await states.depose(leader, f'unexpected exception: {error!r}')


async def _requeue_unstarted(leader, worker, task, why) -> None:
    """Return a task to the queue after a start that certainly did not run."""
    task.not_before_s = clock.now_s() + REFUSED_PAUSE_S
    workers_.end_run(leader.ledger, worker, task, clock.now_s())
    await leader.placement_due.set(worker.entry.service)


def _log_start(leader, worker, task, run, outcome, why) -> None:
    server_metrics.STARTS.labels(outcome).inc()
    event_log.emit(
        'run',
        'start',
        task=task.name,
        attempt=run.attempt,
        worker=worker.entry.worker,
        outcome=outcome,
        why=why,
        term=leader.term,
        fence_number=states.fence_number(leader, worker),
    )


async def _send_stop(leader, worker, task, attempt) -> None:
    fence = states.fence_of(leader, worker)
    try:
        await executors.stop(leader.calls, worker.entry, task, attempt, fence)
    except executors.Fenced:
        if await worker_loop.handle_fenced(leader, worker, fence):
            await _send_stop(leader, worker, task, attempt)
        return
    except executors.Replaced:
        await worker_loop.handle_replaced(leader, worker)
        return
    except errors.CallFailed as error:
        await worker_loop.handle_failed_order(leader, worker, error)
        event_log.emit(
            'run',
            'stop',
            task=task,
            attempt=attempt,
            worker=worker.entry.worker,
            outcome=error.verdict.value,
            why=error.reason,
        )
        return
    event_log.emit(
        'run',
        'stop',
        task=task,
        attempt=attempt,
        worker=worker.entry.worker,
        outcome='ran',
    )
    known = ledgers.find(leader.ledger, task)
    if known is None or not workers_.is_current(worker, known, attempt):
        return
    known.run.stop_answered_s = clock.now_s()
    if leader.orders[worker.entry.worker].empty():
        await worker_loop.renew_once(leader, worker, 0)


async def _send_pace(leader, worker, task, percent) -> None:
    run = task.run
    if run is None or run.worker != worker.entry.worker:
        return
    fence = states.fence_of(leader, worker)
    try:
        await executors.pace(
            leader.calls,
            worker.entry,
            task.name,
            run.attempt,
            percent,
            fence,
        )
    except executors.Fenced:
        if await worker_loop.handle_fenced(leader, worker, fence):
            await _send_pace(leader, worker, task, percent)
        return
    except executors.Replaced as error:
        # The next renewal finds the other worker at the address.
        event_log.emit('run', 'pace-failed', task=task.name, why=str(error))
        return
    except errors.CallFailed as error:
        await worker_loop.handle_failed_order(leader, worker, error)
        event_log.emit('run', 'pace-failed', task=task.name, why=str(error))
        return
    run.pace_percent = percent
    event_log.emit(
        'run',
        'paced',
        task=task.name,
        worker=worker.entry.worker,
        percent=percent,
    )
