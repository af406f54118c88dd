"""Tests of refusals at a server: each must be true, and come at once.

Guards against a job that runs although its caller was told that it never
would, and against refusals of jobs that were accepted before.
"""

import json

import curio
import pytest

from emulator import servers
from emulator import virtual
from oleanderwood.admission import gate as gates
from oleanderwood.frontend import admitting
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import handler as handlers
from oleanderwood import server_metrics
from tests import utils_admitting as admission
from tests import utils_servers as build
from tests import utils_tenants as tenants

KEY = tenants.FIRST


async def _submit(world, process, path=tenants.PATH + tenants.JOB, **fields):
    """Submit a job; what the server calls for it goes its own ways."""
    task = await curio.current_task()
    task.process = process.name
    try:
        answer = await tenants.ask(
            world, process, 'POST', path, fields.pop('key', KEY), **fields
        )
    finally:
        task.process = virtual.WORLD
    return answer.status


def _run(main):
    """Run ``main(world, servers)``; nobody publishes figures by itself."""
    return tenants.run(main)


def test_refusal_costs_one_read_and_no_write(monkeypatch):
    async def main(world, rows):
        await admission.tell(world, rows[0])
        with admission.job_calls(monkeypatch) as counts:
            status = await _submit(world, rows[0])
        return status, counts, admission.is_stored(world)

    status, counts, stored = _run(main)
    assert (status, stored) == (429, False)
    assert counts == {'read': 1, 'write': 0}


def test_refusal_tells_why_and_when_to_retry():
    row = gates.Refused(gates.Why.TOO_LATE, 4, 'large', 2.5)
    response = handlers._not_admitted(row)
    assert response.status == 429
    assert (b'retry-after', b'4') in response.headers
    assert b'too late' in response.body


def test_jobs_are_admitted_without_figures_and_after_they_expire():
    async def main(world, rows):
        first = await _submit(world, rows[0])
        await admission.tell(world, rows[0])
        other = tenants.PATH + tenants.OTHER_JOB
        refused = await _submit(world, rows[0], other)
        await curio.sleep(1.0)
        return first, refused, await _submit(world, rows[0], other)

    assert _run(main) == (200, 429, 200)


def test_stored_job_is_answered_as_accepted(monkeypatch):
    """A caller that missed its 2xx sends the same job again."""

    async def main(world, rows):
        first = await _submit(world, rows[0])
        statuses = []
        with admission.job_calls(monkeypatch) as counts:
            for row in rows:
                await admission.tell(world, row)
                statuses.append(await _submit(world, row))
        counts = dict(counts)
        foreign = await _submit(world, rows[1], key=tenants.SECOND)
        return first, statuses, counts, foreign

    first, statuses, counts, foreign = _run(main)
    assert (first, statuses, foreign) == (200, [200] * 3, 403)
    assert counts['write'] == 0


@pytest.mark.parametrize(
    'step', [{'long_running': True}, {'fills': True}], ids=str
)
def test_jobs_that_outlast_a_burst_are_never_refused(step):
    async def main(world, rows):
        await admission.tell(world, rows[0])
        data = tenants.body(**step)
        return await _submit(world, rows[0], data=data)

    assert _run(main) == 200


def test_scheduled_jobs_are_never_refused():
    async def main(world, rows):
        await admission.tell(world, rows[0])
        work = {**json.loads(tenants.body()), 'repeat_count': 2}
        return await _submit(world, rows[0], data=json.dumps(work).encode())

    assert _run(main) == 200


@pytest.mark.parametrize('key', [None, KEY])
def test_jobs_of_public_queues_are_never_refused(key):
    async def main(world, rows):
        await admission.tell(world, rows[0])
        path = tenants.OPEN_PATH + tenants.JOB
        return await _submit(world, rows[0], path, key=key)

    assert _run(main) == 200


def test_nothing_is_refused_while_a_write_may_arrive_late():
    """The store carries a write out 2 to 12 s after it got no answer."""

    async def main(world, rows):
        row = tenants.follower(rows)
        world.network.late_share[build.STORE_ADDRESS] = 1.0
        doubtful = await curio.spawn(_submit, world, row)
        await curio.sleep(0.1)
        world.network.late_share.clear()
        await doubtful.join()
        statuses = []
        for pause_s in (0.0, 3.0, admitting.LATE_WRITE_S):
            await curio.sleep(pause_s)
            await admission.tell(world, row, number=10 + len(statuses))
            path = f'{tenants.PATH}{len(statuses):016x}'
            statuses.append(await _submit(world, row, path))
        return statuses

    assert _run(main) == [200, 200, 429]


def test_job_that_another_call_is_writing_is_not_refused():
    """The first of two calls was admitted, and its write is repeated."""

    async def main(world, rows):
        row = tenants.follower(rows)
        tenants.cut(world, row)
        first = await curio.spawn(_submit, world, row)
        await curio.sleep(0.3)
        world.network.cuts.clear()
        await admission.tell(world, row)
        again = await _submit(world, row)
        return await first.join(), again

    assert _run(main) == (200, 200)


def test_job_whose_key_is_read_late_is_accepted_as_without_figures():
    async def main(world, rows):
        row = tenants.follower(rows)
        world.network.away_s[row.name, build.STORE_ADDRESS] = 0.35
        await admission.tell(world, row)
        return await _submit(world, row), admission.is_stored(world)

    assert _run(main) == (200, True)


def test_server_without_the_store_relays_as_without_figures():
    async def main(world, rows):
        row = tenants.follower(rows)
        tenants.cut(world, row)
        for pause_s in (0.0, 1.5):
            await curio.sleep(pause_s)
            await admission.tell(world, row, number=2 + int(pause_s))
            path = f'{tenants.PATH}{int(pause_s):016x}'
            yielded.append(await _submit(world, row, path))

    yielded: list[int] = []
    _run(main)
    assert yielded == [200, 200]


def test_relayed_job_is_not_checked_again():
    """The server that got the call has decided."""

    async def main(world, rows):
        row = tenants.follower(rows)
        for other in rows:
            if other is not row:
                await admission.tell(world, other)
        tenants.cut(world, row)
        return await _submit(world, row)

    assert _run(main) == 200


def test_forwarded_call_is_decided_where_it_is_served():
    """A server whose keys are too old hands the whole call on."""

    async def main(world, rows):
        row = tenants.follower(rows)
        tenants.cut(world, row)
        await curio.sleep(tenants.CUT_OFF_S)
        for other in rows:
            if other is not row:
                await admission.tell(world, other)
        # The emulator lets a task make all its calls from one process, so
        # that of the server that is cut off would not reach the store.
        status = await tenants.status(world, row, 'POST', key=KEY)
        return status, admission.is_stored(world)

    assert _run(main) == (429, False)


def test_figures_of_a_deposed_leader_do_not_refuse():
    async def main(world, rows):
        row = tenants.follower(rows)
        term = row.state.roles.leader.term
        status = await admission.tell(world, row, term=term - 1)
        first = await _submit(world, row)
        await admission.tell(world, row, term=term, number=900)
        other = tenants.PATH + tenants.OTHER_JOB
        return status, first, await _submit(world, row, other)

    assert _run(main) == (200, 200, 429)


def _told(rows):
    return [row.state.gate.figures for row in rows if row.state is not None]


def test_leader_publishes_while_a_pool_is_limited_and_once_more(monkeypatch):
    admission.declare_pressure(monkeypatch)
    full = admission.fill_pool(monkeypatch)

    async def main(world, rows):
        during = _told(rows)
        dump = await build.call(world, rows[0], 'GET', '/dump')
        full.clear()
        await curio.sleep(0.5)
        after = _told(rows)
        await curio.sleep(2.0)
        return during, dump, after, _told(rows)

    during, (status, dump), after, later = _run(main)
    assert len({row.number for row in during}) == 1
    assert all(admission.POOL in row.pools for row in during)
    assert all(not row.pools for row in after)
    assert [row.number for row in later] == [row.number for row in after]
    assert status == 200
    assert json.loads(dump)['admission']['pools']


def test_one_unreachable_server_does_not_delay_the_others(monkeypatch):
    admission.declare_pressure(monkeypatch)
    admission.fill_pool(monkeypatch)

    async def main(world, rows):
        leader = admission.leading(rows)
        others = [row for row in rows if row is not leader]
        world.network.cuts.add((leader.name, others[0].address))
        await curio.sleep(2.0)
        begun = others[1].state.gate.figures.number
        await curio.sleep(5.0)
        count = others[1].state.gate.figures.number - begun
        return count, await _submit(world, others[0])

    count, status = _run(main)
    assert 18 <= count <= 21
    assert status == 200


def test_figures_outlast_a_leader_that_fails_by_a_second(monkeypatch):
    """The next leader samples by another salt, under a higher term."""
    admission.declare_pressure(monkeypatch)
    full = admission.fill_pool(monkeypatch)

    async def main(world, rows):
        leader = admission.leading(rows)
        before = leader.state.gate.figures
        full.clear()
        await servers.kill(world.network, leader)
        rest = [row for row in rows if row is not leader]
        at_once = [gates.in_force(row.state.gate, 4.1) for row in rest]
        await curio.sleep(1.1)
        admitted = await _submit(world, rest[0])
        full.append(True)
        await admission.until_leading(rest)
        await curio.sleep(0.5)
        return before, at_once, admitted, _told(rest)

    before, at_once, admitted, after = _run(main)
    assert all(row is not None for row in at_once)
    assert admitted == 200
    assert all(row.term > before.term for row in after)
    assert all(row.salt != before.salt for row in after)


def test_nothing_is_computed_or_sent_where_it_is_off(monkeypatch):
    measured = []

    def measure(*arguments):
        measured.append(arguments)
        return {}

    monkeypatch.setattr(admission.admission_load, 'measure', measure)

    async def main(world, rows):
        await curio.sleep(2.0)
        return _told(rows)

    assert _run(main) == [None] * 3
    assert not measured


def test_outcomes_are_counted_and_refusals_logged_up_to_a_limit(monkeypatch):
    lines = []
    monkeypatch.setattr(
        admitting.event_log,
        'emit',
        lambda part, event, **fields: lines.append((part, event, fields)),
    )
    counter = server_metrics.ADMISSION.labels('refused')
    before = counter._value.get()

    async def main(world, rows):
        await admission.tell(world, rows[0])
        for number in range(30):
            path = f'{tenants.PATH}{number:016x}'
            assert await _submit(world, rows[0], path) == 429

    _run(main)
    assert counter._value.get() - before == 30
    told = [row[2] for row in lines if row[:2] == ('caller', 'not-admitted')]
    assert len(told) == admitting.MAX_LINES_PER_S
    assert {row['why'] for row in told} == {'over-share'}
    assert {row['holder'] for row in told} == {admission.FIRST}


def test_lost_store_is_known_before_the_read():
    """A server without the store answers at once, not after the read."""
    assert admitting.READ_TIMEOUT_S < forwarding.STORE_LOST_AFTER_S
