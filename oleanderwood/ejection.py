"""Access to the ejection of upstreams that fail what they are sent."""

import dataclasses
import math

from oleanderwood import ids

FAILURES_TO_EJECT = 3
"""Failures in a row that eject an upstream."""

MAX_EJECTED_SHARE = 0.5
"""Share of a service's upstreams that may be ejected at once."""

BASE_EJECTION_S = 0.5
"""First ejection; it doubles each time, up to the maximum."""

MAX_EJECTION_S = 10.0

DOUBT_S = 0.5
"""Time after a failure during which other upstreams go first."""

RE_ENTRY_S = 5.0
"""Time over which the slots used of a returning upstream grow to all."""


@dataclasses.dataclass
class Health:
    """What one entry saw of one upstream.

    :ivar failures: failures in a row
    :ivar ejections: ejections since the last full recovery
    :ivar until_s: end of the present or latest ejection
    :ivar failed_at_s: the latest failure
    """

    failures: int = 0
    ejections: int = 0
    until_s: float = 0.0
    failed_at_s: float = -math.inf


def is_ejected(health: Health, now_s: float) -> bool:
    """Say whether an upstream gets no work at the moment."""
    return now_s < health.until_s


def is_sound(health: Health) -> bool:
    """Say whether nothing is held against an upstream."""
    return not health.failures and not health.ejections


def is_doubtful(health: Health, now_s: float) -> bool:
    """Say whether an upstream failed last, and only just."""
    return health.failures > 0 and now_s - health.failed_at_s < DOUBT_S


def usable_slots(health: Health, slots: int, now_s: float) -> int:
    """Give how many of some slots a returning upstream may use.

    One at first, and no more until that one succeeded; then more with
    time, and all after ``RE_ENTRY_S``. One that would be ejected but for
    the cap gets one as well.
    """
    if is_ejected(health, now_s):
        return 0
    if health.failures >= FAILURES_TO_EJECT:
        return min(1, slots)
    if not health.ejections:
        return slots
    share = min(1.0, (now_s - health.until_s) / RE_ENTRY_S)
    return max(1, int(slots * share))


def succeeded(
    healths: dict[ids.VmId, Health], vm: ids.VmId, now_s: float
) -> None:
    """Count an answer.

    :param healths: all upstreams of the service
    """
    health = healths[vm]
    if health.failures >= FAILURES_TO_EJECT:
        _probe_soon(healths, now_s)
    health.failures = 0
    if now_s >= health.until_s + RE_ENTRY_S:
        health.ejections = 0


def failed(
    healths: dict[ids.VmId, Health], vm: ids.VmId, now_s: float
) -> bool:
    """Count a failure, and eject the upstream if that is due.

    The cap comes first: an upstream over it stays in use.

    :param healths: all upstreams of the service
    :returns: whether the upstream was ejected by this failure
    """
    health = healths[vm]
    health.failures += 1
    health.failed_at_s = now_s
    if is_ejected(health, now_s):
        return False
    if health.failures < FAILURES_TO_EJECT or not _room_under_cap(
        healths, now_s
    ):
        return False
    length_s = BASE_EJECTION_S * 2**health.ejections
    health.until_s = now_s + min(MAX_EJECTION_S, length_s)
    health.ejections += 1
    return True


def ejected_count(healths: dict[ids.VmId, Health], now_s: float) -> int:
    """Count the upstreams that are ejected."""
    return sum(is_ejected(health, now_s) for health in healths.values())


def max_ejected(upstreams: int) -> int:
    """Give how many of a service's upstreams may be ejected at once."""
    return int(upstreams * MAX_EJECTED_SHARE)


def _room_under_cap(healths: dict[ids.VmId, Health], now_s: float) -> bool:
    return ejected_count(healths, now_s) < max_ejected(len(healths))


def _probe_soon(healths: dict[ids.VmId, Health], now_s: float) -> None:
    """End all ejections: what ailed one upstream may have ailed all.

    Each gets one request, and is ejected again if that fails.
    """
    for health in healths.values():
        health.until_s = min(health.until_s, now_s)
