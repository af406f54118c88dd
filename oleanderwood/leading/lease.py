"""The server's lease in the store, and its own row attached to it."""

import dataclasses

import curio
import msgspec

from oleanderwood import boot
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.leading import watcher
from oleanderwood.platform import store as stores
from oleanderwood import verdict as verdicts

RENEW_INTERVAL_S = states.SERVER_LEASE_S / 3
"""Interval between two renewals, in seconds; two may be lost before the lease
expires."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed renewal, in seconds."""

RESEND_AFTER_S = 0.15
"""Time without an answer, in seconds, after which another renewal is sent
concurrently: one lost answer must not use up the remaining time."""

GRANT_TIMEOUT_S = 0.4
"""Timeout of a request for a new lease, in seconds. If answers are lost after
leases have expired, the servers that obtain a lease first lead, whatever their
size. A lease whose grant was not answered expires by itself."""

MIN_RENEW_TIMEOUT_S = 0.6
"""Minimum timeout of a renewal, in seconds, even if the lease seems to have
expired; it allows four calls."""

EXPIRY_MARGIN_S = 0.1
"""How much earlier than the store this server considers the lease expired, in
seconds; clock rates of two machines differ by far less over a lease."""

CONTACT_GAP_S = 1.5
"""Time without an answer, in seconds, after which the next answer means that
the store is back; renewals and watches are answered every second."""


@dataclasses.dataclass(frozen=True)
class GrantedLease:
    """A lease granted by the store.

    :ivar until_s: time by which it may have expired
    """

    lease: int
    until_s: float


async def hold_always(server: states.Server) -> None:
    """Hold a lease and the server's row until cancelled."""
    granted: GrantedLease | None = None
    while True:
        try:
            if not server.lease:
                if granted is None or clock.now_s() >= granted.until_s:
                    granted = await _grant(server)
                await _adopt(server, granted)
            else:
                await _renew(server)
                if not _has_row(server):
                    await _write_row(server, server.lease)
        except stores.LeaseEnded:
            event_log.emit('lease', 'ended', lease=server.lease)
            server.lease = 0
            server.lease_until_s = 0.0
            granted = None
            continue
        except (errors.CallFailed, stores.Conflict) as error:
            event_log.emit('lease', 'not-renewed', why=str(error))
            await curio.sleep(RETRY_PAUSE_S)
            continue
        await server.lease_wanted.wait(RENEW_INTERVAL_S)


def lease_s(server: states.Server) -> float:
    """Return the duration of a lease, in seconds, as the store allows it."""
    min_s = server.settings.store_lease_min_ms / 1000
    return max(states.SERVER_LEASE_S, min_s)


async def _grant(server: states.Server) -> GrantedLease:
    sent_s = clock.now_s()
    lease = await stores.grant(server.store, lease_s(server), GRANT_TIMEOUT_S)
    await note_contact(server, sent_s)
    return GrantedLease(lease, sent_s + lease_s(server) - EXPIRY_MARGIN_S)


async def _adopt(server: states.Server, granted: GrantedLease) -> None:
    """Write the server's row under a granted lease, then use the lease.

    Without a row, a server could be elected while no other server can call it,
    so the lease counts only once the row is written. A refused row is written
    again under the same lease.
    """
    await _write_row(server, granted.lease)
    server.lease = granted.lease
    server.lease_until_s = granted.until_s
    event_log.emit('lease', 'taken', lease=server.lease)
    await server.roles_changed.set()


def _has_row(server: states.Server) -> bool:
    """Return whether the store has the server's row, as far as is known.

    True as long as the roles have not been read.

    An unanswered write may be carried out late, under a lease that has expired
    or that expires unused; the row is removed with that lease.
    """
    if not server.roles.is_loaded:
        return True
    row = server.roles.servers.get(_row_key(server))
    return row is not None and row.process == server.process


def _row_key(server: states.Server) -> str:
    return roles_.SERVER_PREFIX + server.settings.name


async def _write_row(server: states.Server, lease: int) -> None:
    settings = server.settings
    row = roles_.Server(
        settings.name,
        server.process,
        boot.inner_address(settings),
        boot.cores(settings),
        settings.data_centre,
        settings.memory_mb,
    )
    key = _row_key(server)
    await stores.write(
        server.store,
        {},
        {key: msgspec.json.encode(row)},
        leases={key: lease},
        timeout_s=RENEW_INTERVAL_S,
    )


async def _renew(server: states.Server) -> None:
    """Renew the lease, sending another call whenever one is not answered.

    :raises stores.LeaseEnded: the lease does not exist any more
    :raises errors.CallFailed: the store refused, or answered no call in the
        remaining time
    """
    left_s = max(MIN_RENEW_TIMEOUT_S, server.lease_until_s - clock.now_s())
    timeout_s = min(stores.CALL_TIMEOUT_S, left_s)
    calls: list[curio.Task] = []
    try:
        sent_s = await _renew_until_answered(server, timeout_s, calls)
    finally:
        for call in calls:
            await call.cancel()
    await note_contact(server, sent_s)
    server.lease_until_s = sent_s + lease_s(server) - EXPIRY_MARGIN_S


async def _renew_until_answered(
    server: states.Server, timeout_s: float, calls: list[curio.Task]
) -> float:
    """Return the send time of the call that is answered first.

    :param calls: receives the tasks that make the calls
    """
    answers: curio.Queue = curio.Queue()
    until_s = clock.now_s() + timeout_s
    while (left_s := until_s - clock.now_s()) > 0:
        call = await curio.spawn(
            _send_renewal, server, left_s, answers, daemon=True
        )
        calls.append(call)
        answer = await curio.ignore_after(RESEND_AFTER_S, answers.get())
        if isinstance(answer, float):
            return answer
        if answer is not None and not isinstance(answer, errors.Unanswered):
            raise answer
    raise errors.Unanswered(
        verdicts.Verdict.MAY_HAVE_RUN,
        f'no answer to {len(calls)} renewals in {timeout_s:.2f} s',
    )


async def _send_renewal(
    server: states.Server, timeout_s: float, answers: curio.Queue
) -> None:
    """Make one call and put its send time, or its error, into a queue."""
    sent_s = clock.now_s()
    try:
        await stores.renew(server.store, server.lease, timeout_s)
    except (errors.CallFailed, stores.LeaseEnded) as error:
        await answers.put(error)
    else:
        await answers.put(sent_s)


async def note_contact(server: states.Server, sent_s: float) -> None:
    """Record that the store answered a call sent at a given time."""
    is_back = sent_s - server.store_contact_s > CONTACT_GAP_S
    server.store_contact_s = max(server.store_contact_s, sent_s)
    if is_back:
        server.store_back_since_s = clock.now_s()
        await server.store_back.set()
        server.store_back.clear()


def store_contact(server: states.Server) -> watcher.StoreContact:
    """Return how followers of the store notify a server and vice versa."""

    async def note(sent_s: float) -> None:
        await note_contact(server, sent_s)

    return watcher.StoreContact(note, server.store_back)
