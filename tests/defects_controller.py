"""Planted defects of the controller, and the schedules that show them.

Each defect replaces one function of the product for the time of a run; the
run must then fail, and pass without it.
"""

import contextlib
import unittest.mock

import curio
import msgspec

from oleanderwood import batch
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import ownership
from oleanderwood import region_leader
from oleanderwood import region_shards
from oleanderwood import release
from oleanderwood import reserve
from tests import utils_schedules

_apply = ownership.apply
_write = region_leader._write
_change = ownership.change


def _take_unchecked(census, row, quarter):
    """Take a VM whatever it costs its pool."""
    reserve.take(census, row.vm)


def _release_without_asking(shard, standings, releases):
    for row in release.waiting(shard, releases):
        releases.released.add((row.vm, row.epoch))


def _ignore_in_flight(standings, vm):
    unknown = release.isolation.Status.UNKNOWN
    return tuple(one for one in standings if one.status is unknown)


async def _fence_without_writing(store, data_centres, new_id):
    footing = region_shards.Footing(1, {}, {})
    for name in sorted(data_centres):
        shard, version = await region_shards._read(store, name)
        footing.shards[name] = shard
        footing.versions[name] = version
    return footing


async def _order_before_writing(world, leader, decision):
    for one in decision.changes:
        if one.after is not None and one.after.operation:
            await region_leader.orders.send(
                world.platform, [one.after], leader.seen, world.leads
            )
    await _write(world, leader, decision)


async def _keep_footing(world, leader):
    try:
        return await region_leader._pass(world, leader)
    finally:
        if leader.footing is not None:
            leader.footing.lost = False


def _see_any_list(known, listing, region):
    listed = {vm.vm: vm for vm in listing.vms}
    return inventory.Sighting(listing.version, listed)


def _apply_without_version(shard, changes, term, listing_version=0):
    return _apply(shard, changes, term)


def _drop_at_once(data_centre, row, reason, released, now_s):
    cause = ownership.Cause.VANISHED
    return ownership.Change(data_centre, row, None, cause)


def _same_epoch(data_centre, row, cause, now_s, **fields):
    one = _change(data_centre, row, cause, now_s, **fields)
    after = msgspec.structs.replace(one.after, epoch=row.epoch)
    return msgspec.structs.replace(one, after=after)


def _no_breaches(*arguments):
    return []


DEFECTS = {
    'release-without-asking': (
        (release, '_conclude', _release_without_asking),
    ),
    'release-with-requests-in-flight': (
        (release.isolation, 'blocking', _ignore_in_flight),
    ),
    'fence-without-writing': (
        (region_shards, 'fence', _fence_without_writing),
    ),
    'order-before-writing': (
        (region_leader, '_write', _order_before_writing),
    ),
    'go-on-after-a-lost-answer': ((region_leader, 'run_pass', _keep_footing),),
    'order-replaced-before-taken': (
        (lifecycle, 'taken', lambda row, vm: vm is not None),
    ),
    'no-budget': (
        (batch, '_take', _take_unchecked),
        (ownership, '_of_min_up', _no_breaches),
    ),
    'planner-without-budget': ((batch, '_take', _take_unchecked),),
    'drop-vanished-vms-at-once': (
        (inventory, '_gone', _drop_at_once),
        (ownership, '_of_release', _no_breaches),
    ),
    'epochs-stand-still': ((ownership, 'change', _same_epoch),),
    'move-without-release': (
        (lifecycle, '_released', lambda case: True),
        (ownership, '_of_release', _no_breaches),
    ),
}

LIST_DEFECTS = {
    'old-lists-count': ((inventory, 'see', _see_any_list),),
    'list-version-not-kept': ((ownership, 'apply', _apply_without_version),),
}

SEEDS = {
    'release-without-asking': 7,
    'release-with-requests-in-flight': 7,
    'fence-without-writing': 7,
    'order-before-writing': 1,
    'go-on-after-a-lost-answer': 4,
    'order-replaced-before-taken': 1,
    'no-budget': 3,
    'planner-without-budget': 3,
    'drop-vanished-vms-at-once': 62,
    'epochs-stand-still': 1,
    'move-without-release': 7,
}
"""For each defect, the first drawn schedule that shows it."""


@contextlib.contextmanager
def planted(name):
    """Plant a defect."""
    with contextlib.ExitStack() as stack:
        for module, attribute, stand_in in (DEFECTS | LIST_DEFECTS)[name]:
            stack.enter_context(
                unittest.mock.patch.object(module, attribute, stand_in)
            )
        yield


SHOWN_WITHOUT_TASKS = 'fence-without-writing'
"""The fence of the task rows makes up for that of the shards."""


def fault_of(name, seed):
    """Run a drawn schedule with a defect; give the failure, '' if none.

    :param name: '' for none
    """
    with planted(name) if name else contextlib.nullcontext():
        try:
            schedule = utils_schedules.drawn(seed)
            tasks = 0 if name == SHOWN_WITHOUT_TASKS else 2
            curio.run(utils_schedules.run, schedule, tasks)
        except Exception as error:
            return f'{type(error).__name__}: {error}'
    return ''
