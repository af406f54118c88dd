"""Access to one pass of a region's leader: look, decide, write, order.

A pass holds no state that matters: all that must last is in the store, so
that another leader goes on from there.
"""

import logging
import random

from oleanderwood import availability
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import orders
from oleanderwood import ownership
from oleanderwood import region_idle
from oleanderwood import region_inputs
from oleanderwood import region_plan
from oleanderwood import region_shards
from oleanderwood import region_state
from oleanderwood import region_tasks
from oleanderwood import region_view
from oleanderwood import release
from oleanderwood import task_store
from oleanderwood import wave_run
from oleanderwood import wave_state

LOG = logging.getLogger('controller')


async def run_pass(
    world: region_state.World, leader: region_state.Leader
) -> bool:
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
        leader.tasks = None
        leader.taskless = False
        leader.runs.value = None
        leader.account.value = None
        raise


async def _pass(
    world: region_state.World, leader: region_state.Leader
) -> bool:
    await region_inputs.read(world, leader)
    if leader.wanted is None or not leader.sighting.version:
        return False
    await _stand(world, leader)
    await _look(world, leader)
    view = _view(world, leader)
    now_idle = region_idle.describe(world, leader, view)
    if region_idle.same(leader.idle, now_idle):
        await _order(world, leader)
        await _keep_tasks(world, leader)
        await _keep_account(world, leader)
        return False
    decision = region_plan.decide(view, leader.releases.blocked, world.new_id)
    leader.decision = decision
    leader.loans = decision.loans
    for breach in decision.breaches:
        invariants.report(world.invariants, breach.invariant, breach.detail)
    await _write(world, leader, decision)
    await _order(world, leader)
    await _keep_tasks(world, leader)
    await _keep(world, leader, decision)
    leader.idle = None if decision.changes else now_idle
    return bool(decision.changes)


async def _stand(
    world: region_state.World, leader: region_state.Leader
) -> None:
    """Gain the footing, anew if it was lost or lacks a data centre."""
    footing = leader.footing
    wanted = region_inputs.data_centres(world, leader)
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


async def _look(
    world: region_state.World, leader: region_state.Leader
) -> None:
    """Learn how VMs stand that are out of service."""
    shards = leader.footing.shards
    asker = release.Asker(
        world.store,
        world.peers,
        world.region,
        world.monotonic_s,
        world.lag_pause_s,
    )
    now_s = world.monotonic_s()
    release.follow_list(leader.releases, leader.sighting, now_s)
    await release.ask(asker, shards, leader.releases)
    release.forget(leader.releases, shards)
    index = region_state.index(leader)
    looked = list(index.out)
    for vm in index.serving.keys() - leader.sighting.listed.keys():
        looked.append(index.serving[vm])
    swept = _next_swept(leader, index)
    if swept is not None:
        looked.append(swept)
    await orders.look(world.platform, world.probe, looked, leader.seen)


def _next_swept(
    leader: region_state.Leader, index: region_state.Index
) -> fleet.VmRow | None:
    """Pick the next serving VM whose status is looked up in its turn."""
    if not index.serving:
        return None
    while True:
        if not leader.sweep:
            leader.sweep = list(index.serving)
        row = index.serving.get(leader.sweep.pop())
        if row is not None:
            return row


def _view(
    world: region_state.World, leader: region_state.Leader
) -> region_view.View:
    now_s = world.now_s()
    leader.counted = availability.count(
        leader.counted,
        region_state.pools(world, leader),
        region_state.index(leader).up,
        now_s,
    )
    return region_view.View(
        region=world.region,
        configuration=leader.wanted,
        shards=leader.footing.shards,
        sighting=leader.sighting,
        evidence=_evidence(leader),
        released=leader.releases.released,
        unknown=leader.seen.unknown,
        settled=release.settled(leader.releases, world.monotonic_s()),
        waves=leader.waves.value,
        runs=leader.runs.value,
        account=leader.counted,
        loans=leader.loans,
        now_s=now_s,
    )


def _evidence(
    leader: region_state.Leader,
) -> dict[ids.VmId, lifecycle.Evidence]:
    index = region_state.index(leader)
    looked = list(index.out)
    for vm in leader.seen.statuses.keys() & index.serving.keys():
        looked.append(index.serving[vm])
    return {
        row.vm: lifecycle.Evidence(
            released=(row.vm, row.epoch) in leader.releases.released,
            platform=leader.seen.statuses.get(row.vm),
            probed=row.vm in leader.seen.probed,
            leaving=inventory.is_leaving(leader.sighting, row.vm),
            listed=row.vm in leader.sighting.listed,
        )
        for row in looked
    }


async def _write(
    world: region_state.World,
    leader: region_state.Leader,
    decision: region_view.Decision,
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


async def _order(
    world: region_state.World, leader: region_state.Leader
) -> None:
    out = region_state.index(leader).out
    await orders.send(world.platform, out, leader.seen, world.leads)


async def _keep_tasks(
    world: region_state.World, leader: region_state.Leader
) -> None:
    reach = region_tasks.Reach(
        region=world.region,
        store=world.store,
        platform=world.platform,
        now_s=world.monotonic_s,
        new_id=world.new_id,
        leads=world.leads,
        invariants=world.invariants,
    )
    if leader.tasks is None:
        if not await _has_tasks(world, leader):
            return
        rng = random.Random(leader.footing.term)
        leader.tasks = await region_tasks.adopt(reach, rng)
    await region_tasks.keep(
        reach,
        leader.tasks,
        leader.wanted,
        leader.footing.shards,
        leader.sighting,
        leader.seen.statuses,
    )


async def _has_tasks(
    world: region_state.World, leader: region_state.Leader
) -> bool:
    """Say whether there are jobs, or tasks of jobs that are gone."""
    if region_tasks.jobs_of(leader.wanted, world.region):
        return True
    if leader.taskless:
        return False
    found = await task_store.exist(world.store, world.region)
    leader.taskless = not found
    return found


async def _keep(
    world: region_state.World,
    leader: region_state.Leader,
    decision: region_view.Decision,
) -> None:
    """Write what operators see, and the notes that outlive the leader.

    Losing such a write costs nothing: it is made again from the rows.
    """
    if decision.runs != leader.runs.value:
        key = wave_run.key(world.region)
        await _put(world, leader.runs, key, decision.runs)
    await _keep_account(world, leader)
    if decision.waves == leader.waves.value:
        return
    try:
        key = wave_state.key(world.region)
        await _put(world, leader.waves, key, decision.waves)
    except errors.StoreConflict:
        # An operator was faster. What it wrote is read in the next pass,
        # and what was to be written is made again from the rows.
        LOG.info('Waves were written by another.')


async def _keep_account(
    world: region_state.World, leader: region_state.Leader
) -> None:
    if availability.must_write(leader.account.value, leader.counted):
        key = availability.key(world.region)
        await _put(world, leader.account, key, leader.counted)


async def _put(
    world: region_state.World,
    kept: region_state.Kept,
    key: str,
    value: object,
) -> None:
    operation = ids.OperationId(f'keep-{world.new_id()}')
    kept.version = await world.store.swap(
        key, codec.pack(value), kept.version, operation, None
    )
    kept.value = value
