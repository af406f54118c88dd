"""Access to the configuration in force at a process, and to staged ones.

A staged revision was acknowledged to an operator's apply, and may become
the accepted one at any moment. Revisions in force only grow.
"""

import dataclasses
import math

from oleanderwood import anomalies
from oleanderwood import configuration
from oleanderwood import ids

IN_DOUBT_S = 4.0
"""An entry in doubt of a staged revision for longer isn't ready."""

MAX_STAGES = 4
"""Staged revisions that are held at once."""


@dataclasses.dataclass(frozen=True)
class Stage:
    """A revision whose outcome isn't known.

    :ivar content: None if it wasn't acknowledged here, but was under way
        when this process joined
    :ivar base_version: the store's version of the head that is to be
        swapped for it, None if the operator's side didn't say
    """

    head: configuration.Head
    content: configuration.Configuration | None
    since_s: float
    base_version: int | None = None


@dataclasses.dataclass
class ConfigState:
    """What a process knows of the configuration.

    :ivar head: the accepted revision in force here, with its content
    :ivar checked_s: when the last answered read of the store's head was
        sent
    :ivar stages: by operation
    """

    head: configuration.Head | None = None
    content: configuration.Configuration | None = None
    checked_s: float = -math.inf
    stages: dict[ids.OperationId, Stage] = dataclasses.field(
        default_factory=dict
    )
    counts: anomalies.Anomalies = dataclasses.field(
        default_factory=anomalies.Anomalies
    )


def revision(state: ConfigState) -> ids.Revision:
    """Give the revision in force, 0 for none."""
    if state.head is None:
        return ids.Revision(0)
    return state.head.revision


def stage(
    state: ConfigState,
    head: configuration.Head,
    content: configuration.Configuration,
    now_s: float,
    base_version: int | None = None,
) -> str:
    """Hold a revision ready; gives '' if acknowledged, else why not."""
    if head.revision <= revision(state):
        return f'revision {revision(state)} is in force'
    known = state.stages.get(head.operation)
    if known is not None and known.content is not None:
        return ''
    held = sum(found.content is not None for found in state.stages.values())
    if held >= MAX_STAGES:
        return 'too many staged revisions'
    found = Stage(head, content, now_s, base_version)
    state.stages[head.operation] = found
    return ''


def note(
    state: ConfigState, head: configuration.Head, now_s: float, version: int
) -> None:
    """Hold in mind a revision that others may be acknowledging now.

    To be called for each apply that the store's history doesn't decide,
    with the version of the head as read after that history.
    """
    if head.revision > revision(state):
        found = Stage(head, None, now_s, version)
        state.stages.setdefault(head.operation, found)


def staged(
    state: ConfigState, head: configuration.Head
) -> configuration.Configuration | None:
    """Give the content of a head if it was staged here."""
    found = state.stages.get(head.operation)
    if found is None or found.head.revision != head.revision:
        return None
    if found.head.parts != head.parts:
        return None
    return found.content


def commit(
    state: ConfigState, number: ids.Revision, operation: ids.OperationId
) -> bool:
    """Put a staged revision in force; False if it isn't staged here."""
    found = state.stages.get(operation)
    if found is None or found.head.revision != number:
        return False
    if found.content is None:
        return False
    return apply(state, found.head, found.content)


def drop(state: ConfigState, operation: ids.OperationId) -> None:
    """Forget a staged revision that was not accepted."""
    state.stages.pop(operation, None)


def apply(
    state: ConfigState,
    head: configuration.Head,
    content: configuration.Configuration,
) -> bool:
    """Put an accepted revision in force; a lower one is refused.

    Stages up to it have lost: a swap of the head can't accept them now.
    """
    known = revision(state)
    same = state.head is None or state.head.operation == head.operation
    if not anomalies.newer(
        state.counts, 'configuration', known, head.revision, same
    ):
        return False
    state.head = head
    state.content = content
    state.stages = {
        operation: found
        for operation, found in state.stages.items()
        if found.head.revision > head.revision
    }
    return True


def check(state: ConfigState, sent_s: float, version: int = 0) -> None:
    """Note that a read of the store's head was answered, and applied.

    Stages that were to replace an earlier version of it can't any more.

    :param sent_s: when the read was sent: no stage was in force then
    :param version: the store's version of the head, 0 if not known
    """
    state.checked_s = max(state.checked_s, sent_s)
    state.stages = {
        operation: found
        for operation, found in state.stages.items()
        if found.base_version is None or version <= found.base_version
    }


def lowest_staged(state: ConfigState) -> ids.Revision | None:
    """Give the lowest staged revision, None if there is none."""
    numbers = (found.head.revision for found in state.stages.values())
    return min(numbers, default=None)


def in_doubt(state: ConfigState, now_s: float) -> ids.Revision:
    """Give the staged revision that the process is in doubt of, else 0."""
    for found in state.stages.values():
        known_s = max(found.since_s, state.checked_s)
        if now_s - known_s >= IN_DOUBT_S:
            return found.head.revision
    return ids.Revision(0)
