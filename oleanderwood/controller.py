"""Access to the daemon that leads a region: oleander-controller.

It runs on every entry VM. One of them holds the region's lease and makes
passes (:mod:`oleanderwood.region_leader`); the others wait.
"""

import collections
import dataclasses
import functools
import logging
import random
import time
import typing
import uuid

import curio
import prometheus_client

from oleanderwood import controller_metrics
from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import leadership
from oleanderwood import peer_grpc
from oleanderwood import platform_http
from oleanderwood import region_leader
from oleanderwood import region_state
from oleanderwood import region_tasks
from oleanderwood import settings
from oleanderwood import store as stores
from oleanderwood import store_http
from oleanderwood import traffic
from oleanderwood import watched as watches
from oleanderwood import wave_state

LOG = logging.getLogger('controller')

PROGRAM = 'oleander-controller'
PROBE_TIMEOUT_S = 1.0
HURRY_S = 0.1
"""Pause after a pass that changed something."""

RETRY_S = 1.0
CLAIM_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Settings:
    """How a controller runs."""

    region: ids.Region
    name: str
    store: tuple[ids.Address, ...]
    platform: ids.Address
    admin_listen: ids.Address
    tick_s: float = 1.0
    log_level: str = 'info'


@dataclasses.dataclass
class Controller:
    """State of the daemon.

    :ivar leader: what it knows while it leads, None otherwise
    """

    settings: Settings
    world: region_state.World
    seat: leadership.Seat
    watched: watches.Watched
    metrics: controller_metrics.Metrics
    registry: prometheus_client.CollectorRegistry
    rng: random.Random
    leader: region_state.Leader | None = None


def create(wanted: Settings) -> Controller:
    """Make the daemon's state; nothing is opened before it is used."""
    registry = prometheus_client.CollectorRegistry()
    metrics = controller_metrics.create(registry)
    rng = random.Random()
    counts = traffic.register(registry)
    store = store_http.connect(wanted.store, registry, count=counts.store)
    watched = watches.Watched(store, rng)
    record = leadership.Record(ids.HolderId(wanted.name), wanted.admin_listen)
    seat = leadership.Seat(wanted.region, record)
    world = region_state.World(
        region=wanted.region,
        store=store,
        read=functools.partial(watches.read, watched),
        platform=platform_http.connect(
            wanted.platform,
            on_call=_count_call(metrics),
            count=counts.platform,
        ),
        peers=peer_grpc.calls(peer_grpc.connect(counts.peers)),
        probe=accepts_connections,
        monotonic_s=time.monotonic,
        now_s=time.time,
        new_id=lambda: uuid.uuid4().hex,
        leads=lambda: leadership.holds(seat, time.monotonic()),
        invariants=invariants.create(registry),
    )
    return Controller(wanted, world, seat, watched, metrics, registry, rng)


def _count_call(metrics: controller_metrics.Metrics) -> platform_http.OnCall:
    def count(name: str, outcome: str) -> None:
        metrics.platform_calls.labels(name, outcome).inc()

    return count


async def accepts_connections(address: ids.Address) -> bool:
    """Say whether something listens at an address."""
    try:
        connection = await http_client.connect(address, PROBE_TIMEOUT_S)
    except errors.CallFailed:
        return False
    await http.close(connection.sock)
    return True


async def run(controller: Controller) -> None:
    """Run until SIGTERM or SIGINT; then resign."""
    probes = daemon.Probes(
        dump=lambda: dump(controller),
        ready=lambda: ready(controller),
        registry=controller.registry,
    )
    listen = controller.settings.admin_listen
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(daemon.until_stopped)
        await group.spawn(daemon.serve_probes, listen, probes)
        await group.spawn(lead_for_ever, controller)
    try:
        async with curio.timeout_after(RETRY_S):
            await leadership.resign(controller.world.store, controller.seat)
    except (errors.CallFailed, errors.StoreConflict, curio.TaskTimeout):
        LOG.warning('The lease was left to lapse.')
    for error in group.exceptions:
        if error is not None and not isinstance(error, curio.CancelledError):
            raise error


async def lead_for_ever(controller: Controller) -> None:
    """Wait for the leadership, lead until it is lost, and so on."""
    while True:
        try:
            leads = await _claim(controller)
            if leads:
                await _lead(controller)
        except (errors.StoreUnavailable, errors.StoreConflict) as error:
            LOG.warning('Leadership: %s.', error)
            await curio.sleep(RETRY_S * controller.rng.uniform(0.5, 1.5))


async def _claim(controller: Controller) -> bool:
    """Wait until nobody leads, and claim."""
    key = leadership.key(controller.settings.region)
    store = controller.world.store
    item = await store.get(key)
    while item is not None:
        wait_s = watches.WAIT_S * controller.rng.uniform(0.8, 1.0)
        try:
            item = await store.watch(key, item.version, wait_s)
        except TimeoutError:
            continue
    return await leadership.claim(
        store, controller.seat, time.monotonic, controller.world.new_id
    )


async def _lead(controller: Controller) -> None:
    """Make passes while the lease is held."""
    controller.leader = region_state.Leader()
    controller.watched.items.clear()
    controller.metrics.leads.set(1)
    region = controller.settings.region
    keys = (stores.CONFIG_HEAD_KEY, wave_state.key(region))
    try:
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_renew, controller)
            await group.spawn(watches.follow, controller.watched, keys)
            await group.spawn(_make_passes, controller)
    finally:
        controller.leader = None
        controller.metrics.leads.set(0)
    for error in group.exceptions:
        if error is not None and not isinstance(error, curio.CancelledError):
            raise error


async def _renew(controller: Controller) -> None:
    """Renew the lease until it is lost."""
    while True:
        await curio.sleep(leadership.RENEW_S)
        try:
            held = await leadership.renew(
                controller.world.store, controller.seat, time.monotonic
            )
        except errors.StoreUnavailable as error:
            LOG.warning('Lease not renewed: %s.', error)
            controller.watched.lost = True
            continue
        if not held:
            return


async def _make_passes(controller: Controller) -> None:
    """Make a pass at each tick, and sooner when there is news."""
    while True:
        pause_s = await _one_pass(controller)
        controller.watched.changed.clear()
        async with curio.ignore_after(pause_s):
            await controller.watched.changed.wait()


async def _one_pass(controller: Controller) -> float:
    """Make a pass; give the pause to the next one."""
    leader = controller.leader
    tick_s = controller.settings.tick_s
    if controller.watched.lost:
        # After an outage the roster has to answer whole again.
        controller.watched.lost = False
        leader.footing = None
    started_s = time.process_time()
    try:
        changed = await region_leader.run_pass(controller.world, leader)
        outcome = 'changed' if changed else 'quiet'
    except errors.StoreUnavailable as error:
        LOG.warning('Pass ended: %s.', error)
        outcome = 'no-store'
    except errors.StoreConflict as error:
        LOG.warning('Another leader is at work: %s.', error)
        outcome = 'conflict'
    except errors.InvariantBreach as error:
        invariants.report(
            controller.world.invariants, 'pass-consistent', str(error)
        )
        outcome = 'breach'
    _measure(controller, outcome, time.process_time() - started_s)
    if outcome == 'changed':
        return min(HURRY_S, tick_s)
    return tick_s * controller.rng.uniform(0.9, 1.1)


def _measure(controller: Controller, outcome: str, spent_s: float) -> None:
    metrics = controller.metrics
    leader = controller.leader
    metrics.passes.labels(outcome).inc()
    metrics.pass_s.inc(spent_s)
    metrics.blocked.set(len(leader.releases.blocked))
    if outcome != 'changed':
        return
    changes = leader.decision.changes
    metrics.shard_writes.inc(len({one.data_centre for one in changes}))
    for one in changes:
        metrics.row_changes.labels(one.cause.value).inc()
    index = region_state.index(leader)
    states = collections.Counter(row.state for row in index.out)
    states[fleet.VmState.SERVING] = len(index.serving)
    for state in fleet.VmState:
        metrics.rows.labels(state.value).set(states[state])
    for line in leader.counted.lines:
        metrics.short.labels(line.pool).set(line.missing)
        metrics.spent_s.labels(line.pool).set(line.spent_s)


def ready(controller: Controller) -> str:
    """Say '' if the daemon does its part, else why not."""
    leader = controller.leader
    if leader is None:
        return ''
    if leader.wanted is None:
        return 'no configuration yet'
    if leader.footing is None:
        return 'the shards are not under its term yet'
    return ''


def dump(controller: Controller) -> dict[str, typing.Any]:
    """Give the daemon's state as plain data."""
    state: dict[str, typing.Any] = {
        'region': controller.settings.region,
        'name': controller.settings.name,
        'leads': controller.leader is not None,
        'invariants': invariants.dump(controller.world.invariants),
    }
    if controller.leader is not None:
        state['leader'] = _dump_leader(controller.leader)
    return state


def _dump_leader(leader: region_state.Leader) -> dict[str, typing.Any]:
    revision = None if leader.head is None else leader.head.revision
    found = {
        'configuration': revision,
        'listing_version': leader.sighting.version,
        'blocked': leader.releases.blocked,
        'refused': leader.seen.refused,
        'waves': leader.waves.value,
        'account': leader.counted,
    }
    if leader.decision is not None:
        found['batches'] = leader.decision.batches
    if leader.tasks is not None:
        found['tasks'] = region_tasks.dump(leader.tasks)
    if leader.footing is not None:
        index = region_state.index(leader)
        found['term'] = leader.footing.term
        found['serving'] = len(index.serving)
        found['serving_by_pool'] = index.up
        found['out'] = index.out
    return found


APP = settings.application(
    PROGRAM, 'Leads a region: waves, spare VMs, placement, moves of VMs.'
)


@APP.default
def command(
    *,
    region: str,
    name: str,
    store: settings.Many,
    platform: str,
    admin_listen: str = '127.0.0.1:0',
    tick_s: float = 1.0,
    log_level: str = 'info',
) -> None:
    """Run the controller of a region on one VM.

    :param region: the region whose VMs it leads
    :param name: this process, unlike all others of the region
    :param store: addresses of the platform's store
    :param platform: address of the platform's VM list, pools and workers
    :param admin_listen: address of probes, metrics and dump
    :param tick_s: seconds between passes without news, 0.1 to 60
    :param log_level: debug, info, warning or error
    """
    settings.validate(
        [
            settings.name('--region', region),
            settings.name('--name', name),
            *settings.addresses('--store', store),
            settings.address('--platform', platform),
            settings.address('--admin-listen', admin_listen),
            settings.between('--tick-s', tick_s, 0.1, 60.0),
            settings.log_level(log_level),
        ]
    )
    daemon.log_to_stderr(log_level)
    wanted = Settings(
        region=ids.Region(region),
        name=name,
        store=tuple(map(ids.Address, store)),
        platform=ids.Address(platform),
        admin_listen=ids.Address(admin_listen),
        tick_s=tick_s,
        log_level=log_level,
    )
    curio.run(run, create(wanted))


def main() -> None:
    """Run the binary."""
    settings.run(APP)


if __name__ == '__main__':
    main()
