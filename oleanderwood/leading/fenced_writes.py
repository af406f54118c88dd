"""Writes of a leader: refused once another server leads, and kept in order.

An unanswered write may be carried out seconds later. It must not replace a
newer value with an older one, so each write names the revision that it
replaces.
"""

from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood import verdict as verdicts

MAX_KEYS_PER_WRITE = (stores.MAX_WRITES - 1) // 2
"""Maximum number of keys in one write: each needs a condition and a write, and
one more condition is the leader key."""

MAX_TRIES = 5
"""How often a write is tried if its condition does not hold; one attempt finds
the revision left by an unanswered write."""

FIRST_TIMEOUT_S = 0.5
"""Timeout of the first attempt, in seconds, twice what a slow store takes: all
starts of a new leader wait for its first worker lists."""


async def write(leader: states.Leader, values: dict[str, bytes]) -> None:
    """Write values of a leader, at most ``MAX_KEYS_PER_WRITE`` of them.

    :raises stores.Conflict: another server leads
    :raises errors.CallFailed: the values may be written, now or later, but
        never over those of a later call
    """
    known = leader.written_revisions
    timeout_s = FIRST_TIMEOUT_S
    for _attempt in range(MAX_TRIES):
        conditions = {key: known.get(key, 0) for key in values}
        conditions[roles_.LEADER_KEY] = leader.revision
        try:
            revision = await stores.write(
                leader.server.store, conditions, values, timeout_s=timeout_s
            )
        except errors.CallFailed as error:
            tried = timeout_s == stores.CALL_TIMEOUT_S
            if tried or error.verdict is verdicts.Verdict.NOT_RUN:
                raise
            last = error
            timeout_s = stores.CALL_TIMEOUT_S
            continue
        except stores.Conflict as conflict:
            last = conflict
            _adopt_revisions(leader, conflict, values)
            continue
        for key in values:
            known[key] = max(revision, known.get(key, 0))
        return
    raise last


async def try_write(
    leader: states.Leader, values: dict[str, bytes], part: str, event: str
) -> bool:
    """Write values that may also be written later; return whether they were.

    End the term if another server leads.

    :param part: part of the log line that reports a failure
    :param event: event of that log line
    """
    try:
        await write(leader, values)
    except stores.Conflict:
        await states.depose(leader, 'another server leads')
        return False
    except errors.CallFailed as error:
        event_log.emit(part, event, why=error.reason)
        return False
    return True


def _adopt_revisions(
    leader: states.Leader,
    conflict: stores.Conflict,
    values: dict[str, bytes],
) -> None:
    """Adopt the revisions that a refused write has returned.

    :raises stores.Conflict: another server leads
    """
    found = {
        item.key: item.revision for item in conflict.items if not item.removed
    }
    if found.get(roles_.LEADER_KEY) != leader.revision:
        raise conflict
    for key in values:
        if found.get(key, 0) != leader.written_revisions.get(key, 0):
            event_log.emit('store', 'written-meanwhile', key=key)
        leader.written_revisions[key] = found.get(key, 0)


def note_read(leader: states.Leader, item: stores.Item) -> None:
    """Record the revision of a value read by a new leader."""
    leader.written_revisions[item.key] = item.revision
