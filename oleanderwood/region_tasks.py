"""Access to the placing of a region's tasks: look, decide, write, order.

What to do is decided by :mod:`oleanderwood.placement`; this carries it out.
Every start and end is in the store before its order is sent.
"""

import collections
import collections.abc
import dataclasses
import logging
import random
import typing

from oleanderwood import blame as blames
from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import inventory
from oleanderwood import orders
from oleanderwood import ownership
from oleanderwood import placement
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from oleanderwood import store as stores
from oleanderwood import task_row
from oleanderwood import task_store
from oleanderwood import task_table
from oleanderwood import verdict as verdicts
from oleanderwood import worker_room

LOG = logging.getLogger('tasks')

USAGE_EVERY_S = 4.0
"""How often usage is read while tasks come and go, or one is missing."""

USAGE_IDLE_S = 30.0
"""How often it is read otherwise: a report names each task of the region."""

PLACE_EVERY_S = 1.0
ONCE = 'task-runs-once'
_UNDER_WAY = (
    task_row.Phase.WAITING,
    task_row.Phase.STARTING,
    task_row.Phase.ENDING,
)


@dataclasses.dataclass(frozen=True)
class Reach:
    """What the placing of tasks reaches; ``now_s`` is monotonic."""

    region: ids.Region
    store: stores.Store
    platform: platform_api.Platform
    now_s: collections.abc.Callable[[], float]
    new_id: collections.abc.Callable[[], str]
    leads: collections.abc.Callable[[], bool]
    invariants: invariants.Invariants


@dataclasses.dataclass
class Boot:
    """A worker's boot id, and when it was last seen to be in force."""

    boot_id: str
    seen_s: float


@dataclasses.dataclass
class Tasks:
    """The tasks of a region, as its leader keeps them.

    :ivar unwritten: tasks whose rows differ from the store's
    :ivar seen: the configuration and shards that were decided on last
    :ivar read_usage_s: when usage was asked for last
    :ivar told: jobs that can't run and workers put aside, with why
    """

    footing: task_store.Footing
    table: task_table.Table
    demand: demands.Demand
    blame: blames.Blame
    rng: random.Random
    unwritten: set[str] = dataclasses.field(default_factory=set)
    boots: dict[ids.VmId, Boot] = dataclasses.field(default_factory=dict)
    seen: tuple = ()
    told: dict[str, str] = dataclasses.field(default_factory=dict)
    read_usage_s: float = float('-inf')
    next_place_s: float = 0.0


async def adopt(reach: Reach, rng: random.Random) -> Tasks:
    """Fence the task rows and take them over.

    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    footing, rows = await task_store.fence(
        reach.store, reach.region, reach.new_id
    )
    table = task_table.adopt(rows, reach.now_s())
    return Tasks(footing, table, demands.Demand(), blames.Blame(), rng)


async def keep(
    reach: Reach,
    tasks: Tasks,
    wanted: configuration.Configuration,
    shards: ownership.Shards,
    sighting: inventory.Sighting,
    statuses: collections.abc.Mapping[ids.VmId, platform_api.PlatformVm],
) -> None:
    """Bring the tasks one step on.

    :param statuses: of VMs that were looked up just now
    :raises errors.StoreConflict: another leader is at work
    :raises errors.StoreUnavailable: the store didn't answer
    """
    _follow_boots(reach, tasks, statuses)
    if reach.now_s() < tasks.next_place_s:
        return
    tasks.next_place_s = reach.now_s() + PLACE_EVERY_S
    seen = (wanted, *shards.values())
    if not _has_work(tasks, seen, reach.now_s()):
        return
    tasks.seen = seen
    listing = platform_api.VmListing(
        sighting.version, tuple(sighting.listed.values())
    )
    workers = worker_room.workers(shards.values(), listing)
    await _read_usage(reach, tasks, workers)
    jobs = jobs_of(wanted, reach.region)
    tasks.unwritten.update(
        task_table.reconcile(tasks.table, jobs, reach.now_s())
    )
    noted = _decide(reach, tasks, wanted, jobs, workers)
    await _write(reach, tasks)
    await orders.for_each(noted, lambda action: _send(reach, tasks, action))


def _has_work(tasks: Tasks, seen: tuple, now_s: float) -> bool:
    """Say whether anything happened, or is still to happen."""
    if tasks.unwritten or _usage_due(tasks, now_s):
        return True
    if len(seen) != len(tasks.seen):
        return True
    if any(one is not other for one, other in zip(seen, tasks.seen)):
        return True
    return _under_way(tasks)


def _under_way(tasks: Tasks) -> bool:
    return any(
        row.phase in _UNDER_WAY or row.absent_since_s
        for row in tasks.table.rows.values()
    )


def _usage_due(tasks: Tasks, now_s: float) -> bool:
    passed_s = now_s - tasks.read_usage_s
    if passed_s < USAGE_EVERY_S:
        return False
    return passed_s >= USAGE_IDLE_S or _under_way(tasks)


def jobs_of(
    wanted: configuration.Configuration, region: ids.Region
) -> tuple[configuration.Job, ...]:
    """Give the jobs of a region's pools."""
    pools = {pool.name for pool in wanted.pools if pool.region == region}
    return tuple(job for job in wanted.jobs if job.pool in pools)


def _follow_boots(
    reach: Reach,
    tasks: Tasks,
    statuses: collections.abc.Mapping[ids.VmId, platform_api.PlatformVm],
) -> None:
    """Take a new boot id as the proof that a worker's copies are gone."""
    now_s = reach.now_s()
    for vm, status in statuses.items():
        known = tasks.boots.get(vm)
        if known is not None and known.boot_id != status.boot_id:
            changed = task_table.worker_restarted(
                tasks.table, vm, known.seen_s, now_s
            )
            tasks.unwritten.update(changed)
            blames.restarted(tasks.blame, vm, now_s)
        tasks.boots[vm] = Boot(status.boot_id, now_s)


async def _read_usage(
    reach: Reach,
    tasks: Tasks,
    workers: tuple[worker_room.Worker, ...],
) -> None:
    if not _usage_due(tasks, reach.now_s()):
        return
    tasks.read_usage_s = reach.now_s()
    try:
        usage = await reach.platform.usage()
    except errors.CallFailed as error:
        LOG.warning('No usage report: %s.', error.reason)
        return
    now_s = reach.now_s()
    for copy in task_table.overlaps(tasks.table, usage, now_s):
        detail = f'{copy.task} runs at {copy.worker} under {copy.epoch} too.'
        invariants.report(reach.invariants, ONCE, detail)
    tasks.unwritten.update(task_table.report(tasks.table, usage, now_s))
    demands.observe(tasks.demand, usage)
    blames.observe(tasks.blame, usage, workers, now_s)


def _decide(
    reach: Reach,
    tasks: Tasks,
    wanted: configuration.Configuration,
    jobs: tuple[configuration.Job, ...],
    workers: tuple[worker_room.Worker, ...],
) -> list[actions.Action]:
    """Decide, and note all in the table; give what is to be sent."""
    now_s = reach.now_s()
    decided = placement.place(
        jobs,
        wanted.teams,
        workers,
        tasks.table.rows,
        tasks.demand,
        now_s,
        tasks.rng,
        pools=wanted.pools,
        blame=tasks.blame,
    )
    noted = []
    told = {}
    for action in decided:
        operation = ids.OperationId(f'task-{reach.new_id()}')
        row = task_table.note(tasks.table, action, operation, now_s)
        if row is not None:
            tasks.unwritten.add(row.task)
            noted.append(action)
        elif not hasattr(action, 'task'):
            subject = getattr(action, 'job', '') or action.worker
            told[subject] = action.reason
    for subject in told.keys() - tasks.told.keys():
        LOG.warning('%s: %s.', subject, told[subject])
    tasks.told = told
    return noted


async def _write(reach: Reach, tasks: Tasks) -> None:
    """Write each bucket that changed, once."""
    changed = {task_store.bucket_of(task) for task in tasks.unwritten}
    rows: dict[int, list[task_row.TaskRow]] = {one: [] for one in changed}
    for row in tasks.table.rows.values():
        bucket = task_store.bucket_of(row.task)
        if bucket in rows:
            rows[bucket].append(row)
    for bucket in sorted(changed):
        await task_store.write(
            reach.store,
            tasks.footing,
            bucket,
            tuple(rows[bucket]),
            reach.new_id,
        )
    tasks.unwritten.clear()


async def _send(reach: Reach, tasks: Tasks, action: actions.Action) -> None:
    if not reach.leads():
        return
    if isinstance(action, actions.StartTask):
        await _start(reach, tasks, action)
        return
    calls = {
        actions.StopTask: reach.platform.stop_task,
        actions.CheckpointTask: reach.platform.checkpoint_task,
        actions.ThrottleTask: reach.platform.throttle_task,
    }
    try:
        await calls[type(action)](action.worker, action.task, action.epoch)
    except errors.CallFailed as error:
        LOG.info('%s at %s: %s.', action.task, action.worker, error.reason)


def dump(tasks: Tasks) -> dict[str, typing.Any]:
    """Give the state as plain data, for the state dump."""
    rows = tasks.table.rows.values()
    return {
        'phases': collections.Counter(row.phase.value for row in rows),
        'told': tasks.told,
        'bucket_writes': tasks.footing.writes,
    }


async def _start(
    reach: Reach, tasks: Tasks, action: actions.StartTask
) -> None:
    now_s = reach.now_s()
    if not task_table.may_send(tasks.table, action.task, action.epoch, now_s):
        return
    row = tasks.table.rows[action.task]
    verdict = verdicts.Verdict.RAN
    try:
        await reach.platform.start_task(
            action.worker, task_row.start_message(row)
        )
    except errors.CallFailed as error:
        verdict = error.verdict
        LOG.info('%s at %s: %s.', action.task, action.worker, error.reason)
        if not isinstance(error, platform_api.Refused):
            blames.unreachable(tasks.blame, action.worker, reach.now_s())
    tasks.unwritten.update(
        task_table.answer(
            tasks.table, action.task, action.epoch, verdict, reach.now_s()
        )
    )
