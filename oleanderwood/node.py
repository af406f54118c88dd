"""Access to what the parts of an entry's control side share."""

import collections.abc
import dataclasses
import random
import time
import typing
import uuid

import curio


from oleanderwood import config_state
from oleanderwood import ids
from oleanderwood import key_state
from oleanderwood import messages
from oleanderwood import neighbours
from oleanderwood import peer
from oleanderwood import platform_api
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import view as views

ListVms = collections.abc.Callable[
    [int], collections.abc.Awaitable[platform_api.VmListing | None]
]
GiveLoads = collections.abc.Callable[[], tuple[messages.Load, ...]]
TakeLoads = collections.abc.Callable[
    [ids.EntryId, tuple[messages.Load, ...]], None
]


Publish = collections.abc.Callable[[], None]


def do_nothing() -> None:
    """Do nothing."""


def no_loads() -> tuple[messages.Load, ...]:
    """Give no loads."""
    return ()


def ignore_loads(entry: ids.EntryId, loads: tuple[messages.Load, ...]) -> None:
    """Drop a peer's loads."""


@dataclasses.dataclass(frozen=True)
class Settings:
    """How an entry takes part.

    :ivar seeds: peer addresses to ask when the store can't be reached and
        the roster isn't known
    :ivar list_vms: the platform's VM list, None to do without
    :ivar give_loads: requests in flight here, for gossip
    :ivar take_loads: takes a peer's
    """

    seeds: tuple[ids.Address, ...] = ()
    list_vms: ListVms | None = None
    give_loads: GiveLoads = no_loads
    take_loads: TakeLoads = ignore_loads
    gossip_per_s: float = 2.0
    renew_s: float = 2.0
    list_poll_s: float = 2.0
    watch_s: float = 25.0
    tick_s: float = 0.5
    clock: collections.abc.Callable[[], float] = time.monotonic
    wall_clock: collections.abc.Callable[[], float] = time.time
    rng: random.Random = dataclasses.field(default_factory=random.Random)


@dataclasses.dataclass
class Node:
    """One entry process as its peers and the store see it.

    :ivar keys: idempotency keys and their owners
    :ivar lease: of the member's key, None if there is none
    :ivar parts: parts of the configuration held, by reference
    :ivar fetching: held while parts are read
    :ivar publish: brings the metrics up to date
    """

    settings: Settings
    store: store.Store
    peers: peer.Peers
    view: views.View
    neighbours: neighbours.Neighbours
    keys: key_state.Keys
    lease: str | None = None
    parts: dict[str, bytes] = dataclasses.field(default_factory=dict)
    fetching: curio.Lock = dataclasses.field(default_factory=curio.Lock)
    publish: Publish = do_nothing


def make(
    settings: Settings,
    kept: store.Store,
    peers: peer.Peers,
    view: views.View,
) -> Node:
    """Make the state of a process that starts now."""
    started = neighbours.Neighbours(settings.clock())
    keys = key_state.make(view.member)
    return Node(settings, kept, peers, view, started, keys)


def now_s(node: Node) -> float:
    """Read the monotonic clock."""
    return node.settings.clock()


def operation(node: Node) -> ids.OperationId:
    """Make an id for a write."""
    return ids.OperationId(f'{node.view.member.entry}-{uuid.uuid4().hex}')


def all_peers(node: Node) -> tuple[roster.Member, ...]:
    """Give the other members of all regions."""
    own = node.view.member.incarnation
    return tuple(
        member
        for member in node.view.roster.members
        if member.incarnation != own
    )


def region_peers(node: Node) -> tuple[roster.Member, ...]:
    """Give the other members of the entry's region.

    Contact stays within a region, so that the proof that an entry is
    isolated needs no entry of another.
    """
    region = node.view.member.region
    return tuple(
        member for member in all_peers(node) if member.region == region
    )


def dump(node: Node) -> dict[str, typing.Any]:
    """Give the state as plain data, for the state dump."""
    view = node.view
    at_s = now_s(node)
    return {
        'member': view.member,
        'ready': views.ready(view, at_s) or 'ready',
        'granted': view.granted,
        'lease': node.lease,
        'sponsor': view.sponsor,
        'contact_age_s': min(at_s - view.contact_s, 1e9),
        'config_revision': config_state.revision(view.config),
        'staged': sorted(view.config.stages),
        'roster': view.roster,
        'shards': {
            name: shard.revision for name, shard in view.grants.shards.items()
        },
        'in_flight': sum(view.grants.in_flight.values()),
        'leaving': sorted(view.grants.leaving),
        'heard_ages_s': neighbours.ages_s(node.neighbours, at_s),
        'sponsored': neighbours.sponsored(node.neighbours, at_s),
        'key_buckets': len(node.keys.ledger.held),
        'keys_settling': len(node.keys.settling),
        'refusals': dict(view.counts.refusals),
        'breaches': dict(view.counts.breaches),
    }
