"""Builders for the tests of the controller: a small world with faults.

Its clock is stepped by the tests. Entries, platform and store record what
they see, independently of the controller, and note every harm.
"""

import collections
import dataclasses
import itertools

import msgspec
import prometheus_client

from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import isolation
from oleanderwood import messages
from oleanderwood import operations
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
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
Vm = platform_api.PlatformVmState
Task = platform_api.TaskState
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
    contact_s: float = 1000.0


@dataclasses.dataclass
class World:
    """Store, platform, entries, a clock, and the harm that was seen.

    :ivar calls: calls to store (writes) and platform so far
    :ivar crash_at: the call at which the controller dies, if any; with
        ``crash_before`` before it has an effect
    :ivar lose_at: the call whose answer is lost, if any
    :ivar hold_orders: so many of the next orders to the platform are lost
        for now; :func:`deliver` has them arrive late
    :ivar before: the rows as of the last write
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
    hold_orders: int = 0
    held: list = dataclasses.field(default_factory=list)
    min_up: dict = dataclasses.field(default_factory=dict)
    before: dict = dataclasses.field(default_factory=dict)
    platform_down: bool = False
    tasks: dict = dataclasses.field(default_factory=dict)
    task_epochs: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    task_runs: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
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
        put(made, roster.member_key(member), member)
    whole = roster.Roster(ids.Revision(1), tuple(members))
    put(made, store.ROSTER_KEY, whole)
    return made


def put(made, key, value):
    """Write a value to the store, past all faults."""
    _put_bytes(made, key, codec.pack(value))


def _put_bytes(made, key, data):
    fake = made.store
    version = fake.versions.get(key, 0) + 1
    envelope, _ = operations.wrap((), ids.OperationId('test'), 0, data)
    fake.versions[key] = version
    fake.items[key] = store.Item(key, envelope, version)


def read(made, key, kind):
    """Read a value of the store, past all faults."""
    data = utils_store.body(made.store, key)
    return None if data is None else codec.unpack(data, kind)


def configure(made, pools, waves=None, revision=1, **fields):
    """Accept a configuration."""
    made.min_up = {pool.name: pool.min_up for pool in pools}
    if waves is None:
        names = tuple(pool.name for pool in pools)
        waves = (configuration.Wave(name=WAVE, pools=names),)
    whole = configuration.Configuration(
        pools=tuple(pools), waves=waves, **fields
    )
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
        lag_pause_s=0.0,
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
        raise errors.StoreUnavailable(MAY_HAVE_RUN, 'answer lost')
    return result


def _faulty_store(made):
    kept = utils_store.connect(made.store, limit_s=0.004)

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
            def arrive():
                _take(made, kind, _find(made, name), order.operation)

            async def effect():
                _reach(made)
                if made.hold_orders:
                    made.hold_orders -= 1
                    made.held.append(arrive)
                    raise errors.CallFailed(MAY_HAVE_RUN, 'no answer')
                arrive()

            await _call(made, effect)

        return call

    async def start_task(name, start):
        async def effect():
            _reach(made)
            _start_task(made, _find(made, name), start)

        await _call(made, effect)

    def end_task(state):
        async def call(name, task, epoch):
            async def effect():
                _reach(made)
                _end_task(made, name, task, epoch, state)

            await _call(made, effect)

        return call

    async def usage():
        _reach(made)
        return platform_api.UsageReport(0.0, tuple(made.tasks.values()))

    return platform_api.Platform(
        list_vms,
        vm_status,
        command('drain'),
        command('undrain'),
        command('reboot'),
        command('replace'),
        start_task,
        end_task(Task.STOPPED),
        end_task(Task.CHECKPOINTED),
        end_task(Task.THROTTLED),
        usage,
    )


def running(made):
    """Give the running tasks, with their workers."""
    return {
        task: copy.worker
        for task, copy in made.tasks.items()
        if copy.state is Task.RUNNING
    }


def _start_task(made, vm, start):
    known = made.tasks.get(start.task)
    if start.epoch < made.task_epochs[start.task] or vm.state is not Vm.UP:
        raise platform_api.Refused(409, 'not possible')
    if known is not None and known.epoch == start.epoch:
        return
    if known is not None and known.state is Task.RUNNING:
        made.harm.append(f'{start.task} runs twice')
    made.task_epochs[start.task] = start.epoch
    made.task_runs[start.task] += 1
    made.tasks[start.task] = platform_api.TaskReport(
        start.task, start.job, vm.listed.vm, start.epoch, Task.RUNNING
    )


def _end_task(made, name, task, epoch, state):
    known = made.tasks.get(task)
    if known is None or known.worker != name:
        raise platform_api.Refused(404, 'no such task')
    if epoch >= known.epoch and known.state is Task.RUNNING:
        made.tasks[task] = msgspec.structs.replace(known, state=state)


def _end_tasks(made, vm, state):
    for task, copy in made.tasks.items():
        if copy.worker == vm.listed.vm and copy.state is Task.RUNNING:
            made.tasks[task] = msgspec.structs.replace(copy, state=state)


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
        _end_tasks(made, vm, Task.CHECKPOINTED)
    elif kind == 'undrain':
        vm.state = Vm.UP if vm.healthy else Vm.FAILED
    else:
        vm.state, vm.due = Vm.REBOOTING, STEPS_TO_BOOT
        _end_tasks(made, vm, Task.FAILED)


def _note_harm(made, kind, name, operation):
    """Note an order that hits work, or that no row had named before."""
    row = rows(made).get(name)
    if row is None or row.operation != operation:
        made.harm.append(f'{kind} of {name} was not written first')
    if kind == 'undrain':
        return
    for entry in made.entries:
        if granted(made, entry, name):
            made.harm.append(f'{kind} of {name} under a grant')
        if _works_at(entry, name):
            made.harm.append(f'{kind} of {name} cuts a request')


def granted(made, entry, vm):
    """Give the row under which an entry would send new work to a VM."""
    if made.clock_s - entry.contact_s >= isolation.ISOLATED_S:
        return None
    for shard in entry.shards.values():
        for row in shard.rows:
            if row.vm == vm and row.state is fleet.VmState.SERVING:
                spare = row.pool.startswith(fleet.SPARE_PREFIX)
                return None if spare else row
    return None


def begin(made, entry, vm):
    """Let an entry send a request to a VM if it holds its grant."""
    row = granted(made, entry, vm)
    if row is not None:
        entry.in_flight[vm, row.pool, row.epoch] += 1


def _works_at(entry, name):
    return [key for key in entry.in_flight if key[0] == name]


def _peers(made):
    async def release(address, request):
        entry = next(e for e in made.entries if e.member.peer == address)
        if not entry.reachable:
            raise errors.CallFailed(verdicts.Verdict.NOT_RUN, 'no route')
        if request.shard is not None:
            follow(entry, request.shard)
        known = entry.shards.get(request.data_centre)
        held = collections.Counter()
        for (vm, _, epoch), count in entry.in_flight.items():
            row = granted(made, entry, vm)
            if row is None or row.epoch != epoch:
                held[vm] += count
        return messages.ReleaseReply(
            entry=entry.member.entry,
            incarnation=entry.member.incarnation,
            revision=0 if known is None else known.revision,
            in_flight=dict(held),
            heard_ages_s={
                other.member.incarnation: made.clock_s - other.contact_s
                for other in made.entries
            },
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


def check(made):
    """Note whatever a write shows that must never be."""
    before, made.before = made.before, rows(made)
    for row in made.before.values():
        if row.state is fleet.VmState.SERVING:
            _check_one_pool(made, row)
    for pool_name, min_up in made.min_up.items():
        lost = [
            vm
            for vm, row in before.items()
            if _serves(row, pool_name)
            and not _serves(made.before.get(vm), pool_name)
        ]
        if any(_fit(made, vm) for vm in lost):
            left = serving(made, pool_name)
            if left < min_up:
                made.harm.append(f'{pool_name} has {left} serving')


def _check_one_pool(made, row):
    """Note work, or the grant of it, that a VM has for another pool."""
    for entry in made.entries:
        known = granted(made, entry, row.vm)
        pools = {pool for _, pool, _ in _works_at(entry, row.vm)}
        if known is not None:
            pools.add(known.pool)
        if pools - {row.pool}:
            made.harm.append(f'{row.vm} of {row.pool} is in {pools} too')


def _serves(row, pool_name):
    serves = row is not None and row.state is fleet.VmState.SERVING
    return serves and row.pool == pool_name


def _fit(made, name):
    """Say whether a VM was well, so that only the leader took it away."""
    vm = made.vms.get(name)
    if vm is None or vm.state is not Vm.UP or not vm.healthy:
        return False
    return vm.listed.status is platform_api.VmStatus.LIVE


def deliver(made):
    """Let the held orders arrive late, in reverse order."""
    while made.held:
        try:
            made.held.pop()()
        except platform_api.Refused:
            continue


def pause(made, entry):
    """Stop an entry's process, or cut it off."""
    entry.reachable = False


def resume(made, entry):
    """Let an entry go on; one that was isolated joins anew."""
    entry.reachable = True
    if made.clock_s - entry.contact_s >= isolation.ISOLATED_S:
        entry.shards.clear()
    put(made, roster.member_key(entry.member), entry.member)


def change_list(made, name, **fields):
    """Change a VM's row in the VM list."""
    vm = made.vms[name]
    vm.listed = msgspec.structs.replace(vm.listed, **fields)
    made.listing_version += 1


def vanish(made, name):
    """Take a VM off the VM list, for good."""
    made.listing_version += 1
    return made.vms.pop(name)


def step(made):
    """Let a second pass: reboots go on, entries follow the store."""
    made.clock_s += 1.0
    for vm in made.vms.values():
        if vm.due:
            vm.due -= 1
            if not vm.due:
                _advance(vm)
    for entry in made.entries:
        if not entry.reachable:
            _wear(made, entry)
            continue
        entry.contact_s = made.clock_s
        if not made.store.down:
            for shard in shards(made).values():
                follow(entry, shard)


def _wear(made, entry):
    """Let the lease and the requests of an entry that is cut off end."""
    away_s = made.clock_s - entry.contact_s
    key = roster.member_key(entry.member)
    if away_s >= isolation.MEMBER_TTL_S and key in made.store.items:
        del made.store.items[key]
        made.store.versions[key] += 1
    if away_s >= isolation.REQUEST_TIMEOUT_S:
        entry.in_flight.clear()


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
