"""Access to one pass of a region's leader: look, decide, write, order.

A pass holds no state that matters: all that must last is in the store, so
that another leader goes on from there.
"""

import collections.abc
import dataclasses
import logging

from oleanderwood import availability
from oleanderwood import buffer
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import orders
from oleanderwood import ownership
from oleanderwood import parts
from oleanderwood import peer
from oleanderwood import platform_api
from oleanderwood import region_plan
from oleanderwood import region_shards
from oleanderwood import release
from oleanderwood import store as stores
from oleanderwood import wave_run
from oleanderwood import wave_state

LOG = logging.getLogger('controller')


@dataclasses.dataclass(frozen=True)
class World:
    """All that a leader reaches.

    :ivar read: gives a key's newest known value; a daemon watches it
    :ivar probe: says whether an upstream accepts connections
    :ivar monotonic_s: clock of leases and of the grace period
    :ivar now_s: clock that rows are stamped by
    :ivar new_id: gives a new unique text at each call
    :ivar leads: asked before each order: is the lease surely held?
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


@dataclasses.dataclass
class Kept:
    """A value of the store that the leader reads and writes."""

    version: int = stores.ABSENT
    value: object = None


@dataclasses.dataclass
class Leader:
    """What a leader knows of its region.

    :ivar head: of ``wanted``, the configuration that it acts on
    :ivar held_parts: parts of configurations, by reference
    :ivar waves: ``waves/REGION``
    :ivar runs: ``wave-runs/REGION``
    :ivar account: ``availability/REGION`` as written last
    :ivar counted: the account as of the last pass
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
    decision: region_plan.Decision | None = None
    sweep: list[ids.VmId] = dataclasses.field(default_factory=list)


async def run_pass(world: World, leader: Leader) -> bool:
    """Make one pass; say whether anything changed.

    A pass that fails loses the footing, so that the next one fences the
    shards anew and lets the roster answer whole before it takes a VM.

    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    try:
        return await _pass(world, leader)
    except BaseException:
        leader.footing = None
        raise


async def _pass(world: World, leader: Leader) -> bool:
    await read_inputs(world, leader)
    if leader.wanted is None or not leader.sighting.version:
        return False
    await _stand(world, leader)
    await _look(world, leader)
    view = _view(world, leader)
    decision = region_plan.decide(view, leader.releases.blocked, world.new_id)
    leader.decision = decision
    leader.loans = decision.loans
    for breach in decision.breaches:
        invariants.report(world.invariants, breach.invariant, breach.detail)
    await _write(world, leader, decision)
    await _order(world, leader)
    await _keep(world, leader, decision)
    return bool(decision.changes)


async def read_inputs(world: World, leader: Leader) -> None:
    """Read what others write: configuration, waves, VM list."""
    await read_configuration(world, leader)
    await read_waves(world, leader)
    await read_listing(world, leader)


async def read_configuration(world: World, leader: Leader) -> None:
    """Follow the configuration's head; a lower revision is refused."""
    item = await world.read(stores.CONFIG_HEAD_KEY)
    if item is None:
        return
    head = codec.unpack(item.value, configuration.Head)
    known = -1 if leader.head is None else leader.head.revision
    if head.revision == known:
        return
    if head.revision < known:
        LOG.error('Configuration %s is below %s.', head.revision, known)
        return
    whole = await parts.fetch(world.store, head, leader.held_parts)
    if whole is None:
        return
    wanted = set(head.parts.values())
    leader.held_parts = {
        reference: value
        for reference, value in leader.held_parts.items()
        if reference in wanted
    }
    leader.head = head
    leader.wanted = whole
    LOG.info('Follows configuration %s.', head.revision)


async def read_waves(world: World, leader: Leader) -> None:
    """Read what operators ordered, and what the runs have done."""
    item = await world.read(wave_state.key(world.region))
    if leader.waves.value is None:
        leader.waves.value = wave_state.Waves(world.region)
    if item is not None and item.version > leader.waves.version:
        value = codec.unpack(item.value, wave_state.Waves)
        leader.waves = Kept(item.version, value)
    if leader.runs.value is None:
        runs = wave_run.Runs(world.region)
        key = wave_run.key(world.region)
        leader.runs = await _read(world, key, wave_run.Runs, runs)
    if leader.account.value is None:
        account = availability.Account()
        key = availability.key(world.region)
        leader.account = await _read(world, key, availability.Account, account)
        leader.counted = leader.account.value


async def _read(world: World, key: str, kind: type, empty: object) -> Kept:
    item = await world.store.get(key)
    if item is None:
        return Kept(stores.ABSENT, empty)
    return Kept(item.version, codec.unpack(item.value, kind))


async def read_listing(world: World, leader: Leader) -> None:
    """Follow the VM list; without an answer the last one stands."""
    try:
        listing = await world.platform.list_vms(leader.sighting.version)
    except errors.CallFailed as error:
        LOG.warning('No VM list: %s.', error.reason)
        return
    if listing is not None:
        leader.sighting = inventory.see(leader.sighting, listing, world.region)


def data_centres(world: World, leader: Leader) -> set[ids.DataCentre]:
    """Name the region's data centres."""
    found = inventory.data_centres(leader.sighting)
    for pool in leader.wanted.pools:
        if pool.region == world.region:
            found.update(map(ids.DataCentre, pool.data_centres))
    return found


async def _stand(world: World, leader: Leader) -> None:
    """Gain the footing, anew if it was lost or lacks a data centre."""
    footing = leader.footing
    wanted = data_centres(world, leader)
    if footing is not None:
        if not footing.lost and wanted <= footing.shards.keys():
            return
        wanted |= footing.shards.keys()
    leader.releases = release.begin_anew(leader.releases, world.monotonic_s())
    leader.footing = await region_shards.fence(
        world.store, wanted, world.new_id
    )
    LOG.info('Leads under term %s.', leader.footing.term)
    for breach in ownership.breaches_of_state(leader.footing.shards):
        invariants.report(world.invariants, breach.invariant, breach.detail)


async def _look(world: World, leader: Leader) -> None:
    """Learn how VMs stand that are out of service."""
    shards = leader.footing.shards
    asker = release.Asker(
        world.store, world.peers, world.region, world.monotonic_s
    )
    now_s = world.monotonic_s()
    release.follow_list(leader.releases, leader.sighting, now_s)
    await release.ask(asker, shards, leader.releases)
    release.forget(leader.releases, shards)
    rows = [row for _, row in ownership.rows_of(shards)]
    looked = [row for row in rows if orders.must_look(row)]
    swept = _next_swept(leader, rows)
    if swept is not None:
        looked.append(swept)
    await orders.look(world.platform, world.probe, looked, leader.seen)


def _next_swept(leader: Leader, rows: list[fleet.VmRow]) -> fleet.VmRow | None:
    """Pick the next serving VM whose status is looked up in its turn."""
    serving = {row.vm: row for row in rows if not orders.must_look(row)}
    while True:
        if not leader.sweep:
            leader.sweep = list(serving)
            if not serving:
                return None
        row = serving.get(leader.sweep.pop())
        if row is not None:
            return row


def _view(world: World, leader: Leader) -> region_plan.View:
    now_s = world.now_s()
    pools = {
        ids.PoolId(pool.name): pool
        for pool in leader.wanted.pools
        if pool.region == world.region
    }
    up = ownership.serving(leader.footing.shards)
    leader.counted = availability.count(leader.counted, pools, up, now_s)
    return region_plan.View(
        region=world.region,
        configuration=leader.wanted,
        shards=leader.footing.shards,
        sighting=leader.sighting,
        evidence=_evidence(leader),
        released=leader.releases.released,
        settled=release.settled(leader.releases, world.monotonic_s()),
        waves=leader.waves.value,
        runs=leader.runs.value,
        account=leader.counted,
        loans=leader.loans,
        now_s=now_s,
    )


def _evidence(leader: Leader) -> dict[ids.VmId, lifecycle.Evidence]:
    found = {}
    for _, row in ownership.rows_of(leader.footing.shards):
        status = leader.seen.statuses.get(row.vm)
        if status is None and not orders.must_look(row):
            continue
        found[row.vm] = lifecycle.Evidence(
            released=(row.vm, row.epoch) in leader.releases.released,
            platform=status,
            probed=row.vm in leader.seen.probed,
            leaving=inventory.is_leaving(leader.sighting, row.vm),
            listed=row.vm in leader.sighting.listed,
        )
    return found


async def _write(
    world: World, leader: Leader, decision: region_plan.Decision
) -> None:
    """Write the changes, one write a shard."""
    by_shard: dict[ids.DataCentre, list[ownership.Change]] = {}
    for one in decision.changes:
        by_shard.setdefault(one.data_centre, []).append(one)
    for data_centre, changes in by_shard.items():
        await region_shards.write(
            world.store,
            leader.footing,
            data_centre,
            changes,
            leader.sighting.version,
            world.new_id,
        )
        for one in changes:
            _log(one)


def _log(one: ownership.Change) -> None:
    if one.after is None:
        LOG.info('VM %s is gone from %s.', one.before.vm, one.before.pool)
        return
    LOG.info(
        'VM %s is %s in %s (%s).%s',
        one.after.vm,
        one.after.state.value,
        one.after.pool,
        one.cause.value,
        f' Reason: {one.after.reason}.' if one.after.reason else '',
    )


async def _order(world: World, leader: Leader) -> None:
    rows = [row for _, row in ownership.rows_of(leader.footing.shards)]
    await orders.send(world.platform, rows, leader.seen, world.leads)


async def _keep(
    world: World, leader: Leader, decision: region_plan.Decision
) -> None:
    """Write what operators see, and the notes that outlive the leader.

    Losing such a write costs nothing: it is made again from the rows.
    """
    if decision.runs != leader.runs.value:
        key = wave_run.key(world.region)
        await _put(world, leader.runs, key, decision.runs)
    if decision.waves != leader.waves.value:
        key = wave_state.key(world.region)
        await _put(world, leader.waves, key, decision.waves)
    if availability.must_write(leader.account.value, leader.counted):
        key = availability.key(world.region)
        await _put(world, leader.account, key, leader.counted)


async def _put(world: World, kept: Kept, key: str, value: object) -> None:
    operation = ids.OperationId(f'keep-{world.new_id()}')
    data = codec.pack(value)
    try:
        version = await world.store.swap(
            key, data, kept.version, operation, None
        )
    except errors.StoreConflict:
        # An operator was faster. What it wrote is read in the next pass,
        # and what was to be written is made again from the rows.
        LOG.info('%s was written by another.', key)
        return
    kept.version = version
    kept.value = value
