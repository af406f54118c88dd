"""Whether a caller's key opens a queue, and whose jobs it opens. Pure."""

import dataclasses

from oleanderwood import ids
from oleanderwood.tenants import credentials
from oleanderwood.tenants import model

NOBODY = ids.TenantId('')
"""Who calls without a key, and whose the jobs are that it hands in."""

MOST_REVOKED = 10_000
"""Keys remembered as revoked; a digest takes about 150 bytes."""


@dataclasses.dataclass(frozen=True)
class Denied:
    """Why a call is refused.

    :ivar tenant: whose key it was, if it was one
    :ivar version: the configuration that took the key away
    """

    reason: credentials.Denial
    tenant: ids.TenantId = NOBODY
    version: int = 0


@dataclasses.dataclass
class Revoked:
    """Keys that configurations have taken away; only logs read it.

    :ivar keys: tenant and version by digest, the earliest first
    """

    keys: dict[ids.KeyDigest, tuple[ids.TenantId, int]] = dataclasses.field(
        default_factory=dict
    )


def judge(
    tenants: model.Tenants | None,
    public: bool,
    shown: ids.KeyDigest | credentials.Denial,
    revoked: Revoked,
) -> ids.TenantId | Denied:
    """Say which tenant calls, or why the call isn't allowed.

    A key that is shown has to be good, at public queues too: who shows a
    revoked one should hear of it.

    :param tenants: None: this deployment has none, and nobody needs a key
    :param public: the call's queue takes calls without a key
    """
    if tenants is None:
        return NOBODY
    if isinstance(shown, credentials.Denial):
        if public and shown is credentials.Denial.NO_KEY:
            return NOBODY
        return Denied(shown)
    owner = tenants.by_key.get(shown)
    if owner is not None:
        return owner
    if shown in revoked.keys:
        tenant, version = revoked.keys[shown]
        return Denied(credentials.Denial.REVOKED, tenant, version)
    return Denied(credentials.Denial.UNKNOWN)


def may_touch(owner: ids.TenantId, tenant: ids.TenantId) -> bool:
    """Say whether a calling tenant may read, cancel or repeat a tenant's job.

    Jobs of nobody's are open to all who may call their queue.
    """
    return owner in (NOBODY, tenant)


def note_change(
    revoked: Revoked,
    before: model.Tenants | None,
    after: model.Tenants | None,
    version: int,
) -> int:
    """Remember the keys that a configuration takes away; gives how many."""
    if after is not None:
        for key in after.by_key:
            revoked.keys.pop(key, None)
    if before is None:
        return 0
    kept = after.by_key if after is not None else {}
    taken = [key for key in before.by_key if key not in kept]
    for key in taken:
        revoked.keys[key] = (before.by_key[key], version)
    while len(revoked.keys) > MOST_REVOKED:
        del revoked.keys[next(iter(revoked.keys))]
    return len(taken)
