"""Whether a server's configuration is surely recent enough for keys.

A key that was taken away has to stop in time at every server, also at one
that the store turns away or that was suspended. So a server trusts its keys
only for a while after a reading of the configuration itself; that the store
answered something else, as the renewal of a lease, proves nothing.
"""

from oleanderwood import clock
from oleanderwood.leading import state as states

SLACK_S = 2.0
"""How much earlier than keys must stop a server ceases to trust them: a watch
may hear nothing of a change for a second, and a call is under way for up to
another."""

LEAST_PART = 0.4
"""Part of the time that a server trusts its keys at least, where keys must
stop so soon that the slack would leave nothing."""


def trusted_s(server: states.Server) -> float:
    """Give for how long after a reading keys are trusted."""
    revocation_s = server.settings.key_revocation_ms / 1000
    return max(LEAST_PART * revocation_s, revocation_s - SLACK_S)


def is_proven(server: states.Server) -> bool:
    """Say whether keys may be judged by this server's configuration now."""
    age_s = clock.now_s() - server.configuration_proven_s
    return age_s <= trusted_s(server)


def note_reading(server: states.Server, sent_s: float) -> None:
    """Note that a reading sent at some time told all changes up to then.

    The answer may be older than its arrival, so the time of sending counts.
    """
    server.configuration_proven_s = max(server.configuration_proven_s, sent_s)
