"""Requests for placement advice, for the steps of queues that need it."""

import collections
import collections.abc

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.leading import relocating
from oleanderwood.leading import relocations
from oleanderwood.leading import schedule
from oleanderwood.leading import state as states
from oleanderwood.platform import advice
from oleanderwood.pools import advice_order
from oleanderwood.pools import advised
from oleanderwood.pools import placing
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import shortage
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics

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
    try:
        while True:
            group = _next_step(leader)
            if group is None:
                await curio.sleep(POLL_INTERVAL_S)
                continue
            await _request_advice(leader, calls, group)
    finally:
        server_metrics.ADVICE_WAITING.clear()
        server_metrics.ADVICE_WAIT_SECONDS.set(0.0)


def _next_step(leader: states.Leader) -> ledgers.Group | None:
    """Return the step to ask about, see ``advice_order.choose``."""
    now_s = clock.now_s()
    candidates = _candidates(leader, now_s)
    _measure(candidates, now_s)
    chosen = advice_order.choose(candidates, leader.advice_turns, now_s)
    return chosen.group if chosen is not None else None


def _candidates(
    leader: states.Leader, now_s: float
) -> list[advice_order.Candidate]:
    """Return the ready steps that lack advice."""
    known = states.known_queues(leader)
    wall_ms = clock.wall_ms()
    lacks_advice = _advice_check(leader, now_s)
    near = _nearness_check(leader, now_s)
    found = []
    for group in leader.ledger.open_groups:
        queue = urgency.queue_of(group.entry, known)
        if not queue.needs_advice or not ledgers.is_ready(group, wall_ms):
            continue
        # Steps that have advice hold their place among those without room.
        nearness = near(group, queue.service)
        if lacks_advice(group, queue.service):
            found.append(_candidate(group, queue, nearness, now_s))
    # Tasks of these run: their tickets expire, though nothing waits to start.
    moving = [
        *relocating.starved_groups(leader, now_s),
        *relocations.waiting_groups(leader, now_s),
    ]
    for group in dict.fromkeys(moving):
        queue = urgency.queue_of(group.entry, known)
        if group in leader.ledger.open_groups or not queue.needs_advice:
            continue
        if lacks_advice(group, queue.service):
            nearness = advice_order.Nearness.NOW
            found.append(_candidate(group, queue, nearness, now_s))
    return found


def _candidate(
    group: ledgers.Group,
    queue: queues.Queue,
    nearness: advice_order.Nearness,
    now_s: float,
) -> advice_order.Candidate:
    if group.advice_since_s is None:
        group.advice_since_s = now_s
    return advice_order.Candidate(
        group, queue.name, nearness, group.advice_since_s
    )


def _advice_check(
    leader: states.Leader, now_s: float
) -> collections.abc.Callable[[ledgers.Group, ids.ServiceId], bool]:
    """Return a function that tells whether a step of a pool lacks advice."""
    present = {
        name
        for name, worker in leader.workers.items()
        if not worker.entry.draining
    }
    named: dict[tuple[ids.ServiceId, str], list[workers_.Worker]] = {}

    def lacks_advice(group: ledgers.Group, service: ids.ServiceId) -> bool:
        if advised.lacks_advice(group, present, now_s):
            return True
        key = service, group.step.label
        if key not in named:
            named[key] = _workers_to_name(leader, *key)
        return advised.has_new_matching_worker(group, named[key], service)

    return lacks_advice


def _nearness_check(
    leader: states.Leader, now_s: float
) -> collections.abc.Callable[
    [ledgers.Group, ids.ServiceId], advice_order.Nearness
]:
    """Return a function that tells how near a waiting step's start is."""
    capacities: dict[ids.ServiceId, advice_order.PoolCapacity] = {}
    quotas: list[quotas_.Quotas] = []

    def near(
        group: ledgers.Group, service: ids.ServiceId
    ) -> advice_order.Nearness:
        if not quotas:
            blocked = schedule.pools_with_unknown_runs(leader)
            quotas.append(schedule.quotas_of(leader, blocked, now_s))
        if service not in capacities:
            pool = [
                worker
                for worker in leader.workers.values()
                if worker.entry.service == service
            ]
            capacities[service] = advice_order.PoolCapacity(
                placing.free_capacity(pool, now_s),
                shortage.idle_capacity(pool),
            )
        is_allowed = quotas_.allows(quotas[0], group)
        return advice_order.nearness(
            capacities[service], group, is_allowed, now_s
        )

    return near


def _measure(candidates: list[advice_order.Candidate], now_s: float) -> None:
    """Set the metrics of the steps that wait for a first answer."""
    first = [row for row in candidates if not row.group.asked]
    counts = collections.Counter(row.nearness for row in first)
    for nearness in advice_order.Nearness:
        server_metrics.ADVICE_WAITING.labels(nearness.name.lower()).set(
            counts[nearness]
        )
    waits_s = [
        now_s - row.since_s
        for row in first
        if row.nearness is advice_order.Nearness.NOW
    ]
    server_metrics.ADVICE_WAIT_SECONDS.set(max(waits_s, default=0.0))


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
    queue = urgency.queue_of(group.entry, known)
    service = queue.service
    machines = {
        worker.entry.worker: worker.entry.machine
        for worker in _workers_to_name(leader, service, group.step.label)
    }
    workers = list(machines)
    step = group.tasks[0].name.rpartition('.')[0]
    asked_s = clock.now_s()
    group.advised_until_s = asked_s + RETRY_S
    advice_order.note_asked(leader.advice_turns, queue.name, group, asked_s)
    group.asked = frozenset(workers)
    # The old tickets may expire before the answer arrives.
    group.tickets = None
    if not workers:
        return
    try:
        answer = await advice.ask(calls, step, workers)
    except errors.CallFailed as error:
        group.advice_since_s = clock.now_s()
        event_log.emit('advice', 'failed', step=step, why=error.reason)
        return
    now_s = clock.now_s()
    group.advice_since_s = now_s
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
