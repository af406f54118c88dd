"""Tenants as the operator's configuration names them."""

import dataclasses

import msgspec

from oleanderwood import ids


class Limit(msgspec.Struct, frozen=True):
    """What a tenant may have running in all pools together; 0: no limit."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


class Tenant(msgspec.Struct, frozen=True):
    """One tenant.

    :ivar weight: its share where pools are full, and the jobs a second that
        it may count on
    """

    name: ids.TenantId
    weight: float = 1.0
    limit: Limit = Limit()


@dataclasses.dataclass(frozen=True)
class Tenants:
    """All tenants of a configuration.

    :ivar by_key: the tenant that each key belongs to, by the key's digest
    :ivar faults: why entries of the configuration open nothing
    """

    by_name: dict[ids.TenantId, Tenant] = dataclasses.field(
        default_factory=dict
    )
    by_key: dict[ids.KeyDigest, ids.TenantId] = dataclasses.field(
        default_factory=dict
    )
    faults: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Row:
    """One well-formed entry of a configuration, with the keys it lists."""

    tenant: Tenant
    keys: tuple[ids.KeyDigest, ...]


def collect(rows: list[Row], faults: list[str]) -> Tenants:
    """Put the entries of a configuration together.

    A key that two tenants list opens nothing: whose jobs it may touch isn't
    known. Their other keys stay good.

    :param faults: of entries that aren't well-formed
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
