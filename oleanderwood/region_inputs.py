"""Access to what a region's leader reads of others: files, orders, VMs."""

import logging

from oleanderwood import availability
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import inventory
from oleanderwood import parts
from oleanderwood import region_state
from oleanderwood import store as stores
from oleanderwood import wave_run
from oleanderwood import wave_state

LOG = logging.getLogger('controller')


async def read(world: region_state.World, leader: region_state.Leader) -> None:
    """Read what others write: configuration, waves, VM list."""
    await read_configuration(world, leader)
    await read_waves(world, leader)
    await read_listing(world, leader)


async def read_configuration(
    world: region_state.World, leader: region_state.Leader
) -> None:
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


async def read_waves(
    world: region_state.World, leader: region_state.Leader
) -> None:
    """Read what operators ordered, and what the runs have done."""
    item = await world.read(wave_state.key(world.region))
    if leader.waves.value is None:
        leader.waves.value = wave_state.Waves(world.region)
    if item is not None and item.version > leader.waves.version:
        value = codec.unpack(item.value, wave_state.Waves)
        leader.waves = region_state.Kept(item.version, value)
    if leader.runs.value is None:
        runs = wave_run.Runs(world.region)
        key = wave_run.key(world.region)
        leader.runs = await _read(world, key, wave_run.Runs, runs)
    if leader.account.value is None:
        account = availability.Account()
        key = availability.key(world.region)
        leader.account = await _read(world, key, availability.Account, account)
        leader.counted = leader.account.value


async def _read(
    world: region_state.World, key: str, kind: type, empty: object
) -> region_state.Kept:
    item = await world.store.get(key)
    if item is None:
        return region_state.Kept(stores.ABSENT, empty)
    return region_state.Kept(item.version, codec.unpack(item.value, kind))


async def read_listing(
    world: region_state.World, leader: region_state.Leader
) -> None:
    """Follow the VM list; without an answer the last one stands."""
    try:
        listing = await world.platform.list_vms(leader.sighting.version)
    except errors.CallFailed as error:
        LOG.warning('No VM list: %s.', error.reason)
        return
    if listing is not None:
        leader.sighting = inventory.see(leader.sighting, listing, world.region)


def data_centres(
    world: region_state.World, leader: region_state.Leader
) -> set[ids.DataCentre]:
    """Name the region's data centres."""
    found = inventory.data_centres(leader.sighting)
    for pool in leader.wanted.pools:
        if pool.region == world.region:
            found.update(map(ids.DataCentre, pool.data_centres))
    return found
