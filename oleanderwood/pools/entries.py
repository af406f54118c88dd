"""Unusable entries of workers: why they are refused, and what is remembered.

Pure. Other writers may add entries next to the workers' own, or overwrite
them.
"""

import collections.abc
import dataclasses
import enum

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports

MAX_REASON_CHARS = 200
"""Characters of a reason that are kept and logged."""

MAX_REFUSED = 1000
"""Refused entries whose reasons are remembered: as many as there are workers
at the design size. Further ones are counted but not logged."""

MAX_WAITING = 4000
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
        self.reason = reason[:MAX_REASON_CHARS]


@dataclasses.dataclass
class UnusedEntries:
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


def record_refusal(
    unused: UnusedEntries, name: ids.ExecutorId, reason: str
) -> bool:
    """Record a refusal; return whether it is to be logged.

    An entry that is written repeatedly is logged again only when its reason
    changes.
    """
    if unused.refused.get(name) == reason:
        return False
    if name not in unused.refused and len(unused.refused) >= MAX_REFUSED:
        return False
    unused.refused[name] = reason
    return True


def forget(unused: UnusedEntries, name: ids.ExecutorId) -> None:
    """Forget an entry that was removed or has become valid."""
    unused.refused.pop(name, None)
    unused.waiting.pop(name, None)


def hold(unused: UnusedEntries, entry: reports.Entry) -> None:
    """Hold an entry until its service is named."""
    name = incarnations.executor_of(entry.worker)
    unused.waiting.pop(name, None)
    unused.waiting[name] = entry
    if len(unused.waiting) > MAX_WAITING:
        del unused.waiting[next(iter(unused.waiting))]


def forget_unlisted(
    unused: UnusedEntries, listed: collections.abc.Collection[ids.ExecutorId]
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
