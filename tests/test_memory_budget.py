"""Tests of the limit on all accepted jobs, by the memory of the servers.

Guards against leaders that exceed their memory one after the other, as more
was accepted than any of them can hold; and against refusals that aren't true,
or of jobs that fit.
"""

import curio
import msgspec
import pytest

from emulator import servers
from oleanderwood.frontend import admitting
from oleanderwood.jobs import memory
from oleanderwood.jobs import model
from oleanderwood.leading import memory_budget
from tests import utils_admitting as admission
from tests import utils_jobs
from tests import utils_servers as build
from tests import utils_tenants as tenants

TASKS = 20_000
LARGE = tenants.body(TASKS, cpu=10**9)
"""A job that no worker can run, so that it stays."""

FITTING = 5
"""So many of them fit the memory that servers assume without a setting."""


def _job(number: int) -> str:
    return f'{tenants.OPEN_PATH}{number:016x}'


async def _submit(world, process, number, data=LARGE):
    answer = await tenants.ask(world, process, 'POST', _job(number), data=data)
    return answer.status


def _memory(monkeypatch, **memory_mb: float) -> None:
    """Let servers have settings with these memories, by name."""
    real = servers.settings_of

    def settings_of(process):
        return msgspec.structs.replace(
            real(process), memory_mb=memory_mb.get(process.name, 0.0)
        )

    monkeypatch.setattr(servers, 'settings_of', settings_of)


def test_jobs_are_refused_once_no_leader_could_hold_them():
    async def main(world, rows):
        statuses = [
            await _submit(world, rows[number % 3], number)
            for number in range(FITTING + 2)
        ]
        small = await _submit(world, rows[0], 100, tenants.body())
        stored = [
            admission.is_stored(world, f'{number:016x}')
            for number in range(FITTING + 2)
        ]
        await tenants.ask(world, rows[0], 'DELETE', _job(0))
        await curio.sleep(1.0)
        again = await _submit(world, rows[0], FITTING)
        return statuses, small, stored, again

    statuses, small, stored, again = tenants.run(main)
    assert statuses == [200] * FITTING + [429] * 2
    assert stored == [True] * FITTING + [False] * 2
    assert small == 200
    assert again == 200


def test_jobs_at_several_servers_at_once_share_the_room():
    # Each server alone would find room before the others' jobs arrive.
    async def main(world, rows):
        async with curio.TaskGroup() as group:
            for number in range(3 * FITTING):
                await group.spawn(_submit, world, rows[number % 3], number)
        return sorted(group.results)

    assert tenants.run(main) == [200] * FITTING + [429] * 2 * FITTING


def test_stored_job_is_answered_as_accepted_without_room():
    # A caller that missed its 2xx sends the same job again.
    async def main(world, rows):
        for number in range(FITTING):
            await _submit(world, rows[0], number)
        return [await _submit(world, row, 0) for row in rows]

    assert tenants.run(main) == [200, 200, 200]


def test_next_leader_knows_what_is_accepted():
    async def main(world, rows):
        for number in range(FITTING):
            await _submit(world, rows[0], number)
        leader = admission.leading(rows)
        await build.kill(world, leader)
        await curio.sleep(4.0)
        left = [row for row in rows if row is not leader]
        return await _submit(world, left[0], FITTING)

    assert tenants.run(main) == 429


def test_large_job_is_refused_while_nobody_leads_and_small_ones_are_not():
    # Two servers whose leader has died don't know what was accepted.
    async def main(world, rows):
        await build.kill(world, admission.leading(rows))
        process = tenants.follower(
            [row for row in rows if row.state is not None]
        )
        large = await _submit(world, process, 1)
        small = await _submit(world, process, 2, tenants.body())
        return large, admission.is_stored(world, f'{1:016x}'), small

    assert tenants.run(main) == (503, False, 200)


def test_small_jobs_are_asked_about_while_room_is_short(monkeypatch):
    # Many small jobs fill the memory as well as a few large ones.
    monkeypatch.setattr(memory, 'JOBS_SHARE', 0.01)

    async def main(world, rows):
        data = tenants.body(64, cpu=10**9)
        statuses = []
        for number in range(70):
            statuses.append(await _submit(world, rows[0], number, data))
            await curio.sleep(0.1)
        return statuses

    statuses = tenants.run(main)
    size_bytes = 2300 + 64 * 700
    fitting = int(0.01 * 256 * 2**20 / size_bytes)
    assert statuses == [200] * fitting + [429] * (70 - fitting)


def test_smallest_server_sets_the_limit(monkeypatch):
    # It may come to lead, and must hold all that was accepted.
    _memory(monkeypatch, s0=1000.0, s1=60.0, s2=1000.0)

    async def main(world, rows):
        return [await _submit(world, rows[0], number) for number in range(2)]

    assert tenants.run(main) == [200, 429]


def test_job_that_no_server_can_hold_is_refused_for_good(monkeypatch):
    _memory(monkeypatch, s0=20.0, s1=20.0, s2=20.0)

    async def main(world, rows):
        return await _submit(world, rows[0], 1)

    assert tenants.run(main) == 400


@pytest.mark.parametrize('memory_mb', [200, 300])
def test_ordinary_repeated_jobs_fit_the_servers_of_today(memory_mb):
    # A limit on all their occurrences would refuse a dozen of them.
    work = utils_jobs.job(utils_jobs.step(8), repeats=17_280).work
    limit_bytes = memory.max_open_bytes(memory_mb)
    assert limit_bytes / model.open_bytes(work) > 5000


def test_room_is_asked_for_large_jobs_only():
    # Each question delays a caller by a call.
    async def main(world, rows):
        state = rows[0].state
        works = [
            utils_jobs.job(utils_jobs.step(count)).work
            for count in (8, 100, 1000)
        ]
        return [admitting.needs_reservation(state, work) for work in works]

    assert tenants.run(main) == [False, False, True]


def test_promise_is_given_back_if_the_job_never_comes():
    # Its server may die before it writes the job.
    async def main(world, rows):
        leader = admission.leading(rows).state.leader
        size_bytes = int(memory_budget.remaining(leader).left_bytes)
        answers = [memory_budget.reserve(leader, 'a' * 16, size_bytes)]
        answers.append(memory_budget.reserve(leader, 'b' * 16, size_bytes))
        await curio.sleep(memory_budget.RESERVATION_S)
        answers.append(memory_budget.reserve(leader, 'b' * 16, size_bytes))
        return [row.fits for row in answers]

    assert tenants.run(main) == [True, False, True]
