"""A leader's writes: refused once another leads, and never out of order.

A write without an answer may be carried out seconds later. It must not put
an older value over a newer one, so each names the revision that it replaces.
"""

from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import store as stores
from oleanderwood import verdict as verdicts

KEYS_A_WRITE = (stores.MAX_WRITES - 1) // 2
"""Each key takes a condition and a write; one condition is the leader's."""

ATTEMPTS = 5
"""Times that a write is tried whose condition doesn't hold: one try finds
the revision that an unanswered write has left."""

FIRST_TIMEOUT_S = 0.5
"""Time after which a write is tried once more, twice what a slow store takes:
all starts of a new leader wait for its first rosters."""


async def write(leader: states.Leader, values: dict[str, bytes]) -> None:
    """Write a leader's values, at most ``KEYS_A_WRITE`` of them.

    :raises stores.Conflict: another server leads
    :raises errors.CallFailed: the values may be written, now or later, but
        not over those of a later call
    """
    known = leader.written
    timeout_s = FIRST_TIMEOUT_S
    for _attempt in range(ATTEMPTS):
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
            _learn(leader, conflict, values)
            continue
        for key in values:
            known[key] = max(revision, known.get(key, 0))
        return
    raise last


async def try_write(
    leader: states.Leader, values: dict[str, bytes], part: str, event: str
) -> bool:
    """Write values that may be written later as well; says whether they are.

    Ends the term if another server leads.

    :param part: of the log line that tells of a failure
    :param event: the same
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


def _learn(
    leader: states.Leader,
    conflict: stores.Conflict,
    values: dict[str, bytes],
) -> None:
    """Take over the revisions that a refused write has shown.

    :raises stores.Conflict: another server leads
    """
    found = {
        item.key: item.revision for item in conflict.items if not item.removed
    }
    if found.get(roles_.LEADER_KEY) != leader.revision:
        raise conflict
    for key in values:
        if found.get(key, 0) != leader.written.get(key, 0):
            event_log.emit('store', 'written-meanwhile', key=key)
        leader.written[key] = found.get(key, 0)


def note_read(leader: states.Leader, item: stores.Item) -> None:
    """Note the revision of a value that a new leader has read."""
    leader.written[item.key] = item.revision
