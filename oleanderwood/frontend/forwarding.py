"""Asking another server to hand in or cancel a job, or to take a whole call.

A server that doesn't reach the store may reach others that do. The store's
conditions let a job be handed in by several servers: it stays one job.
"""

import typing

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import asking as askings
from oleanderwood.frontend import intake as intakes
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts

JOB_PATH = '/relay/job'
CANCEL_PATH = '/relay/cancel/'
CALL_PATH = '/relay/call'

STORE_LOST_S = 1.2
"""Time without an answer of the store after which it counts as lost: the
lease is renewed each 0.5 s."""

TIMEOUT_S = 0.7
"""Longest wait for another server, which waits for the store itself; a calm
one takes 10 ms. Callers wait 3 s in all."""

PEERS = 3
"""Servers that are asked, the leader first: with half of all servers cut
off, one in eight calls finds no way."""


JUDGES = 10
"""Servers that are asked to judge a call; with two thirds of all cut off, one
in fifty calls finds none."""


class Relayed(msgspec.Struct, frozen=True):
    """What came of a relayed call.

    :ivar there: for a cancel, whether there is such a job
    :ivar foreign: another tenant has a job of this id
    """

    verdict: verdicts.Verdict
    reason: str = ''
    there: bool = True
    foreign: bool = False


class Call(msgspec.Struct, frozen=True):
    """A caller's call that another server is to judge and answer.

    :ivar key: the digest of the key that was shown
    :ivar least_revision: of the configuration by which it may be judged: the
        caller may have seen the effects of the one that this server has
    """

    method: str
    host: str
    path: str
    key: ids.KeyDigest
    body: bytes
    least_revision: int


class Answered(msgspec.Struct, frozen=True):
    """Another server's answer to such a call.

    :ivar status: None if that server can't judge it either; nothing was done
    """

    status: int | None = None
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b''


Answer = typing.TypeVar('Answer', Relayed, Answered)


def store_lost(server: states.Server) -> bool:
    """Say whether the store hasn't answered this server for a while."""
    return clock.now_s() - server.contact_s > STORE_LOST_S


async def hand_in(asking: askings.Asking, job: model.Job) -> Relayed:
    """Let another server hand a job in."""
    return await _ask(asking, JOB_PATH, msgspec.json.encode(job), job.job)


async def cancel(
    asking: askings.Asking, job: ids.JobId, tenant: ids.TenantId
) -> Relayed:
    """Let another server cancel a tenant's job."""
    return await _ask(asking, CANCEL_PATH + job, tenant.encode(), job)


async def _ask(
    asking: askings.Asking, target: str, body: bytes, job: ids.JobId
) -> Relayed:
    """Ask servers in turn until one has done it."""
    relayed = Relayed(verdicts.Verdict.NOT_RUN, 'the store is not reached')
    in_doubt = False
    for address in _peers(asking.server):
        relayed = await _ask_one(asking, address, target, body)
        event_log.emit(
            'caller',
            'relayed',
            job=job,
            address=address,
            verdict=relayed.verdict.value,
            why=relayed.reason,
        )
        if relayed.verdict is verdicts.Verdict.RAN or relayed.foreign:
            return relayed
        in_doubt |= relayed.verdict is verdicts.Verdict.MAY_HAVE_RUN
    if in_doubt:
        return Relayed(verdicts.Verdict.MAY_HAVE_RUN, relayed.reason)
    return relayed


async def pass_on(asking: askings.Asking, call: Call) -> Answered:
    """Let a server answer a call whose configuration is surely the newest.

    :raises errors.CallFailed: one may have carried it out
    """
    body = msgspec.json.encode(call)
    in_doubt = ''
    unanswered = 0
    for address in _judges(asking):
        if unanswered == PEERS:
            break
        try:
            answered = await _exchange(
                asking, address, CALL_PATH, body, Answered
            )
        except errors.CallFailed as error:
            unanswered += 1
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                in_doubt = error.reason
            continue
        if answered.status is not None:
            asking.judge = address
            return answered
    if in_doubt:
        raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, in_doubt)
    return Answered()


def _judges(asking: askings.Asking) -> list[ids.Address]:
    """Give servers that may judge a call, the one that did so last first.

    One that can't says so at once, so that many may be asked.
    """
    found = _peers(asking.server, JUDGES)
    return sorted(found, key=lambda address: address != asking.judge)


def _peers(server: states.Server, most: int = PEERS) -> list[ids.Address]:
    """Give some other servers: the leader, then those of other data centres.

    Servers of one are often cut off together. Each server has others next to
    it by name, so that not all ask the same.
    """
    others = roles_.peers(server.roles, server.process)
    leader = server.roles.leader
    holder = leader.holder if leader is not None else ''
    own = server.settings
    others.sort(
        key=lambda row: (
            row.name != holder,
            row.data_centre == own.data_centre,
            row.name < own.name,
            row.name,
        )
    )
    return [row.address for row in others[:most]]


async def _ask_one(
    asking: askings.Asking, address: ids.Address, target: str, body: bytes
) -> Relayed:
    try:
        return await _exchange(asking, address, target, body, Relayed)
    except errors.CallFailed as error:
        return Relayed(error.verdict, error.reason)


async def _exchange(
    asking: askings.Asking,
    address: ids.Address,
    target: str,
    body: bytes,
    kind: type[Answer],
) -> Answer:
    """Ask one server; gives its answer.

    :raises errors.CallFailed: it refused, didn't answer, or not to the point
    """
    answer = await transport.call(
        asking.kept, address, 'POST', target, body, timeout_s=TIMEOUT_S
    )
    if answer.status != 200:
        raise transport.refused(answer, 'relay')
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, str(error)
        ) from error


async def take_job(
    server: states.Server, intake: intakes.Intake, body: bytes
) -> Relayed:
    """Hand a job in that another server passes on; it goes no further.

    :raises msgspec.MsgspecError: the body is no job
    """
    job = msgspec.json.decode(body, type=model.Job)
    if store_lost(server):
        return Relayed(verdicts.Verdict.NOT_RUN, 'the store is lost here too')
    handed = await intakes.hand_in(intake, job)
    return Relayed(handed.verdict, handed.reason, foreign=handed.foreign)


async def take_cancel(
    server: states.Server, job: ids.JobId, tenant: ids.TenantId
) -> Relayed:
    """Cancel a tenant's job for another server."""
    if store_lost(server):
        return Relayed(verdicts.Verdict.NOT_RUN, 'the store is lost here too')
    try:
        async with curio.timeout_after(TIMEOUT_S):
            there = await intakes.cancel(server.store, job, tenant)
    except errors.CallFailed as error:
        return Relayed(error.verdict, error.reason)
    except curio.TaskTimeout:
        return Relayed(verdicts.Verdict.MAY_HAVE_RUN, 'the store is slow')
    return Relayed(verdicts.Verdict.RAN, '', there)
