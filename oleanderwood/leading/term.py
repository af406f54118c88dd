"""One leader's term: taking over, leading and handing over."""

import collections.abc
import dataclasses
import functools
import traceback
import typing

import curio
import msgspec

from oleanderwood import boot
from oleanderwood.capacity import demand
from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import record
from oleanderwood.leading import admission_loop
from oleanderwood.leading import advising
from oleanderwood.leading import confirmation
from oleanderwood.leading import crash_handover
from oleanderwood.leading import dispatch
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import fleet_loop
from oleanderwood.leading import intake
from oleanderwood.leading import leadership_transfer
from oleanderwood.leading import lease
from oleanderwood.leading import machine_handover
from oleanderwood.leading import memory_budget
from oleanderwood.leading import parallel
from oleanderwood.leading import pool_loop
from oleanderwood.leading import previous_leaders
from oleanderwood.leading import progress_writer
from oleanderwood.leading import registration
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import schedule
from oleanderwood.leading import state as states
from oleanderwood.leading import stored_waves
from oleanderwood.leading import watcher
from oleanderwood.leading import worker_loop
from oleanderwood.platform import advice
from oleanderwood.platform import entries
from oleanderwood.platform import executors
from oleanderwood.platform import machines as machine_calls
from oleanderwood.platform import operator
from oleanderwood.platform import store as stores
from oleanderwood.pools import reports
from oleanderwood import server_metrics
from oleanderwood import turns

WATCH_TIMEOUT_S = 1.0
"""Maximum duration of a watch, in seconds. A dead connection is detected after
this time plus what the client allows in addition, early enough for a change of
the configuration."""

ROLE_CHECK_INTERVAL_S = 0.05
"""Interval between two checks of who leads, in seconds."""

RESIGN_TIMEOUT_S = 0.4
RESIGN_TRIES = 6
"""Timeout, in seconds, and number of attempts of the write by which a leader
gives up its role. A stopping server keeps its lease while it still has
callers, so a lost write would block the next election."""

READ_START_TIMEOUT_S = 0.4
"""Maximum time until the answer to a read during takeover begins, in seconds;
a slow store takes 0.24 s."""

READ_TRIES = 6
"""Number of attempts for each of the five reads of a takeover: a single
unanswered read would otherwise abort it."""

HANDOVER_TIMEOUT_S = 0.6
"""Timeout of the last writes of a leader that stops, in seconds."""


async def lead(server: states.Server, term: int, revision: int) -> None:
    """Lead until deposed or until the server stops.

    :param revision: revision of the leader key
    """
    now_s = clock.now_s()
    leader = states.Leader(
        server, term, revision, now_s, ledgers.Ledger(term=term)
    )
    settings = server.settings
    if settings.machines_address is not None:
        leader.machine_calls = machine_calls.Machines(
            settings.machines_address, settings.name
        )
    memory_budget.apply_setting(leader)
    server.last_led_term = term
    event_log.emit('leader', 'took-over', term=term)
    server_metrics.TERMS.inc()
    try:
        read_at = await _load_state(leader)
    except (errors.CallFailed, msgspec.MsgspecError) as error:
        event_log.emit('leader', 'gave-up', term=term, why=str(error))
        await _resign(leader)
        return
    if server.max_asking_term > term:
        # The later leader was told that this server does not lead, so it
        # does not wait for leases that this term would grant.
        event_log.emit(
            'leader',
            'gave-up',
            term=term,
            why='the leader of a later term has called',
        )
        await _resign(leader)
        return
    server.leader = leader
    event_log.emit(
        'leader',
        'leads',
        term=term,
        jobs=len(leader.ledger.entries),
        workers=len(leader.workers),
        after_s=round(clock.now_s() - now_s, 3),
        revision=revision,
        read_at=read_at,
    )
    async with curio.TaskGroup(wait=any) as group:
        for part in _term_loops(leader, read_at):
            await group.spawn(part)
        await group.spawn(leader.ended.wait, 1e9)
    server.unstored_crashes = crash_handover.unstored(leader.ledger)
    server.leader = None
    server_metrics.GRANTED_MACHINES.clear()
    why = leader.deposed or 'the server is stopping'
    for task in group.tasks:
        if task.exception is not None and not isinstance(
            task.exception, curio.CancelledError
        ):
            why = repr(task.exception)
            event_log.emit('leader', 'fault', why=_traceback(task.exception))
    event_log.emit('leader', 'ended', term=term, why=why)
    await _resign(leader)


def _traceback(error: BaseException) -> str:
    return ''.join(traceback.format_exception(error))[-3000:]


def _term_loops(leader: states.Leader, read_at: int) -> list:
    """Return the coroutines that run concurrently during a term.

    :param read_at: revision of the store at which jobs were read
    """
    loops = [
        _follow_intake(leader, read_at),
        _follow_workers(leader),
        intake.apply_waiting_always(leader),
        _follow_waves(leader),
        _run_worker_loops(leader),
        schedule.place_always(leader),
        progress_writer.write_progress_always(leader),
        progress_writer.write_worker_lists_always(leader),
        progress_writer.remove_ended_jobs_always(leader),
        confirmation.confirm_always(leader),
        previous_leaders.await_ends_always(leader),
        _watch_role(leader),
        admission_loop.publish_always(leader),
    ]
    address = leader.server.settings.advice_address
    if address is not None:
        calls = advice.Advice(address)
        loops.append(advising.advise_always(leader, calls))
    if leader.machine_calls is not None:
        loops.append(fleet_loop.manage_always(leader))
    return loops


@dataclasses.dataclass(frozen=True)
class StoredState:
    """What earlier leaders, front ends and operators left in the store.

    :ivar worker_lists: workers that earlier leaders may have used, by pool
    :ivar jobs: jobs and their cancels, and the policy
    :ivar progress: progress of jobs
    :ivar waves: progress of maintenance waves
    :ivar orders: announcements of orders to machines; None if there are none
    """

    worker_lists: stores.Items
    jobs: stores.Items
    progress: stores.Items
    waves: stores.Items
    orders: stores.Item | None


async def _read_stored_state(store: stores.Store) -> StoredState:
    """Read all stored state concurrently.

    Sequential reads would take half of the takeover time with a slow store.

    :raises errors.CallFailed: the store did not answer
    """
    ranges = (
        progress_writer.WORKER_LIST_PREFIX,
        record.INTAKE_PREFIX,
        record.PROGRESS_PREFIX,
        stored_waves.WAVES_PREFIX,
    )
    calls = [
        functools.partial(
            stores.read_range, store, prefix, READ_START_TIMEOUT_S
        )
        for prefix in ranges
    ]
    calls.append(
        functools.partial(
            stores.read, store, machine_handover.KEY, READ_START_TIMEOUT_S
        )
    )
    again = [functools.partial(_call_until_answered, call) for call in calls]
    return StoredState(*await parallel.run(again))


async def _call_until_answered(call: parallel.Call) -> typing.Any:
    """Make a read-only call and repeat it while it gets no answer.

    :raises errors.CallFailed: the store refused the call or never answered
    """
    for _ in range(READ_TRIES - 1):
        try:
            return await call()
        except errors.Unanswered:
            continue
    return await call()


async def _load_state(leader: states.Leader) -> int:
    """Load all stored state; return the revision at which jobs were read.

    :raises errors.CallFailed: the store did not answer
    """
    stored = await _read_stored_state(leader.server.store)
    orders, waves = stored.orders, stored.waves
    if orders is not None:
        fenced_writes.note_read(leader, orders)
        machine_handover.restore_or_wait(leader, orders.value)
    for item in [
        *stored.worker_lists.items,
        *stored.progress.items,
        *waves.items,
    ]:
        fenced_writes.note_read(leader, item)
    for item in waves.items:
        number = item.key.removeprefix(stored_waves.WAVES_PREFIX)
        leader.fleet.stored_waves[number] = item.value
    await _load_jobs(leader, stored)
    _restore_arrivals(leader)
    await _register_previous_workers(leader, stored.worker_lists)
    return stored.jobs.revision


async def _load_jobs(leader: states.Leader, stored: StoredState) -> None:
    """Apply the stored jobs and policy, then progress, then cancels."""
    now_s = clock.now_s()
    work = turns.begin('takeover')

    async def apply(item: stores.Item) -> None:
        intake.apply_intake(leader, item, taking_over=True)
        await turns.give(work)

    cancels = []
    others = []
    for item in stored.jobs.items:
        is_cancel = item.key.startswith(record.CANCEL_PREFIX)
        (cancels if is_cancel else others).append(item)
    await watcher.apply_each(record.INTAKE_PREFIX, others, apply)
    for item in stored.progress.items:
        job = ids.JobId(item.key.removeprefix(record.PROGRESS_PREFIX))
        entry = leader.ledger.entries.get(job)
        if entry is not None:
            _restore_progress(leader, entry, item.value, now_s)
            await turns.give(work)
    await watcher.apply_each(record.INTAKE_PREFIX, cancels, apply)


async def _register_previous_workers(
    leader: states.Leader, worker_lists: stores.Items
) -> None:
    """Register the workers that an earlier leader may have used."""
    now_s = clock.now_s()
    leases_end_s = previous_leaders.leases_end_s(leader, now_s)
    for item in worker_lists.items:
        try:
            entries_ = _callable_workers(item)
        except msgspec.MsgspecError as error:
            # These workers are registered later, from their entries. It is
            # unknown which of them were used, so tasks that may be running
            # somewhere wait until all leases have expired.
            event_log.emit('worker', 'malformed', key=item.key, why=str(error))
            leader.worker_lists_unread_until_s = leases_end_s
            continue
        for entry in entries_:
            worker = await registration.register(leader, entry, listed=False)
            worker.lease_end_s = leases_end_s


def _callable_workers(item: stores.Item) -> list[reports.Entry]:
    """Decode a stored worker list, without workers that cannot be called.

    A worker that cannot be called was never given a task.

    :raises msgspec.MsgspecError: the list cannot be decoded
    """
    rows = progress_writer.decode_worker_list(item.value)
    return [row for row in rows if entries.is_callable(row)]


def _restore_progress(
    leader: states.Leader, entry: ledgers.Entry, value: bytes, now_s: float
) -> None:
    """Apply the stored progress of a job.

    A job whose progress cannot be decoded is not run, as it is unknown which
    of its tasks have already run.
    """
    try:
        progress = codec.decode(value, record.Progress)
        record.restore(leader.ledger, entry, progress, now_s)
        _log_crashes(entry)
    except (msgspec.MsgspecError, ValueError) as error:
        name = entry.job.job
        event_log.emit('job', 'progress-malformed', job=name, why=str(error))
        ledgers.forget(leader.ledger, name)
        leader.unreadable_jobs.add(name)


def _log_crashes(entry: ledgers.Entry) -> None:
    """Log the attempts of a job's tasks that earlier leaders saw crash."""
    crashes = {
        task.name: sorted(task.crashes)
        for group in entry.groups.values()
        for task in group.tasks
        if task.crashes
    }
    if crashes:
        event_log.emit(
            'job', 'crashes-read', job=entry.job.job, crashes=crashes
        )


def _restore_arrivals(leader: states.Leader) -> None:
    """Restore arrival times of jobs, and recent arrivals of each pool."""
    now_s = clock.now_s()
    wall_ms = clock.wall_ms()
    entries = list(leader.ledger.entries.values())
    entries.sort(key=lambda entry: entry.job.handed_in_ms)
    for entry in entries:
        age_s = max(0.0, (wall_ms - entry.job.handed_in_ms) / 1000)
        entry.arrived_s = now_s - age_s
        if age_s < demand.MEAN_WINDOW_S:
            pool_loop.record_job_arrival(leader, entry, now_s - age_s)


async def _follow_intake(leader: states.Leader, revision: int) -> None:
    """Follow jobs and cancels from the revision read at takeover.

    Reading them all again could keep a slow link busy for so long that the
    leader's lease cannot be renewed.
    """

    async def apply_one(item: stores.Item) -> None:
        intake.apply_intake(leader, item, taking_over=False)

    async def apply(items: list[stores.Item], whole: bool) -> None:
        await watcher.apply_each(record.INTAKE_PREFIX, items, apply_one)
        await intake.wake_after_intake(leader)

    await watcher.follow(
        leader.server.store,
        record.INTAKE_PREFIX,
        WATCH_TIMEOUT_S,
        apply,
        lease.store_contact(leader.server),
        revision,
    )


async def _follow_workers(leader: states.Leader) -> None:
    async def apply(items: list[stores.Item], whole: bool) -> None:
        await watcher.apply_each(
            executors.PREFIX,
            items,
            functools.partial(intake.apply_worker, leader),
        )
        if whole:
            await intake.mark_absent_unlisted(leader, items)

    async def note(sent_s: float) -> None:
        leader.entries_confirmed_s = sent_s
        await lease.note_contact(leader.server, sent_s)

    contact = watcher.StoreContact(note, leader.server.store_back)
    await watcher.follow(
        leader.server.store, executors.PREFIX, WATCH_TIMEOUT_S, apply, contact
    )


async def _follow_waves(leader: states.Leader) -> None:
    async def apply_one(item: stores.Item) -> None:
        intake.apply_wave(leader, item)

    async def apply(items: list[stores.Item], whole: bool) -> None:
        await watcher.apply_each(operator.WAVES_PREFIX, items, apply_one)

    await watcher.follow(
        leader.server.store,
        operator.WAVES_PREFIX,
        WATCH_TIMEOUT_S,
        apply,
        lease.store_contact(leader.server),
    )


async def _run_worker_loops(leader: states.Leader) -> None:
    """Run the loops of each worker from its registration on."""
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_start_worker_loops, leader, group)


async def _start_worker_loops(
    leader: states.Leader, group: curio.TaskGroup
) -> None:
    async with curio.TaskGroup(wait=None) as loops:
        while True:
            worker = await leader.new_workers.get()
            for loop in (worker_loop.renew_always, dispatch.send_orders):
                await loops.spawn(
                    _depose_on_fault, leader, loop(leader, worker)
                )


async def _depose_on_fault(
    leader: states.Leader, loop: collections.abc.Awaitable
) -> None:
    """End the term if a worker's loop raises an exception.

    Otherwise that worker's lease would not be renewed any more. The leader of
    the next term starts new loops for it.
    """
    try:
        await loop
    except Exception as error:
        event_log.emit('leader', 'fault', why=_traceback(error))
        await states.depose(leader, f'unexpected exception: {error!r}')


async def _watch_role(leader: states.Leader) -> None:
    """End the term if another server leads or should lead, or at a stop."""
    server = leader.server
    while not leader.deposed:
        asleep_s = clock.now_s()
        await curio.sleep(ROLE_CHECK_INTERVAL_S)
        now_s = clock.now_s()
        late_s = now_s - asleep_s - ROLE_CHECK_INTERVAL_S
        leadership_transfer.measure(leader.timer_lateness, late_s, now_s)
        roles = server.roles
        if roles.leader_revision > leader.revision:
            await states.depose(leader, 'another server leads')
        elif server.stopping:
            await _hand_over(leader)
            await states.depose(leader, 'the server is stopping')
        elif not roles.alive_revision and roles.is_loaded and server.lease:
            await _restore_liveness_key(leader)
        elif why := _reason_to_yield(leader, now_s):
            await _hand_over(leader)
            await states.depose(leader, why)


def _reason_to_yield(leader: states.Leader, now_s: float) -> str:
    """Return why another server should lead; '' if none should or can."""
    server = leader.server
    if not states.holds_lease(leader):
        return ''
    if leader.fences_exhausted:
        return 'its fences are used up'
    others = roles_.peers(server.roles, server.process)
    return leadership_transfer.reason(
        leader.timer_lateness,
        boot.cores(server.settings),
        [row.cores for row in others],
        now_s - leader.began_s,
        now_s,
    )


async def _restore_liveness_key(leader: states.Leader) -> None:
    """Write the liveness key again, attached to the new lease."""
    server = leader.server
    conditions = {
        roles_.LEADER_KEY: leader.revision,
        roles_.ALIVE_KEY: 0,
    }
    writes = {roles_.ALIVE_KEY: server.process.encode('ascii')}
    lease_ = server.lease
    try:
        revision = await stores.write(
            server.store,
            conditions,
            writes,
            leases={roles_.ALIVE_KEY: lease_},
        )
    except (errors.CallFailed, stores.LeaseEnded) as error:
        event_log.emit('leader', 'not-marked', why=str(error))
        return
    except stores.Conflict as conflict:
        roles_.apply_items(server.roles, conflict.items)
        event_log.emit('leader', 'not-marked', why=str(conflict))
        return
    roles_.note_alive(server.roles, server.process, revision, lease_)
    event_log.emit('leader', 'marked-again', term=leader.term)


async def _hand_over(leader: states.Leader) -> None:
    """Write all pending progress before another server takes over."""
    event_log.emit('leader', 'hands-over', term=leader.term)
    try:
        async with curio.timeout_after(HANDOVER_TIMEOUT_S):
            await progress_writer.flush_progress(leader)
    except curio.TaskTimeout as error:
        # Workers keep reporting ends that were not acknowledged.
        event_log.emit('leader', 'not-all-written', why=repr(error))


async def _resign(leader: states.Leader) -> None:
    """Let another server lead at once, if this one still seems to lead."""
    server = leader.server
    roles = server.roles
    if roles.leader_revision != leader.revision:
        return
    writes = {}
    if not roles_.unended_terms(roles, leader.term):
        writes[roles_.ENDED_KEY] = b'%d' % leader.term
    for _ in range(RESIGN_TRIES):
        try:
            await stores.write(
                server.store,
                {roles_.LEADER_KEY: leader.revision},
                writes,
                (roles_.ALIVE_KEY,),
                timeout_s=RESIGN_TIMEOUT_S,
            )
        except errors.Unanswered as error:
            # A repeated write is harmless: the second one changes nothing,
            # and it is refused once another server leads.
            event_log.emit('leader', 'not-resigned', why=str(error))
            continue
        except (errors.CallFailed, stores.Conflict) as error:
            event_log.emit('leader', 'not-resigned', why=str(error))
        return
