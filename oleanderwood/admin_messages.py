"""Access to the bodies of the administration API, all of them JSON."""

import enum

import msgspec

from oleanderwood import apply
from oleanderwood import configuration
from oleanderwood import difference
from oleanderwood import history
from oleanderwood import ids
from oleanderwood import plan as plans
from oleanderwood import verdict as verdicts
from oleanderwood import wave_state


class ErrorKind(enum.Enum):
    """Why a call was refused or failed."""

    FAULTS = 'faults'
    """The file has faults, or a wave can't be ordered so."""

    BAD_REQUEST = 'bad-request'
    UNAUTHORISED = 'unauthorised'
    NOT_FOUND = 'not-found'
    CONFLICT = 'conflict'
    """Another came first."""

    NOT_RUN = 'not-run'
    """Something could not be reached; nothing was changed."""

    MAY_HAVE_RUN = 'may-have-run'
    """An answer was lost; the change may be in force."""


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of request bodies: unknown keys are errors."""


class FileBody(Body, frozen=True):
    """Asks about an operators' file, given as its text."""

    file: str


class ApplyBody(Body, frozen=True):
    """Asks to apply an operators' file as a whole.

    ``base`` is the revision that the operator saw; None: the one in force
    when the call arrives. ``operation`` is an id of the operator's choice,
    by which the outcome can be asked for later; '' lets one be made.
    """

    file: str
    base: ids.Revision | None = None
    author: str = ''
    operation: ids.OperationId = ids.OperationId('')


class OrderBody(Body, frozen=True):
    """Orders something of a wave."""

    reason: str = ''


class Fault(msgspec.Struct, frozen=True):
    """One fault of a file."""

    path: str
    reason: str
    remedy: str


class ErrorReply(msgspec.Struct, frozen=True):
    """Body of each answer that isn't 200.

    ``applied`` says more of an apply; ``verdict`` whether it may have run.
    """

    error: ErrorKind
    message: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    faults: tuple[Fault, ...] = ()
    applied: apply.Applied | None = None


class ValidateReply(msgspec.Struct, frozen=True):
    """The file is sound; ``revision`` is the one it was held against."""

    revision: ids.Revision
    changes: int


class DiffReply(msgspec.Struct, frozen=True):
    """What an apply would change against ``revision``."""

    revision: ids.Revision
    changes: tuple[difference.Change, ...]


class PlanReply(msgspec.Struct, frozen=True):
    """What an apply would change and move against ``revision``."""

    revision: ids.Revision
    plan: plans.Plan


class ConfigurationReply(msgspec.Struct, frozen=True):
    """The configuration in force."""

    revision: ids.Revision
    author: str
    accepted_at_s: float
    configuration: configuration.Configuration


class MemberStatus(msgspec.Struct, frozen=True):
    """An entry and the revision in force there; None if it didn't say."""

    entry: ids.EntryId
    data_centre: ids.DataCentre
    revision: ids.Revision | None
    reason: str = ''


class OperationStatus(msgspec.Struct, frozen=True):
    """What became of an apply; ``known`` is False if there is no record."""

    operation: ids.OperationId
    known: bool
    outcome: history.Outcome | None = None
    revision: ids.Revision | None = None


class StatusReply(msgspec.Struct, frozen=True):
    """The state of the whole, as far as it answers."""

    revision: ids.Revision
    author: str
    accepted_at_s: float
    members: tuple[MemberStatus, ...] = ()
    waves: tuple[wave_state.Waves, ...] = ()
    operation: OperationStatus | None = None


class HistoryReply(msgspec.Struct, frozen=True):
    """Applies, newest first."""

    records: tuple[history.Record, ...]


class RegionWave(msgspec.Struct, frozen=True):
    """A wave in one region after an order."""

    region: ids.Region
    wave: wave_state.Wave


class WaveReply(msgspec.Struct, frozen=True):
    """A wave in each region of its pools."""

    regions: tuple[RegionWave, ...]
