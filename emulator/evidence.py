"""What callers, executors and machines saw, for the checker.

Nothing of the product is used here: what it believes is no evidence.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """What was seen."""

    STARTED = 'started'
    """A run began; ``how`` is ``late`` if its order was carried out late."""

    ENDED = 'ended'
    NOTED = 'noted'
    """An end was acknowledged to its executor."""

    LAPSED = 'lapsed'
    """An executor's lease ran out."""

    DIED = 'died'
    """An executor's life is over; ``how`` is ``order`` if by our order."""

    CRASHED = 'crashed'
    """A task crashes the executor that has started it."""

    HANDED_IN = 'handed-in'
    """A try to hand a job in; ``how`` is ``sent`` or the status."""

    SHOWN = 'shown'
    """A job's state as a caller was told."""

    CANCELLED = 'cancelled'
    CANCEL_IN_DOUBT = 'cancel-in-doubt'
    """A cancel that was sent and may have been done: no answer, or 504."""

    ORDERED = 'ordered'
    """A machine was ordered; ``attempt`` is the term."""

    MAINTAINED = 'maintained'
    DRAINING = 'draining'
    SAVED = 'saved'
    """A run saved its progress; ``saved`` is the value."""

    HARMED = 'harmed'
    """Tasks that fill begin to bring a serving task over its target."""

    EASED = 'eased'
    """They don't any more."""

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
    :ivar saved: the value that a start carried, or that a run saved
    """

    at_s: float
    kind: Kind
    job: str = ''
    task: str = ''
    attempt: int = 0
    place: str = ''
    how: str = ''
    by: str = ''
    saved: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """What an executor has from a time on."""

    at_s: float
    cpu: int
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """One life of an executor, as it was built.

    :ivar guards: it rejects what doesn't fit
    :ivar sizes: those that it got since
    """

    service: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    guards: bool = True
    sizes: list[Size] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Evidence:
    """All that was seen, in order of time.

    :ivar places: the executors, by name
    """

    sights: list[Sight] = dataclasses.field(default_factory=list)
    places: dict[str, Place] = dataclasses.field(default_factory=dict)


def note(evidence: Evidence, at_s: float, kind: Kind, **fields) -> None:
    """Note a sight."""
    evidence.sights.append(Sight(at_s, kind, **fields))
