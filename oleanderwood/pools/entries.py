"""Unusable entries of workers: why they are refused, and what is remembered.

Pure. Other writers may write next to the workers' own entries, or over them.
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
"""Entries that are held until a configuration names their service: four times
the number of workers at the design size. The oldest one is evicted first."""


class Fault(enum.Enum):
    """What is wrong with an entry."""

    KEY = 'key'
    """Its key is not a valid worker id."""

    MALFORMED = 'malformed'
    """It cannot be decoded, or a field is missing or has another type."""

    TOO_LONG = 'too-long'
    STATE = 'state'
    ADDRESS = 'address'
    CAPACITY = 'capacity'
    SERVICE = 'service'
    """No configuration names its service yet."""

    CONTRADICTS = 'contradicts'
    """It names another place than the known worker of the same id."""


class BadEntry(errors.OleanderError):
    """Raised for an entry that describes no usable worker.

    :ivar reason: a short sentence for the log
    """

    def __init__(self, fault: Fault, reason: str) -> None:
        super().__init__(f'{fault.value}: {reason}')
        self.fault = fault
        self.reason = reason[:MAX_REASON]


@dataclasses.dataclass
class Book:
    """A leader's record of the entries that it does not use.

    :ivar refused: the last reason, by executor
    :ivar waiting: valid entries whose service is not named yet
    """

    refused: dict[ids.ExecutorId, str] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[ids.ExecutorId, reports.Entry] = dataclasses.field(
        default_factory=dict
    )


def note_refusal(unused: Book, name: ids.ExecutorId, reason: str) -> bool:
    """Record a refusal; return whether it is to be logged.

    An entry that is written repeatedly is logged again only when its reason
    changes.
    """
    if unused.refused.get(name) == reason:
        return False
    if name not in unused.refused and len(unused.refused) >= MOST_REFUSED:
        return False
    unused.refused[name] = reason
    return True


def forget(unused: Book, name: ids.ExecutorId) -> None:
    """Forget an entry that was removed or has become valid."""
    unused.refused.pop(name, None)
    unused.waiting.pop(name, None)


def wait(unused: Book, entry: reports.Entry) -> None:
    """Hold an entry until its service is named."""
    name = lives.executor(entry.worker)
    unused.waiting.pop(name, None)
    unused.waiting[name] = entry
    if len(unused.waiting) > MOST_WAITING:
        del unused.waiting[next(iter(unused.waiting))]


def keep_only(
    unused: Book, listed: collections.abc.Collection[ids.ExecutorId]
) -> None:
    """Forget all entries that a complete listing does not contain."""
    for name in {*unused.refused, *unused.waiting} - set(listed):
        forget(unused, name)


def same_place(entry: reports.Entry, other: reports.Entry) -> bool:
    """Return whether two entries may belong to one incarnation of a worker."""
    return (entry.service, entry.address, entry.machine) == (
        other.service,
        other.address,
        other.machine,
    )
