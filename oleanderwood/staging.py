"""Access to what an apply keeps in the store besides the head.

The order matters: the record, the parts, then (in :mod:`apply`) the head;
garbage is deleted before the record that names it is settled.
"""

import dataclasses
import logging

from oleanderwood import change
from oleanderwood import configuration
from oleanderwood import difference
from oleanderwood import errors
from oleanderwood import history
from oleanderwood import ids
from oleanderwood import parts
from oleanderwood import store
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('staging')

NO_HEAD = configuration.Head(
    ids.Revision(0), ids.Revision(0), {}, ids.OperationId('')
)


class TooMany(errors.StoreConflict):
    """More applies wait for their outcome than the history holds."""


@dataclasses.dataclass(frozen=True)
class Current:
    """The head as read: its version in the store and its configuration."""

    head: configuration.Head
    version: int
    whole: configuration.Configuration


async def read_current(
    kept: store.Store, held: dict[str, bytes] | None = None
) -> Current:
    """Read the head and its configuration.

    :param held: parts held already, by reference; those read are added
    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.BadMessage: a part is damaged
    """
    for _ in range(change.MAX_ATTEMPTS):
        head, item = await change.read(kept, store.CONFIG_HEAD_KEY, NO_HEAD)
        with change.reading():
            whole = await parts.fetch(kept, head, held)
        if whole is not None:
            version = store.ABSENT if item is None else item.version
            return Current(head, version, whole)
    raise errors.StoreUnavailable(
        verdicts.Verdict.NOT_RUN, 'the parts of the configuration are gone'
    )


async def stage(
    kept: store.Store,
    current: Current,
    staged: configuration.Head,
    wanted: configuration.Configuration,
) -> None:
    """Write the record down before the first part.

    :raises errors.StoreUnavailable: with a verdict; no part was written
    :raises TooMany: :func:`clear` makes room
    :raises errors.StoreConflict: the operation id is that of another
    """
    written = parts.written(staged.parts, staged.operation)
    kept_parts = set(staged.parts.values())
    record = history.Record(
        operation=staged.operation,
        author=staged.author,
        base=staged.base,
        base_operation=current.head.operation,
        revision=staged.revision,
        staged_at_s=staged.accepted_at_s,
        changes=difference.summary(difference.diff(current.whole, wanted)),
        written=tuple(written.values()),
        replaced=tuple(set(current.head.parts.values()) - kept_parts),
    )

    def add(known: history.History) -> history.History:
        if history.staged_count(known) >= history.MAX_STAGED:
            raise TooMany('too many applies are not decided')
        if history.find(known, staged.operation) is not None:
            raise errors.StoreConflict(f'{staged.operation} was tried before')
        return history.stage(known, record)

    await change.change(
        kept, history.KEY, history.History(), add, staged.operation
    )


async def write_parts(
    kept: store.Store, staged: configuration.Head, split: dict[str, bytes]
) -> None:
    """Write the parts that the operation brings."""
    written = parts.written(staged.parts, staged.operation)
    for part, reference in written.items():
        await kept.swap(
            parts.key(reference),
            split[part],
            store.ABSENT,
            staged.operation,
            None,
        )


async def withdraw(kept: store.Store, staged: configuration.Head) -> None:
    """Take back what an apply wrote whose head swap was never sent."""
    written = parts.written(staged.parts, staged.operation)
    name = ids.OperationId(f'{staged.operation}-withdraw')
    try:
        await _delete_parts(kept, tuple(written.values()))
        await change.change(
            kept,
            history.KEY,
            history.History(),
            lambda known: history.withdraw(known, {staged.operation}),
            name,
        )
    except (errors.CallFailed, errors.StoreConflict) as error:
        LOG.warning('Left for a later apply to clear: %s.', error)


async def settle(
    kept: store.Store, operation: ids.OperationId
) -> history.History | None:
    """Decide records by the head, and delete parts that none names.

    Read the head first: the history then has the record that made it.

    :returns: the history, None if the store didn't answer
    """
    try:
        head, _ = await change.read(kept, store.CONFIG_HEAD_KEY, NO_HEAD)
        known, _ = await change.read(kept, history.KEY, history.History())
        _, garbage = history.settle(known, head)
        await _delete_parts(kept, garbage)
        return await change.change(
            kept,
            history.KEY,
            history.History(),
            lambda latest: _settled(latest, known, head),
            ids.OperationId(f'{operation}-settle'),
        )
    except (errors.CallFailed, errors.StoreConflict) as error:
        LOG.warning('History not settled: %s.', error)
        return None


def _settled(
    latest: history.History,
    seen: history.History,
    head: configuration.Head,
) -> history.History:
    """Settle only records whose garbage was deleted, those seen before."""
    settled, _ = history.settle(latest, head)
    done = {record.operation for record in seen.records}
    before = {record.operation: record for record in latest.records}
    return history.History(
        tuple(
            record if record.operation in done else before[record.operation]
            for record in settled.records
        )
    )


async def fence(
    kept: store.Store, operation: ids.OperationId
) -> configuration.Head:
    """Write the head anew as it is: swaps under way against it conflict.

    :returns: the head; no revision based on it that was staged earlier
        can be accepted any more
    :raises errors.StoreUnavailable: the store didn't answer
    """
    return await change.change(
        kept,
        store.CONFIG_HEAD_KEY,
        NO_HEAD,
        lambda head: head,
        operation,
        always=True,
    )


async def clear(kept: store.Store, operation: ids.OperationId) -> None:
    """Make an end of all applies that aren't decided.

    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: others were faster
    """
    known, _ = await change.read(kept, history.KEY, history.History())
    name = ids.OperationId(f'{operation}-fence')
    head = await fence(kept, name)
    _, garbage = history.settle(known, head)
    undecided = history.undecided(known, head)
    named = set(head.parts.values())
    for record in undecided:
        garbage += tuple(ref for ref in record.written if ref not in named)
    await _delete_parts(kept, garbage)
    dead = {record.operation for record in undecided}
    await change.change(
        kept,
        history.KEY,
        history.History(),
        lambda latest: history.withdraw(latest, dead),
        ids.OperationId(f'{operation}-clear'),
    )
    LOG.warning('Made an end of %d undecided applies.', len(dead))


async def _delete_parts(
    kept: store.Store, references: tuple[str, ...]
) -> None:
    for reference in references:
        item = await kept.get(parts.key(reference))
        if item is not None:
            await kept.delete(item.key, item.version)
