"""Access to the choice of an upstream for one request."""

import collections.abc
import dataclasses
import random

from oleanderwood import ids


@dataclasses.dataclass
class Upstream:
    """One upstream as one entry sees it.

    :ivar in_flight: this entry's requests there
    :ivar peer_load: the other entries' requests there, as last told
    :ivar limit: requests that this entry may have there now
    """

    vm: ids.VmId
    epoch: ids.Epoch
    data_centre: ids.DataCentre
    slots: int
    connections: int
    serving: bool = True
    in_flight: int = 0
    peer_load: float = 0.0
    limit: int = 0


def share(amount: int, entries: int) -> int:
    """Give one entry's share of slots, rounded up; at least one."""
    return max(1, -(-amount // max(1, entries)))


def connection_limit(connections: int, entries: int) -> int:
    """Give one entry's share of connections, rounded down."""
    return max(1, connections // max(1, entries))


def choose(
    candidates: collections.abc.Iterable[Upstream],
    data_centre: ids.DataCentre,
    rng: random.Random,
) -> Upstream | None:
    """Pick the upstream for a request, or none when all are full.

    :param candidates: those that may be used
    :param data_centre: the entry's own
    """
    best: Upstream | None = None
    best_rank: tuple[float, ...] = ()
    for upstream in candidates:
        if upstream.in_flight >= upstream.limit:
            continue
        rank = (
            upstream.in_flight + upstream.peer_load,
            upstream.data_centre != data_centre,
            rng.random(),
        )
        if best is None or rank < best_rank:
            best, best_rank = upstream, rank
    return best
