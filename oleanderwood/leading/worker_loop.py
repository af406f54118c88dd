"""Renewals of one worker, and what its reports tell."""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import former
from oleanderwood.leading import late_orders
from oleanderwood.leading import losses as losses_
from oleanderwood.leading import meeting
from oleanderwood.leading import relocating
from oleanderwood.leading import restarts
from oleanderwood.leading import slow_workers
from oleanderwood.leading import state as states
from oleanderwood.platform import executors
from oleanderwood.pools import pacing
from oleanderwood.pools import placing
from oleanderwood.pools import reports
from oleanderwood.pools import stalls
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts

BUSY_WAIT_MS = 1000
"""How long a worker with runs waits for an end before it answers; also the
longest time between two renewals, a fifth of a lease."""

IDLE_WAIT_MS = 2000
"""As above for a worker without runs, the most that is allowed."""

STARTING_WAIT_MS = 200
"""As above while a long-running task isn't at work yet: maintenance takes the
next machine of its step once it is known to be."""

WARY_WAIT_MS = 150
"""As above while calls go unanswered: a lost call looks like a worker that has
nothing to tell."""

WARY_TIMEOUT_S = 0.3
"""Longest wait for an answer while calls go unanswered; calm ones take
2 ms, on a machine of ours that is slowed down five times as long."""

WARY_S = 8.0
"""Time for which one unanswered call makes a leader wary; among the calls
of so long a time, one in twenty isn't missed."""

LATE_FACTOR = 4.0
"""How much longer answers are waited for, as a multiple of how late our own
timers are: an answer that has arrived is read only when its turn comes, and
its timeout must not be handled first."""

REPLACED = 'replaced at its address'
"""Why a worker is gone whose address another one answers at."""

RESTARTED = 'another life of its executor answers'
"""Why a worker counts as silent whose executor has started again."""

AT_ONCE_S = 0.005
"""Time within which a connection is found closed that was so before."""

SILENT_PAUSE_S = 0.2
"""Pause between calls to a worker that doesn't answer, or while we may not
act."""

KEEP_PAUSE_S = 0.25
"""Longest wait for ends to be written; a worker that lists ends which aren't
acknowledged answers at once, and would be asked without pause."""

JUST_ANSWERED_S = 2 * KEEP_PAUSE_S
"""Time after a worker's answer in which the next call acknowledges ends. A
leader that could not act, or was suspended, asks again first."""


async def renew_always(leader: states.Leader, worker: workers_.Worker) -> None:
    """Renew a worker's lease and take its reports, until it is gone."""
    while not worker.gone and not leader.deposed:
        wary = _is_wary(leader)
        if not states.may_act(leader):
            await _keep_fenced(leader, worker)
            await curio.sleep(SILENT_PAUSE_S)
            continue
        first = worker.silent_since_s is None
        longest_ms = longest_wait_ms(worker, wary)
        answered = await look(leader, worker, longest_ms, acknowledge=True)
        if not answered:
            # One lost call is asked again at once.
            await curio.sleep(0 if first else SILENT_PAUSE_S)
        elif worker.seen_end > worker.kept_end:
            await leader.unkept.set()
            wake = leader.ends_kept[worker.entry.worker]
            await wake.wait(KEEP_PAUSE_S)


async def _keep_fenced(leader: states.Leader, worker: workers_.Worker) -> None:
    """Let a worker see our fence while we may not act.

    Its executor may start again meanwhile, and nobody else may lead: the next
    life would carry out orders of earlier terms. What it answers isn't taken,
    since another server may know better.
    """
    fence = states.fence_of(leader, worker)
    longest_ms = longest_wait_ms(worker, wary=False)
    order = reports.Renewal(fence, longest_wait_ms=longest_ms)
    try:
        report = await executors.renew(leader.calls, worker.entry, order)
    except executors.Fenced:
        await note_fenced(leader, worker, fence)
    except (errors.CallFailed, executors.Replaced) as error:
        note_silence(worker, str(error))
    else:
        if not _is_of(worker, report):
            note_silence(worker, RESTARTED)


def _is_of(worker: workers_.Worker, report: reports.Report) -> bool:
    """Say whether the life that was called has answered."""
    return report.worker in ('', worker.entry.worker)


def longest_wait_ms(worker: workers_.Worker, wary: bool) -> int:
    """Give how long a worker waits for an end before it answers."""
    if not worker.fenced or worker.silent_since_s is not None:
        return 0
    if not worker.runs:
        return IDLE_WAIT_MS
    if wary:
        return WARY_WAIT_MS
    return STARTING_WAIT_MS if _starts_up(worker) else BUSY_WAIT_MS


def _starts_up(worker: workers_.Worker) -> bool:
    """Say whether a long-running task there isn't known to be at work."""
    return any(
        task.group.step.lasting
        and task.run is not None
        and task.run.at_work_since_s is None
        for task in worker.runs.values()
    )


def _is_wary(leader: states.Leader) -> bool:
    wary = clock.now_s() < leader.wary_until_s
    leader.calls.timeout_s = timeout_s(wary, leader.pulse.late_s)
    return wary


def timeout_s(wary: bool, late_s: float) -> float:
    """Give how long the answer to an order is waited for.

    :param late_s: how late our own timers are
    """
    calm_s = WARY_TIMEOUT_S if wary else executors.ORDER_TIMEOUT_S
    return calm_s + LATE_FACTOR * late_s


async def note_failed_order(
    leader: states.Leader, worker: workers_.Worker, error: errors.CallFailed
) -> None:
    """Note that an order failed; it may be carried out seconds later.

    The next answered call makes the worker refuse it, and so does the first
    one that the next life of its executor answers.
    """
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return
    states.raise_fence(leader, worker)
    await late_orders.note(leader, worker)
    event_log.emit(
        'worker',
        'fence-raised',
        worker=worker.entry.worker,
        why=error.reason,
        term=leader.term,
        fence_number=states.fence_number(leader, worker),
    )


def note_unanswered(leader: states.Leader, error: errors.CallFailed) -> None:
    """Be wary after a call that was sent and got no answer.

    One whose connection was closed is no such call: it is known at once, and
    each machine that moves closes one.
    """
    if isinstance(error, errors.Unanswered):
        leader.wary_until_s = clock.now_s() + WARY_S
        _is_wary(leader)


async def look(
    leader: states.Leader,
    worker: workers_.Worker,
    longest_wait_ms: int,
    acknowledge: bool = False,
) -> bool:
    """Renew once; says whether the worker answered.

    A leader that may not act any more, as it was suspended, only asks: the
    next one waits no longer than for leases given before it was elected.

    :param acknowledge: let it forget ends that are kept, if it has just
        answered: another life of its executor, which nobody has heard of yet,
        would forget its own first ends unread
    """
    if worker.gone:
        return False
    sent_s = clock.now_s()
    lease_end_ms = None
    answers = worker.fenced and worker.silent_since_s is None
    if answers and worker.runs and states.may_act(leader):
        lease_end_ms = new_lease_end_ms(leader, worker, sent_s)
        workers_.note_lease(worker, lease_end_ms)
    just_answered = sent_s - worker.clock_at_s <= JUST_ANSWERED_S
    acknowledged = 0
    if answers and acknowledge and just_answered:
        acknowledged = worker.kept_end
    fence = states.fence_of(leader, worker)
    order = reports.Renewal(fence, acknowledged, lease_end_ms, longest_wait_ms)
    try:
        report = await executors.renew(leader.calls, worker.entry, order)
    except executors.Fenced:
        await note_fenced(leader, worker, fence)
        return False
    except executors.Replaced:
        await note_replaced(leader, worker)
        return False
    except errors.CallFailed as error:
        if lease_end_ms is not None or acknowledged:
            await note_failed_order(leader, worker, error)
        note_unanswered(leader, error)
        note_silence(worker, error.reason, _silent_after_s(error, sent_s))
        return False
    if _is_of(worker, report):
        await take(leader, worker, report, sent_s)
        return True
    await _take_of_another(leader, worker, report, sent_s)
    return False


async def _take_of_another(
    leader: states.Leader,
    meant: workers_.Worker,
    report: reports.Report,
    sent_s: float,
) -> None:
    """Take a report that another life gave than the one that was called.

    That life is met by it: its own entry in the store may come seconds later,
    and until then it gets no tasks.
    """
    if meant.gone or not restarts.is_before(meant, sent_s):
        return
    if not states.holds_lease(leader):
        # As in ``lost``: a later leader may have noted an end there.
        note_silence(meant, RESTARTED)
        return
    worker = leader.workers.get(report.worker)
    if worker is None:
        entry = msgspec.structs.replace(meant.entry, worker=report.worker)
        worker = await meeting.meet(
            leader, entry, listed=False, provisional=True
        )
    await take(leader, worker, report, sent_s)


def new_lease_end_ms(
    leader: states.Leader, worker: workers_.Worker, now_s: float
) -> float:
    lease_s = states.task_lease_s(leader.server.settings)
    return workers_.clock_now_ms(worker, now_s) + lease_s * 1000


async def take(
    leader: states.Leader,
    worker: workers_.Worker,
    report: reports.Report,
    sent_s: float,
) -> None:
    """Take a worker's report, unless it answers an older call."""
    name = worker.entry.worker
    if worker.gone or sent_s < leader.reported_s.get(name, 0.0):
        return
    leader.reported_s[name] = sent_s
    now_s = clock.now_s()
    # From here to the end of take_report nothing else may run: a task of an
    # earlier life could start elsewhere that runs here.
    refused = restarts.succeed(leader, worker, report, sent_s)
    if not worker.fenced:
        longest_s = former.longest_lease_s(leader)
        worker.lease_end_s = min(worker.lease_end_s, now_s + longest_s)
    answers_again = not worker.fenced or worker.silent_since_s is not None
    if answers_again:
        event_log.emit(
            'worker',
            'answers',
            worker=name,
            service=worker.entry.service,
            first=not worker.fenced,
            running=len(report.running),
            ended=len(report.ended),
        )
    workers_.note_answer(worker, report, now_s)
    known = states.known_queues(leader)

    def most_attempts(entry: ledgers.Entry) -> int:
        return placing.queue_of(entry, known).most_attempts

    outcome = workers_.take_report(
        leader.ledger, worker, report, sent_s, now_s, most_attempts
    )
    if answers_again:
        await leader.due.set(worker.entry.service)
    await restarts.settle(leader)
    for note in outcome.notes:
        server_metrics.ENDS.labels(note.event).inc()
        event_log.emit(
            'run',
            note.event,
            task=note.task,
            attempt=note.attempt,
            worker=name,
            why=note.why,
            term=leader.term,
        )
    slow_workers.note_lengths(leader, worker, outcome.lengths, now_s)
    for stop in [*refused, *outcome.stops]:
        order = states.StopOrder(stop.task, stop.attempt)
        await leader.orders[name].put(order)
    for task in outcome.elsewhere:
        await stop_run(leader, task)
    if leader.ledger.dirty:
        await leader.unkept.set()
        await stop_ended_jobs(leader)
    for pace in pacing.decide(worker):
        await leader.orders[name].put(
            states.PaceOrder(pace.task, pace.percent)
        )
    for task in stalls.stalled(worker, now_s):
        await _give_up_stalled(leader, worker, task)
    leaving = slow_workers.to_leave(leader, worker, now_s)
    for task in leaving + relocating.to_leave(leader, worker, now_s):
        task.failed_on = name
        await stop_run(leader, task)
    if outcome.changed:
        await leader.due.set(worker.entry.service)


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
    """Stop what still runs of jobs that have ended."""
    for entry in list(leader.ledger.dirty.values()):
        if ledgers.final(entry):
            for task in list(ledgers.runs(entry)):
                await stop_run(leader, task)


def _silent_after_s(error: errors.CallFailed, sent_s: float) -> float | None:
    """Say from when on a worker may have been silent by a call's failure.

    A connection that is closed while its answer is waited for tells it to the
    moment; one that can't be opened, or isn't answered, doesn't.
    """
    sent = error.verdict is not verdicts.Verdict.NOT_RUN
    if not sent or isinstance(error, errors.Unanswered):
        return None
    now_s = clock.now_s()
    return now_s if now_s - sent_s > AT_ONCE_S else None


def note_silence(
    worker: workers_.Worker, why: str, after_s: float | None = None
) -> None:
    """Note that a worker doesn't answer.

    :param after_s: from when on it may have been so; None: its last answer
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


async def note_fenced(
    leader: states.Leader, worker: workers_.Worker, fence: ids.Fence
) -> bool:
    """Note that a worker has refused an order for its fence.

    :return: whether the order may be sent again: a later call of ours came
        first. Otherwise another server leads
    """
    if states.is_overtaken(leader, worker, fence):
        return True
    await states.depose(leader, 'a worker has seen a higher term')
    return False


async def note_replaced(
    leader: states.Leader, worker: workers_.Worker
) -> None:
    """Note that another worker stands at a worker's address."""
    if not await lost(leader, worker, REPLACED):
        note_silence(worker, REPLACED)


async def lost(
    leader: states.Leader,
    worker: workers_.Worker,
    why: str,
    planned: bool = False,
) -> bool:
    """Note that a worker is gone, and with it all its runs.

    Not without our mark in the store, and then it gives False: a later leader
    may have noted an end there, and its task would be started once more. The
    call that told so is made again.

    :param planned: by an order, so that no task is to blame
    """
    if worker.gone:
        return True
    if not states.holds_lease(leader):
        return False
    worker.gone = True
    now_s = clock.now_s()
    losses = losses_.note(leader, worker, planned)
    tasks = workers_.lost(leader.ledger, worker, now_s)
    event_log.emit(
        'worker',
        'gone',
        worker=worker.entry.worker,
        why=why,
        tasks=[task.name for task in tasks],
        **losses_.told(losses),
    )
    restarts.forget(leader, worker)
    await leader.orders[worker.entry.worker].put(None)
    await leader.unrostered.set()
    await leader.unkept.set()
    await stop_ended_jobs(leader)
    await leader.due.set(worker.entry.service)
    return True


async def stop_run(leader: states.Leader, task: ledgers.Task) -> None:
    """Order the stop of a task's run, once."""
    run = task.run
    if run is None or run.phase is ledgers.RunPhase.STOPPING:
        return
    if run.phase is ledgers.RunPhase.ORDERED:
        # Its start may be under way; the answer to it will be followed by
        # the stop.
        return
    ledgers.set_phase(run, ledgers.RunPhase.STOPPING, clock.now_s())
    run.stop_answered_s = None
    orders = leader.orders.get(run.worker)
    if orders is not None:
        await orders.put(states.StopOrder(task.name, run.attempt))
