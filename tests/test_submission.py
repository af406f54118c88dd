"""Tests of how jobs are written to the store, and of their term."""

import curio
import msgspec

from emulator import day
from emulator import store as stores
from oleanderwood.frontend import intake as intakes
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import intake as leading_intake
from oleanderwood.leading import roles as roles_
from oleanderwood.platform import store as platform_stores
from oleanderwood import verdict as verdicts
from tests import utils_jobs as build
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))


def _job(number: int) -> model.Job:
    return build.job(name=f'{number:016x}')


def _intake(world) -> intakes.Intake:
    async def written(jobs):
        written_jobs.extend(jobs)

    written_jobs: list[model.Job] = []
    intake = intakes.Intake(
        platform_stores.Store(servers.STORE_ADDRESS),
        roles_.Roles(),
        written,
        lambda: False,
    )
    return intake, written_jobs


def _leader(term: int) -> bytes:
    return msgspec.json.encode(roles_.Leader(term, 's9', 's9/1', '10.0.0.9:1'))


def _stored(world, job: model.Job) -> model.Job:
    value = world.store.items[record.job_key(job.job)].value
    return msgspec.json.decode(value, type=model.Job)


def test_job_carries_the_term_that_holds_as_it_is_written():
    """A server learns of a newer leader from the conflict of its write."""

    async def main(world):
        intake, written_jobs = _intake(world)
        await curio.spawn(intakes.write_forever, intake, daemon=True)
        await intakes.submit(intake, _job(1))
        calls = world.store.calls
        for term in (4, 5):
            await stores.put(world.store, roles_.LEADER_KEY, _leader(term))
            submission = await intakes.submit(intake, _job(term))
            assert submission.verdict is verdicts.Verdict.RAN
        await intakes.submit(intake, _job(6))
        terms = [_stored(world, _job(number)).term for number in (1, 4, 5, 6)]
        return (
            terms,
            [job.term for job in written_jobs],
            world.store.calls - calls,
        )

    stored, written_jobs, calls = servers.run(main)
    assert stored == written_jobs == [0, 4, 5, 5]
    # Two calls after each change of leader, otherwise one.
    assert calls == 5


def test_full_write_of_jobs_has_room_for_its_condition():
    async def main(world):
        intake, _written_jobs = _intake(world)
        submissions = [intakes.Submission(_job(n)) for n in range(40)]
        intake.waiting += submissions
        await intake.arrived.set()
        await curio.spawn(intakes.write_forever, intake, daemon=True)
        for row in submissions:
            await row.done.wait()
        return [row.verdict for row in submissions], world.store.largest

    verdicts_, largest = servers.run(main)
    assert set(verdicts_) == {verdicts.Verdict.RAN}
    assert largest <= platform_stores.MAX_WRITES


def test_unanswered_write_under_a_previous_leader_has_no_effect_later():
    """A job that is retried under the next leader belongs to it alone."""

    async def main(world):
        intake, _written_jobs = _intake(world)
        await stores.put(world.store, roles_.LEADER_KEY, _leader(4))
        roles_.apply_value(
            intake.roles,
            roles_.LEADER_KEY,
            _leader(4),
            world.store.items[roles_.LEADER_KEY].revision,
        )
        world.network.late_share[servers.STORE_ADDRESS] = 1.0
        await curio.spawn(intakes.write_forever, intake, daemon=True)
        task = await curio.spawn(intakes.submit, intake, _job(1))
        await curio.sleep(0.1)
        world.network.late_share.clear()
        await stores.put(world.store, roles_.LEADER_KEY, _leader(5))
        submission = await task.join()
        await curio.sleep(15.0)
        return submission, _stored(world, _job(1))

    submission, stored = servers.run(main)
    assert submission.verdict is verdicts.Verdict.RAN
    assert submission.job.term == stored.term == 5


def test_job_of_a_later_term_deposes_the_leader_and_is_not_started():
    async def main(world):
        process = await servers.start(world)
        await curio.sleep(2.0)
        leader = process.state.leader
        later = msgspec.structs.replace(_job(1), term=leader.term + 1)
        await leading_intake.add_jobs(leader, [later])
        deposed = leader.deposed
        await curio.sleep(0.01)
        return leader, deposed, process.state.leader

    leader, deposed, present = servers.run(main, CONFIGURATION)
    assert deposed and not leader.ledger.entries
    assert present is not leader


def test_only_a_job_of_the_leaders_own_term_counts_as_never_started():
    earlier = build.ledger_with(_job(1), term=3, inherited=True)
    own = build.ledger_with(_job(2), term=3)
    assert [row.inherited for row in earlier.entries.values()] == [True]
    assert [row.inherited for row in own.entries.values()] == [False]


def _submit_together(*tenants):
    """Submit one id for some tenants in one write; return the outcome."""

    async def main(world):
        intake, written_jobs = _intake(world)
        rows = [
            intakes.Submission(
                msgspec.structs.replace(_job(1), tenant=ids.TenantId(name))
            )
            for name in tenants
        ]
        intake.waiting += rows
        await intake.arrived.set()
        await curio.spawn(intakes.write_forever, intake, daemon=True)
        for row in rows:
            await row.done.wait()
        await curio.sleep(0.1)
        return rows, written_jobs, _stored(world, _job(1)).tenant

    return servers.run(main)


def test_two_tenants_with_one_id_in_one_write_are_not_both_accepted():
    """The second was told that its job is stored, and got 410 from then on."""
    rows, written_jobs, owner = _submit_together('first', 'second')
    assert [row.verdict for row in rows] == [
        verdicts.Verdict.RAN,
        verdicts.Verdict.NOT_RUN,
    ]
    assert rows[1].id_taken and owner == 'first'
    assert [job.tenant for job in written_jobs] == ['first']


def test_two_calls_with_one_job_in_one_write_are_both_accepted():
    """It is one job, of which the leader is told once."""
    rows, written_jobs, _owner = _submit_together('first', 'first')
    assert {row.verdict for row in rows} == {verdicts.Verdict.RAN}
    assert len(written_jobs) == 1
