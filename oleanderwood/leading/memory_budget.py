"""Reserves memory of the leader for jobs that servers are about to write."""

import collections.abc
import math

import msgspec

from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import memory
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood import server_metrics

RESERVATION_S = 4.0
"""Time for which memory is reserved for a job; callers wait 3 s."""


class Budget(msgspec.Struct, frozen=True):
    """Memory that is left for jobs.

    :ivar fits: whether memory is reserved for the job in question
    :ivar is_short: whether it should be reserved for small jobs, too
    """

    fits: bool = True
    left_bytes: float = math.inf
    is_short: bool = False


def limit_bytes(server: states.Server) -> float:
    """Return the memory for jobs on the smallest server: any may lead."""
    return min(_open_bytes_of_servers(server))


def largest_bytes(server: states.Server) -> float:
    """Return the memory for jobs on the largest known server."""
    return max(_open_bytes_of_servers(server))


def _open_bytes_of_servers(
    server: states.Server,
) -> collections.abc.Iterator[float]:
    """Yield the memory for jobs on each known server, this one included."""
    yield memory.max_open_bytes(server.settings.memory_mb)
    for row in roles_.peers(server.roles, server.process):
        yield memory.max_open_bytes(row.memory_mb)


def remaining(leader: states.Leader) -> Budget:
    """Return how much memory is left for jobs."""
    now_s = clock.now_s()
    reservations = leader.reservations
    for job, row in list(reservations.items()):
        if now_s >= row.until_s or job in leader.ledger.entries:
            del reservations[job]
    limit = limit_bytes(leader.server)
    left_bytes = limit - leader.ledger.claimed_bytes
    left_bytes -= sum(row.size_bytes for row in reservations.values())
    server_metrics.JOB_MEMORY_LEFT.set(left_bytes / limit)
    is_short = left_bytes < memory.SHORT_SHARE * limit
    return Budget(left_bytes=left_bytes, is_short=is_short)


def reserve(leader: states.Leader, job: ids.JobId, size_bytes: int) -> Budget:
    """Reserve memory for a job until it arrives, if enough is left.

    A job that the leader knows needs no reservation.
    """
    budget = remaining(leader)
    if job in leader.ledger.entries or job in leader.reservations:
        return budget
    if size_bytes > budget.left_bytes:
        return msgspec.structs.replace(budget, fits=False)
    leader.reservations[job] = states.Reservation(
        size_bytes, clock.now_s() + RESERVATION_S
    )
    return budget


def apply_setting(leader: states.Leader) -> None:
    """Set how much memory the leader's ledger may take for jobs."""
    leader.ledger.max_open_bytes = memory.max_open_bytes(
        leader.server.settings.memory_mb
    )
