"""Access to the loads that the other entries tell about."""

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


@dataclasses.dataclass(frozen=True)
class Basis:
    """What the sums are made of.

    :ivar fresh: entries whose loads count
    :ivar entries: how many there are, this one included
    """

    fresh: tuple[ids.EntryId, ...]
    entries: int


@dataclasses.dataclass
class PeerLoads:
    """What all other entries last said.

    :ivar applied: what the sums in the upstreams are made of, None if they
        are to be made anew
    :ivar changed: VMs whose sums may differ from those in the upstreams
    """

    by_entry: dict[ids.EntryId, Told] = dataclasses.field(default_factory=dict)
    applied: Basis | None = None
    changed: set[ids.VmId] = dataclasses.field(default_factory=set)


def hear(
    peers: PeerLoads,
    entry: ids.EntryId,
    loads: collections.abc.Iterable[messages.Load],
    now_s: float,
) -> None:
    """Take in what an entry says; it replaces what it said before."""
    by_vm = {load.vm: load.in_flight for load in loads}
    told = peers.by_entry.get(entry)
    before = told.by_vm if told is not None else {}
    peers.changed.update(vm for vm, _ in by_vm.items() ^ before.items())
    peers.by_entry[entry] = Told(now_s, by_vm)


def keep_only(
    peers: PeerLoads, entries: collections.abc.Collection[ids.EntryId]
) -> None:
    """Forget entries that are gone."""
    for entry in set(peers.by_entry) - set(entries):
        del peers.by_entry[entry]


def basis(
    peers: PeerLoads,
    entries: collections.abc.Collection[ids.EntryId],
    now_s: float,
) -> Basis:
    """Give what the sums are to be made of now.

    :param entries: all, this one included
    """
    fresh = tuple(
        entry
        for entry, told in peers.by_entry.items()
        if now_s - told.at_s <= MAX_AGE_S
    )
    return Basis(fresh, len(entries))


def apply(
    peers: PeerLoads,
    upstreams: collections.abc.Iterable[routing.Upstream],
    wanted: Basis,
) -> None:
    """Write the sums of what was said into the upstreams.

    An entry that says nothing is taken to use its share.
    """
    told = [peers.by_entry[entry].by_vm for entry in wanted.fresh]
    busy = [by_vm for by_vm in told if by_vm]
    silent = wanted.entries - 1 - len(told)
    assumed: dict[int, int] = {}
    for upstream in upstreams:
        slots = upstream.slots
        if slots not in assumed:
            assumed[slots] = silent * routing.share(slots, wanted.entries)
        heard = sum([by_vm.get(upstream.vm, 0) for by_vm in busy])
        upstream.peer_load = heard + assumed[slots]
