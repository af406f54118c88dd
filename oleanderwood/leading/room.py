"""Answers whether the leader has room for a job that a caller hands in."""

import math

import msgspec

from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import memory
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood import server_metrics

PROMISE_S = 4.0
"""Time for which room is kept for a job that a server is about to write;
callers wait 3 s."""


class Room(msgspec.Struct, frozen=True):
    """Room for jobs.

    :ivar has_room: whether the job that was asked about is accepted
    :ivar left_bytes: memory that is left for jobs
    :ivar is_short: whether room should be asked for small jobs, too
    """

    has_room: bool = True
    left_bytes: float = math.inf
    is_short: bool = False


def limit_bytes(server: states.Server) -> float:
    """Return the memory for jobs on the smallest server that may lead."""
    others = roles_.peers(server.roles, server.process)
    return memory.common_open_bytes(
        (server.settings.memory_mb, *(row.memory_mb for row in others))
    )


def largest_bytes(server: states.Server) -> float:
    """Return the memory for jobs on the largest known server."""
    others = roles_.peers(server.roles, server.process)
    known = (server.settings.memory_mb, *(row.memory_mb for row in others))
    return max(map(memory.max_open_bytes, known))


def left(leader: states.Leader) -> Room:
    """Return how much room is left for jobs."""
    now_s = clock.now_s()
    promised = leader.promised_room
    for job, promise in list(promised.items()):
        if now_s >= promise.until_s or job in leader.ledger.entries:
            del promised[job]
    limit = limit_bytes(leader.server)
    left_bytes = limit - leader.ledger.claimed_bytes
    left_bytes -= sum(row.size_bytes for row in promised.values())
    server_metrics.ROOM_LEFT.set(left_bytes / limit)
    is_short = left_bytes < memory.SHORT_SHARE * limit
    return Room(left_bytes=left_bytes, is_short=is_short)


def ask(leader: states.Leader, job: ids.JobId, size_bytes: int) -> Room:
    """Return whether there is room for a job, and keep it for a while.

    A job that the leader knows has its room.
    """
    room = left(leader)
    if job in leader.ledger.entries or job in leader.promised_room:
        return room
    if size_bytes > room.left_bytes:
        return msgspec.structs.replace(room, has_room=False)
    leader.promised_room[job] = states.PromisedRoom(
        size_bytes, clock.now_s() + PROMISE_S
    )
    return room


def prepare(leader: states.Leader) -> None:
    """Set how much memory the leader's ledger may take for jobs."""
    leader.ledger.max_open_bytes = memory.max_open_bytes(
        leader.server.settings.memory_mb
    )
