"""Access to what a region's leader reaches, and to what it knows.

Nothing here has to last: all that must is in the store.
"""

import collections
import collections.abc
import dataclasses

from oleanderwood import availability
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import orders
from oleanderwood import ownership
from oleanderwood import peer
from oleanderwood import platform_api
from oleanderwood import region_shards
from oleanderwood import region_tasks
from oleanderwood import region_view
from oleanderwood import release
from oleanderwood import store as stores


@dataclasses.dataclass(frozen=True)
class World:
    """All that a leader reaches.

    :ivar read: gives a key's newest known value; a daemon watches it
    :ivar probe: says whether an upstream accepts connections
    :ivar monotonic_s: clock of leases and of the grace period
    :ivar now_s: clock that rows are stamped by
    :ivar new_id: gives a new unique text at each call
    :ivar leads: asked before each order: is the lease surely held?
    :ivar lag_pause_s: see :data:`release.LAG_PAUSE_S`
    """

    region: ids.Region
    store: stores.Store
    read: collections.abc.Callable[
        [str], collections.abc.Awaitable[stores.Item | None]
    ]
    platform: platform_api.Platform
    peers: peer.Peers
    probe: orders.Probe
    monotonic_s: collections.abc.Callable[[], float]
    now_s: collections.abc.Callable[[], float]
    new_id: collections.abc.Callable[[], str]
    leads: collections.abc.Callable[[], bool]
    invariants: invariants.Invariants
    lag_pause_s: float = release.LAG_PAUSE_S


@dataclasses.dataclass
class Kept:
    """A value of the store that the leader reads and writes."""

    version: int = stores.ABSENT
    value: object = None


@dataclasses.dataclass(frozen=True)
class Idle:
    """All that a decision which changed nothing was made from."""

    inputs: tuple
    evidence: dict[ids.VmId, lifecycle.Evidence]
    decided_at_s: float


@dataclasses.dataclass(frozen=True)
class Index:
    """The rows of all shards, sorted out.

    :ivar of: the shards that it was made from
    :ivar out: rows of VMs that don't serve
    :ivar serving: VMs that do
    :ivar up: the latter's number, by pool
    """

    of: tuple[fleet.Shard, ...]
    out: tuple[fleet.VmRow, ...]
    serving: dict[ids.VmId, fleet.VmRow]
    up: collections.Counter


@dataclasses.dataclass
class Leader:
    """What a leader knows of its region.

    :ivar head: of ``wanted``, the configuration that it acts on
    :ivar held_parts: parts of configurations, by reference
    :ivar waves: ``waves/REGION``
    :ivar runs: ``wave-runs/REGION``
    :ivar account: ``availability/REGION`` as written last
    :ivar counted: the account as of the last pass
    :ivar loans: what the waves asked for last
    :ivar decision: the last one
    :ivar sweep: serving VMs whose status is still to be looked up
    :ivar tasks: set once the task rows are under this leader's term
    :ivar taskless: the store has no task rows, as read under this term
    :ivar idle: set while there is nothing to do
    :ivar index: of the footing's rows
    """

    footing: region_shards.Footing | None = None
    head: configuration.Head | None = None
    wanted: configuration.Configuration | None = None
    held_parts: dict[str, bytes] = dataclasses.field(default_factory=dict)
    sighting: inventory.Sighting = inventory.Sighting()
    releases: release.Releases = dataclasses.field(
        default_factory=release.Releases
    )
    seen: orders.Sightings = dataclasses.field(
        default_factory=orders.Sightings
    )
    waves: Kept = dataclasses.field(default_factory=Kept)
    runs: Kept = dataclasses.field(default_factory=Kept)
    account: Kept = dataclasses.field(default_factory=Kept)
    counted: availability.Account = availability.Account()
    loans: tuple[buffer.Loan, ...] = ()
    decision: region_view.Decision | None = None
    sweep: list[ids.VmId] = dataclasses.field(default_factory=list)
    idle: Idle | None = None
    tasks: region_tasks.Tasks | None = None
    taskless: bool = False
    index: Index | None = None


def index(leader: Leader) -> Index:
    """Give the index of the rows as they are now."""
    shards = leader.footing.shards
    of = tuple(shards.values())
    known = leader.index
    if known is not None and all(map(_is, known.of, of)):
        return known
    rows = [row for _, row in ownership.rows_of(shards)]
    leader.index = Index(
        of=of,
        out=tuple(row for row in rows if orders.must_look(row)),
        serving={row.vm: row for row in rows if not orders.must_look(row)},
        up=ownership.serving(shards),
    )
    return leader.index


def _is(one: fleet.Shard, other: fleet.Shard) -> bool:
    return one is other


def pools(
    world: World, leader: Leader
) -> dict[ids.PoolId, configuration.Pool]:
    """Give the region's pools by id."""
    return {
        ids.PoolId(pool.name): pool
        for pool in leader.wanted.pools
        if pool.region == world.region
    }
