"""Applying a file: it comes into force as a whole, or not at all.

The policy and its record in the history are one transaction, under the
condition that nobody else came first. An answer that was lost is settled by
reading: the policy names the operation that wrote it.
"""

import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.jobs import record
from oleanderwood.operators import messages
from oleanderwood.platform import store as stores
from oleanderwood.policy import model
from oleanderwood.policy import reading
from oleanderwood import verdict as verdicts

HISTORY_KEY = 'ow/policy-history'

KEPT_RECORDS = 200
"""Accepted applies that are told; a record takes about 200 bytes."""

ATTEMPTS = 4
"""Times that a write without an answer is repeated; the condition lets it
be carried out once at most."""

Kind = messages.ErrorKind


class Refused(errors.OleanderError):
    """A call that gets an :class:`messages.ErrorReply`."""

    def __init__(self, reply: messages.ErrorReply) -> None:
        super().__init__(reply.message)
        self.reply = reply


def parse(text: str) -> model.Policy:
    """Read a file.

    :raises Refused: with all its faults
    """
    try:
        return reading.read(text)
    except ExceptionGroup as group:
        details = tuple(str(fault) for fault in group.exceptions)
        raise Refused(
            messages.ErrorReply(
                Kind.FAULTS, 'the file has faults', details=details
            )
        ) from group


async def current(store: stores.Store) -> tuple[model.StoredPolicy, int]:
    """Read the policy in force, and the revision of its key; 0 for none.

    :raises errors.CallFailed: the store didn't answer
    """
    item = await stores.read(store, record.POLICY_KEY)
    if item is None:
        return model.NONE, 0
    return reading.decode(item.value), item.revision


async def history(
    store: stores.Store,
) -> tuple[tuple[messages.Record, ...], int]:
    """Read the accepted applies, newest first, and their key's revision.

    :raises errors.CallFailed: the store didn't answer
    """
    item = await stores.read(store, HISTORY_KEY)
    if item is None:
        return (), 0
    rows = codec.decode(item.value, tuple[messages.Record, ...])
    return rows, item.revision


async def apply(
    store: stores.Store, body: messages.ApplyBody
) -> messages.ApplyReply:
    """Bring a file into force.

    :raises Refused: it has faults, or another came first
    :raises errors.CallFailed: the store didn't answer; the verdict says
        whether the file may be in force
    """
    policy = parse(body.text)
    last: errors.CallFailed | None = None
    in_doubt = False
    for _attempt in range(ATTEMPTS):
        try:
            return await _try(store, body, policy)
        except stores.Conflict:
            # Read again: it may be our own write without an answer.
            last = errors.CallFailed(
                verdicts.Verdict.NOT_RUN, 'others apply all the time'
            )
        except errors.CallFailed as error:
            last = error
            in_doubt |= error.verdict is not verdicts.Verdict.NOT_RUN
    verdict = verdicts.Verdict.NOT_RUN
    if in_doubt:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    raise errors.CallFailed(verdict, last.reason)


async def _try(
    store: stores.Store, body: messages.ApplyBody, policy: model.Policy
) -> messages.ApplyReply:
    kept, revision = await current(store)
    records, history_revision = await history(store)
    for row in records:
        if row.operation == body.operation:
            return messages.ApplyReply(row.number, row.changes)
    if kept.number != body.base:
        raise Refused(
            messages.ErrorReply(
                Kind.CONFLICT,
                f'number {kept.number} by {kept.author or "nobody"} is in '
                f'force, the file was written against {body.base}',
            )
        )
    changes = tuple(reading.differences(kept.policy, policy))
    number = kept.number + 1
    at_ms = clock.wall_ms()
    new = model.StoredPolicy(
        number, policy, body.text, body.author, body.operation, at_ms
    )
    row = messages.Record(number, body.author, body.operation, at_ms, changes)
    rows = (row, *records)[:KEPT_RECORDS]
    await stores.write(
        store,
        {record.POLICY_KEY: revision, HISTORY_KEY: history_revision},
        {
            record.POLICY_KEY: reading.encode(new),
            HISTORY_KEY: msgspec.json.encode(rows),
        },
    )
    event_log.emit(
        'policy',
        'applied',
        number=number,
        author=body.author,
        operation=body.operation,
        changes=len(changes),
    )
    return messages.ApplyReply(number, changes)


def compare(
    kept: model.StoredPolicy, text: str, unknown: tuple[str, ...]
) -> messages.PlanReply:
    """Tell what a file would change.

    :raises Refused: it has faults
    """
    changes = reading.differences(kept.policy, parse(text))
    return messages.PlanReply(kept.number, tuple(changes), unknown)
