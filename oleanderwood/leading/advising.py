"""Requests for placement advice, for the steps of queues that need it."""

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import relocating
from oleanderwood.leading import relocations
from oleanderwood.leading import state as states
from oleanderwood.platform import advice
from oleanderwood.pools import advised
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_

POLL_INTERVAL_S = 0.05
"""Interval between two checks for steps without advice."""

RETRY_S = 2.0
"""Time after which advice is requested again for a step for which no current
worker is suitable."""

EXPIRY_MARGIN_S = 0.3
"""How much earlier than the platform the leader treats a ticket as expired."""


async def advise_always(leader: states.Leader, calls: advice.Advice) -> None:
    """Request advice for one step after another until cancelled.

    The service handles the requests of one machine sequentially, so concurrent
    requests would gain nothing.
    """
    while True:
        group = _next_step(leader)
        if group is None:
            await curio.sleep(POLL_INTERVAL_S)
            continue
        await _request_advice(leader, calls, group)


def _next_step(leader: states.Leader) -> ledgers.Group | None:
    """Return the ready step that has waited for advice longest."""
    known = states.known_queues(leader)
    wall_ms = clock.wall_ms()
    now_s = clock.now_s()
    present = {
        name
        for name, worker in leader.workers.items()
        if not worker.entry.draining
    }
    # Tasks of these run: their tickets expire, though nothing waits to start.
    starved = relocating.starved_groups(leader, now_s)
    leaving = relocations.waiting_groups(leader, now_s)
    named: dict[tuple[ids.ServiceId, str], list[workers_.Worker]] = {}
    for group in [*leader.ledger.open_groups, *starved, *leaving]:
        queue = urgency.queue_of(group.entry, known)
        if not queue.needs_advice:
            continue
        if not advised.lacks_advice(group, present, now_s):
            key = queue.service, group.step.label
            if key not in named:
                named[key] = _workers_to_name(leader, *key)
            if not advised.has_new_matching_worker(
                group, named[key], queue.service
            ):
                continue
        if ledgers.is_ready(group, wall_ms):
            return group
    return None


def _workers_to_name(
    leader: states.Leader, service: ids.ServiceId, label: str
) -> list[workers_.Worker]:
    """Return the workers that a question names, those with the label first.

    A question names a limited number, and only these may get the step.
    """
    rows = [
        worker
        for worker in leader.workers.values()
        if worker.entry.service == service and not worker.entry.draining
    ]
    rows.sort(key=lambda worker: label not in worker.entry.labels)
    return rows[: advice.MOST_WORKERS]


async def _request_advice(
    leader: states.Leader, calls: advice.Advice, group: ledgers.Group
) -> None:
    known = states.known_queues(leader)
    service = urgency.queue_of(group.entry, known).service
    machines = {
        worker.entry.worker: worker.entry.machine
        for worker in _workers_to_name(leader, service, group.step.label)
    }
    workers = list(machines)
    step = group.tasks[0].name.rpartition('.')[0]
    asked_s = clock.now_s()
    group.advised_until_s = asked_s + RETRY_S
    group.asked = frozenset(workers)
    # The old tickets may expire before the answer arrives.
    group.tickets = None
    if not workers:
        return
    try:
        answer = await advice.ask(calls, step, workers)
    except errors.CallFailed as error:
        event_log.emit('advice', 'failed', step=step, why=error.reason)
        return
    now_s = clock.now_s()
    group.tickets = dict(answer.tickets)
    advised.record_refusals(
        group, [(machines[name], name) for name in workers], now_s
    )
    event_log.emit(
        'advice',
        'got',
        step=step,
        asked=len(workers),
        good=len(answer.tickets),
        after_s=round(now_s - asked_s, 3),
    )
    if answer.tickets:
        group.advised_until_s = now_s + max(
            0.0, answer.valid_s - EXPIRY_MARGIN_S
        )
    await leader.placement_due.set()
