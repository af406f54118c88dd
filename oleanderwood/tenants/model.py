"""Tenants as defined by the operator's configuration."""

import dataclasses

import msgspec

from oleanderwood import ids


class Limit(msgspec.Struct, frozen=True):
    """Limit of what a tenant may run in all pools together; 0 for no limit."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


class Tenant(msgspec.Struct, frozen=True):
    """One tenant.

    :ivar weight: its relative share of full pools, and its guaranteed number
        of jobs per second
    """

    name: ids.TenantId
    weight: float = 1.0
    limit: Limit = Limit()


@dataclasses.dataclass(frozen=True)
class Tenants:
    """All tenants of a configuration.

    :ivar by_key: tenant of each valid key, by the key's digest
    :ivar faults: why entries or keys of the configuration are ignored
    """

    by_name: dict[ids.TenantId, Tenant] = dataclasses.field(
        default_factory=dict
    )
    by_key: dict[ids.KeyDigest, ids.TenantId] = dataclasses.field(
        default_factory=dict
    )
    faults: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class TenantEntry:
    """One well-formed tenant entry of a configuration, with its keys."""

    tenant: Tenant
    keys: tuple[ids.KeyDigest, ...]


def collect(rows: list[TenantEntry], faults: list[str]) -> Tenants:
    """Combine the tenant entries of a configuration.

    A key that two tenants list is invalid, since its owner is ambiguous.
    Their other keys stay valid.

    :param faults: faults of the entries that aren't well-formed
    """
    faults = list(faults)
    by_name: dict[ids.TenantId, Tenant] = {}
    owners: dict[ids.KeyDigest, set[ids.TenantId]] = {}
    for row in rows:
        name = row.tenant.name
        if name in by_name:
            faults.append(f'{name!r} is named twice')
            continue
        by_name[name] = row.tenant
        for key in row.keys:
            owners.setdefault(key, set()).add(name)
    shared = [names for names in owners.values() if len(names) > 1]
    faults += [f'a key is listed by {sorted(names)}' for names in shared]
    by_key = {
        key: next(iter(names))
        for key, names in owners.items()
        if len(names) == 1
    }
    return Tenants(by_name, by_key, tuple(faults))
