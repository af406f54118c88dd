"""Access to the choice of an upstream for one request."""

import collections.abc
import dataclasses
import math
import random

from oleanderwood import ids


@dataclasses.dataclass
class Upstream:
    """One upstream as one entry sees it.

    :ivar in_flight: this entry's requests there
    :ivar peer_load: the other entries' requests there, as last told
    :ivar allowed: requests that this entry may have there in good health
    :ivar limit: requests that it may have there now
    :ivar doubtful: whether others go first as it has just failed
    :ivar turn: its place in this entry's order of upstreams; the orders
        of the entries are turned against each other
    :ivar preferred: requests that this entry may have there before it
        counts as loaded; above 0 in the entry's own data centre
    """

    vm: ids.VmId
    epoch: ids.Epoch
    data_centre: ids.DataCentre
    slots: int
    connections: int
    serving: bool = True
    in_flight: int = 0
    peer_load: float = 0.0
    allowed: int = 0
    limit: int = 0
    doubtful: bool = False
    turn: int = 0
    preferred: int = 0


Choose = collections.abc.Callable[
    [collections.abc.Sequence[Upstream], random.Random], Upstream | None
]
"""Picks one of the upstreams that this entry may use, or none."""

OVERFILL = 1
"""Requests above its share of slots that an entry may send an upstream.

They wait there and hide the way there and back.
"""

Limit = collections.abc.Callable[[Upstream, int], int]
"""Gives how many requests one of some entries may have at an upstream."""

PREFERRED_SHARE = 0.5
"""Share of the slots of the own data centre that its entries fill first."""


def share(amount: int, entries: int) -> int:
    """Give one entry's share of slots, rounded up; at least one."""
    return max(1, -(-amount // max(1, entries)))


def limit_by_loads(upstream: Upstream, entries: int) -> int:
    """Lend an entry the slots that the others don't use.

    It always has its own share, and a little more.
    """
    own = share(upstream.slots, entries) + OVERFILL
    return max(own, math.floor(upstream.slots - upstream.peer_load))


def connection_limit(connections: int, entries: int) -> int:
    """Give one entry's share of connections, rounded down."""
    return max(1, connections // max(1, entries))


def place(
    upstreams: collections.abc.Collection[Upstream],
    data_centre: ids.DataCentre,
    position: int,
    entries: int,
) -> None:
    """Set an entry's order of the upstreams and its preference.

    :param data_centre: the entry's own
    :param position: of the entry among all, from 0
    :param entries: of all data centres, taken to be spread evenly
    """
    ordered = sorted(upstreams, key=lambda upstream: upstream.vm)
    places = len({upstream.data_centre for upstream in ordered})
    neighbours = max(1, entries // max(1, places))
    first = position * len(ordered) // max(1, entries)
    for index, upstream in enumerate(ordered):
        upstream.turn = (index - first) % len(ordered)
        upstream.preferred = 0
        if upstream.data_centre != data_centre:
            upstream.turn += len(ordered)
        else:
            own = upstream.slots * PREFERRED_SHARE / neighbours
            upstream.preferred = max(0, int(own) - 1)


def choose(
    candidates: collections.abc.Sequence[Upstream], rng: random.Random
) -> Upstream | None:
    """Pick the upstream with the fewest requests of this entry.

    Equals are taken in the entry's own order. As these orders differ, the
    entries fill different upstreams first without seeing each other.
    """
    best: Upstream | None = None
    best_rank: tuple[bool, int, int] = (True, 0, 0)
    for upstream in candidates:
        in_flight = upstream.in_flight
        if in_flight >= upstream.limit:
            continue
        load = max(0, in_flight - upstream.preferred)
        rank = (upstream.doubtful, load, upstream.turn)
        if best is None or rank < best_rank:
            best, best_rank = upstream, rank
    return best
