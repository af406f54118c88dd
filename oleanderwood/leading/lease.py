"""The server's lease in the store, and its own row under it."""

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

RENEW_S = states.LEASE_S / 3
"""Time between two renewals: two may be lost before the lease ends."""

RETRY_S = 0.1
"""Pause after a failed renewal."""

AGAIN_S = 0.15
"""Time without an answer after which the lease is renewed by another call: one
lost answer must not use up the time that is left."""

GRANT_S = 0.4
"""Longest wait for a new lease. Where answers are lost after leases ran out,
the servers that get one first lead, whatever their size; a lease that nobody
knows of ends by itself."""

LEAST_LEFT_S = 0.6
"""Least time for a renewal, also of a lease that seems to have ended: four
calls."""

MARGIN_S = 0.1
"""How much earlier than the store we take the lease for ended; clocks of
two machines differ in rate by far less over a lease."""

GAP_S = 1.5
"""Time without an answer after which the store counts as back; renewals and
watches answer each second."""


@dataclasses.dataclass(frozen=True)
class Granted:
    """A lease that the store has given.

    :ivar until_s: by when it may have ended
    """

    lease: int
    until_s: float


async def keep_always(server: states.Server) -> None:
    """Hold a lease and the server's row, until cancelled."""
    granted: Granted | None = None
    while True:
        try:
            if not server.lease:
                if granted is None or clock.now_s() >= granted.until_s:
                    granted = await _grant(server)
                await _hold(server, granted)
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
            await curio.sleep(RETRY_S)
            continue
        await server.lease_wanted.wait(RENEW_S)


def lease_s(server: states.Server) -> float:
    """Give the time of a lease, as the store allows it."""
    least_s = server.settings.store_lease_min_ms / 1000
    return max(states.LEASE_S, least_s)


async def _grant(server: states.Server) -> Granted:
    sent_s = clock.now_s()
    lease = await stores.grant(server.store, lease_s(server), GRANT_S)
    await note_contact(server, sent_s)
    return Granted(lease, sent_s + lease_s(server) - MARGIN_S)


async def _hold(server: states.Server, granted: Granted) -> None:
    """Write the row under a lease, and hold the lease.

    Without its row a server could be elected and be asked by nobody, so it
    has no lease before the row is there. A row that is refused is written
    again under the same lease.
    """
    await _write_row(server, granted.lease)
    server.lease = granted.lease
    server.lease_until_s = granted.until_s
    event_log.emit('lease', 'taken', lease=server.lease)
    await server.roles_changed.set()


def _has_row(server: states.Server) -> bool:
    """Say whether the store has the server's row, as far as it has told us.

    A write of it without an answer may be carried out late, under a lease
    that has ended or ends unused, and the row goes with that.
    """
    if not server.roles.known:
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
    )
    key = _row_key(server)
    await stores.write(
        server.store,
        {},
        {key: msgspec.json.encode(row)},
        leases={key: lease},
        timeout_s=RENEW_S,
    )


async def _renew(server: states.Server) -> None:
    """Renew the lease, by another call each time that none is answered.

    :raises stores.LeaseEnded: it doesn't exist any more
    :raises errors.CallFailed: the store refused, or answered no call in the
        time that is left
    """
    left_s = max(LEAST_LEFT_S, server.lease_until_s - clock.now_s())
    timeout_s = min(stores.CALL_TIMEOUT_S, left_s)
    calls: list[curio.Task] = []
    try:
        sent_s = await _until_answered(server, timeout_s, calls)
    finally:
        for call in calls:
            await call.cancel()
    await note_contact(server, sent_s)
    server.lease_until_s = sent_s + lease_s(server) - MARGIN_S


async def _until_answered(
    server: states.Server, timeout_s: float, calls: list[curio.Task]
) -> float:
    """Give when the call was sent that is answered first.

    :param calls: gets the tasks that make the calls
    """
    answers: curio.Queue = curio.Queue()
    until_s = clock.now_s() + timeout_s
    while (left_s := until_s - clock.now_s()) > 0:
        call = await curio.spawn(_call, server, left_s, answers, daemon=True)
        calls.append(call)
        answer = await curio.ignore_after(AGAIN_S, answers.get())
        if isinstance(answer, float):
            return answer
        if answer is not None and not isinstance(answer, errors.Unanswered):
            raise answer
    raise errors.Unanswered(
        verdicts.Verdict.MAY_HAVE_RUN,
        f'no answer to {len(calls)} renewals in {timeout_s:.2f} s',
    )


async def _call(
    server: states.Server, timeout_s: float, answers: curio.Queue
) -> None:
    """Make one call; puts when it was sent, or its error."""
    sent_s = clock.now_s()
    try:
        await stores.renew(server.store, server.lease, timeout_s)
    except (errors.CallFailed, stores.LeaseEnded) as error:
        await answers.put(error)
    else:
        await answers.put(sent_s)


async def note_contact(server: states.Server, sent_s: float) -> None:
    """Note that the store answered a call sent at some time."""
    is_back = sent_s - server.contact_s > GAP_S
    server.contact_s = max(server.contact_s, sent_s)
    if is_back:
        server.back_s = clock.now_s()
        await server.store_back.set()
        server.store_back.clear()


def contact(server: states.Server) -> watcher.Contact:
    """Give what followers of the store tell a server, and hear from it."""

    async def note(sent_s: float) -> None:
        await note_contact(server, sent_s)

    return watcher.Contact(note, server.store_back)
