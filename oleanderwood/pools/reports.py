"""What workers tell of themselves, and what they are told."""

import enum

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import model


class Entry(msgspec.Struct, frozen=True):
    """A worker's own entry in the store.

    :ivar worker: one life of a machine's executor, see
        :mod:`oleanderwood.pools.lives`
    :ivar labels: its kind, then its rack
    """

    worker: ids.VmId
    service: ids.ServiceId
    address: ids.Address
    data_centre: ids.DataCentre = ids.DataCentre('')
    capacity: model.Resources = model.Resources()
    labels: tuple[str, ...] = ()
    machine: str = ''
    draining: bool = False


def rack(entry: Entry) -> str:
    """Give the worker's rack, '' if it doesn't tell."""
    return entry.labels[1] if len(entry.labels) > 1 else ''


class How(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    """The worker's lease ran out."""

    BROKEN = 'broken'
    """Another task of its gang ended."""

    ALONE = 'alone'
    """The other tasks of its gang didn't come."""


class Running(msgspec.Struct, frozen=True):
    """One run as its worker reports it.

    :ivar percent: how far it is; a long-running task works at 100
    """

    task: ids.TaskId
    attempt: int
    checkpoint: str = ''
    percent: float = 0.0
    latency_or_cpu: float = 0.0


class Ended(msgspec.Struct, frozen=True):
    """One end as its worker reports it; numbers grow by one."""

    number: int
    task: ids.TaskId
    attempt: int
    how: How
    checkpoint: str = ''


class Report(msgspec.Struct, frozen=True):
    """A worker's answer to a renewal.

    :ivar own_clock_ms: the worker's own steady clock
    :ivar whole: it lists all ends that aren't acknowledged; of a run that it
        lacks otherwise, the end may not have been listed yet
    :ivar worker: the life that answered; '' for the one that was called
    """

    own_clock_ms: float
    running: list[Running]
    ended: list[Ended]
    whole: bool = True
    worker: ids.VmId = ids.VmId('')


class Start(msgspec.Struct, frozen=True):
    """An order to start a task."""

    task: ids.TaskId
    attempt: int
    text: str
    lease_end_clock_ms: float
    fence: ids.Fence
    checkpoint: str = ''
    ticket: str = ''


class Renewal(msgspec.Struct, frozen=True):
    """An order to renew the lease of all that runs on a worker.

    :ivar acknowledged: ends up to this number may be forgotten
    :ivar lease_end_clock_ms: on the worker's clock; None: no renewal
    :ivar longest_wait_ms: how long the worker may wait for an end
    """

    fence: ids.Fence
    acknowledged: int = 0
    lease_end_clock_ms: float | None = None
    longest_wait_ms: int = 0
