"""Cancels that reach the store before the job that they cancel.

A caller hands a job in at a server that is suspended or cut off, leaves, and
cancels the job at another server. The store had no such job, so the cancel was
answered with 410 and left nothing behind: once the first server went on, it
stored the job, and all its tasks ran.
"""

import curio
import msgspec

from emulator import day
from emulator import evidence as evidences
from emulator import servers as emulated
from emulator import store as stores
from oleanderwood import errors
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import intake as intakes
from oleanderwood.frontend import tombstones
from oleanderwood import ids
from oleanderwood.jobs import record
from oleanderwood.leading import roles as roles_
from oleanderwood.platform import store as platform_stores
from oleanderwood import verdict as verdicts
from tests import utils_jobs
from tests import utils_servers as servers
from tests import utils_tenants as build

JOB = ids.JobId(build.JOB)
FIRST = ids.TenantId('first')
SECOND = ids.TenantId('second')
NOBODY = ids.TenantId('')

CUT_S = 5.0
"""How long a server is cut off from the store."""

AFTERWARDS_S = 8.0
"""Time after which whatever was stored has started."""

RETENTION_S = 20.0


def _intake(retention_s: float = RETENTION_S) -> intakes.Intake:
    async def written(jobs):
        return None

    return intakes.Intake(
        platform_stores.Store(servers.STORE_ADDRESS),
        roles_.Roles(),
        written,
        lambda: False,
        tombstones.Tombstones(retention_s),
    )


async def _running_intake(**fields) -> intakes.Intake:
    intake = _intake(**fields)
    await curio.spawn(intakes.write_forever, intake, daemon=True)
    return intake


def _job(owner: ids.TenantId = FIRST, name: str = JOB):
    return msgspec.structs.replace(utils_jobs.job(name=name), tenant=owner)


def _is_stored(world, name: str = JOB) -> bool:
    return record.job_key(ids.JobId(name)) in world.store.items


def _tombstones(world) -> list[str]:
    prefix = record.TOMBSTONE_PREFIX
    return [key for key in world.store.items if key.startswith(prefix)]


def _play(main):
    return servers.run(main, day.configuration(('drafts',)))


def test_job_is_not_stored_after_its_cancel():
    """The caller must not get a job that it has cancelled."""

    async def main(world):
        intake = await _running_intake()
        exists = await intakes.cancel(intake, JOB, FIRST, FIRST)
        submission = await intakes.submit(intake, _job())
        return exists, submission, _is_stored(world)

    exists, submission, is_stored = _play(main)
    assert not exists and not is_stored
    assert submission.cancelled
    assert submission.verdict is verdicts.Verdict.NOT_RUN


def test_cancel_of_one_tenant_does_not_stop_the_job_of_another():
    """Whoever has a valid key can cancel an id that isn't stored."""

    async def main(world):
        intake = await _running_intake()
        for tenant in (SECOND, NOBODY):
            await intakes.cancel(intake, JOB, tenant, tenant)
        submission = await intakes.submit(intake, _job(FIRST))
        return submission.verdict, _is_stored(world)

    assert _play(main) == (verdicts.Verdict.RAN, True)


def test_cancel_of_another_tenant_does_not_undo_a_cancel():
    """Two tenants that cancel one id each stop their own job only."""

    async def main(world):
        intake = await _running_intake()
        for tenant in (FIRST, SECOND):
            await intakes.cancel(intake, JOB, tenant, tenant)
        submissions = [
            await intakes.submit(intake, _job(tenant))
            for tenant in (FIRST, SECOND)
        ]
        return [row.cancelled for row in submissions], _is_stored(world)

    assert _play(main) == ([True, True], False)


def test_cancelled_job_does_not_stop_others_of_its_write():
    """A write is all or nothing, so one cancelled job would hold up others."""

    async def main(world):
        intake = await _running_intake()
        await intakes.cancel(intake, JOB, FIRST, FIRST)
        rows = [_job(name=f'{number:016x}') for number in range(5)]
        rows.insert(2, _job())
        submissions = [intakes.Submission(row) for row in rows]
        intake.waiting += submissions
        await intake.arrived.set()
        for row in submissions:
            await row.done.wait()
        stored = [_is_stored(world, row.job) for row in rows]
        return [row.cancelled for row in submissions], stored

    cancelled, stored = _play(main)
    assert cancelled == [False, False, True, False, False, False]
    assert stored == [not row for row in cancelled]


def test_write_that_the_network_holds_up_fails_after_the_cancel():
    """The store may carry a write out seconds after it was given up."""

    async def main(world):
        intake = await _running_intake()
        world.network.late_share[servers.STORE_ADDRESS] = 1.0
        task = await curio.spawn(intakes.submit, intake, _job())
        await curio.sleep(0.1)
        world.network.late_share.clear()
        intake.is_store_lost = lambda: True
        canceller = _intake()
        await intakes.cancel(canceller, JOB, FIRST, FIRST)
        submission = await task.join()
        await curio.sleep(15.0)
        return submission.verdict, _is_stored(world)

    assert _play(main) == (verdicts.Verdict.MAY_HAVE_RUN, False)


def test_job_that_is_stored_during_its_cancel_is_marked():
    """The job's write may come between the cancel's read and its write."""

    async def main(world):
        intake = await _running_intake()
        read = platform_stores.read

        async def read_then_store(store, key, *arguments):
            found = await read(store, key, *arguments)
            await intakes.submit(intake, _job())
            return found

        platform_stores.read = read_then_store
        try:
            exists = await intakes.cancel(intake, JOB, FIRST, FIRST)
        finally:
            platform_stores.read = read
        marked = record.cancel_key(JOB) in world.store.items
        return exists, marked, _tombstones(world)

    assert _play(main) == (True, True, [])


def test_tombstone_lasts_as_long_as_a_cancelled_job_is_kept():
    async def main(world):
        intake = await _running_intake()
        await intakes.cancel(intake, JOB, FIRST, FIRST)
        await curio.sleep(RETENTION_S - 1.0)
        early = (await intakes.submit(intake, _job())).verdict
        await curio.sleep(tombstones.LEASE_USE_S + 2.0)
        left = _tombstones(world)
        return early, left, (await intakes.submit(intake, _job())).verdict

    ran, not_run = verdicts.Verdict.RAN, verdicts.Verdict.NOT_RUN
    assert _play(main) == (not_run, [], ran)


def test_last_tombstone_under_a_lease_lasts_as_long():
    async def main(world):
        intake = await _running_intake()
        await intakes.cancel(intake, ids.JobId('0' * 16), FIRST, FIRST)
        await curio.sleep(tombstones.LEASE_USE_S - 0.5)
        await intakes.cancel(intake, JOB, FIRST, FIRST)
        await curio.sleep(RETENTION_S - 1.0)
        return (await intakes.submit(intake, _job())).cancelled

    assert _play(main)


def test_tombstone_survives_a_lease_that_the_store_ended():
    """Leases may end while the store is away."""

    async def main(world):
        intake = await _running_intake()
        await intakes.cancel(intake, ids.JobId('0' * 16), FIRST, FIRST)
        await stores.end_lease(world.store, intake.tombstones.lease)
        await intakes.cancel(intake, JOB, FIRST, FIRST)
        return (await intakes.submit(intake, _job())).cancelled

    assert _play(main)


def test_many_cancels_of_unknown_ids_cost_one_lease_and_have_a_bound():
    """Strangers' cancels must not fill the store."""

    async def main(world):
        intake = await _running_intake()
        calls = world.store.calls
        most = tombstones.MAX_PER_LEASE
        verdicts_ = []
        for number in range(most + 2):
            job = ids.JobId(f'{number:016x}')
            try:
                await intakes.cancel(intake, job, FIRST, FIRST)
            except errors.CallFailed as error:
                verdicts_.append(error.verdict)
        kept = len(_tombstones(world))
        cost = world.store.calls - calls
        await intakes.submit(intake, _job(name='f' * 16))
        known = await intakes.cancel(intake, ids.JobId('f' * 16), FIRST, FIRST)
        await curio.sleep(tombstones.LEASE_USE_S)
        later = await intakes.cancel(intake, JOB, FIRST, FIRST)
        return verdicts_, kept, cost, known, later

    refused, kept, cost, known, later = _play(main)
    most = tombstones.MAX_PER_LEASE
    assert refused == [verdicts.Verdict.NOT_RUN] * 2
    assert kept == most
    # A read and a write each, the lease, and a read of each refused one.
    assert cost == 2 * most + 1 + 2
    assert known and not later


def test_cancel_that_is_carried_out_late_does_not_mark_a_later_job():
    """Its job was removed meanwhile, and the id is used again."""

    async def main(world):
        intake = await _running_intake()
        await intakes.submit(intake, _job())
        write = platform_stores.write

        async def remove_then_write(store, conditions, writes, **fields):
            key = record.job_key(JOB)
            if key in conditions and key in world.store.items:
                await stores.remove(world.store, key)
                await intakes.submit(intake, _job(SECOND))
            return await write(store, conditions, writes, **fields)

        platform_stores.write = remove_then_write
        try:
            return await intakes.cancel(intake, JOB, FIRST, FIRST), (
                record.cancel_key(JOB) in world.store.items
            )
        finally:
            platform_stores.write = write

    assert _play(main) == (False, False)


# Whole servers.


async def _call(world, process, method, key=build.FIRST, path=build.PATH):
    return await build.status(world, process, method, path + JOB, key)


def _run_day(main):
    """Run ``main(world, servers, fleet)`` with machines that run tasks."""

    async def play(world):
        fleet = await build.machines(world)
        rows = await build.three_servers(world)
        await curio.sleep(2.0)
        return await main(world, rows, fleet)

    return servers.run(play, build.configuration(*build.TENANTS))


def _starts(fleet) -> int:
    sights = fleet.world.evidence.sights
    return sum(row.kind is evidences.Kind.STARTED for row in sights)


async def _hand_in_late(world, rows, fleet, during):
    """Hand a job in at a server that is cut off; return what started."""
    leader = next(row for row in rows if emulated.leads(row))
    taker, canceller = [row for row in rows if row is not leader]
    hold = _hold_calls(world, taker, JOB)
    task = await curio.spawn(_call, world, taker, 'POST')
    await curio.sleep(0.3)
    cancelled = await during(leader, canceller)
    await curio.sleep(CUT_S)
    await hold.set()
    await task.join()
    await curio.sleep(AFTERWARDS_S)
    return cancelled, _starts(fleet)


def _hold_calls(world, process, job) -> curio.Event:
    """Hold a caller's job at a server until the event is set."""
    event = curio.Event()
    handler = world.network.handlers[process.callers]

    async def handle(source, method, target, body, headers):
        if method == 'POST' and job in target:
            await event.wait()
        return await handler(source, method, target, body, headers)

    world.network.handlers[process.callers] = handle
    return event


def test_no_task_starts_once_a_suspended_server_goes_on():
    async def main(world, rows, fleet):
        async def during(leader, canceller):
            return await _call(world, canceller, 'DELETE')

        return await _hand_in_late(world, rows, fleet, during)

    assert _run_day(main) == (410, 0)


def test_no_task_starts_under_the_next_leader():
    """What records the cancel has to outlive the leader."""

    async def main(world, rows, fleet):
        async def during(leader, canceller):
            status = await _call(world, canceller, 'DELETE')
            await curio.sleep(0.2)
            await servers.kill(world, leader)
            return status

        return await _hand_in_late(world, rows, fleet, during)

    assert _run_day(main) == (410, 0)


def test_no_task_starts_after_a_relayed_cancel():
    """The canceller is cut off, and another server cancels for it."""

    async def main(world, rows, fleet):
        async def during(leader, canceller):
            build.cut(world, canceller)
            await curio.sleep(forwarding.STORE_LOST_AFTER_S + 0.5)
            return await _call(world, canceller, 'DELETE')

        return await _hand_in_late(world, rows, fleet, during)

    assert _run_day(main) == (410, 0)


def test_no_task_starts_after_a_forwarded_cancel():
    """The canceller can't check keys, and another server answers."""

    async def main(world, rows, fleet):
        async def during(leader, canceller):
            build.cut(world, canceller)
            await curio.sleep(build.CUT_OFF_S)
            return await _call(world, canceller, 'DELETE')

        return await _hand_in_late(world, rows, fleet, during)

    assert _run_day(main) == (410, 0)


def test_relayed_cancel_at_a_public_queue_stops_the_job_of_nobody():
    """A job at a public queue has no tenant, whatever key its caller has."""

    async def main(world, rows):
        leader = next(row for row in rows if emulated.leads(row))
        canceller = next(row for row in rows if row is not leader)
        build.cut(world, canceller)
        await curio.sleep(forwarding.STORE_LOST_AFTER_S + 0.5)
        statuses = []
        for process, method in ((canceller, 'DELETE'), (leader, 'POST')):
            statuses.append(
                await _call(
                    world, process, method, build.FIRST, build.OPEN_PATH
                )
            )
        return statuses

    assert build.run(main) == [410, 410]


def test_caller_learns_that_a_job_was_cancelled_before():
    """The same id is refused for good, not with a time to come back."""

    async def main(world, rows):
        statuses = [
            await _call(world, rows[1], method)
            for method in ('DELETE', 'POST', 'GET', 'DELETE')
        ]
        other = await _call(world, rows[1], 'POST', build.SECOND)
        return statuses, other

    assert build.run(main) == ([410, 410, 410, 410], 200)


def test_relayed_job_is_refused_after_its_cancel():
    """A server that writes for another tells it of the tombstone."""

    async def main(world, rows):
        leader = next(row for row in rows if emulated.leads(row))
        taker = next(row for row in rows if row is not leader)
        await _call(world, leader, 'DELETE')
        build.cut(world, taker)
        await curio.sleep(forwarding.STORE_LOST_AFTER_S + 0.5)
        return await _call(world, taker, 'POST')

    assert build.run(main) == 410
