"""Leaders of earlier terms, and whether they have certainly ended.

A leader that is cut off from the store may go on for a while if other servers
confirm it. A successor that cannot reach it must wait that much longer for
tasks that it may have started. No such wait is needed if the earlier leader
answers or has handed over.
"""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.leading import confirmation
from oleanderwood.leading import crash_handover
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import transport
from oleanderwood.pools import workers as workers_

ASK_PAUSE_S = 0.25
"""Interval between two rounds of calls to leaders that have not answered, in
seconds."""

ORDER_DELAY_S = 0.5
"""Time, in seconds, within which an order in flight at the end of a term
reaches its worker."""

SHORT_WAIT_S = confirmation.CONFIRMATION_S + ORDER_DELAY_S
"""How long after an election orders of earlier leaders may arrive, in seconds,
if all those leaders have ended."""

LONG_WAIT_S = confirmation.MAX_UNREACHED_S + ORDER_DELAY_S
"""The same, in seconds, if one of those leaders may be cut off and confirmed
by other servers."""

FOREVER_S = 1e9
"""A term ends when one of its loops returns, so a finished loop sleeps."""


def max_lease_s(leader: states.Leader) -> float:
    """Return the maximum duration of a lease on the slowest worker clock."""
    lease_s = states.task_lease_s(leader.server.settings)
    return lease_s / workers_.SLOW_CLOCK_RATE


def leases_end_s(leader: states.Leader, now_s: float) -> float:
    """Return a time by which all leases of earlier leaders have expired."""
    return now_s + _order_wait_s(leader) + max_lease_s(leader)


def last_order_s(leader: states.Leader) -> float:
    """Return a time by which earlier leaders have sent their last order."""
    return leader.began_s + _order_wait_s(leader)


def _order_wait_s(leader: states.Leader) -> float:
    return LONG_WAIT_S if _unended_terms(leader) else SHORT_WAIT_S


def _unended_terms(leader: states.Leader) -> list[int]:
    """Return the earlier terms that are not known to have ended."""
    return roles_.unended_terms(leader.server.roles, leader.term)


async def await_ends_always(leader: states.Leader) -> None:
    """Call earlier leaders until all have certainly ended; store that."""
    ends_s: dict[int, float] = {}
    if terms := _unended_terms(leader):
        event_log.emit('leader', 'asks-former', terms=terms)
    while terms := _unended_terms(leader):
        if clock.now_s() > leader.began_s + LONG_WAIT_S:
            ends_s = dict.fromkeys(terms, leader.began_s + LONG_WAIT_S)
        for term in terms:
            row = leader.server.roles.leaders.get(term)
            if row is not None and term not in ends_s:
                end_s = await _ask_for_end(leader, row)
                if end_s is not None:
                    ends_s[term] = end_s
        if all(term in ends_s for term in terms):
            shorten_lease_waits(leader, max(ends_s[term] for term in terms))
            await _store_ended_term(leader)
        await curio.sleep(ASK_PAUSE_S)
    await curio.sleep(FOREVER_S)


async def _ask_for_end(
    leader: states.Leader, row: roles_.Leader
) -> float | None:
    """Return a time by which an earlier leader had ended; None if unknown.

    Its answer also contains the crashes that it could not store.

    An earlier leader ends its term when it hears of a later one. Another
    process at its address started after the earlier incarnation had ended.
    Only such an answer counts: a connection can also be refused by a network
    cut that rejects packets, by a listener that is not ready yet, or by an
    intermediary.
    """
    try:
        answer = await transport.call(
            leader.peer_connections,
            row.address,
            'GET',
            f'{confirmation.CONTACT_PATH}/{leader.term}',
            timeout_s=confirmation.ASK_TIMEOUT_S,
        )
        contact = codec.decode(answer.body, confirmation.ContactAnswer)
    except (errors.CallFailed, msgspec.MsgspecError):
        return None
    await crash_handover.adopt(leader, row.term, contact.crashes)
    if not contact.process or contact.leading_term == row.term:
        return None
    age_s = 0.0 if contact.process == row.process else contact.age_s
    return clock.now_s() - age_s


def shorten_lease_waits(leader: states.Leader, end_s: float) -> None:
    """Limit waits to the leases that the ended leaders can have granted.

    :param end_s: time by which all of them had ended
    """
    max_end_s = end_s + ORDER_DELAY_S + max_lease_s(leader)
    for worker in leader.workers.values():
        if not worker.fenced:
            worker.lease_end_s = min(worker.lease_end_s, max_end_s)
    leader.worker_lists_unread_until_s = min(
        leader.worker_lists_unread_until_s, max_end_s
    )


async def _store_ended_term(leader: states.Leader) -> None:
    """Store that all earlier leaders have ended, for the next leader."""
    term = leader.term - 1
    values = {roles_.ENDED_KEY: b'%d' % term}
    if await fenced_writes.try_write(
        leader, values, 'leader', 'ended-not-written'
    ):
        roles_.note_ended(leader.server.roles, term)
        event_log.emit('leader', 'former-ended', term=term)
