"""Messages between leader and workers: entries, reports and orders."""

import enum

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import model


class Entry(msgspec.Struct, frozen=True):
    """A worker's own entry in the store.

    :ivar worker: one incarnation of a machine's executor, see
        :mod:`oleanderwood.pools.incarnations`
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
    """Return the worker's rack, '' if its entry has none."""
    return entry.labels[1] if len(entry.labels) > 1 else ''


class How(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    """The worker's lease expired."""

    BROKEN = 'broken'
    """Another task of its gang ended."""

    ALONE = 'alone'
    """The other tasks of its gang did not start."""


class Running(msgspec.Struct, frozen=True):
    """One run as reported by its worker.

    :ivar percent: progress; 100 while a long-running task is at work
    """

    task: ids.TaskId
    attempt: int
    checkpoint: str = ''
    percent: float = 0.0
    latency_or_cpu: float = 0.0


class Ended(msgspec.Struct, frozen=True):
    """End of one run as reported by its worker; numbers rise by one."""

    number: int
    task: ids.TaskId
    attempt: int
    how: How
    checkpoint: str = ''


class Report(msgspec.Struct, frozen=True):
    """A worker's answer to a renewal.

    :ivar own_clock_ms: the worker's own steady clock
    :ivar whole: all unacknowledged ends are listed; otherwise, a run that is
        missing may have ended without its end being listed yet
    :ivar worker: the incarnation that answered; '' for the one that was called
    """

    own_clock_ms: float
    running: list[Running]
    ended: list[Ended]
    whole: bool = True
    worker: ids.VmId = ids.VmId('')


class Start(msgspec.Struct, frozen=True):
    """Order to start a task."""

    task: ids.TaskId
    attempt: int
    text: str
    lease_end_clock_ms: float
    fence: ids.Fence
    checkpoint: str = ''
    ticket: str = ''


class Renewal(msgspec.Struct, frozen=True):
    """Order to renew the lease of all runs on a worker.

    :ivar acknowledged: ends up to this number may be forgotten
    :ivar lease_end_clock_ms: on the worker's clock; None: no renewal
    :ivar longest_wait_ms: how long the worker may wait for an end
    """

    fence: ids.Fence
    acknowledged: int = 0
    lease_end_clock_ms: float | None = None
    longest_wait_ms: int = 0
