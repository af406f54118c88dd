"""Decides whether a leader that cannot reach the store may go on.

While the store is down no server can take over, and the leader has to go on.
If only the leader cannot reach the store, another server takes over and the
leader has to stop. The other servers' answers tell the two cases apart.
"""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.leading import crash_handover
from oleanderwood.leading import lease
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import transport

CHECK_INTERVAL_S = 0.25
"""Interval between two rounds of calls while the lease is not renewed, in
seconds."""

CONFIRMATION_S = 1.0
"""How long the result of a round is valid, in seconds. A later leader waits
that much longer for tasks that this one may have started."""

MAX_UNREACHED_S = 12.0
"""How long a leader acts at most after the last answered renewal of its lease,
in seconds: all servers that confirm it may be on its side of a network cut.
Outages reported by users are shorter."""

RECENT_CONTACT_S = 1.0
"""A server counts as reaching the store if the store answered it within this
time, in seconds."""

ASK_TIMEOUT_S = 0.2
"""Timeout of a call to another server, in seconds, in a network with a latency
of 1 ms."""

CONTACT_PATH = '/contact'


class ContactAnswer(msgspec.Struct, frozen=True):
    """A server's view of the store and of who leads.

    :ivar term: term of the last leader that the server knows; 0 if none
    :ivar contact_age_s: age of the last call that the store answered
    :ivar process: id of the server's incarnation, which is ``age_s`` old;
        empty from servers of an earlier release
    :ivar leading_term: the term that this server leads itself; 0 if none
    :ivar crashes: for the leader of a later term, crashes that the store may
        lack of the last term that this server led, by task
    """

    term: int
    contact_age_s: float
    process: str = ''
    age_s: float = 0.0
    leading_term: int = 0
    crashes: crashes_.CrashesByTask = {}


async def answer_contact(server: states.Server, target: str) -> ContactAnswer:
    """Answer another server's call about contact with the store.

    The call of a later leader contains its term: a leader of an earlier term
    then stops, and a server that is still taking over does not start to lead.
    """
    digits = target.removeprefix(CONTACT_PATH).removeprefix('/')
    asking_term = int(digits) if digits.isdecimal() else 0
    server.max_asking_term = max(server.max_asking_term, asking_term)
    leading = server.leader
    if leading is not None and server.max_asking_term > leading.term:
        await states.depose(leading, 'the leader of a later term has called')
    acts = leading is not None and not leading.deposed
    crashes = {}
    if asking_term > server.last_led_term:
        crashes = server.unstored_crashes
        if leading is not None:
            crashes = crash_handover.unstored(leading.ledger)
    leader = server.roles.leader
    now_s = clock.now_s()
    return ContactAnswer(
        leader.term if leader else 0,
        now_s - server.store_contact_s,
        server.process,
        now_s - server.began_s,
        leading.term if acts else 0,
        crashes,
    )


async def confirm_always(leader: states.Leader) -> None:
    """Call the other servers whenever the lease is not renewed in time."""
    confirmed = False
    while True:
        await curio.sleep(CHECK_INTERVAL_S / 2)
        now_s = clock.now_s()
        _note_renewal(leader)
        if now_s + CHECK_INTERVAL_S < states.leader_lease_until_s(leader):
            if confirmed:
                event_log.emit('leader', 'lease-back')
                confirmed = False
            continue
        max_until_s = leader.lease_renewed_s + MAX_UNREACHED_S
        if now_s >= max_until_s:
            if confirmed:
                event_log.emit(
                    'leader',
                    'not-confirmed',
                    why='the store was not reached for too long',
                )
            confirmed = False
        elif await _is_confirmed(leader):
            if not confirmed:
                event_log.emit('leader', 'confirmed')
            confirmed = True
            leader.confirmed_until_s = min(now_s + CONFIRMATION_S, max_until_s)
        await curio.sleep(CHECK_INTERVAL_S)


def _note_renewal(leader: states.Leader) -> None:
    """Record the send time of the latest renewal of the leader's lease."""
    sent_s = states.leader_lease_until_s(leader) - lease.lease_s(leader.server)
    leader.lease_renewed_s = max(leader.lease_renewed_s, sent_s)


async def _is_confirmed(leader: states.Leader) -> bool:
    """Return whether the other servers confirm this leader.

    At least half of them must answer, and none of them may reach the store.

    A leader that gets no answer at all is not confirmed, as it cannot know
    whether another server leads. The removal of a server's row only proves
    that it did not reach the store at that time.
    """
    server = leader.server
    others = roles_.recent_peers(server.roles, server.process, clock.now_s())
    answers = await ask_all(leader, [row.address for row in others])
    answered = [answer for answer in answers if answer is not None]
    for answer in answered:
        if answer.term > leader.term:
            await states.depose(leader, 'another server knows a higher term')
            return False
        if answer.contact_age_s < RECENT_CONTACT_S:
            event_log.emit(
                'leader',
                'not-confirmed',
                why='another server reaches the store',
            )
            return False
    enough = bool(answered) and 2 * len(answered) >= len(others)
    if not enough:
        event_log.emit(
            'leader',
            'not-confirmed',
            why=f'{len(answered)} of {len(others)} servers answered',
        )
    return enough


async def ask_all(
    leader: states.Leader, addresses: list[ids.Address]
) -> list[ContactAnswer | None]:
    """Call servers concurrently; None stands for one that did not answer."""
    async with curio.TaskGroup(wait=all) as group:
        for address in addresses:
            await group.spawn(_ask, leader, address)
    return group.results


async def _ask(
    leader: states.Leader, address: ids.Address
) -> ContactAnswer | None:
    try:
        answer = await transport.call(
            leader.peer_connections,
            address,
            'GET',
            CONTACT_PATH,
            timeout_s=ASK_TIMEOUT_S,
        )
        return codec.decode(answer.body, ContactAnswer)
    except (errors.CallFailed, msgspec.MsgspecError) as error:
        event_log.emit('leader', 'unasked', address=address, why=str(error))
        return None
