"""Access to the history of configurations: one bounded value of the store.

An apply writes its record before its first part, so that a daemon that
dies midway leaves no part that nobody knows of. Which records were
accepted follows from the head alone: each names the operation that made
its base.
"""

import collections.abc
import enum

import msgspec

from oleanderwood import configuration
from oleanderwood import ids

KEY = 'config/history'

KEPT_RECORDS = 200
"""Decided records that are kept."""

MAX_STAGED = 32
"""Records that may wait for their outcome at once."""


class Outcome(enum.Enum):
    """What became of an apply."""

    STAGED = 'staged'
    """Not decided, or its daemon died before the head could be swapped."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    """Another revision took its place; it can't come into force."""


class Record(msgspec.Struct, frozen=True):
    """One apply.

    ``base`` and ``base_operation`` name the revision that it is based on;
    ``revision`` is the one that it makes. ``written`` are references of
    parts that it writes, ``replaced`` those of its base that it leaves
    out; both are empty once what is garbage was deleted.
    """

    operation: ids.OperationId
    author: str
    base: ids.Revision
    base_operation: ids.OperationId
    revision: ids.Revision
    staged_at_s: float
    changes: str
    written: tuple[str, ...] = ()
    replaced: tuple[str, ...] = ()
    outcome: Outcome = Outcome.STAGED


class History(msgspec.Struct, frozen=True):
    """Records, oldest first."""

    records: tuple[Record, ...] = ()


def stage(history: History, record: Record) -> History:
    """Add a record that is about to be tried."""
    return History(history.records + (record,))


def staged_count(history: History) -> int:
    """Count the records that wait for their outcome."""
    return sum(r.outcome is Outcome.STAGED for r in history.records)


def find(history: History, operation: ids.OperationId) -> Record | None:
    """Give an operation's record, None if it isn't known (any more)."""
    for record in history.records:
        if record.operation == operation:
            return record
    return None


def withdraw(
    history: History, operations: collections.abc.Set[ids.OperationId]
) -> History:
    """Drop records that weren't accepted and never will be."""
    return History(
        tuple(r for r in history.records if r.operation not in operations)
    )


def undecided(
    history: History, head: configuration.Head
) -> tuple[Record, ...]:
    """Give the records that the head doesn't decide."""
    settled, _ = settle(history, head)
    still = {
        record.operation
        for record in settled.records
        if record.outcome is Outcome.STAGED
    }
    return tuple(r for r in history.records if r.operation in still)


def settle(
    history: History, head: configuration.Head
) -> tuple[History, tuple[str, ...]]:
    """Decide the records that the head decides.

    The head must have been read before the history, which then has the
    record of the head's own operation.

    :returns: the history, and references of parts that no head names and
        none will: they may be deleted, as the settled history doesn't
        mention them any more
    """
    accepted, known_from = _accepted(history, head)
    records = []
    garbage: list[str] = []
    for record in history.records:
        outcome = _outcome(record, accepted, known_from, head)
        if outcome is Outcome.STAGED or record.outcome is not Outcome.STAGED:
            records.append(record)
            continue
        won = outcome is Outcome.ACCEPTED
        garbage += record.replaced if won else record.written
        records.append(
            msgspec.structs.replace(
                record, outcome=outcome, written=(), replaced=()
            )
        )
    named = set(head.parts.values())
    loose = tuple(reference for reference in garbage if reference not in named)
    return History(_bounded(records)), loose


def _accepted(
    history: History, head: configuration.Head
) -> tuple[set[ids.OperationId], ids.Revision]:
    """Follow the head back from operation to operation.

    :returns: operations that were accepted, and the revision above which
        they are all that were
    """
    by_operation = {record.operation: record for record in history.records}
    accepted = {head.operation}
    known_from = head.base
    record = by_operation.get(head.operation)
    while record is not None:
        known_from = record.base
        accepted.add(record.base_operation)
        record = by_operation.get(record.base_operation)
    return accepted, known_from


def _outcome(
    record: Record,
    accepted: set[ids.OperationId],
    known_from: ids.Revision,
    head: configuration.Head,
) -> Outcome:
    if record.outcome is not Outcome.STAGED:
        return record.outcome
    if record.operation in accepted:
        return Outcome.ACCEPTED
    if known_from <= record.base < head.revision:
        return Outcome.REFUSED
    return Outcome.STAGED


def _bounded(records: list[Record]) -> tuple[Record, ...]:
    decided = [r for r in records if r.outcome is not Outcome.STAGED]
    dropped = {r.operation for r in decided[:-KEPT_RECORDS]}
    return tuple(r for r in records if r.operation not in dropped)
