"""Access to the request quotas of teams: one token bucket a team."""

import dataclasses

from oleanderwood import ids

BURST_S = 1.0
"""Seconds of a team's rate that it may use at once."""


@dataclasses.dataclass
class Quota:
    """One team's token bucket at one entry.

    :ivar rate_per_s: this entry's share of the team's rate
    :ivar tokens: requests that may be admitted now
    """

    rate_per_s: float
    tokens: float
    updated_at_s: float


@dataclasses.dataclass
class Quotas:
    """The quotas of all teams at one entry."""

    by_team: dict[ids.TeamId, Quota] = dataclasses.field(default_factory=dict)


def burst(rate_per_s: float) -> float:
    """Give the size of a bucket, in requests; at least one."""
    return max(1.0, rate_per_s * BURST_S) if rate_per_s > 0 else 0.0


def set_rates(
    quotas: Quotas, rates_per_s: dict[ids.TeamId, float], now_s: float
) -> None:
    """Replace the teams' rates; a team that stays keeps its tokens.

    :param rates_per_s: this entry's share of each team's rate
    """
    earlier = quotas.by_team
    quotas.by_team = {}
    for team, rate_per_s in rates_per_s.items():
        full = burst(rate_per_s)
        quota = earlier.get(team)
        if quota is None:
            quota = Quota(rate_per_s, full, now_s)
        else:
            _refill(quota, now_s)
            quota.rate_per_s = rate_per_s
            quota.tokens = min(quota.tokens, full)
        quotas.by_team[team] = quota


def take(quotas: Quotas, team: ids.TeamId, now_s: float) -> float:
    """Use one token of a team.

    :returns: 0.0 when the token was taken; else the seconds until there
        is one, infinite for a team without a rate
    """
    quota = quotas.by_team.get(team)
    if quota is None or quota.rate_per_s <= 0:
        return float('inf')
    _refill(quota, now_s)
    if quota.tokens < 1.0:
        return (1.0 - quota.tokens) / quota.rate_per_s
    quota.tokens -= 1.0
    return 0.0


def give_back(quotas: Quotas, team: ids.TeamId) -> None:
    """Return the token of a request that was not admitted after all."""
    quota = quotas.by_team.get(team)
    if quota is not None:
        quota.tokens = min(burst(quota.rate_per_s), quota.tokens + 1.0)


def _refill(quota: Quota, now_s: float) -> None:
    elapsed_s = max(0.0, now_s - quota.updated_at_s)
    gained = elapsed_s * quota.rate_per_s
    quota.tokens = min(burst(quota.rate_per_s), quota.tokens + gained)
    quota.updated_at_s = max(now_s, quota.updated_at_s)
