"""Election of a leader among the servers."""

import curio
import msgspec

from oleanderwood import boot
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.leading import term as terms
from oleanderwood.platform import store as stores
from oleanderwood.pools import fences

HEAD_START_S = 0.05
"""Head start of each candidate over the next one in rank, in seconds: about
ten times the duration of a write to the store."""

MAX_CHECK_INTERVAL_S = 0.5
"""Maximum interval between two checks of the roles, in seconds."""

ANSWER_TIMEOUT_S = 0.5
"""Timeout of a candidate's write to the store, in seconds: twice what a slow
store takes. If the write succeeded without an answer, the conflict of the next
write shows that."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed attempt, in seconds."""


async def run_always(server: states.Server) -> None:
    """Lead whenever no other server does, until the server stops."""
    while not server.stopping:
        await server.roles_changed.wait(MAX_CHECK_INTERVAL_S)
        if not _can_run_for_leader(server):
            continue
        rank = roles_.candidate_rank(server.roles, server.settings.name)
        if not _owns_liveness_key(server):
            await curio.sleep(rank * HEAD_START_S)
        if not _can_run_for_leader(server) or server.stopping:
            continue
        try:
            won = await _run_for_leader(server)
        except (errors.CallFailed, stores.LeaseEnded) as error:
            event_log.emit('election', 'failed', why=str(error))
            await curio.sleep(RETRY_PAUSE_S)
            continue
        if won is not None:
            await terms.lead(server, *won)
            await curio.sleep(RETRY_PAUSE_S)


def _can_run_for_leader(server: states.Server) -> bool:
    """Return whether nobody is known to lead and this server could."""
    roles = server.roles
    if not roles.is_loaded or server.configuration is None:
        return False
    if clock.now_s() >= server.lease_until_s:
        return False
    return not roles.alive_revision or _owns_liveness_key(server)


def _owns_liveness_key(server: states.Server) -> bool:
    """Return whether the liveness key belongs to this server.

    This is checked only while this process does not lead. The key was then
    written by an earlier incarnation, which is certainly dead, or by a write
    of this process whose answer was lost.
    """
    leader = server.roles.leader
    return (
        leader is not None
        and bool(server.roles.alive_revision)
        and server.roles.alive_process == leader.process
        and leader.holder == server.settings.name
    )


async def _run_for_leader(server: states.Server) -> tuple[int, int] | None:
    """Try to become the leader; return the term and the key's revision.

    :raises errors.CallFailed: the write was refused or not answered; the
        verdict says whether it may have been carried out
    :raises stores.LeaseEnded: the lease does not exist any more
    """
    roles = server.roles
    last = roles.leader.term if roles.leader else 0
    term = fences.next_term(last)
    settings = server.settings
    row = roles_.Leader(
        term,
        settings.name,
        server.process,
        boot.inner_address(settings),
        follows=last,
    )
    conditions = {
        roles_.LEADER_KEY: roles.leader_revision,
        roles_.ALIVE_KEY: roles.alive_revision,
    }
    writes = {
        roles_.LEADER_KEY: msgspec.json.encode(row),
        roles_.ALIVE_KEY: server.process.encode('ascii'),
    }
    lease = server.lease
    try:
        revision = await stores.write(
            server.store,
            conditions,
            writes,
            leases={roles_.ALIVE_KEY: lease},
            timeout_s=ANSWER_TIMEOUT_S,
        )
    except stores.Conflict as conflict:
        return _after_conflict(server, conflict)
    note_own_role(server, row, revision, lease)
    return term, revision


def _after_conflict(
    server: states.Server, conflict: stores.Conflict
) -> tuple[int, int] | None:
    """Record who leads after a refused write.

    It may be this server, through a write whose answer was lost; then return
    the term and the revision of the key.
    """
    roles = server.roles
    found = {item.key: item for item in conflict.items}
    alive = found.get(roles_.ALIVE_KEY)
    if alive is None or alive.removed:
        roles_.note_alive(roles, '', 0, 0)
    roles_.apply_items(roles, conflict.items)
    leader = roles.leader
    if leader is None or leader.process != server.process:
        return None
    if roles.alive_process != server.process:
        return None
    if leader.term <= server.last_led_term:
        # A term is never resumed: what was started in it is not known any
        # more.
        return None
    return leader.term, roles.leader_revision


def note_own_role(
    server: states.Server, row: roles_.Leader, revision: int, lease: int
) -> None:
    """Record that this server leads."""
    roles = server.roles
    roles_.note_leader(roles, row, revision)
    roles_.note_alive(roles, server.process, revision, lease)
