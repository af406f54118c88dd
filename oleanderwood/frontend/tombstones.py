"""Tombstones of cancelled job ids that the store doesn't hold yet.

A call that submits a job may reach the store after the one that cancels it: a
server was suspended, or its write was held up. A tombstone stops that write,
as each write of a job is conditional on there being none. It lasts for
as long as a cancelled job is kept, and ends with a lease of the store.
"""

import dataclasses
import math

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.jobs import record
from oleanderwood.platform import store as stores
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts

LEASE_USE_S = 30.0
"""Time for which new tombstones get the same lease; each lease costs a write
of its own."""

DEFAULT_RETENTION_S = 120.0
"""How long a cancelled job is kept unless the settings say otherwise."""

MAX_TTL_S = 600.0
"""Longest lease that the store grants."""

MAX_PER_LEASE = 1000
"""Tombstones that one server writes under one lease. Callers that cancel
unknown ids at a high rate must not fill the store."""


class LimitReached(errors.CallFailed):
    """This server has written too many tombstones recently."""

    def __init__(self) -> None:
        super().__init__(
            verdicts.Verdict.NOT_RUN, 'too many unknown jobs are cancelled'
        )


@dataclasses.dataclass
class Tombstones:
    """The lease under which this server writes tombstones.

    :ivar retention_s: least time for which a tombstone lasts
    :ivar lease: number of the lease; 0 if there is none
    :ivar granted_s: when the lease was asked for
    :ivar written: number of tombstones under the lease
    """

    retention_s: float = DEFAULT_RETENTION_S
    lease: int = 0
    granted_s: float = -math.inf
    written: int = 0
    lock: curio.Lock = dataclasses.field(default_factory=curio.Lock)


async def write(
    tombstones: Tombstones,
    store: stores.Store,
    job: ids.JobId,
    owner: ids.TenantId,
) -> None:
    """Stop later writes of a job that the store doesn't hold.

    :param owner: the tenant that the job would belong to; another tenant's job
        of this id is not affected
    :raises stores.Conflict: the store holds a job of this id
    :raises errors.CallFailed: the store didn't answer, or too many tombstones
        were written
    """
    lease = await _take_lease(tombstones, store)
    key = record.tombstone_key(job, owner)
    try:
        await stores.write(
            store, {record.job_key(job): 0}, {key: b''}, leases={key: lease}
        )
    except stores.LeaseEnded as error:
        tombstones.lease = 0
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, 'the lease of tombstones has ended'
        ) from error
    server_metrics.TOMBSTONES.labels('written').inc()


async def _take_lease(tombstones: Tombstones, store: stores.Store) -> int:
    """Return the lease for one more tombstone; get a new one if necessary."""
    async with tombstones.lock:
        now_s = clock.now_s()
        recent = now_s - tombstones.granted_s < LEASE_USE_S
        if recent and tombstones.written >= MAX_PER_LEASE:
            server_metrics.TOMBSTONES.labels('refused').inc()
            raise LimitReached
        if not recent or not tombstones.lease:
            ttl_s = min(MAX_TTL_S, tombstones.retention_s + LEASE_USE_S)
            tombstones.lease = await stores.grant(store, ttl_s)
            if not recent:
                tombstones.written = 0
                tombstones.granted_s = now_s
        tombstones.written += 1
        return tombstones.lease
