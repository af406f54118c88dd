"""Recent use of workers by tenant. Pure.

Designed for a tenant that has used most of a pool in the last seconds: when
its runs end, it would count as one that has nothing, and would get the next
free capacity as well. Past use stops counting by half-lives, so a tenant is
not held back for long.
"""

import collections.abc
import dataclasses
import math

from oleanderwood import ids

MIN_WEIGHT = 1.0
"""Weight of work without a tenant, and of tenants that were removed."""

NEGLIGIBLE_CORE_S = 0.01
"""Past use below this is dropped; it is less than any task takes."""

Weights = collections.abc.Mapping[ids.TenantId, float]

Cores = collections.abc.Mapping[ids.TenantId, float]


@dataclasses.dataclass
class Usage:
    """What tenants have used recently.

    :ivar core_s: decayed use of cores by tenant, up to ``as_of_s``
    :ivar window_s: mean age at which use stops counting; that much of a
        constant use of one core is counted
    """

    core_s: dict[ids.TenantId, float] = dataclasses.field(default_factory=dict)
    as_of_s: float | None = None
    window_s: float = 0.0


def advance(
    usage: Usage,
    running_cores: Cores,
    half_life_s: float,
    now_s: float,
) -> None:
    """Count the use of the running tasks since the last call.

    :param running_cores: cores in use by tenant
    """
    passed_s = 0.0 if usage.as_of_s is None else now_s - usage.as_of_s
    usage.as_of_s = now_s
    usage.window_s = half_life_s / math.log(2)
    if passed_s <= 0:
        return
    kept = 0.5 ** (passed_s / half_life_s)
    for tenant in [*usage.core_s]:
        usage.core_s[tenant] *= kept
        if usage.core_s[tenant] < NEGLIGIBLE_CORE_S:
            del usage.core_s[tenant]
    # What is used evenly during the interval decays within it too.
    counted_s = usage.window_s * (1.0 - kept)
    for tenant, cores in running_cores.items():
        if cores > 0:
            used_core_s = cores * counted_s
            usage.core_s[tenant] = usage.core_s.get(tenant, 0.0) + used_core_s


def recent_cores(usage: Usage, tenant: ids.TenantId) -> float:
    """Return the mean number of cores that a tenant has used recently."""
    if usage.window_s <= 0:
        return 0.0
    return usage.core_s.get(tenant, 0.0) / usage.window_s


def weight_of(weights: Weights, tenant: ids.TenantId) -> float:
    """Return a tenant's weight."""
    return max(MIN_WEIGHT, weights.get(tenant, MIN_WEIGHT))


def over_share(
    usage: Usage,
    running_cores: Cores,
    weights: Weights,
    asked_core_s: collections.abc.Mapping[ids.TenantId, float],
) -> collections.abc.Callable[[ids.TenantId, float], float]:
    """Return a function that compares tenants with the mean of those that ask.

    It takes a tenant and the part of its waiting work that is served before,
    in core-seconds, which counts as if it was used already. The result is 1
    for a tenant at its share.

    :param running_cores: cores in use by tenant
    :param asked_core_s: waiting work by tenant
    """
    used_core_s = {
        tenant: _used_core_s(usage, running_cores, tenant)
        for tenant in asked_core_s
    }
    total_weight = sum(weight_of(weights, tenant) for tenant in asked_core_s)
    total_core_s = sum(used_core_s.values()) + sum(asked_core_s.values())
    if total_core_s <= 0:
        return lambda tenant, before_core_s: 1.0
    mean_core_s = total_core_s / total_weight

    def compare(tenant: ids.TenantId, before_core_s: float) -> float:
        core_s = used_core_s[tenant] + before_core_s
        return core_s / weight_of(weights, tenant) / mean_core_s

    return compare


def _used_core_s(
    usage: Usage,
    running_cores: Cores,
    tenant: ids.TenantId,
) -> float:
    """Return recent use, and use by running tasks over the same window."""
    cores = running_cores.get(tenant, 0.0)
    return usage.core_s.get(tenant, 0.0) + cores * usage.window_s
