"""Builders for the tests of the controller: a small world with faults.

Its clock is stepped by the tests. Entries, platform and store record what
they see, independently of the controller, and note every harm.
"""

import collections
import dataclasses
import itertools

import prometheus_client

from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import messages
from oleanderwood import parts
from oleanderwood import peer
from oleanderwood import platform_api
from oleanderwood import region_leader
from oleanderwood import region_state
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import verdict as verdicts
from oleanderwood import wave_state
from tests import utils_store

REGION = ids.Region('r')
WAVE = ids.WaveId('w')
Vm = platform_api.PlatformVmState
STEPS_TO_DRAIN = 1
STEPS_TO_BOOT = 2


class Crash(Exception):
    """The controller dies here."""


@dataclasses.dataclass
class FakeVm:
    """A VM of the platform; ``due`` counts the steps to its next state."""

    listed: platform_api.ListedVm
    state: Vm = Vm.UP
    boot: int = 1
    healthy: bool = True
    due: int = 0
    fails_to_boot: bool = False
    taken: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class FakeEntry:
    """An entry: its copies of the shards, and its requests in flight."""

    member: roster.Member
    shards: dict = dataclasses.field(default_factory=dict)
    in_flight: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    reachable: bool = True
    started_s: float = 0.0


@dataclasses.dataclass
class World:
    """Store, platform, entries, a clock, and the harm that was seen.

    :ivar calls: calls to store (writes) and platform so far
    :ivar crash_at: the call at which the controller dies, if any; with
        ``crash_before`` before it has an effect
    :ivar lose_at: the call whose answer is lost, if any
    """

    store: utils_store.FakeStore
    vms: dict
    entries: list
    clock_s: float = 1000.0
    listing_version: int = 1
    frozen_listing: platform_api.VmListing | None = None
    calls: int = 0
    crash_at: int = 0
    crash_before: bool = False
    lose_at: int = 0
    platform_down: bool = False
    harm: list = dataclasses.field(default_factory=list)
    orders: list = dataclasses.field(default_factory=list)
    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


def listed(vm, data_centre='a', rack='r0', **fields):
    """Build a row of the VM list."""
    return platform_api.ListedVm(
        vm=ids.VmId(vm),
        region=REGION,
        data_centre=ids.DataCentre(data_centre),
        rack=ids.Rack(rack),
        address=ids.Address('127.0.0.1:1'),
        boot_id=f'{vm}/1',
        **fields,
    )


def pool(name='p', size=3, min_up=2, data_centres=('a', 'b'), **fields):
    """Build a pool."""
    return configuration.Pool(
        name=name,
        service='s',
        region=REGION,
        data_centres=data_centres,
        size=size,
        min_up=min_up,
        survives=configuration.Survives.NOTHING,
        **fields,
    )


def world(vms=4, entries=2, data_centres=('a', 'b')):
    """Build a world whose VMs are spread over the data centres."""
    made = World(utils_store.FakeStore(), {}, [])
    made.store.clock = lambda: made.clock_s
    for number in range(vms):
        data_centre = data_centres[number % len(data_centres)]
        vm = f'{data_centre}{number}'
        made.vms[vm] = FakeVm(listed(vm, data_centre, f'r{number}'))
    members = []
    for number in range(entries):
        member = roster.Member(
            ids.EntryId(f'e{number}'),
            f'i{number}',
            REGION,
            ids.DataCentre('a'),
            ids.VmId(f'entry{number}'),
            ids.Address(f'127.0.0.1:{number + 10}'),
        )
        members.append(member)
        made.entries.append(FakeEntry(member))
    whole = roster.Roster(ids.Revision(1), tuple(members))
    put(made, store.ROSTER_KEY, whole)
    return made


def put(made, key, value):
    """Write a value to the store, past all faults."""
    _put_bytes(made, key, codec.pack(value))


def _put_bytes(made, key, data):
    from oleanderwood import operations

    fake = made.store
    version = fake.versions.get(key, 0) + 1
    envelope, _ = operations.wrap((), ids.OperationId('test'), 0, data)
    fake.versions[key] = version
    fake.items[key] = store.Item(key, envelope, version)


def read(made, key, kind):
    """Read a value of the store, past all faults."""
    data = utils_store.body(made.store, key)
    return None if data is None else codec.unpack(data, kind)


def configure(made, pools, waves=None, revision=1):
    """Accept a configuration."""
    if waves is None:
        names = tuple(pool.name for pool in pools)
        waves = (configuration.Wave(name=WAVE, pools=names),)
    whole = configuration.Configuration(pools=tuple(pools), waves=waves)
    split = parts.split(whole)
    operation = ids.OperationId(f'apply{revision}')
    references = parts.refer(split, {}, operation)
    for part, reference in references.items():
        _put_bytes(made, parts.key(reference), split[part])
    head = configuration.Head(revision, revision - 1, references, operation)
    put(made, store.CONFIG_HEAD_KEY, head)


def order_wave(made, what=wave_state.Order.START):
    """Order a wave as an operator does."""
    key = wave_state.key(REGION)
    waves = read(made, key, wave_state.Waves) or wave_state.Waves(REGION)
    put(made, key, wave_state.order(waves, WAVE, what, made.clock_s))


def wave(made):
    """Give the wave's state as operators see it."""
    waves = read(made, wave_state.key(REGION), wave_state.Waves)
    return wave_state.find(waves or wave_state.Waves(REGION), WAVE)


def shards(made):
    """Give the shards of the store, by data centre."""
    found = {}
    for key in list(made.store.items):
        if key.startswith('shards/'):
            shard = read(made, key, fleet.Shard)
            found[shard.data_centre] = shard
    return found


def rows(made):
    """Give the rows of the store by VM; notes a VM that stands in two."""
    found = {}
    for shard in shards(made).values():
        for row in shard.rows:
            if row.vm in found:
                made.harm.append(f'{row.vm} is in two rows')
            found[row.vm] = row
    return found


def serving(made, pool_name='p'):
    """Count the VMs that serve a pool, as the store has it."""
    return sum(
        row.pool == pool_name and row.state is fleet.VmState.SERVING
        for row in rows(made).values()
    )


def leader_world(made, leads=lambda: True):
    """Make what a leader reaches in this world."""
    registry = prometheus_client.CollectorRegistry()
    kept = _faulty_store(made)
    return region_state.World(
        region=REGION,
        store=kept,
        read=kept.get,
        platform=_platform(made),
        peers=_peers(made),
        probe=_probe,
        monotonic_s=lambda: made.clock_s,
        now_s=lambda: made.clock_s,
        new_id=lambda: str(next(made.numbers)),
        leads=leads,
        invariants=invariants.create(registry),
    )


async def _probe(address):
    return True


async def _call(made, effect):
    """Carry out one counted call, with the fault that falls on it."""
    made.calls += 1
    if made.calls == made.crash_at and made.crash_before:
        raise Crash
    result = await effect()
    if made.calls == made.crash_at:
        raise Crash
    if made.calls == made.lose_at:
        raise errors.StoreUnavailable(
            verdicts.Verdict.MAY_HAVE_RUN, 'answer lost'
        )
    return result


def _faulty_store(made):
    kept = utils_store.connect(made.store)

    async def swap(key, value, version, operation, lease=None):
        async def effect():
            return await kept.swap(key, value, version, operation, lease)

        version = await _call(made, effect)
        check(made)
        return version

    return dataclasses.replace(kept, swap=swap)


def _platform(made):
    async def list_vms(known):
        _reach(made)
        listing = made.frozen_listing or listing_of(made)
        return None if listing.version == known else listing

    async def vm_status(name):
        _reach(made)
        vm = _find(made, name)
        return platform_api.PlatformVm(
            name, vm.state, _boot_id(vm), vm.healthy, tuple(vm.taken[-8:])
        )

    def command(kind):
        async def call(name, order):
            async def effect():
                _reach(made)
                _take(made, kind, _find(made, name), order.operation)

            await _call(made, effect)

        return call

    async def unused(*arguments):
        raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'no workers')

    async def usage():
        return platform_api.UsageReport(0.0)

    return platform_api.Platform(
        list_vms,
        vm_status,
        command('drain'),
        command('undrain'),
        command('reboot'),
        command('replace'),
        unused,
        unused,
        unused,
        unused,
        usage,
    )


def _reach(made):
    if made.platform_down:
        raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'platform is down')


def _find(made, name):
    if name not in made.vms:
        raise platform_api.Refused(404, f'no VM {name}')
    return made.vms[name]


def listing_of(made):
    """Give the VM list as of now."""
    return platform_api.VmListing(
        made.listing_version, tuple(vm.listed for vm in made.vms.values())
    )


def _boot_id(vm):
    return f'{vm.listed.vm}/{vm.boot}'


def _take(made, kind, vm, operation):
    if operation in vm.taken:
        return
    if vm.state is Vm.REBOOTING:
        raise platform_api.Refused(409, 'reboots')
    made.orders.append((kind, vm.listed.vm))
    vm.taken.append(operation)
    _note_harm(made, kind, vm.listed.vm, operation)
    if kind == 'drain':
        vm.state, vm.due = Vm.DRAINING, STEPS_TO_DRAIN
    elif kind == 'undrain':
        vm.state = Vm.UP if vm.healthy else Vm.FAILED
    else:
        vm.state, vm.due = Vm.REBOOTING, STEPS_TO_BOOT


def _note_harm(made, kind, name, operation):
    """Note an order that hits work, or that no row had named before."""
    row = rows(made).get(name)
    if row is None or row.operation != operation:
        made.harm.append(f'{kind} of {name} was not written first')
    if kind == 'undrain':
        return
    for entry in made.entries:
        if grants(entry, name):
            made.harm.append(f'{kind} of {name} while {entry.member.entry}')
        if entry.in_flight[name]:
            made.harm.append(f'{kind} of {name} cuts a request')


def grants(entry, vm):
    """Say whether an entry would send new work to a VM."""
    for shard in entry.shards.values():
        for row in shard.rows:
            if row.vm == vm and row.state is fleet.VmState.SERVING:
                return not row.pool.startswith(fleet.SPARE_PREFIX)
    return False


def _peers(made):
    async def release(address, request):
        entry = next(e for e in made.entries if e.member.peer == address)
        if not entry.reachable:
            raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'no route')
        follow(entry, request.shard)
        known = entry.shards[request.shard.data_centre]
        held = {
            vm: count
            for vm, count in entry.in_flight.items()
            if count and not grants(entry, vm)
        }
        return messages.ReleaseReply(
            entry=entry.member.entry,
            incarnation=entry.member.incarnation,
            revision=known.revision,
            in_flight=held,
            heard_ages_s={},
            up_s=made.clock_s - entry.started_s,
        )

    async def unused(address, request):
        raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'unused')

    calls = {method.name: unused for method in peer.METHODS}
    return peer.Peers(**calls | {'release': release})


def follow(entry, shard):
    """Let an entry follow a shard; it refuses an older one."""
    known = entry.shards.get(shard.data_centre)
    if known is None or known.revision < shard.revision:
        entry.shards[shard.data_centre] = shard


def check(made, pools=None):
    """Note whatever the store shows that must never be."""
    rows(made)


def step(made):
    """Let a second pass: reboots go on, entries follow the store."""
    made.clock_s += 1.0
    for vm in made.vms.values():
        if vm.due:
            vm.due -= 1
            if not vm.due:
                _advance(vm)
    for entry in made.entries:
        if entry.reachable and not made.store.down:
            for shard in shards(made).values():
                follow(entry, shard)


def _advance(vm):
    if vm.state is Vm.DRAINING:
        vm.state = Vm.DRAINED
    elif vm.state is Vm.REBOOTING:
        vm.boot += 1
        vm.state = Vm.UP
        if vm.fails_to_boot:
            vm.fails_to_boot = False
            vm.state = Vm.FAILED


async def run_until(made, done, limit=200):
    """Let leaders follow each other until ``done``; a dead one is replaced.

    :returns: passes that were made
    """
    leader = region_state.Leader()
    reach = leader_world(made)
    for number in range(limit):
        if done():
            return number
        step(made)
        try:
            await region_leader.run_pass(reach, leader)
        except Crash:
            leader = region_state.Leader()
        except (errors.StoreConflict, errors.StoreUnavailable):
            pass
        assert reach.invariants.count == 0, reach.invariants.recent
    raise AssertionError(f'not done: {wave(made)} {rows(made)}')
