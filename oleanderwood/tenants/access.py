"""Authorization of callers for queues and for the jobs of tenants. Pure."""

import dataclasses

from oleanderwood import ids
from oleanderwood.tenants import credentials
from oleanderwood.tenants import model

NO_TENANT = ids.TenantId('')
"""Stands for the tenant of callers without a key, and of their jobs."""

MAX_REVOKED = 10_000
"""Maximal number of revoked keys that are remembered; each digest takes about
150 bytes."""


@dataclasses.dataclass(frozen=True)
class Denied:
    """Why a call is refused.

    :ivar tenant: former tenant of a revoked key
    :ivar version: version of the configuration that revoked the key
    """

    reason: credentials.Denial
    tenant: ids.TenantId = NO_TENANT
    version: int = 0


@dataclasses.dataclass
class Revoked:
    """Keys that configurations have revoked; used for logging only.

    :ivar keys: tenant and version of the configuration, by digest, the
        earliest revoked first
    """

    keys: dict[ids.KeyDigest, tuple[ids.TenantId, int]] = dataclasses.field(
        default_factory=dict
    )


def authenticate(
    tenants: model.Tenants | None,
    public: bool,
    presented: ids.KeyDigest | credentials.Denial,
    revoked: Revoked,
) -> ids.TenantId | Denied:
    """Return the calling tenant, or why the call is denied.

    A presented key must be valid at public queues too, so that a caller with
    a revoked key gets an error.

    :param tenants: None if the deployment has no tenants and needs no keys
    :param public: the queue accepts calls without a key
    :param presented: digest of the request's key, or why it has none
    """
    if tenants is None:
        return NO_TENANT
    if isinstance(presented, credentials.Denial):
        if public and presented is credentials.Denial.NO_KEY:
            return NO_TENANT
        return Denied(presented)
    owner = tenants.by_key.get(presented)
    if owner is not None:
        return owner
    if presented in revoked.keys:
        tenant, version = revoked.keys[presented]
        return Denied(credentials.Denial.REVOKED, tenant, version)
    return Denied(credentials.Denial.UNKNOWN)


def may_access(owner: ids.TenantId, tenant: ids.TenantId) -> bool:
    """Return whether a tenant may read, cancel or resubmit an owner's job.

    Jobs without a tenant are open to all callers of their queue.
    """
    return owner in (NO_TENANT, tenant)


def record_revocations(
    revoked: Revoked,
    before: model.Tenants | None,
    after: model.Tenants | None,
    version: int,
) -> int:
    """Record the keys that a configuration revokes; return their number."""
    if after is not None:
        for key in after.by_key:
            revoked.keys.pop(key, None)
    if before is None:
        return 0
    valid = after.by_key if after is not None else {}
    removed = [key for key in before.by_key if key not in valid]
    for key in removed:
        revoked.keys[key] = (before.by_key[key], version)
    while len(revoked.keys) > MAX_REVOKED:
        del revoked.keys[next(iter(revoked.keys))]
    return len(removed)
