"""Workers' entries that can't be used: why, and what is remembered of them.

Pure. Other writers may write beside the workers' own entries, or over them.
"""

import collections.abc
import dataclasses
import enum

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.pools import lives
from oleanderwood.pools import reports

MAX_REASON = 200
"""Characters of a reason that are kept and logged."""

MOST_REFUSED = 1000
"""Refused entries whose reasons are remembered: as many as there are workers
at the design size. Further ones are counted but not logged."""

MOST_WAITING = 4000
"""Entries that wait for their service to be named, four times the workers of
the design size; the one that has waited longest goes first."""


class Fault(enum.Enum):
    """What is wrong with an entry."""

    KEY = 'key'
    """Its key can't be the id of a worker."""

    MALFORMED = 'malformed'
    """Its bytes can't be read, a field is missing or of another type."""

    TOO_LONG = 'too-long'
    STATE = 'state'
    ADDRESS = 'address'
    CAPACITY = 'capacity'
    SERVICE = 'service'
    """No configuration names its service so far."""

    CONTRADICTS = 'contradicts'
    """It names another place than the worker that is known by this id."""


class BadEntry(errors.OleanderError):
    """An entry that names no worker to use.

    :ivar reason: a short sentence for the log
    """

    def __init__(self, fault: Fault, reason: str) -> None:
        super().__init__(f'{fault.value}: {reason}')
        self.fault = fault
        self.reason = reason[:MAX_REASON]


@dataclasses.dataclass
class Book:
    """What a leader remembers of entries that it doesn't use.

    :ivar refused: the last reason, by executor
    :ivar waiting: sound entries whose service isn't named yet
    """

    refused: dict[ids.ExecutorId, str] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[ids.ExecutorId, reports.Entry] = dataclasses.field(
        default_factory=dict
    )


def note_refusal(book: Book, name: ids.ExecutorId, reason: str) -> bool:
    """Note a refusal; says whether it is to be logged.

    An entry that is written again and again is logged when its reason
    changes.
    """
    if book.refused.get(name) == reason:
        return False
    if name not in book.refused and len(book.refused) >= MOST_REFUSED:
        return False
    book.refused[name] = reason
    return True


def forget(book: Book, name: ids.ExecutorId) -> None:
    """Forget an entry that is gone, or good again."""
    book.refused.pop(name, None)
    book.waiting.pop(name, None)


def wait(book: Book, entry: reports.Entry) -> None:
    """Keep an entry until its service is named."""
    name = lives.executor(entry.worker)
    book.waiting.pop(name, None)
    book.waiting[name] = entry
    if len(book.waiting) > MOST_WAITING:
        del book.waiting[next(iter(book.waiting))]


def keep_only(
    book: Book, listed: collections.abc.Collection[ids.ExecutorId]
) -> None:
    """Forget all entries but those that a whole reading has."""
    for name in {*book.refused, *book.waiting} - set(listed):
        forget(book, name)


def same_place(entry: reports.Entry, other: reports.Entry) -> bool:
    """Say whether two entries may be of one life of a worker."""
    return (entry.service, entry.address, entry.machine) == (
        other.service,
        other.address,
        other.machine,
    )
