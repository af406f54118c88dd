"""Check whether a server's configuration is recent enough to check keys.

A revoked key has to stop working in time at every server, also at one that the
store refuses or that was suspended. So a server trusts its keys only for a
limited time after it has read the configuration itself. Other answers from the
store, such as that of a lease renewal, prove nothing.
"""

from oleanderwood import clock
from oleanderwood.leading import state as states

SLACK_S = 2.0
"""How much earlier than the revocation time a server stops trusting its keys:
a watch may miss a change for a second, and a call may take up to another."""

MIN_TRUST_SHARE = 0.4
"""Smallest share of the revocation time for which a server trusts its keys,
for times so short that the slack would leave nothing."""


def trusted_s(server: states.Server) -> float:
    """Return how long keys are trusted after the configuration was read."""
    revocation_s = server.settings.key_revocation_ms / 1000
    return max(MIN_TRUST_SHARE * revocation_s, revocation_s - SLACK_S)


def is_recent(server: states.Server) -> bool:
    """Return whether the configuration is recent enough to check keys."""
    age_s = clock.now_s() - server.configuration_confirmed_s
    return age_s <= trusted_s(server)


def record_reading(server: states.Server, sent_s: float) -> None:
    """Record that a reading sent at ``sent_s`` showed all changes up to then.

    The answer may be older than its arrival, so the time of sending counts.
    """
    server.configuration_confirmed_s = max(
        server.configuration_confirmed_s, sent_s
    )
