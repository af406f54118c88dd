"""Access to the requests that wait for a decision of the dispatcher."""

import dataclasses
import random
import time

import curio

from oleanderwood import dispatch
from oleanderwood import verdict as verdicts

TICK_S = 0.02
"""How often waiting requests are looked at."""


@dataclasses.dataclass
class Waiter:
    """A request that waits; ``decision`` is there once ``decided`` is set."""

    decided: curio.Event
    decision: dispatch.Decision | None = None


@dataclasses.dataclass
class Tickets:
    """The dispatcher's state with those who wait for it.

    :ivar wanted: set when something begins to wait
    :ivar active: tickets between their arrival and their end
    """

    state: dispatch.State
    rng: random.Random
    waiters: dict[int, Waiter] = dataclasses.field(default_factory=dict)
    wanted: curio.Event = dataclasses.field(default_factory=curio.Event)
    active: set[int] = dataclasses.field(default_factory=set)
    last: int = 0


def new_ticket(tickets: Tickets) -> int:
    """Give a number that was not used before."""
    tickets.last += 1
    return tickets.last


async def arrive(tickets: Tickets, ask: dispatch.Ask) -> dispatch.Decision:
    """Bring a request in, and wait until it is started or refused.

    Once it was started, :func:`finish` or :func:`abandon` must follow.
    """
    tickets.active.add(ask.ticket)
    now_s = time.monotonic()
    decisions = dispatch.arrive(tickets.state, ask, now_s, tickets.rng)
    return await _decision(tickets, ask.ticket, decisions)


async def finish(
    tickets: Tickets, ticket: int, outcome: dispatch.Outcome
) -> dispatch.Decision:
    """Report a failed attempt, and wait for what comes next."""
    now_s = time.monotonic()
    decisions = dispatch.finish(
        tickets.state, ticket, outcome, now_s, tickets.rng
    )
    return await _decision(tickets, ticket, decisions)


async def end(
    tickets: Tickets, ticket: int, outcome: dispatch.Outcome
) -> None:
    """Report an attempt after which there is none, whatever is decided."""
    now_s = time.monotonic()
    decisions = dispatch.finish(
        tickets.state, ticket, outcome, now_s, tickets.rng
    )
    if outcome.verdict is verdicts.Verdict.RAN:
        tickets.active.discard(ticket)
    if decisions:
        await _apply(tickets, [d for d in decisions if d.ticket != ticket])
    await abandon(tickets, ticket)


async def abandon(tickets: Tickets, ticket: int) -> None:
    """Give a request up, wherever it stands; harmless once it has ended."""
    if ticket not in tickets.active:
        return
    tickets.active.discard(ticket)
    tickets.waiters.pop(ticket, None)
    now_s = time.monotonic()
    decisions = dispatch.abandon(tickets.state, ticket, now_s, tickets.rng)
    await _apply(tickets, decisions)


async def tick(tickets: Tickets) -> None:
    """Let the dispatcher look at what waits."""
    now_s = time.monotonic()
    await _apply(tickets, dispatch.tick(tickets.state, now_s, tickets.rng))


async def run(tickets: Tickets) -> None:
    """Tick while anything waits, until cancelled."""
    while True:
        await tickets.wanted.wait()
        await curio.sleep(TICK_S)
        if tickets.waiters:
            await tick(tickets)
        else:
            tickets.wanted.clear()


async def _decision(
    tickets: Tickets, ticket: int, decisions: list[dispatch.Decision]
) -> dispatch.Decision:
    own = None
    others = []
    for decision in decisions:
        if decision.ticket == ticket:
            own = decision
        else:
            others.append(decision)
    if own is not None:
        await _apply(tickets, others)
        return own
    waiter = Waiter(curio.Event())
    tickets.waiters[ticket] = waiter
    if not tickets.wanted.is_set():
        await tickets.wanted.set()
    await _apply(tickets, others)
    await waiter.decided.wait()
    return waiter.decision


async def _apply(tickets: Tickets, decisions: list[dispatch.Decision]) -> None:
    # All decisions are noted before the first await: a cancellation in
    # between must not lose one.
    waiters = []
    for decision in decisions:
        waiter = tickets.waiters.pop(decision.ticket, None)
        if waiter is not None:
            waiter.decision = decision
            waiters.append(waiter)
    for waiter in waiters:
        await waiter.decided.set()
