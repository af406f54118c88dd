"""What callers, executors and machines saw, for the checker.

Nothing of the product is used here: what it believes is no evidence.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """What was seen."""

    STARTED = 'started'
    ENDED = 'ended'
    NOTED = 'noted'
    """An end was acknowledged to its executor."""

    DIED = 'died'
    """An executor's life is over; ``how`` is ``order`` if by our order."""

    HANDED_IN = 'handed-in'
    """A try to hand a job in; ``how`` is ``sent`` or the status."""

    SHOWN = 'shown'
    """A job's state as a caller was told."""

    CANCELLED = 'cancelled'
    ORDERED = 'ordered'
    """A machine was ordered; ``attempt`` is the term."""

    MAINTAINED = 'maintained'
    DRAINING = 'draining'
    SPOILED = 'spoiled'
    """An executor's entry was written over: it names nobody to use."""

    MENDED = 'mended'
    """An executor's entry is its own again."""

    DEAF = 'deaf'
    """Servers may not hear of changes in the store, from ``how`` ``begin``
    to ``end``; such spans overlap."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sight:
    """One thing that was seen.

    :ivar by: the process whose order or answer it was
    """

    at_s: float
    kind: Kind
    job: str = ''
    task: str = ''
    attempt: int = 0
    place: str = ''
    how: str = ''
    by: str = ''


@dataclasses.dataclass
class Evidence:
    """All that was seen, in order of time."""

    sights: list[Sight] = dataclasses.field(default_factory=list)


def note(evidence: Evidence, at_s: float, kind: Kind, **fields) -> None:
    """Note a sight."""
    evidence.sights.append(Sight(at_s, kind, **fields))
