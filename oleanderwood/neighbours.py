"""Access to what an entry knows of its peers: who was heard, who leans on it.

Pure; ``now_s`` is a monotonic clock.
"""

import dataclasses
import math

from oleanderwood import ids
from oleanderwood import isolation
from oleanderwood import messages
from oleanderwood import roster

FORGET_S = 600.0
"""Processes not heard of for this long are forgotten."""


@dataclasses.dataclass(frozen=True)
class Sponsored:
    """A process that this entry answers for, and when it last asked."""

    member: roster.Member
    asked_s: float


@dataclasses.dataclass
class Neighbours:
    """State towards the peers.

    :ivar heard_s: when something of a process last arrived
    :ivar sponsored: by incarnation
    :ivar turn: place in the rotation of peers
    :ivar loads_s: when a request in flight, here or elsewhere, was last told
    :ivar ahead: peer addresses whose processes follow something further,
        with what they follow
    """

    started_s: float
    heard_s: dict[str, float] = dataclasses.field(default_factory=dict)
    sponsored: dict[str, Sponsored] = dataclasses.field(default_factory=dict)
    turn: int = 0
    loads_s: float = -math.inf
    ahead: dict[ids.Address, messages.Standing] = dataclasses.field(
        default_factory=dict
    )


def hear(neighbours: Neighbours, incarnation: str, now_s: float) -> None:
    """Note that something of a process arrived."""
    neighbours.heard_s[incarnation] = now_s
    if len(neighbours.heard_s) > 64:
        neighbours.heard_s = {
            other: heard_s
            for other, heard_s in neighbours.heard_s.items()
            if now_s - heard_s < FORGET_S
        }


def ages_s(neighbours: Neighbours, now_s: float) -> dict[str, float]:
    """Give how long ago each process was heard."""
    return {
        incarnation: now_s - heard_s
        for incarnation, heard_s in neighbours.heard_s.items()
    }


def up_s(neighbours: Neighbours, now_s: float) -> float:
    """Give how long this process has run."""
    return now_s - neighbours.started_s


def sponsor(
    neighbours: Neighbours, member: roster.Member, now_s: float
) -> None:
    """Answer for a process from now on."""
    found = Sponsored(member, now_s)
    neighbours.sponsored[member.incarnation] = found


def sponsored(
    neighbours: Neighbours, now_s: float
) -> tuple[roster.Member, ...]:
    """Give the processes that may hold grants through this entry.

    One that hasn't asked for ``QUIET_S`` has become isolated by itself.
    """
    neighbours.sponsored = {
        incarnation: found
        for incarnation, found in neighbours.sponsored.items()
        if now_s - found.asked_s < isolation.QUIET_S
    }
    return tuple(found.member for found in neighbours.sponsored.values())


def next_peer(
    neighbours: Neighbours, peers: tuple[roster.Member, ...]
) -> roster.Member | None:
    """Give the next peer in rotation, None if there is none."""
    if not peers:
        return None
    neighbours.turn += 1
    return peers[neighbours.turn % len(peers)]
