"""Checks a new job against the leader's figures before it is stored.

A refusal promises that the job never runs, so it is given only if the store
certainly has no such job and will not get one from this server.
"""

import enum

from oleanderwood.admission import gate as gates
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import intake as intakes
from oleanderwood.frontend import peer_client as peer_clients
from oleanderwood import ids
from oleanderwood.jobs import memory
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.jobs import record
from oleanderwood.leading import state as states
from oleanderwood import log_limit
from oleanderwood.platform import store as stores
from oleanderwood import server_metrics
from oleanderwood.tenants import access

READ_TIMEOUT_S = 0.3
"""Longest wait for the job's key. A refusal has to come at once to be of use,
and a slow store takes 0.24 s."""

LATE_WRITE_S = 8.0
"""Time after a write without an answer for which nothing is refused: the write
may be carried out late, and which of its jobs callers send again is
unknown."""

MEMORY_RETRY_AFTER_S = {gates.Why.NO_MEMORY: 5, gates.Why.NO_LEADER: 2}
"""When callers may come back for memory, in seconds: as jobs end, and once
another server leads."""

MAX_LINES_PER_S = 20
"""Refusals that are logged per second; a burst has hundreds."""


class Outcome(enum.Enum):
    """Why a job is not refused."""

    ADMITTED = 'admitted'
    STORED = 'stored'
    """The store has the job of this tenant."""

    TAKEN = 'taken'
    """The store has another tenant's job of this id."""

    IN_DOUBT = 'in-doubt'
    """A write of this server may still store the job."""

    UNREAD = 'unread'
    """The store did not say whether it has the job."""


def may_refuse(
    server: states.Server,
    queue: queues.Queue,
    work: model.Work,
    tenant: ids.TenantId,
) -> bool:
    """Return whether a job is one that figures in force may refuse."""
    figures = gates.in_force(server.gate, clock.now_s())
    return (
        figures is not None
        and queue.service in figures.pools
        and not queue.public
        and tenant != access.NO_TENANT
        and not gates.is_exempt(work)
    )


async def judge(
    server: states.Server,
    intake: intakes.Intake,
    queue: queues.Queue,
    job: ids.JobId,
    tenant: ids.TenantId,
) -> Outcome | gates.Refused:
    """Return whether a job is refused for its pool's load, and if not, why.

    A refusal costs one read of the store and no write.
    """
    decision = gates.decide(
        server.gate, queue.service, tenant, job, clock.now_s()
    )
    if isinstance(decision, gates.Admitted):
        return _counted(Outcome.ADMITTED)
    return _counted(await _confirmed(server, intake, job, tenant, decision))


def needs_reservation(server: states.Server, work: model.Work) -> bool:
    """Return whether the leader has to reserve memory for a job."""
    return (
        memory.is_large(work) or clock.now_s() < server.short_of_memory_until_s
    )


async def judge_memory(
    server: states.Server,
    client: peer_clients.PeerClient,
    intake: intakes.Intake,
    work: model.Work,
    job: ids.JobId,
    tenant: ids.TenantId,
) -> Outcome | gates.Refused:
    """Return whether a job is refused for want of memory, and if not, why.

    If nobody leads, only a large job is refused.
    """
    size_bytes = model.open_bytes(work)
    why = gates.Why.NO_MEMORY
    try:
        if await peer_clients.reserve_memory(client, job, size_bytes):
            return _counted(Outcome.ADMITTED)
    except errors.CallFailed as error:
        event_log.emit('caller', 'memory-unknown', job=job, why=error.reason)
        if not memory.is_large(work):
            return _counted(Outcome.ADMITTED)
        why = gates.Why.NO_LEADER
    decision = gates.Refused(why, MEMORY_RETRY_AFTER_S[why])
    return _counted(await _confirmed(server, intake, job, tenant, decision))


def _counted(outcome: Outcome | gates.Refused) -> Outcome | gates.Refused:
    label = outcome.value if isinstance(outcome, Outcome) else 'refused'
    server_metrics.ADMISSION.labels(label).inc()
    return outcome


async def _confirmed(
    server: states.Server,
    intake: intakes.Intake,
    job: ids.JobId,
    tenant: ids.TenantId,
    decision: gates.Refused,
) -> Outcome | gates.Refused:
    """Return a refusal if the store doesn't have the job and won't get it."""
    if _may_be_written(intake, job):
        return Outcome.IN_DOUBT
    if forwarding.is_store_lost(server):
        return Outcome.UNREAD
    try:
        stored = await stores.read(
            server.store, record.job_key(job), READ_TIMEOUT_S
        )
    except errors.CallFailed as error:
        event_log.emit('caller', 'key-unread', job=job, why=error.reason)
        return Outcome.UNREAD
    if stored is not None:
        is_own = intakes.belongs_to(stored.value, tenant)
        return Outcome.STORED if is_own else Outcome.TAKEN
    # Another call may have begun to write the job during the read.
    return Outcome.IN_DOUBT if _may_be_written(intake, job) else decision


def _may_be_written(intake: intakes.Intake, job: ids.JobId) -> bool:
    """Return whether a write of this server may still store a job."""
    since_s = clock.now_s() - intake.unanswered_s
    return since_s < LATE_WRITE_S or job in intake.submitting


def log(
    limit: log_limit.LineLimit,
    queue: queues.Queue,
    job: ids.JobId,
    tenant: ids.TenantId,
    refused: gates.Refused,
) -> None:
    """Log a refusal, unless many were logged within the last second."""
    if not log_limit.allows(limit, MAX_LINES_PER_S, clock.now_s()):
        return
    event_log.emit(
        'caller',
        'not-admitted',
        job=job,
        queue=queue.name,
        tenant=tenant,
        wait_s=refused.wait_s,
        retry_after_s=refused.retry_after_s,
        holder=refused.holder,
        why=refused.why.value,
        untold=log_limit.take_suppressed(limit),
    )
