"""The figures by which servers admit jobs, as the leader publishes them."""

import msgspec

from oleanderwood import ids

LIFETIME_MS = 1000.0
"""Time for which figures are in force, in milliseconds: four publications. A
server that gets no newer ones then admits all jobs, so that the figures of a
leader that is gone do not outlast the burst."""


class PoolFigures(msgspec.Struct, frozen=True, omit_defaults=True):
    """How much of the jobs of a limited pool is admitted.

    :ivar wait_s: expected wait of a job that is admitted now
    :ivar retry_after_s: time until the pool's accepted work is done within
        the objective
    :ivar shares: fraction of the jobs that is admitted, by tenant; tenants
        with the default share are left out
    :ivar holder: the tenant that has most of the pool for its weight
    :ivar too_late: even jobs within their tenants' assured rates are refused,
        as they would end too late
    """

    wait_s: float
    retry_after_s: float
    shares: dict[ids.TenantId, float] = {}
    default_share: float = 1.0
    holder: ids.TenantId = ids.TenantId('')
    too_late: bool = False


class Figures(msgspec.Struct, frozen=True):
    """The figures of all limited pools; a pool without any admits all jobs.

    :ivar number: increases with each publication of a term
    :ivar lifetime_ms: time from receipt for which the figures are in force
    :ivar salt: key of the hash by which jobs are sampled; new in each term
    """

    term: int
    number: int
    lifetime_ms: float
    salt: str
    pools: dict[ids.ServiceId, PoolFigures] = {}


def share_of(pool: PoolFigures, tenant: ids.TenantId) -> float:
    """Return the fraction of a tenant's jobs that is admitted."""
    return pool.shares.get(tenant, pool.default_share)


def smallest_share(pool: PoolFigures) -> float:
    """Return the smallest fraction of any tenant's jobs."""
    return min([pool.default_share, *pool.shares.values()])
