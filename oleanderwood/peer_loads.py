"""Access to the loads that the other entries tell about."""

import collections
import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import routing

MAX_AGE_S = 5.0
"""Age from which a peer's loads aren't used."""


@dataclasses.dataclass
class Told:
    """What one entry last said of its requests in flight."""

    at_s: float
    by_vm: dict[ids.VmId, int]


@dataclasses.dataclass
class PeerLoads:
    """What all other entries last said."""

    by_entry: dict[ids.EntryId, Told] = dataclasses.field(default_factory=dict)


def hear(
    peers: PeerLoads,
    entry: ids.EntryId,
    loads: collections.abc.Iterable[messages.Load],
    now_s: float,
) -> None:
    """Take in what an entry says; it replaces what it said before."""
    by_vm = {load.vm: load.in_flight for load in loads}
    peers.by_entry[entry] = Told(now_s, by_vm)


def keep_only(
    peers: PeerLoads, entries: collections.abc.Collection[ids.EntryId]
) -> None:
    """Forget entries that are gone."""
    for entry in set(peers.by_entry) - set(entries):
        del peers.by_entry[entry]


def apply(
    peers: PeerLoads,
    upstreams: collections.abc.Iterable[routing.Upstream],
    entries: collections.abc.Collection[ids.EntryId],
    now_s: float,
) -> None:
    """Write the sums of what was said into the upstreams.

    An entry that says nothing is taken to use its share.

    :param entries: all, this one included
    """
    fresh = [
        told.by_vm
        for told in peers.by_entry.values()
        if now_s - told.at_s <= MAX_AGE_S
    ]
    silent = len(entries) - 1 - len(fresh)
    heard: collections.Counter[ids.VmId] = collections.Counter()
    for by_vm in fresh:
        heard.update(by_vm)
    assumed: dict[int, int] = {}
    for upstream in upstreams:
        slots = upstream.slots
        if slots not in assumed:
            assumed[slots] = silent * routing.share(slots, len(entries))
        upstream.peer_load = heard[upstream.vm] + assumed[slots]
